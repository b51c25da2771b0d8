"""When exchanges are over, and whether a connection may be used again or reset."""

import pytest
from cardamomloft.upstreams.exchangestate import Ending, ExchangeState


def uploaded(status=200, *, written=True):
    state = ExchangeState()
    state.begin(has_body=True)
    if written:
        state.record_body_written()
    state.record_answer(status)
    state.record_answer_complete()
    return state


@pytest.mark.parametrize(
    ("status", "written", "unsent", "ending"),
    [
        (200, True, 0, Ending.REUSE),
        (200, True, 1, Ending.CLOSE),
        (204, False, 0, Ending.CLOSE),
        (500, True, 0, Ending.REUSE),
        (500, True, 1, Ending.RESET),
        (404, False, 0, Ending.RESET),
    ],
)
def test_connection_is_used_again_only_after_its_body_was_received(status, written, unsent, ending):
    state = uploaded(status, written=written)
    assert state.ending(lambda: unsent) is ending
    assert state.carries_stored_body() is (status < 400)


def test_request_without_a_body_leaves_its_connection_usable():
    state = ExchangeState()
    state.begin(has_body=False)
    state.record_answer(200)
    state.record_answer_complete()
    assert state.ending(lambda: 0) is Ending.REUSE
    assert not state.carries_stored_body()


def test_only_an_answer_to_the_next_request_proves_that_a_body_was_read():
    state = uploaded()
    state.begin(has_body=False)
    assert state.carries_stored_body()
    state.record_answer(500)
    assert not state.carries_stored_body()
    state.record_answer_complete()
    state.begin(has_body=False)
    assert not state.carries_stored_body()


def test_body_stays_unread_while_the_next_upload_has_no_answer():
    state = uploaded()
    state.begin(has_body=True)
    state.record_body_incomplete()
    assert state.carries_stored_body()


def test_body_that_stays_incomplete_or_whose_answer_is_rejected_is_not_stored():
    incomplete, rejected = uploaded(written=False), uploaded()
    assert incomplete.is_upload_answered
    incomplete.record_body_incomplete()
    rejected.reject_answer()
    for state in (incomplete, rejected):
        assert not state.is_upload_answered
        assert not state.carries_stored_body()


def test_body_is_not_stored_before_the_answer_is_complete():
    state = ExchangeState()
    state.begin(has_body=True)
    state.record_body_written()
    state.record_answer(200)
    assert not state.carries_stored_body()
