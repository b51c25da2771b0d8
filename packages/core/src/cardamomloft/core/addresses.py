"""IPv4 addresses and blocks as integers, with their text forms."""

import re
import typing as t

LAST_ADDRESS = 0xFFFFFFFF
HOSTMASKS = tuple(LAST_ADDRESS >> length for length in range(33))
NETMASKS = tuple(LAST_ADDRESS ^ mask for mask in HOSTMASKS)

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_ADDRESS = re.compile(rf"{_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}\Z")


class Block(t.NamedTuple):
    """An IPv4 network: its first address as an integer and its prefix length."""

    network: int
    length: int

    @property
    def last(self) -> int:
        """The last address of the block."""
        return self.network | HOSTMASKS[self.length]

    def covers(self, other: "Block") -> bool:
        """Return whether every address of `other` is in this block."""
        return self.length <= other.length and other.network & self.netmask == self.network

    def supernet(self, length: int) -> "Block":
        """Return the enclosing block of prefix length `length`."""
        return Block(self.network & NETMASKS[length], length)

    @property
    def netmask(self) -> int:
        """The mask that reduces an address to its network."""
        return NETMASKS[self.length]

    def __str__(self) -> str:
        return f"{format_address(self.network)}/{self.length}"


def parse_address(text: str) -> int | None:
    """Return the IPv4 address in `text` as an integer, or None if it is malformed."""
    found = _ADDRESS.match(text)
    if found is None:
        return None
    first, second, third, fourth = found.groups()
    return int(first) << 24 | int(second) << 16 | int(third) << 8 | int(fourth)


def format_address(address: int) -> str:
    """Return the dotted form of an IPv4 address."""
    return ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0))


def parse_block(text: str) -> Block | None:
    """Return the block written as ``a.b.c.d/length``, or None if it is malformed.

    A block with host bits set is rejected, so that each block has exactly one text form.
    """
    head, _, tail = text.partition("/")
    address = parse_address(head)
    if address is None or not (tail.isascii() and tail.isdigit()) or len(tail) > 2:
        return None
    length = int(tail)
    if length > 32 or (len(tail) > 1 and tail[0] == "0"):
        return None
    if address & NETMASKS[length] != address:
        return None
    return Block(address, length)
