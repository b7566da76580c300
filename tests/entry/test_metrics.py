"""Metrics of an entry host, against the library's own registry."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from amaranthhollow.entry.metrics import LATENCY_BUCKETS_SECONDS, Metrics

SECONDS = (0.01, 0.05, 0.3, 12.8, 60.0)


def lines_of(exposition, name):
    """Return the lines of a metric, without the time of its creation."""
    lines = exposition.decode().splitlines()
    return [line for line in lines if name in line and "_created" not in line]


def test_exposition_agrees_with_the_registry_of_the_library():
    metrics, registry = Metrics(), CollectorRegistry(auto_describe=False)
    answers = Counter(
        "amaranthhollow_answers",
        "Final answers by route and status.",
        ["route", "status"],
        registry=registry,
    )
    latency = Histogram(
        "amaranthhollow_answer_seconds",
        "Arrival to the end of an answer.",
        ["route"],
        registry=registry,
        buckets=LATENCY_BUCKETS_SECONDS,
    )
    age = Gauge(
        "amaranthhollow_endpoints_age_seconds",
        "Age of the proof that the list of endpoints is the newest.",
        registry=registry,
    )
    peers = Gauge(
        "amaranthhollow_peers_by_protocol",
        "Peers that have sent messages, by the protocol of these.",
        ["protocol"],
        registry=registry,
    )
    for protocol, count in (("1", 3), ("2", 0)):
        peers.labels(protocol).set(count)
        metrics.peers_by_protocol.values[protocol] = count
    for status in (200, 200, 503):
        answers.labels("plain", status).inc()
        metrics.answers.increment("plain", status)
    for seconds in SECONDS:
        latency.labels("plain").observe(seconds)
        metrics.answer_seconds.observe("plain", seconds)
    age.set(1.5)
    metrics.endpoints_age.value = 1.5

    exposition, reference = metrics.exposition(), generate_latest(registry)

    for name in (
        "_answers",
        "_answer_seconds",
        "_endpoints_age_seconds",
        "_peers_by_protocol",
    ):
        assert lines_of(exposition, name) == lines_of(reference, name)
