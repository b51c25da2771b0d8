"""Changes since a position must be complete, or not be answered, also after evictions."""

from datetime import timedelta

import pytest
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
from cardamomloft.feed.changetable import MAX_GAPS, ChangeTable
from cardamomloft_standins import gateway as kit
from hypothesis import given
from hypothesis import strategies as st


def registered(number, **changes):
    return UpstreamRegistered(kit.registration(number, **changes))


def test_no_position_is_answered_before_the_first_listing():
    assert ChangeTable().changes_since(kit.position(0)) is None


def test_changes_since_a_position_are_returned_in_order():
    table = ChangeTable()
    table.apply_listing([registered(1), registered(2)], kit.position(10))
    table.apply_changes([ZoneDrained("b")], kit.position(12))
    table.apply_changes([UpstreamWithdrawn("i-1")], kit.position(15))
    assert table.changes_since(kit.position(10)) == (ZoneDrained("b"), UpstreamWithdrawn("i-1"))
    assert table.changes_since(kit.position(12)) == (UpstreamWithdrawn("i-1"),)
    assert table.changes_since(kit.position(15)) == ()
    assert table.changes_since(kit.position(99)) == ()


def test_position_before_the_first_listing_is_not_answered():
    table = ChangeTable()
    table.apply_listing([registered(1)], kit.position(10))
    assert table.changes_since(kit.position(9)) is None
    assert table.changes_since(kit.position(10)) == ()


def test_unchanged_facts_are_not_returned():
    table = ChangeTable()
    table.apply_listing([registered(1)], kit.position(10))
    table.apply_changes([registered(1)], kit.position(20))
    assert table.changes_since(kit.position(10)) == ()
    assert table.index == kit.position(20)


def test_only_the_latest_fact_of_a_key_is_returned():
    table = ChangeTable()
    table.apply_listing([registered(1)], kit.position(10))
    table.apply_changes([registered(1, draining=True)], kit.position(11))
    table.apply_changes([UpstreamWithdrawn("i-1")], kit.position(12))
    table.apply_changes([registered(1, started_ms=7)], kit.position(13))
    assert table.changes_since(kit.position(10)) == (registered(1, started_ms=7),)


def test_older_configuration_does_not_replace_a_newer_one():
    table = ChangeTable()
    table.apply_listing([PlanRead(kit.plan(5))], kit.position(10))
    table.apply_changes([PlanRead(kit.plan(4))], kit.position(11))
    assert table.changes_since(kit.position(10)) == ()


def test_new_listing_adds_removals_of_missing_keys():
    table = ChangeTable()
    entry = EntryRecorded(EntryRecord("e-1", "10.0.0.1:80", "a", "east"))
    table.apply_listing(
        [registered(1), registered(2), entry, ZoneDrained("b"), Unreadable("x", "y")],
        kit.position(10),
    )
    table.apply_changes([UpstreamUnreadable("i-3", "no slots")], kit.position(11))
    table.apply_listing([registered(2), PlanRead(kit.plan(1))], kit.position(30))
    assert table.changes_since(kit.position(11)) == (
        UpstreamWithdrawn("i-1"),
        EntryWithdrawn("e-1"),
        ZoneRestored("b"),
        UpstreamWithdrawn("i-3"),
        PlanRead(kit.plan(1)),
    )


def test_restored_zone_is_distinguished_from_an_equal_drained_zone():
    table = ChangeTable()
    table.apply_listing([ZoneDrained("b")], kit.position(10))
    table.apply_changes([ZoneRestored("b")], kit.position(11))
    assert [type(fact) for fact in table.changes_since(kit.position(10))] == [ZoneRestored]


def test_position_before_an_evicted_removal_is_not_answered():
    table = ChangeTable(max_removals=2)
    table.apply_listing([registered(number) for number in range(5)], kit.position(10))
    for number in range(4):
        table.apply_changes([UpstreamWithdrawn(f"i-{number}")], kit.position(11 + number))
    assert table.changes_since(kit.position(11)) is None
    assert table.changes_since(kit.position(12)) == (
        UpstreamWithdrawn("i-2"),
        UpstreamWithdrawn("i-3"),
    )
    assert len(table) == 1


def test_lower_revision_of_a_replaced_store_resets_the_table():
    table = ChangeTable()
    table.apply_listing([registered(1)], kit.position(500))
    table.apply_listing([registered(2)], kit.position(3))
    assert table.index == kit.position(3)
    assert table.changes_since(kit.position(2)) is None
    table.apply_changes([registered(3)], kit.position(4))
    assert table.changes_since(kit.position(3)) == (registered(3),)


def test_change_of_the_cold_time_left_is_a_change():
    table = ChangeTable()
    table.apply_listing([registered(1, cold_left=timedelta(seconds=3))], kit.position(10))
    table.apply_changes([registered(1, cold_left=timedelta(seconds=2))], kit.position(11))
    assert table.changes_since(kit.position(10)) == (registered(1, cold_left=timedelta(seconds=2)),)


@pytest.mark.parametrize("update", ["changes", "listing"])
def test_position_within_an_update_gets_facts_that_were_replaced_and_set_again(update):
    """A subscriber may have received the replacement from another source."""
    table = ChangeTable()
    table.apply_listing([ZoneDrained("b")], kit.position(10))
    apply_update = table.apply_changes if update == "changes" else table.apply_listing
    apply_update([ZoneDrained("b")], kit.position(20))
    assert table.changes_since(kit.position(15)) == (ZoneDrained("b"),)
    for settled in (10, 20):
        assert table.changes_since(kit.position(settled)) == ()


def test_position_within_an_update_too_long_ago_is_not_answered():
    table = ChangeTable()
    table.apply_listing([ZoneDrained("b")], kit.position(0))
    for number in range(1, MAX_GAPS + 2):
        table.apply_changes([ZoneDrained("b")], kit.position(10 * number))
    assert table.changes_since(kit.position(5)) is None
    assert table.changes_since(kit.position(15)) == (ZoneDrained("b"),)


FACTS = st.one_of(
    st.builds(registered, st.integers(1, 4), draining=st.booleans()),
    st.builds(UpstreamWithdrawn, st.sampled_from(["i-1", "i-2", "i-3", "i-4"])),
    st.builds(ZoneDrained, st.sampled_from("ab")),
    st.builds(ZoneRestored, st.sampled_from("ab")),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["changed", "listed"]), st.lists(FACTS, max_size=4)), max_size=12
)


def apply(state, facts):
    """Return the facts by key after applying `facts` to `state`."""
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
def test_changes_since_any_position_lead_to_the_current_state(steps, max_removals, data):
    """The changes since any position must give the current state, or None."""
    table, history, index = ChangeTable(max_removals), [], 10
    state = {}
    table.apply_listing([], kit.position(index))
    history.append((index, state))
    for kind, facts in steps:
        index += len(facts) or 1
        if kind == "listed":
            state = apply({}, facts)
            table.apply_listing(list(state.values()), kit.position(index))
        else:
            state = apply(state, facts)
            table.apply_changes(facts, kit.position(index))
        history.append((index, state))
    after, before = data.draw(st.sampled_from(history))
    changes = table.changes_since(kit.position(after))
    if changes is not None:
        assert apply(before, changes) == state


def test_position_of_another_era_is_not_answered():
    table = ChangeTable()
    table.apply_listing([registered(1)], kit.position(10, era=2))
    for era in (1, 3):
        assert table.changes_since(kit.position(10, era)) is None
    assert table.changes_since(kit.position(10, era=2)) == ()
    assert table.all_facts() == (registered(1),)


def test_listing_of_a_new_era_resets_the_table():
    """Changes of the new era before its first listing are unknown."""
    table = ChangeTable()
    table.apply_listing([registered(1), registered(2)], kit.position(10, era=1))
    table.apply_listing([registered(1)], kit.position(5, era=2))
    assert table.changes_since(kit.position(3, era=2)) is None
    assert table.all_facts() == (registered(1),)


def test_whole_table_equals_a_listing_of_the_store():
    table = ChangeTable()
    table.apply_listing([registered(1), registered(2), ZoneDrained("b")], kit.position(10))
    table.apply_changes(
        [UpstreamWithdrawn("i-1"), ZoneRestored("b"), registered(3)], kit.position(11)
    )
    assert set(table.all_facts()) == {registered(2), registered(3)}
