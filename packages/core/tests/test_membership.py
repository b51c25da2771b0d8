"""Beliefs about peers: late, lost and contradictory hints."""

import random
from collections import Counter
from datetime import UTC, datetime, timedelta

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.membership import Membership, VmRow
from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation

REGIONS = {f"r{r}": [f"r{r}a", f"r{r}b"] for r in range(3)}
START = datetime(2026, 1, 1, tzinfo=UTC)


def roster(per_zone: int = 2) -> dict:
    zones = [zone for zones in REGIONS.values() for zone in zones]
    return {f"{zone}-{i}": {"zone": zone} for zone in zones for i in range(per_zone)}


def document(entries: dict, **more) -> dict:
    return {"regions": REGIONS, "entries": entries, **more}


def digest(revision: int = 1, state: str = "ready") -> Digest:
    return Digest(revision, revision, state, "p", 10_000)


class World:
    def __init__(self, **more):
        self.clock = ManualClock(START)
        self.members = Membership(Incarnation("r0a-0", "1"), self.clock)
        self.members.configure(document(roster(), **more))
        self.members.set_own_digest(digest())
        for seat in roster():
            self.hear(seat)

    def hear(self, seat: str, number: str = "1", state: str = "ready"):
        self.members.on_digest(Incarnation(seat, number), digest(state=state))

    def list(self, seat: str, state: str, at: datetime):
        self.members.on_vm_list([VmRow(seat, state, at)])

    def pass_time(self, seconds: float):
        self.clock.advance(timedelta(seconds=seconds))


def test_entries_are_near_first_and_take_turns():
    members = World().members
    firsts = Counter()
    for _ in range(100):
        chosen = members.entries_for("r1b", 5)
        assert chosen[0][:3] == chosen[1][:3] == "r1b"
        assert {seat[:3] for seat in chosen[2:4]} == {"r1a"}
        firsts.update([chosen[0], f"far {chosen[4]}"])
    assert firsts["r1b-0"] == firsts["r1b-1"] == 50
    assert {firsts[f"far {seat}"] for seat in roster() if seat[:2] != "r1"} <= {12, 13}
    assert members.entries_for(None, 1)[0][:3] == "r0a"


def test_silent_leaving_and_drained_entries_are_not_named():
    drains = {"r1a": {"kind": "zone", "since": "2026-01-01T00:00:10+00:00"}}
    world = World(drains=drains)
    world.pass_time(4.1)
    for seat in roster():
        if seat not in ("r1b-0", "r0a-0"):
            world.hear(seat, state="leaving" if seat == "r0b-0" else "ready")
    world.list("r2a-0", "leaving", START)
    named = set(world.members.entries_for(None, 99))
    assert set(roster()) - named == {"r1b-0", "r0b-0", "r2a-0"}
    world.pass_time(6)
    for seat in roster():
        world.hear(seat)
    assert not {"r1a-0", "r1a-1"} & set(world.members.entries_for("r1a", 99))


def test_an_isolated_entry_still_names_itself():
    world = World()
    world.pass_time(3600)
    assert world.members.entries_for("r2b", 3) == ["r0a-0"]


def test_gone_needs_the_list_and_silence_and_a_new_process_ends_it():
    world = World()
    world.list("r1a-0", "gone", START + timedelta(seconds=1))
    assert world.members.gone_seats() == set()
    world.pass_time(5)
    world.list("r1a-0", "gone", START + timedelta(seconds=1))
    assert world.members.gone_seats() == {"r1a-0"}
    world.hear("r1a-0")
    assert world.members.counters["digests_after_gone"] == 1
    world.hear("r1a-0", number="2")
    world.hear("r1a-0", number="1")
    assert world.members.gone_seats() == set()
    assert world.members.incarnation_of("r1a-0").number == "2"
    world.pass_time(60)
    world.list("r1a-0", "gone", START + timedelta(seconds=1))
    assert world.members.gone_seats() == set()


def test_a_list_that_lags_does_not_bury_the_replacement():
    world = World()
    world.pass_time(10)
    world.hear("r1a-0", number="2")
    world.pass_time(60)
    world.list("r1a-0", "gone", START + timedelta(seconds=5))
    assert world.members.gone_seats() == set()
    world.list("r1a-0", "gone", START + timedelta(seconds=70))
    assert world.members.gone_seats() == {"r1a-0"}
    world.list("r1a-0", "live", START + timedelta(seconds=60))
    assert world.members.gone_seats() == {"r1a-0"}


def test_the_prefix_ages_with_its_digest():
    world = World()
    world.pass_time(4)
    assert world.members.prefix_of("r1a-0") == ("p", timedelta(seconds=6))
    world.pass_time(6)
    assert world.members.prefix_of("r1a-0") is None


@pytest.mark.parametrize(("per_zone", "count", "near"), [(2, 11, 1), (250, 6, 3)])
def test_digests_cost_the_same_in_a_large_fleet_and_reach_every_neighbour(per_zone, count, near):
    clock, rng, entries = ManualClock(START), random.Random(3), roster(per_zone)
    zone = [seat for seat in entries if seat.startswith("r0a")]
    heard = Counter()
    for seat in zone:
        members = Membership(Incarnation(seat, "1"), clock)
        members.configure(document(entries), list(entries)[:40])
        reached = set()
        for _ in range(40):
            targets = members.gossip_targets(rng, 6)
            assert len(set(targets) - {seat}) == count
            heard.update(targets)
            reached.update(targets)
        assert len(reached) >= 11
    assert all(heard[seat] >= 40 * near for seat in zone)


def test_only_seats_known_to_be_out_are_passed_over_as_standbys():
    world = World()
    me = Incarnation("r0a-1", "1")
    members = Membership(me, world.clock)
    members.configure(document(roster()))
    assert members.standby_status(2) == (True, 4)
    assert members.standby_status(1) == (False, 4)
    members.on_digest(Incarnation("r0a-0", "1"), digest(state="leaving"))
    assert members.standby_status(1) == (True, 4)


def test_an_entry_that_leaves_is_named_no_more_from_its_digest_on():
    """What look-ups keep for a second must not outlast the time that it goes on serving."""
    world = World()
    assert "r1b-0" in world.members.entries_for("r1b", 2)
    world.hear("r1b-0", state="leaving")
    assert "r1b-0" not in world.members.entries_for("r1b", 20)
    world.hear("r1b-0", number="2")
    assert "r1b-0" in world.members.entries_for("r1b", 2)
