"""Endpoint selection: stable by affinity key, bounded by load, careful with cold endpoints."""

from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.affinity import Candidate, first_ranked, text_hash, unit_hash
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.estimates import REPORT_MAX_AGE, expected_load
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.notices import UpstreamRateLimit
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import ServicePolicy
from cardamomloft.core.selection import Choice, Preferences, Selector
from cardamomloft.core.upstreamtable import LoadReport, UpstreamTable
from cardamomloft_standins.gateway import RULE

MS = timedelta(milliseconds=1)
ZERO = timedelta(0)
NOW = timedelta(seconds=100)
POLICY = ServicePolicy("menus", 360, timedelta(seconds=3), 7.0)


def _selector(near: int = 4, far: int = 4, cold_left: timedelta = ZERO, name="e-0") -> Selector:
    table = UpstreamTable({"a": "east", "b": "west"})
    for number in range(near + far):
        zone = "a" if number < near else "b"
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, cold_left)
        table.register(row, NOW)
    selector = Selector(table, name, "a", ColdLimit(1.5, 5), Preferences())
    selector.policies = {"menus": POLICY}
    return selector


def _choose(selector: Selector, key: str = "17", tried=(), now: timedelta = NOW, rule=RULE):
    found = selector.choose(rule, "menus", key, tried, now + rule.timeout, now)
    return found.upstream if isinstance(found, Choice) else found


def _fill(upstream, load: int, now: timedelta = NOW) -> None:
    upstream.report = LoadReport(load, 0, 4, own=0, at=now)


def test_entries_that_know_the_same_endpoints_choose_the_same_one():
    first, second = _selector(), _selector()
    for key in map(str, range(50)):
        assert _choose(first, key).id == _choose(second, key).id


@pytest.mark.parametrize("gone", range(8))
def test_only_the_keys_of_a_removed_endpoint_move(gone):
    selector = _selector(near=8, far=0)
    before = {key: _choose(selector, key).id for key in map(str, range(60))}
    selector._table.withdraw(f"i-{gone}", NOW)
    for key, endpoint in before.items():
        assert (_choose(selector, key).id == endpoint) == (endpoint != f"i-{gone}")


@pytest.mark.parametrize("gone", range(4))
def test_other_keys_do_not_move_within_a_region_that_loses_an_endpoint(gone):
    """Some keys leave the region, which has too few slots without that endpoint."""
    selector = _selector()
    before = {key: _choose(selector, key).id for key in map(str, range(200))}
    selector._table.withdraw(f"i-{gone}", NOW)
    after = {key: _choose(selector, key) for key in before}
    stayed = [key for key in before if before[key] != f"i-{gone}" and after[key].region == "east"]
    assert all(after[key].id == before[key] for key in stayed)
    assert sum(up.region == "west" for up in after.values()) / 200 < 0.25


def test_a_region_with_enough_slots_keeps_its_keys():
    assert {_choose(_selector(), str(key)).region for key in range(200)} == {"east"}


def test_a_region_with_too_few_slots_sends_the_excess_to_another_region():
    counts = Counter(_choose(_selector(near=2, far=6), str(key)).region for key in range(400))
    assert counts["east"] / 400 == pytest.approx(0.5, abs=0.08)


def test_large_bodies_stay_within_their_zone():
    table = UpstreamTable({"a": "east", "b": "east"})
    for number in range(8):
        zone = "a" if number < 4 else "b"
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, ZERO)
        table.register(row, NOW)
    selector = Selector(table, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    zones = Counter(_choose(selector, str(key)).registration.zone for key in range(200))
    assert zones["b"] > 60
    selector.body_sizes.record("menus", 60_000)
    assert {_choose(selector, str(key)).registration.zone for key in range(200)} == {"a"}


def test_a_region_without_endpoints_sends_all_requests_to_another_region():
    assert _choose(_selector(near=0, far=2)).region == "west"


def test_a_key_leaves_a_full_primary_for_its_secondary_and_returns():
    selector = _selector()
    primary = _choose(selector)
    _fill(primary, 9)
    secondary = _choose(selector)
    assert secondary is not primary
    assert all(_choose(selector) is secondary for _ in range(5))
    assert _choose(selector, now=NOW + REPORT_MAX_AGE) is primary


def test_a_key_waits_at_a_busy_primary():
    selector = _selector()
    primary = _choose(selector)
    _fill(primary, 8)
    assert _choose(selector) is primary


def test_a_key_is_refused_when_both_its_endpoints_are_too_full():
    """At a third endpoint the key would be a cache miss and evict keys of that endpoint."""
    selector = _selector()
    primary = _choose(selector)
    _fill(primary, 9)
    secondary = _choose(selector)
    _fill(secondary, 2)
    assert isinstance(_choose(selector), Refusal)


def test_an_endpoint_that_refused_counts_as_full_for_a_short_time():
    """Its keys go to their secondary endpoints up to the overflow bound, and return after 60 ms."""
    selector = _selector()
    primary = _choose(selector)
    selector.record_refusal(primary, NOW, had_room=False)
    secondary = _choose(selector)
    assert secondary is not primary
    _fill(secondary, 2)
    assert isinstance(_choose(selector), Refusal)
    assert _choose(selector, now=NOW + 60 * MS) is primary


def test_an_endpoint_that_refused_with_a_free_slot_keeps_its_keys():
    """Such an endpoint sheds load; elsewhere its keys would be cache misses."""
    selector = _selector()
    primary = _choose(selector)
    selector.record_refusal(primary, NOW, had_room=True)
    assert _choose(selector) is primary


def _mark_cached(selector: Selector, upstream, key: str = "17") -> None:
    selector.cache_states.record_sent(upstream, key)
    selector.cache_states.record_answer(upstream, key)


def _primary_and_secondary(selector: Selector):
    """Return both endpoints of a key with equal service times; the primary has it cached."""
    primary = _choose(selector)
    _fill(primary, 9)
    secondary = _choose(selector)
    _fill(primary, 0)
    primary.service_time = secondary.service_time = 100 * MS
    _mark_cached(selector, primary)
    return primary, secondary


def test_a_key_cached_at_both_endpoints_goes_to_the_clearly_faster_one():
    selector = _selector()
    primary, secondary = _primary_and_secondary(selector)
    _fill(primary, 6)
    assert _choose(selector) is primary
    _mark_cached(selector, secondary)
    assert _choose(selector) is secondary
    _fill(primary, 3)
    assert _choose(selector) is primary


def test_a_slow_primary_is_left_for_a_secondary_that_has_the_key_cached():
    selector = _selector()
    primary, secondary = _primary_and_secondary(selector)
    _mark_cached(selector, secondary)
    primary.service_time = 400 * MS
    assert _choose(selector) is secondary
    _fill(secondary, 4)
    assert _choose(selector) is primary


def test_a_restarted_primary_is_left_for_a_secondary_that_has_the_key_cached():
    selector = _selector()
    primary, secondary = _primary_and_secondary(selector)
    _mark_cached(selector, secondary)
    selector._table.register(primary.registration._replace(started_ms=1), NOW)
    selector._table.get(primary.id).service_time = 100 * MS
    assert _choose(selector) is secondary


def test_a_secondary_that_refused_is_not_preferred():
    selector = _selector()
    primary, secondary = _primary_and_secondary(selector)
    _mark_cached(selector, secondary)
    _fill(primary, 6)
    selector.record_refusal(secondary, NOW, had_room=False)
    assert _choose(selector) is primary


def test_a_retry_needs_a_free_slot_at_the_next_endpoint():
    selector = _selector()
    primary = _choose(selector)
    secondary = _choose(selector, tried=[primary.id])
    _fill(secondary, 3)
    assert _choose(selector, tried=[primary.id]) is secondary
    _fill(secondary, 4)
    assert _choose(selector, tried=[primary.id]) is not secondary


def test_a_request_without_a_key_goes_to_any_endpoint_with_room():
    selector = _selector(near=6, far=0)
    rule = RULE._replace(keyed=False)
    for loaded in range(6):
        chosen = _choose(selector, "any", rule=rule)
        assert chosen.report is None, loaded
        _fill(chosen, 12)
    assert isinstance(_choose(selector, "any", rule=rule), Refusal)


@pytest.mark.parametrize(
    ("service_time_ms", "max_load"), [(None, 8), (400, 5), (200, 7), (160, 9), (10, 11), (2000, 5)]
)
def test_a_key_waits_at_its_primary_as_long_as_the_target_allows(service_time_ms, max_load):
    """The bound stays between 1.5 and 3 times the slots; the target is 400 ms."""
    selector = _selector()
    primary = _choose(selector)
    primary.service_time = service_time_ms and service_time_ms * MS
    until = timedelta(minutes=1)
    for load in range(16):
        _fill(primary, load)
        chosen = selector.choose(RULE, "menus", "17", [], NOW + until, NOW)
        assert (chosen.upstream is primary) == (load <= max_load)


def test_a_request_that_cannot_be_answered_in_time_is_refused():
    selector = _selector(near=1, far=0)
    primary = _choose(selector)
    selector.record_answer(primary, 600 * MS, 0)
    assert _choose(selector) is primary
    _fill(primary, 7)
    assert isinstance(_choose(selector), Refusal)


def test_waiting_time_does_not_count_as_service_time():
    selector = _selector()
    primary = _choose(selector)
    selector.record_answer(primary, 300 * MS, 7)
    assert primary.service_time == 150 * MS


def test_own_requests_in_flight_are_added_to_a_report():
    selector = _selector()
    primary = _choose(selector)
    _fill(primary, 7)
    primary.in_flight = 2
    assert expected_load(primary, NOW) == 9
    assert _choose(selector) is not primary


def test_the_weight_of_a_report_decreases_with_its_age():
    selector = _selector()
    primary = _choose(selector)
    _fill(primary, 6)
    loads = [expected_load(primary, NOW + quarters * REPORT_MAX_AGE / 4) for quarters in range(5)]
    assert loads == sorted(loads, reverse=True)
    assert loads[-1] == 0


def test_an_endpoint_is_not_tried_twice_for_a_request():
    selector = _selector(near=2, far=0)
    primary = _choose(selector)
    secondary = _choose(selector, tried=[primary.id])
    assert secondary.id != primary.id
    assert isinstance(_choose(selector, tried=[primary.id, secondary.id]), Refusal)


def test_requests_stay_within_the_regions_of_their_rule():
    selector = _selector(near=1, far=2)
    rule = RULE._replace(homes=frozenset({"east"}))
    for key in map(str, range(30)):
        assert _choose(selector, key, rule=rule).region == "east"
    _fill(_choose(selector, rule=rule), 100)
    assert isinstance(_choose(selector, rule=rule), Refusal)
    elsewhere = RULE._replace(homes=frozenset({"north"}))
    assert isinstance(_choose(selector, rule=elsewhere), Refusal)


def test_an_endpoint_is_ejected_after_failures_and_tried_again():
    selector = _selector()
    primary = _choose(selector)
    selector.record_failure(primary, NOW)
    assert _choose(selector) is primary
    selector.record_failure(primary, NOW)
    assert _choose(selector) is not primary
    assert _choose(selector, now=NOW + timedelta(seconds=5)) is primary
    selector.record_answer(primary, 150 * MS, 0)
    assert _choose(selector) is primary


def test_no_endpoint_is_ejected_when_most_of_them_fail():
    selector = _selector()
    for upstream in selector._table.of_service("menus"):
        for _ in range(3):
            selector.record_failure(upstream, NOW)
    assert not isinstance(_choose(selector), Refusal)


def test_a_warm_endpoint_is_preferred_to_a_cold_one():
    selector = _selector(near=2, far=0)
    primary = _choose(selector)
    primary.cold_until = NOW + timedelta(seconds=1)
    assert _choose(selector) is not primary
    assert _choose(selector, now=NOW + timedelta(seconds=2)) is primary


@pytest.mark.parametrize("entries", [1, 3, 10, 40])
def test_all_entries_together_stay_within_the_limit_of_a_cold_endpoint(entries):
    """The limit holds in every second, also when there are only cold endpoints."""
    limit = 7.0 * 1.5 + 5
    minute, names = timedelta(seconds=60), {f"e-{number}" for number in range(entries)}
    selectors = []
    for name in names:
        selector = _selector(near=1, far=0, cold_left=minute, name=name)
        selector.others = names - {name}
        selectors.append(selector)
    sent = []
    for step in range(400):
        now = NOW + step * 10 * MS
        for selector in selectors:
            selector.entries = entries
            chosen = _choose(selector, now=now)
            if not isinstance(chosen, Refusal):
                selector.record_sent(chosen, now)
                sent.append(now)
    max_rate = max(sum(1 for at in sent if start <= at < start + 1000 * MS) for start in sent)
    assert 0 < max_rate <= limit


def _state_limit(selector: Selector, upstream, per_s: float) -> None:
    notice = UpstreamRateLimit(*upstream.incarnation, 1, per_s)
    selector.rate_limits.apply(notice, NOW, NOW)


def test_a_key_whose_endpoint_is_at_its_rate_limit_goes_to_another_endpoint():
    selector = _selector(near=3, far=0)
    primary = _choose(selector)
    _state_limit(selector, primary, 2.0)
    other = _choose(selector)
    assert not isinstance(other, Refusal) and other is not primary
    later = NOW + timedelta(seconds=2)
    assert _choose(selector, now=later) is primary
    selector.record_sent(primary, later)
    assert _choose(selector, now=later) is other


def test_callers_are_told_when_the_first_endpoint_at_its_rate_limit_takes_a_request():
    selector = _selector(near=2, far=0)
    for upstream in selector._table.of_service("menus"):
        _state_limit(selector, upstream, 2.0)
    refusal = _choose(selector)
    assert isinstance(refusal, Refusal) and refusal.retry_after > ZERO
    assert not isinstance(_choose(selector, now=NOW + refusal.retry_after), Refusal)


def test_entries_that_start_together_stay_within_the_limit_of_a_cold_endpoint():
    """Entries that have just started know of no others yet."""
    limit = 7.0 * 1.5 + 5
    selectors = []
    for number in range(12):
        selector = _selector(near=1, far=0, cold_left=timedelta(seconds=60), name=f"e-{number}")
        selector.record_age = lambda now: now - NOW
        selectors.append(selector)
    sent = 0
    for step in range(100):
        now = NOW + step * 10 * MS
        for selector in selectors:
            chosen = _choose(selector, now=now)
            if not isinstance(chosen, Refusal):
                selector.record_sent(chosen, now)
                sent += 1
    assert sent <= limit


def test_the_number_of_keys_is_proportional_to_the_weight():
    candidates = [Candidate("a", text_hash("a"), 1.0), Candidate("b", text_hash("b"), 3.0)]
    firsts = Counter(first_ranked(str(key), candidates, 1)[0] for key in range(4000))
    assert firsts["b"] / firsts["a"] == pytest.approx(3, rel=0.15)


def test_keys_are_spread_evenly_over_primary_and_secondary_endpoints():
    names = [f"i-{number:x}" for number in range(20)]
    candidates = [Candidate(name, text_hash(name), 4.0) for name in names]
    order = [first_ranked(f"{key:x}", candidates, 2) for key in range(8000)]
    for place in range(2):
        counts = Counter(first[place] for first in order)
        assert set(counts) == set(names)
        assert max(counts.values()) < 1.25 * 400
    secondaries = Counter(second for first, second in order if first == names[0])
    assert len(secondaries) == 19


def test_a_partial_ranking_equals_the_start_of_the_full_ranking():
    candidates = [Candidate(name, text_hash(name), 1.0) for name in map(str, range(30))]
    full_ranking = first_ranked("17", candidates, 30)
    assert sorted(full_ranking) == sorted(map(str, range(30)))
    assert first_ranked("17", candidates, 8) == full_ranking[:8]


def test_a_warm_endpoint_is_found_when_all_ranked_ones_are_cold():
    selector = _selector(near=20, far=0)
    for upstream in selector.ranker.first(RULE, "menus", "17"):
        upstream.cold_until = NOW + timedelta(seconds=9)
    chosen = _choose(selector)
    assert chosen.cold_until <= NOW


def test_a_change_of_one_service_keeps_the_cached_ranking_of_others():
    selector = _selector()
    _choose(selector)
    ranking = selector.ranker.ranking(RULE, "menus")
    row = Registration("i-x", "orders", "10.0.0.99:80", "a", 4, False, ZERO)
    selector._table.register(row, NOW)
    assert selector.ranker.ranking(RULE, "menus") is ranking
    selector._table.register(row._replace(id="i-y", service="menus"), NOW)
    assert selector.ranker.ranking(RULE, "menus") is not ranking


def test_rankings_are_cached_for_affinity_keys_only():
    selector = _selector()
    rule = RULE._replace(keyed=False)
    _choose(selector, "some-request", rule=rule)
    assert selector.ranker.ranking(rule, "menus").by_key == {}


def test_the_hash_is_the_same_in_every_process():
    assert text_hash("17") == 0x20398D138E4D7BB4
    assert unit_hash("17", "i-1") == pytest.approx(0.7164289, abs=1e-6)


def _report_all(selector: Selector, load: int) -> None:
    """Report the same load everywhere, often enough to raise the average load."""
    for upstream in selector._table.all():
        for _ in range(5):
            selector.record_report(upstream, LoadReport(load, 0, 4, own=0, at=NOW))


def test_a_secondary_without_a_fresh_report_is_assumed_to_have_an_average_load():
    selector = _selector(near=8, far=0)
    primary = _choose(selector)
    _report_all(selector, load=9)
    later = NOW + 2 * REPORT_MAX_AGE
    _fill(primary, 40, later)
    assert isinstance(_choose(selector, now=later), Refusal)


def test_a_secondary_without_a_fresh_report_is_used_if_endpoints_are_mostly_idle():
    selector = _selector(near=8, far=0)
    primary = _choose(selector)
    _report_all(selector, load=1)
    later = NOW + 2 * REPORT_MAX_AGE
    _fill(primary, 40, later)
    assert _choose(selector, now=later) in set(selector._table.all()) - {primary}


def test_a_fresh_report_takes_precedence_over_the_average_load():
    selector = _selector(near=8, far=0)
    primary = _choose(selector)
    _report_all(selector, load=9)
    for upstream in selector._table.all():
        _fill(upstream, 40 if upstream is primary else 0)
    assert _choose(selector) in set(selector._table.all()) - {primary}


def test_the_average_load_is_not_assumed_at_a_primary():
    """Requests may wait there, and the answers report its actual load."""
    selector = _selector(near=8, far=0)
    primary = _choose(selector)
    _report_all(selector, load=40)
    assert _choose(selector, now=NOW + 2 * REPORT_MAX_AGE) is primary


def test_an_aging_report_is_blended_into_the_assumed_load():
    upstream = _choose(_selector())
    _fill(upstream, 4)
    assert expected_load(upstream, NOW, 2.0) == 4
    assert expected_load(upstream, NOW + REPORT_MAX_AGE / 2, 2.0) == 6
    assert expected_load(upstream, NOW + REPORT_MAX_AGE, 2.0) == 8


@pytest.mark.parametrize(("in_zone", "stays"), [(1, False), (2, True)])
def test_large_bodies_stay_within_their_zone_if_zones_have_enough_endpoints(in_zone, stays):
    table = UpstreamTable({"a": "east", "c": "east", "b": "west"})
    zones = ["a"] * in_zone + ["c"] * in_zone + ["b"] * in_zone
    for number, zone in enumerate(zones):
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, ZERO)
        table.register(row, NOW)
    selector = Selector(table, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    selector.body_sizes.record(RULE.name, 60_000)
    chosen = [_choose(selector, str(key)) for key in range(200)]
    assert ({up.registration.zone for up in chosen} == {"a"}) == stays
    assert {up.region for up in chosen} == {"east"}


def test_a_zone_that_loses_an_endpoint_keeps_its_large_bodies():
    selector = _selector(near=2, far=2)
    selector._table.withdraw("i-3", NOW)
    selector.body_sizes.record(RULE.name, 60_000)
    chosen = [_choose(selector, str(key)) for key in range(100)]
    assert {up.registration.zone for up in chosen} == {"a"}


def _lose(selector: Selector, numbers) -> None:
    for number in numbers:
        selector.outages.record_lost(f"10.0.0.{number}:80", NOW, silent=True)


@pytest.mark.parametrize("count", [1, 4, 5, 7, 19])
def test_endpoints_that_accept_no_connections_get_nothing_whatever_their_number(count):
    selector = _selector(near=20, far=0)
    _lose(selector, range(count))
    chosen = Counter(_choose(selector, str(key)).id for key in range(400))
    assert not chosen.keys() & {f"i-{number}" for number in range(count)}
    assert max(chosen.values()) < 3 * 400 / (20 - count)


def test_request_is_refused_at_once_if_no_endpoint_accepts_connections():
    selector = _selector()
    _lose(selector, range(8))
    assert _choose(selector).reason is RefusalReason.UNREACHABLE


def test_endpoint_that_refuses_new_connections_is_used_over_open_ones():
    selector = _selector(near=1, far=0)
    selector.outages.record_lost("10.0.0.0:80", NOW, silent=False)
    selector.outages.record_answer("10.0.0.0:80", NOW)
    assert isinstance(_choose(selector), Refusal)
    selector.has_connection = lambda address: True
    assert _choose(selector).id == "i-0"


def test_endpoint_that_is_back_gets_one_request_until_it_is_answered():
    selector = _selector(near=1, far=0)
    _lose(selector, [0])
    selector.outages.record_connected("10.0.0.0:80", MS, NOW)
    upstream = _choose(selector)
    selector.record_sent(upstream, NOW)
    assert _choose(selector).reason is RefusalReason.OVERLOAD
    selector.outages.record_answer("10.0.0.0:80", NOW)
    assert _choose(selector) is upstream


def test_only_endpoints_in_home_regions_are_alternatives():
    selector = _selector(near=1, far=3)
    at_home = RULE._replace(homes=frozenset({"east"}))
    assert selector.has_alternative(RULE, "menus", ["i-0"])
    assert not selector.has_alternative(at_home, "menus", ["i-0"])
    assert not selector.has_lost("menus")
    _lose(selector, [1, 2, 3])
    assert selector.has_lost("menus")
    assert not selector.has_alternative(RULE, "menus", ["i-0"])
