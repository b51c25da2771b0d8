"""Changes that gateways pass on: in force in time everywhere, never back, whatever relays do.

The gateways here run their own following, asking and answering; the store, the network between
them and the faults are in memory, on one clock.
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

IN_TOUCH = 4000 * MS
"""How long a gateway must have reached the store undisturbed for the bound to count."""


def test_only_relays_ask_the_store_once_all_know_each_other():
    run = Deployment()
    before = counter_total(run.subscribers(), "changes_from_store")
    run.run(20_000 * MS)
    assert counter_total(run.subscribers(), "changes_from_store") == before
    assert counter_total(run.gateways, "relay_silent") == 0
    for gateway in run.subscribers():
        assert gateway.feed.status()["relays"] == run.relays


def test_a_change_is_passed_on_within_milliseconds_of_the_relay_hearing_it():
    run = Deployment()
    run.run(5000 * MS)
    run.configure()
    run.run(20 * MS + DRAIN_TIME * 0.05)
    assert run.outdated_gateways() == []


def test_changes_in_series_are_in_force_within_half_of_the_drain_time():
    run = Deployment()
    for _ in range(20):
        run.configure()
        run.run(DRAIN_TIME * 0.5)
        assert run.outdated_gateways() == []


@pytest.mark.parametrize("fault", ["cut", "refused", "silenced", "both"])
def test_relays_that_lose_the_store_or_the_others_delay_no_change_too_long(fault):
    """The change comes the moment after the relays were cut off: the worst that there is."""
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


def test_relays_that_stop_hand_over_at_once():
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
    asked = counter_total(run.subscribers(), "changes_from_store") - before
    assert asked < 2 * 10_000 * MS / (DRAIN_TIME * 0.35) + 2


def test_a_gateway_that_leaves_hears_of_changes_from_the_store():
    """Its record is gone, so no relay answers it; it still serves those who asked before."""
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
def test_a_gateway_that_the_store_alone_does_not_answer_hears_of_changes_all_the_same(fault):
    """Callers got 404 from one gateway for rules that all the others had.

    The store turned that gateway away. Each renewal of its lease failed, so it doubted whatever it
    was asking, and asked the store, in vain; its relay would have answered.
    """
    run = Deployment()
    alone = run.subscribers()[0]
    getattr(run.store, fault).add(alone.name)
    for _ in range(6):
        run.configure()
        for _ in range(2):
            alone.follower.poll_now()
            run.run(1500 * MS)
        assert run.outdated_gateways() == []
    assert alone.follower.store_unavailable
    getattr(run.store, fault).clear()
    run.run(2000 * MS)
    assert not alone.follower.store_unavailable


def test_a_store_that_is_away_for_all_is_noticed_as_soon_as_without_relays():
    run = Deployment()
    names = {gateway.name for gateway in run.gateways}
    run.store.refused |= names
    for gateway in run.gateways:
        gateway.follower.poll_now()
    run.run(1200 * MS)
    assert {gateway.name for gateway in run.gateways if gateway.follower.store_unavailable} == names


def test_while_the_store_is_away_listeners_leave_it_to_relays_to_ask():
    """Each gateway asked twice a second: most of a day's calls fell into outages of 8 s."""
    run = Deployment()
    before = counter_total(run.subscribers(), "changes_from_store")
    _away(run, 8000 * MS)
    asked = counter_total(run.subscribers(), "changes_from_store") - before
    # Two until it counts as away, one each 0.7 of the drain time, and one when it is back.
    assert asked <= len(run.subscribers()) * (2 + 8000 * MS / (DRAIN_TIME * 0.7) + 1)


@pytest.mark.parametrize("relays", ["well", "cut", "silenced"])
def test_the_return_of_a_store_is_noticed_in_time_and_before_what_lapsed(relays):
    """Records that lapsed are kept for those who may record themselves again."""
    run = Deployment()
    back_at = _away(run, 8000 * MS, lapses=True)
    if relays == "cut":
        run.store.cut |= set(run.relays)
    if relays == "silenced":
        run.network.silenced |= set(run.relays)
    run.run(DRAIN_TIME)
    for gateway in run.subscribers():
        (noticed,) = gateway.recoveries
        assert noticed - back_at <= (600 * MS if relays == "well" else DRAIN_TIME * 0.9)
        assert gateway.withdrawals and gateway.withdrawals[0] >= noticed
    run.configure()
    run.run(DRAIN_TIME)
    assert {row.name for row in run.subscribers()}.isdisjoint(run.outdated_gateways())


def _away(run: Deployment, duration: timedelta, *, lapses: bool = False) -> timedelta:
    """Let the store be away for all, and return when it is back."""
    run.store.refused |= {row.name for row in run.gateways}
    run.run(duration)
    run.store.refused.clear()
    if lapses:
        run.store.write(("entry", "gone"), EntryWithdrawn("gone"), removes=True)
    return run.time.clock.monotonic()


def test_a_history_that_is_forgotten_hides_nothing():
    run = Deployment()
    run.store.write(("zone", "b"), ZoneDrained("b"))
    run.run(DRAIN_TIME)
    run.store.write(("zone", "b"), ZoneRestored("b"), removes=True)
    run.configure()
    run.store.discard_history()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []
    assert [row.name for row in run.gateways if row.drained] == []


def test_a_gateway_that_restarts_is_answered_though_it_has_an_old_relay():
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


def test_a_doubted_question_to_a_relay_leads_to_the_store():
    run = Deployment()
    listener = run.subscribers()[0]
    before = listener.metrics.counters["changes_from_store"]
    run.run(DRAIN_TIME * 0.2)
    listener.follower.poll_now()
    run.run(700 * MS)
    assert listener.metrics.counters["changes_from_store"] == before + 1


def test_numbers_beyond_all_bounds_raise_nothing():
    run = Deployment()
    listener, relay = run.subscribers()[0], run.by_name(run.relays[0])
    relay.receive(listener.me, ChangesRequest(10**6, run.store.era, run.store.revision, 2**61))
    assert relay.feed.port.held > 0
    run.run(31_000 * MS)
    assert all(gateway.faults == [] for gateway in run.gateways)
    assert run.outdated_gateways() == []


@pytest.mark.parametrize(("age_ms", "held_ms"), [(0, 2**61), (2**61, 0), (2**61, 2**61)])
def test_an_answer_makes_knowledge_no_younger_than_it_can_be(age_ms, held_ms):
    """A relay that is cut off from the store says whatever it likes of its age."""
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
    asked = sent[0][1]
    port.receive(
        Incarnation(relay.name, "1"),
        ChangesResponse(asked.number, 0, 5, encode_facts([]), False, age_ms, held_ms),
    )
    assert outcomes[0].ok.complete_at <= time.clock.monotonic()


def test_answers_that_nobody_asked_for_change_nothing():
    run = Deployment()
    listener, stranger = run.subscribers()[0], Incarnation("stranger", "1")
    for number in range(200):
        listener.receive(stranger, ChangesResponse(number, 1, 10**9, b"", False, 0, 0))
        listener.receive(
            Incarnation(run.relays[0], "9"), ChangesResponse(number, 1, 10**9, b"x", True, 0, 0)
        )
    listener.receive(stranger, ChangesRequest(1, 0, 0, 10**9))
    run.configure()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []
    assert listener.faults == []


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


class Troubles:
    """Brings faults about, and notes since when the store is undisturbed for each gateway."""

    def __init__(self, run: Deployment) -> None:
        self.run = run
        self.disturbed_at = {gateway.name: -IN_TOUCH for gateway in run.gateways}

    def bring(self, kind: str, at: int) -> None:
        run = self.run
        gateway = run.gateways[at]
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
                    self._disturb(name)
            case "restart" | "stop":
                self._end(gateway, restarts=kind == "restart")
            case "zone":
                drained = ("zone", "b") in run.store.held
                fact = ZoneRestored("b") if drained else ZoneDrained("b")
                run.store.write(("zone", "b"), fact, removes=drained)
            case "heal":
                for name in run.store.cut | run.store.refused:
                    self._disturb(name)
                run.store.cut.clear()
                run.store.refused.clear()
                run.network.silenced.clear()
                run.network.loss = 0.0

    def in_touch(self, gateway: Gateway) -> bool:
        if gateway.stopped or gateway.name in self.run.store.cut | self.run.store.refused:
            return False
        now = self.run.time.clock.monotonic()
        return now - self.disturbed_at[gateway.name] >= IN_TOUCH + DRAIN_TIME

    def _disturb(self, name: str) -> None:
        self.disturbed_at[name] = self.run.time.clock.monotonic()

    def _end(self, gateway: Gateway, *, restarts: bool) -> None:
        run = self.run
        if not gateway.stopped:
            gateway.stop()
        self._disturb(gateway.name)
        if restarts:
            new = Gateway(gateway.record, run.store, run.network, run.time, id(gateway) % 1000)
            run.gateways = [new if row is gateway else row for row in run.gateways]
            new.start()
        else:
            key = ("entry", gateway.name)
            run.store.write(key, EntryWithdrawn(gateway.name), removes=True)


@settings(max_examples=60, deadline=None)
@given(FAULTS, st.integers(0, 1000))
def test_under_any_series_of_faults_changes_are_in_time_and_nothing_goes_back(faults, seed):
    """A gateway that reaches the store has each change within the drain time, whatever else fails.

    Faults stay until they are healed, so they overlap; each comes the moment before a change.
    """
    run = Deployment(seed)
    troubles = Troubles(run)
    for kind, at, pause in faults:
        troubles.bring(kind, at)
        run.configure()
        run.run(pause * 100 * MS)
        _check(run)
        run.configure()
        run.run(DRAIN_TIME)
        held_back = [row.name for row in run.gateways if troubles.in_touch(row)]
        assert set(held_back).isdisjoint(run.outdated_gateways())
    troubles.bring("heal", 0)
    run.run(IN_TOUCH + DRAIN_TIME)
    live = [row for row in run.gateways if not row.stopped]
    drained = {fact.zone for fact in run.store.held.values() if isinstance(fact, ZoneDrained)}
    assert {row.name for row in live}.isdisjoint(run.outdated_gateways())
    assert [row.name for row in live if row.drained != drained] == []
    _check(run)


def _check(run: Deployment) -> None:
    for gateway in run.gateways:
        assert gateway.faults == []
        assert gateway.plans == sorted(gateway.plans)


def test_a_relay_tells_only_of_what_has_changed():
    run = Deployment()
    same = UpstreamRegistered(kit.registration(1))
    run.store.write("i-1", same)
    run.run(DRAIN_TIME)
    answered = counter_total(run.subscribers(), "changes_from_relay")
    for _ in range(100):
        run.store.write("i-1", same)
        run.run(25 * MS)
    # 2.5 s pass, and a question without news lasts 0.3 of the drain time at most; a listener that
    # got each report would have asked some 20 times.
    assert counter_total(run.subscribers(), "changes_from_relay") - answered <= 8 * 6


def test_records_and_leases_are_left_to_the_store():
    control = kit.FakeControl()
    record = kit.entry_records(1)[0]
    book = EntryTable(record, timedelta(seconds=10))
    time = kit.Time(Clock())
    feed = ChangeFeed(
        time.reactor,
        time.clock,
        control,
        record,
        book,
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
