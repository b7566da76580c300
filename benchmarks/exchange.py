"""Measures the exchange of reports among 9 to 370 entry hosts in virtual time.

Every host starts or ends four requests a second. Prints the bytes and processor time
of one host, and the age of the reports that it has, also while a share of the hosts is
of an earlier version; checks no bound.
"""

from __future__ import annotations

from tests.decisions.reports_model import ReportSite

__all__: list[str] = []

HOST_COUNTS = (9, 18, 59, 91, 195, 370)
MIXED_HOST_COUNTS = (8, 91, 195)
EARLIER_SHARES = (0.1, 0.5, 0.9, 1.0)
SETTLE_SECONDS = 4.0
# Earlier hosts ask each of 195 peers once in four seconds.
MIXED_SETTLE_SECONDS = 12.0
MEASURED_SECONDS = 3.0
SAMPLES = 6
OBSERVING_HOSTS = 20


def measure(count: int, earlier: int = 0) -> None:
    """Print the cost and the ages among ``count`` hosts, some of an earlier version."""
    site = ReportSite(count, seed=1, earlier=earlier)
    site.run(MIXED_SETTLE_SECONDS if earlier else SETTLE_SECONDS)
    site.bytes_received, site.seconds_of_processor = 0, 0.0
    ages = []
    for _ in range(SAMPLES):
        site.run(MEASURED_SECONDS / SAMPLES)
        for number in range(0, count, max(1, count // OBSERVING_HOSTS)):
            ages += site.ages(number)
    host_seconds = MEASURED_SECONDS * count
    print(
        f"{count:3} hosts, {earlier:3} earlier: "
        f"{1 / site.pace.ping_interval:.0f} pings/s, "
        f"{site.bytes_received / host_seconds / 1000:.1f} KB/s received, "
        f"{100 * site.seconds_of_processor / host_seconds:.2f}% of a core; "
        f"reports {sum(ages) / len(ages):.2f} s old, {max(ages):.2f} s at most"
    )


for host_count in HOST_COUNTS:
    measure(host_count)
for host_count in MIXED_HOST_COUNTS:
    for share in EARLIER_SHARES:
        measure(host_count, round(share * host_count))
