"""A deployment in memory, and the command of its operators."""

import pytest
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft_standins.operating import World, make_document


@pytest.fixture
def world(tmp_path):
    found = World(tmp_path)
    found.file("first.json", make_document())
    found.file("longer.json", make_document(menus={"deadline_ms": 900}))
    found.file("spill.json", make_document(menus={"spill_percent": 10}))
    return found


@pytest.fixture
def ctl(world, monkeypatch):
    return lambda line: world.run(line, monkeypatch)


@pytest.fixture
def started(world, ctl):
    assert ctl("apply first.json --why start --change c1")[0] is ExitCode.OK
    world.store.writes.clear()
    return world
