"""Limits of the fields of documents and settings, and the marker of their strict types.

They are understood by pydantic but declared without it, so that a process which only converts
valid values need not import it; see :mod:`cardamomloft.core.conversion`.
"""

import typing as t

T = t.TypeVar("T")

STRICT: t.Final = {"extra": "forbid", "strict": True}
"""Configuration of pydantic for types without unknown keys, whose values are not converted."""


class Limits(t.NamedTuple):
    """The limits of one field, given as metadata of an annotated type.

    `pattern` is a regular expression that is searched in a text. Lengths are those of a text in
    characters or of a list.
    """

    ge: float | None = None
    gt: float | None = None
    lt: float | None = None
    le: float | None = None
    min_length: int | None = None
    max_length: int | None = None
    pattern: str | None = None

    def given(self) -> dict[str, t.Any]:
        """Return the limits that are set, by their name."""
        return {name: limit for name, limit in self._asdict().items() if limit is not None}

    def __get_pydantic_core_schema__(
        self, source: t.Any, handler: t.Callable[[t.Any], dict[str, t.Any]]
    ) -> dict[str, t.Any]:
        """Return the schema of the annotated type with these limits; called by pydantic."""
        return {**handler(source), **self.given()}


def strict(type_: type[T]) -> type[T]:
    """Make pydantic refuse unknown keys and convert no values of a TypedDict."""
    type_.__pydantic_config__ = STRICT  # type: ignore[attr-defined]
    return type_
