"""Questions for changes between gateways: asking a relay, and answering as one.

Every gateway answers from what it knows, relay or not, and says how old that is; what to make of it
is the asking one's decision.
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

MAX_HELD = 1_000
"""Questions that wait here for a change at the most; more are answered at once. A region of 1,500
gateways in 8 has 190, half of them at each of two relays."""

MAX_HOLD_MS = 30_000
"""Longest time that a question is held, whatever it asks for, in milliseconds."""

MAX_AGE_MS = 3_600_000
"""An answer's age counts as no more than this, in milliseconds; any drain time is shorter."""

_MS = timedelta(milliseconds=1)


class Peers(t.Protocol):
    """Sends messages to gateways by address; any of them may be lost."""

    def send(self, address: str, message: Message, to: Incarnation | None = None) -> bool:
        """Queue a message; return False if it was dropped here."""
        ...

    def close(self) -> None:
        """Stop."""
        ...


class RelayedChanges(t.NamedTuple):
    """What a relay has passed on.

    `facts` has changed up to the position `index`, which was all that had changed until the
    instant `complete_at` of this process's clock. If `whole` it is all that the store held then.
    """

    facts: tuple[Fact, ...]
    index: Position
    complete_at: timedelta
    whole: bool


class Silence(t.NamedTuple):
    """Why a relay gave no answer to use; `cancelled` if nobody wants it any more."""

    detail: str
    cancelled: bool = False


Outcome = Result[RelayedChanges, Silence]


class _Asked(t.NamedTuple):
    """A question to a relay that is not answered yet."""

    relay: EntryRecord
    asked_at: timedelta
    done: "Deferred[Outcome]"
    timer: IDelayedCall


class _Held(t.NamedTuple):
    """A question of another gateway that waits for a change."""

    asker: Incarnation
    address: str
    question: ChangesRequest
    arrived: timedelta
    timer: IDelayedCall


class RelayPort:
    """One gateway's questions to relays, and its answers to others.

    Parameters
    ----------
    reactor
        For the ends of waits.
    clock
        Source of time.
    table
        What this gateway knows.
    age
        Returns how old that is, None before anything is known.
    address_of
        Returns where a gateway of this name takes messages, None if it is not recorded.
    metrics
        Counts questions and answers.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        table: ChangeTable,
        age: Callable[[], timedelta | None],
        address_of: Callable[[str], str | None],
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._table = table
        self._age = age
        self._address_of = address_of
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._held: list[_Held] = []
        self.peers: Peers | None = None

    @property
    def held(self) -> int:
        """The number of questions that wait here for a change."""
        return len(self._held)

    def request_changes(
        self, relay: EntryRecord, after: Position, wait: timedelta, patience: timedelta
    ) -> "Deferred[Outcome]":
        """Ask `relay` what has changed after the position `after`.

        Parameters
        ----------
        wait
            How long it may wait for a change.
        patience
            How much longer its answer may take. The Deferred never fails; after that time, or when
            it is cancelled, the outcome is a :class:`Silence`.
        """
        number = next(self._numbers)
        done: Deferred[Outcome] = Deferred(
            lambda _: self._end(number, Error(Silence("cancelled", cancelled=True)))
        )
        timer = self._reactor.callLater(
            (wait + patience).total_seconds(), self._end, number, Error(Silence("no answer"))
        )
        self._asked[number] = _Asked(relay, self._clock.monotonic(), done, timer)
        question = ChangesRequest(number, after.era, after.revision, wait // _MS)
        if self.peers is None or not self.peers.send(relay.peers, question):
            self._end(number, Error(Silence("not sent")))
        return done

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Take a message of another gateway."""
        self._take(message, sender)

    def answer_held_requests(self) -> None:
        """Answer the questions for which there now is a change."""
        self._release([held for held in self._held if self._has_news(held.question)])

    def close(self) -> None:
        """Answer what waits here, give up what was asked, and stop."""
        self._release(list(self._held))
        for number in list(self._asked):
            self._end(number, Error(Silence("closed", cancelled=True)))
        if self.peers is not None:
            self.peers.close()
            self.peers = None

    @singledispatchmethod
    def _take(self, message: Message, sender: Incarnation) -> None:
        self._metrics.count("peer_messages_of_another_kind")

    @_take.register
    def _(self, message: ChangesRequest, sender: Incarnation) -> None:
        address = self._address_of(sender.seat)
        if address is None:
            # Not recorded here yet: it asks the store when it hears nothing.
            self._metrics.count("changes_questions_of_unknown")
            return
        self._metrics.count("changes_questions")
        wait = min(message.wait_ms, MAX_HOLD_MS) * _MS
        timer = self._reactor.callLater(wait.total_seconds(), self._time_is_over, message, sender)
        held = _Held(sender, address, message, self._clock.monotonic(), timer)
        self._held.append(held)
        if self._has_news(message) or len(self._held) > MAX_HELD:
            self._release([held])

    @_take.register
    def _(self, message: ChangesResponse, sender: Incarnation) -> None:
        asked = self._asked.get(message.number)
        if asked is None or asked.relay.name != sender.seat:
            self._metrics.count("changes_answers_late")
            return
        self._end(message.number, self._read(message, asked))

    def _read(self, message: ChangesResponse, asked: _Asked) -> Outcome:
        if message.facts is None:
            return Error(Silence("it knows nothing yet"))
        match decode_facts(message.facts):
            case Result(tag="error", error=detail):
                return Error(Silence(f"unreadable facts: {detail}"))
            case Result(ok=facts):
                pass
        now = self._clock.monotonic()
        elapsed = now - asked.asked_at
        # A relay that claims to have held it for longer than it was asked makes nothing younger.
        on_the_way = elapsed - min(elapsed, min(message.held_ms, MAX_HOLD_MS) * _MS)
        age = min(message.age_ms, MAX_AGE_MS) * _MS
        position = Position(message.era, message.index)
        return Ok(RelayedChanges(facts, position, now - age - on_the_way, message.whole))

    def _end(self, number: int, outcome: Outcome) -> None:
        asked = self._asked.pop(number, None)
        if asked is None:
            return
        if asked.timer.active():
            asked.timer.cancel()
        asked.done.callback(outcome)

    def _has_news(self, question: ChangesRequest) -> bool:
        return self._table.changes_since(Position(question.era, question.after)) != ()

    def _time_is_over(self, question: ChangesRequest, asker: Incarnation) -> None:
        self._release(
            [held for held in self._held if (held.question, held.asker) == (question, asker)]
        )

    def _release(self, held: list[_Held]) -> None:
        for one in held:
            self._held.remove(one)
            if one.timer.active():
                one.timer.cancel()
            self._answer(one)

    def _answer(self, held: _Held) -> None:
        age, table, question = self._age(), self._table, held.question
        changed = table.changes_since(Position(question.era, question.after))
        facts = table.all_facts() if changed is None else changed
        answer = ChangesResponse(
            question.number,
            table.index.era,
            table.index.revision,
            None if age is None else encode_facts(facts),
            changed is None,
            (age or timedelta(0)) // _MS,
            (self._clock.monotonic() - held.arrived) // _MS,
        )
        if self.peers is None or not self.peers.send(held.address, answer, held.asker):
            # Too large or its queue is full: it hears nothing, and asks the store.
            self._metrics.count("changes_answers_dropped")
            log("answer-dropped", entry=held.asker.seat, facts=len(facts))
