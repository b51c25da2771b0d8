"""Cold endpoints get no more than their limit from all gateways, whatever each has heard."""

import pytest
from cardamomloft.core.registrations import UpstreamRegistered
from cardamomloft_standins.coldfleet import ALLOWED, COLD_TIME, MS, ColdFleet

seeds = pytest.mark.parametrize("seed", range(3))
sizes = pytest.mark.parametrize("count", [6, 10])
faults = pytest.mark.parametrize("fault", ["cut", "refused"])
places = pytest.mark.parametrize("zones", ["a", "abc"])

SETTLE_TIME = COLD_TIME + 1000 * MS


def _fleet(seed: int, count: int, zones: str, **options) -> ColdFleet:
    return ColdFleet(seed, count, per_zone=6 // len(zones), zones=zones, **options)


def _without_store(fleet: ColdFleet, fault: str, share: float):
    """Cut a share of the gateways off from the store; return them."""
    cut = fleet.gateways[: int(share * len(fleet.gateways))]
    getattr(fleet.store, fault).update(gateway.name for gateway in cut)
    return cut


@seeds
@sizes
@faults
@places
@pytest.mark.parametrize("share", [0.34, 0.5, 0.9])
def test_gateways_without_the_store_keep_the_limit_of_a_zone_that_returns(
    seed, count, fault, share, zones
):
    fleet = _fleet(seed, count, zones)
    _without_store(fleet, fault, share)
    fleet.run(1000 * MS)
    fleet.evacuate("a", 5000 * MS)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@faults
@places
def test_gateways_that_lose_the_store_during_a_drain_keep_the_limit(seed, fault, zones):
    fleet = _fleet(seed, 6, zones)
    fleet.drain("a")
    fleet.run(3000 * MS)
    _without_store(fleet, fault, 0.5)
    fleet.run(900 * MS)
    fleet.make_cold("a")
    fleet.run(1100 * MS)
    fleet.restore("a")
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@sizes
@places
def test_gateways_whose_store_returns_right_after_a_drain_has_ended_keep_the_limit(
    seed, count, zones
):
    fleet = _fleet(seed, count, zones)
    _without_store(fleet, "cut", 0.5)
    fleet.evacuate("a", 5000 * MS)
    fleet.run(100 * MS)
    fleet.store.cut.clear()
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@sizes
@places
@pytest.mark.parametrize("cold_before", [50, 600, 1100])
def test_gateways_that_start_right_after_a_drain_has_ended_keep_the_limit(
    seed, count, zones, cold_before
):
    """A registration may be older than the time from which its endpoint is cold."""
    fleet = _fleet(seed, count, zones)
    fleet.evacuate("a", 5000 * MS, cold_before * MS)
    for gateway in fleet.gateways[: count // 2]:
        fleet.restart(gateway, pause=20 * MS)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@pytest.mark.parametrize("cold_before", [50, 600])
def test_gateways_that_all_start_right_after_a_drain_has_ended_keep_the_limit(seed, cold_before):
    """Nobody is left who has seen the drain."""
    fleet = _fleet(seed, 6, "a")
    fleet.evacuate("a", 5000 * MS, cold_before * MS)
    fleet.restart_all(pause=500 * MS)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@sizes
@places
def test_registrations_that_lapse_and_return_do_not_reset_the_limit(seed, count, zones):
    fleet = _fleet(seed, count, zones)
    fleet.evacuate("a", 5000 * MS)
    for _ in range(5):
        fleet.run(400 * MS)
        for endpoint in fleet.in_zone("a")[:2]:
            fleet.lapse(endpoint)
        fleet.run(60 * MS)
        for endpoint in fleet.in_zone("a")[:2]:
            fleet.register(endpoint)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@sizes
@places
def test_registrations_that_return_after_the_drain_of_their_zone_keep_the_limit(seed, count, zones):
    """The registration that returns was written before its endpoint became cold."""
    fleet = _fleet(seed, count, zones)
    fleet.drain("a")
    fleet.run(4000 * MS)
    returning = fleet.in_zone("a")[:2]
    for endpoint in returning:
        fleet.lapse(endpoint)
    fleet.run(200 * MS)
    fleet.restore("a")
    fleet.run(50 * MS)
    fleet.make_cold("a")
    for endpoint in returning:
        row = endpoint.registration
        fleet.store.write(("up", row.id), UpstreamRegistered(row))
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


def _evacuate_while_cut_off(fleet: ColdFleet, cut: int) -> None:
    names = {gateway.name for gateway in fleet.gateways[:cut]}
    fleet.store.cut.update(names)
    fleet.network.silenced.update(names)
    fleet.run(1000 * MS)
    fleet.evacuate("a", 6000 * MS)
    fleet.run(SETTLE_TIME)


@seeds
@places
@pytest.mark.parametrize("cut", [1, 3, 6])
def test_gateways_without_the_store_and_the_others_keep_the_limit(seed, zones, cut):
    fleet = _fleet(seed, 6, zones)
    _evacuate_while_cut_off(fleet, cut)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@places
@pytest.mark.parametrize("cut", [2, 3, 4])
def test_group_of_gateways_without_the_store_and_the_others_keeps_the_limit(seed, zones, cut):
    """The gateways of a group hear each other, and none of them the store."""
    fleet = _fleet(seed, 6, zones)
    names = {gateway.name for gateway in fleet.gateways[:cut]}
    fleet.store.cut.update(names)
    fleet.network.separated.update(names)
    fleet.run(1000 * MS)
    fleet.evacuate("a", 6000 * MS)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
@pytest.mark.parametrize("lost", [10, 20])
def test_records_of_gateways_that_lapse_do_not_raise_the_limit(seed, lost):
    """With more gateways than requests in the limit, only some of them may send."""
    fleet = _fleet(seed, 30, "a", rate=400.0)
    for gateway in fleet.gateways[:lost]:
        fleet.lose_record(gateway)
    fleet.run(4000 * MS)
    fleet.evacuate("a", 5000 * MS)
    fleet.run(SETTLE_TIME)
    assert fleet.most_in_second() <= ALLOWED


@seeds
def test_callers_are_served_as_ever_while_the_store_answers_nobody(seed):
    fleet = _fleet(seed, 6, "abc")
    fleet.run(2000 * MS)
    fleet.store.cut.update(gateway.name for gateway in fleet.gateways)
    fleet.run(8000 * MS)
    assert fleet.refused == 0
