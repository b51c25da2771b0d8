"""Takes each request through the decisions: rules, place, admission, shares and dispatch.

:class:`Router` is the central object of an entry. It does no I/O: the callers' edge submits
requests and receives dispatches, and the upstreams' edge reports how they ended.
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
    """An admitted request; `number` is unique within this incarnation of the entry."""

    number: int
    req: Request
    directive: Directive
    attempt: int
    excluded: frozenset[str]


class Dispatch(t.NamedTuple):
    """A request to send to `endpoint` now; its holds are kept until :meth:`Router.finish`."""

    ticket: Ticket
    endpoint: Endpoint
    holds: tuple[Hold, ...]
    started: timedelta


class Waiting(t.NamedTuple):
    """A queued request; :meth:`Router.pump` returns its dispatch or refusal."""

    ticket: Ticket


class Dropped(t.NamedTuple):
    """A queued request that is refused without having been sent."""

    ticket: Ticket
    refusal: Refusal


class _QueuedRequest(t.NamedTuple):
    """A queued ticket with the endpoints chosen for it."""

    ticket: Ticket
    choice: Choice


class Router:
    """Decides on every request of one entry.

    Parameters
    ----------
    zone, region
        Location of this entry.
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
        self._ticket_numbers = itertools.count(1)
        self._queued_requests: dict[int, _QueuedRequest] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._demanded_keys: frozenset[str] = frozenset()
        self._evictions: list[Dropped] = []
        self._in_flight: dict[int, Dispatch] = {}
        self.classifier: Classifier | None = None
        self.rules: RuleSet | None = None
        self.document: Document | None = None
        self.revision = 0
        self._limited_links: frozenset[str] = frozenset()
        self.region_endpoints: tuple[Endpoint, ...] = ()

    def configure(
        self, revision: Revision, *, quarantine: bool, blocks: BlockMap | None = None
    ) -> None:
        """Apply a revision to all later requests; requests in flight keep their holds.

        Parameters
        ----------
        revision
            The revision.
        quarantine
            Whether an earlier incarnation of this seat may still have requests in flight.
        blocks
            The client-block map, if the document does not contain it.
        """
        document = revision.document
        self.document = document
        self.revision = revision.number
        self._limited_links = frozenset(
            f"link/{row['origin']}/{row['target']}" for row in document.get("links", [])
        )
        self.region_endpoints = tuple(_endpoints_in(document, self.region))
        self.classifier = Classifier(document, blocks)
        self.rules = RuleSet(document)
        self.shares.configure(revision.number, limits_of(document), quarantine=quarantine)
        self.steering.configure(document)
        self._retry_budgets = {
            name: self._retry_budgets.get(name)
            or RetryBudget(row.get("retry_percent", _DEFAULT_RETRY_PERCENT))
            for name, row in document["services"].items()
        }

    def submit(self, req: Request) -> Result[Dispatch | Waiting, Refusal]:
        """Decide on a new request.

        Returns
        -------
        Result
            A dispatch to send now, a queued request, or a refusal of a request that was not run.
        """
        if self.rules is None:
            return Error(Refusal(RefusalReason.NOT_READY, "no configuration yet"))
        match self.rules.match(req, self.zone, self.region):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=directive):
                req = with_directive(req, directive, self._clock.monotonic())
        self._retry_budgets[req.service].on_request()
        return self._choose_and_dispatch(
            Ticket(next(self._ticket_numbers), req, directive, 1, frozenset())
        )

    def retry(
        self, dispatch: Dispatch, *, not_run: bool, refusal: Refusal
    ) -> Result[Dispatch | Waiting, Refusal]:
        """Decide on a retry after `dispatch` failed; call :meth:`finish` first.

        Returns `refusal` if the request may not be retried.
        """
        ticket = dispatch.ticket
        req = ticket.req
        remaining = req.deadline - self._clock.monotonic()
        attempts = ticket.directive.attempts - ticket.attempt
        expected = self.admission.expected(req.service)
        budget = self._retry_budgets.get(req.service)
        if budget is None or not may_retry(req.idempotent, not_run, attempts, remaining, expected):
            return Error(refusal)
        if not budget.try_retry():
            return Error(refusal)
        retry_ticket = ticket._replace(
            number=next(self._ticket_numbers),
            attempt=ticket.attempt + 1,
            excluded=ticket.excluded | {dispatch.endpoint.name},
        )
        return self._choose_and_dispatch(retry_ticket)

    def finish(self, dispatch: Dispatch, *, ok: bool, latency: timedelta | None) -> None:
        """Release the holds of a dispatch; a `latency` of None does not rate the endpoint."""
        for hold in dispatch.holds:
            self.shares.release(hold)
        self._in_flight.pop(dispatch.ticket.number, None)
        self.steering.on_finished(dispatch.endpoint.name)
        if latency is not None:
            self.steering.on_result(dispatch.endpoint.name, ok, latency)
            if ok:
                self.admission.observe(dispatch.ticket.req.service, latency)

    def cancel(self, number: int) -> None:
        """Remove a queued request whose caller has disconnected."""
        if self._queued_requests.pop(number, None) is not None:
            self.admission.remove(number)

    def pump(self) -> list[Dispatch | Dropped]:
        """Return the queued requests that were dispatched or dropped since the last call."""
        out: list[Dispatch | Dropped] = self._evictions
        self._evictions = []
        for item, refusal in self.admission.expire():
            out.append(Dropped(self._queued_requests.pop(item.number).ticket, refusal))
        for queue in self.admission.queues():
            out += self._pump_queue(queue)
        return out

    def queued(self) -> Counter[str]:
        """Return the number of queued requests by service."""
        return Counter(
            queued_request.ticket.req.service for queued_request in self._queued_requests.values()
        )

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or an empty string if the zone is unknown."""
        regions = self.document["regions"].items() if self.document else ()
        return next((name for name, zones in regions if zone in zones), "")

    def link_limit_key(self, endpoint: Endpoint) -> str | None:
        """Return the key of the rate limit from this region to the endpoint's, if there is one."""
        key = f"link/{self.region}/{endpoint.region}"
        return key if key in self._limited_links else None

    def in_flight(self) -> list[Dispatch]:
        """Return the dispatches that have not finished."""
        return list(self._in_flight.values())

    def report_demand(self) -> None:
        """Report to the shares how much more of each limit the queued requests need."""
        unmet: dict[str, float] = {}
        for queued_request in self._queued_requests.values():
            keys = _choice_limit_keys(queued_request.choice)
            for key in keys:
                unmet[key] = unmet.get(key, 0.0) + 1 / len(queued_request.choice.endpoints)
        for key in self._demanded_keys - unmet.keys():
            self.shares.want(key, 0)
        for key, amount in unmet.items():
            self.shares.want(key, math.ceil(amount))
        self._demanded_keys = frozenset(unmet)

    def _choose_and_dispatch(self, ticket: Ticket) -> Result[Dispatch | Waiting, Refusal]:
        match self.steering.choose(ticket.req, ticket.directive, ticket.excluded):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=choice):
                pass
        queue = QueueKey(ticket.req.service, choice.place)
        # Queued requests go first unless the new one has a higher priority.
        queued_first = self.admission.peek(*queue)
        if queued_first is None or queued_first.priority > ticket.req.priority:
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
                self._queued_requests[ticket.number] = _QueuedRequest(ticket, choice)
        if evicted is not None:
            queued_request = self._queued_requests.pop(evicted.item.number)
            self._evictions.append(Dropped(queued_request.ticket, evicted.refusal))
        self.report_demand()
        return Ok(Waiting(ticket))

    def _pump_queue(self, queue: QueueKey) -> list[Dispatch | Dropped]:
        out: list[Dispatch | Dropped] = []
        while (item := self.admission.peek(*queue)) is not None:
            queued_request = self._queued_requests[item.number]
            outcome = self._dispatch_queued(queued_request)
            if outcome is None:
                break
            self.admission.pop(*queue)
            del self._queued_requests[item.number]
            out.append(outcome)
        return out

    def _dispatch_queued(self, queued_request: _QueuedRequest) -> Dispatch | Dropped | None:
        """Choose again among the endpoints of the request's place, and dispatch if one has room."""
        ticket, place = queued_request.ticket, queued_request.choice.place
        match self.steering.choose(ticket.req, ticket.directive, ticket.excluded, place):
            case Result(tag="ok", ok=choice):
                return self._try_dispatch(ticket, choice)
            case Result(error=refusal):
                return Dropped(ticket, refusal)

    def _try_dispatch(self, ticket: Ticket, choice: Choice) -> Dispatch | None:
        """Dispatch to the first endpoint at which all holds can be acquired, if there is one."""
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
        for key in _endpoint_limit_keys(endpoint, choice):
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


def _endpoint_limit_keys(endpoint: Endpoint, choice: Choice) -> tuple[str, ...]:
    keys = (slots_key(endpoint), f"connections/{endpoint.name}")
    return keys if choice.spill_key is None else (*keys, choice.spill_key)


def _choice_limit_keys(choice: Choice) -> set[str]:
    return {key for endpoint in choice.endpoints for key in _endpoint_limit_keys(endpoint, choice)}
