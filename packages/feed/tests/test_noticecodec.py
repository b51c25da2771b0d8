"""Encoding of notices: ages are kept across clocks, and invalid data is an error."""

from datetime import timedelta

import pytest
from cardamomloft.core.notices import (
    CrashUnderRequest,
    DatedNotice,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamRateLimit,
    ZoneDrain,
)
from cardamomloft.feed.noticecodec import MAX_AGE_MS, decode_notices, encode_notices
from hypothesis import given
from hypothesis import strategies as st

MS = timedelta(milliseconds=1)
NOW = timedelta(hours=100)
HELD = [
    DatedNotice(UpstreamLeaving("i-1", 7), NOW - 20 * MS),
    DatedNotice(CrashUnderRequest("f", "i-2", 0, 2, excused=True), NOW),
    DatedNotice(UpstreamRateLimit("i-3", 7, 1, 7.8), NOW - 30 * MS),
    DatedNotice(UpstreamRateLimit("i-4", 7, 2, None), NOW),
    DatedNotice(ZoneDrain("a", 3, True), NOW - 40 * MS),
    DatedNotice(UpstreamCold("i-5", 7, 1, 2900), NOW),
]


def test_decoded_notices_keep_their_age_on_the_receivers_clock():
    later = timedelta(hours=1000)
    read = decode_notices(encode_notices(HELD, NOW), later).ok
    assert read == tuple(DatedNotice(notice, later - (NOW - at)) for notice, at in HELD)


@given(st.binary(max_size=60))
def test_decoding_arbitrary_bytes_never_raises(data):
    assert isinstance(decode_notices(data, NOW).is_ok(), bool)


@given(st.integers(0, 200), st.binary(min_size=1, max_size=3))
def test_corrupted_bytes_give_an_error_or_a_bounded_age(offset, patch):
    data = encode_notices(HELD, NOW)
    corrupted = data[:offset] + patch + data[offset + len(patch) :]
    outcome = decode_notices(corrupted, NOW)
    if outcome.is_ok():
        assert all(NOW - MAX_AGE_MS * MS <= dated.at <= NOW for dated in outcome.ok)


@pytest.mark.parametrize(
    "notice",
    [
        UpstreamLeaving("x" * 501, 0),
        CrashUnderRequest("x" * 501, "i", 0, 1),
        UpstreamRateLimit("x" * 501, 0, 1, 4.0),
        ZoneDrain("x" * 501, 1, True),
        UpstreamCold("x" * 501, 0, 1, 3000),
    ],
)
def test_overlong_texts_are_an_error(notice):
    assert decode_notices(encode_notices([DatedNotice(notice, NOW)], NOW), NOW).is_error()
