"""JSON documents of the store, of which other writers determine parts."""

import json
import re
import typing as t
from collections.abc import Iterable, Mapping

import msgspec
from cardamomloft.runtime.logs import ReportedProblems, log

MAX_KEY_CHARS = 200
"""Longest excerpt of a key in a log line, in characters."""

_LONE_SURROGATE = re.compile("[\ud800-\udfff]")
_NO_TEXT = "the key is not text"


def decode_object(raw: bytes) -> dict[str, t.Any]:
    """Return a JSON object, whose strings may have lone surrogates where the document is no text.

    Raises
    ------
    ValueError, RecursionError
        If it is not a JSON object, or nested too deeply.
    """
    try:
        return msgspec.json.decode(raw, type=dict[str, t.Any])
    except msgspec.DecodeError:
        pass
    # msgspec rejects the whole document for one string that is no text.
    decoded = json.loads(raw.decode("utf-8", "surrogateescape"))
    if not isinstance(decoded, dict):
        raise ValueError(f"a JSON object is expected, not {type(decoded).__name__}")
    return decoded


class ReadableRows:
    """Leaves out rows whose keys are not text, so that they don't cost the others; logs each once.

    Parameters
    ----------
    key_field
        Name of the field with a row's key.
    """

    def __init__(self, key_field: str) -> None:
        self._key_field = key_field
        self._logged = ReportedProblems()

    def of(self, rows: Iterable[Mapping[str, t.Any]]) -> list[Mapping[str, t.Any]]:
        """Return the rows whose keys are text.

        Raises
        ------
        KeyError, TypeError
            If a row has no key.
        """
        return [row for row in rows if self._is_readable(row[self._key_field])]

    def _is_readable(self, key: object) -> bool:
        if isinstance(key, str) and not _LONE_SURROGATE.search(key):
            return True
        shown = ascii(key)[:MAX_KEY_CHARS]
        if self._logged.is_new(shown, _NO_TEXT):
            log("unreadable", key=shown, detail=_NO_TEXT)
        return False
