"""How far requests that a caller sends behind another are handled ahead of their turn.

A caller may send further requests before the first is answered, and gets the answers in the order
of its requests. Handling one after the other makes short requests wait for long ones; handling them
side by side holds their answers in memory until it is their turn. Requests run beside others only
if all of them may be repeated (RFC 9112, section 9.3.2): the rest may depend on what is before.
"""

import typing as t

MAX_REQUESTS = 8
"""Requests of one connection that are handled at a time."""

MAX_BYTES = 512 * 1024
"""Bytes of answers that one connection holds for their turn before it reads no further request.

Twice the largest answer that a gateway holds whole.
"""

MAX_REQUESTS_IN_ALL = 64
"""Requests ahead of their turn on all connections of a process: each can add one held answer."""

MAX_BYTES_IN_ALL = 8 * 1024 * 1024
"""Bytes of held answers on all connections: with those still to come 24 MB at the most, which an
entry with 200 MB has beside the 55 MB that it takes idle."""


class Room:
    """Room for requests ahead of their turn on all connections of a process.

    Attributes
    ----------
    requests
        Requests that are handled ahead of their turn.
    held
        Bytes of their answers that wait for their turn.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.held = 0

    @property
    def is_full(self) -> bool:
        """Whether no further request may be handled ahead of its turn."""
        return self.requests >= MAX_REQUESTS_IN_ALL or self.held >= MAX_BYTES_IN_ALL


class Place:
    """One request's place on its connection.

    Parameters
    ----------
    room
        Where it counts while it is ahead of its turn.
    """

    def __init__(self, room: Room) -> None:
        self._room = room
        self._ahead = False
        self.held = 0

    def take(self) -> None:
        """Note that the request is handled ahead of its turn."""
        self._ahead = True
        self._room.requests += 1

    def hold(self, size: int) -> None:
        """Note that an answer of `size` bytes waits for its turn."""
        self.held += size
        self._room.held += size

    def leave(self) -> None:
        """Note that it is the request's turn, or that its caller has gone."""
        self._room.requests -= self._ahead
        self._room.held -= self.held
        self._ahead, self.held = False, 0


def may_read_on(places: t.Sequence[Place], room: Room) -> bool:
    """Tell whether a connection may read the next request while `places` wait for their answers."""
    if not places:
        return True
    if len(places) >= MAX_REQUESTS or room.is_full:
        return False
    return sum(place.held for place in places) < MAX_BYTES
