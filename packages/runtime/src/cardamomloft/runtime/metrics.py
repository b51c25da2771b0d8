"""Counters and latency histograms for the operators' /metrics page."""

from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters and latencies of one process since its start."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._latency: dict[str, HdrHistogram] = {}
        self._taken: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self.counters[name] += by

    def take_growth(self) -> dict[str, int]:
        """Return the growth of the counters since the last call, of those that have grown."""
        grown = {
            name: value - self._taken[name]
            for name, value in sorted(self.counters.items())
            if value != self._taken[name]
        }
        self._taken = self.counters.copy()
        return grown

    def observe(self, name: str, latency: timedelta) -> None:
        """Record one latency under `name`, which is usually that of a service."""
        histogram = self._latency.get(name)
        if histogram is None:
            histogram = self._latency[name] = HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
            )
        histogram.record_value(max(_MIN_LATENCY_US, int(latency / timedelta(microseconds=1))))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"cardamomloft_{name.replace('-', '_').replace('.', '_')}_total {value}"
            for name, value in sorted(self.counters.items())
        ]
        for name, histogram in sorted(self._latency.items()):
            lines += [
                f'cardamomloft_latency_seconds{{service="{name}",quantile="{p / 100:g}"}} '
                f"{histogram.get_value_at_percentile(p) / 1e6:.6f}"
                for p in _PERCENTILES
            ]
            lines.append(
                f'cardamomloft_latency_seconds_count{{service="{name}"}} '
                f"{histogram.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
