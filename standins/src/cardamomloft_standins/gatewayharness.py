"""A whole gateway on fakes: its settings, and a run of it on one clock."""

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.gateway.control import Changes
from cardamomloft.gateway.node import Gateway
from expression import Ok
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from cardamomloft_standins import gateway as kit

MS = kit.MS

SETTINGS = {
    "name": "e-1",
    "zone": "a",
    "region": "east",
    "zones": {"a": "east", "b": "west"},
    "callers": "127.0.0.1:7101",
    "readiness": "127.0.0.1:7102",
    "lookups": "127.0.0.1:7103",
    "operators": "127.0.0.1:7104",
    "store": "127.0.0.1:8500",
    "stop_time": "6s",
    "drain_time": "2500ms",
    "lookup_life": "2s",
    "retries": {"ratio": 0.2, "slack": 60.0, "window": "10s"},
    "cold": {"overage": 1.5, "slack": 5.0},
}


class GatewayHarness:
    """A gateway with a control store and endpoints that the test sets, on one clock."""

    def __init__(self, control=None, start=True) -> None:
        self.control = control or kit.FakeControl(Ok(kit.listing(kit.registration(1))))
        self.control.next_changes = kit.no_changes()
        self.time = kit.Time(MemoryReactorClock())
        self.client = kit.FakeClient(kit.answer())
        self.gateway = Gateway(
            self.time.reactor,
            SETTINGS,
            self.time.clock,
            kit.rng(),
            self.control,
            self.client,
            kit.HEADERS,
        )
        if start:
            self.start()

    def start(self) -> None:
        """Start it, and let it read the store."""
        self.gateway.start()
        self.time.advance(20 * MS)

    def deliver_changes(self, *facts, index=11) -> None:
        """Let the store tell of `facts`, up to the revision `index`."""
        self.control.next_changes = Ok(Changes(tuple(facts), kit.position(index)))
        self.time.advance(1200 * MS)
        self.control.next_changes = kit.no_changes(index)

    def send_request(self, path="/menus/7", host="a.example"):
        """Ask for `path`, and return the answer if there is one at once."""
        pairs = (("host", host), ("x-request-id", "id-1"), ("x-object", "17"))
        head = RequestHead("GET", path, "", pairs, "10.0.0.9", 0, False)
        results = []
        self.gateway.handle(head, RequestBody(0, self), Deferred()).addBoth(results.append)
        return results[0] if results else None

    def lookup(self, zone="a", region="east"):
        """Ask which gateways a client there should use."""
        return self.gateway.lookup("a.example", zone, region)
