"""Makes every run of the tests draw the same examples, and passes over faults that are listed.

Each line of ``KNOWN-RED.txt`` begins with the id of a test, up to `` | ``. Such a test is run, its
failure does not fail the run, and the line is printed at the end.

Hypothesis adds constants that it finds in the project's loaded modules to what it draws. Which are
loaded depends on the other tests of the same worker, so without this a check could pass in one run
and fail in the next.
"""

import pathlib

import pytest
from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants

_NONE = Constants()


def _no_local_constants() -> Constants:
    return _NONE


# A private name of the pinned version, which has no setting for it.
assert callable(providers._get_local_constants)
providers._get_local_constants = _no_local_constants


def _known_red() -> dict[str, str]:
    """Return the lines of the list of known failures by the id of their test."""
    path = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.partition(" | ")[0]: line for line in lines if line}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let listed tests fail without failing the run."""
    known = _known_red()
    for item in items:
        name = item.nodeid.partition("[")[0]
        if name in known:
            item.add_marker(pytest.mark.xfail(reason=known[name], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that nobody takes the run for clean."""
    for line in _known_red().values():
        terminalreporter.write_line(f"known red: {line}")
