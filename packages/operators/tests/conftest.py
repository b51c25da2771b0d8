"""Fixtures: an in-memory deployment, and a function that runs a command line on it."""

import pytest
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft_standins.operating import OperatorHarness, make_document


@pytest.fixture
def world(tmp_path):
    deployment = OperatorHarness(tmp_path)
    deployment.file("first.json", make_document())
    deployment.file("longer.json", make_document(menus={"deadline_ms": 900}))
    deployment.file("spill.json", make_document(menus={"spill_percent": 10}))
    return deployment


@pytest.fixture
def ctl(world, monkeypatch):
    return lambda line: world.run(line, monkeypatch)


@pytest.fixture
def started(world, ctl):
    assert ctl("apply first.json --why start --change c1")[0] is ExitCode.OK
    world.store.writes.clear()
    return world
