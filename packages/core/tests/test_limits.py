"""Limits of a document: base shares add up, and holders are few, near and stable."""

import typing as t
from collections import Counter

from cardamomloft.core.document import Document
from cardamomloft.core.limits import MAX_HOLDERS, Limit, LimitKind, base_shares, limits_of
from hypothesis import given, settings
from hypothesis import strategies as st

REGIONS = {"north": ["n1", "n2"], "south": ["s1", "s2"]}


def document(entries_per_zone: dict[str, int], endpoints: int = 1, slots: int = 4) -> Document:
    row = {"prefix": "/m", "deadline_ms": 1000, "max_deadline_ms": 5000, "spill_percent": 50.0}
    upstreams = {
        f"up-{zone}-{n}": {"zone": zone, "address": "", "slots": slots, "connections": 360}
        for zone in ("n1", "n2")
        for n in range(endpoints)
    }
    entries = {
        f"{zone}-{n}": {"zone": zone}
        for zone, count in entries_per_zone.items()
        for n in range(count)
    }
    link = {"origin": "south", "target": "north", "bytes_per_s": 1001}
    raw = {"regions": REGIONS, "entries": entries, "links": [link]}
    return t.cast(Document, {**raw, "services": {"menus": {**row, "upstreams": upstreams}}})


@settings(derandomize=True, database=None, deadline=None)
@given(st.integers(0, 2000), st.integers(1, MAX_HOLDERS))
def test_base_shares_add_up_to_the_capacity_and_differ_by_at_most_one(
    capacity: int, n: int
) -> None:
    holders = tuple(f"e{i}" for i in range(n))
    limit = Limit("k", LimitKind.CONCURRENCY, capacity, holders, t.cast(t.Any, None))
    shares = base_shares(limit)
    assert sum(shares.values()) == capacity
    assert max(shares.values()) - min(shares.values()) <= 1


def test_holders_come_from_the_zone_then_the_region() -> None:
    limit = limits_of(document({"n1": 2, "n2": 2, "s1": 2}))["slots/up-n1-0"]
    assert [seat[:2] for seat in limit.holders] == ["n1", "n1", "n2", "n2"]


def test_entries_of_other_regions_hold_slots_only_where_the_region_has_none() -> None:
    limit = limits_of(document({"s1": 2, "s2": 1}))["slots/up-n1-0"]
    assert set(limit.holders) == {"s1-0", "s1-1", "s2-0"}


def test_links_belong_to_the_origin_and_spill_to_the_other_regions() -> None:
    limits = limits_of(document({"n1": 2, "s1": 2, "s2": 1}, slots=5))
    link, spill = limits["link/south/north"], limits["spill/menus/north"]
    assert set(link.holders) == set(spill.holders) == {"s1-0", "s1-1", "s2-0"}
    assert (link.kind, sum(base_shares(link).values())) == (LimitKind.RATE, 1001)
    assert (spill.capacity, sum(base_shares(spill).values())) == (5, 5)


def test_the_remainders_of_all_endpoints_are_spread_over_the_entries() -> None:
    limits = limits_of(document({"n1": 4}, endpoints=40, slots=1))
    first = Counter(limit.holders[0] for key, limit in limits.items() if key.startswith("slots"))
    assert set(first) == {"n1-0", "n1-1", "n1-2", "n1-3"}
    assert max(first.values()) <= 40


def test_an_entry_of_a_large_fleet_shares_limits_with_few_others() -> None:
    limits = limits_of(document(dict.fromkeys(("n1", "n2", "s1", "s2"), 375), endpoints=400))
    partners: dict[str, set[str]] = {}
    for limit in limits.values():
        assert len(limit.holders) <= MAX_HOLDERS
        for seat in limit.holders:
            partners.setdefault(seat, set()).update(limit.holders)
    assert max(len(seats) for seats in partners.values()) <= 6 * MAX_HOLDERS
    assert len([seat for seat in partners if seat.startswith("n1")]) == 375


def test_an_additional_entry_replaces_at_most_one_holder() -> None:
    before = limits_of(document({"n1": 40}, endpoints=30))
    after = limits_of(document({"n1": 41}, endpoints=30))
    lost = [len(set(limit.holders) - set(after[key].holders)) for key, limit in before.items()]
    assert max(lost) == 1
