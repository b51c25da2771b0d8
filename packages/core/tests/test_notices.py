"""Notices: kept for a bounded time, the same for everybody whatever the order."""

from datetime import timedelta

from cardamomloft.core.notices import (
    BUCKETS,
    CRASH_RETENTION,
    EXCUSED_LIFE,
    LEAVING_LIFE,
    NOTICES_KEPT,
    CrashUnderRequest,
    DatedNotice,
    NoticeTable,
    UpstreamLeaving,
)
from hypothesis import given
from hypothesis import strategies as st

S = timedelta(seconds=1)
NOW = 1000 * S

CRASH = CrashUnderRequest("f", "i-1", 0, 1)
EXCUSE = CRASH._replace(excused=True)
LEAVING = UpstreamLeaving("i-1", 7)

NOTICES = st.one_of(
    st.builds(UpstreamLeaving, st.sampled_from("abc"), st.integers(0, 1)),
    st.builds(
        CrashUnderRequest,
        st.sampled_from("fg"),
        st.sampled_from("abc"),
        st.integers(0, 1),
        st.integers(1, 2),
        st.booleans(),
    ),
)


def held(board, now=NOW):
    return {dated.notice for dated in board.differing((), now)}


def test_a_notice_is_new_once():
    board = NoticeTable()
    assert board.take([DatedNotice(CRASH, NOW)], NOW) == [DatedNotice(CRASH, NOW)]
    assert board.take([DatedNotice(CRASH, NOW - S)], NOW) == []


def test_an_excuse_holds_whatever_comes_after():
    board = NoticeTable()
    board.take([DatedNotice(CRASH, NOW)], NOW)
    assert board.take([DatedNotice(EXCUSE, NOW)], NOW) == [DatedNotice(EXCUSE, NOW)]
    assert board.take([DatedNotice(CRASH, NOW)], NOW) == []
    assert held(board) == {EXCUSE}


def test_each_is_kept_for_its_time_and_circulating_makes_it_no_younger():
    for notice, life in ((CRASH, CRASH_RETENTION), (EXCUSE, EXCUSED_LIFE), (LEAVING, LEAVING_LIFE)):
        board = NoticeTable()
        board.take([DatedNotice(notice, NOW)], NOW)
        assert held(board, NOW + life) == {notice}
        assert held(board, NOW + life + S) == set()
        assert board.take([DatedNotice(notice, NOW)], NOW + life + S) == []


def test_the_number_of_notices_is_bounded():
    board = NoticeTable()
    board.take(
        (DatedNotice(UpstreamLeaving(f"i-{n}", 0), NOW) for n in range(NOTICES_KEPT + 9)), NOW
    )
    assert len(board) == NOTICES_KEPT
    assert UpstreamLeaving(f"i-{NOTICES_KEPT + 8}", 0) in held(board)


@given(st.lists(NOTICES, max_size=20), st.randoms(use_true_random=False))
def test_boards_that_took_the_same_in_any_order_hold_the_same(notices, rng):
    one, other = NoticeTable(), NoticeTable()
    one.take([DatedNotice(notice, NOW) for notice in notices], NOW)
    shuffled = [*notices, *notices[:3]]
    rng.shuffle(shuffled)
    other.take([DatedNotice(notice, NOW) for notice in shuffled], NOW)
    assert one.checksums(NOW) == other.checksums(NOW)
    assert held(one) == held(other)


@given(st.lists(NOTICES, max_size=20), st.lists(NOTICES, max_size=20))
def test_two_boards_that_tell_each_other_what_differs_hold_the_same(first, second):
    one, other = NoticeTable(), NoticeTable()
    one.take([DatedNotice(notice, NOW) for notice in first], NOW)
    other.take([DatedNotice(notice, NOW) for notice in second], NOW)
    for_other = one.differing(other.checksums(NOW), NOW)
    for_one = other.differing(one.checksums(NOW), NOW)
    other.take(for_other, NOW)
    one.take(for_one, NOW)
    assert one.checksums(NOW) == other.checksums(NOW)
    assert len(one.checksums(NOW)) == BUCKETS


def test_only_parts_that_differ_are_told():
    one, other = NoticeTable(), NoticeTable()
    both = [DatedNotice(UpstreamLeaving(f"i-{number}", 0), NOW) for number in range(200)]
    one.take(both, NOW)
    other.take(both, NOW)
    one.take([DatedNotice(LEAVING, NOW)], NOW)
    told = one.differing(other.checksums(NOW), NOW)
    assert DatedNotice(LEAVING, NOW) in told
    assert len(told) < 2 * 200 / BUCKETS + 10
