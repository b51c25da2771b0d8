"""The check of uploads that are answered early: what counts as lost, and what is excused."""

import pytest
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.earlyanswers import Upload
from cardamomloft_standins.earlyuploads import (
    SentUpload,
    Trouble,
    late_notices,
    lost_uploads,
    mixed_uploads,
)
from cardamomloft_standins.linkhistory import Signalled

SENT = SentUpload("e-1", "u", at=10.0, status=200, sha256="abc", end=11.0, whole=True)
CUT = Upload("u", 100, 60, "xyz", whole=False, ended=12.0)
WHOLE = Upload("u", 100, 100, "abc", whole=True, ended=12.0)


def lost(sent=SENT, got=(CUT,), killed=(), stopped=(), troubles=(), left=()):
    return lost_uploads([sent], got, killed, stopped, troubles, left)


def test_acknowledged_upload_that_no_endpoint_has_whole_is_lost():
    assert lost() == [(SENT, [CUT])]
    assert lost(got=()) == [(SENT, [])]
    assert lost(got=(WHOLE._replace(sha256="xyz"),))
    assert not lost(got=(CUT, WHOLE))


@pytest.mark.parametrize("sent", [SENT._replace(status=500), SENT._replace(whole=False)])
def test_upload_that_was_not_acknowledged_or_not_sent_whole_is_not_lost(sent):
    assert not lost(sent)


def test_upload_whose_endpoint_has_left_is_not_lost():
    assert not lost(left=["u"])


@pytest.mark.parametrize(
    ("trouble", "excused"),
    [
        ({"killed": [Signalled("e-2", 11.5)]}, True),
        ({"killed": [Signalled("e-2", 12.5)]}, False),
        ({"stopped": [Signalled("e-1", 6.5)]}, True),
        ({"stopped": [Signalled("e-1", 10.5)]}, False),
        ({"troubles": [Trouble("e-1", 9.0, Cut.RESET)]}, True),
        ({"troubles": [Trouble("e-1", 8.0, Cut.HANG), Trouble("e-1", 9.0, Cut.NONE)]}, False),
        ({"troubles": [Trouble("e-1", 9.0, Cut.STALL)]}, False),
    ],
)
def test_only_processes_and_links_that_end_during_an_upload_excuse_its_loss(trouble, excused):
    assert bool(lost(**trouble)) is not excused


def test_endpoint_that_learns_late_that_a_caller_has_left_is_found():
    left = SENT._replace(whole=False)
    late = CUT._replace(ended=left.end + 10)
    assert late_notices([left], [CUT, late], []) == [(left, late)]
    assert not late_notices([left], [late], [Trouble("e-1", 9.0, Cut.HANG)])
    assert not late_notices([SENT], [late], [])


def test_upload_that_is_whole_with_other_bytes_is_found():
    other = WHOLE._replace(sha256="xyz")
    assert mixed_uploads([SENT], [WHOLE, other, CUT]) == [other]
