"""Ranks of an entry among all entries, and their cost while all endpoints are cold."""

from datetime import timedelta

import pytest
from cardamomloft.core import ranks
from cardamomloft.core.affinity import text_hash, unit_hash
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.model import Refusal
from cardamomloft.core.ranks import EntryRanks
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import ServicePolicy
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft_standins.gateway import RULE

NAMES = [f"e-{number}" for number in range(20)]
NOW = timedelta(seconds=100)


def _ranks_of(name: str) -> EntryRanks:
    found = EntryRanks(name)
    found.set_others([other for other in NAMES if other != name])
    return found


@pytest.mark.parametrize("endpoint", ["i-1", "i-2"])
def test_all_entries_agree_on_a_distinct_rank_for_each(endpoint):
    found = [_ranks_of(name).rank_for(endpoint, text_hash(endpoint)) for name in NAMES]
    ordered = sorted(NAMES, key=lambda name: unit_hash(endpoint, name))
    assert [ordered[rank] for rank in found] == NAMES


def test_ranks_follow_the_known_entries():
    found = _ranks_of("e-3")
    before = found.rank_for("i-1", text_hash("i-1"))
    found.set_others(())
    assert found.rank_for("i-1", text_hash("i-1")) == 0
    found.set_others([other for other in NAMES if other != "e-3"])
    assert found.rank_for("i-1", text_hash("i-1")) == before


def test_the_cache_of_ranks_is_bounded(monkeypatch):
    monkeypatch.setattr(ranks, "MAX_CACHED_RANKS", 10)
    found = _ranks_of("e-3")
    for number in range(100):
        found.rank_for(f"i-{number}", text_hash(f"i-{number}"))
    assert len(found._ranks) <= 10


def test_a_refusal_while_all_endpoints_are_cold_uses_cached_ranks(monkeypatch):
    """Computing all ranks for each refusal is too slow with hundreds of endpoints and entries."""
    hashed = []
    unit_of = ranks.unit_of
    monkeypatch.setattr(ranks, "unit_of", lambda *pair: hashed.append(1) or unit_of(*pair))
    table = UpstreamTable({"a": "east"})
    for number in range(100):
        row = Registration(f"i-{number}", "menus", "10.0.0.1:1", "a", 4, False, timedelta(9))
        table.register(row, NOW)
    selector = Selector(table, "e-0", "a", ColdLimit(1.0, 0.0), Preferences())
    selector.policies = {"menus": ServicePolicy("menus", 1000, timedelta(seconds=3), 0.0)}
    selector.entries, selector.others = len(NAMES), NAMES[1:]
    until = NOW + timedelta(seconds=1)
    assert isinstance(selector.choose(RULE, "menus", "1", (), until, NOW), Refusal)
    assert hashed
    hashed.clear()
    selector.others = list(NAMES[1:])
    assert isinstance(selector.choose(RULE, "menus", "2", (), until, NOW), Refusal)
    assert hashed == []
