"""Steward election: failures, silent holders and the number of store calls."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.stewardship import (
    LEASE_DURATION,
    ReadLease,
    Renew,
    Stewardship,
    TryLease,
    WatchLease,
)

STEP = timedelta(milliseconds=50)


class Region:
    """A simulated lease, the entries that try for it, and the count of store calls."""

    def __init__(self, size: int, seed: int = 1):
        self.clock = ManualClock()
        rng = random.Random(seed)
        self.entries = {f"e{i}": Stewardship("r", self.clock, rng) for i in range(size)}
        for i, entry in enumerate(self.entries.values()):
            entry.set_role(standby=i < 2, size=size)
        self.holder, self.until = None, timedelta(0)
        self.watches: dict[str, timedelta] = {}
        self.dead: set[str] = set()
        self.store_up = True
        self.calls = 0

    def stewards(self):
        return [n for n, e in self.entries.items() if n not in self.dead and e.is_steward]

    def watching(self):
        return [
            n for n, e in self.entries.items() if n not in self.dead and e.watches_configuration
        ]

    def run(self, seconds: float):
        end = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.clock.monotonic() < end:
            self.clock.advance(STEP)
            self.turn()

    def turn(self):
        now = self.clock.monotonic()
        if now >= self.until and self.store_up:
            self.holder = None
        for name, entry in self.entries.items():
            if name in self.dead:
                continue
            if name in self.watches and (not self.holder or now >= self.watches[name]):
                del self.watches[name]
                self.perform(name, self.report(entry))
            if self.holder not in self.dead and entry.peer_to_probe():
                entry.record_message(self.holder)
            self.perform(name, entry.tick())

    def report(self, entry):
        return entry.lease_held(self.holder) if self.holder else entry.lease_free()

    def perform(self, name, steps):
        for step in steps:
            self.calls += 1
            self.perform(name, self.perform_call(name, self.entries[name], step))

    def perform_call(self, name, entry, step):
        now = self.clock.monotonic()
        if not self.store_up:
            return entry.store_failed()
        if isinstance(step, WatchLease) and self.holder:
            self.watches[name] = now + timedelta(seconds=30)
            return []
        if isinstance(step, WatchLease | ReadLease):
            return self.report(entry)
        if isinstance(step, TryLease) and self.holder not in (None, name):
            return entry.lease_refused()
        if isinstance(step, Renew) and self.holder != name:
            return entry.lease_lost()
        self.holder, self.until = name, now + LEASE_DURATION
        return entry.lease_granted()


@pytest.mark.parametrize("size", [4, 188])
def test_there_is_one_steward_and_store_calls_do_not_grow_with_the_fleet(size):
    region = Region(size)
    region.run(60)
    assert len(region.stewards()) == 1
    before = region.calls
    region.run(150)
    assert region.stewards() == region.watching()
    assert (region.calls - before) / 150 < 1


def test_a_standby_watches_the_configuration_before_a_dead_stewards_lease_expires():
    region = Region(4)
    region.run(60)
    dead = region.holder
    region.dead.add(dead)
    region.run(2.2)
    assert region.watching()
    assert region.holder == dead
    region.run(12)
    assert region.stewards() == [region.holder]
    assert region.holder != dead


def test_another_entry_takes_over_when_the_steward_and_the_standbys_die_together():
    region = Region(30)
    region.run(60)
    region.dead |= {"e0", "e1", region.holder}
    region.run(60)
    assert region.stewards() == [region.holder]


def test_a_paused_steward_detects_its_lost_lease_and_steps_down():
    region = Region(4)
    region.run(60)
    paused = region.holder
    region.dead.add(paused)
    region.run(60)
    region.dead.clear()
    assert len(region.stewards()) == 2
    region.run(1)
    assert region.stewards() == [region.holder] != [paused]


def test_store_calls_back_off_during_an_outage_and_recover_after_it():
    region = Region(4)
    region.run(60)
    region.store_up, before = False, region.calls
    for name in region.watches:
        region.entries[name].store_failed()
    region.watches.clear()
    region.run(600)
    assert (region.calls - before) / 600 < 1
    region.store_up = True
    region.run(120)
    assert len(region.stewards()) == 1


def test_a_new_incarnation_of_the_stewards_seat_does_not_count_as_the_steward():
    """It has no lease, so its messages must not keep the standbys from watching."""
    clock = ManualClock()
    standby = Stewardship("r", clock, random.Random(1))
    standby.set_role(standby=True, size=4)
    while not standby.tick():
        clock.advance(STEP)
    standby.lease_held("e1/old")
    for _ in range(40):
        clock.advance(STEP)
        standby.record_message("e1/new")
    assert standby.watches_configuration
    assert standby.peer_to_probe() == "e1"
    standby.record_message("e1/old")
    assert not standby.watches_configuration
