"""Tells where a day on the users' bench lost worth: by time, route and cause.

Reads the report and the log of one played day:

    fleetbench run SITE DAY --log all --report REPORT > LOG
    python tools/loss_table.py REPORT LOG

The bench's report has the worth of each span of two seconds, of each kind of request
and of each price. The hosts' structured log has the reason for each refusal and each
failed or late answer, by request.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Loss", "find_losses", "main"]

# Simulated seconds, the host's name and the event, as the bench prints them.
LOG_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
SPAN_SECONDS = 2
MAX_SPANS = 8
LATE = "late"


@dataclass(frozen=True)
class Loss:
    """A request that a host refused, failed or answered late."""

    span: int
    route: str
    cause: str


def find_losses(lines: list[str], late_seconds: float) -> list[Loss]:
    """Return the losses in a log; late are first parts after ``late_seconds``."""
    losses = []
    for line in lines:
        match = LOG_LINE.match(line)
        if match is None:
            continue
        event = json.loads(match[3])
        span = int(float(match[1]) // SPAN_SECONDS) * SPAN_SECONDS
        cause = _cause(event, late_seconds)
        if cause is not None:
            losses.append(Loss(span, event.get("route") or "-", cause))
    return losses


def _cause(event: dict, late_seconds: float) -> str | None:
    match event.get("event"):
        case "refused":
            return f"refused: {event['reason']}"
        case "forwarded" if event["outcome"] != "answered":
            return f"{event['outcome']}: {_first_failure(event)}"
        case "forwarded" if event["status"] >= 400:
            return f"status {event['status']}: {_first_failure(event)}"
        case "forwarded" if (event["first_part"] or 0) > late_seconds:
            return LATE
    return None


def _first_failure(event: dict) -> str:
    """Return the reason of a failure without the endpoint's name."""
    failures = event.get("failures") or ["-"]
    return failures[0].partition(" ")[2] or failures[0]


def _print_report(report: dict) -> None:
    print(f"worth {report['G']:.3f}, served {report['served']:.3f}")
    for name, weight, value in report["parts"]:
        print(f"  {name:30} {value:.3f} of weight {weight}")
    for name, amount, cost in sorted(report["prices"], key=lambda price: -price[2]):
        if cost >= 0.002:
            print(f"  {name:30} {amount:.1f} costs {cost:.3f}")
    for kind in report["classes"]:
        print(
            f"  {kind['name']:30} worth {kind['worth']:.3f}, late {kind['late']}, "
            f"refused {kind['refused']}, failed {kind['failed']} of {kind['n']}"
        )
    spans = [span for span in report["windows"] if span["worth"] is not None]
    for span in sorted(spans, key=lambda span: span["worth"])[:MAX_SPANS]:
        print(f"  from second {span['name']:18} worth {span['worth']:.3f}")


def main(arguments: list[str]) -> None:
    """Print the tables of the day whose report and log are named."""
    report_path, log_path, *rest = arguments
    late_seconds = float(rest[0]) if rest else 1.0
    _print_report(json.loads(Path(report_path).read_text()))
    lines = Path(log_path).read_text(errors="replace").splitlines()
    losses = find_losses(lines, late_seconds)
    print("by cause")
    for cause, count in Counter(loss.cause for loss in losses).most_common(20):
        print(f"  {count:6} {cause}")
    print("by span and cause")
    by_span = Counter((loss.span, loss.cause) for loss in losses)
    for (span, cause), count in by_span.most_common(20):
        print(f"  from second {span:4} {count:6} {cause}")


if __name__ == "__main__":
    main(sys.argv[1:])
