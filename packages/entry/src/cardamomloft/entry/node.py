"""The entry: assembles the decisions and the edges, and owns their life.

Data flows one way: callers to decisions to upstreams. Platform and peers only feed state.
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
from cardamomloft.entry.adapters import Outside
from cardamomloft.entry.executor import Executor
from cardamomloft.entry.forwarding import Forwarder
from cardamomloft.entry.gossip import INTERVAL, Gossip
from cardamomloft.entry.loads import LoadPoller
from cardamomloft.entry.lookups import VALID, Lookups
from cardamomloft.entry.mapfetching import CHUNK_REQUEST_INTERVAL, MapFetcher
from cardamomloft.entry.maps import MapLoader
from cardamomloft.entry.receiving import receive
from cardamomloft.entry.seat import SeatRecord
from cardamomloft.entry.settings import DEFAULTS, EntrySettings
from cardamomloft.entry.status import StatusPage
from cardamomloft.entry.steward import CONFIGURATION_KEY, StewardRunner, offer_record
from cardamomloft.entry.stopping import close, cut_off
from cardamomloft.entry.vms import VmWatch
from cardamomloft.peers.curve import CurveKeys
from cardamomloft.peers.node import PeerNode
from cardamomloft.runtime.control import ControlApp
from cardamomloft.runtime.lifecycle import LifeActions, make_lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.runtime.timers import Timers
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

TICK = timedelta(milliseconds=50)
COME_BACK = timedelta(seconds=1)
LINGER = VALID + timedelta(milliseconds=500)
SEAT_RETRY = timedelta(seconds=2)
FIRST_READ = timedelta(milliseconds=1500)
USELESS = timedelta(seconds=10)
TOTAL_CLAIMS_PER_S = 300


class EntryNode:
    """One entry process.

    Parameters
    ----------
    reactor
        The event loop.
    cfg
        Checked settings.
    clock, rng
        Sources of time and chance.
    outside
        The adapters of platform and upstreams.
    """

    def __init__(
        self,
        reactor: t.Any,
        cfg: EntrySettings,
        clock: Clock,
        rng: random.Random,
        outside: Outside,
    ) -> None:
        self._reactor = reactor
        self._cfg: dict[str, t.Any] = {**DEFAULTS, **cfg}
        self._clock = clock
        self._rng = rng
        self.me = Incarnation(cfg["seat"], secrets.token_hex(8))
        self.metrics = Metrics()
        self.life = make_lifecycle(_Later(reactor, self))
        self.stopped: Deferred[None] = Deferred()
        self.store, self.client = outside.store, outside.client
        self.vms = VmWatch(outside.vms, clock, self.metrics, self._take_vms, self._send_all)
        self.seat = SeatRecord(self.me, self.store)
        self._build_decisions()
        self._build_edges()
        self.in_force = 0
        self._reported: tuple[object, ...] = ()
        self._timers = Timers(reactor, self._on_fault)
        self.store_at: timedelta | None = None
        self._refused = 0
        self._useful_at = clock.monotonic()

    def _build_decisions(self) -> None:
        clock, rng, cfg = self._clock, self._rng, self._cfg
        self.shares = Shares(self.me, clock)
        self.pacer = Pacer(self.shares, clock)
        # The region is known with the first document; until then nothing is decided.
        self.router: Router | None = None
        self.membership = Membership(self.me, clock)
        self.replica = Replica(
            self.me,
            clock,
            rng,
            self._describe,
            check=check_document,
            seeds=cfg.get("peer_seeds", ()),
        )
        self.gossip = Gossip(
            lambda address, message, to: self.peers.send(address, message, to),
            rng,
            self.membership,
            self.shares,
            lambda: self._describe(self.in_force),
        )
        self.maps = MapLoader(rng, lambda digest: self.fetcher.read(digest), self._on_map)
        self.fetcher = MapFetcher(self, self._on_fault)
        self.ids = OperationIds(self.me, clock, secrets.token_bytes(32))
        self.ledger = Ledger(
            clock, max_operations=cfg["ledger_entries"], max_bytes=cfg["ledger_bytes"]
        )
        self.lookups = Lookups(self.me, self.membership, self.ids)
        per_s = cfg["claims_per_s"]
        self.claims = Claims(self.me, clock, writes_per_s=per_s) if per_s else None
        self.steward: StewardRunner | None = None

    def _build_edges(self) -> None:
        self.loads = LoadPoller(
            self.client, self._clock, lambda e: self.shares.free(slots_key(e)) > 0
        )
        self.app = CallersApp(self.lookup, self.handle, self._on_fault, meter=self.metrics)
        self.forwarder: Forwarder | None = None
        self.executor: Executor | None = None
        self.status_page = StatusPage(self, self._clock)
        self.control = ControlApp(self.status_page)

    # Life.

    def start(self) -> None:
        """Listen and begin to look for a configuration.

        Raises
        ------
        BindError, twisted.internet.error.CannotListenError
            If an address can't be had; another process on this VM may still hold it.
        """
        cfg = self._cfg
        keys = None
        if "curve" in cfg:
            curve = cfg["curve"]
            keys = CurveKeys(curve["public"].encode(), curve["secret"].encode())
        # The exclusive bind proves that no earlier process of this seat runs on this VM.
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
        every(TICK, self._tick)
        every(INTERVAL, self._spread)
        every(timedelta(milliseconds=self._cfg["vms_every_ms"]), self._poll_vms)
        every(timedelta(milliseconds=self._cfg["load_every_ms"]), self._poll_load)
        every(SEAT_RETRY, self._record_seat)
        every(CHUNK_REQUEST_INTERVAL, self.fetcher.fetch)
        every(FIRST_READ, self._look_for_first)

    def stop(self) -> None:
        """Begin a graceful stop; asking again changes nothing."""
        self.life.stop()

    def on_ready(self) -> None:
        """Tell peers that callers may come."""
        log("ready", revision=self.in_force)
        self.gossip.announce()

    def on_leaving(self) -> None:
        """Leave the look-ups; go on serving callers that asked a moment ago."""
        log("leaving")
        self.gossip.announce()
        self.app.start_closing()
        hard = self._cfg.get("hard_stop_ms")
        if hard is not None:
            self._reactor.callLater(hard / 1000, cut_off, self)
        self._reactor.callLater(LINGER.total_seconds(), self.life.lookups_expired)

    def on_closing(self) -> None:
        """Refuse new work, finish what is in flight, hand the shares over."""
        log("closing", in_flight=self.app.in_flight)
        ensureDeferred(close(self, self._timers, self._clock)).addErrback(self._on_fault)

    def on_stopped(self) -> None:
        """Release everything and end the process."""
        self._timers.stop()
        self.peers.close()
        log("stopped")
        if not self.stopped.called:
            self.stopped.callback(None)

    # Callers.

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        useful = self._clock.monotonic() - self._useful_at < USELESS
        return self.life.state() == "ready" and self.replica.ready and useful

    def lookup(self, client: str) -> LookupAnswer | Refusal:
        """Name the entries that a client should use, and the prefix for its operation ids."""
        self.metrics.count("lookups")
        if self.router is None or self.router.classifier is None or not self.replica.ready:
            return Refusal(RefusalReason.NOT_READY, "no configuration yet", COME_BACK)
        return self.lookups.answer(client, self.router, self.in_force)

    def handle(
        self, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> "Deferred[Answer]":
        """Answer one request."""
        return ensureDeferred(self._handle(head, body, gone))

    async def _handle(self, head: RequestHead, body: RequestBody, gone: "Deferred[None]") -> Answer:
        refusal = self._not_admitted()
        if refusal is not None:
            self.metrics.count(f"refused.{refusal.reason}")
            return to_answer(refusal)
        match self.forwarder.classify(head):
            case Result(tag="error", error=refused):
                self.metrics.count(f"refused.{refused.reason}")
                return to_answer(refused)
            case Result(ok=req):
                return await self._carry(req, head, body, gone)

    async def _carry(
        self, req: Request, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        if req.operation is not None and not req.idempotent:
            return await self.executor.handle(req, head, body, gone)
        return await self.forwarder.stream(req, head, body, gone)

    def _not_admitted(self) -> Refusal | None:
        if not self.life.admits():
            reason = RefusalReason.STOPPING
            if self.life.state() == "starting":
                reason = RefusalReason.NOT_READY
            return Refusal(reason, "ask for another entry", COME_BACK)
        if not self.replica.ready:
            return Refusal(RefusalReason.NOT_READY, "the configuration may be old", COME_BACK)
        if self.app.in_flight > self._cfg["max_in_flight"]:
            return Refusal(RefusalReason.OVERLOAD, "too many requests here", COME_BACK)
        return None

    # Configuration.

    async def _read_configuration(self) -> None:
        match await self.store.get(CONFIGURATION_KEY):
            case Result(tag="ok", ok=record):
                self.store_at = self._clock.monotonic()
                offer_record(self.replica, record)
                self.put_in_force()

    def put_in_force(self) -> None:
        """Put the replica's revision in force if it is a new one."""
        held = self.replica.held
        if held is None or held.number <= max(self.in_force, self._refused):
            return
        try:
            self._configure(held)
        except Exception:
            # The revision before stays in force; trying again each tick would end the same.
            self._refused = held.number
            log("configuration-failed", revision=held.number)
            self._on_fault(Failure())

    def _configure(self, held: Revision) -> None:
        if self.me.seat not in held.document["entries"]:
            log("not-in-roster", revision=held.number)
        if self.router is None:
            self._build_router(held)
        self._update_ownership()
        blocks = self.maps.configure(held.document["clients"])
        self.router.configure(held, quarantine=self.seat.predecessor, blocks=blocks)
        self.in_force = held.number
        self.gossip.configure(held.document)
        self.membership.configure(held.document, self.shares.partners)
        self._place_steward()
        if self.claims is not None:
            entries = len(held.document["entries"])
            self.claims.budget.set_rate(
                min(self._cfg["claims_per_s"], TOTAL_CLAIMS_PER_S / entries)
            )
        log("in-force", revision=held.number)
        self.life.prepared()
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
            self._on_offer,
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

    def _place_steward(self) -> None:
        standby, size = self.membership.standby_status(STANDBYS_PER_REGION)
        self.steward.stewardship.set_role(standby=standby, size=size)

    def _on_offer(self) -> None:
        self.store_at = self._clock.monotonic()
        self.put_in_force()

    def _callers_address(self, seat: str) -> str | None:
        row = self.router.document["entries"].get(seat) if self.router else None
        return row["callers"] if row else None

    def _is_current(self, process: Incarnation) -> bool:
        return self.membership.incarnation_of(process.seat) in (None, process)

    # Peers.

    def _describe(self, revision: int) -> Digest:
        state = self.life.state()
        # Entries that paused together must not take each other's word that they are current.
        if state == "ready" and not self.ready():
            state = "starting"
        prefix = self.ids.prefix() if state == "ready" else None
        return Digest(
            revision=revision,
            settled=self.shares.settled,
            state="leaving" if state in ("closing", "stopped") else state,
            prefix=prefix.text if prefix else "",
            prefix_left_ms=prefix.left // timedelta(milliseconds=1) if prefix else 0,
        )

    def _on_message(self, sender: Incarnation, message: Message) -> None:
        receive(self, sender, message)

    def _send_all(self, outgoing: list[Outgoing], to: Incarnation | None = None) -> None:
        self.gossip.send(outgoing, to)

    def _spread(self) -> None:
        # One that owns nothing works on loans, and there are none for one that hears nobody.
        if self.shares.owns_any or self.membership.has_recent_peer():
            self._useful_at = self._clock.monotonic()
        self.gossip.spread()

    # Timers.

    def _tick(self) -> None:
        outgoing = self.replica.tick()
        self.put_in_force()
        self._send_all(outgoing)
        if self.router is None:
            return
        self.router.steering.tick()
        self._update_ownership()
        self._tick_limits()
        self.steward.tick()
        probe = self.steward.stewardship.peer_to_probe()
        if probe is not None:
            self._send_all([Outgoing(probe, DocumentRequest(self.in_force))])
        state = (self.shares.settled, self.life.state())
        if state != self._reported:
            self._reported = state
            self.gossip.announce()

    def _look_for_first(self) -> "Deferred[t.Any] | None":
        """Read the store while nothing is held: without a roster no steward does."""
        return None if self.replica.held else ensureDeferred(self._read_configuration())

    def _on_map(self, blocks: BlockMap) -> None:
        if self.router is not None and self.router.classifier is not None:
            self.router.classifier.use_blocks(blocks)

    def _tick_limits(self) -> None:
        """Ask for, renew and return loans, and send what now fits; also as soon as one queues."""
        self.router.report_demand()
        self._send_all(self.shares.tick())
        self.forwarder.pump()

    def _update_ownership(self) -> None:
        self.shares.may_own = self.seat.recorded
        if not self.seat.predecessor:
            self.shares.lift_quarantine()

    def _record_seat(self) -> "Deferred[t.Any] | None":
        return None if self.seat.recorded else ensureDeferred(self.seat.record())

    def _poll_vms(self) -> "Deferred[None] | None":
        if self.router is None:
            return self.vms.poll(0, watches=False)
        stewardship = self.steward.stewardship
        return self.vms.poll(
            len(self.router.document["entries"]),
            watches=stewardship.watches_configuration,
            tells=self.near_seats() if stewardship.is_steward else (),
        )

    def near_seats(self) -> list[str]:
        """Return the other seats of this region."""
        region_of, here = self.router.region_of, self.router.region
        entries = self.router.document["entries"].items()
        near = [seat for seat, row in entries if region_of(row["zone"]) == here]
        return [seat for seat in near if seat != self.me.seat]

    def _take_vms(self, rows: list[VmRow]) -> None:
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
            self._place_steward()

    def _poll_load(self) -> "Deferred[None] | None":
        if self.router is None:
            return None
        return self.loads.poll(self.router.region_endpoints, self.router.steering)

    def _on_broken(self, failure: Failure) -> None:
        """End the process: its state contradicts itself, and a new life starts from the truth."""
        log("broken-invariant", detail=failure.getErrorMessage(), trace=failure.getTraceback())
        self.life.drained()
        if not self.stopped.called:
            self.stopped.errback(failure)

    def _on_fault(self, failure: Failure) -> None:
        if failure.check(AssertionError):
            self._on_broken(failure)
            return
        self.metrics.count("faults")
        log("fault", detail=failure.getErrorMessage(), trace=failure.getTraceback())


class _Later:
    """Runs the actions of a transition after it, when the state may be asked for again."""

    def __init__(self, reactor: t.Any, actions: LifeActions) -> None:
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
