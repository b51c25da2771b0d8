"""Relayed changes are in force in time at all gateways and never reverted, despite faults.

The gateways run their real polling and relaying code; the store, the network and the faults are
simulated on one clock.
"""

from datetime import timedelta
from types import SimpleNamespace

import pytest
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.messages import ChangesRequest, ChangesResponse
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import (
    EntryWithdrawn,
    UpstreamRegistered,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.factcodec import encode_facts
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.relaying import RelayPort
from cardamomloft.runtime.metrics import Metrics
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.relayharness import (
    DRAIN_TIME,
    ENTRY_COUNT,
    Deployment,
    Gateway,
    counter_total,
)
from expression import Ok
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

MS = kit.MS

UNDISTURBED_TIME = 4000 * MS
"""Time of undisturbed contact with the store after which the time bound applies."""


def test_only_relays_call_the_store_once_all_gateways_are_known():
    run = Deployment()
    before = counter_total(run.subscribers(), "changes_from_store")
    run.run(20_000 * MS)
    assert counter_total(run.subscribers(), "changes_from_store") == before
    assert counter_total(run.gateways, "relay_silent") == 0
    for gateway in run.subscribers():
        assert gateway.feed.status()["relays"] == run.relays


def test_relay_passes_on_a_change_within_milliseconds():
    run = Deployment()
    run.run(5000 * MS)
    run.configure()
    run.run(20 * MS + DRAIN_TIME * 0.05)
    assert run.outdated_gateways() == []


def test_successive_changes_are_in_force_within_half_of_the_drain_time():
    run = Deployment()
    for _ in range(20):
        run.configure()
        run.run(DRAIN_TIME * 0.5)
        assert run.outdated_gateways() == []


@pytest.mark.parametrize("fault", ["cut", "refused", "silenced", "both"])
def test_disconnected_relays_delay_no_change_beyond_the_drain_time(fault):
    """The configuration changes immediately after the fault, which is the worst case."""
    run = Deployment()
    for name in run.relays:
        if fault in ("cut", "both"):
            run.store.cut.add(name)
        if fault == "refused":
            run.store.refused.add(name)
        if fault in ("silenced", "both"):
            run.network.silenced.add(name)
    run.configure()
    run.run(DRAIN_TIME)
    others = {gateway.name for gateway in run.subscribers()}
    assert others.isdisjoint(run.outdated_gateways())


def test_stopped_relays_are_replaced_in_time():
    run = Deployment()
    for name in run.relays:
        run.by_name(name).stop()
        run.store.write(("entry", name), EntryWithdrawn(name), removes=True)
    run.configure()
    run.run(DRAIN_TIME)
    others = {gateway.name for gateway in run.subscribers()}
    assert others.isdisjoint(run.outdated_gateways())
    before = counter_total(run.subscribers(), "changes_from_store")
    run.run(10_000 * MS)
    calls = counter_total(run.subscribers(), "changes_from_store") - before
    assert calls < 2 * 10_000 * MS / (DRAIN_TIME * 0.35) + 2


def test_leaving_gateway_gets_changes_from_the_store():
    """Relays do not answer a gateway without a record, but callers may still use it."""
    run = Deployment()
    leaving = run.subscribers()[0]
    run.store.write(("entry", leaving.name), EntryWithdrawn(leaving.name), removes=True)
    leaving.present = False
    run.run(DRAIN_TIME)
    for _ in range(3):
        run.configure()
        run.run(DRAIN_TIME)
        assert run.outdated_gateways() == []
    assert leaving.metrics.counters["relay_silent"] <= 1


@pytest.mark.parametrize("fault", ["cut", "refused"])
def test_gateway_that_only_the_store_rejects_gets_changes_from_its_relay(fault):
    """Guards against 404 answers for new rules from a gateway that only the store rejects.

    Its failed lease renewals must not replace the request to its relay by calls to the store.
    """
    run = Deployment()
    rejected = run.subscribers()[0]
    getattr(run.store, fault).add(rejected.name)
    for _ in range(6):
        run.configure()
        for _ in range(2):
            rejected.follower.poll_now()
            run.run(1500 * MS)
        assert run.outdated_gateways() == []
    assert rejected.follower.store_unavailable
    getattr(run.store, fault).clear()
    run.run(2000 * MS)
    assert not rejected.follower.store_unavailable


def test_outage_is_detected_with_relays_as_soon_as_without():
    run = Deployment()
    names = {gateway.name for gateway in run.gateways}
    run.store.refused |= names
    for gateway in run.gateways:
        gateway.follower.poll_now()
    run.run(1200 * MS)
    assert {gateway.name for gateway in run.gateways if gateway.follower.store_unavailable} == names


def test_subscribers_leave_polling_to_relays_during_an_outage():
    """Guards against frequent store calls from all gateways during an outage."""
    run = Deployment()
    before = counter_total(run.subscribers(), "changes_from_store")
    _make_unavailable(run, 8000 * MS)
    calls = counter_total(run.subscribers(), "changes_from_store") - before
    # Per gateway two calls until the outage is detected, one per 0.7 of the drain time, and one at
    # the end.
    assert calls <= len(run.subscribers()) * (2 + 8000 * MS / (DRAIN_TIME * 0.7) + 1)


@pytest.mark.parametrize("relays", ["healthy", "cut", "silenced"])
def test_end_of_an_outage_is_detected_in_time_and_before_expirations(relays):
    """Guards against removing expired records before the end of the outage is detected."""
    run = Deployment()
    ended_at = _make_unavailable(run, 8000 * MS, with_expiration=True)
    if relays == "cut":
        run.store.cut |= set(run.relays)
    if relays == "silenced":
        run.network.silenced |= set(run.relays)
    run.run(DRAIN_TIME)
    for gateway in run.subscribers():
        (detected_at,) = gateway.recoveries
        assert detected_at - ended_at <= (600 * MS if relays == "healthy" else DRAIN_TIME * 0.9)
        assert gateway.withdrawals and gateway.withdrawals[0] >= detected_at
    run.configure()
    run.run(DRAIN_TIME)
    assert {row.name for row in run.subscribers()}.isdisjoint(run.outdated_gateways())


def _make_unavailable(
    run: Deployment, duration: timedelta, *, with_expiration: bool = False
) -> timedelta:
    """Make the store unavailable to all gateways for `duration`, and return the end time."""
    run.store.refused |= {row.name for row in run.gateways}
    run.run(duration)
    run.store.refused.clear()
    if with_expiration:
        run.store.write(("entry", "gone"), EntryWithdrawn("gone"), removes=True)
    return run.time.clock.monotonic()


def test_lost_history_hides_no_change():
    run = Deployment()
    run.store.write(("zone", "b"), ZoneDrained("b"))
    run.run(DRAIN_TIME)
    run.store.write(("zone", "b"), ZoneRestored("b"), removes=True)
    run.configure()
    run.store.discard_history()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []
    assert [row.name for row in run.gateways if row.drained] == []


def test_restarted_gateway_gets_changes_from_relays():
    run = Deployment()
    old = run.subscribers()[0]
    old.stop()
    new = Gateway(old.record, run.store, run.network, run.time, 99)
    run.gateways = [new if row is old else row for row in run.gateways]
    new.start()
    run.run(DRAIN_TIME)
    before = new.metrics.counters["changes_from_store"]
    run.run(3 * DRAIN_TIME)
    assert new.metrics.counters["changes_from_store"] == before
    run.configure()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []


def test_extra_poll_while_a_relay_holds_a_request_goes_to_the_store():
    run = Deployment()
    subscriber = run.subscribers()[0]
    before = subscriber.metrics.counters["changes_from_store"]
    run.run(DRAIN_TIME * 0.2)
    subscriber.follower.poll_now()
    run.run(700 * MS)
    assert subscriber.metrics.counters["changes_from_store"] == before + 1


def test_request_with_huge_numbers_causes_no_fault():
    run = Deployment()
    subscriber, relay = run.subscribers()[0], run.by_name(run.relays[0])
    relay.receive(subscriber.me, ChangesRequest(10**6, run.store.era, run.store.revision, 2**61))
    assert relay.feed.port.held > 0
    run.run(31_000 * MS)
    assert all(gateway.faults == [] for gateway in run.gateways)
    assert run.outdated_gateways() == []


@pytest.mark.parametrize(("age_ms", "held_ms"), [(0, 2**61), (2**61, 0), (2**61, 2**61)])
def test_relayed_data_is_never_dated_after_the_present(age_ms, held_ms):
    """Guards against ages from a relay that would date its data after the present."""
    time = kit.Time(Clock())
    sent = []
    port = RelayPort(
        time.reactor, time.clock, ChangeTable(), lambda: None, lambda name: None, Metrics()
    )
    port.peers = SimpleNamespace(send=lambda *message: sent.append(message) or True)
    relay = kit.entry_records(1)[0]
    outcomes = []
    port.request_changes(relay, kit.position(5), DRAIN_TIME, DRAIN_TIME).addCallback(
        outcomes.append
    )
    time.advance(40 * MS)
    request = sent[0][1]
    port.receive(
        Incarnation(relay.name, "1"),
        ChangesResponse(request.number, 0, 5, encode_facts([]), False, age_ms, held_ms),
    )
    assert outcomes[0].ok.complete_at <= time.clock.monotonic()


def test_unrequested_answers_are_ignored():
    run = Deployment()
    subscriber, unknown_peer = run.subscribers()[0], Incarnation("stranger", "1")
    for number in range(200):
        subscriber.receive(unknown_peer, ChangesResponse(number, 1, 10**9, b"", False, 0, 0))
        subscriber.receive(
            Incarnation(run.relays[0], "9"), ChangesResponse(number, 1, 10**9, b"x", True, 0, 0)
        )
    subscriber.receive(unknown_peer, ChangesRequest(1, 0, 0, 10**9))
    run.configure()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []
    assert subscriber.faults == []


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cut", "refused", "silenced", "loss", "forget", "restart", "stop", "zone", "heal"]
        ),
        st.integers(0, ENTRY_COUNT - 1),
        st.integers(0, 40),
    ),
    max_size=12,
)


class FaultInjector:
    """Injects faults, and records when each gateway's contact with the store was last disturbed."""

    def __init__(self, run: Deployment) -> None:
        self.run = run
        self.disturbed_at = {gateway.name: -UNDISTURBED_TIME for gateway in run.gateways}

    def inject(self, kind: str, index: int) -> None:
        run = self.run
        gateway = run.gateways[index]
        match kind:
            case "cut" | "refused":
                getattr(run.store, kind).add(gateway.name)
            case "silenced":
                run.network.silenced.add(gateway.name)
            case "loss":
                run.network.loss = 0.3
            case "forget":
                run.store.discard_history()
                for name in self.disturbed_at:
                    self._mark_disturbed(name)
            case "restart" | "stop":
                self._stop(gateway, restarts=kind == "restart")
            case "zone":
                drained = ("zone", "b") in run.store.held
                fact = ZoneRestored("b") if drained else ZoneDrained("b")
                run.store.write(("zone", "b"), fact, removes=drained)
            case "heal":
                for name in run.store.cut | run.store.refused:
                    self._mark_disturbed(name)
                run.store.cut.clear()
                run.store.refused.clear()
                run.network.silenced.clear()
                run.network.loss = 0.0

    def is_undisturbed(self, gateway: Gateway) -> bool:
        if gateway.stopped or gateway.name in self.run.store.cut | self.run.store.refused:
            return False
        now = self.run.time.clock.monotonic()
        return now - self.disturbed_at[gateway.name] >= UNDISTURBED_TIME + DRAIN_TIME

    def _mark_disturbed(self, name: str) -> None:
        self.disturbed_at[name] = self.run.time.clock.monotonic()

    def _stop(self, gateway: Gateway, *, restarts: bool) -> None:
        run = self.run
        if not gateway.stopped:
            gateway.stop()
        self._mark_disturbed(gateway.name)
        if restarts:
            new = Gateway(gateway.record, run.store, run.network, run.time, id(gateway) % 1000)
            run.gateways = [new if row is gateway else row for row in run.gateways]
            new.start()
        else:
            key = ("entry", gateway.name)
            run.store.write(key, EntryWithdrawn(gateway.name), removes=True)


@settings(max_examples=60, deadline=None)
@given(FAULTS, st.integers(0, 1000))
def test_changes_are_in_time_and_never_reverted_under_any_sequence_of_faults(faults, seed):
    """A gateway that reaches the store gets each change within the drain time, whatever else fails.

    Faults last until they are healed, so they overlap. A change follows each fault immediately.
    """
    run = Deployment(seed)
    injector = FaultInjector(run)
    for kind, index, pause in faults:
        injector.inject(kind, index)
        run.configure()
        run.run(pause * 100 * MS)
        _check_gateways(run)
        run.configure()
        run.run(DRAIN_TIME)
        undisturbed = [row.name for row in run.gateways if injector.is_undisturbed(row)]
        assert set(undisturbed).isdisjoint(run.outdated_gateways())
    injector.inject("heal", 0)
    run.run(UNDISTURBED_TIME + DRAIN_TIME)
    live = [row for row in run.gateways if not row.stopped]
    drained = {fact.zone for fact in run.store.held.values() if isinstance(fact, ZoneDrained)}
    assert {row.name for row in live}.isdisjoint(run.outdated_gateways())
    assert [row.name for row in live if row.drained != drained] == []
    _check_gateways(run)


def _check_gateways(run: Deployment) -> None:
    for gateway in run.gateways:
        assert gateway.faults == []
        assert gateway.plans == sorted(gateway.plans)


def test_relay_does_not_pass_on_unchanged_writes():
    run = Deployment()
    unchanged = UpstreamRegistered(kit.registration(1))
    run.store.write("i-1", unchanged)
    run.run(DRAIN_TIME)
    before = counter_total(run.subscribers(), "changes_from_relay")
    for _ in range(100):
        run.store.write("i-1", unchanged)
        run.run(25 * MS)
    # In 2.5 s with requests held for at most 0.3 of the drain time, each subscriber makes few. One
    # that received each write would make about 20 requests.
    assert counter_total(run.subscribers(), "changes_from_relay") - before <= 8 * 6


def test_records_and_leases_are_handled_by_the_store():
    control = kit.FakeControl()
    record = kit.entry_records(1)[0]
    entry_table = EntryTable(record, timedelta(seconds=10))
    time = kit.Time(Clock())
    feed = ChangeFeed(
        time.reactor,
        time.clock,
        control,
        record,
        entry_table,
        lambda: True,
        DRAIN_TIME,
        lambda notice: None,
        kit.rng(),
        Metrics(),
    )
    results = []
    feed.control.record(record, DRAIN_TIME).addCallback(results.append)
    feed.control.renew("7").addCallback(results.append)
    feed.control.withdraw("7").addCallback(results.append)
    assert control.calls == ["record east-1", "renew 7", "withdraw 7"]
    assert results == [Ok("7"), Ok(True), Ok(None)]
