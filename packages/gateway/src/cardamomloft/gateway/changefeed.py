"""Exchange of store changes and notices between gateways."""

import random
import typing as t
import uuid
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.messages import (
    ConfigurationPush,
    CoordinatorHint,
    Message,
    NoticeDigest,
    NoticePush,
    UsageAnswer,
    UsageReport,
    ZoneUsage,
)
from cardamomloft.core.model import Incarnation
from cardamomloft.core.notices import DatedNotice
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.relays import relays_of
from cardamomloft.feed.sources import SourceSelector
from cardamomloft.gateway.control import Control
from cardamomloft.gateway.gossip import Gossip
from cardamomloft.gateway.relayedcontrol import RelayedControl
from cardamomloft.gateway.relaying import RelayPort
from cardamomloft.gateway.usageexchange import UsageExchange
from cardamomloft.peers.node import OnFault, PeerNode
from cardamomloft.runtime.metrics import Metrics

MAX_PEER_LINKS = 256
"""Maximum number of open links to other gateways. At 1,500 gateways in 8 regions a relay has 94
subscribers, and all 187 while the other relay is away."""


class ChangeFeed:
    """Connects one gateway to the relays, to its own subscribers and to the gossip of notices.

    Parameters
    ----------
    reactor, clock
        The event loop, and the source of time.
    control
        The control store.
    own
        This gateway's record. Without an address for peers the gateway takes changes from the store
        only.
    entries
        The recorded gateways.
    is_announced
        Returns whether this gateway is announced to the others.
    drain_time
        Time within which a change must be in force.
    on_notice
        Called with each new notice, including this gateway's own.
    rng
        Source of randomness.
    metrics
        Counts requests and messages.

    Attributes
    ----------
    control
        The control store, with changes taken from relays where that is safe.
    port
        Requests changes from relays, and answers such requests of other gateways.
    gossip
        Spreads notices among the gateways.
    usage
        Exchanges the usage of client accounts, if they have quotas, and the loads of endpoints, if
        these are shared.
    """

    usage: UsageExchange | None = None

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        control: Control,
        own: EntryRecord,
        entries: EntryTable,
        is_announced: Callable[[], bool],
        drain_time: timedelta,
        on_notice: Callable[[DatedNotice], None],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._own = own
        self._entries = entries
        self._is_announced = is_announced
        self._sources = SourceSelector(own, drain_time)
        table = ChangeTable()
        self.port = RelayPort(
            reactor, clock, table, self._age, self._address_of, metrics, self.verified_age
        )
        self.control = RelayedControl(
            control, clock, table, self._sources, self.port, self._records, metrics
        )
        self.gossip = Gossip(
            reactor, clock, rng, self._peer_addresses, self.send, on_notice, metrics, own.peers
        )
        self.gossip.is_outdated = self.is_outdated

    def start(self, on_fault: OnFault) -> None:
        """Listen for messages of other gateways, if this gateway has an address for them.

        Raises
        ------
        cardamomloft.peers.node.BindError
            If the address cannot be bound.
        """
        if self._own.peers:
            me = Incarnation(self._own.name, uuid.uuid4().hex)
            self.port.peers = PeerNode(
                self._reactor,
                me,
                self._own.peers,
                self.receive,
                on_fault=on_fault,
                max_links=MAX_PEER_LINKS,
            )

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Handle a message of another gateway."""
        if isinstance(message, NoticePush | NoticeDigest | ConfigurationPush):
            self.gossip.receive(sender, message)
        elif isinstance(message, UsageReport | UsageAnswer | ZoneUsage | CoordinatorHint):
            if self.usage is not None:
                self.usage.receive(sender, message)
        else:
            self.port.receive(sender, message)

    def stop(self) -> None:
        """Answer held requests, send pending notices and close; call it before `Follower.stop`."""
        self.gossip.stop()
        if self.usage is not None:
            self.usage.stop()
        self.control.stop()
        self.port.close()

    def set_drain_time(self, drain_time: timedelta) -> None:
        """Apply a changed drain time."""
        self._sources.drain_time = drain_time

    def set_revocation_time(self, revocation_time: timedelta | None) -> None:
        """Verify the data often enough to refuse withdrawn keys within this time, None to not."""
        self._sources.revocation_time = revocation_time

    def is_outdated(self) -> bool:
        """Return whether the data is older than it would be if the store or a relay answered."""
        return self._sources.is_outdated(self._clock.monotonic())

    def complete_until(self) -> timedelta | None:
        """Return the monotonic instant up to which the data is complete; None without data."""
        return self._sources.complete_until

    def verified_age(self) -> timedelta | None:
        """Return the time since this gateway's data was proved to be current; None if never."""
        return self._sources.verified_age(self._clock.monotonic())

    def status(self) -> dict[str, t.Any]:
        """Return the region's relays and the age of this gateway's data, for the status page."""
        age, verified_age = self._age(), self.verified_age()
        relays = relays_of(self._own.region, self._records())
        return {
            "relays": [row.name for row in relays],
            "knowledge_age_ms": None if age is None else age // timedelta(milliseconds=1),
            "verified_age_ms": (
                None if verified_age is None else verified_age // timedelta(milliseconds=1)
            ),
            "held_requests": self.port.held,
            "notices": len(self.gossip),
        }

    def _age(self) -> timedelta | None:
        return self._sources.age(self._clock.monotonic())

    def _records(self) -> list[EntryRecord]:
        return self._entries.records(with_own=self._is_announced())

    def _address_of(self, name: str) -> str | None:
        return next((row.peers for row in self._records() if row.name == name), None) or None

    def _peer_addresses(self) -> dict[str, str]:
        return {row.name: row.peers for row in self._entries.records(with_own=False) if row.peers}

    def send(self, address: str, message: Message, to: Incarnation | None = None) -> bool:
        """Send a message to a gateway's address; return False if it was dropped before that.

        Only the incarnation `to` gets it, or any process at the address if that is None.
        """
        return self.port.peers is not None and self.port.peers.send(address, message, to)
