"""Places of an entry among all, and what they cost when everything is cold."""

from datetime import timedelta

import pytest
from cardamomloft.core import ranks
from cardamomloft.core.affinity import text_hash, unit_hash
from cardamomloft.core.budgets import ColdLimit
from cardamomloft.core.model import Refusal
from cardamomloft.core.ranks import OwnRanks
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import ServicePolicy
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft_standins.gateway import RULE

NAMES = [f"e-{number}" for number in range(20)]
NOW = timedelta(seconds=100)


def _ranks_of(name: str) -> OwnRanks:
    found = OwnRanks(name)
    found.use([other for other in NAMES if other != name])
    return found


@pytest.mark.parametrize("endpoint", ["i-1", "i-2"])
def test_each_entry_has_another_place_and_all_know_alike_which(endpoint):
    places = [_ranks_of(name).of(endpoint, text_hash(endpoint)) for name in NAMES]
    ordered = sorted(NAMES, key=lambda name: unit_hash(endpoint, name))
    assert [ordered[place] for place in places] == NAMES


def test_places_follow_the_entries_that_are_known():
    found = _ranks_of("e-3")
    before = found.of("i-1", text_hash("i-1"))
    found.use(())
    assert found.of("i-1", text_hash("i-1")) == 0
    found.use([other for other in NAMES if other != "e-3"])
    assert found.of("i-1", text_hash("i-1")) == before


def test_the_places_of_endpoints_that_have_gone_are_not_kept_for_ever(monkeypatch):
    monkeypatch.setattr(ranks, "PLACES_KEPT", 10)
    found = _ranks_of("e-3")
    for number in range(100):
        found.of(f"i-{number}", text_hash(f"i-{number}"))
    assert len(found._places) <= 10


def test_a_refusal_while_everything_is_cold_ranks_no_entry_anew(monkeypatch):
    """Before hundreds of endpoints and beside hundreds of entries each took 0.2 s of processor."""
    hashed = []
    unit_of = ranks.unit_of
    monkeypatch.setattr(ranks, "unit_of", lambda *pair: hashed.append(1) or unit_of(*pair))
    book = UpstreamTable({"a": "east"})
    for number in range(100):
        row = Registration(f"i-{number}", "menus", "10.0.0.1:1", "a", 4, False, timedelta(9))
        book.register(row, NOW)
    selector = Selector(book, "e-0", "a", ColdLimit(1.0, 0.0), Preferences())
    selector.policies = {"menus": ServicePolicy("menus", 1000, timedelta(seconds=3), 0.0)}
    selector.entries, selector.others = len(NAMES), NAMES[1:]
    until = NOW + timedelta(seconds=1)
    assert isinstance(selector.choose(RULE, "menus", "1", (), until, NOW), Refusal)
    assert hashed
    hashed.clear()
    selector.others = list(NAMES[1:])
    assert isinstance(selector.choose(RULE, "menus", "2", (), until, NOW), Refusal)
    assert hashed == []
