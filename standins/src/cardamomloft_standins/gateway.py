"""Test doubles for a gateway: rules, registrations, control store, upstream client, clocks."""

import random
from collections import deque
from datetime import timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecord, PlanRead, Registration, UpstreamRegistered
from cardamomloft.core.routes import (
    CallerLimits,
    RoutePlan,
    RouteRule,
    ServicePolicy,
    ServiceShare,
)
from cardamomloft.gateway.calls import CallerHeaders
from cardamomloft.gateway.control import Changes, Listing
from cardamomloft.store.failures import StoreFailure
from cardamomloft.upstreams.dialect import Dialect
from cardamomloft.upstreams.observers import LinkObservers
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer
from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

MS = timedelta(milliseconds=1)
HEADERS = CallerHeaders("x-request-id", "x-deadline-ms", "x-object")
DIALECT = Dialect(
    misdirected=421, expected="x-expected", load="x-load", refusal_statuses=frozenset({503})
)
STORE_UNAVAILABLE = Error(StoreFailure(False, "away"))

RULE = RouteRule(
    name="menus",
    host="a.example",
    prefix="/menus/",
    services=(ServiceShare("menus", 1),),
    idempotent=True,
    timeout=1000 * MS,
    target=400 * MS,
    attempts=2,
    priority=1,
    keyed=True,
    homes=frozenset(),
)
ORDERS = RULE._replace(name="orders", prefix="/orders/", idempotent=False)
LIMITS = CallerLimits(16384, 2000, 3000 * MS, 15_000 * MS)
POLICY = ServicePolicy("menus", 360, 3000 * MS, 7.0)


def plan(number: int = 1, rules=(RULE, ORDERS)) -> RoutePlan:
    """Return a route plan with the revision `number`."""
    return RoutePlan(number, tuple(rules), {"menus": POLICY}, LIMITS)


def position(revision: int, era: int = 0) -> Position:
    """Return a position in the store's history."""
    return Position(era, revision)


def registration(number: int, address: str = "", **changes) -> Registration:
    """Return the registration of endpoint `number`; `changes` replace fields."""
    address = address or f"10.0.0.{number}:80"
    row = Registration(f"i-{number}", "menus", address, "a", 4, False, timedelta(0))
    return row._replace(**changes)


def listing(*registrations: Registration, number: int = 1, index: int = 10) -> Listing:
    """Return a complete listing with a plan and the registrations."""
    facts = [PlanRead(plan(number)), *map(UpstreamRegistered, registrations)]
    return Listing(tuple(facts), position(index))


def entry_records(count: int, region: str = "east", zones: str = "abc") -> list[EntryRecord]:
    """Return the records of `count` entries of a region, spread evenly over its zones."""
    return [
        EntryRecord(
            name=f"{region}-{number}",
            address=f"10.0.0.{number}:80",
            zone=zones[number % len(zones)],
            region=region,
            peers=f"10.0.0.{number}:90",
        )
        for number in range(1, count + 1)
    ]


class FakeBody:
    """An answer's body: all of its bytes, or the text of the error that truncated it."""

    def __init__(self, content: bytes | str) -> None:
        self.content = content
        self.aborted = False

    def buffer(self, limit: int):
        """Return the body or its error."""
        is_complete = isinstance(self.content, bytes)
        return succeed(Ok(self.content) if is_complete else Error(self.content))

    def abort(self, detail: str = "") -> None:
        """Record the abort."""
        self.aborted = True


def answer(status: int = 200, content: bytes | str = b"whole", not_run=False, **headers):
    """Return an upstream's answer; underscores in the names of `headers` become dashes."""
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return Ok(UpstreamAnswer(status, pairs, len(content), not_run, FakeBody(content)))


class FakeClient:
    """Returns the given outcomes in order and repeats the last one; None stays pending."""

    dialect = DIALECT

    def __init__(self, *outcomes) -> None:
        self.outcomes = deque(outcomes)
        self.sent = []
        self.pending: list[Deferred] = []
        self.forgotten_addresses = []
        self.cancelled = 0
        self.passing: Deferred | None = None
        self.observers = LinkObservers()

    def close_idle(self, address):
        """Record that the idle connections to an address are to be closed."""
        self.forgotten_addresses.append(address)

    def has_idle(self, address):
        """Return that there is no idle connection."""
        return False

    async def passed_on(self):
        """Return once `passing` has fired, at once if it is None."""
        if self.passing is not None:
            await self.passing

    def abort_unsent(self, detail, addresses=None):
        """Abort nothing."""
        return 0

    def suspect(self, evidence, addresses=None):
        """Suspect nothing."""
        return 0

    def send(self, req):
        """Record the request and return the next outcome."""
        self.sent.append(req)
        outcome = self.outcomes.popleft() if len(self.outcomes) > 1 else self.outcomes[0]
        if outcome is None:
            self.pending.append(Deferred(self._cancel))
            return self.pending[-1]
        return succeed(outcome)

    def _cancel(self, result) -> None:
        self.cancelled += 1
        # Like the real client, a cancelled send ends with a SendFailure, not a CancelledError.
        result.callback(Error(SendFailure(False, "cancelled")))


class FakeControl:
    """A control store whose answers are set by the test."""

    def __init__(self, first=STORE_UNAVAILABLE) -> None:
        self.listing = first
        self.next_changes = STORE_UNAVAILABLE
        self.lease = Ok("7")
        self.renewed = Ok(True)
        self.calls = []
        self.waits = []
        self.pending = None

    def read(self):
        """Record the call and return the configured listing."""
        self.calls.append("read")
        return succeed(self.listing)

    def changes(self, after, wait):
        """Return the configured changes, or `pending` if that is set."""
        self.calls.append(f"changes {after.revision}")
        self.waits.append(wait)
        return succeed(self.next_changes) if self.pending is None else self.pending

    def record(self, record, ttl):
        """Record that an entry registers itself."""
        self.calls.append(f"record {record.name}")
        return succeed(self.lease)

    def renew(self, lease):
        """Record that a lease is renewed."""
        self.calls.append(f"renew {lease}")
        return succeed(self.renewed)

    def withdraw(self, lease):
        """Record that a lease is revoked."""
        self.calls.append(f"withdraw {lease}")
        return succeed(Ok(None))


class Time:
    """The reactor's clock and the :class:`ManualClock`, advanced together."""

    def __init__(self, reactor) -> None:
        self.reactor = reactor
        self.clock = ManualClock()

    def advance(self, duration: timedelta, step: timedelta = 10 * MS) -> None:
        """Advance both clocks by `duration` in increments of `step`."""
        while duration > timedelta(0):
            now = min(step, duration)
            self.clock.advance(now)
            self.reactor.advance(now.total_seconds())
            duration -= now


def rng() -> random.Random:
    """Return a random generator with a fixed seed."""
    return random.Random(1)


def no_changes(index: int = 10):
    """Return an empty set of changes up to the revision `index`."""
    return Ok(Changes((), position(index)))
