"""The entry's settings file: types, ranges and validation.

The settings identify one process and its addresses. What applies to all entries (services, rules,
roster) is in the configuration document.
"""

import typing as t
from typing import NotRequired

from cardamomloft.core.document import Address, Mistake, Name
from cardamomloft.core.typedjson import load_typed
from expression import Result
from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

_strict = with_config(ConfigDict(extra="forbid", strict=True))

Url = t.Annotated[str, Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Milliseconds = t.Annotated[int, Field(ge=1, le=3_600_000)]


@_strict
class CurveSettings(TypedDict):
    """The deployment's CURVE key pair, Z85-encoded; messages of peers without it are rejected."""

    public: t.Annotated[str, Field(min_length=40, max_length=40)]
    secret: t.Annotated[str, Field(min_length=40, max_length=40)]


@_strict
class EntrySettings(TypedDict):
    """Settings of one entry.

    `seat` is the entry's name in the roster. `peer_seeds` are addresses of peers that supply the
    configuration while the store is unavailable. `hard_stop_ms` bounds a graceful stop; without it
    the entry waits for its longest request. `max_in_flight` and the ledger's limits bound memory.
    """

    seat: Name
    zone: Name
    callers: Address
    peers: Address
    operators: Address
    store: Url
    vms: Url
    peer_seeds: NotRequired[list[Address]]
    curve: NotRequired[CurveSettings]
    hard_stop_ms: NotRequired[Milliseconds]
    store_timeout_ms: NotRequired[Milliseconds]
    vms_every_ms: NotRequired[Milliseconds]
    load_every_ms: NotRequired[Milliseconds]
    max_in_flight: NotRequired[t.Annotated[int, Field(ge=1, le=100_000)]]
    ledger_entries: NotRequired[t.Annotated[int, Field(ge=1, le=10_000_000)]]
    ledger_bytes: NotRequired[t.Annotated[int, Field(ge=1)]]
    claims_per_s: NotRequired[t.Annotated[int, Field(ge=0, le=500)]]


DEFAULTS: t.Final[dict[str, t.Any]] = {
    "store_timeout_ms": 2000,
    "vms_every_ms": 2000,
    "load_every_ms": 500,
    "max_in_flight": 2000,
    "ledger_entries": 20_000,
    "ledger_bytes": 24 * 1024 * 1024,
    "claims_per_s": 20,
}
"""Values of optional settings that are not given."""


def load_settings(text: str) -> Result[EntrySettings, tuple[Mistake, ...]]:
    """Validate the text of a settings file.

    Returns
    -------
    Result
        The settings, or all mistakes, each with its path.
    """
    return load_typed(EntrySettings, text)
