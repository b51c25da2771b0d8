"""Measured series, least-squares lines through them, and measuring helpers."""

import gc
import math
import time
import tracemalloc
import typing as t
from collections.abc import Callable, Sequence
from fractions import Fraction

MIN_SIZES = 4


class Series(t.NamedTuple):
    """One quantity measured at several sizes.

    Attributes
    ----------
    name
        Subject and quantity, dotted.
    against
        Meaning of the sizes.
    unit
        Unit of the values.
    points
        Pairs of size and measured value.
    scale
        ``log2`` if the line is fitted over the binary logarithm of the size, else ``linear``.
    source
        Kind of measurement: code run alone, a model run, or processes.
    """

    name: str
    against: str
    unit: str
    points: tuple[tuple[float, float], ...]
    scale: str = "linear"
    source: str = "code run alone"


class Fit(t.NamedTuple):
    """A least-squares line; `r2` is the fraction of the variance that it explains."""

    slope: float
    intercept: float
    r2: float
    scale: str

    def at(self, size: float) -> float:
        """Return the value of the line at a size, at least 0."""
        return max(self.slope * float(_scaled([size], self.scale)[0]) + self.intercept, 0.0)


def fit(series: Series) -> Fit:
    """Return the least-squares line through a series.

    Raises
    ------
    ValueError
        If the series has fewer than `MIN_SIZES` distinct sizes.
    """
    sizes = [size for size, _ in series.points]
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{series.name}: {len(set(sizes))} sizes, at least {MIN_SIZES} needed")
    x = _scaled(sizes, series.scale)
    y = [Fraction(value) for _, value in series.points]
    # Exact arithmetic makes the result, and thus the generated page, independent of the processor.
    mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
    slope = _covariance(x, y) / _covariance(x, x)
    variation = _covariance(y, y)
    # Constant values have no variance to explain.
    r2 = slope * _covariance(x, y) / variation if variation else Fraction(1)
    return Fit(float(slope), float(mean_y - slope * mean_x), float(r2), series.scale)


def _covariance(x: Sequence[Fraction], y: Sequence[Fraction]) -> Fraction:
    mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
    products = ((one - mean_x) * (other - mean_y) for one, other in zip(x, y, strict=True))
    return sum(products, Fraction(0))


def _scaled(sizes: Sequence[float], scale: str) -> list[Fraction]:
    return [Fraction(math.log2(size) if scale == "log2" else size) for size in sizes]


def cpu_ms(func: Callable[[], object], *, repeat: int = 3, loops: int = 1) -> float:
    """Return the processor time of one call in milliseconds.

    It is the minimum over `repeat` measurements of `loops` calls each.
    """
    best = float("inf")
    for _ in range(repeat):
        gc.collect()
        start = time.process_time_ns()
        for _ in range(loops):
            func()
        best = min(best, time.process_time_ns() - start)
    return best / loops / 1e6


def retained_bytes(factory: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of `factory` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = factory()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before
