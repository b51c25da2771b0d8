"""Encoding of lists of named tuples in MessagePack, each tagged with the number of its type."""

import typing as t
from collections.abc import Iterable, Sequence

import msgspec
from expression import Error, Ok, Result

T = t.TypeVar("T")


class _TaggedItem(t.NamedTuple):
    """An encoded item with the number of its type."""

    number: int
    item: msgspec.Raw


class TypedCodec(t.Generic[T]):
    """Encodes and decodes items of the given types.

    Parameters
    ----------
    types
        The types; the position of each is its number in encoded data, so only append new types.
    """

    def __init__(self, types: Sequence[type[T]]) -> None:
        self._numbers = {kind: number for number, kind in enumerate(types)}
        self._encoder = msgspec.msgpack.Encoder()
        self._list_decoder = msgspec.msgpack.Decoder(list[_TaggedItem])
        self._decoders = [msgspec.msgpack.Decoder(kind) for kind in types]

    def encode(self, items: Iterable[T]) -> bytes:
        """Encode `items`."""
        return self._encoder.encode([(self._numbers[type(item)], item) for item in items])

    def decode(self, data: bytes) -> Result[tuple[T, ...], str]:
        """Decode items; the error is a message.

        One invalid item makes the whole list an error, so that no item is skipped silently.
        """
        try:
            return Ok(tuple(map(self._decode_item, self._list_decoder.decode(data))))
        except (msgspec.MsgspecError, ValueError, TypeError, RecursionError) as exc:
            return Error(f"{type(exc).__name__}: {exc}")

    def _decode_item(self, tagged: _TaggedItem) -> T:
        if not 0 <= tagged.number < len(self._decoders):
            raise ValueError(f"unknown type number {tagged.number}")
        return t.cast(T, self._decoders[tagged.number].decode(tagged.item))
