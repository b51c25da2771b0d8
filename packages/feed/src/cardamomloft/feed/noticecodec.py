"""Encoding of notices in messages between gateways.

Each notice is sent with its age, because monotonic clocks of different processes differ.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.notices import (
    CrashUnderRequest,
    DatedNotice,
    LinksDown,
    Notice,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamRateLimit,
    ZoneDrain,
)
from cardamomloft.feed.typedcodec import TypedCodec
from expression import Error, Result

MAX_AGE_MS = 86_400_000
"""Larger ages are reduced to this; no notice is kept for so long."""

MAX_TEXT_CHARS = 500
"""Maximum length of an id or a fingerprint; store keys are shorter."""

_MS = timedelta(milliseconds=1)


class _Leaving(t.NamedTuple):
    age_ms: int
    notice: UpstreamLeaving


class _Crash(t.NamedTuple):
    age_ms: int
    notice: CrashUnderRequest


class _RateLimit(t.NamedTuple):
    age_ms: int
    notice: UpstreamRateLimit


class _Links(t.NamedTuple):
    age_ms: int
    notice: LinksDown


class _Drain(t.NamedTuple):
    age_ms: int
    notice: ZoneDrain


class _Cold(t.NamedTuple):
    age_ms: int
    notice: UpstreamCold


_Row = _Leaving | _Crash | _RateLimit | _Links | _Drain | _Cold

_ROW_TYPES = {
    UpstreamLeaving: _Leaving,
    CrashUnderRequest: _Crash,
    UpstreamRateLimit: _RateLimit,
    LinksDown: _Links,
    ZoneDrain: _Drain,
    UpstreamCold: _Cold,
}

_codec: TypedCodec[_Row] = TypedCodec((_Leaving, _Crash, _RateLimit, _Links, _Drain, _Cold))


def encode_notices(notices: Iterable[DatedNotice], now: timedelta) -> bytes:
    """Encode `notices`, given the time `now` on the clock of their times."""
    return _codec.encode(
        _ROW_TYPES[type(notice)](max(0, (now - at) // _MS), notice) for notice, at in notices
    )


def decode_notices(data: bytes, now: timedelta) -> Result[tuple[DatedNotice, ...], str]:
    """Decode notices, dated on the clock of `now`; the error is a message."""
    rows = _codec.decode(data)
    if rows.is_ok() and not all(_is_short(row.notice) for row in rows.ok):
        return Error(f"a text field exceeds {MAX_TEXT_CHARS} characters")
    return rows.map(lambda rows: tuple(_dated(row, now) for row in rows))


def _is_short(notice: Notice) -> bool:
    return all(len(field) <= MAX_TEXT_CHARS for field in notice if isinstance(field, str))


def _dated(row: _Row, now: timedelta) -> DatedNotice:
    return DatedNotice(row.notice, now - min(max(0, row.age_ms), MAX_AGE_MS) * _MS)
