"""Holds requests for which no endpoint has capacity, and sends them in order as it becomes free.

A held request is decided on by whoever removes it from its queue: it is sent, refused, or its
caller has left. The awaiting request run continues in the same call, so that a chosen endpoint
counts the request before the next one is looked at.
"""

import random
import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.queueing.returns import MIN_WAIT
from cardamomloft.core.queueing.servicequeue import Eviction, QueueBounds, ServiceQueue
from cardamomloft.core.selection import Choice
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.heldrequests import (
    Choose,
    HeldRequest,
    QueuedService,
    account_of,
    assumed_duration,
    identity_of,
)
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

MIN_TIMER = timedelta(milliseconds=1)
"""Minimum time of a timer, so that rounding does not cause a series of calls without progress."""

MAX_SERVICES = 200
"""Number of services that are logged and shown; services are those of the configuration."""

_MS = timedelta(milliseconds=1)

_LATE = Refusal(RefusalReason.OVERLOAD, "no endpoint has a free slot for a request that is late")
_OTHERS_FIRST = Refusal(RefusalReason.OVERLOAD, "other requests wait for the capacity")


class RequestQueue:
    """The queues of one gateway, by service.

    Parameters
    ----------
    reactor
        Schedules the attempts to send.
    clock, rng
        Sources of time and randomness.
    metrics
        Counts decisions.
    bounds
        Bounds of each service's queue.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        bounds: QueueBounds | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._bounds = bounds or QueueBounds()
        self._services: dict[str, QueuedService] = {}
        self._stop_at: timedelta | None = None
        self.enabled = False

    # Requests.

    def is_returning(self, call: Call, address: str) -> bool:
        """Return whether a caller returns at the time that it was told; ask once for a request.

        Parameters
        ----------
        call
            The request.
        address
            The caller's address.
        """
        if not self.enabled:
            return False
        queue = self._service(call.service).queue
        return queue.is_returning(identity_of(call, address), self._clock.monotonic())

    async def choose(
        self, call: Call, size: int, returning: bool, choose: Choose
    ) -> Choice | Refusal:
        """Return what `choose` returns once it is not a refusal for lack of capacity.

        Parameters
        ----------
        call
            The request.
        size
            Bytes of its buffered body.
        returning
            Result of `is_returning`.
        choose
            Returns an endpoint or a refusal at the present time.
        """
        if not self.enabled:
            return choose()
        service = self._service(call.service)
        while service.in_turn:
            await self._next_iteration()
        if not self.enabled:
            return choose()
        held = self._hold(service.queue, call, size, returning, choose)
        self._turn(call.service, held, regular=len(service.queue) == 1)
        if held in service.queue:
            self._admit(call.service, held)
        return await held.decided

    def _hold(
        self, queue: ServiceQueue, call: Call, size: int, returning: bool, choose: Choose
    ) -> HeldRequest:
        account, rate_per_s = account_of(call)
        now = self._clock.monotonic()
        held = HeldRequest(
            call.rule.priority,
            account,
            rate_per_s,
            call.arrived + call.rule.target,
            call.deadline,
            assumed_duration(call),
            size,
            returning,
            now,
        )
        held.choose = choose
        held.overload = _OTHERS_FIRST
        held.decided = Deferred(lambda _: queue.remove(held))
        queue.add(held)
        return held

    def _admit(self, service: str, held: HeldRequest) -> None:
        """Decide whether a request for which there is no capacity now is held."""
        queue, now = self._services[service].queue, self._clock.monotonic()
        reason = queue.objection(held, now)
        if reason is not None:
            self._refuse(service, held, reason)
            return
        held.admitted = True
        self._count(service, "admitted", held)
        last = queue.overflow(now)
        while last is not None:
            self._refuse(service, t.cast(HeldRequest, last), Eviction.FULL)
            last = queue.overflow(now)
        self._schedule(service)

    def record_end(self, call: Call, duration: timedelta | None, *, ran: bool) -> None:
        """Record that a request has ended.

        Parameters
        ----------
        call
            The request.
        duration
            Time from sending it to its answer; None without one.
        ran
            Whether it may have run; otherwise its account has received no service.
        """
        if not self.enabled:
            return
        queue, now = self._service(call.service).queue, self._clock.monotonic()
        if duration is not None:
            queue.estimate.record_answer(duration, now)
        if not ran:
            queue.shares.record(*account_of(call), -1.0, now)
        self.capacity_changed(call.service)

    def retry_after(
        self, call: Call, address: str, rejected_with_room: bool, default: timedelta
    ) -> timedelta:
        """Return when a refused caller should retry, and expect it then.

        Parameters
        ----------
        call
            The refused request.
        address
            The caller's address.
        rejected_with_room
            Whether an endpoint refused it although it reported a free slot.
        default
            The time without a queue.
        """
        if not self.enabled:
            return default
        queue, now = self._service(call.service).queue, self._clock.monotonic()
        caller, remaining = identity_of(call, address), call.caller_deadline - now
        if rejected_with_room:
            draw = self._rng.random()
            return queue.returns.wait_after_rejection(caller, remaining, draw, now)
        account, _ = account_of(call)
        return queue.retry_after(
            caller, call.rule.priority, account, assumed_duration(call), remaining, now
        )

    # Attempts to send.

    def retry_all(self) -> None:
        """Try the waiting requests of all services, as endpoints can or can't be reached now."""
        for service in self._services:
            self.capacity_changed(service)

    def capacity_changed(self, service: str) -> None:
        """Try the waiting requests of a service in the next iteration of the event loop.

        To be called when a request has ended and when a new load of an endpoint is known.
        """
        known = self._services.get(service)
        if known is not None and len(known.queue) and not known.turn_due:
            known.turn_due = True
            self._reactor.callLater(0, self._due_turn, service, regular=False)

    def _due_turn(self, service: str, *, regular: bool) -> None:
        known = self._services[service]
        if not regular:
            known.turn_due = False
        if known.in_turn:
            return
        self._turn(service, None, regular=regular)
        for waiter, reason in known.queue.unpromising(self._clock.monotonic()):
            self._refuse(service, t.cast(HeldRequest, waiter), reason)
        self._schedule(service)

    def send_before(self, service: str, priority: int) -> None:
        """Send the waiting requests that are more urgent than `priority` and have capacity.

        To be called before a request that may have run is sent again, as it can't be held.
        """
        known = self._services.get(service)
        if known is None or not len(known.queue) or known.in_turn:
            return
        self._turn(service, None, regular=True, before=priority)

    def _turn(
        self,
        service: str,
        arriving: HeldRequest | None,
        *,
        regular: bool,
        before: int | None = None,
    ) -> None:
        """Send the waiting requests in order for which there is capacity.

        The turn ends at an arriving request that is sent: it is counted by its endpoint only after
        the turn.
        """
        known = self._services[service]
        known.in_turn = True
        known.passed_over.clear()
        now = self._clock.monotonic()
        try:
            for waiter in known.queue.candidates(now, regular=regular):
                if before is not None and waiter.priority >= before:
                    return
                if self._try(service, t.cast(HeldRequest, waiter)) and waiter is arriving:
                    return
        finally:
            known.in_turn = False

    def _try(self, service: str, held: HeldRequest) -> bool:
        """Send a request if there is capacity; return whether it is decided on."""
        known, now = self._services[service], self._clock.monotonic()
        queue = known.queue
        if held not in queue:
            return True
        try:
            chosen = held.choose()
        except Exception:
            # The fault is that of one request; the others must not be held for it.
            if queue.remove(held):
                held.decided.errback(Failure())
            return True
        if isinstance(chosen, Refusal) and chosen.reason is RefusalReason.OVERLOAD:
            held.hold = now if chosen.retry_after is None else now + chosen.retry_after
            held.overload = chosen
            return False
        if isinstance(chosen, Choice) and known.keeps_free(held, chosen.upstream, now):
            held.overload = _LATE
            return False
        if not queue.remove(held):
            return True
        if isinstance(chosen, Choice):
            queue.record_sent(held, now)
            self._record_sent(service, held, now)
        elif held.admitted:
            self._count(service, f"refused-held.{chosen.reason}", held)
        held.decided.callback(chosen)
        return True

    def _record_sent(self, service: str, held: HeldRequest, now: timedelta) -> None:
        if held.admitted:
            self._count(service, "sent", held)
            self._metrics.observe(f"{service}.queued", now - held.since)
        if held.returning:
            self._count(service, "returned.sent", held)

    def _refuse(self, service: str, held: HeldRequest, reason: Eviction) -> None:
        queue = self._services[service].queue
        if not queue.remove(held):
            return
        queue.record_refused(held, reason)
        self._count(service, f"refused{'-held' if held.admitted else ''}.{reason}", held)
        if held.returning:
            self._count(service, "returned.refused", held)
        waited = (self._clock.monotonic() - held.since) // _MS
        detail = f"{held.overload.detail}; refused as {reason} after {waited} ms in the queue"
        pause = held.overload.retry_after
        if pause is not None and pause < MIN_WAIT:
            pause = None
        held.decided.callback(held.overload._replace(detail=detail, retry_after=pause))

    def _refuse_all(self, service: str, reason: Eviction) -> None:
        now = self._clock.monotonic()
        for waiter in self._services[service].queue.in_order(now):
            self._refuse(service, t.cast(HeldRequest, waiter), reason)

    def _count(self, service: str, name: str, held: HeldRequest) -> None:
        self._services[service].counts[f"{name}.p{held.priority}"] += 1
        self._metrics.count(f"queue.{name}.{service}.p{held.priority}")

    # Timers and life cycle.

    def set_enabled(self, enabled: bool) -> None:
        """Switch the queue on or off; when it is switched off, waiting requests are decided on."""
        self.enabled = enabled
        for service in () if enabled else list(self._services):
            self._turn(service, None, regular=True)
            self._refuse_all(service, Eviction.DISABLED)

    def finish_by(self, instant: timedelta) -> None:
        """Hold only requests that are expected to be answered by a monotonic instant."""
        self._stop_at = instant
        for known in self._services.values():
            known.queue.stop_at = instant

    def close(self) -> None:
        """Refuse all waiting requests and stop the timers."""
        for service, known in self._services.items():
            self._refuse_all(service, Eviction.STOPPING)
            if known.timer is not None and known.timer.active():
                known.timer.cancel()

    def _schedule(self, service: str) -> None:
        known, now = self._services[service], self._clock.monotonic()
        if not len(known.queue):
            return
        delay = max(known.queue.next_check(now) - now, MIN_TIMER).total_seconds()
        if known.timer is not None and known.timer.active():
            if known.timer.getTime() <= self._reactor.seconds() + delay:
                return
            known.timer.cancel()
        known.timer = self._reactor.callLater(delay, self._due_turn, service, regular=True)

    def _next_iteration(self) -> "Deferred[None]":
        return deferLater(self._reactor, 0, lambda: None)

    def _service(self, name: str) -> QueuedService:
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = QueuedService(self._bounds)
            known.queue.stop_at = self._stop_at
        return known

    # Observability.

    def log(self) -> None:
        """Log each service of which requests wait or were refused since the last call."""
        for name, known in self._shown():
            fields = known.grown_fields(self._clock.monotonic())
            if fields is not None:
                log("queue", service=name, **fields)

    def status(self) -> dict[str, t.Any]:
        """Return the state of the queues by service."""
        now = self._clock.monotonic()
        return {
            name: {**known.fields(now), "counts": dict(known.counts)}
            for name, known in self._shown()
        }

    def metrics_text(self) -> str:
        """Return the present lengths and waits for the metrics page."""
        now = self._clock.monotonic()
        return "".join(known.metrics_text(name, now) for name, known in self._shown())

    def _shown(self) -> list[tuple[str, QueuedService]]:
        return sorted(self._services.items())[:MAX_SERVICES]
