"""Strict JSON, and its validation against types, which reports all mistakes with their paths."""

import json
import typing as t
from collections.abc import Iterator

from cardamomloft.core.conversion import NotConvertedError, converter
from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Mistake
from expression import Error, Ok, Result

T = t.TypeVar("T")
Checked = Result[T, tuple[Mistake, ...]]


def load_json(text: str | bytes) -> Checked[t.Any]:
    """Parse JSON strictly: no duplicate keys in an object, no NaN or Infinity.

    Errors
    ------
    Mistake
        The text is not JSON, with line and column if known, or a key is duplicated.
    """
    repeated: list[tuple[dict[str, t.Any], list[str]]] = []

    def build(pairs: list[tuple[str, t.Any]]) -> dict[str, t.Any]:
        built = dict(pairs)
        if len(built) < len(pairs):
            keys = [key for key, _ in pairs]
            repeated.append((built, [key for key in built if keys.count(key) > 1]))
        return built

    try:
        raw = json.loads(text, object_pairs_hook=build, parse_constant=_refuse_constant)
    except json.JSONDecodeError as exc:
        place = f"line {exc.lineno}, column {exc.colno}"
        return Error((Mistake("", f"is not JSON at {place}: {exc.msg}"),))
    except (ValueError, RecursionError) as exc:
        return Error((Mistake("", f"is not JSON: {exc}"),))
    if repeated:
        return Error(tuple(_repeated_keys(raw, repeated)))
    return Ok(raw)


def check_typed(type_: type[T], raw: object) -> Checked[T]:
    """Validate `raw` against a type of strict TypedDicts.

    Defaults are not filled in and values not converted; an integer is valid where a float is
    expected.
    """
    try:
        return Ok(converter(type_)(raw))
    except (NotConvertedError, RecursionError):
        # Imported here, since pydantic needs 10 MB of a process that usually does without it.
        from cardamomloft.core.validation import validate

        return validate(type_, raw)


def load_typed(type_: type[T], text: str | bytes) -> Checked[T]:
    """Parse JSON strictly and validate it against a type of strict TypedDicts."""
    return load_json(text).bind(lambda raw: check_typed(type_, raw))


def _refuse_constant(name: str) -> t.NoReturn:
    raise ValueError(f"{name} is not a number")


def _repeated_keys(
    raw: object, repeated: list[tuple[dict[str, t.Any], list[str]]]
) -> Iterator[Mistake]:
    """Yield the duplicate keys; an object that a later duplicate replaced has no path."""
    paths = {id(value): path for path, value in _objects((), raw)}
    for built, keys in repeated:
        for key in keys:
            yield Mistake(dotted(*paths.get(id(built), ()), key), "key is given twice")


def _objects(path: tuple[object, ...], raw: object) -> Iterator[tuple[tuple[object, ...], object]]:
    if isinstance(raw, dict):
        yield path, raw
        for key, value in raw.items():
            yield from _objects((*path, key), value)
    elif isinstance(raw, list):
        for at, value in enumerate(raw):
            yield from _objects((*path, at), value)
