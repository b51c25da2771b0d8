"""The simulation of callers, gateways and endpoints, and the placement results it gives."""

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
    """A simulated endpoint and the results of its requests."""

    def __init__(self):
        self.clock = Clock()
        self.model = ModelEndpoint(self.clock, ROW, TRAITS, random.Random(1))
        self.results = []

    def send(self, key, until=10.0):
        self.model.offer(Job(key, until, self.results.append))


def test_an_endpoint_runs_as_many_as_it_has_slots_and_refuses_beyond_its_queue():
    endpoint = Endpoint()
    for key in "abcd":
        endpoint.send(key)
    assert [end.ran for end in endpoint.results] == [False]
    assert endpoint.model.load() == "2,1,2"
    endpoint.clock.advance(0.4)
    endpoint.clock.advance(0.4)
    assert [end.ran for end in endpoint.results] == [False, True, True, True]


def test_a_cached_key_is_served_faster_until_it_is_evicted():
    endpoint = Endpoint()
    for key in "aabca":
        endpoint.send(key)
        endpoint.clock.advance(0.5)
    assert [end.warm for end in endpoint.results] == [False, True, False, False, False]


def test_a_queued_request_past_its_deadline_is_dropped():
    endpoint = Endpoint()
    for key in "ab":
        endpoint.send(key)
    endpoint.send("c", until=0.1)
    endpoint.clock.advance(1)
    assert sorted(end.ran for end in endpoint.results) == [False, True, True]
    assert endpoint.model.load() == "0,0,2"


def test_a_crashed_endpoint_does_not_answer():
    endpoint = Endpoint()
    endpoint.send("a")
    endpoint.model.crash()
    endpoint.send("b")
    endpoint.clock.advance(1)
    assert endpoint.results == []


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


def test_several_runs_give_medians_and_the_range_of_credit():
    runs = [Summary(10, credit, 0.1, 0.5, 0.2, 0.1, 0.2, 0.9, 100.0, 900.0) for credit in CREDITS]
    found = spread(runs)
    assert (found.median.credit, found.min_credit, found.max_credit) == (0.5, 0.4, 0.9)
    assert found.median.requests == 10
    assert spread(runs[:1]).median == runs[0]
    row = table({"product": found}).splitlines()[1].split()
    assert row[0] == "product" and row[-2:] == ["0.400", "0.900"]


def test_a_plot_is_drawn(tmp_path):
    rows = [Outcome(0.1, 1.0, "served", 0.2, True)]
    plot({"product": rows}, "calm", tmp_path / "calm.png")
    assert (tmp_path / "calm.png").stat().st_size > 1000


def _run_scenario(name: str, policy: str, use: float, seconds: int = 10) -> Summary:
    adjusted = scenario(name, use)._replace(length=timedelta(seconds=seconds))
    return summarize(Simulation(adjusted, POLICIES[policy], seed=1).run())


def test_the_same_seed_gives_the_same_result():
    assert _run_scenario("calm", "product", 0.2) == _run_scenario("calm", "product", 0.2)


def test_spilling_only_to_a_half_idle_secondary_endpoint_serves_more():
    """Guards against cache evictions by keys that spill to a secondary endpoint too early."""
    product, eager = _run_scenario("calm", "product", 0.7), _run_scenario(
        "calm", "eager-second", 0.7
    )
    assert product.credit > eager.credit + 0.03
    assert product.warm > eager.warm


def test_placement_by_key_serves_more_than_the_nearest_endpoint():
    product, nearest = _run_scenario("calm", "product", 0.4), _run_scenario("calm", "nearest", 0.4)
    assert product.credit > nearest.credit + 0.2


def test_a_key_cached_at_two_endpoints_is_served_better_by_the_faster_one():
    """Guards against waiting for a full primary endpoint when the secondary has the key cached."""
    product, first_only = (
        _run_scenario("fleet", policy, 0.6, seconds=24) for policy in ("product", "first-only")
    )
    assert product.credit > first_only.credit + 0.02


def test_a_drained_zone_has_no_usable_endpoints_until_it_is_restored():
    world = Simulation(scenario("fleet-drain"), POLICIES["product"], seed=1)
    upstream_table, *_ = world._upstream_tables()
    usable = {}
    for second in (1, 3, 12):
        world.reactor.callLater(
            second,
            lambda at=second: usable.update({at: len(upstream_table.of_service("modelled"))}),
        )
    world.reactor.pump([1, 2, 9])
    assert usable == {1: 12, 3: 10, 12: 12}


def test_registrations_of_crashed_endpoints_expire_and_return_cold():
    world = Simulation(scenario("fleet-loss"), POLICIES["product"], seed=1)
    upstream_table, *_ = world._upstream_tables()
    world.reactor.pump([9, 3, 3])
    assert len(upstream_table) == 7
    world.reactor.pump([2])
    assert len(upstream_table) == 12
    assert upstream_table.get("c1-0").cold_until > world.clock.monotonic()


@pytest.mark.parametrize(
    ("scenario", "before", "least"), [("calm", 0.548, 0.58), ("burst", 0.480, 0.51)]
)
def test_an_overloaded_service_keeps_its_keys_at_their_endpoints(scenario, before, least):
    """An endpoint without a fresh load report must not count as idle, which gave `before`."""
    assert _run_scenario(scenario, "product", 0.7).credit > least > before


def test_a_degraded_endpoint_is_slow_or_fails_until_it_recovers():
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


def test_calls_of_one_instant_keep_their_order_and_cancelled_ones_are_skipped():
    loop = Loop()
    called = []
    for name in "abc":
        loop.callLater(1.0, called.append, name)
    loop.callLater(0.5, called.append, "first")
    loop.callLater(0.7, called.append, "ended").cancel()
    loop.callLater(0.2, lambda: loop.callLater(0.0, called.append, "nested"))
    loop.advance(0.9)
    assert called == ["nested", "first"]
    loop.run_until(1.0)
    assert called == ["nested", "first", "a", "b", "c"]
    assert loop.seconds() == 1.0


def _small_deployment(policy: str) -> Simulation:
    """Return ``crowd-heavy`` with a fifth of the endpoints, load and keys."""
    adjusted = scenario("crowd-heavy", 0.13)
    endpoints = {zone: count // 5 for zone, count in adjusted.endpoints.items()}
    load = {
        zone: row._replace(per_s=row.per_s / 5, key_count=67) for zone, row in adjusted.load.items()
    }
    adjusted = adjusted._replace(endpoints=endpoints, load=load, length=timedelta(seconds=24))
    return Simulation(adjusted, POLICIES[policy], seed=1)


def test_gateways_that_share_failures_eject_crashed_endpoints_sooner():
    """Guards against shared failure reports that do not speed up the ejection of endpoints."""
    own_failures_only, shared = (
        summarize(_small_deployment(name).run()) for name in ("product", "shared-failures")
    )
    assert shared.failed < 0.75 * own_failures_only.failed
    assert shared.credit > own_failures_only.credit + 0.005


def test_a_failure_at_one_gateway_counts_at_all_and_an_answer_ends_the_ejection():
    world = _small_deployment("shared-failures")
    first, second, *_ = [entry.selector for row in world.entries.values() for entry in row]

    def ejection_ends():
        return [one._table.get("a1-0").ejected_until for one in (first, second)]

    now = world.clock.monotonic()
    first.record_failure(first._table.get("a1-0"), now)
    world.reactor.advance(0.2)
    assert max(ejection_ends()) < now
    second.record_failure(second._table.get("a1-0"), world.clock.monotonic())
    world.reactor.advance(0.2)
    assert min(ejection_ends()) > world.clock.monotonic()
    first.record_answer(first._table.get("a1-0"), timedelta(seconds=1), 0.0)
    world.reactor.advance(0.2)
    assert max(ejection_ends()) < world.clock.monotonic()
    assert first.report_count + second.report_count == 3
