"""Validation against types by pydantic, with the mistakes in words for operators.

Importing this module takes 10 MB of memory; :mod:`cardamomloft.core.typedjson` does so only for a
value that may be invalid.
"""

import functools
import typing as t
from collections.abc import Iterator

from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Mistake
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

T = t.TypeVar("T")

_JSON_TYPE_NAMES = {
    dict: "an object",
    list: "a list",
    str: "text",
    bool: "true or false",
    int: "a number",
    float: "a number",
    type(None): "null",
}

_PATTERN_MESSAGES = {
    "^[a-z0-9][a-z0-9.-]{0,62}$": "must be a name of at most 63 small letters, digits, . and -",
    r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$": "must be an address like 127.0.0.1:8080",
}

_TYPE_MESSAGES = {
    "dict_type": "must be an object",
    "list_type": "must be a list",
    "string_type": "must be text",
    "int_type": "must be a whole number",
    "int_from_float": "must be a whole number",
    "float_type": "must be a number",
    "bool_type": "must be true or false",
}

_RANGE_MESSAGES = {
    "greater_than_equal": ("at least", "ge"),
    "greater_than": ("above", "gt"),
    "less_than_equal": ("at most", "le"),
    "less_than": ("below", "lt"),
}


def validate(type_: type[T], raw: object) -> Result[T, tuple[Mistake, ...]]:
    """Return the validated value, or every mistake with its path."""
    try:
        return Ok(_adapter(type_).validate_python(raw))
    except ValidationError as exc:
        return Error(tuple(sorted({_mistake(error, raw) for error in exc.errors()})))


@functools.lru_cache(maxsize=64)
def _adapter(type_: type[T]) -> TypeAdapter[T]:
    return TypeAdapter(type_)


def _mistake(error: ErrorDetails, raw: object) -> Mistake:
    parts = [part for part in error["loc"] if part != "[key]"]
    return Mistake(dotted(*_named_rows(parts, raw)), _message(error))


def _named_rows(parts: list[t.Any], raw: t.Any) -> Iterator[object]:
    """Yield the parts of the path, with the names of list rows in place of their indices."""
    for part in parts:
        raw = raw[part] if _has_part(raw, part) else None
        named = isinstance(part, int) and isinstance(raw, dict) and isinstance(raw.get("name"), str)
        yield raw["name"] if named else part


def _has_part(raw: object, part: t.Any) -> bool:
    if isinstance(raw, list):
        return isinstance(part, int) and part < len(raw)
    return isinstance(raw, dict) and part in raw


def _message(error: ErrorDetails) -> str:
    kind, value, ctx = error["type"], error["input"], error.get("ctx", {})
    if kind == "extra_forbidden":
        return "unknown key"
    if kind == "missing":
        return "missing"
    if kind in _RANGE_MESSAGES:
        words, bound = _RANGE_MESSAGES[kind]
        return f"must be {words} {_int_if_whole(ctx[bound])}, is {value}"
    if kind == "literal_error":
        return f"must be {ctx['expected']}, is {value!r}"
    if kind == "string_pattern_mismatch":
        return (
            f"{_PATTERN_MESSAGES.get(ctx['pattern'], 'must match ' + ctx['pattern'])}, is {value!r}"
        )
    if kind in _TYPE_MESSAGES:
        shown = (
            value
            if isinstance(value, float)
            else _JSON_TYPE_NAMES.get(type(value), "something else")
        )
        return f"{_TYPE_MESSAGES[kind]}, is {shown}"
    return error["msg"]


def _int_if_whole(bound: float) -> float:
    """Convert `bound` to an integer if it is a whole number."""
    return int(bound) if bound == int(bound) else bound
