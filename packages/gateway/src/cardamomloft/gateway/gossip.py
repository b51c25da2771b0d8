"""Spreads notices among gateways by gossip, without the store or relays.

New notices are pushed to a few gateways chosen at random, which push them on. From time to time two
gateways compare digests of what they hold, which repairs lost messages. All gateways have the same
role.

A gateway that has just started, or whose data is outdated since neither the store nor a relay
answers it, asks others for a newer configuration in its digests.
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
"""Number of gateways to which each pushes its new notices. Pushing reaches all but 2 % of them
in a number of rounds that grows with the logarithm of their number (Demers and others, 1987);
comparing digests reaches the remaining ones."""

BATCH_WINDOW = timedelta(milliseconds=50)
"""Time for which new notices are collected into one message; a crash causes several of them."""

COMPARE_INTERVAL = timedelta(milliseconds=500)
"""Interval at which a gateway that holds notices compares its digest with another gateway's."""

CATCH_UP_TIME = timedelta(seconds=10)
"""Time after the start during which a gateway sends digests although it holds no notices: others
can answer only once its record has reached them."""

ASK_INTERVAL = timedelta(milliseconds=250)
"""Interval at which a gateway with outdated data asks others for a newer configuration."""

ASK_FANOUT = 3
"""Number of gateways that it asks. If the store rejects a third of them, all three are rejected too
in one of 27 intervals."""

MAX_NOTICES_PER_MESSAGE = 500
"""Maximum number of notices in one message, about 60 KB; the others are sent after the next
comparison of digests."""


class Send(t.Protocol):
    """Sends a message to a gateway's address; the message may get lost."""

    def __call__(self, address: str, message: Message) -> bool:
        """Return False if the message was dropped before it was sent."""
        ...


class Gossip:
    """One gateway's participation in the gossip.

    Parameters
    ----------
    reactor
        Schedules the pushes.
    clock, rng
        Sources of time and randomness.
    peer_addresses
        Returns the addresses of the other gateways, by name.
    send
        Sends a message to one of them.
    on_new_notice
        Called with each notice that is new here, including this gateway's own.
    metrics
        Counts notices and messages.
    address
        Where this gateway receives messages.

    Attributes
    ----------
    plan
        Returns the configuration in force, None before the first.
    is_outdated
        Returns whether this gateway's data is older than it would be if the store or a relay
        answered.
    on_plan
        Called with another gateway's configuration, which may be older, and its name.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        peer_addresses: Callable[[], dict[str, str]],
        send: Send,
        on_new_notice: Callable[[DatedNotice], None],
        metrics: Metrics,
        address: str,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._peer_addresses = peer_addresses
        self._send = send
        self._on_new_notice = on_new_notice
        self._metrics = metrics
        self._address = address
        self.plan: Callable[[], RoutePlan | None] = lambda: None
        self.is_outdated: Callable[[], bool] = lambda: False
        self.on_plan: Callable[[RoutePlan, str], None] = lambda plan, sender: None
        self._notice_table = NoticeTable()
        self._unsent: list[DatedNotice] = []
        self._push_timer: IDelayedCall | None = None
        self._started_at = clock.monotonic()

    def __len__(self) -> int:
        return len(self._notice_table)

    def publish(self, notices: Iterable[Notice]) -> None:
        """Apply notices of this gateway here, and send them to all others."""
        now = self._clock.monotonic()
        self._add((DatedNotice(notice, now) for notice in notices), now)

    def compare(self) -> None:
        """Send a digest to one random gateway; call it at each `COMPARE_INTERVAL`."""
        if len(self._notice_table) or self._is_starting():
            self._send_to_random(1, self._digest(answers=False))

    def ask(self) -> None:
        """Ask for a newer configuration if the data is outdated; call it each `ASK_INTERVAL`."""
        if self.is_outdated():
            self._metrics.count("configurations_asked")
            self._send_to_random(ASK_FANOUT, self._digest(answers=False, asking=True))

    def ask_one(self, name: str) -> None:
        """Ask one gateway for a newer configuration."""
        address = self._peer_addresses().get(name)
        if address is not None:
            self._send(address, self._digest(answers=False, asking=True))

    def push_plan(self, name: str) -> None:
        """Send the configuration in force to one gateway."""
        address, plan = self._peer_addresses().get(name), self.plan()
        if address is not None and plan is not None:
            self._metrics.count("configurations_pushed")
            self._send(address, ConfigurationPush(encode_facts([PlanRead(plan)])))

    def catch_up(self) -> None:
        """Send a digest to several gateways, to receive the notices that this one has missed."""
        self._send_to_random(FANOUT, self._digest(answers=False))

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Handle a message of another gateway."""
        self._receive(message, sender)

    def stop(self) -> None:
        """Push the pending notices, then stop."""
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push()

    @singledispatchmethod
    def _receive(self, message: Message, sender: Incarnation) -> None:
        self._metrics.count("peer_messages_of_another_kind")

    @_receive.register
    def _(self, message: NoticePush, sender: Incarnation) -> None:
        now = self._clock.monotonic()
        match decode_notices(message.notices, now):
            case Result(tag="ok", ok=notices):
                self._metrics.count("notices_heard", len(notices))
                self._add(notices, now)
            case Result(error=detail):
                self._metrics.count("notices_unreadable")
                log("notices-unreadable", entry=sender.seat, detail=detail)

    @_receive.register
    def _(self, message: NoticeDigest, sender: Incarnation) -> None:
        address = self._peer_addresses().get(sender.seat) or (message.asking and message.address)
        if not address:
            return
        plan = self.plan()
        if message.asking and plan is not None and plan.number > message.configuration:
            self._send(address, ConfigurationPush(encode_facts([PlanRead(plan)])))
        now = self._clock.monotonic()
        if message.sums == self._notice_table.checksums(now):
            return
        missing = self._notice_table.differing(message.sums, now)
        if missing:
            self._send(address, _notice_push(missing, now))
        if not message.answers:
            self._send(address, self._digest(answers=True))

    @_receive.register
    def _(self, message: ConfigurationPush, sender: Incarnation) -> None:
        match decode_facts(message.fact):
            case Result(tag="ok", ok=[PlanRead(plan)]):
                self._metrics.count("configurations_heard")
                self.on_plan(plan, sender.seat)
            case _:
                self._metrics.count("notices_unreadable")
                log(
                    "notices-unreadable",
                    entry=sender.seat,
                    detail="the message contains no valid configuration",
                )

    def _digest(self, *, answers: bool, asking: bool = False) -> NoticeDigest:
        plan, now = self.plan(), self._clock.monotonic()
        number = 0 if plan is None else plan.number
        sums = self._notice_table.checksums(now)
        return NoticeDigest(sums, answers, asking or self._is_starting(), number, self._address)

    def _is_starting(self) -> bool:
        return self._clock.monotonic() - self._started_at < CATCH_UP_TIME

    def _add(self, received: Iterable[DatedNotice], now: timedelta) -> None:
        new_notices = self._notice_table.take(received, now)
        for dated in new_notices:
            self._on_new_notice(dated)
        self._unsent.extend(new_notices)
        if self._unsent and self._push_timer is None:
            self._push_timer = self._reactor.callLater(BATCH_WINDOW.total_seconds(), self._push)

    def _push(self) -> None:
        self._push_timer = None
        new_notices, self._unsent = self._unsent, []
        now = self._clock.monotonic()
        self._metrics.count("notices_new", len(new_notices))
        self._send_to_random(FANOUT, _notice_push(new_notices, now))

    def _send_to_random(self, count: int, message: Message) -> None:
        addresses = sorted(self._peer_addresses().values())
        for address in self._rng.sample(addresses, min(count, len(addresses))):
            self._send(address, message)


def _notice_push(notices: list[DatedNotice], now: timedelta) -> NoticePush:
    return NoticePush(encode_notices(notices[:MAX_NOTICES_PER_MESSAGE], now))
