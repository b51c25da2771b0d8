"""Passing notices on between gateways, without the store and without relays.

What is new is pushed to a few gateways drawn at random, who do the same; now and then two of them
compare what they hold, which mends what got lost. It works alike among ten and among a thousand,
and no gateway matters more than another.
"""

import random
import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from cardamomloft.core.clock import Clock
from cardamomloft.core.messages import ConfigurationPush, Message, NoticeDigest, NoticePush
from cardamomloft.core.model import Incarnation
from cardamomloft.core.notices import DatedNotice, Notice, NoticeTable
from cardamomloft.core.registrations import PlanRead
from cardamomloft.core.routes import RoutePlan
from cardamomloft.feed.factcodec import decode_facts, encode_facts
from cardamomloft.feed.noticecodec import decode_notices, encode_notices
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from expression import Result
from twisted.internet.interfaces import IDelayedCall

FANOUT = 4
"""Gateways to which each pushes what is new to it. All but 2 % of them are reached so, in a number
of steps that grows with the logarithm of theirs (Demers and others, 1987); comparing reaches the
rest."""

GATHER_TIME = timedelta(milliseconds=50)
"""How long news is gathered into one message: a crash concerns several requests."""

COMPARE_INTERVAL = timedelta(milliseconds=500)
"""How often a gateway that holds notices compares them with another's."""

CATCH_UP_TIME = timedelta(seconds=10)
"""How long a gateway that has started asks others for what it missed, though it holds nothing: its
record must have reached them before they can answer."""

NOTICES_A_MESSAGE = 500
"""Notices in one message at most, some 60 KB; more are left to the next comparison."""


class Send(t.Protocol):
    """Sends a message to a gateway's address; it may be lost."""

    def __call__(self, address: str, message: Message) -> bool:
        """Return False if it was dropped here."""
        ...


class Gossip:
    """One gateway's part in it.

    Parameters
    ----------
    reactor
        For the time in which news is gathered.
    clock, rng
        Sources of time and chance.
    others
        Returns the addresses of the other gateways, by name.
    send
        Sends to them.
    on_news
        Told of each notice that is new here, its own ones too.
    metrics
        Counts notices and messages.
    address
        Where this gateway takes messages.

    Attributes
    ----------
    plan
        Returns the configuration in force, None before the first.
    on_plan
        Takes another gateway's configuration, which may be older.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        others: Callable[[], dict[str, str]],
        send: Send,
        on_news: Callable[[DatedNotice], None],
        metrics: Metrics,
        address: str,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._others = others
        self._send = send
        self._on_news = on_news
        self._metrics = metrics
        self._address = address
        self.plan: Callable[[], RoutePlan | None] = lambda: None
        self.on_plan: Callable[[RoutePlan], None] = lambda plan: None
        self._board = NoticeTable()
        self._news: list[DatedNotice] = []
        self._pushing: IDelayedCall | None = None
        self._started_at = clock.monotonic()

    def __len__(self) -> int:
        return len(self._board)

    def publish(self, notices: Iterable[Notice]) -> None:
        """Let all gateways know, this one first."""
        now = self._clock.monotonic()
        self._learn((DatedNotice(notice, now) for notice in notices), now)

    def compare(self) -> None:
        """Compare with another gateway; to be called at each `COMPARE_INTERVAL`."""
        if len(self._board) or self._is_starting():
            self._to_some(1, self._compared(answers=False))

    def catch_up(self) -> None:
        """Ask several gateways for what this one has missed, as soon as it knows of them."""
        self._to_some(FANOUT, self._compared(answers=False))

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Take a message of another gateway."""
        self._take(message, sender)

    def stop(self) -> None:
        """Push what is left, and no more after that."""
        if self._pushing is not None:
            self._pushing.cancel()
            self._push()

    @singledispatchmethod
    def _take(self, message: Message, sender: Incarnation) -> None:
        self._metrics.count("peer_messages_of_another_kind")

    @_take.register
    def _(self, message: NoticePush, sender: Incarnation) -> None:
        now = self._clock.monotonic()
        match decode_notices(message.notices, now):
            case Result(tag="ok", ok=notices):
                self._metrics.count("notices_heard", len(notices))
                self._learn(notices, now)
            case Result(error=detail):
                self._metrics.count("notices_unreadable")
                log("notices-unreadable", entry=sender.seat, detail=detail)

    @_take.register
    def _(self, message: NoticeDigest, sender: Incarnation) -> None:
        address = self._others().get(sender.seat) or (message.starting and message.address)
        if not address:
            return
        plan = self.plan()
        if message.starting and plan is not None and plan.number > message.configuration:
            self._send(address, ConfigurationPush(encode_facts([PlanRead(plan)])))
        now = self._clock.monotonic()
        if message.sums == self._board.checksums(now):
            return
        missing = self._board.differing(message.sums, now)
        if missing:
            self._send(address, _told(missing, now))
        if not message.answers:
            self._send(address, self._compared(answers=True))

    @_take.register
    def _(self, message: ConfigurationPush, sender: Incarnation) -> None:
        match decode_facts(message.fact):
            case Result(tag="ok", ok=[PlanRead(plan)]):
                self._metrics.count("configurations_heard")
                self.on_plan(plan)
            case _:
                self._metrics.count("notices_unreadable")
                log("notices-unreadable", entry=sender.seat, detail="not a configuration")

    def _compared(self, *, answers: bool) -> NoticeDigest:
        plan, now = self.plan(), self._clock.monotonic()
        number = 0 if plan is None else plan.number
        sums = self._board.checksums(now)
        return NoticeDigest(sums, answers, self._is_starting(), number, self._address)

    def _is_starting(self) -> bool:
        return self._clock.monotonic() - self._started_at < CATCH_UP_TIME

    def _learn(self, told: Iterable[DatedNotice], now: timedelta) -> None:
        news = self._board.take(told, now)
        for dated in news:
            self._on_news(dated)
        self._news.extend(news)
        if self._news and self._pushing is None:
            self._pushing = self._reactor.callLater(GATHER_TIME.total_seconds(), self._push)

    def _push(self) -> None:
        self._pushing = None
        news, self._news = self._news, []
        now = self._clock.monotonic()
        self._metrics.count("notices_new", len(news))
        self._to_some(FANOUT, _told(news, now))

    def _to_some(self, count: int, message: Message) -> None:
        addresses = sorted(self._others().values())
        for address in self._rng.sample(addresses, min(count, len(addresses))):
            self._send(address, message)


def _told(notices: list[DatedNotice], now: timedelta) -> NoticePush:
    return NoticePush(encode_notices(notices[:NOTICES_A_MESSAGE], now))
