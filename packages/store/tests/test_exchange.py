"""Size limit and timeout of calls, and malformed answers, over real sockets."""

import itertools
from datetime import timedelta

from cardamomloft.store.exchange import Exchange
from cardamomloft_standins.rawanswers import CLOSE, KEEP, RESET, RawServer, Script
from twisted.internet import reactor, task
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent
from twisted.web.iweb import IAgent
from zope.interface import implementer

LIMIT = 20

MAX_SENT = 16_000_000
"""Bytes that fit into the buffers of a connection."""

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"


async def until(condition):
    """Run the reactor until the condition holds, or until the test times out."""
    while not condition():
        await task.deferLater(reactor, 0)


class FixedAnswer(Protocol):
    """Answers with fixed bytes and leaves the connection open."""

    def dataReceived(self, data):  # noqa: N802
        self.transport.write(self.factory.answer)

    def connectionLost(self, reason):  # noqa: N802
        self.factory.lost += 1


@implementer(IAgent)
class CountingAgent:
    """Counts the answers whose head has been received."""

    def __init__(self):
        self.heads = 0
        self._agent = Agent(reactor)

    def request(self, *args):
        return self._agent.request(*args).addCallback(self._count)

    def _count(self, response):
        self.heads += 1
        return response


class ExchangeTest(TestCase):
    timeout = 20

    def setUp(self):
        self.clock = task.Clock()
        self.factory = Factory.forProtocol(FixedAnswer)
        self.factory.lost = 0
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)
        self.agent = CountingAgent()
        self.exchange = Exchange(
            self.clock,
            f"127.0.0.1:{self.port.getHost().port}",
            max_answer_bytes=LIMIT,
            agent=self.agent,
        )

    def call(self, answer):
        self.factory.answer = answer
        return self.exchange.call("PUT", "/", timeout=timedelta(seconds=2))

    async def test_answer_above_the_size_limit_fails_and_closes_its_connection(self):
        outcome = await self.call(HEAD + b"x" * (LIMIT + 1))
        self.assertIn("longer than 20 bytes", outcome.error.detail)
        self.assertTrue(outcome.error.too_long)
        self.assertTrue(outcome.error.sent)
        await until(lambda: self.factory.lost == 1)

    async def test_stalled_answer_fails_at_the_timeout_and_closes_its_connection(self):
        called = self.call(HEAD + b"x" * LIMIT)
        await until(lambda: self.agent.heads == 1)
        self.clock.advance(2)
        outcome = await called
        self.assertIn("TimeoutError", outcome.error.detail)
        self.assertTrue(outcome.error.sent)
        await until(lambda: self.factory.lost == 1)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
MALFORMED = [
    *(OK.replace(b"200", code) for code in (b"000", b"2", b"600", b"+200", b"0200")),
    OK.replace(b"HTTP/1.1", b"HTTP/2.0"),
    OK.replace(b"\r\n\r\n", b"\r\nX Y: z\r\n\r\n"),
    OK.replace(b"\r\n\r\n", b"\r\nX: \x00\r\n\r\n"),
    CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0"),
    CHUNKED.replace(b"chunked", b"chunked\r\nContent-Length: 2"),
    CHUNKED[:-2] + b"no field\r\n\r\n",
]


class MalformedAnswerTest(TestCase):
    timeout = 60

    def setUp(self):
        self.server = RawServer(Script(OK, end=KEEP))
        self.addCleanup(self.server.close)
        self.exchange = Exchange(reactor, self.server.address, max_answer_bytes=LIMIT)
        self.addCleanup(self.exchange.close)

    def call(self, path="/", method="GET"):
        return self.exchange.call(method, path, timeout=timedelta(seconds=10))

    async def test_malformed_answer_fails_the_call_which_may_have_taken_effect(self):
        for number, data in enumerate(MALFORMED):
            path = f"/{number}"
            self.server.scripts[path] = Script(data, end=KEEP)
            outcome = await self.call(path, "PUT")
            self.assertTrue(outcome.is_error(), data)
            self.assertTrue(outcome.error.sent)
            self.assertIn("MalformedAnswerError", outcome.error.detail)

    async def test_answer_that_stops_anywhere_fails_the_call(self):
        """Guards against answers with an empty or short body whose head never arrived whole."""
        for data, end in itertools.product((OK, CHUNKED), (CLOSE, RESET)):
            for size in range(len(data)):
                path = f"/cut/{len(data)}/{end}/{size}"
                self.server.scripts[path] = Script(data[:size], end=end)
                outcome = await self.call(path)
                self.assertTrue(outcome.is_error(), (data[:size], end))

    async def test_call_after_a_malformed_answer_succeeds(self):
        self.server.scripts["/bad"] = Script(MALFORMED[0], end=KEEP)
        await self.call("/bad")
        self.assertEqual((await self.call()).ok.body, b"{}")

    async def test_head_without_end_is_given_up_before_it_takes_memory(self):
        for data in (b"X: y\r\n" * 1_000, b"y" * 10_000, b"HTTP/1.1 102 Wait\r\n\r\n" * 500):
            begin = b"" if data.startswith(b"HTTP") else b"HTTP/1.1 200 OK\r\nX: "
            self.server.scripts["/endless"] = Script(begin, endless=data)
            self.server.endless_bytes = 0
            outcome = await self.call("/endless")
            self.assertIn("beyond", outcome.error.detail)
            await until(lambda: not self.server.open_connections)
            self.assertLess(self.server.endless_bytes, MAX_SENT)

    async def test_bytes_after_an_answer_are_not_taken_for_the_next_one(self):
        self.server.scripts["/more"] = Script(OK + OK.replace(b"{}", b"no"), end=KEEP)
        self.server.scripts["/late"] = Script(OK, pause=0.2, late=OK, end=KEEP)
        for path in ("/more", "/late"):
            self.assertTrue((await self.call(path)).is_ok())
            used = self.server.connections
            await task.deferLater(reactor, 0.5)
            self.assertEqual((await self.call()).ok.body, b"{}")
            self.assertEqual(self.server.connections, used + 1)
            await self.exchange.close()
