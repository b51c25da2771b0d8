"""Validation of whole documents, which reports all mistakes at once with their paths.

References and contradictions are checked only after all types are valid. Warnings concern
documents that are valid but probably not intended.
"""

import typing as t
from collections import defaultdict
from collections.abc import Iterator, Mapping

from cardamomloft.core.addresses import parse_block
from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Document, Mistake, RuleRow, When
from cardamomloft.core.model import Priority
from cardamomloft.core.references import reference_mistakes
from cardamomloft.core.requests import idempotent_methods, service_priority
from cardamomloft.core.rules import ANY_VALUE, is_under, path_prefixes, strip_trailing_slashes
from cardamomloft.core.typedjson import Checked
from cardamomloft.core.validation import validate
from expression import Error, Ok

_IndexKey = tuple[t.Any, ...]


def check_document(raw: object) -> Checked[Document]:
    """Validate a whole configuration document and return `raw` itself if it is valid."""
    typed = validate(Document, raw)
    if typed.is_error():
        return typed
    document = t.cast(Document, raw)
    mistakes = tuple(dict.fromkeys(reference_mistakes(document)))
    return Error(mistakes) if mistakes else Ok(document)


def warnings(document: Document) -> tuple[Mistake, ...]:
    """Return the parts of a valid document that are probably not intended.

    A rule is reported only if it provably cannot match, either because of its own conditions or
    because one earlier rule matches every request that it matches.
    """
    unreachable = dict(_unreachable_rules(document))
    return (
        *(Mistake(dotted("rules", name), reason) for name, reason in unreachable.items()),
        *_unreachable_services(document, unreachable),
        *_empty_places(document),
        *_drained_services(document),
        *_zones_without_entries(document),
    )


def _unreachable_rules(document: Document) -> Iterator[tuple[str, str]]:
    earlier: defaultdict[_IndexKey, list[RuleRow]] = defaultdict(list)
    for rule in document["rules"]:
        reason = _contradiction(rule["when"], document) or _shadowing_rule(
            rule["when"], earlier, document
        )
        if reason:
            yield rule["name"], f"can never match: {reason}"
        else:
            earlier[_index_key(rule["when"])].append(rule)


def _contradiction(when: When, document: Document) -> str | None:
    zone, region = when.get("zone"), when.get("region")
    if zone is not None and region is not None and zone not in document["regions"][region]:
        return f"zone {zone} is not in region {region}"
    if "service" not in when:
        return None
    service = document["services"][when["service"]]
    if "path" in when and not _overlap(when["path"], service["prefix"]):
        return f"path {when['path']} is not one of service {when['service']}"
    # Callers may lower a priority but not raise it.
    if "priority" in when and Priority[when["priority"].upper()] < service_priority(service):
        return f"requests of service {when['service']} have no priority above its own"
    if "method" in when and "idempotent" in when:
        methods = idempotent_methods(service)
        if all((method in methods) != when["idempotent"] for method in when["method"]):
            return "these methods are " + ("not " if when["idempotent"] else "") + "idempotent"
    return None


def _shadowing_rule(
    when: When, earlier: Mapping[_IndexKey, list[RuleRow]], document: Document
) -> str | None:
    for index_key in _covering_index_keys(when, document):
        for other in earlier.get(index_key, ()):
            if _covers(other["when"], when, document):
                return f"rule {other['name']} comes first and matches all that it does"
    return None


def _index_key(when: When) -> _IndexKey:
    """Return the condition under which a rule is indexed, to limit pairwise comparisons."""
    if "path" in when:
        return ("path", strip_trailing_slashes(when["path"]))
    if "block" in when:
        return ("block", parse_block(when["block"]))
    if "headers" in when:
        return ("headers", *next(iter(when["headers"].items()), ()))
    return ("service", when.get("service"))


def _covering_index_keys(when: When, document: Document) -> Iterator[_IndexKey]:
    """Yield the index keys of all rules that may match every request that `when` matches."""
    yield from (("service", None), ("service", when.get("service")), ("headers",))
    for path in _implied_paths(when, document):
        yield from (("path", prefix) for prefix in path_prefixes(path, path.count("/")))
    block = parse_block(when.get("block", ""))
    if block is not None:
        for length in range(block.length + 1):
            yield ("block", block.supernet(length))
    for name, value in when.get("headers", {}).items():
        yield from (("headers", name, value), ("headers", name, ANY_VALUE))


def _covers(outer: When, inner: When, document: Document) -> bool:
    """Return whether `inner` provably implies every condition of `outer`."""
    return all(_implied(condition, wanted, inner, document) for condition, wanted in outer.items())


def _implied(condition: str, wanted: t.Any, inner: When, document: Document) -> bool:
    given = t.cast(Mapping[str, t.Any], inner).get(condition)
    match condition:
        case "method":
            return given is not None and set(given) <= set(wanted)
        case "path":
            return _path_implied(wanted, inner, document)
        case "block":
            outer, block = parse_block(wanted), parse_block(given or "")
            return outer is not None and block is not None and outer.covers(block)
        case "region":
            return given == wanted or inner.get("zone") in document["regions"][wanted]
        case "headers":
            return all(_header_implied(name, value, given or {}) for name, value in wanted.items())
        case _:
            return given == wanted


def _path_implied(wanted: str, inner: When, document: Document) -> bool:
    outer = strip_trailing_slashes(wanted)
    return any(is_under(path, outer) for path in _implied_paths(inner, document))


def _implied_paths(when: When, document: Document) -> list[str]:
    """Return the prefixes that every path matched by `when` has."""
    prefixes = [when["path"]] if "path" in when else []
    if "service" in when:
        prefixes.append(document["services"][when["service"]]["prefix"])
    return [strip_trailing_slashes(prefix) for prefix in prefixes or ["/"]]


def _header_implied(name: str, value: str, given: Mapping[str, str]) -> bool:
    return name in given and value in (ANY_VALUE, given[name])


def _overlap(path: str, prefix: str) -> bool:
    """Return whether a request path can be under both prefixes."""
    first, second = strip_trailing_slashes(path), strip_trailing_slashes(prefix)
    return is_under(first, second) or is_under(second, first)


def _unreachable_services(document: Document, unreachable: Mapping[str, str]) -> Iterator[Mistake]:
    for name, service in document["services"].items():
        reachable = (rule["when"] for rule in document["rules"] if rule["name"] not in unreachable)
        if not any(
            when.get("service", name) == name and _overlap(when.get("path", "/"), service["prefix"])
            for when in reachable
        ):
            yield Mistake(dotted("services", name), "no rule can match, so all is refused")


def _empty_places(document: Document) -> Iterator[Mistake]:
    """Yield the targets of rules and moves where the service has no upstream."""
    for rule in document["rules"]:
        service = rule["when"].get("service")
        for at, place in enumerate(rule["then"].get("places", ())):
            zones = _zones_of(place.get("region"), place.get("zone"), document)
            if (
                service is not None
                and place["weight"]
                and not zones & _upstream_zones(service, document)
            ):
                path = dotted("rules", rule["name"], "then", "places", at)
                yield Mistake(path, f"there is no upstream of service {service} there")
    for name, move in document.get("moves", {}).items():
        if move["target"] not in _upstream_zones(move["service"], document):
            text = f"there is no upstream of service {move['service']} there"
            yield Mistake(dotted("moves", name, "target"), text)


def _zones_of(region: str | None, zone: str | None, document: Document) -> set[str]:
    return {zone} if zone is not None else set(document["regions"][t.cast(str, region)])


def _upstream_zones(service: str, document: Document) -> set[str]:
    return {upstream["zone"] for upstream in document["services"][service]["upstreams"].values()}


def _drained_services(document: Document) -> Iterator[Mistake]:
    drained: dict[str, set[str]] = {"region": set(), "zone": set(), "upstream": set()}
    for name, drain in document.get("drains", {}).items():
        drained.setdefault(drain["kind"], set()).add(name)
    for region in drained["region"]:
        drained["zone"].update(document["regions"][region])
    for name, service in document["services"].items():
        if all(
            upstream in drained["upstream"] or row["zone"] in drained["zone"]
            for upstream, row in service["upstreams"].items()
        ):
            yield Mistake(dotted("services", name), "has no upstream that is not drained")


def _zones_without_entries(document: Document) -> Iterator[Mistake]:
    served = {row["zone"] for row in document["entries"].values()}
    for region, zones in document["regions"].items():
        for zone in zones:
            if zone not in served:
                yield Mistake(dotted("regions", region), f"zone {zone} has no entry")
