"""The wire form of notices between gateways: each with its age, as clocks have no common zero."""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.notices import CrashUnderRequest, DatedNotice, Notice, UpstreamLeaving
from cardamomloft.feed.typedcodec import TypedCodec
from expression import Error, Result

MAX_AGE_MS = 86_400_000
"""An age counts as no more than this, in milliseconds; no notice is kept for so long."""

MAX_TEXT = 500
"""Characters of an id or a fingerprint that are taken; a store's keys have less."""

_MS = timedelta(milliseconds=1)


class _Leaving(t.NamedTuple):
    age_ms: int
    notice: UpstreamLeaving


class _Crash(t.NamedTuple):
    age_ms: int
    notice: CrashUnderRequest


_AGED = {UpstreamLeaving: _Leaving, CrashUnderRequest: _Crash}

_codec: TypedCodec[_Leaving | _Crash] = TypedCodec((_Leaving, _Crash))


def encode_notices(notices: Iterable[DatedNotice], now: timedelta) -> bytes:
    """Return the wire form of `notices`."""
    return _codec.encode(
        _AGED[type(notice)](max(0, (now - at) // _MS), notice) for notice, at in notices
    )


def decode_notices(data: bytes, now: timedelta) -> Result[tuple[DatedNotice, ...], str]:
    """Read notices; the error says what is wrong."""
    rows = _codec.decode(data)
    if rows.is_ok() and not all(_is_short(row.notice) for row in rows.ok):
        return Error(f"a text of more than {MAX_TEXT} characters")
    return rows.map(lambda rows: tuple(_dated(row, now) for row in rows))


def _is_short(notice: Notice) -> bool:
    return all(len(field) <= MAX_TEXT for field in notice if isinstance(field, str))


def _dated(row: _Leaving | _Crash, now: timedelta) -> DatedNotice:
    return DatedNotice(row.notice, now - min(max(0, row.age_ms), MAX_AGE_MS) * _MS)
