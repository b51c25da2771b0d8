"""Notices between gateways: whole and with their age, or none of them."""

from datetime import timedelta

import pytest
from cardamomloft.core.notices import CrashUnderRequest, DatedNotice, UpstreamLeaving
from cardamomloft.feed.noticecodec import MAX_AGE_MS, decode_notices, encode_notices
from hypothesis import given
from hypothesis import strategies as st

MS = timedelta(milliseconds=1)
NOW = timedelta(hours=100)
HELD = [
    DatedNotice(UpstreamLeaving("i-1", 7), NOW - 20 * MS),
    DatedNotice(CrashUnderRequest("f", "i-2", 0, 2, excused=True), NOW),
]


def test_what_is_read_is_as_old_by_the_readers_clock():
    later = timedelta(hours=1000)
    read = decode_notices(encode_notices(HELD, NOW), later).ok
    assert read == tuple(DatedNotice(notice, later - (NOW - at)) for notice, at in HELD)


@given(st.binary(max_size=60))
def test_whatever_comes_is_read_or_refused(data):
    assert isinstance(decode_notices(data, NOW).is_ok(), bool)


@given(st.integers(0, 200), st.binary(min_size=1, max_size=3))
def test_spoilt_bytes_are_read_or_refused(place, patch):
    data = encode_notices(HELD, NOW)
    spoilt = data[:place] + patch + data[place + len(patch) :]
    outcome = decode_notices(spoilt, NOW)
    if outcome.is_ok():
        assert all(NOW - MAX_AGE_MS * MS <= dated.at <= NOW for dated in outcome.ok)


@pytest.mark.parametrize(
    "notice", [UpstreamLeaving("x" * 501, 0), CrashUnderRequest("x" * 501, "i", 0, 1)]
)
def test_endless_texts_are_refused(notice):
    assert decode_notices(encode_notices([DatedNotice(notice, NOW)], NOW), NOW).is_error()
