"""Placement by object: stable, bounded by load, and gentle to cold and failing endpoints."""

from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.affinity import Candidate, first_ranked, text_hash, unit_hash
from cardamomloft.core.budgets import ColdLimit
from cardamomloft.core.estimates import REPORT_LIFE, expected_load
from cardamomloft.core.model import Refusal
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
    book = UpstreamTable({"a": "east", "b": "west"})
    for number in range(near + far):
        zone = "a" if number < near else "b"
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, cold_left)
        book.register(row, NOW)
    selector = Selector(book, name, "a", ColdLimit(1.5, 5), Preferences())
    selector.policies = {"menus": POLICY}
    return selector


def _choose(selector: Selector, key: str = "17", tried=(), now: timedelta = NOW, rule=RULE):
    found = selector.choose(rule, "menus", key, tried, now + rule.timeout, now)
    return found.upstream if isinstance(found, Choice) else found


def _fill(upstream, load: int, now: timedelta = NOW) -> None:
    upstream.report = LoadReport(load, 0, 4, own=0, at=now)


def test_entries_that_know_the_same_endpoints_place_alike():
    first, second = _selector(), _selector()
    for key in map(str, range(50)):
        assert _choose(first, key).id == _choose(second, key).id


@pytest.mark.parametrize("gone", range(8))
def test_only_the_keys_of_an_endpoint_that_goes_move(gone):
    selector = _selector(near=8, far=0)
    before = {key: _choose(selector, key).id for key in map(str, range(60))}
    selector._book.withdraw(f"i-{gone}", NOW)
    for key, endpoint in before.items():
        assert (_choose(selector, key).id == endpoint) == (endpoint != f"i-{gone}")


@pytest.mark.parametrize("gone", range(4))
def test_no_key_moves_within_a_region_that_loses_an_endpoint_but_its_own(gone):
    """Some leave the region, for which it has too few slots now."""
    selector = _selector()
    before = {key: _choose(selector, key).id for key in map(str, range(200))}
    selector._book.withdraw(f"i-{gone}", NOW)
    after = {key: _choose(selector, key) for key in before}
    stayed = [key for key in before if before[key] != f"i-{gone}" and after[key].region == "east"]
    assert all(after[key].id == before[key] for key in stayed)
    assert sum(up.region == "west" for up in after.values()) / 200 < 0.25


def test_a_region_with_slots_enough_keeps_its_keys():
    assert {_choose(_selector(), str(key)).region for key in range(200)} == {"east"}


def test_a_region_with_too_few_slots_sends_the_rest_away():
    counts = Counter(_choose(_selector(near=2, far=6), str(key)).region for key in range(400))
    assert counts["east"] / 400 == pytest.approx(0.5, abs=0.08)


def test_large_bodies_stay_within_their_zone():
    book = UpstreamTable({"a": "east", "b": "east"})
    for number in range(8):
        zone = "a" if number < 4 else "b"
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, ZERO)
        book.register(row, NOW)
    selector = Selector(book, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    zones = Counter(_choose(selector, str(key)).registration.zone for key in range(200))
    assert zones["b"] > 60
    selector.body_sizes.record("menus", 60_000)
    assert {_choose(selector, str(key)).registration.zone for key in range(200)} == {"a"}


def test_without_own_endpoints_all_goes_away():
    assert _choose(_selector(near=0, far=2)).region == "west"


def test_a_key_leaves_a_full_endpoint_for_its_second_choice_and_returns():
    selector = _selector()
    first = _choose(selector)
    _fill(first, 9)
    second = _choose(selector)
    assert second is not first
    assert all(_choose(selector) is second for _ in range(5))
    assert _choose(selector, now=NOW + REPORT_LIFE) is first


def test_a_key_waits_at_a_busy_first_choice():
    selector = _selector()
    first = _choose(selector)
    _fill(first, 8)
    assert _choose(selector) is first


def test_a_key_that_both_choices_are_too_full_for_is_refused():
    """A third endpoint would push its own objects out, and be slow for this one too."""
    selector = _selector()
    first = _choose(selector)
    _fill(first, 9)
    second = _choose(selector)
    _fill(second, 2)
    assert isinstance(_choose(selector), Refusal)


def test_an_endpoint_that_refused_counts_as_full_and_keeps_its_place():
    """For want of room, for 60 ms: its keys may use their second endpoint, and never fill it."""
    selector = _selector()
    first = _choose(selector)
    selector.record_refusal(first, NOW, had_room=False)
    second = _choose(selector)
    assert second is not first
    _fill(second, 2)
    assert isinstance(_choose(selector), Refusal)
    assert _choose(selector, now=NOW + 60 * MS) is first


def test_an_endpoint_that_refused_with_a_free_slot_keeps_its_keys():
    """It sheds a part of its requests; elsewhere they are slow and push others out."""
    selector = _selector()
    first = _choose(selector)
    selector.record_refusal(first, NOW, had_room=True)
    assert _choose(selector) is first


def _known_at(selector: Selector, upstream, key: str = "17") -> None:
    selector.cache_states.record_sent(upstream, key)
    selector.cache_states.record_answer(upstream, key)


def _both(selector: Selector):
    """Return the first and the second endpoint of a key, with the same usual work."""
    first = _choose(selector)
    _fill(first, 9)
    second = _choose(selector)
    _fill(first, 0)
    first.service_time = second.service_time = 100 * MS
    _known_at(selector, first)
    return first, second


def test_an_object_at_hand_at_both_goes_where_it_is_answered_clearly_sooner():
    selector = _selector()
    first, second = _both(selector)
    _fill(first, 6)
    assert _choose(selector) is first
    _known_at(selector, second)
    assert _choose(selector) is second
    _fill(first, 3)
    assert _choose(selector) is first


def test_a_slow_first_endpoint_is_left_for_a_second_that_has_the_object():
    selector = _selector()
    first, second = _both(selector)
    _known_at(selector, second)
    first.service_time = 400 * MS
    assert _choose(selector) is second
    _fill(second, 4)
    assert _choose(selector) is first


def test_a_first_endpoint_that_started_again_is_left_for_a_second_that_has_the_object():
    selector = _selector()
    first, second = _both(selector)
    _known_at(selector, second)
    selector._book.register(first.registration._replace(started_ms=1), NOW)
    selector._book.get(first.id).service_time = 100 * MS
    assert _choose(selector) is second


def test_a_second_endpoint_that_refused_is_not_sooner():
    selector = _selector()
    first, second = _both(selector)
    _known_at(selector, second)
    _fill(first, 6)
    selector.record_refusal(second, NOW, had_room=False)
    assert _choose(selector) is first


def test_a_repeat_needs_a_free_slot_at_the_next_endpoint():
    selector = _selector()
    first = _choose(selector)
    second = _choose(selector, tried=[first.id])
    _fill(second, 3)
    assert _choose(selector, tried=[first.id]) is second
    _fill(second, 4)
    assert _choose(selector, tried=[first.id]) is not second


def test_what_is_about_no_object_goes_wherever_there_is_room():
    selector = _selector(near=6, far=0)
    rule = RULE._replace(keyed=False)
    for loaded in range(6):
        chosen = _choose(selector, "any", rule=rule)
        assert chosen.report is None, loaded
        _fill(chosen, 12)
    assert isinstance(_choose(selector, "any", rule=rule), Refusal)


@pytest.mark.parametrize(
    ("service_time", "most"), [(None, 8), (400, 5), (200, 7), (160, 9), (10, 11), (2000, 5)]
)
def test_it_waits_at_its_first_endpoint_as_long_as_the_target_allows(service_time, most):
    """Within 1.5 and 3 times the slots; the target is 400 ms."""
    selector = _selector()
    first = _choose(selector)
    first.service_time = service_time and service_time * MS
    until = timedelta(minutes=1)
    for load in range(16):
        _fill(first, load)
        chosen = selector.choose(RULE, "menus", "17", [], NOW + until, NOW)
        assert (chosen.upstream is first) == (load <= most)


def test_what_cannot_be_answered_in_time_is_refused():
    selector = _selector(near=1, far=0)
    first = _choose(selector)
    selector.record_answer(first, 600 * MS, 0)
    assert _choose(selector) is first
    _fill(first, 7)
    assert isinstance(_choose(selector), Refusal)


def test_time_spent_waiting_is_not_taken_for_work():
    selector = _selector()
    first = _choose(selector)
    selector.record_answer(first, 300 * MS, 7)
    assert first.service_time == 150 * MS


def test_own_requests_count_beside_a_report():
    selector = _selector()
    first = _choose(selector)
    _fill(first, 7)
    first.in_flight = 2
    assert expected_load(first, NOW) == 9
    assert _choose(selector) is not first


def test_a_report_fades_with_its_age():
    selector = _selector()
    first = _choose(selector)
    _fill(first, 6)
    loads = [expected_load(first, NOW + part * REPORT_LIFE / 4) for part in range(5)]
    assert loads == sorted(loads, reverse=True)
    assert loads[-1] == 0


def test_what_was_tried_is_not_tried_again():
    selector = _selector(near=2, far=0)
    first = _choose(selector)
    second = _choose(selector, tried=[first.id])
    assert second.id != first.id
    assert isinstance(_choose(selector, tried=[first.id, second.id]), Refusal)


def test_homes_are_never_left():
    selector = _selector(near=1, far=2)
    rule = RULE._replace(homes=frozenset({"east"}))
    for key in map(str, range(30)):
        assert _choose(selector, key, rule=rule).region == "east"
    _fill(_choose(selector, rule=rule), 100)
    assert isinstance(_choose(selector, rule=rule), Refusal)
    elsewhere = RULE._replace(homes=frozenset({"north"}))
    assert isinstance(_choose(selector, rule=elsewhere), Refusal)


def test_an_endpoint_rests_after_failures_and_is_tried_again():
    selector = _selector()
    first = _choose(selector)
    selector.record_failure(first, NOW)
    assert _choose(selector) is first
    selector.record_failure(first, NOW)
    assert _choose(selector) is not first
    assert _choose(selector, now=NOW + timedelta(seconds=5)) is first
    selector.record_answer(first, 150 * MS, 0)
    assert _choose(selector) is first


def test_when_most_endpoints_fail_none_rests():
    selector = _selector()
    for upstream in selector._book.of_service("menus"):
        for _ in range(3):
            selector.record_failure(upstream, NOW)
    assert not isinstance(_choose(selector), Refusal)


def test_a_warm_endpoint_goes_before_a_cold_one():
    selector = _selector(near=2, far=0)
    first = _choose(selector)
    first.cold_until = NOW + timedelta(seconds=1)
    assert _choose(selector) is not first
    assert _choose(selector, now=NOW + timedelta(seconds=2)) is first


@pytest.mark.parametrize("entries", [1, 3, 10, 40])
def test_cold_endpoints_get_no_more_than_they_bear_from_all_entries(entries):
    """With only cold endpoints, in any second of a rush."""
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
    most = max(sum(1 for at in sent if start <= at < start + 1000 * MS) for start in sent)
    assert 0 < most <= limit


def test_weights_decide_how_many_keys_come_first():
    candidates = [Candidate("a", text_hash("a"), 1.0), Candidate("b", text_hash("b"), 3.0)]
    firsts = Counter(first_ranked(str(key), candidates, 1)[0] for key in range(4000))
    assert firsts["b"] / firsts["a"] == pytest.approx(3, rel=0.15)


def test_keys_are_spread_evenly_over_endpoints_and_second_choices():
    names = [f"i-{number:x}" for number in range(20)]
    candidates = [Candidate(name, text_hash(name), 4.0) for name in names]
    order = [first_ranked(f"{key:x}", candidates, 2) for key in range(8000)]
    for place in range(2):
        counts = Counter(first[place] for first in order)
        assert set(counts) == set(names)
        assert max(counts.values()) < 1.25 * 400
    behind = Counter(second for first, second in order if first == names[0])
    assert len(behind) == 19


def test_the_first_of_a_rank_are_those_of_the_whole():
    candidates = [Candidate(name, text_hash(name), 1.0) for name in map(str, range(30))]
    whole = first_ranked("17", candidates, 30)
    assert sorted(whole) == sorted(map(str, range(30)))
    assert first_ranked("17", candidates, 8) == whole[:8]


def test_when_the_first_ranked_are_cold_another_endpoint_is_found():
    selector = _selector(near=20, far=0)
    for upstream in selector._order(RULE, "menus", "17"):
        upstream.cold_until = NOW + timedelta(seconds=9)
    chosen = _choose(selector)
    assert chosen.cold_until <= NOW


def test_a_change_of_one_service_leaves_the_ranks_of_others():
    selector = _selector()
    _choose(selector)
    ranking = selector._ranking(RULE, "menus")
    row = Registration("i-x", "orders", "10.0.0.99:80", "a", 4, False, ZERO)
    selector._book.register(row, NOW)
    assert selector._ranking(RULE, "menus") is ranking
    selector._book.register(row._replace(id="i-y", service="menus"), NOW)
    assert selector._ranking(RULE, "menus") is not ranking


def test_ranks_are_kept_for_keys_only():
    selector = _selector()
    rule = RULE._replace(keyed=False)
    _choose(selector, "some-request", rule=rule)
    assert selector._ranking(rule, "menus").known == {}


def test_the_hash_is_the_same_in_every_process():
    assert text_hash("17") == 0x20398D138E4D7BB4
    assert unit_hash("17", "i-1") == pytest.approx(0.7164289, abs=1e-6)


def _report_all(selector: Selector, load: int) -> None:
    """Let the entry read the same load everywhere, often enough to be usual."""
    for upstream in selector._book.all():
        for _ in range(5):
            selector.record_report(upstream, LoadReport(load, 0, 4, own=0, at=NOW))


def test_an_endpoint_of_which_nothing_is_known_counts_as_usually_loaded_as_a_second_choice():
    selector = _selector(near=8, far=0)
    home = _choose(selector)
    _report_all(selector, load=9)
    later = NOW + 2 * REPORT_LIFE
    _fill(home, 40, later)
    assert isinstance(_choose(selector, now=later), Refusal)


def test_where_endpoints_are_usually_idle_one_of_which_nothing_is_known_is_a_second_choice():
    selector = _selector(near=8, far=0)
    home = _choose(selector)
    _report_all(selector, load=1)
    later = NOW + 2 * REPORT_LIFE
    _fill(home, 40, later)
    assert _choose(selector, now=later) in set(selector._book.all()) - {home}


def test_a_fresh_report_says_more_than_what_is_usual():
    selector = _selector(near=8, far=0)
    home = _choose(selector)
    _report_all(selector, load=9)
    for upstream in selector._book.all():
        _fill(upstream, 40 if upstream is home else 0)
    assert _choose(selector) in set(selector._book.all()) - {home}


def test_the_first_endpoint_is_used_whatever_is_usual():
    """Requests wait there, and its answers tell how it is."""
    selector = _selector(near=8, far=0)
    home = _choose(selector)
    _report_all(selector, load=40)
    assert _choose(selector, now=NOW + 2 * REPORT_LIFE) is home


def test_a_report_turns_into_what_is_usual_with_its_age():
    upstream = _choose(_selector())
    _fill(upstream, 4)
    assert expected_load(upstream, NOW, 2.0) == 4
    assert expected_load(upstream, NOW + REPORT_LIFE / 2, 2.0) == 6
    assert expected_load(upstream, NOW + REPORT_LIFE, 2.0) == 8


@pytest.mark.parametrize(("in_zone", "stays"), [(1, False), (2, True)])
def test_large_bodies_stay_within_their_zone_where_zones_have_endpoints_enough(in_zone, stays):
    book = UpstreamTable({"a": "east", "c": "east", "b": "west"})
    zones = ["a"] * in_zone + ["c"] * in_zone + ["b"] * in_zone
    for number, zone in enumerate(zones):
        row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", zone, 4, False, ZERO)
        book.register(row, NOW)
    selector = Selector(book, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    selector.body_sizes.record(RULE.name, 60_000)
    chosen = [_choose(selector, str(key)) for key in range(200)]
    assert ({up.registration.zone for up in chosen} == {"a"}) == stays
    assert {up.region for up in chosen} == {"east"}


def test_a_zone_that_loses_an_endpoint_keeps_its_large_bodies():
    selector = _selector(near=2, far=2)
    selector._book.withdraw("i-3", NOW)
    selector.body_sizes.record(RULE.name, 60_000)
    chosen = [_choose(selector, str(key)) for key in range(100)]
    assert {up.registration.zone for up in chosen} == {"a"}
