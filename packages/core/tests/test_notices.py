"""Notices: kept for a bounded time, with the same result in any order of arrival."""

from datetime import timedelta

from cardamomloft.core.notices import (
    BUCKETS,
    CRASH_RETENTION,
    EXCUSE_RETENTION,
    LEAVING_RETENTION,
    MAX_NOTICES,
    CrashUnderRequest,
    DatedNotice,
    NoticeTable,
    UpstreamLeaving,
    UpstreamRateLimit,
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
    st.builds(
        UpstreamRateLimit,
        st.sampled_from("abc"),
        st.integers(0, 1),
        st.integers(1, 3),
        st.sampled_from([None, 2.0, 4.5]),
    ),
)


def held_notices(board, now=NOW):
    return {dated.notice for dated in board.differing((), now)}


def test_a_notice_is_new_once():
    board = NoticeTable()
    assert board.take([DatedNotice(CRASH, NOW)], NOW) == [DatedNotice(CRASH, NOW)]
    assert board.take([DatedNotice(CRASH, NOW - S)], NOW) == []


def test_an_excuse_is_not_replaced_by_a_later_crash_notice():
    board = NoticeTable()
    board.take([DatedNotice(CRASH, NOW)], NOW)
    assert board.take([DatedNotice(EXCUSE, NOW)], NOW) == [DatedNotice(EXCUSE, NOW)]
    assert board.take([DatedNotice(CRASH, NOW)], NOW) == []
    assert held_notices(board) == {EXCUSE}


def test_a_notice_expires_after_its_retention_and_forwarding_does_not_extend_it():
    for notice, retention in (
        (CRASH, CRASH_RETENTION),
        (EXCUSE, EXCUSE_RETENTION),
        (LEAVING, LEAVING_RETENTION),
    ):
        board = NoticeTable()
        board.take([DatedNotice(notice, NOW)], NOW)
        assert held_notices(board, NOW + retention) == {notice}
        assert held_notices(board, NOW + retention + S) == set()
        assert board.take([DatedNotice(notice, NOW)], NOW + retention + S) == []


def test_the_number_of_notices_is_bounded():
    board = NoticeTable()
    board.take(
        (DatedNotice(UpstreamLeaving(f"i-{n}", 0), NOW) for n in range(MAX_NOTICES + 9)), NOW
    )
    assert len(board) == MAX_NOTICES
    assert UpstreamLeaving(f"i-{MAX_NOTICES + 8}", 0) in held_notices(board)


@given(st.lists(NOTICES, max_size=20), st.randoms(use_true_random=False))
def test_tables_with_the_same_notices_in_any_order_are_equal(notices, rng):
    one, other = NoticeTable(), NoticeTable()
    one.take([DatedNotice(notice, NOW) for notice in notices], NOW)
    shuffled = [*notices, *notices[:3]]
    rng.shuffle(shuffled)
    other.take([DatedNotice(notice, NOW) for notice in shuffled], NOW)
    assert one.checksums(NOW) == other.checksums(NOW)
    assert held_notices(one) == held_notices(other)


@given(st.lists(NOTICES, max_size=20), st.lists(NOTICES, max_size=20))
def test_two_tables_that_exchange_differing_buckets_become_equal(first, second):
    one, other = NoticeTable(), NoticeTable()
    one.take([DatedNotice(notice, NOW) for notice in first], NOW)
    other.take([DatedNotice(notice, NOW) for notice in second], NOW)
    for_other = one.differing(other.checksums(NOW), NOW)
    for_one = other.differing(one.checksums(NOW), NOW)
    other.take(for_other, NOW)
    one.take(for_one, NOW)
    assert one.checksums(NOW) == other.checksums(NOW)
    assert len(one.checksums(NOW)) == BUCKETS


def test_only_differing_buckets_are_sent():
    one, other = NoticeTable(), NoticeTable()
    both = [DatedNotice(UpstreamLeaving(f"i-{number}", 0), NOW) for number in range(200)]
    one.take(both, NOW)
    other.take(both, NOW)
    one.take([DatedNotice(LEAVING, NOW)], NOW)
    sent = one.differing(other.checksums(NOW), NOW)
    assert DatedNotice(LEAVING, NOW) in sent
    assert len(sent) < 2 * 200 / BUCKETS + 10
