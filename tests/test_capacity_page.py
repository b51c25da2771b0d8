"""The capacity page matches the committed results and marks every row over its limit."""

import json
import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from slopes_fit import MIN_SIZES, Series, fit  # noqa: E402
from slopes_page import fill_parts, format_value, render, rows_of, series_of, subjects  # noqa: E402
from slopes_roles import ASPECTS, ROLES, TARGET, Row  # noqa: E402

RESULTS = json.loads((ROOT / "docs" / "capacity.json").read_text())
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text()


def test_the_generated_parts_are_those_of_the_committed_results():
    assert fill_parts(PAGE, render(RESULTS)) == PAGE


def test_each_committed_row_follows_from_the_committed_series():
    committed = [Row(**{**row, "series": tuple(row["series"])}) for row in RESULTS["rows"]]
    assert rows_of(RESULTS) == committed


def test_every_row_stands_on_the_page_and_is_marked_if_it_is_over_its_limit():
    lines = PAGE.splitlines()
    listed = PAGE.partition("<!-- begin: over -->")[2].partition("<!-- end: over -->")[0]
    for row in rows_of(RESULTS):
        start = f"| {row.aspect} | {row.what} | "
        values = [line.removeprefix(start) for line in lines if line.startswith(start)]
        value = format_value(row.value, row.unit)
        mark = f"**OVER: {value}**" if row.limit is not None and row.value > row.limit else value
        assert [text.split(" | ")[0] for text in values] == [mark], row.what
        assert (f"- **{row.role}**: {row.what}, {value}" in listed) == mark.startswith("**OVER")


def test_the_plan_has_the_target_size_and_the_control_limits_are_not_loosened():
    assert RESULTS["plan"] == TARGET._asdict()
    assert TARGET[:6] == (1_500, 1_200_000, 8, 1_000_000, 780, 86)
    control = {(row.aspect, row.limit) for row in rows_of(RESULTS) if row.role == ROLES[-1]}
    assert {("processor", 2.7), ("memory", 64e6), ("messages", 4e3)} <= control
    spread = [row.limit for row in rows_of(RESULTS) if row.what.startswith("a change until all")]
    assert spread == [6.0]


def test_every_role_has_rows_that_name_their_mechanism_and_series():
    found = rows_of(RESULTS)
    names = {series.name for series in series_of(RESULTS)}
    assert [role for role in ROLES if any(row.role == role for row in found)] == list(ROLES)
    assert all(
        row.mechanism and row.aspect in ASPECTS and set(row.series) <= names for row in found
    )


@pytest.mark.parametrize("series", series_of(RESULTS), ids=lambda series: series.name)
def test_each_series_has_enough_sizes_a_fit_and_a_plot(series):
    assert len({size for size, _ in series.points}) >= MIN_SIZES
    assert fit(series).r2 <= 1
    plot = f"plots/{next(iter(subjects([series])))}.png"
    assert f"]({plot})" in PAGE
    assert (ROOT / "docs" / plot).stat().st_size < 200_000


def test_a_line_through_the_origin_has_no_rounded_intercept_on_any_processor():
    found = fit(
        Series("a.b", "n", "ms", tuple((size, 7.0 * size) for size in (250, 700, 1500, 3100)))
    )
    assert (found.slope, found.intercept, found.r2) == (7, 0, 1)


def test_a_fit_recovers_its_line_and_too_few_sizes_are_refused():
    found = fit(Series("a.b", "n", "ms", ((1, 5.0), (2, 7.0), (3, 9.0), (4, 11.0))))
    assert (round(found.slope, 9), round(found.intercept, 9), round(found.r2, 9)) == (2, 3, 1)
    assert (
        fit(Series("a.b", "n", "ms", ((1, 1.0), (2, 2.0), (4, 3.0), (8, 4.0)), "log2")).r2 > 0.999
    )
    with pytest.raises(ValueError, match="3 sizes"):
        fit(Series("a.b", "n", "ms", ((1, 1.0), (2, 2.0), (2, 2.1), (3, 3.0))))
