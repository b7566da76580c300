"""Metrics of one host, in Prometheus' text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.core import Metric

__all__ = ["CONTENT_TYPE", "Metrics"]

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "amaranthhollow"
# From half the shortest latency target of a route to the longest deadline.
LATENCY_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class CounterMetric:
    """A counter for each combination of label values."""

    def __init__(self, name: str, description: str, labels: list[str]) -> None:
        """Create a counter without values."""
        self.name = f"{PREFIX}_{name}"
        self.description = description
        self.labels = labels
        self.values: Counter[tuple[str, ...]] = Counter()

    def increment(self, *label_values: object) -> None:
        """Add one to the counter of these label values."""
        self.values[tuple(map(str, label_values))] += 1


class GaugeMetric:
    """A value that may rise and fall."""

    def __init__(self, name: str, description: str) -> None:
        """Create a gauge at zero."""
        self.name = f"{PREFIX}_{name}"
        self.description = description
        self.value = 0.0


class LabelledGaugeMetric:
    """A value for each value of one label."""

    def __init__(self, name: str, description: str, label: str) -> None:
        """Create a gauge without values."""
        self.name = f"{PREFIX}_{name}"
        self.description = description
        self.label = label
        self.values: dict[str, float] = {}


class LatencyMetric:
    """A histogram of seconds for each route."""

    def __init__(self, name: str, description: str) -> None:
        """Create a histogram without observations."""
        self.name = f"{PREFIX}_{name}"
        self.description = description
        self.counts_by_route: dict[str, list[int]] = {}
        self.sums_by_route: Counter[str] = Counter()

    def observe(self, route: str, seconds: float) -> None:
        """Count a latency of a route."""
        counts = self.counts_by_route.get(route)
        if counts is None:
            counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
            self.counts_by_route[route] = counts
        counts[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.sums_by_route[route] += seconds

    def buckets(self, route: str) -> list[tuple[str, int]]:
        """Return the upper bound of each bucket, and the count up to it."""
        total = 0
        buckets = []
        bounds = [*map(str, LATENCY_BUCKETS_SECONDS), "+Inf"]
        for bound, count in zip(bounds, self.counts_by_route[route], strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class Metrics:
    """The metrics of one daemon, documented in docs/OPERATIONS.md."""

    def __init__(self) -> None:
        """Create all metrics."""
        self.answers = CounterMetric(
            "answers", "Final answers by route and status.", ["route", "status"]
        )
        self.refusals = CounterMetric(
            "refusals", "Requests refused before any attempt, by reason.", ["reason"]
        )
        self.dials = CounterMetric(
            "dials",
            "New connections to endpoints, by path and outcome.",
            ["path", "outcome"],
        )
        self.failed_accepts = CounterMetric(
            "failed_accepts", "Connections that could not be accepted.", ["error"]
        )
        self.open_descriptors = GaugeMetric(
            "open_descriptors", "Descriptors that this process has open."
        )
        self.connections = LabelledGaugeMetric(
            "connections", "Open connections accepted, by kind of client.", "client"
        )
        self.closed_connections = LabelledGaugeMetric(
            "closed_connections",
            "Connections of callers closed for want of room, since the start.",
            "reason",
        )
        self.held_bytes = LabelledGaugeMetric(
            "held_bytes",
            "Memory held for what callers and endpoints have sent, by purpose.",
            "purpose",
        )
        self.memory_limit_bytes = LabelledGaugeMetric(
            "memory_limit_bytes", "Room for it, by purpose.", "purpose"
        )
        self.memory_refusals = LabelledGaugeMetric(
            "memory_refusals",
            "Requests refused for want of memory, by purpose, since the start.",
            "purpose",
        )
        self.memory_evictions = LabelledGaugeMetric(
            "memory_evictions",
            "Connections of which memory was taken back, by purpose, since the start.",
            "purpose",
        )
        self.unread_refusals = LabelledGaugeMetric(
            "unread_refusals",
            "Requests refused before they were read, by status, since the start.",
            "status",
        )
        self.quota_levels = LabelledGaugeMetric(
            "quota_level_seconds",
            "What a workspace's quota has left, in seconds of its rate.",
            "workspace",
        )
        self.links_lost = GaugeMetric(
            "links_lost", "1 while this host holds its links to endpoints for lost."
        )
        self.attempt_failures = CounterMetric(
            "attempt_failures", "Attempts that brought no answer.", ["service"]
        )
        self.repeats = CounterMetric(
            "repeats", "Repeated sends, by whether the budget had room.", ["outcome"]
        )
        self.limited_choices = CounterMetric(
            "limited_choices",
            "Choices without an endpoint because of its limit, by service.",
            ["service"],
        )
        self.rollout_requests = CounterMetric(
            "rollout_requests",
            "Attempts during roll-outs, by service and version.",
            ["service", "version"],
        )
        self.rollout_failures = CounterMetric(
            "rollout_failures",
            "Failed answers during roll-outs, by service and version.",
            ["service", "version"],
        )
        self.rollout_share = LabelledGaugeMetric(
            "rollout_share",
            "Share of a service's requests that goes to the new version, once trusted.",
            "service",
        )
        self.rollout_unreadable = CounterMetric(
            "rollout_unreadable", "Orders of roll-outs that could not be read.", []
        )
        self.relay_rejections = CounterMetric(
            "relay_rejections",
            "Requests of peers that were not relayed, by reason.",
            ["reason"],
        )
        self.store_calls = CounterMetric(
            "store_calls", "Calls to the store, by kind and outcome.", ["kind", "ok"]
        )
        self.cloud_calls = CounterMetric(
            "cloud_calls", "Calls to the cloud API by kind and outcome.", ["kind", "ok"]
        )
        self.datagrams = CounterMetric(
            "datagrams", "Datagrams of peers, by kind.", ["kind"]
        )
        self.first_part_seconds = LatencyMetric(
            "first_part_seconds", "Arrival to the first part of an answer."
        )
        self.answer_seconds = LatencyMetric(
            "answer_seconds", "Arrival to the end of an answer."
        )
        self.configuration_age = GaugeMetric(
            "configuration_age_seconds",
            "Age of the proof that the configuration is the newest.",
        )
        self.peers_by_protocol = LabelledGaugeMetric(
            "peers_by_protocol",
            "Peers that have sent messages, by the protocol of these.",
            "protocol",
        )
        self.build_info = LabelledGaugeMetric(
            "build_info", "1 for the build that runs.", "build"
        )
        self.endpoint_entries = LabelledGaugeMetric(
            "endpoint_entries",
            "Entries listed, usable, and left out as too large.",
            "state",
        )
        self.background_tasks = LabelledGaugeMetric(
            "background_tasks", "1 while a background task runs, else 0.", "task"
        )
        self.task_failures = CounterMetric(
            "task_failures", "Failures of background tasks, by task.", ["task"]
        )
        self.suspects = LabelledGaugeMetric(
            "suspected_requests",
            "Requests that ran at crashes, and those of them that are quarantined.",
            "state",
        )
        self.crash_log_failures = CounterMetric(
            "crash_log_failures",
            "Failed reads and writes of crash evidence in the store, by call.",
            ["call"],
        )
        self.unreadable_evidence = CounterMetric(
            "unreadable_evidence",
            "Documents with crash evidence that cannot be read, by source.",
            ["source"],
        )
        self.endpoints_age = GaugeMetric(
            "endpoints_age_seconds",
            "Age of the proof that the list of endpoints is the newest.",
        )

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format.

        The library is loaded by the first scrape, since it would delay the start.
        """
        from prometheus_client.exposition import generate_latest

        return generate_latest(self)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, as a registry of ``prometheus_client`` does."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for metric in vars(self).values():
            match metric:
                case CounterMetric():
                    family = CounterMetricFamily(
                        metric.name, metric.description, labels=metric.labels
                    )
                    for label_values, count in metric.values.items():
                        family.add_metric(label_values, count)
                case LatencyMetric():
                    family = HistogramMetricFamily(
                        metric.name, metric.description, labels=["route"]
                    )
                    for route, seconds in metric.sums_by_route.items():
                        family.add_metric([route], metric.buckets(route), seconds)
                case LabelledGaugeMetric():
                    family = GaugeMetricFamily(
                        metric.name, metric.description, labels=[metric.label]
                    )
                    for label_value, value in metric.values.items():
                        family.add_metric([label_value], value)
                case GaugeMetric():
                    family = GaugeMetricFamily(
                        metric.name, metric.description, metric.value
                    )
            yield family
