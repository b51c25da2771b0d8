"""Upstream endpoint stand-in: slots, cold starts, shedding, cancellation, deadlines and faults.

Administrative paths are ``GET /-/load``, ``GET /-/books``, ``PUT /-/control`` and
``DELETE /-/requests/<id>``; a request for any other path takes a slot.
"""

import hashlib
import random
import typing as t
from functools import partial
from io import BytesIO

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IDelayedCall
from twisted.web import http

from cardamomloft_standins.answers import AnswerStream, send, send_echo
from cardamomloft_standins.endpointstatistics import EndpointStatistics
from cardamomloft_standins.faults import Behaviour, apply_changes, parse_json
from cardamomloft_standins.listener import Listener

MAX_KEPT_BODY_BYTES = 64 * 1024
SERVICE_TIME_GAMMA_SHAPE = 4


class EndpointSettings(t.TypedDict):
    """Settings of an endpoint; `behaviour` holds fields of :class:`~.faults.Behaviour`."""

    name: str
    address: str
    service: str
    slots: int
    zone: str
    behaviour: t.NotRequired[dict[str, t.Any]]


class UpstreamRequest(http.Request):
    """A request whose body is counted and hashed; only its beginning is kept in memory."""

    def __init__(self, upstream: "Upstream", *args: t.Any, **kwargs: t.Any) -> None:
        super().__init__(*args, **kwargs)
        self.upstream = upstream
        self.received = 0
        self.digest = hashlib.sha256()
        self.arrived_at = upstream.now()
        self.is_complete = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Record the arrival of the head, from which the deadline counts."""
        self.content = BytesIO()
        self.arrived_at = self.upstream.now()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Count and hash a chunk of the body."""
        self.received += len(data)
        self.digest.update(data)
        if self.content.tell() < MAX_KEPT_BODY_BYTES:
            self.content.write(data)

    def process(self) -> None:
        """Pass the complete request to the endpoint."""
        self.is_complete = True
        self.upstream.handle(self)

    def connectionLost(self, reason: t.Any) -> None:  # noqa: N802
        """Notify the endpoint that the caller has disconnected."""
        super().connectionLost(reason)
        self.upstream.caller_disconnected(self)

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self.getHeader(name)

    def number(self, name: str) -> float | None:
        """Return the value of a numeric header, or None if it is missing or invalid."""
        try:
            return float(self.getHeader(name) or "")
        except ValueError:
            return None


class RunningRequest:
    """An accepted request; it holds a slot until :meth:`Upstream.release`."""

    def __init__(self, request: UpstreamRequest) -> None:
        self.request = request
        self.id = request.header("x-request-id")
        self.timer: IDelayedCall | None = None
        self.holds_slot = True


class Upstream:
    """An upstream endpoint with its listening socket.

    Parameters
    ----------
    reactor
        Opens the socket and measures time.
    settings
        Name, address, slots and behaviour.
    rng
        Draws service times.
    """

    def __init__(self, reactor: t.Any, settings: EndpointSettings, rng: random.Random) -> None:
        behaviour = apply_changes(Behaviour(), settings.get("behaviour", {}))
        if isinstance(behaviour, str):
            raise ValueError(f"{settings['name']}: {behaviour}")
        self._reactor = reactor
        self._rng = rng
        self._running_requests: dict[UpstreamRequest, RunningRequest] = {}
        self._cancelled: set[str] = set()
        self._cold_start_count = 0
        self._cold_start_age = 0.0
        self.name = settings["name"]
        self.slots = settings["slots"]
        self.behaviour = behaviour
        self.statistics = EndpointStatistics(self.name, self.slots, reactor)
        self.listener = Listener(reactor, settings["address"], _Factory(self))

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return self._reactor.seconds()

    def handle(self, request: UpstreamRequest) -> None:
        """Answer an administrative request, or run any other request."""
        path = request.path.decode("latin-1")
        if path.startswith("/-/"):
            self.administer(request, request.method.decode(), path.removeprefix("/-/"))
        else:
            self._accept(request)

    def administer(self, request: UpstreamRequest, method: str, path: str) -> None:
        """Answer a request for a path below ``/-/``."""
        if (method, path) == ("GET", "load"):
            send(request, 200, self.load())
        elif (method, path) == ("GET", "books"):
            send(request, 200, self._statistics_json())
        elif (method, path) == ("PUT", "control"):
            self._control(request)
        elif method == "DELETE" and path.startswith("requests/"):
            self._cancel(path.removeprefix("requests/"))
            send(request, 200, {"running": False})
        else:
            send(request, 404, {"error": "no such path"})

    def load(self) -> dict[str, t.Any]:
        """Return the load report, with the configured lag and false values applied."""
        running = self.statistics.running_at(self.behaviour.load_lag_ms / 1000)
        report = {"running": running, "slots": self.slots, "state": self.state()}
        return {**report, **(self.behaviour.load_lie or {})}

    def state(self) -> str:
        """Return the configured state; by default ``cold`` until warmed up, then ``ready``."""
        return self.behaviour.state or ("cold" if self._is_cold() else "ready")

    def caller_disconnected(self, request: UpstreamRequest) -> None:
        """Stop the request of a caller that has disconnected."""
        if not request.is_complete:
            self.statistics.counts["cut_uploads"] += 1
        run = self._running_requests.pop(request, None)
        if run is not None and run.holds_slot:
            self.statistics.record_abort(run.id)
            self.release(run)

    def release(self, run: RunningRequest) -> None:
        """Release the slot of `run`; has no effect if it is already released."""
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if run.holds_slot:
            run.holds_slot = False
            self.statistics.record_end()

    def close(self) -> t.Any:
        """Stop all requests, close the socket and abort its connections."""
        for run in list(self._running_requests.values()):
            self.release(run)
        self._running_requests.clear()
        return self.listener.close()

    def _accept(self, request: UpstreamRequest) -> None:
        self.statistics.counts["requests"] += 1
        self.statistics.counts["received_bytes"] += request.received
        reason = self._rejection_reason(request)
        if reason is not None:
            self.statistics.counts[reason] += 1
            send(request, 503, {"error": reason}, {"X-Not-Run": "1"})
            return
        run = self._running_requests[request] = RunningRequest(request)
        self.statistics.record_start(request.header("idempotency-key"))
        self._schedule(run)

    def _rejection_reason(self, request: UpstreamRequest) -> str | None:
        if request.header("x-request-id") in self._cancelled or self._time_left(request) <= 0:
            return "not_run"
        excess = 0 if self.behaviour.shed else self.behaviour.excess
        return "shed" if self.statistics.running >= self.slots + excess else None

    def _schedule(self, run: RunningRequest) -> None:
        time_left = self._time_left(run.request)
        service_time = float("inf") if self.behaviour.hang else self._service_time(run.request)
        if service_time < time_left:
            run.timer = self._reactor.callLater(service_time, self._finish, run)
        elif time_left < float("inf"):
            run.timer = self._reactor.callLater(time_left, self._expire, run)

    def _time_left(self, request: UpstreamRequest) -> float:
        deadline_ms = request.number("x-deadline-ms")
        if deadline_ms is None:
            return float("inf")
        return request.arrived_at + deadline_ms / 1000 - self.now()

    def _service_time(self, request: UpstreamRequest) -> float:
        work_ms = request.number("x-work-ms")
        if work_ms is None:
            work_ms = self._rng.gammavariate(
                SERVICE_TIME_GAMMA_SHAPE, self.behaviour.mean_ms / SERVICE_TIME_GAMMA_SHAPE
            )
        factor = self.behaviour.cold_factor if self.state() == "cold" else 1
        return work_ms * factor / 1000

    def _is_cold(self) -> bool:
        too_few_requests = (
            self.statistics.started - self._cold_start_count < self.behaviour.cold_requests
        )
        return (
            too_few_requests
            or self.statistics.age() - self._cold_start_age < self.behaviour.cold_ms / 1000
        )

    def _finish(self, run: RunningRequest) -> None:
        size = run.request.number("x-answer-bytes")
        if size is not None and run.request.method == b"GET":
            truncate = self._consume_fault("cut_short")
            AnswerStream(run.request, int(size), truncate, partial(self._done, run)).start()
            return
        # Release the slot first: a caller may send its next request once it has the answer.
        self.release(run)
        late_s = self.behaviour.late_ms / 1000
        run.timer = self._reactor.callLater(late_s, self._echo, run) if late_s else None
        if not late_s:
            self._echo(run)

    def _echo(self, run: RunningRequest) -> None:
        self._done(run)
        send_echo(
            run.request,
            self.name,
            truncate=self._consume_fault("cut_short"),
            duplicate=self._consume_fault("twice"),
        )

    def _expire(self, run: RunningRequest) -> None:
        self._done(run)
        self.statistics.counts["deadlines"] += 1
        if not self.behaviour.hang:
            send(run.request, 504, {"error": "deadline"})

    def _done(self, run: RunningRequest) -> None:
        self.release(run)
        self._running_requests.pop(run.request, None)

    def _cancel(self, request_id: str) -> None:
        self._cancelled.add(request_id)
        self.statistics.record_cancellation(request_id)
        for run in [run for run in self._running_requests.values() if run.id == request_id]:
            self._done(run)
            if run.request.startedWriting:
                run.request.transport.abortConnection()
            elif not self.behaviour.hang:
                send(run.request, 504, {"error": "cancelled"}, {"X-Cancelled": "1"})

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.behaviour, name)
        if remaining <= 0:
            return False
        self.behaviour = self.behaviour._replace(**{name: remaining - 1})
        return True

    def _statistics_json(self) -> dict[str, t.Any]:
        connections = self.listener.connections
        connection_counts = {
            "connections_opened": connections.opened,
            "most_connections": connections.max_open,
        }
        return {**self.statistics.to_json(), **connection_counts, "state": self.state()}

    def _control(self, request: UpstreamRequest) -> None:
        changes = parse_json(request.content.getvalue())
        behaviour = apply_changes(self.behaviour, changes)
        if isinstance(behaviour, str):
            send(request, 400, {"error": behaviour})
            return
        was_refusing, self.behaviour = self.behaviour.refuse, behaviour
        if t.cast(dict, changes).get("state") == "cold":
            self._cold_start_count, self._cold_start_age = (
                self.statistics.started,
                self.statistics.age(),
            )
        if behaviour.refuse and not was_refusing:
            self._refuse(request)
        elif was_refusing and not behaviour.refuse:
            self.listener.open()
        send(request, 200, behaviour._asdict())

    def _refuse(self, request: UpstreamRequest) -> None:
        for run in list(self._running_requests.values()):
            self._done(run)
        self.listener.close(keep=request.transport)


class _Factory(http.HTTPFactory):
    def __init__(self, upstream: Upstream) -> None:
        super().__init__(reactor=upstream._reactor)
        self._upstream = upstream

    def buildProtocol(self, addr: IPv4Address) -> t.Any:  # noqa: N802
        channel = super().buildProtocol(addr)
        channel.requestFactory = partial(UpstreamRequest, self._upstream)
        return channel

    def log(self, request: t.Any) -> None:
        """Write no access log."""
