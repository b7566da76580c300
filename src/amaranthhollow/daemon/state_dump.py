"""Dumps the state of a daemon for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from amaranthhollow.decisions.claim_records import SHARD_COUNT

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.live_streams import StreamRegistry

__all__ = ["dump_state"]


def dump_state(node: Node, streams: StreamRegistry) -> bytes:
    """Return the state as JSON; it contains no API key and nothing a caller sent."""
    document = {
        "host": node.settings.host,
        "data_centre": node.settings.data_centre,
        "site": node.settings.site,
        "incarnation": node.incarnation,
        "state": node.lifecycle,
        "now": node.now(),
        "open_requests": node.open_requests,
        "requests_by_state": dict(node.requests_by_state),
        "configuration": {
            "revision": node.applied.revision,
            "change_id": node.applied.change_id,
            "deployments": sorted(node.configuration.deployments),
            "workspaces": sorted(node.configuration.workspaces),
        },
        "members_by_host": {
            host: {
                "address": info.address,
                "data_centre": info.data_centre,
                "status": info.status.name.lower(),
            }
            for host, info in sorted(node.membership.infos_by_host().items())
        },
        "endpoints_by_host": _describe_endpoints(node),
        "claims_by_shard": {
            str(shard): _describe_shard(node, shard) for shard in range(SHARD_COUNT)
        },
        "quarantined": [d.hex() for d in node.quarantine.quarantined(node.now())],
        "streams": len(streams),
        "facts": len(node.membership.table),
        "retries_left_by_deployment": {
            name: node.retry_budget(name).remaining(node.host_count, node.now())
            for name in sorted(node.configuration.deployments)
        },
        "store_calls_by_kind": dict(node.store.calls_by_kind),
        "counters_by_name": node.counters.totals(),
    }
    return msgspec.json.encode(document)


def _describe_endpoints(node: Node) -> dict[str, Any]:
    return {
        endpoint.host: {
            "deployment": endpoint.listed.deployment,
            "data_centre": endpoint.listed.data_centre,
            "url": endpoint.url,
            "incarnation": endpoint.listed.incarnation,
            "state": endpoint.state,
            "is_listed": endpoint.is_listed,
            "leaves_at": endpoint.listed.leaves_at,
            "failures": endpoint.failures,
            "retry_at": endpoint.retry_at,
            "load": msgspec.structs.asdict(node.chooser.load(endpoint.host)),
        }
        for endpoint in sorted(node.endpoints.all(), key=lambda e: e.host)
    }


def _describe_shard(node: Node, shard: int) -> dict[str, Any]:
    state = node.claim_store.shard_state(shard)
    position = state.view.position if state.view else None
    return {
        "phase": state.phase.value,
        "era": position.era if position else None,
        "revision": position.revision if position else None,
        "records": len(state.view.head.records) if state.view else None,
        "segments": len(state.view.head.segments) if state.view else None,
        "waiting": len(state.waiting),
        "outcomes_to_record": len(state.outcomes),
        "retry_at": state.retry_at,
    }
