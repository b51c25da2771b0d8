import pytest
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import ENDPOINTS, ONCE, SLOW, BrokenOff, source_of
from cardamomloft_standins.linkhistory import (
    GRACE_S,
    LAST_SIXTH_S,
    Change,
    LinkHistory,
    Result,
    Signalled,
    Timeouts,
)

NAMES = [f"i-{number}" for number in range(ENDPOINTS)]
SENT_AT = 100.0


@pytest.fixture
def history():
    history = LinkHistory(NAMES)
    history.timeouts.append(Timeouts(0.0, 1.0, 3.0))
    return history


def result(status: int = 502, prefix: str = SLOW, deadline: float = 4.0) -> Result:
    return Result("e-0", f"{prefix}/1", SENT_AT, deadline, status)


def broken_off(after: float, endpoint: str = "i-0", gateway: str = "e-0") -> BrokenOff:
    return BrokenOff(f"{SLOW}/1", endpoint, source_of(gateway), SENT_AT + after, after)


def test_request_that_is_broken_off_without_an_answer_is_given_up(history):
    for status in (0, 502, 503, 504):
        assert history.given_up([result(status)], [broken_off(0.5)])


def test_request_that_another_endpoint_has_answered_is_not_given_up(history):
    assert not history.given_up([result(200)], [broken_off(0.5)])


def test_requests_of_callers_that_record_nothing_are_passed_over(history):
    assert not history.given_up([], [broken_off(0.5)])


@pytest.mark.parametrize(
    ("prefix", "deadline", "limit"), [(ONCE, 4.0, 1.0), (SLOW, 4.0, 3.0), (SLOW, 2.0, 2.0)]
)
def test_request_may_be_broken_off_at_its_timeout_or_deadline(history, prefix, deadline, limit):
    sent = result(prefix=prefix, deadline=deadline)
    assert history.excuse(sent, broken_off(limit - 0.2)) is None
    assert history.excuse(sent, broken_off(limit)) is not None


def test_timeouts_count_from_the_time_they_may_be_in_force(history):
    history.timeouts.append(Timeouts(SENT_AT - 1.0, 1.0, 2.0))
    assert history.excuse(result(), broken_off(2.0)) is not None


def test_timeouts_that_are_written_after_a_request_do_not_concern_it(history):
    history.timeouts.append(Timeouts(SENT_AT + 0.5, 1.0, 2.0))
    assert history.excuse(result(), broken_off(2.0)) is None


def test_former_timeouts_do_not_concern_a_request(history):
    history.timeouts += [Timeouts(10.0, 1.0, 2.0), Timeouts(20.0, 1.0, 3.0)]
    assert history.excuse(result(), broken_off(2.0)) is None


@pytest.mark.parametrize("gateway", ["e-0", "e-1"])
def test_killed_process_excuses_the_requests_it_had(history, gateway):
    history.killed.append(Signalled(gateway, SENT_AT + 0.5))
    assert history.excuse(result(), broken_off(0.6, gateway="e-1")) is not None
    assert history.excuse(result(), broken_off(0.4, gateway="e-1")) is None
    assert history.excuse(result(), broken_off(1.5, gateway="e-1")) is None


def test_killed_process_excuses_no_request_of_others(history):
    history.killed.append(Signalled("e-2", SENT_AT + 0.5))
    assert history.excuse(result(), broken_off(0.6, gateway="e-1")) is None


def test_stopping_gateway_may_break_off_accepted_requests_in_the_last_sixth(history):
    history.timeouts[:] = [Timeouts(0.0, 9.0, 9.0)]
    sent = result(deadline=9.0)
    history.stopped.append(Signalled("e-0", SENT_AT))
    assert history.excuse(sent, broken_off(LAST_SIXTH_S - 0.1)) is None
    assert history.excuse(sent, broken_off(LAST_SIXTH_S + 0.1)) is not None
    assert history.excuse(sent, broken_off(GRACE_S + 1.0)) is None


def test_last_sixth_excuses_no_request_that_was_sent_late(history):
    history.stopped.append(Signalled("e-0", SENT_AT - 4.0))
    assert history.excuse(result(), broken_off(LAST_SIXTH_S - 4.0 + 0.1)) is None


@pytest.mark.parametrize(
    ("cut", "excused"),
    [(Cut.HANG, True), (Cut.RESET, True), (Cut.REFUSE, False), (Cut.STALL, False)],
)
def test_only_links_on_which_nothing_passes_excuse_what_is_broken_off(history, cut, excused):
    history.changes.append(Change("e-0", SENT_AT + 0.2, cut, 3))
    assert (history.excuse(result(), broken_off(0.5)) is not None) == excused


def test_cut_excuses_only_its_gateway_endpoints_and_time(history):
    history.changes.append(Change("e-0", SENT_AT - 5.0, Cut.HANG, 3))
    assert history.excuse(result(), broken_off(0.5, endpoint="i-3")) is None
    assert history.excuse(result(), broken_off(0.5, gateway="e-1")) is None
    history.changes.append(Change("e-0", SENT_AT - 1.0, Cut.NONE, ENDPOINTS))
    assert history.excuse(result(), broken_off(0.5)) is None


def test_request_of_a_killed_gateway_may_be_seen_to_end_late(history):
    history.killed.append(Signalled("e-0", SENT_AT + 0.04))
    assert history.excuse(result(), broken_off(0.6)) is not None


def test_kill_before_a_request_or_of_its_helper_does_not_excuse_a_later_end(history):
    history.killed.append(Signalled("e-0", SENT_AT - 0.04))
    history.killed.append(Signalled("e-1", SENT_AT + 0.04))
    assert history.excuse(result(), broken_off(0.6)) is None
    assert history.excuse(result(), broken_off(0.6, gateway="e-1")) is None
