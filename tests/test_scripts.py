"""Every script can be imported; guards against imports of names that packages no longer have."""

import importlib
import pathlib
import sys

import pytest

SCRIPTS = pathlib.Path(__file__).resolve().parent.parent / "scripts"
NAMES = sorted(path.stem for path in SCRIPTS.glob("*.py"))


@pytest.mark.parametrize("name", NAMES)
def test_a_script_can_be_imported(name, monkeypatch):
    monkeypatch.syspath_prepend(str(SCRIPTS))
    module = importlib.import_module(name)
    assert module.__doc__
    sys.modules.pop(name, None)
