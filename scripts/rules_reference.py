"""Generate docs/rules-reference.md from the types of the configuration document.

Run it after every change of ``cardamomloft.core.document``; a test checks that the page is current.
"""

import inspect
import typing as t
from pathlib import Path

from cardamomloft.core import document
from cardamomloft.core.fields import Limits
from typing_extensions import is_typeddict

PAGE = Path(__file__).resolve().parent.parent / "docs" / "rules-reference.md"

_HEAD = """# Reference of the configuration document

Generated from the types by `scripts/rules_reference.py`; edit those instead of this page.
[The rules file](rules-file.md) explains what the parts mean. Every key not listed is a mistake.
Durations are in milliseconds, sizes in bytes.
"""

_TYPE_NAMES = {str: "text", int: "whole number", float: "number", bool: "true or false"}
_LIMIT_WORDS = {"ge": "at least", "gt": "above", "lt": "below", "le": "at most"}
_ALIAS_NAMES = {
    document.Name: "name",
    document.Address: "IPv4 address and port",
    document.Percent: "number, 0 to 100",
}


def page() -> str:
    """Return the generated page."""
    parts = [_HEAD, *map(_section, _sections(document.Document))]
    names = document.Name.__metadata__[0].pattern
    parts.append(f"## Names\n\nA name matches `{names}`.\n")
    return "\n".join(parts)


def _sections(root: type) -> list[type]:
    """Return `root` and all types nested in it, without repetition, in order of first use."""
    found = [root]
    for section in found:
        for hint in _hints(section).values():
            found += [part for part in _rows_in(hint) if part not in found]
    return found


def _hints(section: type) -> dict[str, t.Any]:
    hints = t.get_type_hints(section, include_extras=True)
    return {key: _without_required(hint) for key, hint in hints.items()}


def _without_required(hint: t.Any) -> t.Any:
    return t.get_args(hint)[0] if t.get_origin(hint) is t.NotRequired else hint


def _rows_in(hint: t.Any) -> list[type]:
    if is_typeddict(hint):
        return [hint]
    return [row for part in t.get_args(hint) for row in _rows_in(part)]


def _section(section: type) -> str:
    lines = [f"## {section.__name__}", "", inspect.getdoc(section) or "", ""]
    lines += ["| Key | Value | Required |", "|---|---|---|"]
    for key, hint in _hints(section).items():
        required = "yes" if key in section.__required_keys__ else "no"
        lines.append(f"| `{key}` | {_describe(hint)} | {required} |")
    return "\n".join(lines) + "\n"


def _describe(hint: t.Any) -> str:
    if hint in _ALIAS_NAMES:
        return _ALIAS_NAMES[hint]
    if is_typeddict(hint):
        return f"[{hint.__name__}](#{hint.__name__.lower()})"
    args = t.get_args(hint)
    origin = t.get_origin(hint)
    if origin is t.Literal:
        return " or ".join(f"`{value}`" for value in args)
    if origin is t.Annotated:
        return f"{_describe(args[0])}, {_limits(args[1])}"
    if origin is list:
        return f"list of: {_describe(args[0])}"
    if origin is dict:
        return f"object, by {_describe(args[0])}: {_describe(args[1])}"
    return _TYPE_NAMES[hint]


def _limits(limits: Limits) -> str:
    return " and ".join(_limit(name, limit) for name, limit in limits.given().items())


def _limit(name: str, limit: t.Any) -> str:
    return f"matching `{limit}`" if name == "pattern" else f"{_LIMIT_WORDS[name]} {limit}"


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
