"""Places in the history of the control store."""

import typing as t


class Position(t.NamedTuple):
    """All that the store held and had told at one revision; later ones are greater.

    Attributes
    ----------
    era
        Rises each time the store comes back from an older copy of itself, after which it gives
        revisions out a second time. 0 where the store does not tell it.
    revision
        Counts the changes within an era.
    """

    era: int
    revision: int


BEGINNING = Position(0, 0)
"""Before anything is known."""
