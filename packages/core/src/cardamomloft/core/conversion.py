"""Converts valid documents and settings to their types without pydantic.

Pydantic needs 10 MB of a process and is the authority on what is valid. The functions here accept
only what it accepts, and refuse whatever they are not sure of; such values are left to it.
"""

import functools
import math
import re
import typing as t
from collections.abc import Callable

from cardamomloft.core.fields import STRICT, Limits
from typing_extensions import is_typeddict

Convert = Callable[[t.Any], t.Any]

_LARGEST_INTEGER = 2**53
"""Integers up to this one are floats without rounding."""


class NotConvertedError(ValueError):
    """A value that is invalid, or whose validity only pydantic can decide."""


@functools.lru_cache(maxsize=64)
def converter(type_: t.Any) -> Convert:
    """Return the function that converts a JSON value to a type.

    It returns the value as pydantic does: a copy in the order of the type's keys, with integers
    converted where a float is expected. It raises `NotConvertedError` if the value is invalid, or
    if it or the type are of a kind that is left to pydantic.

    Parameters
    ----------
    type_
        A strict TypedDict, or the type of one of its fields.
    """
    if is_typeddict(type_):
        return _object_converter(type_)
    parts = t.get_args(type_)
    match t.get_origin(type_):
        case t.Annotated:
            return _limited(converter(parts[0]), parts[1:])
        case t.NotRequired | t.Required:
            return converter(parts[0])
        case t.Literal:
            return functools.partial(_literal, {(type(value), value) for value in parts})
        case _ if type_ in _SCALARS:
            return _SCALARS[type_]
        case origin if origin is list:
            return functools.partial(_list, converter(parts[0]))
        case origin if origin is dict:
            return functools.partial(_dict, converter(parts[0]), converter(parts[1]))
    return _refuse


def _object_converter(type_: t.Any) -> Convert:
    if getattr(type_, "__pydantic_config__", None) != STRICT:
        return _refuse
    hints = t.get_type_hints(type_, include_extras=True)
    fields = {key: converter(hint) for key, hint in hints.items()}
    return functools.partial(_object, fields, type_.__required_keys__)


def _object(fields: dict[str, Convert], required: frozenset[str], raw: t.Any) -> dict[str, t.Any]:
    if type(raw) is not dict or not fields.keys() >= raw.keys() >= required:
        raise NotConvertedError
    return {key: convert(raw[key]) for key, convert in fields.items() if key in raw}


def _dict(key_converter: Convert, convert: Convert, raw: t.Any) -> dict[t.Any, t.Any]:
    if type(raw) is not dict:
        raise NotConvertedError
    return {key_converter(key): convert(value) for key, value in raw.items()}


def _list(convert: Convert, raw: t.Any) -> list[t.Any]:
    if type(raw) is not list:
        raise NotConvertedError
    return [convert(value) for value in raw]


def _literal(values: set[tuple[type, t.Any]], raw: t.Any) -> t.Any:
    if type(raw) not in (str, int) or (type(raw), raw) not in values:
        raise NotConvertedError
    return raw


def _text(raw: t.Any) -> str:
    # A text with a lone surrogate can't be encoded.
    if type(raw) is not str or not (raw.isascii() or raw.isprintable()):
        raise NotConvertedError
    return raw


def _integer(raw: t.Any) -> int:
    if type(raw) is not int or abs(raw) > _LARGEST_INTEGER:
        raise NotConvertedError
    return raw


def _float(raw: t.Any) -> float:
    if type(raw) is float and math.isfinite(raw):
        return raw
    return float(_integer(raw))


def _boolean(raw: t.Any) -> bool:
    if type(raw) is not bool:
        raise NotConvertedError
    return raw


def _refuse(raw: t.Any) -> t.NoReturn:
    raise NotConvertedError


_SCALARS: dict[t.Any, Convert] = {str: _text, int: _integer, float: _float, bool: _boolean}


def _limited(convert: Convert, metadata: tuple[t.Any, ...]) -> Convert:
    """Return `convert` with a check of limits, which must be the only metadata of the type."""
    if len(metadata) != 1 or not isinstance(metadata[0], Limits):
        return _refuse
    checks = [_LIMIT_CHECKS[name](limit) for name, limit in metadata[0].given().items()]

    def convert_within_limits(raw: t.Any) -> t.Any:
        value = convert(raw)
        for check in checks:
            if not check(value):
                raise NotConvertedError
        return value

    return convert_within_limits


def _pattern_check(pattern: str) -> Callable[[str], bool]:
    # Python's expressions and pydantic's differ in control characters, line ends and Unicode.
    search = re.compile(pattern, re.ASCII).search
    return lambda text: text.isascii() and text.isprintable() and search(text) is not None


_LIMIT_CHECKS: dict[str, Callable[[t.Any], Callable[[t.Any], bool]]] = {
    "ge": lambda limit: lambda value: value >= limit,
    "gt": lambda limit: lambda value: value > limit,
    "lt": lambda limit: lambda value: value < limit,
    "le": lambda limit: lambda value: value <= limit,
    "min_length": lambda limit: lambda value: len(value) >= limit,
    "max_length": lambda limit: lambda value: len(value) <= limit,
    "pattern": _pattern_check,
}
