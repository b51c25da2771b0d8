"""Resource needs of each role at a given size, computed from fits and constants.

Nothing is measured here: the rows are reproducible from docs/capacity.json.
"""

from collections.abc import Mapping

from slopes_fit import Fit
from slopes_model import ASPECTS, ROLES, TARGET, CapacityModel, Plan, Row
from slopes_rows_entry import look_ups, requests
from slopes_rows_node import node, peers
from slopes_rows_platform import command, steward, store

__all__ = ["ASPECTS", "ROLES", "TARGET", "Plan", "Row", "over_ranges", "rows"]


def rows(fits: Mapping[str, Fit], constants: Mapping[str, float], plan: Plan = TARGET) -> list[Row]:
    """Return the rows of all roles at the size of `plan`."""
    model = CapacityModel(fits, constants, plan)
    parts = (look_ups, requests, steward, command, store, peers, node)
    return [row for part in parts for row in part(model)]


def over_ranges(
    fits: Mapping[str, Fit], constants: Mapping[str, float], max_entries: int = 20_000
) -> list[list[tuple[int, int | None]]]:
    """Return the ranges of fleet sizes in which each row exceeds its limit.

    Sizes are sampled in steps of about 2 %. A range that continues above `max_entries` has no end.
    """
    found: list[list[tuple[int, int | None]]] = [[] for _ in rows(fits, constants)]
    open_since: dict[int, int] = {}
    last = min_entries = 4
    size = float(min_entries)
    while size <= max_entries:
        entries = round(size)
        for index, row in enumerate(rows(fits, constants, TARGET.scaled(entries))):
            if row.over:
                open_since.setdefault(index, entries)
            elif index in open_since:
                found[index].append((open_since.pop(index), last))
        last = entries
        size = max(size * 1.02, entries + 1)
    for index, since in open_since.items():
        found[index].append((since, None))
    return found
