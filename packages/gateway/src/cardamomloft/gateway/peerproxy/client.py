"""Sends requests through other gateways while this gateway's links to the endpoints are down."""

import random
import typing as t
from datetime import timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import (
    Answer,
    RequestHead,
)
from cardamomloft.core.clock import Clock
from cardamomloft.core.connectivity.cutoff import CutOffEntries
from cardamomloft.core.connectivity.helpers import Helpers
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.calls import Call, CallerHeaders
from cardamomloft.gateway.peerproxy.header import PROXY_HEADER, ProxyHeader
from cardamomloft.gateway.peerproxy.hops import Hop, HopOutcome, read_hop
from cardamomloft.gateway.peerproxy.silence import HelperSilence, Watch
from cardamomloft.gateway.peerproxy.versions import PeerVersions
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.dialect import Dialect
from cardamomloft.upstreams.sends import UpstreamRequest
from twisted.internet.defer import CancelledError, Deferred, DeferredQueue, ensureDeferred
from twisted.python.failure import Failure

MAX_HELPERS = 6
"""Maximum number of gateways tried for one request. Those that can't help say so at once."""

MAX_HELPERS_OF_SERVICE = 3
"""The same where links work but no endpoint of the service can be reached. In other zones other
endpoints may be reached; if not, the endpoints have most likely failed for all."""

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Time in which another gateway must accept a connection."""

UNSENT_TIME = timedelta(milliseconds=900)
"""Time in which another gateway refuses a request that it can't send to an endpoint. A gateway that
stops asks no other one later than this before requests must be answered."""

MAX_IN_FLIGHT = 256
"""Maximum number of requests at one other gateway, a safeguard; it refuses excess ones itself."""


class ProxiedCall(t.NamedTuple):
    """A request that is to be sent through another gateway.

    `deliveries` endpoints may have got it already, and `may_have_run` tells whether any of them may
    have run it. `counted` tells whether it was counted for this gateway's retry budget.
    """

    call: Call
    head: RequestHead
    payload: bytes | RequestBody
    deliveries: int
    may_have_run: bool
    counted: bool
    max_helpers: int = MAX_HELPERS


class ProxyOutcome(t.NamedTuple):
    """Outcome of a request that was sent through other gateways.

    Attributes
    ----------
    answer
        The answer for the caller, None without one.
    refused
        Whether the request was not run by the gateways that got it.
    may_have_run
        Whether any endpoint may have run it, those that this gateway sent it to included.
    detail
        Why there is no answer.
    hops
        The gateways that were tried.
    """

    answer: Answer | None
    refused: bool
    may_have_run: bool
    detail: str
    hops: list[Hop]


class PeerProxy:
    """Sends requests through other gateways.

    Parameters
    ----------
    reactor, clock, rng
        The event loop, and sources of time and randomness.
    own
        This gateway's record.
    entries
        The recorded gateways.
    cut_off
        Those that have lost their links too.
    headers
        The names of the callers' request headers.
    versions
        The numbers of the configurations of the other gateways.
    metrics
        Counts requests.

    Attributes
    ----------
    silence : HelperSilence
        Probes gateways whose answers are awaited.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        own: EntryRecord,
        entries: EntryTable,
        cut_off: CutOffEntries,
        headers: CallerHeaders,
        versions: PeerVersions,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._own = own
        self._versions = versions
        self._metrics = metrics
        self._last_ask: timedelta | None = None
        self._helpers = Helpers(own, entries, cut_off, rng)
        self.silence = HelperSilence(reactor, clock)
        dialect = Dialect(
            request_id=headers.request_id,
            deadline_ms=headers.deadline_ms,
            refusal_statuses=frozenset(),
            reuse_always=True,
        )
        self._client = UpstreamClient(
            reactor, max_in_flight=MAX_IN_FLIGHT, dialect=dialect, connect_timeout=CONNECT_TIMEOUT
        )

    def stop_asking_at(self, answer_by: timedelta) -> None:
        """Ask no gateway that might refuse too late for an answer by a monotonic instant."""
        self._last_ask = answer_by - UNSENT_TIME

    def may_ask(self) -> bool:
        """Return whether other gateways may still be asked."""
        return self._last_ask is None or self._clock.monotonic() <= self._last_ask

    def may_reach(self, call: Call) -> bool:
        """Return whether another gateway may reach a service of which this one reaches nothing."""
        now = self._clock.monotonic()
        if not self.may_ask() or self._helpers.is_unreachable(call.service, now):
            return False
        return self._helpers.choose(call.service, call.rule.homes, (), now) is not None

    async def send(self, req: ProxiedCall) -> ProxyOutcome:
        """Send a request through another gateway, or through further ones if it can't help."""
        return await _ProxiedRun(self, req).run()

    async def send_to(self, peer: EntryRecord, req: ProxiedCall) -> "HopOutcome":
        """Send a request to one gateway, and return its answer."""
        now, call = self._clock.monotonic(), req.call
        header = ProxyHeader(
            peer.proxy_token,
            self._own.name,
            req.head.client,
            call.service,
            self._versions.newest,
            req.deliveries,
            req.counted,
        )
        headers = tuple(pair for pair in req.head.headers if pair[0] != PROXY_HEADER)
        upstream_request = UpstreamRequest(
            endpoint=Endpoint(peer.name, call.service, peer.zone, peer.region, peer.proxy, 0, 0),
            method=req.head.method,
            path=call.target,
            headers=(*headers, (PROXY_HEADER, header.encode())),
            body=req.payload,
            timeout=call.deadline - now,
            request_id=call.id,
            idempotent=call.rule.idempotent,
        )
        self._metrics.count("proxied.sent")
        self._helpers.record_sent(peer.name)
        try:
            hop = await read_hop(await self._client.send(upstream_request))
            if hop.configuration:
                self._versions.on_answer(peer.name, hop.configuration)
            return hop
        finally:
            self._helpers.record_end(peer.name)

    def choose(self, call: Call, tried: list[str]) -> EntryRecord | None:
        """Return the gateway to try next, None if there is none."""
        now = self._clock.monotonic()
        return self._helpers.choose(call.service, call.rule.homes, tried, now)

    def record_unavailable(self, peer: EntryRecord, reason: str, service: str) -> None:
        """Record that a gateway could not help."""
        now = self._clock.monotonic()
        of_service = service if reason == RefusalReason.UNREACHABLE else ""
        self._helpers.record_unavailable(peer.name, now, of_service)

    def record_unreachable(self, service: str) -> None:
        """Record that the gateways that were asked can't send more requests to a service."""
        self._helpers.record_unreachable(service, self._clock.monotonic())

    def monotonic(self) -> timedelta:
        """Return the present instant."""
        return self._clock.monotonic()

    async def bodies_passed_on(self) -> None:
        """Return once other gateways have got all bodies that they answered early."""
        await self._client.passed_on()

    def close(self) -> None:
        """Close the idle connections to other gateways."""
        self._client.close()


class _Ended(t.NamedTuple):
    """The end of a hop."""

    peer: EntryRecord
    hop: HopOutcome


class _Verdict(t.NamedTuple):
    """Whether a helper that has not answered was found silent."""

    peer: EntryRecord
    silent: bool


class _ProxiedRun:
    """One request on its way through other gateways.

    A hop goes on while its helper is silent; beside it the request is sent through another one if
    it may run twice, and the first answer counts.
    """

    def __init__(self, proxy: PeerProxy, req: ProxiedCall) -> None:
        self._proxy = proxy
        self._req = req
        self._tried: list[str] = []
        self._hops: list[Hop] = []
        self._open: dict[str, Deferred[t.Any]] = {}
        self._silent: set[str] = set()
        self._events: DeferredQueue[_Ended | _Verdict | Failure] = DeferredQueue()
        self._done = False
        self._detail = "no other entry can be asked"
        self._error: HopOutcome | None = None

    async def run(self) -> ProxyOutcome:
        self._send_next()
        try:
            while self._open or self._events.pending:
                outcome = self._apply(await self._events.get())
                if outcome is not None:
                    return outcome
        except CancelledError:
            return self._outcome(None, not_run=False, detail="the caller has left")
        finally:
            self._done = True
            for hop in tuple(self._open.values()):
                hop.cancel()
        if self._hops and all(not hop.delivered for hop in self._hops):
            self._proxy.record_unreachable(self._req.call.service)
        answer = None if self._error is None else self._error.answer
        return self._outcome(answer, not_run=not self._req.may_have_run, detail=self._detail)

    def _apply(self, event: _Ended | _Verdict | Failure) -> ProxyOutcome | None:
        """Return the outcome of the request if an event has decided it."""
        match event:
            case _Verdict(peer, silent=True) if peer.name in self._open:
                self._silent.add(peer.name)
                self._proxy.record_unavailable(peer, "", self._req.call.service)
                self._send_next()
            case _Verdict(peer):
                self._silent.discard(peer.name)
            case _Ended(peer, hop):
                return self._apply_end(peer, hop)
            case failure:
                failure.raiseException()
        return None

    def _apply_end(self, peer: EntryRecord, hop: HopOutcome) -> ProxyOutcome | None:
        self._silent.discard(peer.name)
        if not hop.not_run:
            deliveries = self._req.deliveries + 1
            self._req = self._req._replace(deliveries=deliveries, may_have_run=True)
        self._detail = hop.detail or hop.reason
        if hop.unable:
            self._proxy.record_unavailable(peer, hop.reason, self._req.call.service)
        elif hop.answer is not None:
            if hop.reason == RefusalReason.OVERLOAD:
                self._proxy.record_unreachable(self._req.call.service)
            if hop.is_good or not self._open:
                return self._outcome(hop.answer, not_run=hop.not_run, detail=hop.detail)
            self._keep(hop)
            return None
        self._send_next()
        return None

    def _keep(self, hop: HopOutcome) -> None:
        """Keep an endpoint's error as the answer if the other hops get none."""
        if hop.complete and hop.answer is not None and isinstance(hop.answer.body, bytes):
            self._error = hop
        elif hop.answer is not None and not isinstance(hop.answer.body, bytes):
            hop.answer.body.abort()

    def _send_next(self) -> None:
        """Send the request through another gateway, unless one that isn't silent has it."""
        if self._open.keys() - self._silent or (peer := self._next_peer()) is None:
            return
        self._tried.append(peer.name)
        sent_at = self._proxy.monotonic()
        deliveries = self._req.deliveries + len(self._open)
        hop = ensureDeferred(self._proxy.send_to(peer, self._req._replace(deliveries=deliveries)))
        self._open[peer.name] = hop
        watch = self._proxy.silence.watch(
            peer, lambda silent: self._events.put(_Verdict(peer, silent))
        )
        hop.addCallback(self._record, peer, sent_at)
        hop.addBoth(self._end, peer, watch)

    def _end(self, result: HopOutcome | Failure, peer: EntryRecord, watch: Watch) -> None:
        del self._open[peer.name]
        answered = isinstance(result, HopOutcome) and result.answer is not None
        watch.stop(answered=answered)
        if not self._done:
            self._events.put(_Ended(peer, result) if isinstance(result, HopOutcome) else result)

    def _next_peer(self) -> EntryRecord | None:
        req = self._req
        if (req.may_have_run or self._open) and not req.call.rule.idempotent:
            return None
        if req.deliveries + len(self._open) >= req.call.rule.attempts:
            return None
        if len(self._tried) >= req.max_helpers:
            return None
        if not isinstance(req.payload, bytes) and not req.payload.unconsumed:
            return None
        if req.call.deadline <= self._proxy.monotonic() or not self._proxy.may_ask():
            return None
        return self._proxy.choose(req.call, self._tried)

    def _record(self, hop: HopOutcome, peer: EntryRecord, sent_at: timedelta) -> HopOutcome:
        duration = self._proxy.monotonic() - sent_at
        self._hops.append(hop.record(peer.name, duration))
        return hop

    def _outcome(self, answer: Answer | None, *, not_run: bool, detail: str) -> ProxyOutcome:
        may_have_run = self._req.may_have_run or not not_run
        return ProxyOutcome(answer, not_run, may_have_run, detail, self._hops)


def unreachable(outcome: ProxyOutcome) -> Refusal:
    """Return the refusal of a request that no gateway could send to an endpoint."""
    detail = f"this entry reaches no endpoint, and others can't help: {outcome.detail}"
    return Refusal(RefusalReason.UNREACHABLE, detail)
