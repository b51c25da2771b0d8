"""Suspicion of endpoints: two failures in a row, whoever saw them, and not by one entry alone."""

from datetime import timedelta

import pytest
from cardamomloft.core import suspicion
from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.suspicion import FIRST_REST, LONGEST_REST, Suspicions
from hypothesis import given
from hypothesis import strategies as st

LIFE = UpstreamIncarnation("i-1", 1000)
OWN = "e-0"
START = timedelta(seconds=100)


def seconds(value):
    return START + timedelta(seconds=value)


def failing(*entries, at=START):
    found = Suspicions(OWN)
    for entry in entries:
        found.record_failure(LIFE, entry, at, at)
    return found


@pytest.mark.parametrize("entries", [("e-1", "e-2"), (OWN, "e-1"), ("e-1", OWN), (OWN, OWN)])
def test_two_failures_in_a_row_let_an_endpoint_rest(entries):
    assert failing(*entries).ejected_until(LIFE) == START + FIRST_REST
    assert failing(entries[0]).ejected_until(LIFE) < START


def test_another_entry_alone_raises_no_suspicion_however_often_it_fails():
    """Its own network may be at fault."""
    assert failing(*["e-1"] * 50).ejected_until(LIFE) < START


def test_an_answer_to_anybody_ends_the_rest_and_the_row():
    found = failing("e-1", "e-2")
    found.record_answer(LIFE, seconds(0.1))
    assert found.ejected_until(LIFE) < START and not found.is_suspected(LIFE)
    found.record_failure(LIFE, "e-1", seconds(0.2), seconds(0.2))
    assert found.ejected_until(LIFE) < START and found.is_suspected(LIFE)


def test_what_arrives_late_changes_nothing():
    """A failure from before an answer, and an answer from before a failure."""
    found = Suspicions(OWN)
    found.record_answer(LIFE, seconds(1))
    found.record_failure(LIFE, "e-1", seconds(0.5), seconds(1.1))
    found.record_failure(LIFE, "e-2", seconds(0.9), seconds(1.2))
    assert not found.is_suspected(LIFE)
    resting = failing("e-1", "e-2")
    resting.record_answer(LIFE, seconds(-0.1))
    assert resting.ejected_until(LIFE) == START + FIRST_REST


def test_failures_of_what_was_sent_before_a_rest_do_not_lengthen_it():
    found = failing("e-1", "e-2")
    for number in range(3, 20):
        found.record_failure(LIFE, f"e-{number}", seconds(0.2), seconds(0.2))
    assert found.ejected_until(LIFE) == START + FIRST_REST


def test_a_rest_is_longer_with_each_failure_after_it_up_to_a_bound():
    found, rests = failing("e-1", "e-2"), []
    for _ in range(5):
        now = found.ejected_until(LIFE)
        found.record_failure(LIFE, "e-1", now, now)
        rests.append(found.ejected_until(LIFE) - now)
    assert rests[0] == 2 * FIRST_REST
    assert rests == sorted(rests) and rests[-1] == LONGEST_REST


def test_a_new_life_under_an_old_id_is_not_suspected():
    found = failing("e-1", "e-2")
    assert found.ejected_until(LIFE._replace(started_ms=2000)) < START


def test_no_more_is_kept_than_so_much(monkeypatch):
    monkeypatch.setattr(suspicion, "SUSPECTS_KEPT", 10)
    found = Suspicions(OWN)
    for number in range(100):
        found.record_failure(UpstreamIncarnation(f"i-{number}", 1), "e-1", START, START)
        found.record_answer(UpstreamIncarnation(f"j-{number}", 1), START)
    assert len(found._suspects) <= 10 and len(found._answered) <= 10


SEEN = st.tuples(
    st.sampled_from(["answered", "failed"]),
    st.sampled_from([OWN, "e-1", "e-2"]),
    st.integers(0, 50),
    st.integers(0, 10),
)


@given(st.lists(SEEN, max_size=30))
def test_an_endpoint_rests_only_after_two_failures_with_no_answer_between(history):
    """Whatever the order in which things are heard, and for no longer than the longest rest."""
    found, now = Suspicions(OWN), START
    seen = []
    for kind, entry, late, pause in history:
        now += timedelta(milliseconds=100 * pause)
        at = now - timedelta(milliseconds=100 * late)
        seen.append((kind, at))
        if kind == "failed":
            found.record_failure(LIFE, entry, at, now)
        else:
            found.record_answer(LIFE, at)
        assert found.ejected_until(LIFE) - now <= LONGEST_REST
        if found.ejected_until(LIFE) > now:
            last_answer = max((at for kind, at in seen if kind == "answered"), default=None)
            failures = [at for kind, at in seen if kind == "failed"]
            since = [at for at in failures if last_answer is None or at > last_answer]
            assert since, "it rests though an answer came after every failure"
            assert len(failures) >= 2
