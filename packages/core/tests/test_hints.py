"""Ejection, back-off and slow start of single endpoints."""

import itertools
from datetime import timedelta

import pytest
from cardamomloft.core.hints import EndpointState, LoadReport, may_eject, rank
from cardamomloft.core.model import Endpoint


def ms(value):
    return timedelta(milliseconds=value)


def state(number=0, **kwargs):
    return EndpointState(Endpoint(f"e{number}", "s", "z", "r", "10.0.0.1:80", 4, 10), **kwargs)


def run(endpoint, latency, reference=ms(10), at=ms(0), ok=True):
    endpoint.on_started(at)
    endpoint.on_finished(at)
    endpoint.on_result(ok, ms(latency), reference)


def test_slow_start_bound_grows_with_fast_answers():
    cold, allowed = state(cold=True), []
    for latency in (100, 90, 15, 80, 12, 11, 10):
        allowed.append(cold.slow_start.allowance)
        run(cold, latency)
    assert allowed == [1, 1, 1, 2, 2, 3, 4]
    assert not cold.cold
    cold.on_report(LoadReport(0, 4, "cold", ms(1)))
    cold.on_started(ms(2))
    assert not cold.usable(ms(2))


def test_slow_start_ends_for_an_endpoint_that_stays_slow_or_reports_cold():
    slow = state(cold=True)
    for at in range(4 * 16):
        slow.on_report(LoadReport(0, 4, "cold", ms(at)))
        run(slow, 100)
    assert not slow.cold


def test_long_idle_endpoint_is_treated_as_cold():
    idle = state()
    run(idle, 10)
    idle.on_started(ms(59_000))
    idle.on_finished(ms(59_000))
    assert not idle.cold
    idle.on_started(ms(120_000))
    assert idle.cold
    assert not idle.usable(ms(120_000))


def test_ejections_grow_to_a_bound_and_end_half_open():
    bad, now, times = state(), ms(0), []
    for _ in range(3):
        run(bad, 10, ok=False)
    for _ in range(8):
        bad.eject(now)
        times.append((bad.ejected_until - now).total_seconds())
        assert not bad.usable(now)
        now = bad.ejected_until
        assert bad.usable(now)
        bad.on_started(now)
        assert not bad.usable(now)
        bad.on_finished(now)
        bad.on_result(False, ms(10), None)
    assert times == [1, 2, 4, 8, 16, 30, 30, 30]
    bad.on_result(True, ms(10), None)
    assert bad.usable(now)
    assert bad.cold


@pytest.mark.parametrize(("count", "bound"), [(1, 0), (2, 1), (3, 1), (5, 2)])
def test_no_more_than_half_of_a_zone_is_ejected(count, bound):
    peers = [state(number) for number in range(count)]
    for peer in itertools.cycle(peers[:]):
        if not may_eject(peer, peers, ms(0)):
            break
        peer.eject(ms(0))
        peers = peers[1:] + peers[:1]
    assert sum(peer.is_ejected(ms(1)) for peer in peers) == bound


def test_back_off_grows_with_each_refusal():
    busy, ends = state(), []
    for _ in range(6):
        busy.on_shed(ms(0))
        ends.append(next(at for at in range(2000) if busy.usable(ms(at))))
    assert ends == [50, 100, 200, 400, 800, 1000]
    run(busy, 10)
    busy.on_shed(ms(2000))
    assert busy.usable(ms(2050))


def test_rank_orders_by_free_slots_then_warmth_then_load():
    full, cold, loaded, idle, slow = (state(number) for number in range(5))
    cold.slow_start.begin()
    loaded.on_report(LoadReport(4, 4, "ready", ms(0)))
    idle.on_report(LoadReport(0, 4, "ready", ms(0)))
    run(slow, 100)
    free = {"slots/e0": 0}
    ranked = rank([full, cold, loaded, idle, slow], lambda key: free.get(key, 2), ms(10), ms(1))
    assert [c.state.endpoint.name for c in ranked] == ["e3", "e2", "e1", "e4", "e0"]


def test_older_report_does_not_replace_a_newer_one():
    endpoint = state()
    endpoint.on_report(LoadReport(0, 4, "draining", ms(10)))
    endpoint.on_report(LoadReport(0, 4, "ready", ms(5)))
    assert endpoint.reports_draining(ms(10))
    assert not endpoint.reports_draining(ms(5011))
