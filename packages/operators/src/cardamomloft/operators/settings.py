"""The optional settings file of the command, and its combination with options."""

import typing as t
from typing import NotRequired

from cardamomloft.core.document import Address
from cardamomloft.core.typedjson import check_typed, load_json
from cardamomloft.operators.outcomes import Failure
from cardamomloft.operators.wording import mistakes_failure
from expression import Ok, Result
from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

Url = t.Annotated[str, Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}/?$")]


@with_config(ConfigDict(extra="forbid", strict=True))
class Settings(TypedDict):
    """Addresses of the platform and the entries; all keys are optional.

    `entries` are operators' addresses of entries to use when the store is unavailable. `who` is the
    author that is recorded in the audit trail.
    """

    store: NotRequired[Url]
    vms: NotRequired[Url]
    entries: NotRequired[list[Address]]
    who: NotRequired[t.Annotated[str, Field(min_length=1, max_length=200)]]


def load_settings(text: str | None, options: Settings) -> Result[Settings, Failure]:
    """Validate the text of a settings file and the options, which take precedence over it."""
    raw = load_json(text) if text is not None else Ok({})
    checked = raw.bind(lambda value: check_typed(Settings, value))
    merged = checked.bind(lambda value: check_typed(Settings, {**value, **options}))
    return merged.map_error(
        lambda mistakes: mistakes_failure("the settings have mistakes", mistakes)
    )


def address_of(url: str) -> str:
    """Return the ``ip:port`` of a validated URL."""
    return url.removeprefix("http://").rstrip("/")
