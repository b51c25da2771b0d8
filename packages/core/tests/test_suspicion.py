"""Ejection after consecutive failures seen by any entries, but not by one other entry alone."""

from datetime import timedelta

import pytest
from cardamomloft.core import suspicion
from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.suspicion import INITIAL_EJECTION, MAX_EJECTION, Suspicions
from hypothesis import given
from hypothesis import strategies as st

UPSTREAM = UpstreamIncarnation("i-1", 1000)
OWN = "e-0"
START = timedelta(seconds=100)


def seconds(value):
    return START + timedelta(seconds=value)


def with_failures(*entries, at=START):
    suspicions = Suspicions(OWN)
    for entry in entries:
        suspicions.record_failure(UPSTREAM, entry, at, at)
    return suspicions


@pytest.mark.parametrize("entries", [("e-1", "e-2"), (OWN, "e-1"), ("e-1", OWN), (OWN, OWN)])
def test_two_consecutive_failures_eject_an_endpoint(entries):
    assert with_failures(*entries).ejected_until(UPSTREAM) == START + INITIAL_EJECTION
    assert with_failures(entries[0]).ejected_until(UPSTREAM) < START


def test_repeated_failures_of_one_other_entry_do_not_eject_an_endpoint():
    """The failures may be those of that entry's own network."""
    assert with_failures(*["e-1"] * 50).ejected_until(UPSTREAM) < START


def test_an_answer_to_any_entry_ends_the_ejection_and_resets_the_count():
    suspicions = with_failures("e-1", "e-2")
    suspicions.record_answer(UPSTREAM, seconds(0.1))
    assert suspicions.ejected_until(UPSTREAM) < START and not suspicions.is_suspected(UPSTREAM)
    suspicions.record_failure(UPSTREAM, "e-1", seconds(0.2), seconds(0.2))
    assert suspicions.ejected_until(UPSTREAM) < START and suspicions.is_suspected(UPSTREAM)


def test_late_reports_are_ignored():
    """A failure older than an answer, and an answer older than a failure, must be ignored."""
    suspicions = Suspicions(OWN)
    suspicions.record_answer(UPSTREAM, seconds(1))
    suspicions.record_failure(UPSTREAM, "e-1", seconds(0.5), seconds(1.1))
    suspicions.record_failure(UPSTREAM, "e-2", seconds(0.9), seconds(1.2))
    assert not suspicions.is_suspected(UPSTREAM)
    ejected = with_failures("e-1", "e-2")
    ejected.record_answer(UPSTREAM, seconds(-0.1))
    assert ejected.ejected_until(UPSTREAM) == START + INITIAL_EJECTION


def test_failures_of_requests_sent_before_an_ejection_do_not_extend_it():
    suspicions = with_failures("e-1", "e-2")
    for number in range(3, 20):
        suspicions.record_failure(UPSTREAM, f"e-{number}", seconds(0.2), seconds(0.2))
    assert suspicions.ejected_until(UPSTREAM) == START + INITIAL_EJECTION


def test_ejections_double_with_each_further_failure_up_to_a_maximum():
    suspicions, ejections = with_failures("e-1", "e-2"), []
    for _ in range(5):
        now = suspicions.ejected_until(UPSTREAM)
        suspicions.record_failure(UPSTREAM, "e-1", now, now)
        ejections.append(suspicions.ejected_until(UPSTREAM) - now)
    assert ejections[0] == 2 * INITIAL_EJECTION
    assert ejections == sorted(ejections) and ejections[-1] == MAX_EJECTION


def test_a_new_incarnation_under_an_old_id_is_not_suspected():
    suspicions = with_failures("e-1", "e-2")
    assert suspicions.ejected_until(UPSTREAM._replace(started_ms=2000)) < START


def test_the_number_of_suspects_is_bounded(monkeypatch):
    monkeypatch.setattr(suspicion, "MAX_SUSPECTS", 10)
    suspicions = Suspicions(OWN)
    for number in range(100):
        suspicions.record_failure(UpstreamIncarnation(f"i-{number}", 1), "e-1", START, START)
        suspicions.record_answer(UpstreamIncarnation(f"j-{number}", 1), START)
    assert len(suspicions._suspects) <= 10 and len(suspicions._last_answers) <= 10


SEEN = st.tuples(
    st.sampled_from(["answered", "failed"]),
    st.sampled_from([OWN, "e-1", "e-2"]),
    st.integers(0, 50),
    st.integers(0, 10),
)


@given(st.lists(SEEN, max_size=30))
def test_an_endpoint_is_ejected_only_after_two_failures_with_no_later_answer(history):
    """The reports arrive in any order; an ejection never exceeds `MAX_EJECTION`."""
    suspicions, now = Suspicions(OWN), START
    seen = []
    for kind, entry, late, pause in history:
        now += timedelta(milliseconds=100 * pause)
        at = now - timedelta(milliseconds=100 * late)
        seen.append((kind, at))
        if kind == "failed":
            suspicions.record_failure(UPSTREAM, entry, at, now)
        else:
            suspicions.record_answer(UPSTREAM, at)
        assert suspicions.ejected_until(UPSTREAM) - now <= MAX_EJECTION
        if suspicions.ejected_until(UPSTREAM) > now:
            last_answer = max((at for kind, at in seen if kind == "answered"), default=None)
            failures = [at for kind, at in seen if kind == "failed"]
            since = [at for at in failures if last_answer is None or at > last_answer]
            assert since, "ejected although an answer came after every failure"
            assert len(failures) >= 2
