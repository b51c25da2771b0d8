"""Shifts keep to their cap, counts follow fractions, and plans move traffic in time."""

import itertools
import random
from datetime import timedelta

import pytest
from cardamomloft.core import ramping
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Priority
from cardamomloft.core.ramping import Shift, WeightedRoundRobin
from cardamomloft.core.rules import Directive, WeightedPlace
from cardamomloft.core.shifting import (
    AppliedMove,
    Schedule,
    ServiceSnapshot,
    UpcomingDrain,
    apply_moves,
    expand_places,
    target_distribution,
)
from hypothesis import given, settings
from hypothesis import strategies as st

NOTHING = frozenset()
SNAPSHOT = ServiceSnapshot(
    region="r1",
    zone="a1",
    regions={"r1": ["a1", "b1"], "r2": ["a2", "b2"], "r3": ["a3"]},
    region_of={"a1": "r1", "b1": "r1", "a2": "r2", "b2": "r2", "a3": "r3"},
    slots={"a1": 6, "b1": 2, "a2": 4, "b2": 4, "a3": 4},
    drained=NOTHING,
    dead=NOTHING,
    upcoming_drains=(),
)


def seconds(value):
    return timedelta(seconds=value)


def rule(*places, spill=()):
    rows = tuple(
        WeightedPlace(n if n[0] == "r" else None, None if n[0] == "r" else n, w) for n, w in places
    )
    return Directive("rule", rows, None, None, 1, spill)


def moved(old, new):
    return sum(max(0.0, new.get(p, 0) - old.get(p, 0)) for p in old.keys() | new.keys())


def check_cap(samples, cap):
    """Fail if more traffic moved between two samples than the cap allows in at most one second."""
    for (at, old), (later, new) in itertools.pairwise(samples):
        allowed = cap * min(1.0, (later - at).total_seconds())
        assert moved(old, new) <= allowed + 1e-9
        assert sum(new.values()) == pytest.approx(1)


def shift_with_pause():
    """Sample a shift that changes its target, with a process pause of 30 s in the middle."""
    shift, now, samples = Shift({"a": 0.7, "b": 0.3}, seconds(0)), seconds(0), []
    for step in [0.05] * 20 + [30] + [0.05] * 100:
        now += seconds(step)
        target = {"b": 0.3, "c": 0.7} if now < seconds(0.5) else {"c": 0.2, "d": 0.8}
        samples.append((now, dict(shift.fractions)))
        shift.advance(now, target, frozenset({"a"}), 0.1)
        samples[-1] = (now, dict(shift.fractions))
    return samples


def test_cap_holds_during_a_process_pause_and_a_second_shift():
    samples = shift_with_pause()
    check_cap(samples, 0.1)
    assert samples[-1][1] != samples[0][1]


def test_check_cap_detects_a_ramp_that_catches_up_after_a_pause(monkeypatch):
    monkeypatch.setattr(ramping, "MAX_CREDIT", timedelta(hours=1))
    with pytest.raises(AssertionError):
        check_cap(shift_with_pause(), 0.1)


def test_closed_places_lose_traffic_first():
    shift = Shift({"dead": 0.4, "old": 0.6}, seconds(0))
    shift.advance(seconds(1), {"new": 1.0}, frozenset({"dead"}), 0.3)
    assert shift.fractions == pytest.approx({"dead": 0.1, "old": 0.6, "new": 0.3})


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.lists(st.integers(1, 40), min_size=2, max_size=6), st.integers(0, 150))
def test_counts_follow_fractions(weights, start):
    fractions = {str(i): weight / sum(weights) for i, weight in enumerate(weights)}
    selector, counts, window = WeightedRoundRobin(), dict.fromkeys(fractions, 0), {}
    for number in range(1, 301):
        counts[selector.pick(fractions)] += 1
        if number == start:
            window = dict(counts)
        for place, fraction in fractions.items():
            assert abs(counts[place] - number * fraction) < 1
            since = counts[place] - window.get(place, 0)
            assert number < start or abs(since - (number - start) * fraction) < 2


def test_counts_follow_fractions_while_they_change():
    shift, sums, counts = Shift({"a": 0.9, "b": 0.1}, seconds(0)), {}, {}
    for step in range(400):
        shift.advance(seconds(step / 100), {"b": 0.5, "c": 0.5}, NOTHING, 0.25)
        place = shift.pick(Priority.NORMAL, NOTHING)
        counts[place] = counts.get(place, 0) + 1
        for name, fraction in shift.fractions.items():
            sums[name] = sums.get(name, 0) + fraction
        assert all(abs(counts.get(name, 0) - total) <= 1 for name, total in sums.items())
    assert counts.keys() == {"a", "b", "c"}


def test_high_priority_is_served_first_and_open_places_keep_their_fraction():
    shift, rng = Shift({"dead": 0.6, "live": 0.4}, seconds(0)), random.Random(7)
    sent, offered = dict.fromkeys(Priority, 0), dict.fromkeys(Priority, 0)
    for number in range(1, 2001):
        priority = rng.choices(list(Priority), [2, 3, 5])[0]
        offered[priority] += 1
        sent[priority] += shift.pick(priority, frozenset({"dead"})) is not None
        assert sum(sent.values()) <= number * 0.4 + 1
    rates = [sent[priority] / offered[priority] for priority in Priority]
    assert (rates[0] > 0.98, rates[1] > 0.6, rates[2] < 0.05) == (True, True, True), rates
    assert sum(sent.values()) > 0.39 * 2000


def test_overflow_grows_with_demand_within_the_rest_of_the_cap():
    shift = Shift({"a": 1.0}, seconds(0))
    shift.want_overflow(seconds(0.5))
    shift.advance(seconds(1), {"a": 0.95, "b": 0.05}, NOTHING, 0.2)
    assert shift.overflow == pytest.approx(0.15)
    shift.advance(seconds(2), {"a": 0.95, "b": 0.05}, NOTHING, 0.2)
    assert shift.overflow == 0


def test_region_weight_follows_open_slots_and_stays_in_the_region():
    assert expand_places(rule(("r1", 1), ("a2", 1)).places, SNAPSHOT) == pytest.approx(
        {"a1": 0.375, "b1": 0.125, "a2": 0.5}
    )
    snapshot = SNAPSHOT._replace(drained=frozenset({"a1"}))
    assert target_distribution(
        rule(("r1", 1), ("a2", 1)), snapshot, (), 0.5
    ).fractions == pytest.approx({"b1": 0.5, "a2": 0.5})


def test_standby_then_spill_then_dead_places_are_used_if_no_place_is_left():
    snapshot = SNAPSHOT._replace(dead=frozenset({"a1", "b1"}))
    assert target_distribution(rule(("r1", 1), ("a3", 0)), snapshot, (), 0.5).fractions == {"a3": 1}
    spilled = target_distribution(rule(("r1", 1), spill=("r2", "r3")), snapshot, (), 0.5)
    assert spilled.fractions == {"a2": 0.5, "b2": 0.5}
    assert spilled.closed == {"a1", "b1"}
    assert target_distribution(rule(), snapshot, (), 0.5).fractions == {"a2": 0.5, "b2": 0.5}
    tried = target_distribution(rule(("r1", 1)), snapshot, (), 0.5)
    assert tried.fractions.keys() == {"a1", "b1"}
    assert not tried.closed
    assert not target_distribution(
        rule(("a1", 1)), SNAPSHOT._replace(drained=frozenset({"a1"})), (), 1
    ).fractions


def test_move_before_a_drain_keeps_traffic_at_its_target():
    snapshot = SNAPSHOT._replace(drained=frozenset({"a1"}))
    move = AppliedMove("a1", "a2", 1.0)
    assert target_distribution(rule(("a1", 1)), snapshot, [move], 0.5).fractions == {"a2": 1}
    refused = target_distribution(
        rule(("a1", 1), ("b1", 1)), SNAPSHOT._replace(dead=frozenset({"a2"})), [move], 1
    )
    assert refused.fractions == {"a1": 0.5, "b1": 0.5}


def test_moves_of_one_origin_divide_its_weight():
    moves = [AppliedMove("a", "b", 0.75), AppliedMove("a", "c", 0.75)]
    assert apply_moves({"a": 0.8, "d": 0.2}, moves) == pytest.approx(
        {"a": 0, "b": 0.4, "c": 0.4, "d": 0.2}
    )


@pytest.mark.parametrize("second", [20, 21])
def test_announced_drains_move_all_traffic_within_the_cap_before_they_begin(second):
    drains, samples, shift = {"a1": 20, "b1": second}, [], None
    for step in range(second * 20):
        at = step / 20
        upcoming_drains = tuple(
            UpcomingDrain(z, seconds(t - at)) for z, t in drains.items() if t > at
        )
        drained = frozenset(zone for zone, t in drains.items() if t <= at)
        target = target_distribution(
            rule(("r1", 3), ("r2", 1)),
            SNAPSHOT._replace(upcoming_drains=upcoming_drains, drained=drained),
            (),
            0.1,
        )
        shift = shift or Shift(target.fractions, seconds(0))
        shift.advance(seconds(at), target.fractions, target.closed, 0.1)
        samples.append((seconds(at), dict(shift.fractions)))
        assert shift.on(drained) == 0
    check_cap(samples, 0.1)
    assert samples[0][1].keys() == {"a1", "b1", "a2", "b2"}
    assert shift.fractions.keys() == {"a2", "b2"}


def document(moves=(), drains=None):
    upstreams = {"e1": {"zone": "a1"}, "e2": {"zone": "a2"}}
    return {
        "regions": SNAPSHOT.regions,
        "services": {"menus": {"upstreams": upstreams}},
        "moves": dict(moves),
        "drains": drains or {},
    }


def move_row(clock, begin, percent=50, cap=10):
    since = (clock.utcnow() + seconds(begin)).isoformat()
    return {
        "service": "menus",
        "origin": "a1",
        "target": "a2",
        "percent": percent,
        "cap_percent_per_s": cap,
        "since": since,
    }


def run_schedule(schedule, clock, duration):
    for _ in range(int(duration * 10)):
        clock.advance(seconds(0.1))
        schedule.advance()
    return sum(move.fraction for move in schedule.moves("menus"))


def test_move_ramps_up_from_its_start_and_down_when_revoked():
    clock = ManualClock()
    schedule = Schedule(clock)
    schedule.configure(document())
    schedule.configure(document([("m", move_row(clock, begin=5))]))
    assert run_schedule(schedule, clock, 5) <= 0.01
    assert run_schedule(schedule, clock, 2) == pytest.approx(0.2, abs=0.02)
    assert run_schedule(schedule, clock, 10) == pytest.approx(0.5)
    schedule.configure(document())
    assert run_schedule(schedule, clock, 2) == pytest.approx(0.3, abs=0.01)
    assert run_schedule(schedule, clock, 4) == 0


def test_restart_resumes_a_move_within_the_cap_since_its_start():
    clock = ManualClock()
    row = move_row(clock, begin=-3)
    fresh, late = Schedule(clock), Schedule(clock)
    late.configure(document())
    for schedule in (fresh, late):
        schedule.configure(document([("m", row)]))
    assert [move.fraction for move in fresh.moves("menus")] == pytest.approx([0.3])
    assert late.moves("menus") == []


def test_wall_clock_step_back_undoes_no_move_or_drain():
    clock = ManualClock()
    schedule = Schedule(clock)
    drain = {"a1": {"kind": "zone", "since": (clock.utcnow() + seconds(1)).isoformat()}}
    schedule.configure(document([("m", move_row(clock, begin=1))], drain))
    run_schedule(schedule, clock, 2)
    before = clock.utcnow
    clock.utcnow = lambda: before() - timedelta(hours=1)
    assert run_schedule(schedule, clock, 2) == pytest.approx(0.29, abs=0.03)
    assert schedule.is_closed("e1")
    assert not schedule.is_closed("e2")


def test_region_is_split_by_the_base_slots_of_this_entry():
    """Requests must not wait in a full zone while this entry's own slots are idle."""
    snapshot = SNAPSHOT._replace(base_slots={"a1": 3, "b1": 1, "a2": 0, "b2": 0, "a3": 0})
    assert expand_places(rule(("r1", 1)).places, snapshot) == {"a1": 0.75, "b1": 0.25}
    assert expand_places(rule(("r2", 1)).places, snapshot) == {"a2": 0.5, "b2": 0.5}
    after_drain = snapshot._replace(
        slots={**SNAPSHOT.slots, "a1": 0}, base_slots={**snapshot.base_slots, "a1": 0}
    )
    assert expand_places(rule(("r1", 1)).places, after_drain) == {"a1": 0.0, "b1": 1.0}
