"""A connection to an endpoint that is lost at any step of an exchange settles it, over sockets."""

import itertools
import typing as t
from datetime import timedelta

from cardamomloft.core.model import Endpoint
from cardamomloft.upstreams import client as client_module
from cardamomloft.upstreams import exchange as exchange_module
from cardamomloft.upstreams.body import AnswerBody
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.sends import UpstreamRequest
from cardamomloft_standins.rawanswers import CLOSE, RESET, RawServer, Script
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

STEPS = ("head", "body", "request", "answer head", "answer begun", "answer body", "answer")
"""What has been received, or sent, when the connection is lost."""

LOSSES = ("reset", "close", "half-close", "stall")
BODIES = {"none": None, "small": b"x" * 900, "large": b"x" * 6_000_000}
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b"y" * 400
ANSWER_PARTS = {
    "answer head": ANSWER[:17],
    "answer begun": ANSWER[:-400],
    "answer body": ANSWER[:-200],
    "answer": ANSWER,
}
TIMEOUT_S = 0.25
PATIENCE_S = 2.0
"""Time in which an exchange must be settled, beyond its own time limit."""


class Server(Protocol):
    """Answers the requests on a connection until the one at which it is lost."""

    def connectionMade(self) -> None:  # noqa: N802
        self.received = bytearray()
        self.requests = 0
        self.factory.open.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        head, separator, body = bytes(self.received).partition(b"\r\n\r\n")
        if not separator:
            return
        is_last = self.requests == self.factory.answered
        if is_last and self.factory.step == "head":
            self.lose()
            return
        length = next(
            (int(x[15:]) for x in head.split(b"\r\n") if x.lower().startswith(b"content-length:")),
            0,
        )
        if is_last and self.factory.step == "body" and (body or not length):
            self.lose()
        elif len(body) >= length:
            self.received.clear()
            self.requests += 1
            if not is_last:
                self.transport.write(ANSWER)
                return
            self.transport.write(ANSWER_PARTS.get(self.factory.step, b""))
            self.lose()

    def lose(self) -> None:
        """End the connection, or read and send nothing more."""
        match self.factory.loss:
            case "reset":
                self.transport.abortConnection()
            case "close":
                self.transport.loseConnection()
            case "half-close":
                self.transport.loseWriteConnection()
            case "stall":
                self.transport.pauseProducing()


class LostConnections(TestCase):
    """Each step of an exchange, each loss, each body; the first one on its connection or not."""

    timeout = 110

    def setUp(self) -> None:
        self.factory = ServerFactory.forProtocol(Server)
        self.factory.open = []
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.client = UpstreamClient(reactor)

    @inlineCallbacks
    def tearDown(self) -> t.Iterator["Deferred[t.Any]"]:
        yield self.client.close()
        self.disconnect()
        yield self.port.stopListening()
        yield deferLater(reactor, 0.1, lambda: None)

    def disconnect(self) -> None:
        for server in self.factory.open:
            server.transport.abortConnection()
        self.factory.open.clear()

    def send(self, body: bytes | None, timeout_s: float) -> "Deferred[t.Any]":
        address = f"127.0.0.1:{self.port.getHost().port}"
        endpoint = Endpoint("u1", "menus", "a", "east", address, 4, 360)
        method = "GET" if body is None else "POST"
        req = UpstreamRequest(
            endpoint, method, "/x", (), body, timedelta(seconds=timeout_s), "r1", True
        )
        result = self.client.send(req)
        return result.addCallback(self.receive)

    def receive(self, outcome: t.Any) -> t.Any:
        """Read the answer's body; its delivery tells whether it is whole."""
        if outcome.is_error():
            return outcome.error.detail
        body: AnswerBody = outcome.ok.body
        return body.collect(10_000).addCallback(lambda raw: raw.is_ok() or raw.error)

    @inlineCallbacks
    def run_one(self, step: str, loss: str, earlier: str, last: str) -> t.Iterator["Deferred[str]"]:
        """Send one or two requests on a connection; return what is wrong at the end, or ""."""
        self.factory.step, self.factory.loss = step, loss
        self.factory.answered = 0 if earlier == "nothing" else 1
        if self.factory.answered:
            assert (yield self.send(BODIES[earlier], 5.0)) is True
        # Nothing stalls after a whole answer.
        waits = loss == "stall" and step != "answer"
        pending = self.send(BODIES[last], TIMEOUT_S if waits else 5.0)
        settled: list[t.Any] = []
        pending.addBoth(settled.append)
        for _ in range(int((PATIENCE_S + (TIMEOUT_S if waits else 5.0)) / 0.01)):
            if settled:
                break
            yield deferLater(reactor, 0.01, lambda: None)
        wrong = ""
        if not settled:
            wrong = "not settled"
        elif settled[0] is not True and not isinstance(settled[0], str):
            wrong = f"settled with {settled[0]}"
        elif step == "answer" and loss != "reset" and settled[0] is not True:
            wrong = f"a whole answer got lost: {settled[0]}"
        if self.client.in_flight or self.client.exchanges:
            wrong += f" in flight: {dict(self.client.in_flight)}"
        self.disconnect()
        yield deferLater(reactor, 0.01, lambda: None)
        self.client.close_idle(f"127.0.0.1:{self.port.getHost().port}")
        return wrong

    @inlineCallbacks
    def check(self, loss: str) -> t.Iterator["Deferred[t.Any]"]:
        found = {}
        for case in itertools.product(STEPS, ("nothing", "none", "small", "large"), BODIES):
            step, earlier, last = case
            wrong = yield self.run_one(step, loss, earlier, last)
            if wrong:
                found[case] = wrong
        assert not found, (len(found), found)

    def test_reset_connection_settles_its_exchange(self):
        """Guards against requests without an answer whose endpoint resets a used connection."""
        return self.check("reset")

    def test_closed_connection_settles_its_exchange(self):
        """Guards against requests without an answer whose endpoint closes a used connection."""
        return self.check("close")

    def test_half_closed_connection_settles_its_exchange(self):
        return self.check("half-close")

    def test_connection_that_stalls_until_the_deadline_settles_its_exchange(self):
        return self.check("stall")

    @inlineCallbacks
    def test_control_answer_that_stops_inside_its_head_is_a_failure(self):
        """Guards against load reports and cancellations by an answer that never arrived whole."""
        server = RawServer(Script(b""), id_field="x-none")
        self.addCleanup(server.close)
        endpoint = Endpoint("u1", "menus", "a", "east", server.address, 4, 360)
        load = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        found = []
        for size, end in itertools.product(range(len(load)), (CLOSE, RESET)):
            server.default = Script(load[:size], end=end)
            polled = yield self.client.poll(endpoint)
            cancelled = yield self.client.cancel(endpoint, "r1")
            if polled.is_ok() or cancelled:
                found.append((load[:size], end))
        assert not found

    @inlineCallbacks
    def test_exception_while_a_connection_ends_settles_its_exchange_and_is_logged(self):
        """Guards against an exception between a failure and its settling, whatever raises it."""
        lines: list[dict[str, t.Any]] = []
        self.patch(client_module, "log", lambda event, **row: lines.append({"event": event, **row}))
        self.patch(exchange_module.Attempt, "abort", lambda attempt: 1 / 0)
        found = {}
        for step, loss, last in itertools.product(("head", "answer body"), LOSSES, BODIES):
            wrong = yield self.run_one(step, loss, "nothing", last)
            if wrong:
                found[step, loss, last] = wrong
        assert not found, found
        assert [line["event"] for line in lines] == ["exchange-fault"]
        assert "ZeroDivisionError" in lines[0]["detail"]
