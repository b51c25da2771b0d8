"""Series of measurements and the straight lines through them."""

import gc
import time
import tracemalloc
import typing as t
from collections.abc import Callable, Sequence

import numpy as np

LEAST_SIZES = 4


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
        If it has fewer than `LEAST_SIZES` sizes.
    """
    sizes = [size for size, _ in series.points]
    if len(set(sizes)) < LEAST_SIZES:
        raise ValueError(f"{series.name}: {len(set(sizes))} sizes, at least {LEAST_SIZES} needed")
    x = _scaled(sizes, series.scale)
    y = np.array([value for _, value in series.points], dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    spread = float(((y - y.mean()) ** 2).sum())
    left = float(((y - (slope * x + intercept)) ** 2).sum())
    # Of values that do not differ there is nothing to explain.
    r2 = 1 - left / spread if spread > 1e-12 * max(float((y**2).sum()), 1e-12) else 1.0
    return Fit(float(slope), float(intercept), r2, series.scale)


def _scaled(sizes: Sequence[float], scale: str) -> "np.ndarray[t.Any, t.Any]":
    x = np.array(sizes, dtype=float)
    return np.log2(x) if scale == "log2" else x


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
