"""Measures the processor time of an entry host's decisions at 13 to 630 endpoints.

Loads are reported by 370 hosts. Also prints the bytes of an exchange with a peer and of
the endpoint entries; checks no bound.
"""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.choice import EndpointChooser, EndpointLoad
from amaranthhollow.decisions.endpoint_limits import EndpointLimiter
from amaranthhollow.decisions.endpoints import Endpoint, ListedEndpoint
from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.decisions.prompt_quarantine import PromptQuarantine
from amaranthhollow.decisions.prompts import PromptPart, PromptShape
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
from amaranthhollow.decisions.reports import HostReport, ReportChanges, ReportTable
from amaranthhollow.decisions.site import Quota
from amaranthhollow.decisions.stream_origins import HolderTable, StreamOrigin
from amaranthhollow.peers.datagrams import (
    Echo,
    FreshnessReport,
    StreamStarted,
    decode_datagram,
    encode_datagram,
)
from amaranthhollow.platform.documents import decode_endpoint
from amaranthhollow.state.site_state import (
    EndpointSnapshot,
    SiteDecoders,
    SiteState,
    StoredEntry,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__: list[str] = []

ENDPOINT_COUNTS = (13, 100, 630)
REPEATS = 200
WORKSPACES = 16
ENDPOINTS_WITH_REQUESTS = 30
HOSTS = 370


def microseconds(function: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started) / repeats * 1e6


def endpoints(count: int) -> list[Endpoint]:
    """Return ``count`` engines of one service."""
    return [
        Endpoint(
            ListedEndpoint(f"i-{n:08x}", n, "10.0.0.1", 1, "dc-1", "model"), "live"
        )
        for n in range(count)
    ]


def measure_choice(count: int) -> float:
    """Return the time to choose among ``count`` engines that ``HOSTS`` hosts use."""
    chooser = EndpointChooser("dc-1", Random(1))
    engines = endpoints(count)
    for host in range(HOSTS):
        loads = {
            e.host: EndpointLoad(2, 500) for e in engines[:ENDPOINTS_WITH_REQUESTS]
        }
        chooser.observe(f"host-{host}", loads)
    parts = (PromptPart("a1b2", 10_000), PromptPart("c3d4", 3_000))
    prompt = PromptShape(parts, 3_000)
    return microseconds(lambda: chooser.choose(engines, prompt, (), 1.0))


def create_changes(count: int) -> tuple[ReportChanges, ...]:
    """Return the whole report of a host that has requests at ``count`` engines."""
    usage = {w: {f"w-{n}": 40 for n in range(WORKSPACES)} for w in range(2)}
    spent = {f"w-{n}": 1e6 + n for n in range(WORKSPACES)}
    loads = {f"i-{n:08x}": EndpointLoad(2, 500) for n in range(count)}
    table = ReportTable("host-1", 1)
    table.publish(HostReport(usage, spent, loads), 0.0, 1.0)
    return table.changes_for({}, 0.0)


def measure_exchange(count: int) -> tuple[int, float]:
    """Return the bytes of an echo and the time to encode and decode it."""
    gossip = GossipMessage("host-1", (), tuple(range(2**50, 2**50 + 16)))
    freshness = FreshnessReport(7, 0.3, 9000, 2**50, 0.3, "host-2", 12, 2.0)
    echo = Echo(
        1,
        "host-1",
        1,
        gossip,
        create_changes(min(count, ENDPOINTS_WITH_REQUESTS)),
        freshness,
        1.0,
    )
    data = encode_datagram(echo)
    return len(data), microseconds(lambda: decode_datagram(encode_datagram(echo)))


def measure_snapshot(count: int) -> tuple[int, float]:
    """Return the bytes of all entries and the time to apply them when one changed."""
    entry = {
        "backend": "model",
        "address": "10.0.0.1:80",
        "zone": "dc-1",
        "slots": 64,
        "state": "ready",
        "born": 1,
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    value = msgspec.json.encode(entry)
    site = SiteState(SiteDecoders(lambda value: None, decode_endpoint))
    revision = 0

    def apply_snapshot() -> None:
        nonlocal revision
        revision += 1
        entries = [StoredEntry(f"i-{n:08x}", value, 1) for n in range(count)]
        entries[0] = StoredEntry("i-00000000", value, revision)
        site.apply_endpoints(EndpointSnapshot(revision, tuple(entries)), 1.0, 1.0)

    return count * len(value), microseconds(apply_snapshot, 20)


def measure_quota() -> float:
    """Return the time to admit a request of one workspace."""
    limiter = QuotaLimiter()
    quota = Quota(1e6, 1e6, counts_tokens=True, plain_tokens=200)
    hosts = HostCounts(370, 370)
    return microseconds(lambda: limiter.admit("w", quota, 200.0, hosts, 1.0))


def measure_limit(rate: float) -> float:
    """Return the time per second for one endpoint that states a limit.

    This host looks for a slot 22 times a second, among those of ``HOSTS`` hosts.
    """
    limiter = EndpointLimiter("host-1")
    limiter.apply(limiter.observe("e", 1, rate, sent_at=0.0, now=0.0), 0.0)
    hosts = tuple(f"host-{n}" for n in range(HOSTS))
    times = (n / 22 for n in range(10**9))
    return 22 * microseconds(lambda: limiter.may_send("e", 1, hosts, next(times)), 2000)


def measure_origin() -> tuple[int, float]:
    """Return the bytes of a stream's origin, and the time to tell all holders.

    Includes the choice of holders among ``HOSTS`` and one decoding for each of them.
    """
    data_centres = {f"host-{n}": f"dc-{n % 7}" for n in range(HOSTS)}
    origin = StreamOrigin("model-service", "v1.2", 1_700_000_000.5)
    message = StreamStarted("9c41d07be2a35f68", origin)
    size = len(encode_datagram(message))

    table = HolderTable()
    numbers = iter(range(10**9))

    def share() -> None:
        for _ in table.holders(f"9c41d07b{next(numbers):08x}", dict(data_centres)):
            decode_datagram(encode_datagram(message))

    return size, microseconds(share, 20_000)


def measure_prompt_quarantine(suspects: int) -> tuple[float, float, int]:
    """Return the time to check a sound request, one of a suspect, and a fact's bytes.

    The suspects ran at one crash each, and one of them at two.
    """
    quarantine = PromptQuarantine("host-1")
    size = 0
    for number in range(suspects):
        for crash in range(2 if number == 0 else 1):
            part, crashed_at = f"part-{number}", 100.0 + crash
            (fact,) = quarantine.crash_facts((part,), f"e{crash}@1", crashed_at)
            quarantine.apply(fact, 100.0)
            size = fact.size
    sound = microseconds(lambda: quarantine.is_quarantined(("x", "y"), (), 110.0))
    bad = microseconds(lambda: quarantine.is_quarantined(("x", "part-0"), (), 110.0))
    return sound, bad, size


def main() -> None:
    """Print all results."""
    for count in ENDPOINT_COUNTS:
        size, seconds = measure_snapshot(count)
        print(
            f"{count:4} endpoints: a choice {measure_choice(count):.0f} us, "
            f"their entries {size / 1000:.0f} KB and {seconds:.0f} us to apply"
        )
        size, seconds = measure_exchange(count)
        print(f"     an echo {size} bytes, {seconds:.0f} us to encode and decode")
    print(f"a quota: {measure_quota():.1f} us a request")
    size, cost = measure_origin()
    print(f"a stream's origin: {size} bytes, {cost:.0f} us for all its holders")
    for rate in (1.0, 20.0):
        cost = measure_limit(rate)
        print(f"an endpoint's limit of {rate:g} a second: {cost:.0f} us a second")
    for suspects in (30, 1_000, 10_000):
        sound, bad, size = measure_prompt_quarantine(suspects)
        print(
            f"{suspects} suspected parts of prompts: {sound:.1f} us a sound request, "
            f"{bad:.0f} us one of a suspect; a fact of {size} bytes"
        )


main()
