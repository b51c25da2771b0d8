"""The store client against the stand-in store, with injected faults."""

import json
from datetime import timedelta
from itertools import count

import pytest
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import MAX_VALUE_BYTES, CallKind, HttpStore, Record, WatchResult
from cardamomloft_standins.keyvalue import KeyValues
from cardamomloft_standins.listener import Listener
from cardamomloft_standins.store import Store
from expression import Ok
from twisted.internet import reactor, task
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent
from twisted.web.resource import Resource
from twisted.web.server import Site

TTL = timedelta(seconds=10)
WAIT = timedelta(seconds=30)
KEY = "config/current"


async def until(condition):
    """Run the reactor until the condition holds, or until the test times out."""
    while not condition():
        await task.deferLater(reactor, 0)


class Recorder(Resource):
    """Forwards requests and records them with their answers."""

    isLeaf = True  # noqa: N815

    def __init__(self, inner):
        super().__init__()
        self._inner = inner
        self.session = []

    def render(self, request):
        request_line = f"{request.method.decode()} {request.uri.decode()}"
        body = request.content.read().decode()
        request.content.seek(0)
        exchange = {
            "asked": request_line,
            "body": body,
            "status": None,
            "index": None,
            "answered": "",
        }
        self.session.append(exchange)
        write = request.write

        def record(data):
            exchange["status"] = request.code
            exchange["index"] = request.responseHeaders.getRawHeaders("X-Consul-Index")
            exchange["answered"] += data.decode()
            write(data)

        request.write = record
        return self._inner.render(request)


class HttpStoreTest(TestCase):
    """Uses real sockets; the store's time and the client's timeouts follow `self.clock`."""

    timeout = 20

    @pytest.fixture(autouse=True)
    def keep_snapshot(self, snapshot):
        self.snapshot = snapshot

    def setUp(self):
        self.clock = task.Clock()
        ids = count(1)
        values = KeyValues(self.clock, new_id=lambda: f"lease-{next(ids)}")
        self.standin = Store(self.clock, self.refuse, values=values)
        self.recorder = Recorder(self.standin.app.resource())
        self.listener = Listener(reactor, "127.0.0.1:0", Site(self.recorder))
        self.listener.open()
        self.store = self.client()

    async def tearDown(self):
        self.standin.close()
        await self.listener.close()
        await until(lambda: not self.listener.connections.protocols)

    def client(self):
        return HttpStore(self.clock, self.listener.address, agent=Agent(reactor))

    def refuse(self, refusing, transport):
        self.closed = self.listener.close() if refusing else self.listener.open()

    def set_faults(self, **faults):
        self.standin.faults = self.standin.faults._replace(**faults)
        self.standin.values.lag = timedelta(milliseconds=self.standin.faults.lag_ms)

    async def wait_for_calls(self, kind, number):
        await until(lambda: self.standin._calls[kind] == number)

    async def read(self, key):
        return (await self.store.get(key)).ok

    async def test_golden_session(self):
        store = self.store
        await store.get(KEY)
        await store.compare_and_swap(KEY, b'{"number": 1}', 0)
        await store.compare_and_swap(KEY, b'{"number": 1, "who": "late"}', 0)
        found = (await store.watch(KEY, 0, WAIT)).ok
        waiting = store.watch(KEY, found.index, WAIT)
        await self.wait_for_calls("watch", 1)
        await store.compare_and_swap(KEY, b'{"number": 2}', found.record.version)
        await waiting
        lease = (await store.create_lease(TTL)).ok
        await store.acquire("steward/kingston", b"entry-1", lease)
        await store.acquire("steward/kingston", b"entry-2", (await store.create_lease(TTL)).ok)
        await store.renew(lease)
        await store.get("steward/kingston")
        await store.release(lease)
        await store.get("steward/kingston")
        await store.renew(lease)
        await store.acquire("steward/kingston", b"entry-1", lease)
        await store.get("claims/a key?with signs")
        self.assertTrue(self.recorder.session == self.snapshot)

    async def test_lost_answer_is_ambiguous_and_reading_the_key_resolves_it(self):
        self.set_faults(lose_answers=1)
        lost = await self.store.compare_and_swap(KEY, b"mine", 0)
        self.assertTrue(lost.error.ambiguous)
        self.assertEqual((await self.read(KEY)).value, b"mine")
        self.assertEqual(await self.store.compare_and_swap(KEY, b"mine", 0), Ok(False))

    async def test_lost_request_is_ambiguous_without_an_effect(self):
        self.set_faults(lose_requests=1)
        lost = await self.store.compare_and_swap(KEY, b"mine", 0)
        self.assertTrue(lost.error.ambiguous)
        self.assertIsNone(await self.read(KEY))

    async def test_ambiguous_write_may_take_effect_after_a_read_showed_no_change(self):
        self.set_faults(late_effect_ms=5000)
        late = self.store.compare_and_swap(KEY, b"late", 0)
        await self.wait_for_calls("cas", 1)
        self.clock.advance(2)
        self.assertTrue((await late).error.ambiguous)
        self.assertIsNone(await self.read(KEY))
        self.set_faults(late_effect_ms=0)
        self.assertEqual(await self.store.compare_and_swap(KEY, b"again", 0), Ok(True))
        self.clock.advance(3)
        self.assertEqual((await self.read(KEY)).value, b"again")

    async def test_timeout_is_ambiguous_for_writes_only(self):
        self.set_faults(delay_ms=60_000)
        write = self.store.compare_and_swap(KEY, b"slow", 0)
        read = self.store.get(KEY)
        await self.wait_for_calls("cas", 1)
        await self.wait_for_calls("get", 1)
        self.clock.advance(2)
        self.assertTrue((await write).error.ambiguous)
        self.assertFalse((await read).error.ambiguous)
        self.assertEqual(self.store.failures, {CallKind.SWAP: 1, CallKind.GET: 1})

    async def test_refused_connection_is_not_ambiguous_but_a_hanging_store_is(self):
        self.refuse(True, None)
        await self.closed
        refused = await self.store.compare_and_swap(KEY, b"1", 0)
        self.assertEqual(refused.error.ambiguous, False)
        self.refuse(False, None)
        self.set_faults(down="hang")
        hung = self.store.compare_and_swap(KEY, b"1", 0)
        await self.wait_for_calls("cas", 1)
        self.clock.advance(2)
        self.assertTrue((await hung).error.ambiguous)
        self.set_faults(down=False)
        self.assertIsNone(await self.read(KEY))

    async def test_paused_lease_holder_cannot_renew_or_acquire_with_its_expired_lease(self):
        paused = (await self.store.create_lease(TTL)).ok
        self.assertEqual(await self.store.acquire("lease", b"paused", paused), Ok(True))
        self.clock.advance(10)
        other = (await self.store.create_lease(TTL)).ok
        self.assertEqual(await self.store.acquire("lease", b"other", other), Ok(True))
        self.assertEqual(await self.store.renew(paused), Ok(False))
        self.assertTrue((await self.store.acquire("lease", b"paused", paused)).is_error())
        self.assertEqual((await self.read("lease")).value, b"other")

    async def test_watch_returns_a_change_after_the_replication_lag(self):
        await self.store.compare_and_swap(KEY, b"1", 0)
        first = (await self.store.watch(KEY, 0, WAIT)).ok
        self.set_faults(lag_ms=3000)
        waiting = self.store.watch(KEY, first.index, WAIT)
        outcomes = []
        waiting.addCallback(outcomes.append)
        await self.wait_for_calls("watch", 1)
        await self.store.compare_and_swap(KEY, b"2", first.record.version)
        self.clock.advance(2.9)
        await self.store.get(KEY)
        self.assertEqual(outcomes, [])
        self.clock.advance(0.2)
        await waiting
        version = first.record.version + 1
        self.assertEqual(outcomes, [Ok(WatchResult(Record(b"2", version), version))])

    async def test_watch_without_a_change_returns_at_the_end_of_its_wait(self):
        await self.store.compare_and_swap(KEY, b"1", 0)
        first = (await self.store.watch(KEY, 0, WAIT)).ok
        waiting = self.store.watch(KEY, first.index, WAIT)
        await self.wait_for_calls("watch", 1)
        self.clock.advance(30)
        self.assertEqual(await waiting, Ok(first))

    async def test_watch_of_a_replaced_store_restarts_at_index_zero(self):
        waiting = self.store.watch(KEY, 900, WAIT)
        await self.wait_for_calls("watch", 1)
        await self.store.compare_and_swap(KEY, b"new life", 0)
        self.clock.advance(30)
        self.assertEqual(await waiting, Ok(WatchResult(Record(b"new life", 2), 0)))

    async def test_cancelling_a_watch_closes_its_connection(self):
        waiting = self.store.watch(KEY, 1, WAIT)
        await self.wait_for_calls("watch", 1)
        waiting.cancel()
        self.assertIsInstance((await waiting).error, StoreFailure)
        await until(lambda: not self.listener.connections.protocols)

    async def test_value_above_the_size_limit_is_not_sent(self):
        whole = b"x" * MAX_VALUE_BYTES
        self.assertEqual(await self.store.compare_and_swap("map/a", whole, 0), Ok(True))
        self.assertEqual((await self.read("map/a")).value, whole)
        refused = await self.store.compare_and_swap("map/b", whole + b"x", 0)
        self.assertEqual(refused.error.ambiguous, False)
        self.assertIn("1048577 bytes", refused.error.detail)
        self.assertEqual(self.store.calls, {CallKind.SWAP: 1, CallKind.GET: 1})
        self.assertEqual(self.standin._calls, {"cas": 1, "get": 1})

    async def test_stand_in_control_api_counts_calls_by_second(self):
        client = self.client()._exchange
        changes = json.dumps({"lapse": "lease", "down": True}).encode()
        lease = (await self.store.create_lease(TTL)).ok
        await self.store.acquire("lease", b"1", lease)
        self.clock.advance(3)
        await self.store.get("lease")
        wrong = await client.call("PUT", "/control", timeout=WAIT, body=b'{"dwon": true}')
        self.assertEqual(wrong.ok.status, 400)
        answer = await client.call("PUT", "/control", timeout=WAIT, body=changes)
        answered = json.loads(answer.ok.body)
        self.assertEqual((answered["down"], answered["lapsed"]), ("hang", True))
        self.assertIsNone(self.standin.values.get("lease"))
        counts = json.loads((await client.call("GET", "/control/counts", timeout=WAIT)).ok.body)
        self.assertEqual(
            counts["by_second"], {"0": {"session_create": 1, "acquire": 1}, "3": {"get": 1}}
        )

    async def test_read_on_a_broken_persistent_connection_is_not_retried(self):
        store = HttpStore(reactor, self.listener.address)
        await store.get(KEY)
        self.set_faults(down="hang")
        cut = store.get(KEY)
        await self.wait_for_calls("get", 2)
        await self.listener.close()
        self.listener.open()
        self.assertEqual((await cut).error.ambiguous, False)
        self.assertEqual(self.listener.connections.opened, 1)
        self.assertEqual(self.standin._calls["get"], 2)
        await store.close()
