"""The way of one request through the decisions: rules, place, admission, share, dispatch.

:class:`Router` is the entry's central object. It owns no socket: the caller's edge submits
requests and is told what to send where, the upstream's edge reports how it ended.
"""

import itertools
import math
import typing as t
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.admission import Admission, Queued, QueueKey
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document, Revision
from cardamomloft.core.limits import limits_of
from cardamomloft.core.model import Endpoint, Hold, Refusal, RefusalReason, Request
from cardamomloft.core.requests import Classifier
from cardamomloft.core.retries import RetryBudget, may_retry
from cardamomloft.core.rules import Directive, RuleSet, with_directive
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Choice, Steering
from expression import Error, Ok, Result

_DEFAULT_RETRY_PERCENT = 10.0


class Ticket(t.NamedTuple):
    """One admitted request; `number` is unique within this entry's life."""

    number: int
    req: Request
    directive: Directive
    attempt: int
    excluded: frozenset[str]


class Dispatch(t.NamedTuple):
    """Send this request to this endpoint now; the holds are kept until :meth:`Router.finish`."""

    ticket: Ticket
    endpoint: Endpoint
    holds: tuple[Hold, ...]
    started: timedelta


class Waiting(t.NamedTuple):
    """The request is queued; its dispatch or refusal comes out of :meth:`Router.pump`."""

    ticket: Ticket


class Dropped(t.NamedTuple):
    """A queued request that will not be sent. It was not run."""

    ticket: Ticket
    refusal: Refusal


class _Entry(t.NamedTuple):
    """A queued ticket with the endpoints chosen for it."""

    ticket: Ticket
    choice: Choice


class Router:
    """Decides for every request of one entry.

    Parameters
    ----------
    zone, region
        Where this entry stands.
    clock
        Source of time.
    shares
        This entry's shares of all limits.
    steering
        Choice of place and endpoint.
    admission
        The bounded queues.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        clock: Clock,
        shares: Shares,
        steering: Steering,
        admission: Admission,
    ) -> None:
        self.zone = zone
        self.region = region
        self.shares = shares
        self.steering = steering
        self.admission = admission
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Entry] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._wanted: frozenset[str] = frozenset()
        self._evictions: list[Dropped] = []
        self._in_flight: dict[int, Dispatch] = {}
        self.classifier: Classifier | None = None
        self.rules: RuleSet | None = None
        self.document: Document | None = None
        self.revision = 0
        self._links: frozenset[str] = frozenset()
        self.region_endpoints: tuple[Endpoint, ...] = ()

    def configure(
        self, revision: Revision, *, quarantine: bool, blocks: BlockMap | None = None
    ) -> None:
        """Put a revision in force for all later requests; those in flight keep their holds.

        Parameters
        ----------
        revision
            The revision.
        quarantine
            Whether an earlier life of this seat may have left uses behind.
        blocks
            The client-block map, if it does not stand in the document itself.
        """
        document = revision.document
        self.document = document
        self.revision = revision.number
        self._links = frozenset(
            f"link/{row['origin']}/{row['target']}" for row in document.get("links", [])
        )
        self.region_endpoints = tuple(_endpoints_in(document, self.region))
        self.classifier = Classifier(document, blocks)
        self.rules = RuleSet(document)
        self.shares.configure(revision.number, limits_of(document), quarantine=quarantine)
        self.steering.configure(document)
        self._budgets = {
            name: self._budgets.get(name)
            or RetryBudget(row.get("retry_percent", _DEFAULT_RETRY_PERCENT))
            for name, row in document["services"].items()
        }

    def submit(self, req: Request) -> Result[Dispatch | Waiting, Refusal]:
        """Decide about a new request.

        Returns
        -------
        Result
            A dispatch to carry out now, a place in the queue, or a refusal (not run).
        """
        if self.rules is None:
            return Error(Refusal(RefusalReason.NOT_READY, "no configuration yet"))
        match self.rules.match(req, self.zone, self.region):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=directive):
                req = with_directive(req, directive, self._clock.monotonic())
        self._budgets[req.service].on_request()
        return self._place(Ticket(next(self._numbers), req, directive, 1, frozenset()))

    def retry(
        self, dispatch: Dispatch, *, not_run: bool, refusal: Refusal
    ) -> Result[Dispatch | Waiting, Refusal]:
        """Decide about another attempt after `dispatch` failed; call :meth:`finish` first.

        `refusal` is the answer if there is none.
        """
        ticket = dispatch.ticket
        req = ticket.req
        left = req.deadline - self._clock.monotonic()
        attempts = ticket.directive.attempts - ticket.attempt
        expected = self.admission.expected(req.service)
        budget = self._budgets.get(req.service)
        if budget is None or not may_retry(req.idempotent, not_run, attempts, left, expected):
            return Error(refusal)
        if not budget.try_retry():
            return Error(refusal)
        again = ticket._replace(
            number=next(self._numbers),
            attempt=ticket.attempt + 1,
            excluded=ticket.excluded | {dispatch.endpoint.name},
        )
        return self._place(again)

    def finish(self, dispatch: Dispatch, *, ok: bool, latency: timedelta | None) -> None:
        """Release what a dispatch held; `latency` is None where it says nothing of the endpoint."""
        for hold in dispatch.holds:
            self.shares.release(hold)
        self._in_flight.pop(dispatch.ticket.number, None)
        self.steering.on_finished(dispatch.endpoint.name)
        if latency is not None:
            self.steering.on_result(dispatch.endpoint.name, ok, latency)
            if ok:
                self.admission.observe(dispatch.ticket.req.service, latency)

    def cancel(self, number: int) -> None:
        """Forget a queued request whose caller has left."""
        if self._waiting.pop(number, None) is not None:
            self.admission.remove(number)

    def pump(self) -> list[Dispatch | Dropped]:
        """Return what became of queued requests since the last call."""
        out: list[Dispatch | Dropped] = self._evictions
        self._evictions = []
        for item, refusal in self.admission.expire():
            out.append(Dropped(self._waiting.pop(item.number).ticket, refusal))
        for queue in self.admission.queues():
            out += self._pump_queue(queue)
        return out

    def queued(self) -> Counter[str]:
        """Return the number of queued requests by service."""
        return Counter(entry.ticket.req.service for entry in self._waiting.values())

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, empty if there is none."""
        regions = self.document["regions"].items() if self.document else ()
        return next((name for name, zones in regions if zone in zones), "")

    def link_limit_key(self, endpoint: Endpoint) -> str | None:
        """Return the key of the rate limit between here and an endpoint, None if it has none."""
        key = f"link/{self.region}/{endpoint.region}"
        return key if key in self._links else None

    def in_flight(self) -> list[Dispatch]:
        """Return the dispatches that are not finished."""
        return list(self._in_flight.values())

    def report_demand(self) -> None:
        """Tell the shares how much more of each limit the queues could use now."""
        unmet: dict[str, float] = {}
        for entry in self._waiting.values():
            keys = _keys(entry.choice)
            for key in keys:
                unmet[key] = unmet.get(key, 0.0) + 1 / len(entry.choice.endpoints)
        for key in self._wanted - unmet.keys():
            self.shares.want(key, 0)
        for key, amount in unmet.items():
            self.shares.want(key, math.ceil(amount))
        self._wanted = frozenset(unmet)

    def _place(self, ticket: Ticket) -> Result[Dispatch | Waiting, Refusal]:
        match self.steering.choose(ticket.req, ticket.directive, ticket.excluded):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=choice):
                pass
        queue = QueueKey(ticket.req.service, choice.place)
        # Whoever waits already goes first, unless this request has the higher priority.
        ahead = self.admission.peek(*queue)
        if ahead is None or ahead.priority > ticket.req.priority:
            dispatch = self._try_dispatch(ticket, choice)
            if dispatch is not None:
                return Ok(dispatch)
        return self._enqueue(ticket, choice)

    def _enqueue(self, ticket: Ticket, choice: Choice) -> Result[Dispatch | Waiting, Refusal]:
        req = ticket.req
        item = Queued(ticket.number, req.service, choice.place, req.priority, req.deadline)
        keys = [slots_key(endpoint) for endpoint in choice.endpoints]
        free = sum(self.shares.free(key) for key in keys)
        names = {endpoint.name for endpoint in choice.endpoints}
        slots = free + sum(d.endpoint.name in names for d in self._in_flight.values())
        match self.admission.offer(item, free=free, slots=slots):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=evicted):
                self._waiting[ticket.number] = _Entry(ticket, choice)
        if evicted is not None:
            entry = self._waiting.pop(evicted.item.number)
            self._evictions.append(Dropped(entry.ticket, evicted.refusal))
        self.report_demand()
        return Ok(Waiting(ticket))

    def _pump_queue(self, queue: QueueKey) -> list[Dispatch | Dropped]:
        out: list[Dispatch | Dropped] = []
        while (item := self.admission.peek(*queue)) is not None:
            entry = self._waiting[item.number]
            outcome = self._dispatch_queued(entry)
            if outcome is None:
                break
            self.admission.pop(*queue)
            del self._waiting[item.number]
            out.append(outcome)
        return out

    def _dispatch_queued(self, entry: _Entry) -> Dispatch | Dropped | None:
        """Choose again at the place where the request waits, since the facts have changed."""
        ticket, place = entry.ticket, entry.choice.place
        match self.steering.choose(ticket.req, ticket.directive, ticket.excluded, place):
            case Result(tag="ok", ok=choice):
                return self._try_dispatch(ticket, choice)
            case Result(error=refusal):
                return Dropped(ticket, refusal)

    def _try_dispatch(self, ticket: Ticket, choice: Choice) -> Dispatch | None:
        """Take the shares for the first endpoint that has room, all of them or none."""
        for endpoint in choice.endpoints:
            holds = self._acquire(endpoint, choice, ticket.req.deadline)
            if holds is not None:
                now = self._clock.monotonic()
                dispatch = Dispatch(ticket, endpoint, holds, now)
                self._in_flight[ticket.number] = dispatch
                self.steering.on_started(endpoint.name)
                return dispatch
        return None

    def _acquire(
        self, endpoint: Endpoint, choice: Choice, deadline: timedelta
    ) -> tuple[Hold, ...] | None:
        holds: list[Hold] = []
        for key in _endpoint_keys(endpoint, choice):
            match self.shares.acquire(key, 1, deadline):
                case Result(tag="ok", ok=hold):
                    holds.append(hold)
                case _:
                    for hold in holds:
                        self.shares.release(hold)
                    return None
        return tuple(holds)


def _endpoints_in(document: Document, region: str) -> Iterator[Endpoint]:
    zones = document["regions"].get(region, [])
    for service, service_row in document["services"].items():
        for name, row in service_row["upstreams"].items():
            if row["zone"] in zones:
                slots, connections = row["slots"], row["connections"]
                zone, address = row["zone"], row["address"]
                yield Endpoint(name, service, zone, region, address, slots, connections)


def slots_key(endpoint: Endpoint) -> str:
    """Return the key of an endpoint's limit of concurrent requests."""
    return f"slots/{endpoint.name}"


def _endpoint_keys(endpoint: Endpoint, choice: Choice) -> tuple[str, ...]:
    keys = (slots_key(endpoint), f"connections/{endpoint.name}")
    return keys if choice.spill_key is None else (*keys, choice.spill_key)


def _keys(choice: Choice) -> set[str]:
    return {key for endpoint in choice.endpoints for key in _endpoint_keys(endpoint, choice)}
