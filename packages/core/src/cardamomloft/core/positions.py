"""Positions in the change history of the control store."""

import typing as t


class Position(t.NamedTuple):
    """The state of the store at one revision; later positions compare greater.

    Attributes
    ----------
    era
        Increases each time the store is restored from an older copy, after which it assigns
        revision numbers a second time. 0 for stores that don't report it.
    revision
        Counts the changes within an era.
    """

    era: int
    revision: int


BEGINNING = Position(0, 0)
"""The position before the first change."""
