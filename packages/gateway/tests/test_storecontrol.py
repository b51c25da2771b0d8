"""A gateway with the HTTP key-value store: facts from listings, and a request over sockets."""

import json
import socket
from datetime import timedelta

from cardamomloft.core.clock import SystemClock
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    PlanRead,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.gateway.node import Gateway
from cardamomloft.gateway.pages import GatewayPages, listen_pages
from cardamomloft.gateway.process import CALLER_HEADERS, UPSTREAM_DIALECT
from cardamomloft.gateway.storecontrol import StoreControl
from cardamomloft.store.keyvalue import HttpStore, ListResult, Record
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.store import Store as StandinStore
from expression import Error, Ok
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import Site

DOCUMENT = {
    "format": "routes-1",
    "rules": [
        {
            "name": "menus",
            "when": {"host": "a.example", "path": "/menus/"},
            "then": {
                "services": [{"service": "menus", "weight": 1}],
                "idempotent": True,
                "timeout": "5s",
                "keyed": True,
            },
        }
    ],
    "services": {"menus": {"connections": 90}},
    "limits": {"head_bytes": 4096, "body_bytes": 9, "head_timeout": "3s", "idle_timeout": "15s"},
}
REGISTRATION = {"service": "menus", "address": "10.0.0.1:80", "zone": "a", "slots": 4}
RECORD = EntryRecord("e-1", "10.0.0.1:80", "a", "east")


class ListStore:
    """A fake store whose listing the test sets."""

    def __init__(self, **values) -> None:
        self.values = {}
        self.index = 1
        self.put(**values)
        self.acquired = Ok(True)
        self.released = []

    def put(self, **values) -> None:
        for key, value in values.items():
            self.index += 1
            raw = json.dumps(value).encode()
            self.values["g/" + key.replace("__", "/").replace("_", "-")] = Record(raw, self.index)

    def list(self, prefix):
        return succeed(Ok(ListResult(dict(self.values), self.index)))

    def create_lease(self, ttl):
        return succeed(Ok("s-1"))

    def acquire(self, key, value, lease):
        self.values[key] = Record(value, 9)
        return succeed(self.acquired)

    def release(self, lease):
        self.released.append(lease)
        return succeed(Ok(None))


def _result(deferred):
    results = []
    deferred.addBoth(results.append)
    return results[0]


def _facts(control, after=1):
    return set(_result(control.changes(kit.position(after), timedelta(0))).ok.facts)


class Poller:
    """Lists once, and then reads the changes since the last answer."""

    def __init__(self, control) -> None:
        self.control = control
        self.listing = _result(control.read()).ok
        self.index = self.listing.index

    def changes(self):
        read = _result(self.control.changes(self.index, timedelta(0))).ok
        self.index = read.index
        return set(read.facts)


def test_listing_returns_all_facts_and_later_reads_only_differences():
    store = ListStore(routes__current=DOCUMENT, upstreams__i_1=REGISTRATION, drained_zones__b=1)
    poller = Poller(StoreControl(store, "g/"))
    kinds = {type(fact) for fact in poller.listing.facts}
    assert kinds == {PlanRead, UpstreamRegistered, ZoneDrained}
    assert poller.changes() == set()
    store.put(upstreams__i_1={**REGISTRATION, "draining": True})
    (fact,) = poller.changes()
    assert fact.registration.draining
    del store.values["g/upstreams/i-1"], store.values["g/drained-zones/b"]
    assert poller.changes() == {UpstreamWithdrawn("i-1"), ZoneRestored("b")}


def test_position_from_a_relay_requires_a_new_listing():
    """Guards against keeping a relayed endpoint that is withdrawn before the next listing."""
    store = ListStore(routes__current=DOCUMENT)
    poller = Poller(StoreControl(store, "g/"))
    poller.index = kit.position(poller.index.revision + 5)
    read = _result(poller.control.changes(poller.index, timedelta(0))).ok
    assert read.lost and read.facts == ()
    relisted = Poller(poller.control)
    assert relisted.changes() == set()


def test_configuration_number_is_its_version_in_the_store():
    store = ListStore(routes__current=DOCUMENT)
    (fact,) = _result(StoreControl(store, "g/").read()).ok.facts
    assert fact.plan.number == store.values["g/routes/current"].version


def test_unreadable_items_have_an_error_text():
    store = ListStore(routes__current={}, upstreams__i_1={}, entries__e_1=[])
    facts = _result(StoreControl(store, "g/").read()).ok.facts
    assert {type(fact) for fact in facts} == {Unreadable, UpstreamUnreadable}
    assert UpstreamUnreadable in {type(fact) for fact in facts if getattr(fact, "id", "")}
    assert all(fact.detail for fact in facts)


def test_recorded_entries_are_read_back():
    store = ListStore()
    control = StoreControl(store, "g/")
    assert _result(control.record(RECORD, 3000 * kit.MS)) == Ok("s-1")
    assert _facts(control) == {EntryRecorded(RECORD)}
    del store.values["g/entries/e-1"]
    assert _facts(control) == {EntryWithdrawn("e-1")}


def test_record_held_by_another_lease_fails_and_releases_the_new_lease():
    store = ListStore()
    store.acquired = Ok(False)
    failure = _result(StoreControl(store, "g/").record(RECORD, 3000 * kit.MS)).error
    assert not failure.ambiguous
    assert store.released == ["s-1"]


def test_failed_listing_is_a_failure():
    store = ListStore()
    store.list = lambda prefix: succeed(Error("away"))
    assert _result(StoreControl(store, "g/").changes(1, timedelta(0))).is_error()


class Upstream(Resource):
    """An endpoint that returns the request's id and the expected instance."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request):  # noqa: N802
        for name in (b"x-request-id", b"x-expected-instance"):
            request.setHeader(name, request.getHeader(name))
        request.setHeader(b"x-load", b"0,0,4")
        return b"menu of " + request.uri


class GatewaySocketTest(TestCase):
    """A gateway, the stand-in store and an endpoint, connected over sockets."""

    timeout = 60

    def listen(self, site):
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    @inlineCallbacks
    def test_a_request_is_served_by_a_registered_endpoint(self):
        store = StandinStore(reactor)
        self.addCleanup(store.close)
        site = Site(store.app.resource())
        site.log = lambda request: None
        address = self.listen(site)
        upstream = self.listen(Site(Upstream()))
        store.values.put("g/routes/current", json.dumps(DOCUMENT).encode())
        row = {**REGISTRATION, "address": upstream}
        store.values.put("g/upstreams/i-1", json.dumps(row).encode())
        gateway = yield self.start(address)
        answer = yield self.ask("/menus/7")
        assert answer == (200, b"menu of /menus/7")
        assert (yield self.ask("/elsewhere"))[0] == 404
        lookup = yield self.ask("/lookup?host=a.example&zone=a", "lookups")
        assert json.loads(lookup[1])["entries"] == [self.cfg["callers"]]
        gateway.stop()
        yield gateway.stopped

    @inlineCallbacks
    def start(self, store_address):
        names = ("callers", "readiness", "lookups", "operators")
        self.cfg = {
            **{name: free_address() for name in names},
            "name": "e-1",
            "zone": "a",
            "region": "east",
            "zones": {"a": "east"},
            "store": store_address,
            "stop_time": "400ms",
            "drain_time": "500ms",
            "lookup_life": "2s",
            "record_life": "10s",
            "retries": {"ratio": 0.2, "slack": 60.0, "window": "10s"},
            "cold": {"overage": 1.5, "slack": 5.0},
        }
        http = HttpStore(reactor, store_address)
        client = UpstreamClient(reactor, dialect=UPSTREAM_DIALECT)
        control = StoreControl(http, "g/")
        gateway = Gateway(
            reactor, self.cfg, SystemClock(), kit.rng(), control, client, CALLER_HEADERS
        )
        for port in listen_pages(reactor, GatewayPages(gateway).app, self.cfg["lookups"]):
            self.addCleanup(port.stopListening)
        gateway.start()
        self.addCleanup(lambda: gateway.pages and gateway.pages.stopListening())
        self.addCleanup(client.close)
        self.addCleanup(http.close)
        while not gateway.ready():
            yield deferLater(reactor, 0.02)
        return gateway

    @inlineCallbacks
    def ask(self, path, where="callers"):
        headers = Headers({"Host": ["a.example"], "X-Request-Id": ["id-1"]})
        url = f"http://{self.cfg[where]}{path}".encode()
        response = yield Agent(reactor).request(b"GET", url, headers)
        body = yield readBody(response)
        return response.code, body


def free_address():
    """Return a loopback address with a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
