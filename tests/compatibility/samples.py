"""Encodes one sample of each message and record, with the package that is imported.

Runs with the sources of any recorded commit, so it uses only what all of them have.
Prints a JSON object from the name of each sample to its bytes in hexadecimal.
"""

from __future__ import annotations

import json

import msgspec

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.endpoint_limits import EndpointLimiter
from amaranthhollow.decisions.endpoints import ListedEndpoint, endpoint_fact
from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus
from amaranthhollow.decisions.stream_origins import StreamOrigin, StreamRecord
from amaranthhollow.decisions.usage_ledger import UsageLedger
from amaranthhollow.peers import datagrams
from amaranthhollow.state.site_state import EndpointSnapshot, StoredEntry

LISTED = ListedEndpoint("i-1", 7, "10.0.0.1", 80, "dc-1", "model")
LIMIT = EndpointLimiter("host-1").observe("i-1", 7, 2.0, sent_at=5.0, now=6.0)
GOSSIP = GossipMessage("host-1", (endpoint_fact(LISTED), LIMIT), (3,) * 16)
FRESHNESS = datagrams.FreshnessReport(4, 0.5, 9, 11, 0.25, "host-2", 3, 1.5, 1, 1)
ORIGIN = StreamOrigin("model", "v1", 99.0)
USAGE, SPENT = {7: {"w": 1}}, {"w": 5.0}
LOADS = {"i-1": EndpointLoad(1, 10)}


def exchange() -> tuple[object, object]:
    """Return a ping and an echo."""
    head = (1, "host-1", 9, GOSSIP)
    tail = (FRESHNESS, 5.0, {"w": 2.0})
    if not hasattr(datagrams, "ReportPing") and hasattr(datagrams, "HostReport"):
        report = datagrams.HostReport(USAGE, SPENT, LOADS)
        return datagrams.Ping(*head, report), datagrams.Echo(*head, report, *tail)
    from amaranthhollow.decisions.reports import ReportChanges

    changes = ReportChanges("host-1", 9, 0, 1, 5, USAGE, SPENT, LOADS, True)
    ping = datagrams.Ping(*head, {5: 3})
    return ping, datagrams.Echo(*head, (changes,), *tail)


def samples() -> dict[str, bytes]:
    """Return all samples by name."""
    ping, echo = exchange()
    entry = StoredEntry("i-1", b"{}", 9)
    messages = {
        "ping": ping,
        "echo": echo,
        "stream started": datagrams.StreamStarted("r1", ORIGIN),
        "origin query": datagrams.OriginQuery(1, "host-1", "r1", "model", 5.0),
        "origin reply": datagrams.OriginReply(1, "host-1", "v1", ("v1",), True),
        "host entry": DaemonInfo("10.0.0.9", "dc-1", DaemonStatus.ALIVE),
        "endpoints": EndpointSnapshot(9, (entry,), 1),
        "stream record": StreamRecord(5.0, 1.0, {"model": ("v1",)}, {"r1": ORIGIN}),
        "usage ledger": UsageLedger({7: b"{}"}, {"host-1@9": USAGE}, {"w": 2.0}, 5.0),
    }
    return {name: msgspec.msgpack.encode(value) for name, value in messages.items()}


if __name__ == "__main__":
    print(json.dumps({name: data.hex() for name, data in samples().items()}, indent=1))
