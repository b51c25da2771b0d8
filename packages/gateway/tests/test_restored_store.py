"""A store that comes back from an older copy: nothing goes back, and all know the same again."""

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

RECORDED_AGAIN = 1500 * MS
"""How soon a gateway notices at a renewal that its lease is of another era."""

WRITTEN_AGAIN = 1000 * MS
"""When operators and endpoints write again what a restored store has lost."""

RENEWED = 3000 * MS
"""Time by which everybody knows the same again."""


class View:
    """One gateway's knowledge, and lists of a store in two eras."""

    def __init__(self) -> None:
        self.time = kit.Time(Clock())
        self.book = UpstreamTable({"a": "east", "b": "east"})
        own = EntryRecord("e-0", "10.0.0.1:80", "a", "east")
        self.entries = EntryTable(own, timedelta(seconds=10))
        selector = Selector(self.book, "e-0", "a", None, Preferences())
        self.plans = []
        self.metrics = Metrics()
        self.view = StoreView(
            self.time.clock,
            self.book,
            self.entries,
            selector,
            lambda address: None,
            self.plans.append,
            self.metrics,
        )

    def listed(self, *facts, era=1) -> None:
        self.view.apply_listing(Listing(facts, kit.position(10, era)))

    def pass_by(self, duration) -> None:
        for _ in range(duration // (100 * MS)):
            self.time.advance(100 * MS)
            self.view.tick()

    def usable(self) -> list[str]:
        return [up.id for up in self.book.of_service("menus")]


def up(number, **changes):
    return UpstreamRegistered(kit.registration(number, **changes))


def test_an_endpoint_that_is_missing_after_a_restoration_serves_until_it_writes_itself_again():
    view = View()
    view.listed(up(1), up(2))
    view.listed(up(1), era=2)
    assert view.usable() == ["i-1", "i-2"]
    view.pass_by(1500 * MS)
    view.view.apply_changes((up(2),))
    view.pass_by(5000 * MS)
    assert view.usable() == ["i-1", "i-2"]


def test_one_that_does_not_is_gone():
    view = View()
    view.listed(up(1), up(2))
    view.listed(up(1), era=2)
    view.pass_by(RENEWED)
    assert view.usable() == ["i-1"]


@pytest.mark.parametrize("left", [up(1, draining=True), UpstreamWithdrawn("i-1")])
def test_an_endpoint_that_had_left_gets_nothing_on_the_word_of_the_copy(left):
    view = View()
    view.listed(up(1), up(2))
    view.view.apply_changes((left,))
    view.listed(up(1), up(2), era=2)
    view.pass_by(RENEWED)
    assert view.usable() == ["i-2"]
    assert view.metrics.counters["doubted_facts"] == 1
    view.view.apply_changes((up(1),))
    assert view.usable() == ["i-1", "i-2"]


@pytest.mark.parametrize("listed_again", [False, True])
def test_one_that_wrote_itself_again_before_the_list_was_read_is_believed_in_the_end(listed_again):
    """One gateway of three was not named by another after a drill, though it was recorded."""
    view = View()
    entry = EntryRecorded(kit.entry_records(1)[0])
    view.listed(up(1), entry)
    view.view.apply_changes((UpstreamWithdrawn("i-1"), EntryWithdrawn(entry.record.name)))
    view.listed(up(1), entry, era=2)
    view.pass_by(CONFIRMATION_TIMEOUT - 200 * MS)
    if listed_again:
        view.listed(up(1), entry, era=2)
    assert (view.usable(), len(view.entries.records(with_own=False))) == ([], 0)
    view.pass_by(400 * MS)
    assert (view.usable(), len(view.entries.records(with_own=False))) == (["i-1"], 1)


def test_one_that_is_withdrawn_while_it_is_doubted_is_not_believed():
    view = View()
    view.listed(up(1))
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.listed(up(1), era=2)
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.pass_by(2 * CONFIRMATION_TIMEOUT)
    assert view.usable() == []


def test_one_that_is_missing_in_a_later_list_is_not_believed():
    view = View()
    view.listed(up(1), up(2))
    view.view.apply_changes((UpstreamWithdrawn("i-1"),))
    view.listed(up(1), up(2), era=2)
    view.listed(up(2), era=2)
    view.pass_by(2 * CONFIRMATION_TIMEOUT)
    assert view.usable() == ["i-2"]


def test_a_zone_drained_since_the_copy_stays_so_until_operators_write_it_again():
    view = View()
    view.listed(up(1))
    view.view.apply_changes((ZoneDrained("a"),))
    view.listed(up(1), era=2)
    view.pass_by(WRITTEN_AGAIN)
    assert view.usable() == []
    view.view.apply_changes((ZoneDrained("a"),))
    view.pass_by(2 * CONFIRMATION_TIMEOUT)
    assert view.usable() == []


def test_a_zone_whose_drain_nobody_writes_again_is_used_after_a_while():
    view = View()
    view.listed(up(1), ZoneDrained("a"))
    view.listed(up(1), era=2)
    view.listed(up(1), era=2)
    view.pass_by(CONFIRMATION_TIMEOUT - 200 * MS)
    assert view.usable() == []
    view.pass_by(400 * MS)
    assert view.usable() == ["i-1"]


def test_a_drain_that_operators_end_after_a_restoration_ends_at_once():
    view = View()
    view.listed(up(1), ZoneDrained("a"))
    view.listed(up(1), era=2)
    view.view.apply_changes((ZoneRestored("a"),))
    assert view.usable() == ["i-1"]


def test_budgets_are_divided_among_entries_that_the_copy_lacks():
    view = View()
    records = [EntryRecorded(row) for row in kit.entry_records(4)]
    view.listed(*records)
    view.listed(*records[:1], era=2)
    assert len(view.entries.records(with_own=True)) == 5
    assert view.entries.max_recent_count(view.time.clock.monotonic()) == 5


def test_without_eras_a_list_is_the_whole_truth():
    view = View()
    view.listed(up(1), up(2), ZoneDrained("b"), era=0)
    view.listed(up(1), era=0)
    assert view.usable() == ["i-1"]
    assert view.book.drained_zones == set()


class Drills:
    """Brings faults about in a deployment, and does what its surroundings do then."""

    def __init__(self, run: Deployment, seed: int) -> None:
        self.run = run
        self.rng = random.Random(seed)

    def restore(self, age: timedelta) -> None:
        """Restore the store; what operators wrote since is written again, and so are records."""
        run = self.run
        held = dict(run.store.held)
        run.store.restore(age)
        run.time.reactor.callLater(WRITTEN_AGAIN.total_seconds(), self._write_again, held)
        run.time.reactor.callLater(RECORDED_AGAIN.total_seconds(), self._record_again)

    def _write_again(self, held) -> None:
        store = self.run.store
        for key, fact in held.items():
            newer = isinstance(fact, PlanRead) and fact.plan.number < self.run.number
            if (
                isinstance(fact, PlanRead | ZoneDrained)
                and store.held.get(key) != fact
                and not newer
            ):
                store.write(key, fact)
        for key in [key for key in store.held if isinstance(store.held[key], ZoneDrained)]:
            if key not in held:
                store.write(key, ZoneRestored(key[1]), removes=True)

    def _record_again(self) -> None:
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
def test_a_configuration_written_after_a_restoration_is_in_force_in_time(age, fault):
    run = Deployment()
    drills = Drills(run, 1)
    run.configure()
    run.run(DRAIN_TIME)
    alone = run.subscribers()[0].name
    if fault == "relays cut":
        run.store.cut |= set(run.relays)
    if fault == "one cut":
        run.store.cut.add(alone)
    if fault == "relays silenced":
        run.network.silenced |= set(run.relays)
    drills.restore(age * MS)
    run.run(RENEWED)
    run.configure()
    run.run(DRAIN_TIME)
    outdated_gateways = set(run.outdated_gateways()) - (
        set(run.relays) if fault.startswith("relays") else set()
    )
    assert outdated_gateways == set()


def test_a_revision_that_is_reached_again_hides_nothing():
    """Without the era a question from that revision would be answered by what came after it."""
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


def test_a_gateway_cut_off_from_the_store_alone_hears_of_the_new_era_from_a_relay():
    run = Deployment()
    alone = run.subscribers()[0]
    run.store.cut.add(alone.name)
    run.run(DRAIN_TIME)
    Drills(run, 1).restore(1000 * MS)
    run.run(RENEWED)
    run.store.write(("zone", "b"), ZoneDrained("b"))
    run.run(DRAIN_TIME)
    assert alone.drained == {"b"}


def test_a_store_that_is_restored_is_listed_by_relays_and_not_by_everybody():
    run = Deployment()
    run.run(DRAIN_TIME)
    before = run.store.calls
    run.store.restore(0 * MS)
    run.run(DRAIN_TIME)
    assert run.store.calls - before < len(run.gateways)


OLD_PLAN, NEWS = PlanRead(kit.plan(1)), ZoneDrained("b")
FROM_STORE = Changes((NEWS,), kit.position(70, era=2))


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
def test_of_a_relay_in_an_earlier_era_or_of_a_part_of_a_later_one_nothing_is_taken(
    index, whole, is_used
):
    time = kit.Time(Clock())
    records = kit.entry_records(ENTRY_COUNT)
    own = next(row for row in records if row not in relays_of("east", records))
    sources, table = SourceSelector(own, DRAIN_TIME), ChangeTable()
    table.apply_listing((), kit.position(60, era=2))
    sources.record_complete(time.clock.monotonic())
    time.advance(100 * MS)
    answer = RelayedChanges((OLD_PLAN,), index, time.clock.monotonic(), whole)
    port = SimpleNamespace(
        request_changes=lambda *question: succeed(Ok(answer)), answer_held_requests=lambda: None
    )
    store = SimpleNamespace(changes=lambda after, wait: succeed(Ok(FROM_STORE)))
    control = RelayedControl(store, time.clock, table, sources, port, lambda: records, Metrics())
    found = []
    control.changes(kit.position(60, era=2), DRAIN_TIME).addCallback(found.append)
    (changes,) = (outcome.ok for outcome in found)
    assert changes.facts == ((OLD_PLAN,) if is_used else FROM_STORE.facts)
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


def play(steps, seed) -> None:
    run = Deployment(seed)
    drills = Drills(run, seed)
    for kind, at, pause in steps:
        gateway = run.gateways[at]
        match kind:
            case "restore":
                drills.restore(at * 500 * MS)
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
    run.run(2 * RENEWED)
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
def test_through_any_series_of_drills_and_faults_all_know_the_same_in_the_end(steps, seed):
    play(steps, seed)
