"""Requests for changes between gateways: sending them to relays, and answering them.

Every gateway answers from its own data, whether it is a relay or not, and states the age of that
data, so that the requester can decide whether it is recent enough.
"""

import itertools
import typing as t
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from cardamomloft.core.clock import Clock
from cardamomloft.core.messages import ChangesRequest, ChangesResponse, Message
from cardamomloft.core.model import Incarnation
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecord, Fact
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.factcodec import decode_facts, encode_facts
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

MAX_HELD_REQUESTS = 1_000
"""Maximum number of requests that wait for a change; further ones are answered at once. A region of
1,500 gateways in 8 has 190, half of them at each of two relays."""

MAX_HOLD_MS = 30_000
"""Maximum time for which a request is held, in milliseconds, even if it states a longer wait."""

MAX_AGE_MS = 3_600_000
"""Upper bound of the age that an answer may state, in milliseconds; larger ages are reduced."""

_MS = timedelta(milliseconds=1)


class Peers(t.Protocol):
    """Sends messages to gateways by address; any message may get lost."""

    def send(self, address: str, message: Message, to: Incarnation | None = None) -> bool:
        """Queue a message; return False if it was dropped before it was sent."""
        ...

    def close(self) -> None:
        """Close all links."""
        ...


class RelayedChanges(t.NamedTuple):
    """Changes received from a relay.

    `facts` are all changes up to the position `index`, and include every change made before the
    instant `complete_at` of this process's clock. If `whole` is set, they are the complete content
    of the store at that instant. `verified_at` is the instant up to which the relay has proved that
    its data is complete, None if it has not.
    """

    facts: tuple[Fact, ...]
    index: Position
    complete_at: timedelta
    whole: bool
    verified_at: timedelta | None = None


class RelayFailure(t.NamedTuple):
    """Why a relay gave no usable answer; `cancelled` if the request was cancelled here."""

    detail: str
    cancelled: bool = False


Outcome = Result[RelayedChanges, RelayFailure]


class _PendingRequest(t.NamedTuple):
    """A request to a relay that is not answered yet."""

    relay: EntryRecord
    requested_at: timedelta
    done: "Deferred[Outcome]"
    timer: IDelayedCall


class _HeldRequest(t.NamedTuple):
    """A request of another gateway that waits for a change."""

    requester: Incarnation
    address: str
    request: ChangesRequest
    arrived: timedelta
    timer: IDelayedCall


class RelayPort:
    """Sends this gateway's requests to relays, and answers those of other gateways.

    Parameters
    ----------
    reactor
        Schedules timeouts.
    clock
        Source of time.
    table
        The changes that this gateway has received.
    age, verified_age
        Return the age of that data and the time since it was verified, None before there is any.
    address_of
        Returns the address of the named gateway, None if it is not recorded.
    metrics
        Counts requests and answers.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        table: ChangeTable,
        age: Callable[[], timedelta | None],
        address_of: Callable[[str], str | None],
        metrics: Metrics,
        verified_age: Callable[[], timedelta | None] = lambda: None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._table = table
        self._age = age
        self._verified_age = verified_age
        self._address_of = address_of
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._held: list[_HeldRequest] = []
        self.peers: Peers | None = None

    @property
    def held(self) -> int:
        """The number of requests that wait for a change."""
        return len(self._held)

    def request_changes(
        self, relay: EntryRecord, after: Position, wait: timedelta, timeout: timedelta
    ) -> "Deferred[Outcome]":
        """Request from `relay` what has changed after the position `after`.

        The Deferred never fails: after the timeout, or when it is cancelled, its result is a
        :class:`RelayFailure`.

        Parameters
        ----------
        wait
            How long the relay may wait for a change.
        timeout
            Additional time allowed for the answer.
        """
        number = next(self._numbers)
        done: Deferred[Outcome] = Deferred(
            lambda _: self._finish(number, Error(RelayFailure("cancelled", cancelled=True)))
        )
        timer = self._reactor.callLater(
            (wait + timeout).total_seconds(),
            self._finish,
            number,
            Error(RelayFailure("no answer in time")),
        )
        self._pending[number] = _PendingRequest(relay, self._clock.monotonic(), done, timer)
        request = ChangesRequest(number, after.era, after.revision, wait // _MS)
        if self.peers is None or not self.peers.send(relay.peers, request):
            self._finish(number, Error(RelayFailure("request dropped before it was sent")))
        return done

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Handle a message of another gateway."""
        self._receive(message, sender)

    def answer_held_requests(self) -> None:
        """Answer the held requests for which there is a change now."""
        self._release([held for held in self._held if self._has_changes(held.request)])

    def close(self) -> None:
        """Answer all held requests, cancel the pending ones and close the links."""
        self._release(list(self._held))
        for number in list(self._pending):
            self._finish(
                number, Error(RelayFailure("cancelled: this gateway is stopping", cancelled=True))
            )
        if self.peers is not None:
            self.peers.close()
            self.peers = None

    @singledispatchmethod
    def _receive(self, message: Message, sender: Incarnation) -> None:
        self._metrics.count("peer_messages_of_another_kind")

    @_receive.register
    def _(self, message: ChangesRequest, sender: Incarnation) -> None:
        address = self._address_of(sender.seat)
        if address is None:
            # The requester is not recorded here yet; without an answer it goes to the store.
            self._metrics.count("changes_questions_of_unknown")
            return
        self._metrics.count("changes_questions")
        wait = min(message.wait_ms, MAX_HOLD_MS) * _MS
        timer = self._reactor.callLater(
            wait.total_seconds(), self._on_hold_timeout, message, sender
        )
        held = _HeldRequest(sender, address, message, self._clock.monotonic(), timer)
        self._held.append(held)
        if self._has_changes(message) or len(self._held) > MAX_HELD_REQUESTS:
            self._release([held])

    @_receive.register
    def _(self, message: ChangesResponse, sender: Incarnation) -> None:
        pending = self._pending.get(message.number)
        if pending is None or pending.relay.name != sender.seat:
            self._metrics.count("changes_answers_late")
            return
        self._finish(message.number, self._decode(message, pending))

    def _decode(self, message: ChangesResponse, pending: _PendingRequest) -> Outcome:
        if message.facts is None:
            return Error(RelayFailure("the relay has no data yet"))
        match decode_facts(message.facts):
            case Result(tag="error", error=detail):
                return Error(RelayFailure(f"cannot decode facts: {detail}"))
            case Result(ok=facts):
                pass
        now = self._clock.monotonic()
        elapsed = now - pending.requested_at
        # A relay cannot have held the request for longer than the time since it was sent.
        transit_time = elapsed - min(elapsed, min(message.held_ms, MAX_HOLD_MS) * _MS)
        age = min(message.age_ms, MAX_AGE_MS) * _MS
        position = Position(message.era, message.index)
        verified_at = None
        if message.verified_age_ms is not None:
            verified_at = now - min(message.verified_age_ms, MAX_AGE_MS) * _MS - transit_time
        complete_at = now - age - transit_time
        return Ok(RelayedChanges(facts, position, complete_at, message.whole, verified_at))

    def _finish(self, number: int, outcome: Outcome) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        if pending.timer.active():
            pending.timer.cancel()
        pending.done.callback(outcome)

    def _has_changes(self, request: ChangesRequest) -> bool:
        return self._table.changes_since(Position(request.era, request.after)) != ()

    def _on_hold_timeout(self, request: ChangesRequest, requester: Incarnation) -> None:
        self._release(
            [held for held in self._held if (held.request, held.requester) == (request, requester)]
        )

    def _release(self, requests: list[_HeldRequest]) -> None:
        for held in requests:
            self._held.remove(held)
            if held.timer.active():
                held.timer.cancel()
            self._send_answer(held)

    def _send_answer(self, held: _HeldRequest) -> None:
        age, table, request = self._age(), self._table, held.request
        verified_age = self._verified_age()
        changed = table.changes_since(Position(request.era, request.after))
        facts = table.all_facts() if changed is None else changed
        answer = ChangesResponse(
            request.number,
            table.index.era,
            table.index.revision,
            None if age is None else encode_facts(facts),
            changed is None,
            (age or timedelta(0)) // _MS,
            (self._clock.monotonic() - held.arrived) // _MS,
            # Rounded up: data must not count as verified for longer than it is.
            None if verified_age is None else -(-verified_age // _MS),
        )
        if self.peers is None or not self.peers.send(held.address, answer, held.requester):
            # Too large, or the send queue is full; the requester will go to the store.
            self._metrics.count("changes_answers_dropped")
            log("answer-dropped", entry=held.requester.seat, facts=len(facts))
