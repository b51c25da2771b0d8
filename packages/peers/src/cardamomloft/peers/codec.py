"""Encoding of messages between processes.

A frame is a fixed header (magic, version, kind) and a MessagePack array of the sender, the
receiver, and the message as an array of its fields.
"""

import typing as t

import msgspec
from cardamomloft.core import messages
from cardamomloft.core.loads.cachedpairs import MAX_CACHED_ROWS
from cardamomloft.core.loads.statements import MAX_LOAD_ROWS
from cardamomloft.core.model import Incarnation
from expression import Error, Ok, Result

MAGIC = b"cL"
VERSION = 3
HEADER_BYTES = 4
MAX_FRAME_BYTES = 2_000_000
MAX_INTEGER = 2**62

_KINDS: tuple[type, ...] = (
    messages.LoanRequest,
    messages.LoanGrant,
    messages.LoanReturn,
    messages.LoanRecall,
    messages.Digest,
    messages.DocumentRequest,
    messages.DocumentReply,
    messages.ChunkRequest,
    messages.ChunkReply,
    messages.VmNotice,
    messages.ChangesRequest,
    messages.ChangesResponse,
    messages.NoticePush,
    messages.NoticeDigest,
    messages.ConfigurationPush,
    messages.UsageReport,
    messages.UsageAnswer,
    messages.ZoneUsage,
    messages.CoordinatorHint,
)
_HEADERS = {kind: MAGIC + bytes([VERSION, number]) for number, kind in enumerate(_KINDS)}


class DecodeFailure(t.NamedTuple):
    """Why a frame was rejected; `counter` is ``foreign``, ``version`` or ``malformed``."""

    counter: str
    detail: str = ""


class Envelope(t.NamedTuple):
    """A message with its sender and its receiver.

    `receiver` is None if the sender knew only the address. Otherwise only that incarnation may
    accept the message, because numbers in a message are valid for one incarnation.
    """

    sender: Incarnation
    receiver: Incarnation | None
    message: messages.Message


_encoder = msgspec.msgpack.Encoder()
_decoders: tuple[msgspec.msgpack.Decoder[t.Any], ...] = tuple(
    msgspec.msgpack.Decoder(tuple[Incarnation, Incarnation | None, kind])  # type: ignore[valid-type]
    for kind in _KINDS
)


def encode(envelope: Envelope) -> bytes:
    """Encode `envelope` as a frame."""
    return _HEADERS[type(envelope.message)] + _encoder.encode(envelope)


def decode(frame: bytes) -> Result[Envelope, DecodeFailure]:
    """Decode a frame; an invalid one gives an error and never raises."""
    if len(frame) <= HEADER_BYTES or frame[:2] != MAGIC:
        return Error(DecodeFailure("foreign"))
    version, kind = frame[2], frame[3]
    if version != VERSION:
        return Error(DecodeFailure("version", str(version)))
    if kind >= len(_decoders):
        return Error(DecodeFailure("malformed", f"kind {kind}"))
    try:
        envelope = Envelope(*_decoders[kind].decode(memoryview(frame)[HEADER_BYTES:]))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Error(DecodeFailure("malformed", str(exc)))
    if not _in_range(envelope.message):
        return Error(DecodeFailure("malformed", "number out of range"))
    if not _bounded(envelope.message):
        return Error(DecodeFailure("malformed", "too many rows"))
    return Ok(envelope)


def _in_range(message: messages.Message) -> bool:
    for value in message:  # noqa: SIM110 (faster than a generator)
        if value.__class__ is int and not 0 <= value < MAX_INTEGER:
            return False
    return True


def _bounded(message: messages.Message) -> bool:
    if not isinstance(message, messages.UsageReport | messages.UsageAnswer | messages.ZoneUsage):
        return True
    return len(message.loads) <= MAX_LOAD_ROWS and len(message.cached) <= MAX_CACHED_ROWS
