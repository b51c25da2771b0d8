"""The gateway: creates its components, connects them and controls their life cycle."""

import random
import typing as t
from datetime import timedelta

from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead
from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.naming import EntryLookup
from cardamomloft.core.registrations import EntryRecord, Fact, UnreadablePlan
from cardamomloft.core.routes import RoutePlan, cold_times
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.timekeeping import ClockMonitor
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.accountaccess import AccountAccess
from cardamomloft.gateway.calls import Call, CallerHeaders
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.coldlogs import ColdLogs
from cardamomloft.gateway.control import Control, Listing
from cardamomloft.gateway.drainview import connect_drains
from cardamomloft.gateway.following import Follower, poll_timing
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.gossip import ASK_INTERVAL, COMPARE_INTERVAL
from cardamomloft.gateway.inforce import PlanInForce
from cardamomloft.gateway.lookups import LookupResult, lookup_result
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.peerproxy.fallback import PeerFallback
from cardamomloft.gateway.peerproxy.listener import HEADER_BYTES, RequestAccess
from cardamomloft.gateway.periodiclogs import FIGURES_INTERVAL, PeriodicLogs
from cardamomloft.gateway.presence import Presence
from cardamomloft.gateway.records import RequestLog
from cardamomloft.gateway.retrybudgets import RetryBudgets
from cardamomloft.gateway.settings import (
    PRESSURE_FEATURE,
    QUEUE_FEATURE,
    RESTART_SETTINGS,
    GatewaySettings,
    cold_limit,
    count_window,
    parse_bounds,
)
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft.gateway.stopping import GracefulStop
from cardamomloft.gateway.storeview import StoreView
from cardamomloft.gateway.usageexchange import REPORT_INTERVAL
from cardamomloft.runtime.control import ControlApp
from cardamomloft.runtime.lifecycle import make_lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.runtime.stopplan import StopSignal
from cardamomloft.runtime.timers import Timers
from cardamomloft.upstreams.client import UpstreamClient
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure

_TICK = timedelta(milliseconds=200)
"""Interval of periodic checks, such as for records that were not renewed after a store outage."""


class Gateway:
    """One gateway process.

    Parameters
    ----------
    reactor
        The event loop.
    cfg
        Checked settings.
    clock, rng
        Sources of time and randomness.
    control
        The control store.
    client
        Sends requests to upstream endpoints.
    headers
        The names of the callers' request headers.
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
        self._bounds = parse_bounds(cfg)
        self.metrics = Metrics()
        self.stopped: Deferred[None] = Deferred()
        self.lifecycle = make_lifecycle(self)
        self._timers = Timers(reactor, self._on_fault)
        self._port: IListeningPort | None = None
        self.pages: IListeningPort | None = None
        self._timekeeper = ClockMonitor(clock, _TICK)
        self._build()

    def _build(self) -> None:
        cfg, clock, bounds = self._cfg, self._clock, self._bounds
        self.plan = PlanInForce(
            clock, self._rng, self.headers, lambda: self.account_access.keys_verified()
        )
        self.plan.verified_age = lambda: self.feed.verified_age()
        peers = cfg.get("peers", "")
        own = EntryRecord(cfg["name"], cfg["callers"], cfg["zone"], cfg["region"], peers)
        self.upstream_table = UpstreamTable(cfg["zones"])
        self.entries = EntryTable(own, count_window(bounds))
        self.selector = Selector(
            self.upstream_table,
            cfg["name"],
            cfg["zone"],
            cold_limit(cfg),
            Preferences(),
            self._rng,
        )
        self._budgets = RetryBudgets(cfg["retries"])
        self.records = RequestLog(self.plan.knowledge)
        self.notice_handler = NoticeHandler(
            clock, self.upstream_table, self.selector.rate_limits, self.metrics
        )
        self._names = EntryLookup(self.entries, self.notice_handler.cut_off)
        self.forwarder = Forwarder(
            self._reactor,
            clock,
            self._rng,
            self.selector,
            self.upstream_table,
            self._client,
            self._budgets.of_service,
            self.metrics,
            self.records,
            self.notice_handler,
        )
        self.fallback = PeerFallback(
            self._reactor,
            clock,
            self._rng,
            own,
            self.entries,
            self.upstream_table,
            self._client,
            self.forwarder,
            self.notice_handler,
            self.headers,
            RequestAccess(
                self.read,
                lambda: self._stop.admits() and bool(self.plan),
                lambda: self.configuration,
                lambda name: self.feed.gossip.push_plan(name),
                lambda name: self.feed.gossip.ask_one(name),
                self.plan.is_idempotent,
                self._on_fault,
            ),
        )
        self.app = CallersApp(
            None, self.handle, self._on_fault, self.plan.is_idempotent, self.metrics
        )
        self._stop = GracefulStop(
            self._reactor,
            clock,
            self.lifecycle,
            (self.app, self.fallback.app),
            self.fallback.bodies_passed_on,
        )
        self.presence = Presence(
            clock, self._control, own, bounds.record_ttl, lambda: self.follower.poll_now()
        )
        self.selector.record_age = self.presence.record_lease.age
        self.view = StoreView(
            clock,
            self.upstream_table,
            self.entries,
            self.selector,
            self._client.close_idle,
            self._apply_stored_plan,
            self.metrics,
        )
        self.view.on_unreadable_plan = self._apply_unreadable_plan
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
        connect_drains(self.view.drains, self.feed, self.notice_handler)
        self.account_access = AccountAccess(
            self._reactor, clock, self._rng, own, self.entries, self.selector, self.feed, self.ready
        )
        self.account_access.keys_outdated = (
            lambda: self.plan.keys_outdated or not self.follower.applied
        )
        self.account_access.set_revocation_time(bounds.revocation_time)
        self.account_access.build_quotas(cfg.get("quotas"), self.metrics)
        self.selector.shared_loads.counts = self.metrics.counters
        self._logs = PeriodicLogs(
            clock,
            self._timekeeper,
            self.metrics,
            self.plan,
            self.selector,
            self.feed,
            self.forwarder,
            ColdLogs(self.upstream_table, self.selector, self.feed, clock.monotonic),
        )
        self._set_features()
        self.forwarder.on_not_run = self.account_access.return_token
        self.notice_handler.publish = gossip.publish
        gossip.plan = lambda: self.plan.plan
        gossip.on_plan = lambda plan, sender: self._apply_plan(plan, f"push {sender}")
        self.follower = Follower(
            self._reactor,
            clock,
            self.feed.control,
            self._rng,
            poll_timing(bounds.drain_time),
            self._on_listing,
            self._on_changes,
            self.view.store_recovered,
        )

    def _set_features(self) -> None:
        features = self._cfg.get("features", ())
        self.selector.shared_loads.set_all_services(
            PRESSURE_FEATURE in features, self._clock.monotonic()
        )
        has_queue = QUEUE_FEATURE in features
        self.selector.set_sends_late(not has_queue)
        self.forwarder.queue.set_enabled(has_queue)

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; log the names of those that need a restart to take effect."""
        needing_restart = [
            name for name in RESTART_SETTINGS if cfg.get(name) != self._cfg.get(name)
        ]
        if needing_restart:
            log("restart-needed", settings=needing_restart)
        kept = {name: self._cfg[name] for name in RESTART_SETTINGS if name in self._cfg}
        changeable = {name: value for name, value in cfg.items() if name not in RESTART_SETTINGS}
        self._cfg = t.cast(GatewaySettings, {**changeable, **kept})
        self._bounds = parse_bounds(self._cfg)
        self._set_features()
        self.selector.cold_limit = cold_limit(self._cfg)
        self._budgets.set_limits(self._cfg["retries"])
        self.entries.count_window = count_window(self._bounds)
        self.account_access.set_revocation_time(self._bounds.revocation_time)
        if "quotas" in self._cfg:
            self.account_access.set_quota_settings(self._cfg["quotas"])
        self.follower.timing = poll_timing(self._bounds.drain_time)
        self.feed.set_drain_time(self._bounds.drain_time)
        self.upstream_table.use_regions(self._cfg["zones"])
        log("reloaded", changed_fixed=bool(needing_restart))

    # Life cycle.

    def start(self) -> None:
        """Open the listeners and start following the store.

        Raises
        ------
        twisted.internet.error.CannotListenError
            If the address for callers or for operators cannot be bound.
        cardamomloft.peers.node.BindError
            If the address for other gateways cannot be bound.
        """
        self._port = listen(self._reactor, self._cfg["callers"], self.app)
        host, _, port = self._cfg["operators"].rpartition(":")
        pages = ControlApp(GatewayStatus(self)).site()
        pages.log = lambda request: None
        self.pages = self._reactor.listenTCP(int(port), pages, interface=host)
        self.feed.start(self._on_fault)
        if "proxy" in self._cfg:
            # After the other listeners, whose ports may be in the range.
            self.presence.set_proxy(*self.fallback.listener.start(self._cfg["proxy"]))
        self.follower.start(self._on_fault)
        self._timers.every(_TICK, self._tick)
        if self.feed.usage is not None:
            self._timers.every(REPORT_INTERVAL, self.feed.usage.report)
        self._timers.every(COMPARE_INTERVAL, self.feed.gossip.compare)
        self._timers.every(ASK_INTERVAL, self.feed.gossip.ask)
        self._timers.every(FIGURES_INTERVAL, self._logs.log_figures)
        log("started", entry=self._cfg["name"], zone=self._cfg["zone"])

    def stop(self, signal: StopSignal | None = None) -> None:
        """Start a graceful stop, by default as if a signal came now; further calls do nothing."""
        self._stop.receive(signal or self._stop_signal())

    def announce_stop(self) -> StopSignal:
        """Return what is known of a signal that is being handled; call `stop` with it next."""
        signal = self._stop_signal()
        self._stop.announce(signal, self._bounds.stop_time)
        return signal

    def _stop_signal(self) -> StopSignal:
        return StopSignal(self._timekeeper.last_running(), self._clock.monotonic())

    def ready(self) -> bool:
        """Return whether look-ups may name this entry."""
        return self.lifecycle.state() == "ready"

    def on_ready(self) -> None:
        """Record this entry in the store, so that look-ups of other entries name it."""
        log("ready", configuration=self.configuration, upstreams=len(self.upstream_table))
        self._timers.every(self.presence.interval, self.presence.refresh)

    def on_leaving(self) -> None:
        """Remove this entry from look-ups, and continue to serve callers that know its address."""
        plan = self._stop.leave(self._bounds.stop_time)
        self.presence.withdraw()
        self.forwarder.finish_by(plan.answer_by)

    def on_closing(self) -> None:
        """Close the listener, and finish the requests in flight."""
        if self._port is not None:
            self._port.stopListening()
        self.fallback.listener.stop_listening()
        self._stop.close()

    def on_stopped(self) -> None:
        """Release all resources and end the process."""
        self.records.cut_by_stop = self._stop.end()
        self._timers.stop()
        self.forwarder.close()
        self.feed.stop()
        self.follower.stop()
        self.fallback.stop()
        if not self.stopped.called:
            self.stopped.callback(None)

    # Requests of callers.

    def handle(
        self, head: RequestHead, body: RequestBody, disconnected: "Deferred[None]"
    ) -> "Deferred[Answer]":
        """Answer one request."""
        return ensureDeferred(self._handle(head, body, disconnected))

    async def _handle(
        self, head: RequestHead, body: RequestBody, disconnected: "Deferred[None]"
    ) -> Answer:
        self.metrics.count("requests")
        call = self._admit(head)
        if isinstance(call, Refusal):
            request_id = dict(head.headers).get(self.headers.request_id, "")
            self.records.write_unparsed(head, request_id, call, self._clock.monotonic())
            return self.forwarder.refuse(call)
        beyond_quota = self.account_access.beyond_quota(call)
        if beyond_quota is not None:
            now = self._clock.monotonic()
            self.records.write(call, "refused", now, detail=beyond_quota.detail)
            return self.forwarder.refuse(beyond_quota)
        return await self.forwarder.forward(call, head, body, disconnected)

    def _admit(self, head: RequestHead) -> Call | Refusal:
        if self._stop.admits() and self.plan:
            return self.read(head)
        starting = self.lifecycle.state() == "starting"
        reason = RefusalReason.NOT_READY if starting else RefusalReason.STOPPING
        return Refusal(reason, "this entry is not serving requests; send it to another entry")

    def read(self, head: RequestHead) -> Call | Refusal:
        """Parse a request according to the configuration in force."""
        return self.plan.read(head)

    @property
    def configuration(self) -> int:
        """The number of the configuration in force, 0 before the first."""
        return self.plan.number

    def lookup(self, host: str, zone: str, region: str) -> LookupResult | Refusal:
        """Return the entries that a client in this zone and region should use for `host`."""
        self.metrics.count("lookups")
        if not self.plan:
            return Refusal(RefusalReason.NOT_READY, "no configuration yet")
        homes = self.plan.home_regions(host)
        zones, ready = self._cfg["zones"], self.ready()
        named = self._names.find(zone, region, homes, zones, with_own=ready)
        return lookup_result(named, self._bounds.lookup_ttl)

    # Changes from the store.

    def _on_listing(self, listing: Listing) -> None:
        first = not self.view.listed
        self.view.apply_listing(listing)
        if first:
            self.feed.gossip.catch_up()
        self._check_prepared()

    def _on_changes(self, facts: tuple[Fact, ...]) -> None:
        self.view.apply_changes(facts)
        self.presence.on_changes(facts)

    def _apply_stored_plan(self, plan: RoutePlan) -> None:
        self._apply_plan(plan, self.follower.source)
        if self.plan.mark_readable():
            self.account_access.set_accounts(self.plan.accounts or ())

    def _apply_unreadable_plan(self, known: UnreadablePlan) -> None:
        if self.plan.mark_unreadable(known):
            self.account_access.set_accounts(self.plan.accounts or ())

    def _apply_plan(self, plan: RoutePlan, source: str = "") -> None:
        if not self.plan.replace(plan, source):
            return
        self.selector.policies = plan.services
        self.forwarder.answer_times.retain({rule.name for rule in plan.rules})
        self.upstream_table.set_cold_times(cold_times(plan), self._clock.monotonic())
        self.account_access.set_accounts(self.plan.accounts or ())
        self.app.set_idle_timeout(plan.limits.idle_timeout)
        self.app.set_head_limits(plan.limits.head_bytes, plan.limits.head_timeout)
        self.fallback.app.set_head_limits(
            plan.limits.head_bytes + HEADER_BYTES, plan.limits.head_timeout
        )
        self._check_prepared()

    def _check_prepared(self) -> None:
        if self.view.listed and self.plan:
            self.lifecycle.prepared()

    # Timers.

    def _tick(self) -> None:
        self._logs.log_irregular_time()
        self.account_access.log_verification()
        self.view.tick()
        self.notice_handler.tick()
        self.fallback.report()

    def _on_fault(self, failure: Failure) -> None:
        self.metrics.count("faults")
        log("fault", detail=failure.getErrorMessage(), trace=failure.getTraceback())
