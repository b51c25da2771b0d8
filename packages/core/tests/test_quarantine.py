"""Requests that crash upstreams are quarantined, and harmless ones are cleared."""

from datetime import timedelta

import pytest
from cardamomloft.core.notices import CRASH_RETENTION, CrashUnderRequest
from cardamomloft.core.quarantine import (
    ANSWERS_KEPT,
    CRASHES_TO_QUARANTINE,
    MAX_ANSWERS,
    RESTART_TIME,
    Quarantine,
    RecentAnswers,
)
from cardamomloft.core.registrations import UpstreamIncarnation

MS = timedelta(milliseconds=1)
NOW = timedelta(hours=1)


def crash(quarantine, fingerprint, upstream, now=NOW, started_ms=0):
    return quarantine.apply(
        quarantine.crash_notice(fingerprint, UpstreamIncarnation(upstream, started_ms), now), now
    )


def test_a_request_is_quarantined_after_three_crashes():
    quarantine = Quarantine()
    assert [crash(quarantine, "f", f"i-{n}") for n in range(4)] == [False, False, True, False]
    assert quarantine.refused_until("f", NOW) == NOW + CRASH_RETENTION
    assert quarantine.refused_until("g", NOW) is None
    assert quarantine.quarantined(NOW) == ["f"]


def test_two_crashes_are_not_enough():
    quarantine = Quarantine()
    for number in range(CRASHES_TO_QUARANTINE - 1):
        crash(quarantine, "f", f"i-{number}")
    assert quarantine.refused_until("f", NOW) is None


def test_connection_losses_in_quick_succession_count_as_one_crash():
    quarantine = Quarantine()
    for offset in range(5):
        crash(quarantine, "f", "i-1", NOW + offset * 100 * MS)
    assert quarantine.refused_until("f", NOW) is None


@pytest.mark.parametrize("started", [(0, 0, 0), (1, 2, 3)])
def test_each_crash_of_a_restarted_upstream_counts(started):
    quarantine = Quarantine()
    for number, started_ms in enumerate(started):
        crash(quarantine, "f", "i-1", NOW + number * RESTART_TIME, started_ms)
    assert quarantine.refused_until("f", NOW + 3 * RESTART_TIME) is not None


def test_an_answer_clears_a_request():
    """A harmless request must not be blamed for crashes caused by another one."""
    quarantine = Quarantine()
    for upstream in ("i-1", "i-2"):
        crash(quarantine, "harmless", upstream)
        crash(quarantine, "poison", upstream)
    for notice in quarantine.clearing_notices("harmless"):
        quarantine.apply(notice, NOW)
    for fingerprint in ("harmless", "poison"):
        crash(quarantine, fingerprint, "i-3")
    assert quarantine.quarantined(NOW) == ["poison"]


def test_a_late_notice_of_an_answer_ends_the_quarantine():
    quarantine = Quarantine()
    for number in range(3):
        crash(quarantine, "f", f"i-{number}")
    for number in range(3):
        quarantine.apply(CrashUnderRequest("f", f"i-{number}", 0, 1, excused=True), NOW)
    assert quarantine.refused_until("f", NOW) is None
    assert not quarantine


def test_the_quarantine_ends_when_its_crashes_expire():
    quarantine = Quarantine()
    for number in range(4):
        crash(quarantine, "f", f"i-{number}", NOW + number * 1000 * MS)
    until = quarantine.refused_until("f", NOW + 3000 * MS)
    assert until == NOW + 1000 * MS + CRASH_RETENTION
    assert quarantine.refused_until("f", until - MS) == until
    assert quarantine.refused_until("f", until) is None
    quarantine.expire(NOW + 3000 * MS + CRASH_RETENTION)
    assert not quarantine


@pytest.mark.parametrize(
    ("answered", "fingerprint", "cleared"),
    [
        (timedelta(0), "f", True),
        (RESTART_TIME, "f", True),
        (-RESTART_TIME, "f", True),
        (-RESTART_TIME - MS, "f", False),
        (timedelta(0), "g", False),
    ],
)
def test_answer_clears_a_crash_that_becomes_known_after_it(answered, fingerprint, cleared):
    answers = RecentAnswers()
    answers.record(lambda: fingerprint, NOW + answered)
    assert answers.clear_crash(CrashUnderRequest("f", "i-1", 0, 1), NOW) is cleared


def test_few_answers_are_kept_for_a_short_time():
    answers = RecentAnswers()
    for _ in range(2 * MAX_ANSWERS):
        answers.record(lambda: "f", NOW)
    assert len(answers) == MAX_ANSWERS
    answers.expire(NOW + ANSWERS_KEPT)
    assert len(answers) == MAX_ANSWERS
    answers.expire(NOW + ANSWERS_KEPT + MS)
    assert not len(answers)
