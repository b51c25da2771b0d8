"""After a restore of the store from a backup, no change is reverted and all gateways converge."""

import random
from datetime import timedelta
from types import SimpleNamespace

import pytest
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    PlanRead,
    UpstreamRegistered,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.core.restoration import CONFIRMATION_TIMEOUT
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.relays import relays_of
from cardamomloft.feed.sources import SourceSelector
from cardamomloft.gateway.control import Changes, Listing
from cardamomloft.gateway.relayedcontrol import RelayedControl
from cardamomloft.gateway.relaying import RelayedChanges
from cardamomloft.gateway.storeview import StoreView
from cardamomloft.runtime.metrics import Metrics
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.relayharness import DRAIN_TIME, ENTRY_COUNT, Deployment, Gateway
from expression import Ok
from hypothesis import example, given, settings
from hypothesis import strategies as st
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

MS = kit.MS

RECORD_REPEAT_DELAY = 1500 * MS
"""Time until a gateway detects at a renewal that its lease is of an earlier era."""

WRITE_REPEAT_DELAY = 1000 * MS
"""Time until operators and endpoints repeat the writes that a restore has lost."""

CONVERGENCE_TIME = 3000 * MS
"""Time after a restore within which all gateways have the same state."""


class View:
    """The store view of one gateway, to which listings of any era can be applied."""

    def __init__(self) -> None:
        self.time = kit.Time(Clock())
        self.upstream_table = UpstreamTable({"a": "east", "b": "east"})
        own = EntryRecord("e-0", "10.0.0.1:80", "a", "east")
        self.entry_table = EntryTable(own, timedelta(seconds=10))
        selector = Selector(self.upstream_table, "e-0", "a", None, Preferences())
        self.plans = []
        self.metrics = Metrics()
        self.view = StoreView(
            self.time.clock,
            self.upstream_table,
            self.entry_table,
            selector,
            lambda address: None,
            self.plans.append,
            self.metrics,
        )

    def listed(self, *facts, era=1) -> None:
        self.view.apply_listing(Listing(facts, kit.position(10, era)))

    def advance(self, duration) -> None:
        for _ in range(duration // (100 * MS)):
            self.time.advance(100 * MS)
            self.view.tick()

    def eligible(self) -> list[str]:
        return [up.id for up in self.upstream_table.of_service("menus")]


def up(number, **changes):
    return UpstreamRegistered(kit.registration(number, **changes))


def test_endpoint_missing_after_a_restore_serves_until_it_registers_again():
    view = View()
    view.listed(up(1), up(2))
    view.listed(up(1), era=2)
    assert view.eligible() == ["i-1", "i-2"]
    view.advance(1500 * MS)
    view.view.apply_changes((up(2),))
    view.advance(5000 * MS)
    assert view.eligible() == ["i-1", "i-2"]


def test_endpoint_missing_after_a_restore_is_removed_if_it_does_not_register():
    view = View()
    view.listed(up(1), up(2))
    view.listed(up(1), era=2)
    view.advance(CONVERGENCE_TIME)
    assert view.eligible() == ["i-1"]


@pytest.mark.parametrize("departure", [up(1, draining=True), UpstreamWithdrawn("i-1")])
def test_endpoint_that_left_before_a_restore_is_not_used_again(departure):
    view = View()
    view.listed(up(1), up(2))
    view.view.apply_changes((departure,))
    view.listed(up(1), up(2), era=2)
    view.advance(CONVERGENCE_TIME)
    assert view.eligible() == ["i-2"]
    assert view.metrics.counters["doubted_facts"] == 1
    view.view.apply_changes((up(1),))
    assert view.eligible() == ["i-1", "i-2"]


@pytest.mark.parametrize("is_relisted", [False, True])
def test_unconfirmed_registration_is_used_after_the_confirmation_timeout(is_relisted):
    """Guards against never using an endpoint or entry that registered again before the listing."""
    view = View()
    entry = EntryRecorded(kit.entry_records(1)[0])
    view.listed(up(1), entry)
    view.view.apply_changes((UpstreamWithdrawn("i-1"), EntryWithdrawn(entry.record.name)))
    view.listed(up(1), entry, era=2)
    view.advance(CONFIRMATION_TIMEOUT - 200 * MS)
    if is_relisted:
        view.listed(up(1), entry, era=2)
    assert (view.eligible(), len(view.entry_table.records(with_own=False))) == ([], 0)
    view.advance(400 * MS)
    assert (view.eligible(), len(view.entry_table.records(with_own=False))) == (["i-1"], 1)


def test_unconfirmed_registration_that_is_withdrawn_is_not_used():
    view = View()
    view.listed(up(1))
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.listed(up(1), era=2)
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.advance(2 * CONFIRMATION_TIMEOUT)
    assert view.eligible() == []


def test_unconfirmed_registration_missing_in_a_later_listing_is_not_used():
    view = View()
    view.listed(up(1), up(2))
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.listed(up(1), up(2), era=2)
    view.listed(up(2), era=2)
    view.advance(2 * CONFIRMATION_TIMEOUT)
    assert view.eligible() == ["i-2"]


def test_drain_lost_in_a_restore_stays_until_operators_repeat_it():
    view = View()
    view.listed(up(1))
    view.view.apply_changes((ZoneDrained("a"),))
    view.listed(up(1), era=2)
    view.advance(WRITE_REPEAT_DELAY)
    assert view.eligible() == []
    view.view.apply_changes((ZoneDrained("a"),))
    view.advance(2 * CONFIRMATION_TIMEOUT)
    assert view.eligible() == []


def test_drain_lost_in_a_restore_ends_after_the_confirmation_timeout():
    view = View()
    view.listed(up(1), ZoneDrained("a"))
    view.listed(up(1), era=2)
    view.listed(up(1), era=2)
    view.advance(CONFIRMATION_TIMEOUT - 200 * MS)
    assert view.eligible() == []
    view.advance(400 * MS)
    assert view.eligible() == ["i-1"]


def test_drain_that_operators_end_after_a_restore_ends_at_once():
    view = View()
    view.listed(up(1), ZoneDrained("a"))
    view.listed(up(1), era=2)
    view.view.apply_changes((ZoneRestored("a"),))
    assert view.eligible() == ["i-1"]


def test_budgets_are_divided_among_entries_missing_in_the_backup():
    view = View()
    records = [EntryRecorded(row) for row in kit.entry_records(4)]
    view.listed(*records)
    view.listed(*records[:1], era=2)
    assert len(view.entry_table.records(with_own=True)) == 5
    assert view.entry_table.recent_count(view.time.clock.monotonic()) == 5


def test_listing_without_eras_replaces_the_state():
    view = View()
    view.listed(up(1), up(2), ZoneDrained("b"), era=0)
    view.listed(up(1), era=0)
    assert view.eligible() == ["i-1"]
    assert view.upstream_table.drained_zones == set()


class Environment:
    """Restores the store of a deployment, and repeats the lost writes of operators and gateways."""

    def __init__(self, run: Deployment, seed: int) -> None:
        self.run = run
        self.rng = random.Random(seed)

    def restore(self, age: timedelta) -> None:
        """Restore a backup of that age; lost operators' writes and records are repeated later."""
        run = self.run
        facts = dict(run.store.held)
        run.store.restore(age)
        run.time.reactor.callLater(WRITE_REPEAT_DELAY.total_seconds(), self._repeat_writes, facts)
        run.time.reactor.callLater(RECORD_REPEAT_DELAY.total_seconds(), self._repeat_records)

    def _repeat_writes(self, facts) -> None:
        store = self.run.store
        for key, fact in facts.items():
            is_outdated = isinstance(fact, PlanRead) and fact.plan.number < self.run.number
            if (
                isinstance(fact, PlanRead | ZoneDrained)
                and store.held.get(key) != fact
                and not is_outdated
            ):
                store.write(key, fact)
        for key in [key for key in store.held if isinstance(store.held[key], ZoneDrained)]:
            if key not in facts:
                store.write(key, ZoneRestored(key[1]), removes=True)

    def _repeat_records(self) -> None:
        run = self.run
        names = {gateway.name for gateway in run.gateways if not gateway.stopped}
        for gateway in run.gateways:
            key = ("entry", gateway.name)
            if gateway.name in names and key not in run.store.held:
                run.store.write(key, EntryRecorded(gateway.record))
        for key in [key for key in run.store.held if key[0] == "entry" and key[1] not in names]:
            run.store.write(key, EntryWithdrawn(key[1]), removes=True)


@pytest.mark.parametrize("age", [0, 500, 3000, 60_000])
@pytest.mark.parametrize("fault", ["none", "relays cut", "one cut", "relays silenced"])
def test_configuration_written_after_a_restore_is_in_force_in_time(age, fault):
    run = Deployment()
    environment = Environment(run, 1)
    run.configure()
    run.run(DRAIN_TIME)
    disconnected = run.subscribers()[0].name
    if fault == "relays cut":
        run.store.cut |= set(run.relays)
    if fault == "one cut":
        run.store.cut.add(disconnected)
    if fault == "relays silenced":
        run.network.silenced |= set(run.relays)
    environment.restore(age * MS)
    run.run(CONVERGENCE_TIME)
    run.configure()
    run.run(DRAIN_TIME)
    outdated_gateways = set(run.outdated_gateways()) - (
        set(run.relays) if fault.startswith("relays") else set()
    )
    assert outdated_gateways == set()


def test_revision_reused_after_a_restore_hides_no_change():
    """Guards against comparing revisions of different eras, which skips changes after a restore."""
    run = Deployment()
    run.store.write(("zone", "b"), ZoneDrained("b"))
    run.run(DRAIN_TIME)
    revision = run.store.revision
    run.store.restore(DRAIN_TIME + 100 * MS)
    while run.store.revision < revision:
        run.store.write(("zone", "c"), ZoneDrained("c"))
    run.run(DRAIN_TIME)
    assert {"c" in gateway.drained for gateway in run.gateways} == {True}
    run.run(CONFIRMATION_TIMEOUT)
    assert {frozenset(gateway.drained) for gateway in run.gateways} == {frozenset("c")}


def test_gateway_disconnected_from_the_store_gets_the_new_era_from_a_relay():
    run = Deployment()
    disconnected = run.subscribers()[0]
    run.store.cut.add(disconnected.name)
    run.run(DRAIN_TIME)
    Environment(run, 1).restore(1000 * MS)
    run.run(CONVERGENCE_TIME)
    run.store.write(("zone", "b"), ZoneDrained("b"))
    run.run(DRAIN_TIME)
    assert disconnected.drained == {"b"}


def test_restored_store_is_not_listed_by_all_gateways():
    run = Deployment()
    run.run(DRAIN_TIME)
    before = run.store.calls
    run.store.restore(0 * MS)
    run.run(DRAIN_TIME)
    assert run.store.calls - before < len(run.gateways)


RELAYED_FACT, STORE_FACT = PlanRead(kit.plan(1)), ZoneDrained("b")
FROM_STORE = Changes((STORE_FACT,), kit.position(70, era=2))


@pytest.mark.parametrize(
    ("index", "whole", "is_used"),
    [
        (kit.position(65, era=2), False, True),
        (kit.position(65, era=2), True, True),
        (kit.position(5, era=3), True, True),
        (kit.position(5, era=3), False, False),
        (kit.position(99, era=1), True, False),
        (kit.position(99, era=1), False, False),
        (kit.position(59, era=2), True, False),
    ],
)
def test_relay_answers_of_an_earlier_era_or_partial_ones_of_a_later_era_are_discarded(
    index, whole, is_used
):
    time = kit.Time(Clock())
    records = kit.entry_records(ENTRY_COUNT)
    own = next(row for row in records if row not in relays_of("east", records))
    sources, table = SourceSelector(own, DRAIN_TIME), ChangeTable()
    table.apply_listing((), kit.position(60, era=2))
    sources.record_complete(time.clock.monotonic())
    time.advance(100 * MS)
    answer = RelayedChanges((RELAYED_FACT,), index, time.clock.monotonic(), whole)
    port = SimpleNamespace(
        request_changes=lambda *args: succeed(Ok(answer)), answer_held_requests=lambda: None
    )
    store = SimpleNamespace(changes=lambda after, wait: succeed(Ok(FROM_STORE)))
    control = RelayedControl(store, time.clock, table, sources, port, lambda: records, Metrics())
    outcomes = []
    control.changes(kit.position(60, era=2), DRAIN_TIME).addCallback(outcomes.append)
    (changes,) = (outcome.ok for outcome in outcomes)
    assert changes.facts == ((RELAYED_FACT,) if is_used else FROM_STORE.facts)
    assert changes.whole == (is_used and whole)
    assert table.index == (index if is_used else FROM_STORE.index)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["restore", "configure", "zone", "cut", "silence", "heal", "forget", "restart", "loss"]
        ),
        st.integers(0, ENTRY_COUNT - 1),
        st.integers(0, 60),
    ),
    max_size=12,
)


def run_steps(steps, seed) -> None:
    run = Deployment(seed)
    environment = Environment(run, seed)
    for kind, at, pause in steps:
        gateway = run.gateways[at]
        match kind:
            case "restore":
                environment.restore(at * 500 * MS)
            case "configure":
                run.configure()
            case "zone":
                key = ("zone", "b")
                drained = key in run.store.held
                fact = ZoneRestored("b") if drained else ZoneDrained("b")
                run.store.write(key, fact, removes=drained)
            case "cut":
                run.store.cut.add(gateway.name)
            case "silence":
                run.network.silenced.add(gateway.name)
            case "heal":
                run.store.cut.clear()
                run.network.silenced.clear()
                run.network.loss = 0.0
            case "forget":
                run.store.discard_history()
            case "loss":
                run.network.loss = 0.3
            case "restart":
                gateway.stop()
                new = Gateway(gateway.record, run.store, run.network, run.time, seed)
                run.gateways[at] = new
                new.start()
        run.run(pause * 50 * MS)
    run.store.cut.clear()
    run.network.silenced.clear()
    run.network.loss = 0.0
    run.run(2 * CONVERGENCE_TIME)
    run.configure()
    run.run(DRAIN_TIME)
    assert run.outdated_gateways() == []
    run.run(CONFIRMATION_TIMEOUT)
    drained = {key[1] for key in run.store.held if key[0] == "zone"}
    for gateway in run.gateways:
        assert gateway.faults == []
        assert gateway.drained == drained


@settings(max_examples=40, deadline=None)
@given(STEPS, st.integers(0, 99))
@example([("zone", 0, 23), ("restore", 6, 21), ("forget", 0, 0)], 0)
@example(
    [
        ("loss", 0, 43),
        ("cut", 0, 58),
        ("restore", 0, 0),
        ("restore", 0, 28),
        ("zone", 0, 34),
        ("configure", 2, 45),
        ("restore", 7, 12),
        ("restore", 9, 38),
        ("loss", 4, 3),
        ("forget", 3, 57),
        ("zone", 8, 51),
        ("forget", 9, 33),
    ],
    79,
)
def test_gateways_converge_after_any_sequence_of_restores_and_faults(steps, seed):
    run_steps(steps, seed)


def test_drained_zone_is_known_to_all_gateways_after_restores_lost_requests_and_outages():
    steps = [
        ("restore", 0, 56),
        ("silence", 0, 49),
        ("forget", 0, 40),
        ("cut", 5, 0),
        ("zone", 0, 1),
        ("configure", 0, 26),
        ("cut", 9, 47),
        ("configure", 0, 39),
        ("cut", 1, 36),
        ("loss", 0, 0),
        ("zone", 0, 14),
        ("zone", 0, 1),
    ]
    run_steps(steps, 44)
