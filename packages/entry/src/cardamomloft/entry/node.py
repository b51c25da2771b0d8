"""The entry process: creates its components, connects them, and starts and stops them.

A request passes from the callers' listener to the router, which selects an endpoint, and on to the
upstream. Data from the platform and from peers only updates the state that the router uses.
"""

import random
import secrets
import typing as t
from datetime import timedelta

from cardamomloft.callers.app import CallersApp, LookupAnswer, listen
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead, to_answer
from cardamomloft.core.admission import Admission
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.checking import check_document
from cardamomloft.core.claims import Claims
from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Revision, regions_of_zones
from cardamomloft.core.ledger import Ledger
from cardamomloft.core.membership import Membership, VmRow
from cardamomloft.core.messages import Digest, DocumentRequest, Message, Outgoing
from cardamomloft.core.model import Incarnation, Refusal, RefusalReason, Request
from cardamomloft.core.operations import OperationIds
from cardamomloft.core.rates import Pacer
from cardamomloft.core.replication import Replica
from cardamomloft.core.router import Router, slots_key
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Steering
from cardamomloft.core.stewardship import STANDBYS_PER_REGION, Stewardship
from cardamomloft.entry.adapters import Adapters
from cardamomloft.entry.executor import Executor
from cardamomloft.entry.forwarding import Forwarder
from cardamomloft.entry.gossip import DIGEST_INTERVAL, Gossip
from cardamomloft.entry.loads import LoadPoller
from cardamomloft.entry.lookups import LOOKUP_VALIDITY, Lookups
from cardamomloft.entry.mapfetching import CHUNK_REQUEST_INTERVAL, MapFetcher
from cardamomloft.entry.maps import MapLoader
from cardamomloft.entry.receiving import receive
from cardamomloft.entry.seat import SeatRecord
from cardamomloft.entry.settings import DEFAULTS, EntrySettings
from cardamomloft.entry.status import StatusPage
from cardamomloft.entry.steward import CONFIGURATION_KEY, StewardRunner, offer_record
from cardamomloft.entry.stopping import close, force_stop
from cardamomloft.entry.vms import VmWatch
from cardamomloft.peers.curve import CurveKeys
from cardamomloft.peers.node import PeerNode
from cardamomloft.runtime.control import ControlApp
from cardamomloft.runtime.lifecycle import LifecycleActions, make_lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.runtime.timers import Timers
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

TICK_INTERVAL = timedelta(milliseconds=50)
RETRY_AFTER = timedelta(seconds=1)
LEAVING_TIME = LOOKUP_VALIDITY + timedelta(milliseconds=500)
"""How long a leaving entry accepts requests: until callers' cached look-ups have expired."""
SEAT_RETRY_INTERVAL = timedelta(seconds=2)
INITIAL_READ_INTERVAL = timedelta(milliseconds=1500)
NO_CAPACITY_TIMEOUT = timedelta(seconds=10)
"""How long an entry that has neither shares of its own nor reachable peers remains ready."""
TOTAL_CLAIMS_PER_S = 300
"""Maximum claims written per second by all entries together, divided evenly among them."""


class EntryNode:
    """One entry process.

    Parameters
    ----------
    reactor
        The event loop.
    cfg
        Settings that have been checked.
    clock, rng
        Sources of time and of random numbers.
    adapters
        The adapters of the store, the VM list and the upstreams.

    Attributes
    ----------
    in_force
        Number of the revision in force; 0 before the first one.
    store_read_at
        When the configuration was last read from the store, monotonic.
    stopped
        Fires when the process may end; fails if an invariant was broken.
    """

    def __init__(
        self,
        reactor: t.Any,
        cfg: EntrySettings,
        clock: Clock,
        rng: random.Random,
        adapters: Adapters,
    ) -> None:
        self._reactor = reactor
        self._cfg: dict[str, t.Any] = {**DEFAULTS, **cfg}
        self._clock = clock
        self._rng = rng
        self.me = Incarnation(cfg["seat"], secrets.token_hex(8))
        self.metrics = Metrics()
        self.lifecycle = make_lifecycle(_DeferredActions(reactor, self))
        self.stopped: Deferred[None] = Deferred()
        self.store, self.client = adapters.store, adapters.client
        self.vms = VmWatch(adapters.vms, clock, self.metrics, self._apply_vm_rows, self._send)
        self.seat = SeatRecord(self.me, self.store)
        self._build_decisions()
        self._build_io()
        self.in_force = 0
        self._announced_state: tuple[object, ...] = ()
        self._timers = Timers(reactor, self._on_fault)
        self.store_read_at: timedelta | None = None
        self._failed_revision = 0
        self._capacity_seen_at = clock.monotonic()

    def _build_decisions(self) -> None:
        clock, rng, cfg = self._clock, self._rng, self._cfg
        self.shares = Shares(self.me, clock)
        self.pacer = Pacer(self.shares, clock)
        # Built from the first document, which names the region; requests are refused until then.
        self.router: Router | None = None
        self.membership = Membership(self.me, clock)
        self.replica = Replica(
            self.me,
            clock,
            rng,
            self._own_digest,
            check=check_document,
            seeds=cfg.get("peer_seeds", ()),
        )
        self.gossip = Gossip(
            lambda address, message, to: self.peers.send(address, message, to),
            rng,
            self.membership,
            self.shares,
            lambda: self._own_digest(self.in_force),
        )
        self.maps = MapLoader(rng, lambda digest: self.fetcher.read_chunk(digest), self._on_map)
        self.fetcher = MapFetcher(self, self._on_fault)
        self.ids = OperationIds(self.me, clock, secrets.token_bytes(32))
        self.ledger = Ledger(
            clock, max_operations=cfg["ledger_entries"], max_bytes=cfg["ledger_bytes"]
        )
        self.lookups = Lookups(self.me, self.membership, self.ids)
        per_s = cfg["claims_per_s"]
        self.claims = Claims(self.me, clock, writes_per_s=per_s) if per_s else None
        self.steward: StewardRunner | None = None

    def _build_io(self) -> None:
        self.loads = LoadPoller(
            self.client, self._clock, lambda e: self.shares.free(slots_key(e)) > 0
        )
        self.app = CallersApp(self.lookup, self.handle, self._on_fault, meter=self.metrics)
        self.forwarder: Forwarder | None = None
        self.executor: Executor | None = None
        self.status_page = StatusPage(self, self._clock)
        self.control = ControlApp(self.status_page)

    # Start and stop.

    def start(self) -> None:
        """Listen on all addresses and start to read the configuration.

        Raises
        ------
        BindError, twisted.internet.error.CannotListenError
            If an address is in use, perhaps by an earlier process on this VM.
        """
        cfg = self._cfg
        keys = None
        if "curve" in cfg:
            curve = cfg["curve"]
            keys = CurveKeys(curve["public"].encode(), curve["secret"].encode())
        # The exclusive bind ensures that no earlier process of this seat runs on this VM.
        self.peers = PeerNode(self._reactor, self.me, cfg["peers"], self._on_message, keys)
        host, _, port = cfg["operators"].rpartition(":")
        self._reactor.listenTCP(int(port), self.control.site(), interface=host)
        self.port = listen(self._reactor, cfg["callers"], self.app)
        log("started", seat=self.me.seat, incarnation=self.me.number, zone=cfg["zone"])
        ensureDeferred(self._begin()).addErrback(self._on_fault)

    async def _begin(self) -> None:
        await self.seat.record()
        await self._read_configuration()
        every = self._timers.every
        every(TICK_INTERVAL, self._tick)
        every(DIGEST_INTERVAL, self._send_digests)
        every(timedelta(milliseconds=self._cfg["vms_every_ms"]), self._poll_vms)
        every(timedelta(milliseconds=self._cfg["load_every_ms"]), self._poll_load)
        every(SEAT_RETRY_INTERVAL, self._record_seat)
        every(CHUNK_REQUEST_INTERVAL, self.fetcher.request_missing)
        every(INITIAL_READ_INTERVAL, self._read_first_configuration)

    def stop(self) -> None:
        """Start a graceful stop; further calls have no effect."""
        self.lifecycle.stop()

    def on_ready(self) -> None:
        """Announce to peers that this entry serves callers."""
        log("ready", revision=self.in_force)
        self.gossip.announce()

    def on_leaving(self) -> None:
        """Withdraw from look-ups; keep serving callers that have a cached look-up."""
        log("leaving")
        self.gossip.announce()
        self.app.start_closing()
        hard_stop_ms = self._cfg.get("hard_stop_ms")
        if hard_stop_ms is not None:
            self._reactor.callLater(hard_stop_ms / 1000, force_stop, self)
        self._reactor.callLater(LEAVING_TIME.total_seconds(), self.lifecycle.lookups_expired)

    def on_closing(self) -> None:
        """Refuse new requests, finish those in flight and hand over the shares."""
        log("closing", in_flight=self.app.in_flight)
        ensureDeferred(close(self, self._timers, self._clock)).addErrback(self._on_fault)

    def on_stopped(self) -> None:
        """Stop the timers, close the sockets to peers and let the process end."""
        self._timers.stop()
        self.peers.close()
        log("stopped")
        if not self.stopped.called:
            self.stopped.callback(None)

    # Callers.

    def ready(self) -> bool:
        """Return whether this entry serves callers now."""
        has_capacity = self._clock.monotonic() - self._capacity_seen_at < NO_CAPACITY_TIMEOUT
        return self.lifecycle.state() == "ready" and self.replica.ready and has_capacity

    def lookup(self, client: str) -> LookupAnswer | Refusal:
        """Return the entries for the IPv4 address `client`, and a prefix for operation ids."""
        self.metrics.count("lookups")
        if self.router is None or self.router.classifier is None or not self.replica.ready:
            return Refusal(RefusalReason.NOT_READY, "no configuration yet", RETRY_AFTER)
        return self.lookups.answer(client, self.router, self.in_force)

    def handle(
        self, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> "Deferred[Answer]":
        """Answer one request; `gone` fires when the caller disconnects."""
        return ensureDeferred(self._handle(head, body, gone))

    async def _handle(self, head: RequestHead, body: RequestBody, gone: "Deferred[None]") -> Answer:
        refusal = self._admission_refusal()
        if refusal is not None:
            self.metrics.count(f"refused.{refusal.reason}")
            return to_answer(refusal)
        match self.forwarder.classify(head):
            case Result(tag="error", error=refused):
                self.metrics.count(f"refused.{refused.reason}")
                return to_answer(refused)
            case Result(ok=req):
                return await self._forward(req, head, body, gone)

    async def _forward(
        self, req: Request, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        if req.operation is not None and not req.idempotent:
            return await self.executor.handle(req, head, body, gone)
        return await self.forwarder.stream(req, head, body, gone)

    def _admission_refusal(self) -> Refusal | None:
        if not self.lifecycle.admits():
            reason = RefusalReason.STOPPING
            if self.lifecycle.state() == "starting":
                reason = RefusalReason.NOT_READY
            return Refusal(
                reason, "this entry does not serve requests now; look up another entry", RETRY_AFTER
            )
        if not self.replica.ready:
            return Refusal(
                RefusalReason.NOT_READY,
                "the configuration is not confirmed as current",
                RETRY_AFTER,
            )
        if self.app.in_flight > self._cfg["max_in_flight"]:
            return Refusal(
                RefusalReason.OVERLOAD, "too many requests in flight at this entry", RETRY_AFTER
            )
        return None

    # Configuration.

    async def _read_configuration(self) -> None:
        match await self.store.get(CONFIGURATION_KEY):
            case Result(tag="ok", ok=record):
                self.store_read_at = self._clock.monotonic()
                offer_record(self.replica, record)
                self.put_in_force()

    def put_in_force(self) -> None:
        """Put the replica's revision in force if it is newer."""
        held = self.replica.held
        if held is None or held.number <= max(self.in_force, self._failed_revision):
            return
        try:
            self._configure(held)
        except Exception:
            # The previous revision stays in force; this one is not tried again.
            self._failed_revision = held.number
            log("configuration-failed", revision=held.number)
            self._on_fault(Failure())

    def _configure(self, held: Revision) -> None:
        if self.me.seat not in held.document["entries"]:
            log("not-in-roster", revision=held.number)
        if self.router is None:
            self._build_router(held)
        self._update_ownership()
        blocks = self.maps.configure(held.document["clients"])
        self.router.configure(held, quarantine=self.seat.may_have_predecessor, blocks=blocks)
        self.in_force = held.number
        self.gossip.configure(held.document)
        self.membership.configure(held.document, self.shares.partners)
        self._update_stewardship()
        if self.claims is not None:
            entries = len(held.document["entries"])
            self.claims.budget.set_rate(
                min(self._cfg["claims_per_s"], TOTAL_CLAIMS_PER_S / entries)
            )
        log("in-force", revision=held.number)
        self.lifecycle.prepared()
        self.gossip.announce()

    def _build_router(self, held: Revision) -> None:
        zone = self._cfg["zone"]
        region = regions_of_zones(held.document).get(zone, "")
        steering = Steering(
            zone, region, self._clock, self._rng, self.shares.free, self.shares.base
        )
        self.router = Router(
            zone, region, self._clock, self.shares, steering, Admission(self._clock)
        )
        self._build_forwarding(self.router)
        self.steward = StewardRunner(
            self.me,
            region,
            self._clock,
            self._rng,
            self.store,
            self.replica,
            Stewardship(region, self._clock, self._rng),
            self._on_configuration_read,
            self._on_fault,
        )

    def _build_forwarding(self, router: Router) -> None:
        self.forwarder = Forwarder(
            self._reactor,
            self._clock,
            router,
            self.client,
            self.metrics,
            self.pacer,
            f"{self.me.seat}-{self.me.number}",
            self._tick_limits,
        )
        self.executor = Executor(
            self.me,
            self._clock,
            self.ids,
            self.ledger,
            self.claims,
            self.store,
            self.forwarder,
            self.client,
            self.metrics,
            self._callers_address,
            self._is_current,
            self._on_fault,
        )

    def _update_stewardship(self) -> None:
        standby, size = self.membership.standby_status(STANDBYS_PER_REGION)
        self.steward.stewardship.set_role(standby=standby, size=size)

    def _on_configuration_read(self) -> None:
        self.store_read_at = self._clock.monotonic()
        self.put_in_force()

    def _callers_address(self, seat: str) -> str | None:
        row = self.router.document["entries"].get(seat) if self.router else None
        return row["callers"] if row else None

    def _is_current(self, process: Incarnation) -> bool:
        return self.membership.incarnation_of(process.seat) in (None, process)

    # Peers.

    def _own_digest(self, revision: int) -> Digest:
        state = self.lifecycle.state()
        # An entry whose revision is not confirmed must not confirm that of a peer: if all entries
        # were paused, they would confirm each other's outdated revision.
        if state == "ready" and not self.ready():
            state = "starting"
        prefix = self.ids.prefix() if state == "ready" else None
        return Digest(
            revision=revision,
            settled=self.shares.settled,
            state="leaving" if state in ("closing", "stopped") else state,
            prefix=prefix.text if prefix else "",
            prefix_left_ms=prefix.valid_for // timedelta(milliseconds=1) if prefix else 0,
        )

    def _on_message(self, sender: Incarnation, message: Message) -> None:
        receive(self, sender, message)

    def _send(self, outgoing: list[Outgoing], to: Incarnation | None = None) -> None:
        self.gossip.send(outgoing, to)

    def _send_digests(self) -> None:
        # An entry without shares of its own needs loans, and reachable peers that grant them.
        if self.shares.owns_any or self.membership.has_recent_peer():
            self._capacity_seen_at = self._clock.monotonic()
        self.gossip.send_digests()

    # Timers.

    def _tick(self) -> None:
        outgoing = self.replica.tick()
        self.put_in_force()
        self._send(outgoing)
        if self.router is None:
            return
        self.router.steering.tick()
        self._update_ownership()
        self._tick_limits()
        self.steward.tick()
        probe = self.steward.stewardship.peer_to_probe()
        if probe is not None:
            self._send([Outgoing(probe, DocumentRequest(self.in_force))])
        state = (self.shares.settled, self.lifecycle.state())
        if state != self._announced_state:
            self._announced_state = state
            self.gossip.announce()

    def _read_first_configuration(self) -> "Deferred[t.Any] | None":
        """Read the store until there is a revision; without its roster there is no steward."""
        return None if self.replica.held else ensureDeferred(self._read_configuration())

    def _on_map(self, blocks: BlockMap) -> None:
        if self.router is not None and self.router.classifier is not None:
            self.router.classifier.use_blocks(blocks)

    def _tick_limits(self) -> None:
        """Borrow, renew and return loans, and dispatch the queued requests that have a slot now."""
        self.router.report_demand()
        self._send(self.shares.tick())
        self.forwarder.pump()

    def _update_ownership(self) -> None:
        self.shares.may_own = self.seat.recorded
        if not self.seat.may_have_predecessor:
            self.shares.lift_quarantine()

    def _record_seat(self) -> "Deferred[t.Any] | None":
        return None if self.seat.recorded else ensureDeferred(self.seat.record())

    def _poll_vms(self) -> "Deferred[None] | None":
        if self.router is None:
            return self.vms.poll(0, at_each_call=False)
        stewardship = self.steward.stewardship
        return self.vms.poll(
            len(self.router.document["entries"]),
            at_each_call=stewardship.watches_configuration,
            notify=self.region_peers() if stewardship.is_steward else (),
        )

    def region_peers(self) -> list[str]:
        """Return the other seats in this region."""
        region_of, own_region = self.router.region_of, self.router.region
        entries = self.router.document["entries"].items()
        seats = [seat for seat, row in entries if region_of(row["zone"]) == own_region]
        return [seat for seat in seats if seat != self.me.seat]

    def _apply_vm_rows(self, rows: list[VmRow]) -> None:
        self.membership.on_vm_list(rows)
        gone = self.membership.gone_seats()
        for row in rows:
            if row.name in gone:
                self.shares.on_gone(row.name)
            else:
                self.shares.on_listed(row.name)
        if self.router is not None:
            leaving = [row.name for row in rows if row.state != "live"]
            self.router.steering.on_leaving(leaving)
            self._update_stewardship()

    def _poll_load(self) -> "Deferred[None] | None":
        if self.router is None:
            return None
        return self.loads.poll(self.router.region_endpoints, self.router.steering)

    def _on_broken_invariant(self, failure: Failure) -> None:
        """End the process, since its state is inconsistent; its successor does not inherit it."""
        log("broken-invariant", detail=failure.getErrorMessage(), trace=failure.getTraceback())
        self.lifecycle.drained()
        if not self.stopped.called:
            self.stopped.errback(failure)

    def _on_fault(self, failure: Failure) -> None:
        if failure.check(AssertionError):
            self._on_broken_invariant(failure)
            return
        self.metrics.count("faults")
        log("fault", detail=failure.getErrorMessage(), trace=failure.getTraceback())


class _DeferredActions:
    """Runs the actions of a transition in the next turn of the event loop, after its end."""

    def __init__(self, reactor: t.Any, actions: LifecycleActions) -> None:
        self._reactor = reactor
        self._actions = actions

    def on_ready(self) -> None:
        self._reactor.callLater(0, self._actions.on_ready)

    def on_leaving(self) -> None:
        self._reactor.callLater(0, self._actions.on_leaving)

    def on_closing(self) -> None:
        self._reactor.callLater(0, self._actions.on_closing)

    def on_stopped(self) -> None:
        self._reactor.callLater(0, self._actions.on_stopped)
