"""Validation of a document beyond its types: undefined names and contradictory values.

All functions take a document whose types have been checked. Each yields the mistakes of one
section, with their paths.
"""

import difflib
import re
import typing as t
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator
from datetime import datetime

from cardamomloft.core.addresses import parse_address, parse_block
from cardamomloft.core.blocks import BLOCK_HELP, block_mistakes
from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Document, Mistake, PlaceRow, RuleRow, ServiceRow, Then, When

_METHOD = re.compile(r"[A-Z]+\Z")
_HEADER = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+\Z")
_PATH = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)*/?\Z")
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")
_PORT = re.compile(r"[1-9][0-9]{0,4}\Z")
_MAX_PORT = 65535
# 100 percent, plus a tolerance for the rounding error of a sum.
_MAX_TOTAL_PERCENT = 100.000001


class DefinedNames(t.NamedTuple):
    """The names that a document defines."""

    regions: Collection[str]
    zones: Collection[str]
    services: Collection[str]
    upstreams: Collection[str]
    entries: Collection[str]
    sites: Collection[str]

    @classmethod
    def of(cls, document: Document) -> "DefinedNames":
        """Collect the names; sites are those that entries name, and all zones and regions."""
        zones = {zone for listed in document["regions"].values() for zone in listed}
        return cls(
            regions=document["regions"].keys(),
            zones=zones,
            services=document["services"].keys(),
            upstreams={name for row in document["services"].values() for name in row["upstreams"]},
            entries=document["entries"].keys(),
            sites={row["site"] for row in document["entries"].values() if "site" in row}
            | zones
            | document["regions"].keys(),
        )


def reference_mistakes(document: Document) -> Iterator[Mistake]:
    """Yield every mistake of `document` that its types do not exclude."""
    names = DefinedNames.of(document)
    yield from _region_mistakes(document)
    yield from _address_mistakes(document)
    yield from _entry_mistakes(document, names)
    yield from _service_mistakes(document, names)
    yield from _client_mistakes(document, names)
    yield from _rule_list_mistakes(document, names)
    yield from _link_mistakes(document, names)
    yield from _drain_mistakes(document, names)
    yield from _move_mistakes(document, names)


def parse_instant(text: str) -> datetime | None:
    """Return the ISO 8601 instant in `text`, or None if it is invalid or has no UTC offset."""
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        return None
    return instant if instant.tzinfo is not None else None


def _unknown_name(path: str, what: str, name: str, defined: Collection[str]) -> Iterator[Mistake]:
    if name in defined:
        return
    close = difflib.get_close_matches(name, defined, n=1)
    hint = f", did you mean {close[0]}?" if close else ""
    yield Mistake(path, f"unknown {what} {name}{hint}")


def _duplicates(path: str, what: str, names: Iterable[str]) -> Iterator[Mistake]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Mistake(path, f"{what} {name} is given {count} times")


def _instant_mistakes(path: str, text: str) -> Iterator[Mistake]:
    if parse_instant(text) is None:
        yield Mistake(path, f"must be an ISO 8601 instant like 2026-05-01T06:00:00Z, is {text!r}")


def _region_mistakes(document: Document) -> Iterator[Mistake]:
    region_of: dict[str, str] = {}
    for region, zones in document["regions"].items():
        path = dotted("regions", region)
        yield from _duplicates(path, "zone", zones)
        for zone in dict.fromkeys(zones):
            if zone in region_of:
                yield Mistake(path, f"zone {zone} is in region {region_of[zone]} already")
            region_of.setdefault(zone, region)


def _address_mistakes(document: Document) -> Iterator[Mistake]:
    used_by: dict[str, str] = {}
    for path, text in _addresses(document):
        host, _, port = text.partition(":")
        if parse_address(host) is None or not _PORT.match(port) or int(port) > _MAX_PORT:
            yield Mistake(path, f"must be an IPv4 address and a port, is {text!r}")
        elif text in used_by:
            yield Mistake(path, f"address {text} is used by {used_by[text]} already")
        used_by.setdefault(text, path)


def _addresses(document: Document) -> Iterator[tuple[str, str]]:
    for entry, row in document["entries"].items():
        for purpose in ("callers", "peers", "operators"):
            yield dotted("entries", entry, purpose), row[purpose]
    for service, settings in document["services"].items():
        for name, upstream in settings["upstreams"].items():
            yield dotted("services", service, "upstreams", name, "address"), upstream["address"]


def _entry_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    for entry, row in document["entries"].items():
        yield from _unknown_name(dotted("entries", entry, "zone"), "zone", row["zone"], names.zones)


def _service_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    prefixes: dict[str, str] = {}
    service_of: dict[str, str] = {}
    for service, row in document["services"].items():
        path = ("services", service)
        prefix = row["prefix"].rstrip("/")
        if prefix in prefixes:
            yield Mistake(dotted(*path, "prefix"), f"is the prefix of {prefixes[prefix]} already")
        prefixes.setdefault(prefix, service)
        yield from _path_mistakes(dotted(*path, "prefix"), row["prefix"])
        yield from _service_setting_mistakes(path, row)
        for name, upstream in row["upstreams"].items():
            where = (*path, "upstreams", name)
            yield from _unknown_name(dotted(*where, "zone"), "zone", upstream["zone"], names.zones)
            if name in service_of:
                yield Mistake(
                    dotted(*where), f"service {service_of[name]} has an upstream of this name"
                )
            service_of.setdefault(name, service)


def _service_setting_mistakes(path: tuple[str, ...], row: ServiceRow) -> Iterator[Mistake]:
    if row["deadline_ms"] > row["max_deadline_ms"]:
        text = f"is above max_deadline_ms, which is {row['max_deadline_ms']}"
        yield Mistake(dotted(*path, "deadline_ms"), text)
    yield from _method_mistakes(
        dotted(*path, "idempotent_methods"), row.get("idempotent_methods", [])
    )


def _method_mistakes(path: str, methods: list[str]) -> Iterator[Mistake]:
    yield from _duplicates(path, "method", methods)
    for method in dict.fromkeys(methods):
        if not _METHOD.match(method):
            yield Mistake(path, f"must be methods in capitals, has {method!r}")


def _path_mistakes(path: str, text: str) -> Iterator[Mistake]:
    if not text.startswith("/") or not _PATH.match(text):
        yield Mistake(path, f"must be a path like /menus/today, is {text!r}")
    elif {".", ".."} & set(text.split("/")):
        yield Mistake(path, f"must have no dot segments, is {text!r}")


def _client_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    clients = document["clients"]
    blocks, chunks = clients.get("blocks", {}), clients.get("chunks", [])
    path = ("clients", "blocks")
    yield from _unknown_name(dotted("clients", "default"), "site", clients["default"], names.sites)
    yield from block_mistakes(path, blocks)
    for block, site in blocks.items():
        yield from _unknown_name(dotted(*path, block), "site", site, names.sites)
    yield from _duplicates(dotted("clients", "chunks"), "chunk", chunks)
    for at, digest in enumerate(chunks):
        if not _DIGEST.match(digest):
            yield Mistake(dotted("clients", "chunks", at), "must be a SHA-256 in hexadecimal")
    if blocks and chunks:
        yield Mistake("clients", "has both blocks and chunks; only one of them can count")


def _rule_list_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    yield from _duplicates("rules", "rule", (rule["name"] for rule in document["rules"]))
    for rule in document["rules"]:
        yield from _condition_mistakes(("rules", rule["name"], "when"), rule["when"], names)
        yield from _action_mistakes(("rules", rule["name"], "then"), rule["then"], document, names)
        yield from _rule_deadline_mistakes(rule, document)


def _condition_mistakes(
    path: tuple[str, ...], when: When, names: DefinedNames
) -> Iterator[Mistake]:
    for condition, defined in (
        ("service", names.services),
        ("zone", names.zones),
        ("region", names.regions),
    ):
        if condition in when:
            yield from _unknown_name(dotted(*path, condition), condition, when[condition], defined)
    if "method" in when:
        yield from _method_mistakes(dotted(*path, "method"), when["method"])
        if not when["method"]:
            yield Mistake(dotted(*path, "method"), "is empty, so the rule could never match")
    if "path" in when:
        yield from _path_mistakes(dotted(*path, "path"), when["path"])
    if "block" in when and parse_block(when["block"]) is None:
        yield Mistake(dotted(*path, "block"), f"{BLOCK_HELP}, is {when['block']!r}")
    for header in when.get("headers", {}):
        if not _HEADER.match(header):
            yield Mistake(dotted(*path, "headers", header), "must be a header name in lower case")


def _action_mistakes(
    path: tuple[str, ...], then: Then, document: Document, names: DefinedNames
) -> Iterator[Mistake]:
    if "refuse" in then:
        for key in sorted(then.keys() - {"refuse"}):
            yield Mistake(dotted(*path, key), "has no meaning beside refuse")
    elif "places" not in then:
        yield Mistake(dotted(*path), "must have places or refuse")
    else:
        yield from _place_mistakes((*path, "places"), then["places"], document, names)
    spill = then.get("spill", [])
    yield from _duplicates(dotted(*path, "spill"), "region", spill)
    for region in dict.fromkeys(spill):
        yield from _unknown_name(dotted(*path, "spill"), "region", region, names.regions)


def _place_mistakes(
    path: tuple[str, ...], places: list[PlaceRow], document: Document, names: DefinedNames
) -> Iterator[Mistake]:
    zones: list[str] = []
    for at, place in enumerate(places):
        if ("region" in place) == ("zone" in place):
            yield Mistake(dotted(*path, at), "must have a region or a zone, and not both")
        elif "region" in place:
            region = place["region"]
            yield from _unknown_name(dotted(*path, at, "region"), "region", region, names.regions)
            zones += document["regions"].get(region, ())
        else:
            yield from _unknown_name(dotted(*path, at, "zone"), "zone", place["zone"], names.zones)
            zones.append(place["zone"])
    for zone, count in Counter(zones).items():
        if count > 1:
            yield Mistake(dotted(*path), f"zone {zone} is in {count} of the places")
    if sum(place["weight"] for place in places) == 0:
        yield Mistake(dotted(*path), "the weights add up to 0")


def _rule_deadline_mistakes(rule: RuleRow, document: Document) -> Iterator[Mistake]:
    """Yield the services that the rule applies to and whose maximum deadline it exceeds."""
    deadline = rule["then"].get("deadline_ms", 0)
    named = rule["when"].get("service")
    for service, row in document["services"].items():
        if named in (None, service) and deadline > row["max_deadline_ms"]:
            text = f"is above the max_deadline_ms of {service}, which is {row['max_deadline_ms']}"
            yield Mistake(dotted("rules", rule["name"], "then", "deadline_ms"), text)


def _link_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    links = document.get("links", [])
    for at, link in enumerate(links):
        yield from _unknown_name(
            dotted("links", at, "origin"), "region", link["origin"], names.regions
        )
        yield from _unknown_name(
            dotted("links", at, "target"), "region", link["target"], names.regions
        )
        if link["origin"] == link["target"]:
            yield Mistake(dotted("links", at), "origin and target are the same region")
    ends = (f"from {link['origin']} to {link['target']}" for link in links)
    yield from _duplicates("links", "a link", ends)


def _drain_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    defined = {
        "region": names.regions,
        "zone": names.zones,
        "upstream": names.upstreams,
        "entry": names.entries,
    }
    for name, drain in document.get("drains", {}).items():
        yield from _unknown_name(
            dotted("drains", name), drain["kind"], name, defined[drain["kind"]]
        )
        yield from _instant_mistakes(dotted("drains", name, "since"), drain["since"])


def _move_mistakes(document: Document, names: DefinedNames) -> Iterator[Mistake]:
    leaving: defaultdict[tuple[str, str], float] = defaultdict(float)
    for name, move in document.get("moves", {}).items():
        path = ("moves", name)
        yield from _unknown_name(
            dotted(*path, "service"), "service", move["service"], names.services
        )
        yield from _unknown_name(dotted(*path, "origin"), "zone", move["origin"], names.zones)
        yield from _unknown_name(dotted(*path, "target"), "zone", move["target"], names.zones)
        yield from _instant_mistakes(dotted(*path, "since"), move["since"])
        if move["origin"] == move["target"]:
            yield Mistake(dotted(*path), "origin and target are the same zone")
        leaving[move["service"], move["origin"]] += move["percent"]
    for (service, origin), percent in leaving.items():
        if percent > _MAX_TOTAL_PERCENT:
            text = f"the moves of {service} from {origin} add up to {percent:g} percent"
            yield Mistake("moves", text)
