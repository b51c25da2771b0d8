"""Gateways of several zones that exchange the usage of client accounts, on one manual clock."""

import itertools
import random
import typing as t
from collections import defaultdict
from datetime import timedelta

from cardamomloft.core.budgets import Division
from cardamomloft.core.clientaccounts.quotagate import QuotaGate
from cardamomloft.core.clientaccounts.quotas import QuotaCoordinator, QuotaPolicy
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.core.routes import ClientAccount
from cardamomloft.gateway.usageexchange import REPORT_INTERVAL, UsageExchange
from cardamomloft.runtime.metrics import Metrics
from twisted.internet.task import Clock, LoopingCall

from cardamomloft_standins import gateway as kit

MS = kit.MS
POLICY = QuotaPolicy(timedelta(seconds=5), 0.1, 20.0)
LATENCY = 20 * MS
RECORD_LIFE = timedelta(seconds=3)
_STEP = 5 * MS


class Entry:
    """The quotas of one gateway."""

    def __init__(self, fleet: "Fleet", record: EntryRecord, incarnation: int) -> None:
        self.record, self.name = record, record.name
        self.me = Incarnation(record.name, str(incarnation))
        self.started_at = fleet.time.clock.monotonic()
        self.entries = EntryTable(record, timedelta(hours=1))
        self.coordinator = QuotaCoordinator(POLICY, self.started_at)
        self.coordinator.set_accounts(fleet.accounts.values())
        self.exchange = UsageExchange(
            fleet.time.reactor,
            fleet.time.clock,
            record,
            self.entries,
            lambda: True,
            lambda address, message, to: fleet.send(self, address, message, to),
            self.coordinator,
            Metrics(),
        )
        seed = random.Random(f"{record.name}/{incarnation}")
        self.gate = self.exchange.gate = QuotaGate(
            POLICY,
            seed,
            lambda now: Division(len(fleet.records), now - self.started_at),
            lambda name: fleet.rank(self.name, name),
            self.exchange.count,
        )
        self.running = True
        self._timer = LoopingCall(self.exchange.report)
        self._timer.clock = fleet.time.reactor
        offset = seed.random() * REPORT_INTERVAL.total_seconds()
        fleet.time.reactor.callLater(
            offset, self._timer.start, REPORT_INTERVAL.total_seconds(), now=True
        )

    def stop(self) -> None:
        """End the process."""
        self.running = False
        self.exchange.stop()
        if self._timer.running:
            self._timer.stop()


class Fleet:
    """Gateways that all know each other, with callers of several accounts.

    Parameters
    ----------
    zones, per_zone
        Number of zones, and of gateways in each.
    accounts
        The accounts.
    seed
        Of the arrivals and of lost messages.

    Attributes
    ----------
    admitted, refused
        The instants of admitted and refused requests by account.
    returning
        Whether refused callers come back once at the time that they are told.
    returns
        For each caller that came back, whether it was served then, by account.
    """

    def __init__(
        self, zones: int, per_zone: int, accounts: t.Iterable[ClientAccount], seed: int = 1
    ) -> None:
        self.time = kit.Time(Clock())
        self.rng = random.Random(seed)
        self.accounts = {account.name: account for account in accounts}
        self.loss = 0.0
        self.cut: set[frozenset[str]] = set()
        self.silenced: set[str] = set()
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[float]] = defaultdict(list)
        self.returning = False
        self.returns: dict[str, list[bool]] = defaultdict(list)
        self._incarnations = itertools.count(1)
        self._callers = itertools.count(1)
        self.records = [
            EntryRecord(f"{zone}-{number}", "", zone, zone, f"{zone}-{number}:1")
            for zone in "abcdefgh"[:zones]
            for number in range(per_zone)
        ]
        self.entries = {
            row.name: Entry(self, row, next(self._incarnations)) for row in self.records
        }
        for entry in self.entries.values():
            self._introduce(entry)
        self.time.advance(6000 * MS, _STEP)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.time.clock.monotonic().total_seconds()

    def send(
        self, sender: Entry, address: str, message: t.Any, to: Incarnation | None = None
    ) -> bool:
        """Deliver a message after the latency, unless it is lost or cut off.

        Only the incarnation `to` gets it, unless that is None.
        """
        receiver = self.entries[address.partition(":")[0]]
        zones = frozenset({sender.record.zone, receiver.record.zone})
        lost = self.rng.random() < self.loss or zones in self.cut
        if not lost and not {sender.name, receiver.name} & self.silenced:
            self.time.reactor.callLater(
                LATENCY.total_seconds(), self._deliver, receiver, sender.me, message, to
            )
        return True

    def rank(self, entry: str, account: str) -> int:
        """Return the rank of a gateway for an account."""
        own = random.Random(f"{entry}{account}").random()
        return sum(random.Random(f"{row.name}{account}").random() < own for row in self.records)

    def restart(self, names: t.Iterable[str]) -> None:
        """Kill gateways and start them again at once; the others keep their records."""
        for name in names:
            self.entries[name].stop()
            entry = Entry(self, self.entries[name].record, next(self._incarnations))
            self.entries[name] = entry
            self._introduce(entry)

    def remove(self, zone: str) -> None:
        """Kill the gateways of a zone; their records expire."""
        for entry in self.entries.values():
            if entry.record.zone == zone:
                entry.stop()
                self.time.reactor.callLater(RECORD_LIFE.total_seconds(), self._forget, entry.record)

    def withdraw(self, names: t.Iterable[str]) -> None:
        """Let the records of gateways lapse that go on running, at all others and at themselves."""
        for entry in self.entries.values():
            for name in names:
                entry.entries.withdraw(name, self.time.clock.monotonic())

    def set_quota(self, account: ClientAccount) -> None:
        """Change the quota of an account at all gateways."""
        self.accounts[account.name] = account
        for entry in self.entries.values():
            entry.coordinator.set_accounts(self.accounts.values())

    def play(
        self, seconds: float, rates: dict[str, float], at: t.Sequence[str] | None = None
    ) -> None:
        """Let requests arrive at `rates` per second of each account, at the named gateways."""
        until = self.now + seconds
        due = {name: self.now + self.rng.expovariate(rate) for name, rate in rates.items() if rate}
        while self.now < until:
            self.time.advance(_STEP, _STEP)
            for name, rate in rates.items():
                while rate and due[name] <= self.now:
                    due[name] += self.rng.expovariate(rate)
                    self._request(name, at)

    def most_in_window(self, account: str, window_s: float = 5.0) -> int:
        """Return the most admitted requests of an account in any window."""
        times, first, most = self.admitted[account], 0, 0
        for last, at in enumerate(times):
            while at - times[first] > window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _request(self, name: str, at: t.Sequence[str] | None) -> None:
        running = [
            entry
            for entry in self.entries.values()
            if entry.running and (not at or entry.name in at)
        ]
        if running:
            entry = self.rng.choice(running)
            caller = str(next(self._callers)) if self.returning else ""
            wait = self._ask(entry, name, caller)
            if wait is not None and caller:
                self.time.reactor.callLater(
                    wait.total_seconds(), self._come_back, entry, name, caller
                )

    def _ask(self, entry: Entry, name: str, caller: str) -> timedelta | None:
        wait = entry.gate.admit(self.accounts[name], self.time.clock.monotonic(), caller)
        (self.admitted if wait is None else self.refused)[name].append(self.now)
        return wait

    def _come_back(self, entry: Entry, name: str, caller: str) -> None:
        if entry.running:
            self.returns[name].append(self._ask(entry, name, caller) is None)

    def _introduce(self, entry: Entry) -> None:
        for row in self.records:
            entry.entries.add(row, self.time.clock.monotonic())

    def _deliver(
        self, receiver: Entry, sender: Incarnation, message: t.Any, to: Incarnation | None
    ) -> None:
        if receiver.running and to in (None, receiver.me):
            receiver.exchange.receive(sender, message)

    def _forget(self, record: EntryRecord) -> None:
        for entry in self.entries.values():
            entry.entries.withdraw(record.name, self.time.clock.monotonic())
