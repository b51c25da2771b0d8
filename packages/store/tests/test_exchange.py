"""Size limit and timeout of calls, over real sockets."""

from datetime import timedelta

from cardamomloft.store.exchange import Exchange
from twisted.internet import reactor, task
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent
from twisted.web.iweb import IAgent
from zope.interface import implementer

LIMIT = 20
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
