"""Counters and latency histograms, for statsd and for the metrics page."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import statsd
from hdrh.histogram import HdrHistogram

from verbenashore.settings import Address

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99, 99.9)
#: Highest number of counters of one process, and of histograms, each without ``OVERFLOW_NAME``.
#: Names contain routes, and configurations may add hundreds of routes in a day, so without a limit
#: the memory would grow without bound.
MAX_NAMES = 300
#: Name under which all others are counted once the limit is reached.
OVERFLOW_NAME = "other"


class Metrics:
    """Counters and histograms of one process; most have a workspace or a route in their name.

    :param statsd_daemons: the first one receives the metrics too; none if empty.
    """

    def __init__(self, process: str, statsd_daemons: tuple[Address, ...]) -> None:
        self._counts: Counter[str] = Counter()
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._gauge_groups: list[Callable[[], dict[str, float]]] = []
        self._client = (
            statsd.StatsClient(
                statsd_daemons[0].host, statsd_daemons[0].port, prefix=f"verbena.{process}"
            )
            if statsd_daemons
            else None
        )

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        if name not in self._counts and len(self._counts) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self._counts[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def time(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""
        if name not in self._histogram_by_name and len(self._histogram_by_name) >= MAX_NAMES:
            name = OVERFLOW_NAME
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6))))
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def set_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a function that returns the current value of a quantity."""
        self._gauge_by_name[name] = read

    def add_gauges(self, read: Callable[[], dict[str, float]]) -> None:
        """Registers a function that returns the current values of a varying set of quantities.

        They are on the metrics pages only, since there may be too many of them for a log line.
        """
        self._gauge_groups.append(read)

    def _all_gauges(self) -> dict[str, float]:
        values = self.gauges()
        for read in self._gauge_groups:
            values |= read()
        return values

    def gauges(self) -> dict[str, float]:
        """Returns the current values of all gauges."""
        return {name: read() for name, read in sorted(self._gauge_by_name.items())}

    def report(self) -> dict[str, Any]:
        """Returns all counters and gauges, and the percentiles of all histograms in ms."""
        return {
            "counters": dict(self._counts),
            "gauges": self._all_gauges(),
            "histograms_ms": {
                name: {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
                        for percentile in PERCENTILES
                    },
                }
                for name, histogram in self._histogram_by_name.items()
            },
        }

    def as_text(self) -> str:
        """Returns all counters, gauges and percentiles in the Prometheus text format."""
        lines = ["# TYPE verbena_events_total counter"]
        lines += [
            f'verbena_events_total{{name="{_escape_label(name)}"}} {count}'
            for name, count in sorted(self._counts.items())
        ]
        lines.append("# TYPE verbena_value gauge")
        lines += [
            f'verbena_value{{name="{_escape_label(name)}"}} {value:g}'
            for name, value in self._all_gauges().items()
        ]
        lines.append("# TYPE verbena_seconds summary")
        for name, histogram in sorted(self._histogram_by_name.items()):
            label = _escape_label(name)
            lines += [
                f'verbena_seconds{{name="{label}",quantile="{percentile / 100:g}"}} '
                f"{histogram.get_value_at_percentile(percentile) / 1e6:g}"
                for percentile in PERCENTILES
            ]
            lines.append(f'verbena_seconds_count{{name="{label}"}} {histogram.get_total_count()}')
        return "\n".join(lines) + "\n"


def _escape_label(name: str) -> str:
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
