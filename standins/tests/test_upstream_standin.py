import json
import random
from types import SimpleNamespace

import treq
from cardamomloft_standins.answers import CHUNK_BYTES, AnswerStream, pattern
from cardamomloft_standins.control import ControlFactory
from cardamomloft_standins.listener import Listener
from cardamomloft_standins.upstream import Upstream
from twisted.internet import defer, error, reactor, task
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent, ResponseFailed, ResponseNeverReceived

WORK_S = 1.0
SLOW_REQUEST = {"X-Work-Ms": str(WORK_S * 1000)}


async def until(condition):
    """Let the reactor run until `condition` holds; the test's timeout bounds the wait."""
    while not condition():
        await task.deferLater(reactor, 0)


class Collector(Protocol):
    """Collects all bytes received on a connection."""

    def __init__(self):
        self.received = b""
        self.closed = False

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason=connectionDone):  # noqa: N802
        self.closed = True


class AnswerStreamTest(TestCase):
    """The order of events inside the endpoint, which a client cannot observe reliably."""

    def test_the_slot_is_released_before_the_last_chunk_is_written(self):
        events = []
        request = SimpleNamespace(
            setHeader=lambda name, value: None,
            getHeader=lambda name: None,
            write=lambda chunk: events.append(len(chunk)),
            unregisterProducer=lambda: None,
            finish=lambda: events.append("finish"),
        )
        stream = AnswerStream(request, CHUNK_BYTES + 1, False, lambda: events.append("free"))
        stream.resumeProducing()
        stream.resumeProducing()
        self.assertEqual(events, [CHUNK_BYTES, "free", 1, "finish"])


class UpstreamTest(TestCase):
    """An endpoint on real sockets, with the timers on a manual clock."""

    timeout = 20

    def setUp(self):
        self.clock = task.Clock()
        mixed = SimpleNamespace(
            listenTCP=reactor.listenTCP, seconds=self.clock.seconds, callLater=self.clock.callLater
        )
        settings = {"name": "pay-1", "address": "127.0.0.1:0", "service": "pay", "zone": "a"}
        self.upstream = Upstream(mixed, {**settings, "slots": 2}, random.Random(3))
        self.control = Listener(mixed, "127.0.0.1:0", ControlFactory([self.upstream], mixed))
        self.upstream.listener.open()
        self.control.open()
        self.client = treq.client.HTTPClient(Agent(reactor))

    async def tearDown(self):
        await self.upstream.close()
        await self.control.close()
        conns = [self.upstream.listener.connections, self.control.connections]
        await until(lambda: not any(conn.protocols for conn in conns))

    @property
    def statistics(self):
        return self.upstream.statistics.to_json()

    def send(self, method="POST", path="/pay", headers=None, data=None):
        url = f"http://{self.upstream.listener.address}{path}"
        return self.client.request(method, url, headers=headers or {}, data=data, unbuffered=True)

    async def set(self, **changes):
        url = f"http://{self.control.address}/pay-1/-/control"
        answer = await self.client.put(url, data=json.dumps(changes).encode())
        await answer.content()
        return answer.code

    async def start(self, running, **headers):
        """Send a request that takes `WORK_S` and wait until `running` requests run."""
        sent = self.send(headers={**SLOW_REQUEST, **headers})
        await until(lambda: self.statistics["running"] == running)
        return sent

    async def test_echoes_what_it_received_and_counts_runs_by_key(self):
        body = b"box of patties" * 10_000
        headers = {"Idempotency-Key": "op-1", "X-Request-Id": "r1"}
        sent = await self.start(1, **headers)
        self.clock.advance(WORK_S)
        await (await sent).content()
        self.assertEqual(self.statistics["runs"], {"op-1": 1})
        repeated = self.send(headers={**SLOW_REQUEST, **headers}, data=body)
        await until(lambda: self.statistics["running"] == 1)
        self.clock.advance(WORK_S)
        answer = await repeated
        echo = await answer.json()
        self.assertEqual((echo["received"], echo["key"]), (len(body), "op-1"))
        self.assertEqual(answer.headers.getRawHeaders("X-Request-Id"), ["r1"])
        self.assertEqual(self.statistics["runs"], {"op-1": 2})
        self.assertEqual(self.statistics["last_start_ms"], WORK_S * 1000)

    async def test_requests_beyond_the_slots_are_counted_and_shed_beyond_the_excess(self):
        sent = [await self.start(running) for running in (1, 2, 3, 4)]
        shed = await self.send(headers=SLOW_REQUEST)
        self.assertEqual(shed.code, 503)
        self.assertEqual(shed.headers.getRawHeaders("X-Not-Run"), ["1"])
        self.clock.advance(WORK_S)
        self.assertEqual([answer.code for answer in await defer.gatherResults(sent)], [200] * 4)
        self.assertEqual((self.statistics["most_running"], self.statistics["shed"]), (4, 1))

    async def test_a_shedding_endpoint_never_runs_more_than_its_slots(self):
        await self.set(shed=True)
        sent = [await self.start(running) for running in (1, 2)]
        self.assertEqual((await self.send(headers=SLOW_REQUEST)).code, 503)
        self.clock.advance(WORK_S)
        await defer.gatherResults(sent)
        self.assertEqual((self.statistics["most_running"], self.statistics["started"]), (2, 2))

    async def test_stops_at_the_deadline_and_releases_the_slot(self):
        sent = await self.start(1, **{"X-Deadline-Ms": "400", "Idempotency-Key": "op"})
        self.clock.advance(0.4)
        self.assertEqual((await sent).code, 504)
        self.assertEqual((self.statistics["running"], self.statistics["runs"]), (0, {"op": 1}))
        late = await self.send(headers={"X-Deadline-Ms": "0"})
        self.assertEqual(late.headers.getRawHeaders("X-Not-Run"), ["1"])

    async def test_a_cancelled_request_stops_and_one_that_arrives_later_is_not_run(self):
        sent = await self.start(1, **{"X-Request-Id": "r1"})
        confirmed = await self.send("DELETE", "/-/requests/r1")
        self.assertEqual(await confirmed.json(), {"running": False})
        self.assertEqual(self.statistics["running"], 0)
        self.assertEqual((await sent).headers.getRawHeaders("X-Cancelled"), ["1"])
        overtaken = await self.send(headers={"X-Request-Id": "r1"})
        self.assertEqual(overtaken.headers.getRawHeaders("X-Not-Run"), ["1"])
        self.assertEqual((self.statistics["started"], self.statistics["cut_off"]), (1, 0))

    async def test_a_disconnect_counts_as_cut_off_unless_the_request_is_also_cancelled(self):
        sent = await self.start(1, **{"X-Request-Id": "r1"})
        sent.cancel()
        await self.assertFailure(sent, ResponseNeverReceived, defer.CancelledError)
        await until(lambda: self.statistics["running"] == 0)
        self.assertEqual(self.statistics["cut_off"], 1)
        await (await self.send("DELETE", "/-/requests/r1")).content()
        self.assertEqual(self.statistics["cut_off"], 0)

    async def test_a_streamed_answer_is_complete_and_holds_its_slot_until_the_last_bytes(self):
        size = 3_000_000
        sent = self.send("GET", headers={**SLOW_REQUEST, "X-Answer-Bytes": str(size)})
        await until(lambda: self.statistics["running"] == 1)
        self.clock.advance(WORK_S)
        answer = await sent
        self.assertEqual(self.statistics["running"], 1)
        body = await answer.content()
        self.assertEqual((len(body), self.statistics["running"]), (size, 0))
        self.assertEqual(body[-1000:], pattern(size - 1000, 1000))

    async def test_truncated_answers_announce_more_than_they_send(self):
        await self.set(cut_short=2)
        for headers in (SLOW_REQUEST, {**SLOW_REQUEST, "X-Answer-Bytes": "200000"}):
            sent = self.send("GET", headers=headers)
            await until(lambda: self.statistics["running"] == 1)
            self.clock.advance(WORK_S)
            await self.assertFailure((await sent).content(), ResponseFailed)

    async def test_a_duplicated_answer_is_sent_twice_on_the_same_connection(self):
        await self.set(twice=1)
        host, _, port = self.upstream.listener.address.rpartition(":")
        raw = await connectProtocol(TCP4ClientEndpoint(reactor, host, int(port)), Collector())
        raw.transport.write(b"GET /pay HTTP/1.1\r\nHost: x\r\nX-Work-Ms: 0\r\n\r\n")
        await until(lambda: self.clock.getDelayedCalls() and self.statistics["running"])
        self.clock.advance(0)
        await until(lambda: raw.received.count(b"HTTP/1.1 200 OK") == 2)
        first, _, second = raw.received[1:].partition(b"HTTP/1.1 200 OK")
        self.assertTrue(first.endswith(second.rpartition(b"\r\n")[2]))
        raw.transport.loseConnection()
        await until(lambda: raw.closed)

    async def test_a_hung_endpoint_runs_and_never_answers(self):
        await self.set(hang=True)
        sent = await self.start(1, **{"X-Deadline-Ms": "5000", "Idempotency-Key": "op"})
        outcomes = []
        sent.addBoth(outcomes.append)
        self.clock.advance(4.9)
        self.assertEqual(self.statistics["running"], 1)
        self.clock.advance(0.2)
        self.assertEqual((self.statistics["running"], self.statistics["runs"]), (0, {"op": 1}))
        await (await self.send("GET", "/-/load")).content()
        self.assertEqual(outcomes, [])

    async def test_a_late_answer_is_sent_after_its_slot_is_released(self):
        await self.set(late_ms=3000)
        sent = await self.start(1)
        codes = []
        sent.addCallback(lambda answer: codes.append(answer.code))
        self.clock.advance(WORK_S)
        await (await self.send("GET", "/-/load")).content()
        self.assertEqual((self.statistics["running"], codes), (0, []))
        self.clock.advance(3)
        await sent
        self.assertEqual(codes, [200])

    async def test_refuses_connections_like_a_dead_process_until_it_listens_again(self):
        sent = await self.start(1)
        await self.set(refuse=True)
        await self.assertFailure(sent, ResponseNeverReceived)
        await self.assertFailure(self.send(), error.ConnectionRefusedError)
        self.assertEqual((self.statistics["running"], self.statistics["cut_off"]), (0, 0))
        await self.set(refuse=False)
        self.assertEqual((await self.send("GET", "/-/load")).code, 200)

    async def test_load_reports_are_late_and_false_when_configured(self):
        await self.set(load_lag_ms=2000)
        sent = await self.start(1)
        self.assertEqual(self.upstream.load()["running"], 0)
        self.clock.advance(WORK_S)
        await sent
        self.clock.advance(1.5)
        self.assertEqual(self.upstream.load()["running"], 1)
        await self.set(load_lag_ms=0, load_lie={"running": 0, "slots": 90}, state="draining")
        report = await (await self.send("GET", "/-/load")).json()
        self.assertEqual(report, {"running": 0, "slots": 90, "state": "draining"})

    async def test_a_cold_endpoint_is_slower_until_it_has_run_some_requests(self):
        await self.set(cold_requests=2, cold_factor=3, state=None)
        self.assertEqual(self.upstream.state(), "cold")
        sent = [await self.start(1), await self.start(2)]
        self.assertEqual(self.upstream.state(), "ready")
        self.clock.advance(WORK_S)
        self.assertEqual(self.statistics["running"], 1)
        self.clock.advance(2 * WORK_S)
        await defer.gatherResults(sent)
        self.assertEqual(self.statistics["running"], 0)

    async def test_control_refuses_a_misspelt_name(self):
        before = self.upstream.behaviour
        self.assertEqual(await self.set(hangs=True), 400)
        self.assertEqual(self.upstream.behaviour, before)
