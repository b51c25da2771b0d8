"""Series of measurements and the straight lines through them."""

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
        What the sizes count.
    unit
        Unit of the values.
    points
        Pairs of size and value, as measured.
    scale
        ``log2`` if the line is drawn against the binary logarithm of the size, ``linear`` else.
    source
        Where the values come from: code run alone, a model run, or processes.
    """

    name: str
    against: str
    unit: str
    points: tuple[tuple[float, float], ...]
    scale: str = "linear"
    source: str = "code run alone"


class Fit(t.NamedTuple):
    """A line by least squares; `r2` is the part of the variance it explains."""

    slope: float
    intercept: float
    r2: float
    scale: str

    def at(self, size: float) -> float:
        """Return the value at a size; a line may go below zero, a quantity does not."""
        return max(self.slope * float(_scaled([size], self.scale)[0]) + self.intercept, 0.0)


def fit(series: Series) -> Fit:
    """Return the line through a series.

    Raises
    ------
    ValueError
        If it has fewer than `MIN_SIZES` sizes.
    """
    sizes = [size for size, _ in series.points]
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{series.name}: {len(set(sizes))} sizes, at least {MIN_SIZES} needed")
    x = _scaled(sizes, series.scale)
    y = [Fraction(value) for _, value in series.points]
    # Exact sums: rounded ones give another intercept with each kernel that numpy picks for the
    # processor (7.21e-10 and 3.92e-10 for a line through the origin), and so another page.
    middle_x, middle_y = sum(x) / len(x), sum(y) / len(y)
    slope = _covariance(x, y) / _covariance(x, x)
    spread = _covariance(y, y)
    # Of values that do not differ there is nothing to explain.
    r2 = slope * _covariance(x, y) / spread if spread else Fraction(1)
    return Fit(float(slope), float(middle_y - slope * middle_x), float(r2), series.scale)


def _covariance(x: Sequence[Fraction], y: Sequence[Fraction]) -> Fraction:
    middle_x, middle_y = sum(x) / len(x), sum(y) / len(y)
    products = ((one - middle_x) * (other - middle_y) for one, other in zip(x, y, strict=True))
    return sum(products, Fraction(0))


def _scaled(sizes: Sequence[float], scale: str) -> list[Fraction]:
    return [Fraction(math.log2(size) if scale == "log2" else size) for size in sizes]


def cpu_ms(act: Callable[[], object], *, repeat: int = 3, loops: int = 1) -> float:
    """Return the least processor time of `repeat` tries, in milliseconds for one call."""
    best = float("inf")
    for _ in range(repeat):
        gc.collect()
        start = time.process_time_ns()
        for _ in range(loops):
            act()
        best = min(best, time.process_time_ns() - start)
    return best / loops / 1e6


def held_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that what `make` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
