"""An upstream endpoint: slots, cold starts, shedding, cancellation, deadlines and bad manners.

Any path is work but those below ``/-/``: ``GET /-/load``, ``GET /-/books``, ``PUT /-/control``
and ``DELETE /-/requests/<id>``.
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
from cardamomloft_standins.endpointstatistics import Books
from cardamomloft_standins.faults import Behaviour, changed, parse_json
from cardamomloft_standins.listener import Listener

KEPT_BODY_BYTES = 64 * 1024
GAMMA_SHAPE = 4


class EndpointSettings(t.TypedDict):
    """One endpoint; `behaviour` holds fields of `cardamomloft_standins.faults.Behaviour`."""

    name: str
    address: str
    service: str
    slots: int
    zone: str
    behaviour: t.NotRequired[dict[str, t.Any]]


class UpstreamRequest(http.Request):
    """A request whose body is counted and hashed, and not kept beyond its first bytes."""

    def __init__(self, upstream: "Upstream", *args: t.Any, **kwargs: t.Any) -> None:
        super().__init__(*args, **kwargs)
        self.upstream = upstream
        self.received = 0
        self.digest = hashlib.sha256()
        self.arrived = upstream.now()
        self.whole = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Note when the head was whole; the deadline counts from here."""
        self.content = BytesIO()
        self.arrived = self.upstream.now()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Count and hash the bytes."""
        self.received += len(data)
        self.digest.update(data)
        if self.content.tell() < KEPT_BODY_BYTES:
            self.content.write(data)

    def process(self) -> None:
        """Handle the whole request."""
        self.whole = True
        self.upstream.handle(self)

    def connectionLost(self, reason: t.Any) -> None:  # noqa: N802
        """Tell the endpoint that the caller has gone."""
        super().connectionLost(reason)
        self.upstream.lost(self)

    def header(self, name: str) -> str | None:
        """Return the value of a header, if it is there."""
        return self.getHeader(name)

    def number(self, name: str) -> float | None:
        """Return the value of a numeric header, or None without one."""
        try:
            return float(self.getHeader(name) or "")
        except ValueError:
            return None


class Run:
    """One request that holds a slot, until :meth:`Upstream.release`."""

    def __init__(self, request: UpstreamRequest) -> None:
        self.request = request
        self.id = request.header("x-request-id")
        self.timer: IDelayedCall | None = None
        self.holds_slot = True


class Upstream:
    """One endpoint with its listening socket.

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
        behaviour = changed(Behaviour(), settings.get("behaviour", {}))
        if isinstance(behaviour, str):
            raise ValueError(f"{settings['name']}: {behaviour}")
        self._reactor = reactor
        self._rng = rng
        self._runs: dict[UpstreamRequest, Run] = {}
        self._cancelled: set[str] = set()
        self._warm_from = 0
        self._warm_since = 0.0
        self.name = settings["name"]
        self.slots = settings["slots"]
        self.behaviour = behaviour
        self.books = Books(self.name, self.slots, reactor)
        self.listener = Listener(reactor, settings["address"], _Factory(self))

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return self._reactor.seconds()

    def handle(self, request: UpstreamRequest) -> None:
        """Answer an administrative request or begin work."""
        path = request.path.decode("latin-1")
        if path.startswith("/-/"):
            self.administer(request, request.method.decode(), path.removeprefix("/-/"))
        else:
            self._work(request)

    def administer(self, request: UpstreamRequest, method: str, path: str) -> None:
        """Answer a request below ``/-/``."""
        if (method, path) == ("GET", "load"):
            send(request, 200, self.load())
        elif (method, path) == ("GET", "books"):
            send(request, 200, self._figures())
        elif (method, path) == ("PUT", "control"):
            self._control(request)
        elif method == "DELETE" and path.startswith("requests/"):
            self._cancel(path.removeprefix("requests/"))
            send(request, 200, {"running": False})
        else:
            send(request, 404, {"error": "no such path"})

    def load(self) -> dict[str, t.Any]:
        """Return the load report, with its lag and its lies."""
        running = self.books.running_at(self.behaviour.load_lag_ms / 1000)
        report = {"running": running, "slots": self.slots, "state": self.state()}
        return {**report, **(self.behaviour.load_lie or {})}

    def state(self) -> str:
        """Return the forced state, or else cold until warm."""
        return self.behaviour.state or ("cold" if self._is_cold() else "ready")

    def lost(self, request: UpstreamRequest) -> None:
        """Stop the work of a caller that has gone."""
        if not request.whole:
            self.books.counts["cut_uploads"] += 1
        run = self._runs.pop(request, None)
        if run is not None and run.holds_slot:
            self.books.cut(run.id)
            self.release(run)

    def release(self, run: Run) -> None:
        """Free the slot of `run`, once."""
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if run.holds_slot:
            run.holds_slot = False
            self.books.end()

    def close(self) -> t.Any:
        """Stop all work, close the socket and cut its connections."""
        for run in list(self._runs.values()):
            self.release(run)
        self._runs.clear()
        return self.listener.close()

    def _work(self, request: UpstreamRequest) -> None:
        self.books.counts["requests"] += 1
        self.books.counts["received_bytes"] += request.received
        why = self._why_not(request)
        if why is not None:
            self.books.counts[why] += 1
            send(request, 503, {"error": why}, {"X-Not-Run": "1"})
            return
        run = self._runs[request] = Run(request)
        self.books.start(request.header("idempotency-key"))
        self._schedule(run)

    def _why_not(self, request: UpstreamRequest) -> str | None:
        if request.header("x-request-id") in self._cancelled or self._time_left(request) <= 0:
            return "not_run"
        excess = 0 if self.behaviour.shed else self.behaviour.excess
        return "shed" if self.books.running >= self.slots + excess else None

    def _schedule(self, run: Run) -> None:
        left = self._time_left(run.request)
        work = float("inf") if self.behaviour.hang else self._work_time(run.request)
        if work < left:
            run.timer = self._reactor.callLater(work, self._finish, run)
        elif left < float("inf"):
            run.timer = self._reactor.callLater(left, self._give_up, run)

    def _time_left(self, request: UpstreamRequest) -> float:
        deadline_ms = request.number("x-deadline-ms")
        if deadline_ms is None:
            return float("inf")
        return request.arrived + deadline_ms / 1000 - self.now()

    def _work_time(self, request: UpstreamRequest) -> float:
        work_ms = request.number("x-work-ms")
        if work_ms is None:
            work_ms = self._rng.gammavariate(GAMMA_SHAPE, self.behaviour.mean_ms / GAMMA_SHAPE)
        factor = self.behaviour.cold_factor if self.state() == "cold" else 1
        return work_ms * factor / 1000

    def _is_cold(self) -> bool:
        few = self.books.started - self._warm_from < self.behaviour.cold_requests
        return few or self.books.age() - self._warm_since < self.behaviour.cold_ms / 1000

    def _finish(self, run: Run) -> None:
        size = run.request.number("x-answer-bytes")
        if size is not None and run.request.method == b"GET":
            cut = self._take("cut_short")
            AnswerStream(run.request, int(size), cut, partial(self._done, run)).start()
            return
        # The slot is free before the answer leaves, so a caller that waits never sees an overshoot.
        self.release(run)
        late = self.behaviour.late_ms / 1000
        run.timer = self._reactor.callLater(late, self._echo, run) if late else None
        if not late:
            self._echo(run)

    def _echo(self, run: Run) -> None:
        self._done(run)
        send_echo(run.request, self.name, cut=self._take("cut_short"), again=self._take("twice"))

    def _give_up(self, run: Run) -> None:
        self._done(run)
        self.books.counts["deadlines"] += 1
        if not self.behaviour.hang:
            send(run.request, 504, {"error": "deadline"})

    def _done(self, run: Run) -> None:
        self.release(run)
        self._runs.pop(run.request, None)

    def _cancel(self, request_id: str) -> None:
        self._cancelled.add(request_id)
        self.books.cancelled(request_id)
        for run in [run for run in self._runs.values() if run.id == request_id]:
            self._done(run)
            if run.request.startedWriting:
                run.request.transport.abortConnection()
            elif not self.behaviour.hang:
                send(run.request, 504, {"error": "cancelled"}, {"X-Cancelled": "1"})

    def _take(self, name: str) -> bool:
        left = getattr(self.behaviour, name)
        if left <= 0:
            return False
        self.behaviour = self.behaviour._replace(**{name: left - 1})
        return True

    def _figures(self) -> dict[str, t.Any]:
        conns = self.listener.connections
        opened = {"connections_opened": conns.opened, "most_connections": conns.most}
        return {**self.books.figures(), **opened, "state": self.state()}

    def _control(self, request: UpstreamRequest) -> None:
        changes = parse_json(request.content.getvalue())
        behaviour = changed(self.behaviour, changes)
        if isinstance(behaviour, str):
            send(request, 400, {"error": behaviour})
            return
        was_refusing, self.behaviour = self.behaviour.refuse, behaviour
        if t.cast(dict, changes).get("state") == "cold":
            self._warm_from, self._warm_since = self.books.started, self.books.age()
        if behaviour.refuse and not was_refusing:
            self._refuse(request)
        elif was_refusing and not behaviour.refuse:
            self.listener.open()
        send(request, 200, behaviour._asdict())

    def _refuse(self, request: UpstreamRequest) -> None:
        for run in list(self._runs.values()):
            self._done(run)
        self.listener.close(spare=request.transport)


class _Factory(http.HTTPFactory):
    def __init__(self, upstream: Upstream) -> None:
        super().__init__(reactor=upstream._reactor)
        self._upstream = upstream

    def buildProtocol(self, addr: IPv4Address) -> t.Any:  # noqa: N802
        channel = super().buildProtocol(addr)
        channel.requestFactory = partial(UpstreamRequest, self._upstream)
        return channel

    def log(self, request: t.Any) -> None:
        """Keep no access log."""
