"""The failures page refers to existing tests only and has no empty cell."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "FAILURES.md"
PROMISE_COUNT = 8
FAILURE_COUNT = 18
REASONS = ("cannot touch it: ", "not proved yet")

_TEST_REFERENCE = re.compile(r"`(test_\w+)::(test_\w+)`")


def _tests(path: Path) -> Iterator[str]:
    """Yield the names of the tests in a file, including those in classes."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        if is_function and node.name.startswith("test_"):
            yield node.name


def _all_tests() -> set[tuple[str, str]]:
    paths = [*ROOT.glob("packages/*/tests/test_*.py"), *ROOT.glob("standins/tests/test_*.py")]
    return {(path.stem, name) for path in paths for name in _tests(path)}


def _tables() -> list[list[list[str]]]:
    """Return the page's tables as rows of cells, without the header rows."""
    tables, rows = [], []
    for line in [*PAGE.read_text(encoding="utf-8").splitlines(), ""]:
        if line.startswith("|"):
            rows.append([cell.strip() for cell in line.strip().strip("|").split("|")])
        elif rows:
            tables.append(rows[2:])
            rows = []
    return tables


def _problem_of(cell: str) -> str | None:
    """Return the problem of a cell, or None."""
    if not cell:
        return "empty"
    if _TEST_REFERENCE.search(cell):
        return None
    return None if cell.startswith(REASONS) else f"neither a test nor a reason: {cell}"


def test_every_test_on_the_page_exists():
    named = _TEST_REFERENCE.findall(PAGE.read_text(encoding="utf-8"))
    assert len(named) > 100
    assert sorted(set(named) - _all_tests()) == []


def test_every_code_with_colons_on_the_page_is_a_test_name():
    codes = re.findall(r"`([^`\n]*::[^`\n]*)`", PAGE.read_text(encoding="utf-8"))
    assert [
        code for code in codes if code != "file::test" and not _TEST_REFERENCE.match(f"`{code}`")
    ] == []


def test_no_cell_is_empty_and_each_has_a_test_or_a_reason():
    failures, *others = _tables()
    assert len(failures) == FAILURE_COUNT and len(others) == 2
    assert {len(row) for row in failures} == {PROMISE_COUNT + 1}
    assert {len(row) for table in others for row in table} == {2}
    faults = [(row[0], _problem_of(cell)) for row in failures for cell in row[1:]]
    assert [fault for fault in faults if fault[1] is not None] == []
    assert all(_TEST_REFERENCE.search(row[1]) and row[0] for table in others for row in table)


@pytest.mark.parametrize("cell", ["", "yes", "cannot touch it:", "`test_steering`"])
def test_a_cell_without_a_test_or_reason_is_reported(cell):
    assert _problem_of(cell) is not None
