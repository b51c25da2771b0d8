"""The wire form of facts between gateways: MessagePack, each fact with the number of its type."""

import typing as t
from collections.abc import Iterable

import msgspec
from cardamomloft.core.registrations import (
    EntryRecorded,
    EntryWithdrawn,
    Fact,
    PlanRead,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from expression import Error, Ok, Result

# Numbers on the wire: new types go to the end.
_TYPES: tuple[type, ...] = (
    PlanRead,
    UpstreamRegistered,
    UpstreamWithdrawn,
    UpstreamUnreadable,
    ZoneDrained,
    ZoneRestored,
    EntryRecorded,
    EntryWithdrawn,
    Unreadable,
)
_NUMBERS = {kind: number for number, kind in enumerate(_TYPES)}


class _Framed(t.NamedTuple):
    """The number of a fact's type, and the fact."""

    number: int
    fact: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(list[_Framed])
_decoders: tuple[msgspec.msgpack.Decoder[t.Any], ...] = tuple(
    msgspec.msgpack.Decoder(kind) for kind in _TYPES
)


def encode_facts(facts: Iterable[Fact]) -> bytes:
    """Return the wire form of `facts`."""
    return _encoder.encode([(_NUMBERS[type(fact)], fact) for fact in facts])


def decode_facts(data: bytes) -> Result[tuple[Fact, ...], str]:
    """Read facts; the error says what is wrong.

    One that can't be read makes all of them useless: what it would have changed is not known.
    """
    try:
        return Ok(tuple(map(_fact, _frames.decode(data))))
    except (msgspec.MsgspecError, ValueError, TypeError, RecursionError) as exc:
        return Error(f"{type(exc).__name__}: {exc}")


def _fact(framed: _Framed) -> Fact:
    if not 0 <= framed.number < len(_decoders):
        raise ValueError(f"no fact has the number {framed.number}")
    return t.cast(Fact, _decoders[framed.number].decode(framed.fact))
