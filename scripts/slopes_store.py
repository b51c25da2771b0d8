"""Slopes of our use of the store: a model of the stewardship of regions."""

import random
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.stewardship import (
    LEASE_DURATION,
    STANDBYS_PER_REGION,
    ReadLease,
    Renew,
    Step,
    Stewardship,
    TryLease,
    WatchLease,
)
from cardamomloft.entry.steward import WATCH_TIMEOUT
from slopes_fit import Series

_REGION_SIZES = (4, 12, 47, 94, 188)
_QUICK_REGION_SIZES = (4, 8, 16, 32)
_REGIONS = (1, 2, 4, 8)
_STEP = timedelta(milliseconds=100)
_WARM_UP_S = 60
_RUN_S = 150


class _Region:
    """A lease at the store, the entries that try for it, and the count of their calls."""

    def __init__(self, size: int, seed: int) -> None:
        self.clock = ManualClock()
        rng = random.Random(seed)
        self.entries = {f"e{at}": Stewardship("r", self.clock, rng) for at in range(size)}
        for at, entry in enumerate(self.entries.values()):
            entry.set_role(standby=at < STANDBYS_PER_REGION, size=size)
        self.calls = 0
        self._holder: str | None = None
        self._until = timedelta(0)
        self._watches: dict[str, timedelta] = {}
        self._config_watches: dict[str, timedelta] = {}

    def run(self, seconds: float) -> None:
        end = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.clock.monotonic() < end:
            self.clock.advance(_STEP)
            self._turn(self.clock.monotonic())

    def _turn(self, now: timedelta) -> None:
        if now >= self._until:
            self._holder = None
        for name, entry in self.entries.items():
            if name in self._watches and (not self._holder or now >= self._watches[name]):
                del self._watches[name]
                self._perform(name, self._report(entry))
            if entry.peer_to_probe() and self._holder:
                entry.record_message(self._holder)
            self._perform(name, entry.tick())
            if entry.watches_configuration and now >= self._config_watches.get(name, now):
                self.calls += 1
                self._config_watches[name] = now + WATCH_TIMEOUT

    def _report(self, entry: Stewardship) -> list[Step]:
        return entry.lease_held(self._holder) if self._holder else entry.lease_free()

    def _perform(self, name: str, steps: list[Step]) -> None:
        for step in steps:
            # A try for the lease is two calls: one makes it, one acquires the key.
            self.calls += 2 if isinstance(step, TryLease) else 1
            self._perform(name, self._answer(name, self.entries[name], step))

    def _answer(self, name: str, entry: Stewardship, step: Step) -> list[Step]:
        now = self.clock.monotonic()
        if isinstance(step, WatchLease) and self._holder:
            self._watches[name] = now + WATCH_TIMEOUT
            return []
        if isinstance(step, WatchLease | ReadLease):
            return self._report(entry)
        if isinstance(step, TryLease) and self._holder not in (None, name):
            return entry.lease_refused()
        if isinstance(step, Renew) and self._holder != name:
            return entry.lease_lost()
        self._holder, self._until = name, now + LEASE_DURATION
        return entry.lease_granted()


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield every series of the store's use."""
    sizes = _QUICK_REGION_SIZES if quick else _REGION_SIZES
    by_size = tuple((size, _calls_per_s(size, 1)) for size in sizes)
    yield Series(
        "store.region_calls", "entries in the region", "calls/s", by_size, source="model run"
    )
    each = 12
    by_regions = tuple(
        (count, sum(_calls_per_s(each, seed) for seed in range(count))) for count in _REGIONS
    )
    yield Series("store.calls", "regions", "calls/s", by_regions, source="model run")


def _calls_per_s(size: int, seed: int) -> float:
    region = _Region(size, seed)
    region.run(_WARM_UP_S)
    before = region.calls
    region.run(_RUN_S)
    return (region.calls - before) / _RUN_S
