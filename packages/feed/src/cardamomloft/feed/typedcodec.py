"""Lists of typed tuples in MessagePack, each with the number of its type."""

import typing as t
from collections.abc import Iterable, Sequence

import msgspec
from expression import Error, Ok, Result

T = t.TypeVar("T")


class _Framed(t.NamedTuple):
    """The number of an item's type, and the item."""

    number: int
    item: msgspec.Raw


class TypedCodec(t.Generic[T]):
    """Reads and writes items of the given types; new types go to the end."""

    def __init__(self, types: Sequence[type[T]]) -> None:
        self._numbers = {kind: number for number, kind in enumerate(types)}
        self._encoder = msgspec.msgpack.Encoder()
        self._frames = msgspec.msgpack.Decoder(list[_Framed])
        self._decoders = [msgspec.msgpack.Decoder(kind) for kind in types]

    def encode(self, items: Iterable[T]) -> bytes:
        """Return the wire form of `items`."""
        return self._encoder.encode([(self._numbers[type(item)], item) for item in items])

    def decode(self, data: bytes) -> Result[tuple[T, ...], str]:
        """Read items; the error says what is wrong.

        One that can't be read makes all of them useless: what it says is not known.
        """
        try:
            return Ok(tuple(map(self._item, self._frames.decode(data))))
        except (msgspec.MsgspecError, ValueError, TypeError, RecursionError) as exc:
            return Error(f"{type(exc).__name__}: {exc}")

    def _item(self, framed: _Framed) -> T:
        if not 0 <= framed.number < len(self._decoders):
            raise ValueError(f"no type has the number {framed.number}")
        return t.cast(T, self._decoders[framed.number].decode(framed.item))
