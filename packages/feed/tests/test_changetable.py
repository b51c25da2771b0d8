"""What a table answers must be enough for whoever asks, whatever it has forgotten."""

from datetime import timedelta

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
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft_standins import gateway as kit
from hypothesis import given
from hypothesis import strategies as st


def up(number, **changes):
    return UpstreamRegistered(kit.registration(number, **changes))


def test_nothing_is_told_before_the_first_list():
    assert ChangeTable().changes_since(kit.position(0)) is None


def test_what_changed_since_a_revision_comes_in_order():
    table = ChangeTable()
    table.apply_listing([up(1), up(2)], kit.position(10))
    table.apply_changes([ZoneDrained("b")], kit.position(12))
    table.apply_changes([UpstreamWithdrawn("i-1")], kit.position(15))
    assert table.changes_since(kit.position(10)) == (ZoneDrained("b"), UpstreamWithdrawn("i-1"))
    assert table.changes_since(kit.position(12)) == (UpstreamWithdrawn("i-1"),)
    assert table.changes_since(kit.position(15)) == ()
    assert table.changes_since(kit.position(99)) == ()


def test_a_revision_before_the_first_list_is_not_answered():
    table = ChangeTable()
    table.apply_listing([up(1)], kit.position(10))
    assert table.changes_since(kit.position(9)) is None
    assert table.changes_since(kit.position(10)) == ()


def test_reports_that_say_nothing_new_are_not_passed_on():
    table = ChangeTable()
    table.apply_listing([up(1)], kit.position(10))
    table.apply_changes([up(1)], kit.position(20))
    assert table.changes_since(kit.position(10)) == ()
    assert table.index == kit.position(20)


def test_of_a_key_that_changed_often_the_last_state_is_told():
    table = ChangeTable()
    table.apply_listing([up(1)], kit.position(10))
    table.apply_changes([up(1, draining=True)], kit.position(11))
    table.apply_changes([UpstreamWithdrawn("i-1")], kit.position(12))
    table.apply_changes([up(1, started_ms=7)], kit.position(13))
    assert table.changes_since(kit.position(10)) == (up(1, started_ms=7),)


def test_an_older_configuration_is_never_told_after_a_newer_one():
    table = ChangeTable()
    table.apply_listing([PlanRead(kit.plan(5))], kit.position(10))
    table.apply_changes([PlanRead(kit.plan(4))], kit.position(11))
    assert table.changes_since(kit.position(10)) == ()


def test_a_new_list_tells_what_has_gone_since():
    table = ChangeTable()
    own = EntryRecorded(EntryRecord("e-1", "10.0.0.1:80", "a", "east"))
    table.apply_listing(
        [up(1), up(2), own, ZoneDrained("b"), Unreadable("x", "y")], kit.position(10)
    )
    table.apply_changes([UpstreamUnreadable("i-3", "no slots")], kit.position(11))
    table.apply_listing([up(2), PlanRead(kit.plan(1))], kit.position(30))
    assert table.changes_since(kit.position(11)) == (
        UpstreamWithdrawn("i-1"),
        EntryWithdrawn("e-1"),
        ZoneRestored("b"),
        UpstreamWithdrawn("i-3"),
        PlanRead(kit.plan(1)),
    )


def test_a_zone_that_is_restored_is_told_though_it_reads_like_one_that_is_drained():
    table = ChangeTable()
    table.apply_listing([ZoneDrained("b")], kit.position(10))
    table.apply_changes([ZoneRestored("b")], kit.position(11))
    assert [type(fact) for fact in table.changes_since(kit.position(10))] == [ZoneRestored]


def test_removals_are_forgotten_and_who_missed_one_is_not_answered():
    table = ChangeTable(removals_kept=2)
    table.apply_listing([up(number) for number in range(5)], kit.position(10))
    for number in range(4):
        table.apply_changes([UpstreamWithdrawn(f"i-{number}")], kit.position(11 + number))
    assert table.changes_since(kit.position(11)) is None
    assert table.changes_since(kit.position(12)) == (
        UpstreamWithdrawn("i-2"),
        UpstreamWithdrawn("i-3"),
    )
    assert len(table) == 1


def test_a_store_that_counts_anew_begins_a_new_table():
    table = ChangeTable()
    table.apply_listing([up(1)], kit.position(500))
    table.apply_listing([up(2)], kit.position(3))
    assert table.index == kit.position(3)
    assert table.changes_since(kit.position(2)) is None
    table.apply_changes([up(3)], kit.position(4))
    assert table.changes_since(kit.position(3)) == (up(3),)


def test_only_what_changes_is_compared():
    table = ChangeTable()
    table.apply_listing([up(1, cold_left=timedelta(seconds=3))], kit.position(10))
    table.apply_changes([up(1, cold_left=timedelta(seconds=2))], kit.position(11))
    assert table.changes_since(kit.position(10)) == (up(1, cold_left=timedelta(seconds=2)),)


FACTS = st.one_of(
    st.builds(up, st.integers(1, 4), draining=st.booleans()),
    st.builds(UpstreamWithdrawn, st.sampled_from(["i-1", "i-2", "i-3", "i-4"])),
    st.builds(ZoneDrained, st.sampled_from("ab")),
    st.builds(ZoneRestored, st.sampled_from("ab")),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["changed", "listed"]), st.lists(FACTS, max_size=4)), max_size=12
)


def applied(state, facts):
    """Return the keys that hold something after `facts`."""
    state = dict(state)
    for fact in facts:
        match fact:
            case UpstreamRegistered(row):
                state[row.id] = fact
            case UpstreamWithdrawn(name) | ZoneRestored(name):
                state.pop(name, None)
            case ZoneDrained(name):
                state[name] = fact
    return state


@given(STEPS, st.integers(1, 3), st.data())
def test_whoever_was_at_any_revision_gets_to_the_same_state(steps, kept, data):
    """A listener that had everything up to a revision ends where the store is, or is not answered.

    It may also know of later changes already, when it has asked the store meanwhile.
    """
    table, history, index = ChangeTable(kept), [], 10
    state = {}
    table.apply_listing([], kit.position(index))
    history.append((index, state))
    for kind, facts in steps:
        index += len(facts) or 1
        if kind == "listed":
            state = applied({}, facts)
            table.apply_listing(list(state.values()), kit.position(index))
        else:
            state = applied(state, facts)
            table.apply_changes(facts, kit.position(index))
        history.append((index, state))
    after, before = data.draw(st.sampled_from(history))
    passed = table.changes_since(kit.position(after))
    if passed is not None:
        assert applied(before, passed) == state


def test_a_position_of_another_era_is_not_answered():
    table = ChangeTable()
    table.apply_listing([up(1)], kit.position(10, era=2))
    for era in (1, 3):
        assert table.changes_since(kit.position(10, era)) is None
    assert table.changes_since(kit.position(10, era=2)) == ()
    assert table.all_facts() == (up(1),)


def test_a_list_of_a_new_era_begins_a_new_table():
    """What happened in that era before the list is not known."""
    table = ChangeTable()
    table.apply_listing([up(1), up(2)], kit.position(10, era=1))
    table.apply_listing([up(1)], kit.position(5, era=2))
    assert table.changes_since(kit.position(3, era=2)) is None
    assert table.all_facts() == (up(1),)


def test_the_whole_table_is_what_a_list_would_show():
    table = ChangeTable()
    table.apply_listing([up(1), up(2), ZoneDrained("b")], kit.position(10))
    table.apply_changes([UpstreamWithdrawn("i-1"), ZoneRestored("b"), up(3)], kit.position(11))
    assert set(table.all_facts()) == {up(2), up(3)}
