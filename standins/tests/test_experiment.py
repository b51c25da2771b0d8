"""The model of callers, gateways and endpoints, and what it says of placement."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.registrations import Registration
from cardamomloft_standins.experiment.callers import Outcome
from cardamomloft_standins.experiment.endpoints import Job, ModelEndpoint
from cardamomloft_standins.experiment.loop import Loop
from cardamomloft_standins.experiment.policies import POLICIES
from cardamomloft_standins.experiment.report import (
    Summary,
    by_window,
    plot,
    spread,
    summarize,
    table,
)
from cardamomloft_standins.experiment.scenarios import Traits, scenario
from cardamomloft_standins.experiment.simulation import Simulation
from twisted.internet.task import Clock

CREDITS = (0.9, 0.4, 0.5)
TRAITS = Traits(2, 1, 2, timedelta(milliseconds=400), 0.25, 0.0)
ROW = Registration("i-1", "modelled", "i-1", "a1", 2, False, timedelta(0))


class Endpoint:
    """A modelled endpoint and what it says of each request."""

    def __init__(self):
        self.clock = Clock()
        self.model = ModelEndpoint(self.clock, ROW, TRAITS, random.Random(1))
        self.ended = []

    def ask(self, key, until=10.0):
        self.model.offer(Job(key, until, self.ended.append))


def test_an_endpoint_runs_as_many_as_it_has_slots_and_refuses_beyond_its_queue():
    endpoint = Endpoint()
    for key in "abcd":
        endpoint.ask(key)
    assert [end.ran for end in endpoint.ended] == [False]
    assert endpoint.model.load() == "2,1,2"
    endpoint.clock.advance(0.4)
    endpoint.clock.advance(0.4)
    assert [end.ran for end in endpoint.ended] == [False, True, True, True]


def test_work_on_an_object_at_hand_is_short_until_others_push_it_out():
    endpoint = Endpoint()
    for key in "aabca":
        endpoint.ask(key)
        endpoint.clock.advance(0.5)
    assert [end.warm for end in endpoint.ended] == [False, True, False, False, False]


def test_what_nobody_waits_for_is_dropped_from_the_queue():
    endpoint = Endpoint()
    for key in "ab":
        endpoint.ask(key)
    endpoint.ask("c", until=0.1)
    endpoint.clock.advance(1)
    assert sorted(end.ran for end in endpoint.ended) == [False, True, True]
    assert endpoint.model.load() == "0,0,2"


def test_a_lost_endpoint_answers_nothing():
    endpoint = Endpoint()
    endpoint.ask("a")
    endpoint.model.lose()
    endpoint.ask("b")
    endpoint.clock.advance(1)
    assert endpoint.ended == []


def test_a_summary_counts_each_request_once():
    rows = [
        Outcome(0.1, 1.0, "served", 0.2, True),
        Outcome(0.2, 0.2, "late", 0.9, False),
        Outcome(2.1, 0.0, "refused", 0.0, False),
    ]
    summary = summarize(rows)
    assert (summary.requests, summary.credit) == (3, pytest.approx(0.4))
    assert (summary.served, summary.late, summary.refused) == pytest.approx((1 / 3,) * 3)
    assert (summary.worst, summary.warm) == (0.0, 0.5)
    assert by_window(rows) == {0.0: pytest.approx(0.6), 2.0: 0.0}
    assert len(table({"product": spread([summary])}).splitlines()) == 2


def test_several_plays_give_medians_and_between_what_the_credit_lies():
    plays = [Summary(10, credit, 0.1, 0.5, 0.2, 0.1, 0.2, 0.9, 100.0, 900.0) for credit in CREDITS]
    found = spread(plays)
    assert (found.median.credit, found.least, found.most) == (0.5, 0.4, 0.9)
    assert found.median.requests == 10
    assert spread(plays[:1]).median == plays[0]
    row = table({"product": found}).splitlines()[1].split()
    assert row[0] == "product" and row[-2:] == ["0.400", "0.900"]


def test_a_plot_is_drawn(tmp_path):
    rows = [Outcome(0.1, 1.0, "served", 0.2, True)]
    plot({"product": rows}, "calm", tmp_path / "calm.png")
    assert (tmp_path / "calm.png").stat().st_size > 1000


def _played(name: str, policy: str, use: float, seconds: int = 10) -> Summary:
    played = scenario(name, use)._replace(length=timedelta(seconds=seconds))
    return summarize(Simulation(played, POLICIES[policy], seed=1).run())


def test_the_same_seed_gives_the_same_play():
    assert _played("calm", "product", 0.2) == _played("calm", "product", 0.2)


def test_a_half_idle_second_endpoint_serves_more_than_one_with_a_free_slot():
    """At 0.7 of the capacity, where objects that push each other out cost most."""
    product, eager = _played("calm", "product", 0.7), _played("calm", "eager-second", 0.7)
    assert product.credit > eager.credit + 0.03
    assert product.warm > eager.warm


def test_placement_by_object_serves_far_more_than_the_nearest_endpoint():
    product, nearest = _played("calm", "product", 0.4), _played("calm", "nearest", 0.4)
    assert product.credit > nearest.credit + 0.2


def test_an_object_at_hand_at_two_endpoints_is_served_better_by_the_sooner_one():
    """Where demand swings through the regions: credit 0.867 instead of 0.830."""
    product, first_only = (
        _played("fleet", policy, 0.6, seconds=24) for policy in ("product", "first-only")
    )
    assert product.credit > first_only.credit + 0.02


def test_a_zone_that_is_drained_gets_nothing_until_it_is_restored():
    world = Simulation(scenario("fleet-drain"), POLICIES["product"], seed=1)
    book, *_ = world._books()
    usable = {}
    for second in (1, 3, 12):
        world.reactor.callLater(
            second, lambda at=second: usable.update({at: len(book.of_service("modelled"))})
        )
    world.reactor.pump([1, 2, 9])
    assert usable == {1: 12, 3: 10, 12: 12}


def test_endpoints_that_are_lost_for_long_lapse_and_come_back_cold():
    world = Simulation(scenario("fleet-loss"), POLICIES["product"], seed=1)
    book, *_ = world._books()
    world.reactor.pump([9, 3, 3])
    assert len(book) == 7
    world.reactor.pump([2])
    assert len(book) == 12
    assert book.get("c1-0").cold_until > world.clock.monotonic()


@pytest.mark.parametrize(
    ("scenario", "before", "least"), [("calm", 0.548, 0.58), ("burst", 0.480, 0.51)]
)
def test_an_overloaded_service_keeps_its_objects_where_they_are(scenario, before, least):
    """Where an endpoint without a fresh report counted as idle, callers got `before`."""
    assert _played(scenario, "product", 0.7).credit > least > before


def test_an_endpoint_that_ails_is_slow_or_fails_until_it_is_well():
    world = Simulation(scenario("crowd-heavy", 0.01), POLICIES["product"], seed=1)
    count = len(world.endpoints)
    seen = {}
    for second in (7, 9, 15, 21):
        world.reactor.advance(second - world.reactor.seconds())
        slow = sum(1 for endpoint in world.endpoints.values() if endpoint.slowness > 1)
        failing = sum(1 for endpoint in world.endpoints.values() if endpoint.errors)
        seen[second] = (slow / count, failing / count)
    assert seen == {
        7: (0, 0),
        9: (pytest.approx(0.16, abs=0.01), 0),
        15: (0, pytest.approx(0.14, abs=0.01)),
        21: (0, 0),
    }


def test_calls_of_one_instant_keep_their_order_and_those_ended_are_left_out():
    loop = Loop()
    made = []
    for name in "abc":
        loop.callLater(1.0, made.append, name)
    loop.callLater(0.5, made.append, "first")
    loop.callLater(0.7, made.append, "ended").cancel()
    loop.callLater(0.2, lambda: loop.callLater(0.0, made.append, "nested"))
    loop.advance(0.9)
    assert made == ["nested", "first"]
    loop.run_until(1.0)
    assert made == ["nested", "first", "a", "b", "c"]
    assert loop.seconds() == 1.0


def _small_crowd(policy: str) -> Simulation:
    """Return a fifth of the crowd: each gateway still sends to an endpoint once in some seconds."""
    played = scenario("crowd-heavy", 0.13)
    endpoints = {zone: count // 5 for zone, count in played.endpoints.items()}
    load = {
        zone: row._replace(per_s=row.per_s / 5, objects=67) for zone, row in played.load.items()
    }
    played = played._replace(endpoints=endpoints, load=load, length=timedelta(seconds=24))
    return Simulation(played, POLICIES[policy], seed=1)


def test_gateways_that_tell_each_other_of_failures_leave_lost_endpoints_sooner():
    """The whole crowd: credit 0.895 instead of 0.883, 0.021 of all requests fail, not 0.032."""
    alone, shared = (summarize(_small_crowd(name).run()) for name in ("product", "shared-failures"))
    assert shared.failed < 0.75 * alone.failed
    assert shared.credit > alone.credit + 0.005


def test_a_failure_at_one_gateway_counts_at_all_and_an_answer_ends_the_rest():
    world = _small_crowd("shared-failures")
    first, second, *_ = [entry.selector for row in world.entries.values() for entry in row]

    def rests():
        return [one._book.get("a1-0").ejected_until for one in (first, second)]

    now = world.clock.monotonic()
    first.record_failure(first._book.get("a1-0"), now)
    world.reactor.advance(0.2)
    assert max(rests()) < now
    second.record_failure(second._book.get("a1-0"), world.clock.monotonic())
    world.reactor.advance(0.2)
    assert min(rests()) > world.clock.monotonic()
    first.record_answer(first._book.get("a1-0"), timedelta(seconds=1), 0.0)
    world.reactor.advance(0.2)
    assert max(rests()) < world.clock.monotonic()
    assert first.told + second.told == 3
