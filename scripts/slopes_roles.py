"""What each role needs at a size, worked out from the slopes.

Nothing here measures. The fits come from the measured series and the constants from the code, so
that a reader or a test can repeat every row.
"""

from collections.abc import Mapping

from slopes_fit import Fit
from slopes_rows_entry import look_ups, requests
from slopes_rows_node import node, peers
from slopes_rows_platform import command, steward, store
from slopes_working import ASPECTS, ROLES, TARGET, Plan, Row, Working

__all__ = ["ASPECTS", "ROLES", "TARGET", "Plan", "Row", "over_ranges", "rows"]


def rows(fits: Mapping[str, Fit], constants: Mapping[str, float], plan: Plan = TARGET) -> list[Row]:
    """Return every row of every role at the size of `plan`."""
    work = Working(fits, constants, plan)
    parts = (look_ups, requests, steward, command, store, peers, node)
    return [row for part in parts for row in part(work)]


def over_ranges(
    fits: Mapping[str, Fit], constants: Mapping[str, float], most: int = 20_000
) -> list[list[tuple[int, int | None]]]:
    """Return for each row the ranges of entries in which it is over its limit, to about 2 %.

    A range that goes on above `most` has no end.
    """
    found: list[list[tuple[int, int | None]]] = [[] for _ in rows(fits, constants)]
    open_since: dict[int, int] = {}
    last = least = 4
    size = float(least)
    while size <= most:
        entries = round(size)
        for at, row in enumerate(rows(fits, constants, TARGET.scaled(entries))):
            if row.over:
                open_since.setdefault(at, entries)
            elif at in open_since:
                found[at].append((open_since.pop(at), last))
        last = entries
        size = max(size * 1.02, entries + 1)
    for at, since in open_since.items():
        found[at].append((since, None))
    return found
