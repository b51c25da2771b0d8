"""The gateway: assembles the decisions and the edges, and owns their life."""

import random
import typing as t
from collections import Counter
from datetime import timedelta

from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead
from cardamomloft.core.budgets import ColdLimit, RetryBudget
from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.naming import EntryLookup
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.core.routes import RoutePlan
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.timekeeping import ClockMonitor
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import Call, CallerHeaders, RequestReader
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.control import Control, Listing
from cardamomloft.gateway.following import Follower, PollTiming
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.gossip import COMPARE_INTERVAL
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.presence import Presence
from cardamomloft.gateway.records import RequestLog
from cardamomloft.gateway.settings import FIXED, Bounds, GatewaySettings, bounds_of
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft.gateway.storeview import StoreView
from cardamomloft.runtime.control import ControlApp
from cardamomloft.runtime.lifecycle import make_lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.runtime.timers import Timers
from cardamomloft.upstreams.client import UpstreamClient
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IListeningPort
from twisted.python.failure import Failure

LINGER_PART = 0.5
"""Part of the stop time in which new requests are still served: callers that keep an old look-up
still come. At the end of it the listener closes, and they try another entry."""

HARD_STOP_PART = 0.92
"""Part of the stop time after which the process ends whatever is in flight."""

FOLLOW_PART = 0.4
"""Part of the drain time from an answer with changes to the next question to the store. A question
that fails is repeated soon, so that two of them fit into the time."""

WAIT_PART = 1 - FOLLOW_PART
"""Part of the drain time for which the store may wait for a change before it answers. A question
may hear nothing though its connection lives, after the store has forgotten its history, so its end
is what bounds how long a change can be missed: pause and wait fill the drain time, and at most
0.5 s after it everything is asked for again; the list took 0.8 s at one slow entry of 58 (logged
once). Each answer is paid for; 6 s instead spared 0.15 of the calls on the heaviest day (687
instead of 822 at 0.8 of the drain time), but there a confirmed change was not in force at one of
58 entries for 6.4 s."""

FIGURES_INTERVAL = timedelta(seconds=2)
"""How often the counters' growth is logged: a line of up to some 50 counts."""

_TICK = timedelta(milliseconds=200)
"""How often it is looked what did not come back after the store's return."""

LOOKUP_LIFE = timedelta(seconds=2)
"""How long callers may keep a look-up at the most, within the settings' bound: entries that died
are named so much longer."""


class Named(t.NamedTuple):
    """The answer to a look-up: where to send requests, and for how long that holds."""

    addresses: list[str]
    ttl: timedelta


class Gateway:
    """One gateway process.

    Parameters
    ----------
    reactor
        The event loop.
    cfg
        Checked settings.
    clock, rng
        Sources of time and chance.
    control
        The control store.
    client
        Sends to upstreams.
    headers
        How callers name things.
    """

    def __init__(
        self,
        reactor: t.Any,
        cfg: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        control: Control,
        client: UpstreamClient,
        headers: CallerHeaders,
    ) -> None:
        self._reactor = reactor
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._control = control
        self._client = client
        self.headers = headers
        self._bounds = bounds_of(cfg)
        self.metrics = Metrics()
        self.stopped: Deferred[None] = Deferred()
        self.lifecycle = make_lifecycle(self)
        self._timers = Timers(reactor, self._on_fault)
        self._port: IListeningPort | None = None
        self.pages: IListeningPort | None = None
        self._hard_stop: IDelayedCall | None = None
        self._reader: RequestReader | None = None
        self._logged_figures: Counter[str] = Counter()
        self._timekeeper = ClockMonitor(clock, _TICK)
        self._build()

    def _build(self) -> None:
        cfg, clock, bounds = self._cfg, self._clock, self._bounds
        peers = cfg.get("peers", "")
        own = EntryRecord(cfg["name"], cfg["callers"], cfg["zone"], cfg["region"], peers)
        self.upstream_table = UpstreamTable(cfg["zones"])
        self.entries = EntryTable(own, bounds.retry_window)
        self._names = EntryLookup(self.entries)
        self.selector = Selector(
            self.upstream_table, cfg["name"], cfg["zone"], _cold_limit(cfg), Preferences()
        )
        self._budgets: dict[str, RetryBudget] = {}
        self.records = RequestLog(lambda: self.configuration)
        self.notice_handler = NoticeHandler(clock, self.upstream_table, self.metrics)
        self.forwarder = Forwarder(
            self._reactor,
            clock,
            self._rng,
            self.selector,
            self.upstream_table,
            self._client,
            self._budget_for,
            self.metrics,
            self.records,
            self.notice_handler,
        )
        self.app = CallersApp(
            None, self.handle, self._on_fault, may_overlap=self._may_overlap, meter=self.metrics
        )
        self.presence = Presence(
            self._control, own, bounds.record_life, lambda: self.follower.poll_now()
        )
        self.view = StoreView(
            clock,
            self.upstream_table,
            self.entries,
            self.selector,
            self._client.forget,
            self._put_in_force,
            self.metrics,
        )
        self.feed = ChangeFeed(
            self._reactor,
            clock,
            self._control,
            own,
            self.entries,
            self.ready,
            bounds.drain_time,
            self.notice_handler.apply,
            self._rng,
            self.metrics,
        )
        gossip = self.feed.gossip
        self.notice_handler.publish = gossip.publish
        gossip.plan = lambda: self._reader and self._reader.plan
        gossip.on_plan = self._put_in_force
        self.follower = Follower(
            self._reactor,
            clock,
            self.feed.control,
            self._rng,
            _pace(bounds),
            self._on_listing,
            self.view.apply_changes,
            self.view.store_recovered,
        )

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(*self._repeats())
        return budget

    def _repeats(self) -> tuple[float, float, timedelta]:
        cfg = self._cfg["retries"]
        return cfg["ratio"], cfg["slack"], self._bounds.retry_window

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Put changed settings in force; those that need a new start are named in the log."""
        fixed = [name for name in FIXED if cfg.get(name) != self._cfg.get(name)]
        if fixed:
            log("restart-needed", settings=fixed)
        kept = {name: self._cfg[name] for name in FIXED if name in self._cfg}
        free = {name: value for name, value in cfg.items() if name not in FIXED}
        self._cfg = t.cast(GatewaySettings, {**free, **kept})
        self._bounds = bounds_of(self._cfg)
        self.selector.cold_limit = _cold_limit(self._cfg)
        for budget in self._budgets.values():
            budget.set_limits(*self._repeats())
        self.entries.count_window = self._bounds.retry_window
        self.follower.pace = _pace(self._bounds)
        self.feed.use_drain_time(self._bounds.drain_time)
        self.upstream_table.use_regions(self._cfg["zones"])
        log("reloaded", changed_fixed=bool(fixed))

    # Life.

    def start(self) -> None:
        """Listen and begin to follow the store.

        Raises
        ------
        twisted.internet.error.CannotListenError
            If the callers' address can't be had.
        cardamomloft.peers.node.BindError
            If the address for other gateways can't be had.
        """
        self._port = listen(self._reactor, self._cfg["callers"], self.app)
        host, _, port = self._cfg["operators"].rpartition(":")
        pages = ControlApp(GatewayStatus(self)).site()
        pages.log = lambda request: None
        self.pages = self._reactor.listenTCP(int(port), pages, interface=host)
        self.feed.start(self._on_fault)
        self.follower.start(self._on_fault)
        self._timers.every(_TICK, self._tick)
        self._timers.every(COMPARE_INTERVAL, self.feed.gossip.compare)
        self._timers.every(FIGURES_INTERVAL, self._log_figures)
        log("started", entry=self._cfg["name"], zone=self._cfg["zone"])

    def stop(self) -> None:
        """Stop without cutting off requests; asking again changes nothing."""
        self.lifecycle.stop()

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.lifecycle.state() == "ready"

    def on_ready(self) -> None:
        """Let the other entries name this one."""
        log("ready", configuration=self.configuration, upstreams=len(self.upstream_table))
        self._timers.every(self.presence.interval, self.presence.refresh)

    def on_leaving(self) -> None:
        """Leave the look-ups, and go on serving those who asked before."""
        log("leaving", in_flight=self.app.in_flight)
        self.presence.withdraw()
        self.app.start_closing()
        stop_time = self._bounds.stop_time.total_seconds()
        self._reactor.callLater(stop_time * LINGER_PART, self.lifecycle.lingered)
        self._hard_stop = self._reactor.callLater(
            stop_time * HARD_STOP_PART, self.lifecycle.drained
        )

    def on_closing(self) -> None:
        """Take no new connections, and finish what is in flight."""
        log("closing", in_flight=self.app.in_flight)
        if self._port is not None:
            self._port.stopListening()
        finished = self.app.drained()
        # The last answers are written, but not sent: wait until their connections are closed.
        finished.addCallback(lambda _: self.app.disconnect())
        finished.addCallback(lambda _: self._reactor.callLater(0, self.lifecycle.drained))

    def on_stopped(self) -> None:
        """Release everything and end the process."""
        if self._hard_stop is not None and self._hard_stop.active():
            self._hard_stop.cancel()
        self._timers.stop()
        self.feed.stop()
        self.follower.stop()
        log("stopped", in_flight=self.app.in_flight)
        if not self.stopped.called:
            self.stopped.callback(None)

    # Callers.

    def handle(
        self, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> "Deferred[Answer]":
        """Answer one request."""
        return ensureDeferred(self._handle(head, body, gone))

    async def _handle(self, head: RequestHead, body: RequestBody, gone: "Deferred[None]") -> Answer:
        self.metrics.count("requests")
        call = self._admitted(head)
        if isinstance(call, Refusal):
            request_id = dict(head.headers).get(self.headers.request_id, "")
            self.records.unread(head, request_id, call, self._clock.monotonic())
            return self.forwarder.refuse(call)
        return await self.forwarder.forward(call, head, body, gone)

    def _may_overlap(self, head: RequestHead) -> bool:
        return self._reader is not None and self._reader.is_idempotent(head)

    def _admitted(self, head: RequestHead) -> Call | Refusal:
        if self.lifecycle.admits() and self._reader is not None:
            return self.read(head)
        starting = self.lifecycle.state() == "starting"
        reason = RefusalReason.NOT_READY if starting else RefusalReason.STOPPING
        return Refusal(reason, "ask another entry")

    def read(self, head: RequestHead) -> Call | Refusal:
        """Return the call behind a request by the configuration in force."""
        if self._reader is None:
            return Refusal(RefusalReason.NOT_READY, "no configuration yet")
        return self._reader.read(head, self._clock.monotonic())

    @property
    def configuration(self) -> int:
        """The number of the configuration in force, 0 before the first."""
        return self._reader.plan.number if self._reader else 0

    def lookup(self, host: str, zone: str, region: str) -> Named | Refusal:
        """Name the entries that a client should use for `host`."""
        self.metrics.count("lookups")
        if self._reader is None:
            return Refusal(RefusalReason.NOT_READY, "no configuration yet")
        homes = self._reader.home_regions.get(host, frozenset())
        zones, ready = self._cfg["zones"], self.ready()
        named = self._names.find(zone, region, homes, zones, with_own=ready)
        if not named:
            return Refusal(RefusalReason.NOT_READY, "no entry is ready")
        ttl = min(LOOKUP_LIFE, self._bounds.lookup_life)
        return Named([record.address for record in named], ttl)

    # The store.

    def _on_listing(self, listing: Listing) -> None:
        first = not self.view.listed
        self.view.apply_listing(listing)
        if first:
            self.feed.gossip.catch_up()
        self._check_prepared()

    def _put_in_force(self, plan: RoutePlan) -> None:
        held = self.configuration
        if plan.number <= held:
            if plan.number < held:
                log("configuration-older", offered=plan.number, held=held)
            return
        self._reader = RequestReader(plan, self.headers, self._rng)
        self.selector.policies = plan.services
        self.app.set_idle_timeout(plan.limits.idle_timeout)
        self.app.set_head_limits(plan.limits.head_bytes, plan.limits.head_timeout)
        log("in-force", configuration=plan.number, rules=len(plan.rules))
        self._check_prepared()

    def _check_prepared(self) -> None:
        if self.view.listed and self._reader is not None:
            self.lifecycle.prepared()

    # Timers.

    def _tick(self) -> None:
        self._log_irregularity()
        self.view.tick()
        self.notice_handler.tick()

    def _log_irregularity(self) -> None:
        found = self._timekeeper.check()
        if found is not None:
            ms = timedelta(milliseconds=1)
            log("irregular-time", late_ms=found.late // ms, stepped_ms=found.stepped // ms)

    def _log_figures(self) -> None:
        """Log what was counted since the last time: the process's own page dies with it."""
        counted = Counter(self.metrics.counters)
        counted.subtract(self._logged_figures)
        self._logged_figures = Counter(self.metrics.counters)
        grown = {name: value for name, value in sorted(counted.items()) if value}
        if grown:
            log("figures", **grown)

    def _on_fault(self, failure: Failure) -> None:
        self.metrics.count("faults")
        log("fault", detail=failure.getErrorMessage(), trace=failure.getTraceback())


def _cold_limit(cfg: GatewaySettings) -> ColdLimit:
    return ColdLimit(cfg["cold"]["overage"], cfg["cold"]["slack"])


def _pace(bounds: Bounds) -> PollTiming:
    return PollTiming(bounds.drain_time * FOLLOW_PART, bounds.drain_time * WAIT_PART)
