"""Encoding of facts in messages between gateways."""

from collections.abc import Iterable

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
from cardamomloft.feed.typedcodec import TypedCodec
from expression import Result

_codec: TypedCodec[Fact] = TypedCodec(
    (
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
)


def encode_facts(facts: Iterable[Fact]) -> bytes:
    """Encode `facts`."""
    return _codec.encode(facts)


def decode_facts(data: bytes) -> Result[tuple[Fact, ...], str]:
    """Decode facts; the error is a message."""
    return _codec.decode(data)
