"""Which endpoints are taken to accept no connections, and when they are used again."""

from datetime import timedelta

import pytest
from cardamomloft.core.connectivity.outages import (
    ALARM_TIME,
    MAX_PROBE_INTERVAL,
    MAX_PROBES_PER_TICK,
    MAX_RETURN_DELAY,
    MAX_RETURN_TIME,
    PROBE_INTERVAL,
    RETURN_STEP,
    EndpointOutages,
)
from cardamomloft.core.connectivity.probes import DEFAULT_PATIENCE, MAX_PATIENCE, MIN_PATIENCE
from cardamomloft.core.connectivity.silence import (
    MAX_SAVED_PROBES,
    MAX_SILENCE,
    SUSPECT_INTERVAL,
)

MS = timedelta(milliseconds=1)
START = timedelta(seconds=100)
ONE, OTHER = "10.0.0.1:80", "10.0.0.2:80"
MANY = [f"10.0.1.{number}:80" for number in range(56)]


def lost(*addresses, silent=True, at=START) -> EndpointOutages:
    outages = EndpointOutages()
    for address in addresses:
        assert outages.record_lost(address, at, silent=silent)
    return outages


def test_any_number_of_endpoints_is_lost_until_each_accepts_a_connection():
    outages = lost(*MANY)
    assert all(outages.is_lost(address) for address in MANY)
    assert outages.record_connected(MANY[0], MS, START + 300 * MS)
    assert not outages.is_lost(MANY[0])
    assert outages.lost() == MANY[1:]


def test_repeated_loss_is_not_new():
    outages = lost(ONE)
    assert not outages.record_lost(ONE, START + 200 * MS, silent=True)


def test_lost_endpoints_are_probed_less_and_less_often_but_within_a_second():
    outages, now, probed = lost(ONE), START, []
    while now < START + timedelta(seconds=10):
        if outages.due_probes(now):
            probed.append(now)
            outages.start_probe(ONE, now)
            outages.end_probe(ONE, now)
            outages.record_lost(ONE, now, silent=True)
        now += 10 * MS
    gaps = [after - before for before, after in zip(probed, probed[1:], strict=False)]
    assert probed[0] == START + PROBE_INTERVAL
    assert gaps == sorted(gaps)
    assert max(gaps) == MAX_PROBE_INTERVAL


def test_probes_of_many_lost_endpoints_are_bounded_and_each_has_its_turn():
    outages, now, probed = lost(*MANY), START + PROBE_INTERVAL, set()
    for _ in range(len(MANY)):
        due = outages.due_probes(now)
        assert len(due) <= MAX_PROBES_PER_TICK
        for address in due:
            outages.start_probe(address, now)
            probed.add(address)
        now += 10 * MS
    assert probed == set(MANY)


@pytest.mark.parametrize("heard", [True, False])
def test_open_connections_are_used_while_new_ones_are_refused_if_they_work(heard):
    outages = lost(ONE, silent=False)
    if heard:
        outages.record_answer(ONE, START + 10 * MS)
    assert outages.is_lost(ONE)
    assert outages.is_lost(ONE, connected=True) != heard


def test_silent_endpoint_requires_new_connections_to_all_that_were_not_heard_since():
    outages = EndpointOutages()
    outages.record_answer(OTHER, START - 10 * MS)
    assert not outages.needs_new_connection(OTHER, START)
    outages.record_lost(ONE, START, silent=True)
    assert outages.needs_new_connection(OTHER, START)
    outages.record_answer(OTHER, START + 10 * MS)
    assert not outages.needs_new_connection(OTHER, START + 10 * MS)
    assert outages.needs_new_connection(MANY[0], START + 10 * MS)
    assert not outages.needs_new_connection(MANY[0], START + ALARM_TIME)


def test_refused_connections_require_no_new_ones_to_others():
    assert not lost(ONE, silent=False).needs_new_connection(OTHER, START)


def test_probe_without_a_result_requires_new_connections_before_it_ends():
    outages = EndpointOutages()
    outages.record_connected(ONE, MS, START - timedelta(seconds=1))
    outages.start_probe(ONE, START)
    assert not outages.needs_new_connection(OTHER, START + 10 * MS)
    assert outages.needs_new_connection(OTHER, START + 50 * MS)
    outages.end_probe(ONE, START)
    assert not outages.needs_new_connection(OTHER, START + 50 * MS)


def test_probes_of_lost_endpoints_require_no_new_connections():
    outages = lost(ONE)
    now = START + ALARM_TIME
    outages.start_probe(ONE, now)
    assert not outages.needs_new_connection(OTHER, now + 90 * MS)
    outages.end_probe(ONE, now)
    outages.record_lost(ONE, now + 100 * MS, silent=True)
    assert not outages.needs_new_connection(OTHER, now + 100 * MS)


def test_endpoint_that_is_slow_to_answer_is_probed_once_in_a_while():
    outages = EndpointOutages()
    outages.record_sent(ONE, START)
    assert outages.suspects(START + 10 * MS) == []
    now = START + MAX_SILENCE
    assert outages.suspects(now) == [ONE]
    outages.start_probe(ONE, now)
    outages.end_probe(ONE, now)
    assert outages.suspects(now + SUSPECT_INTERVAL / 2) == []
    assert outages.suspects(now + SUSPECT_INTERVAL) == [ONE]


def test_endpoint_that_gives_signs_is_not_probed():
    outages = EndpointOutages()
    outages.record_sent(ONE, START)
    outages.record_sent(ONE, START + 50 * MS)
    outages.record_answer(ONE, START + 140 * MS)
    outages.record_end(ONE)
    assert outages.suspects(START + MAX_SILENCE) == []
    outages.record_end(ONE)
    assert outages.is_idle


def test_probes_of_slow_endpoints_are_a_fraction_of_the_requests_unless_one_is_silent():
    outages = EndpointOutages()
    for address in MANY:
        outages.record_sent(address, START)
    now = START + MAX_SILENCE
    assert len(outages.suspects(now)) <= MAX_SAVED_PROBES
    outages.record_lost(ONE, now, silent=True)
    assert outages.suspects(now) == sorted(MANY)


def test_patience_follows_the_usual_time_to_connect_within_bounds():
    outages = EndpointOutages()
    assert outages.patience(ONE) == DEFAULT_PATIENCE
    outages.record_connected(ONE, MS, START)
    assert outages.patience(ONE) == MIN_PATIENCE
    outages.record_connected(OTHER, 70 * MS, START)
    assert 200 * MS < outages.patience(OTHER) < MAX_PATIENCE


def returned() -> EndpointOutages:
    outages = lost(ONE)
    outages.record_connected(ONE, MS, START)
    return outages


def test_entries_send_to_an_endpoint_that_is_back_in_turns_as_many_as_it_has_slots():
    outages = returned()
    assert [outages.is_returning(ONE, 0, rank, 4, START) for rank in (0, 3, 4)] == [0, 0, 1]
    assert not outages.is_returning(ONE, 0, 4, 4, START + RETURN_STEP)
    assert not outages.is_returning(ONE, 0, 10_000, 4, START + MAX_RETURN_DELAY)


def test_entry_awaits_the_first_answer_of_an_endpoint_that_is_back():
    outages = returned()
    assert outages.is_returning(ONE, 1, 0, 4, START + 10 * MS)
    outages.record_answer(ONE, START + 60 * MS)
    assert not outages.is_returning(ONE, 1, 0, 4, START + 60 * MS)


def test_endpoint_that_is_back_is_used_as_before_even_without_an_answer():
    assert not returned().is_returning(ONE, 1, 0, 4, START + MAX_RETURN_TIME)


def test_endpoints_that_are_not_registered_are_forgotten():
    outages = lost(ONE, OTHER)
    outages.retain({OTHER})
    assert outages.lost() == [OTHER]


def test_all_endpoints_are_used_again_if_failures_had_another_cause():
    outages = lost(ONE, OTHER)
    outages.forget()
    assert not outages
    assert not outages.needs_new_connection(ONE, START)


def probed(*starts) -> EndpointOutages:
    """Return outages with probes of ONE without a result, and a usual time to connect."""
    outages = EndpointOutages()
    for address in (ONE, OTHER):
        outages.record_connected(address, MS, START - timedelta(seconds=1))
    for start in starts:
        outages.start_probe(ONE, start)
    return outages


LATER = START + 400 * MS


def test_endpoint_is_silent_once_later_connections_to_others_were_faster_than_two_probes():
    outages = probed(START, START + 50 * MS)
    assert outages.silent(LATER) == []
    outages.record_connected(OTHER, MS, START + 60 * MS)
    assert outages.silent(START + 90 * MS) == []
    assert outages.silent(START + 115 * MS) == [ONE]


def test_endpoint_is_not_silent_while_all_connections_are_slow():
    outages = probed(START, START + 50 * MS)
    outages.record_connected(OTHER, 300 * MS, START + 300 * MS)
    assert outages.silent(LATER) == []


def test_one_probe_without_a_result_may_be_a_lost_packet():
    outages = probed(START)
    outages.record_connected(OTHER, MS, START + 60 * MS)
    assert outages.silent(LATER) == []
    assert outages.checks(START + 65 * MS) == [ONE, OTHER]


def test_endpoint_that_answers_on_an_open_connection_is_not_silent():
    outages = probed(START, START + 50 * MS)
    outages.record_connected(OTHER, MS, START + 60 * MS)
    outages.record_answer(ONE, START + 70 * MS)
    assert outages.silent(LATER) == []
    assert outages.checks(START + 75 * MS) == []
    assert ONE in outages.checks(START + 70 * MS + MIN_PATIENCE)


def test_probe_without_a_result_is_compared_with_one_connection_to_another_endpoint():
    outages = probed(START)
    assert outages.checks(START + 10 * MS) == []
    assert outages.checks(START + 50 * MS) == [OTHER]
    outages.start_probe(OTHER, START + 50 * MS)
    assert outages.checks(START + 75 * MS) == []


def test_lost_endpoints_are_nothing_to_compare_with():
    outages = probed(START)
    outages.record_lost(OTHER, START, silent=False)
    outages.start_probe(OTHER, START + 10 * MS)
    assert outages.checks(START + 50 * MS) == []
    third = MANY[0]
    outages.record_answer(third, START)
    assert outages.checks(START + 50 * MS) == [third]


def test_slow_connections_to_all_endpoints_delay_suspicion_and_patience():
    outages = probed()
    for number in range(3):
        outages.record_connected(OTHER, 200 * MS, START - number * MS)
    assert outages.patience(ONE) > 300 * MS
    outages.start_probe(ONE, START)
    assert outages.checks(START + 200 * MS) == []
    assert not outages.needs_new_connection(OTHER, START + 200 * MS)


def test_early_alarm_ends_unless_another_endpoint_is_faster():
    outages = probed(START)
    assert outages.needs_new_connection(OTHER, START + 200 * MS)
    assert not outages.needs_new_connection(OTHER, LATER)
    outages.record_connected(MANY[0], MS, START + 60 * MS)
    assert outages.needs_new_connection(OTHER, LATER)
