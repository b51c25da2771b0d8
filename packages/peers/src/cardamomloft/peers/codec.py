"""The wire form of messages between entries.

One frame holds a fixed header (magic, version, kind) and a MessagePack array: the sender, the
process it is meant for, and the message as an array of its fields.
"""

import typing as t

import msgspec
from cardamomloft.core import messages
from cardamomloft.core.model import Incarnation
from expression import Error, Ok, Result

MAGIC = b"cL"
VERSION = 2
HEADER_BYTES = 4
MAX_FRAME_BYTES = 2_000_000
MAX_NUMBER = 2**62

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
)
_HEADERS = {kind: MAGIC + bytes([VERSION, at]) for at, kind in enumerate(_KINDS)}


class Fault(t.NamedTuple):
    """Why a frame was not taken; `counter` is one of foreign, version, malformed."""

    counter: str
    detail: str = ""


class Envelope(t.NamedTuple):
    """A message with its sender and the process it is meant for.

    `receiver` is None if the sender knew only the address. Otherwise another process at that
    address must not take it: numbers within a message belong to one incarnation.
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
    """Return the frame for `envelope`."""
    return _HEADERS[type(envelope.message)] + _encoder.encode(envelope)


def decode(frame: bytes) -> Result[Envelope, Fault]:
    """Read a frame; whatever it holds, the outcome is a value."""
    if len(frame) <= HEADER_BYTES or frame[:2] != MAGIC:
        return Error(Fault("foreign"))
    version, kind = frame[2], frame[3]
    if version != VERSION:
        return Error(Fault("version", str(version)))
    if kind >= len(_decoders):
        return Error(Fault("malformed", f"kind {kind}"))
    try:
        envelope = Envelope(*_decoders[kind].decode(memoryview(frame)[HEADER_BYTES:]))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Error(Fault("malformed", str(exc)))
    if not _in_range(envelope.message):
        return Error(Fault("malformed", "number out of range"))
    return Ok(envelope)


def _in_range(message: messages.Message) -> bool:
    for value in message:  # noqa: SIM110 (a generator takes twice as long)
        if value.__class__ is int and not 0 <= value < MAX_NUMBER:
            return False
    return True
