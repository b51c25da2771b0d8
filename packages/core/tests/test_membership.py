"""Peer state from late, lost and contradictory digests and VM lists."""

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


class Fleet:
    def __init__(self, **more):
        self.clock = ManualClock(START)
        self.members = Membership(Incarnation("r0a-0", "1"), self.clock)
        self.members.configure(document(roster(), **more))
        self.members.set_own_digest(digest())
        for seat in roster():
            self.receive(seat)

    def receive(self, seat: str, number: str = "1", state: str = "ready"):
        self.members.on_digest(Incarnation(seat, number), digest(state=state))

    def list_vm(self, seat: str, state: str, at: datetime):
        self.members.on_vm_list([VmRow(seat, state, at)])

    def advance(self, seconds: float):
        self.clock.advance(timedelta(seconds=seconds))


def test_entries_are_ordered_by_distance_and_rotated():
    members = Fleet().members
    firsts = Counter()
    for _ in range(100):
        chosen = members.entries_for("r1b", 5)
        assert chosen[0][:3] == chosen[1][:3] == "r1b"
        assert {seat[:3] for seat in chosen[2:4]} == {"r1a"}
        firsts.update([chosen[0], f"far {chosen[4]}"])
    assert firsts["r1b-0"] == firsts["r1b-1"] == 50
    assert {firsts[f"far {seat}"] for seat in roster() if seat[:2] != "r1"} <= {12, 13}
    assert members.entries_for(None, 1)[0][:3] == "r0a"


def test_silent_leaving_and_drained_entries_are_not_recommended():
    drains = {"r1a": {"kind": "zone", "since": "2026-01-01T00:00:10+00:00"}}
    fleet = Fleet(drains=drains)
    fleet.advance(4.1)
    for seat in roster():
        if seat not in ("r1b-0", "r0a-0"):
            fleet.receive(seat, state="leaving" if seat == "r0b-0" else "ready")
    fleet.list_vm("r2a-0", "leaving", START)
    named = set(fleet.members.entries_for(None, 99))
    assert set(roster()) - named == {"r1b-0", "r0b-0", "r2a-0"}
    fleet.advance(6)
    for seat in roster():
        fleet.receive(seat)
    assert not {"r1a-0", "r1a-1"} & set(fleet.members.entries_for("r1a", 99))


def test_an_isolated_entry_recommends_itself():
    fleet = Fleet()
    fleet.advance(3600)
    assert fleet.members.entries_for("r2b", 3) == ["r0a-0"]


def test_a_seat_is_gone_only_if_listed_and_silent_and_until_a_new_process_takes_it():
    fleet = Fleet()
    fleet.list_vm("r1a-0", "gone", START + timedelta(seconds=1))
    assert fleet.members.gone_seats() == set()
    fleet.advance(5)
    fleet.list_vm("r1a-0", "gone", START + timedelta(seconds=1))
    assert fleet.members.gone_seats() == {"r1a-0"}
    fleet.receive("r1a-0")
    assert fleet.members.counters["digests_after_gone"] == 1
    fleet.receive("r1a-0", number="2")
    fleet.receive("r1a-0", number="1")
    assert fleet.members.gone_seats() == set()
    assert fleet.members.incarnation_of("r1a-0").number == "2"
    fleet.advance(60)
    fleet.list_vm("r1a-0", "gone", START + timedelta(seconds=1))
    assert fleet.members.gone_seats() == set()


def test_a_lagging_vm_list_does_not_mark_the_replacement_as_gone():
    fleet = Fleet()
    fleet.advance(10)
    fleet.receive("r1a-0", number="2")
    fleet.advance(60)
    fleet.list_vm("r1a-0", "gone", START + timedelta(seconds=5))
    assert fleet.members.gone_seats() == set()
    fleet.list_vm("r1a-0", "gone", START + timedelta(seconds=70))
    assert fleet.members.gone_seats() == {"r1a-0"}
    fleet.list_vm("r1a-0", "live", START + timedelta(seconds=60))
    assert fleet.members.gone_seats() == {"r1a-0"}


def test_the_prefix_validity_decreases_with_the_age_of_the_digest():
    fleet = Fleet()
    fleet.advance(4)
    assert fleet.members.prefix_of("r1a-0") == ("p", timedelta(seconds=6))
    fleet.advance(6)
    assert fleet.members.prefix_of("r1a-0") is None


@pytest.mark.parametrize(("per_zone", "count", "near"), [(2, 11, 1), (250, 6, 3)])
def test_digest_targets_are_bounded_in_a_large_fleet_and_cover_all_neighbours(
    per_zone, count, near
):
    clock, rng, entries = ManualClock(START), random.Random(3), roster(per_zone)
    zone = [seat for seat in entries if seat.startswith("r0a")]
    target_counts = Counter()
    for seat in zone:
        members = Membership(Incarnation(seat, "1"), clock)
        members.configure(document(entries), list(entries)[:40])
        reached = set()
        for _ in range(40):
            targets = members.gossip_targets(rng, 6)
            assert len(set(targets) - {seat}) == count
            target_counts.update(targets)
            reached.update(targets)
        assert len(reached) >= 11
    assert all(target_counts[seat] >= 40 * near for seat in zone)


def test_only_seats_known_as_leaving_are_skipped_as_standbys():
    fleet = Fleet()
    me = Incarnation("r0a-1", "1")
    members = Membership(me, fleet.clock)
    members.configure(document(roster()))
    assert members.standby_status(2) == (True, 4)
    assert members.standby_status(1) == (False, 4)
    members.on_digest(Incarnation("r0a-0", "1"), digest(state="leaving"))
    assert members.standby_status(1) == (True, 4)


def test_a_leaving_entry_is_not_recommended_from_its_digest_on():
    """A cached look-up must not name an entry after it announced that it is leaving."""
    fleet = Fleet()
    assert "r1b-0" in fleet.members.entries_for("r1b", 2)
    fleet.receive("r1b-0", state="leaving")
    assert "r1b-0" not in fleet.members.entries_for("r1b", 20)
    fleet.receive("r1b-0", number="2")
    assert "r1b-0" in fleet.members.entries_for("r1b", 2)
