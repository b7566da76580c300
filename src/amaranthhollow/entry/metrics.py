"""Prometheus metrics of one host."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["CONTENT_TYPE", "Metrics"]

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "amaranthhollow"
# From half the shortest latency target of a route to the longest deadline.
LATENCY_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """The metrics of one daemon, documented in docs/OPERATIONS.md."""

    def __init__(self) -> None:
        """Create all metrics in a registry of their own."""
        self.registry = CollectorRegistry(auto_describe=False)
        self.answers = self._counter(
            "answers", "Final answers by route and status.", ["route", "status"]
        )
        self.refusals = self._counter(
            "refusals", "Requests refused before any attempt, by reason.", ["reason"]
        )
        self.attempt_failures = self._counter(
            "attempt_failures", "Attempts that brought no answer.", ["service"]
        )
        self.repeats = self._counter(
            "repeats", "Repeated sends, by whether the budget had room.", ["outcome"]
        )
        self.limited_choices = self._counter(
            "limited_choices",
            "Choices without an endpoint because of its limit, by service.",
            ["service"],
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store, by kind and outcome.", ["kind", "ok"]
        )
        self.cloud_calls = self._counter(
            "cloud_calls", "Calls to the cloud API by kind and outcome.", ["kind", "ok"]
        )
        self.datagrams = self._counter(
            "datagrams", "Datagrams of peers, by kind.", ["kind"]
        )
        self.first_part_seconds = self._histogram(
            "first_part_seconds", "Arrival to the first part of an answer."
        )
        self.answer_seconds = self._histogram(
            "answer_seconds", "Arrival to the end of an answer."
        )
        self.configuration_age = Gauge(
            f"{PREFIX}_configuration_age_seconds",
            "Age of the proof that the configuration is the newest.",
            registry=self.registry,
        )
        self.endpoints_age = Gauge(
            f"{PREFIX}_endpoints_age_seconds",
            "Age of the proof that the list of endpoints is the newest.",
            registry=self.registry,
        )

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, description: str, labels: list[str]) -> Counter:
        return Counter(f"{PREFIX}_{name}", description, labels, registry=self.registry)

    def _histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f"{PREFIX}_{name}",
            description,
            ["route"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
