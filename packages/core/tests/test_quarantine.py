"""Which requests are sent to no upstream any more, and which are not held to blame."""

from datetime import timedelta

import pytest
from cardamomloft.core.notices import CRASH_RETENTION, CrashUnderRequest
from cardamomloft.core.quarantine import CRASHES_TO_QUARANTINE, RESTART_TIME, Quarantine
from cardamomloft.core.registrations import UpstreamIncarnation

MS = timedelta(milliseconds=1)
NOW = timedelta(hours=1)


def crash(quarantine, fingerprint, upstream, now=NOW, started_ms=0):
    return quarantine.apply(
        quarantine.crash_notice(fingerprint, UpstreamIncarnation(upstream, started_ms), now), now
    )


def test_a_request_that_has_met_three_crashes_is_refused():
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


def test_what_several_requests_lose_at_once_at_one_upstream_is_one_crash():
    quarantine = Quarantine()
    for offset in range(5):
        crash(quarantine, "f", "i-1", NOW + offset * 100 * MS)
    assert quarantine.refused_until("f", NOW) is None


@pytest.mark.parametrize("started", [(0, 0, 0), (1, 2, 3)])
def test_an_upstream_that_is_back_and_crashes_again_counts_again(started):
    quarantine = Quarantine()
    for number, started_ms in enumerate(started):
        crash(quarantine, "f", "i-1", NOW + number * RESTART_TIME, started_ms)
    assert quarantine.refused_until("f", NOW + 3 * RESTART_TIME) is not None


def test_an_answer_excuses_a_request():
    """It had met the crashes that another request at the same upstreams was the cause of."""
    quarantine = Quarantine()
    for upstream in ("i-1", "i-2"):
        crash(quarantine, "harmless", upstream)
        crash(quarantine, "poison", upstream)
    for notice in quarantine.clearing_notices("harmless"):
        quarantine.apply(notice, NOW)
    for fingerprint in ("harmless", "poison"):
        crash(quarantine, fingerprint, "i-3")
    assert quarantine.quarantined(NOW) == ["poison"]


def test_an_answer_heard_of_late_ends_the_refusal():
    quarantine = Quarantine()
    for number in range(3):
        crash(quarantine, "f", f"i-{number}")
    for number in range(3):
        quarantine.apply(CrashUnderRequest("f", f"i-{number}", 0, 1, excused=True), NOW)
    assert quarantine.refused_until("f", NOW) is None
    assert not quarantine


def test_it_ends_when_the_third_crash_is_too_old():
    quarantine = Quarantine()
    for number in range(4):
        crash(quarantine, "f", f"i-{number}", NOW + number * 1000 * MS)
    until = quarantine.refused_until("f", NOW + 3000 * MS)
    assert until == NOW + 1000 * MS + CRASH_RETENTION
    assert quarantine.refused_until("f", until - MS) == until
    assert quarantine.refused_until("f", until) is None
    quarantine.expire(NOW + 3000 * MS + CRASH_RETENTION)
    assert not quarantine
