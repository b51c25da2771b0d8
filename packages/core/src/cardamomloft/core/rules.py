"""The ordered when-then rules: the first rule whose conditions all hold decides.

:func:`scan_rules` reads the rules one by one and says why each does not match; it defines what
they mean. :class:`RuleSet` gives the same answers from an index that is built once per document.
"""

import typing as t
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta

from cardamomloft.core.addresses import Block, format_address, parse_block
from cardamomloft.core.document import Document, RuleRow, Then, When
from cardamomloft.core.model import Priority, Refusal, RefusalReason, Request
from expression import Error, Ok, Result

ANY_VALUE = "*"
"""As a header's value in a condition: the header is present, whatever its value."""


class WeightedPlace(t.NamedTuple):
    """A region or a zone (exactly one is given) and its weight among a rule's places."""

    region: str | None
    zone: str | None
    weight: int


class Directive(t.NamedTuple):
    """What the matching rule asks for; `spill` names regions to use when the places are full."""

    rule: str
    places: tuple[WeightedPlace, ...]
    deadline: timedelta | None
    priority: Priority | None
    attempts: int
    spill: tuple[str, ...]


class RuleVerdict(t.NamedTuple):
    """Whether one rule matches a request, and the first condition that does not hold."""

    rule: str
    matched: bool
    why: str


def bare_path(path: str) -> str:
    """Return `path` without its query."""
    return path.partition("?")[0]


def strip_trailing_slashes(prefix: str) -> str:
    """Return a path prefix without trailing slashes; the root becomes empty."""
    return prefix.rstrip("/")


def is_under(path: str, prefix: str) -> bool:
    """Tell whether whole segments of `path` begin with `prefix`.

    Both are without query and trailing slash: ``/menus`` holds ``/menus/7`` but not ``/menus2``.
    """
    return path == prefix or path.startswith(prefix + "/")


def path_prefixes(path: str, depth: int) -> list[str]:
    """Return the prefixes of at most `depth` segments that hold `path`, the shortest first."""
    found, at = [""], 0
    for _ in range(depth):
        at = path.find("/", at + 1)
        if at < 0:
            found.append(path)
            break
        found.append(path[:at])
    return found


def with_directive(req: Request, directive: Directive, now: timedelta) -> Request:
    """Return `req` with the rule's deadline and priority, counted from its arrival at `now`.

    They stand in for those of the service. A caller's own deadline and lower priority still hold,
    since the caller will not wait longer whatever a rule says.
    """
    deadline, priority = req.deadline, req.priority
    if directive.deadline is not None:
        ruled = now + directive.deadline
        deadline = min(deadline, ruled) if "x-deadline-ms" in req.headers else ruled
    if directive.priority is not None:
        asked = req.priority if "x-priority" in req.headers else directive.priority
        priority = max(directive.priority, asked)
    return req._replace(deadline=deadline, priority=priority)


def scan_rules(
    rules: t.Sequence[RuleRow], req: Request, zone: str, region: str
) -> list[RuleVerdict]:
    """Return the verdict on each rule, in order, up to the first that matches."""
    verdicts = []
    for rule in rules:
        why = unmet_condition(rule["when"], req, zone, region)
        verdicts.append(RuleVerdict(rule["name"], why is None, why or "every condition holds"))
        if why is None:
            break
    return verdicts


def unmet_condition(when: When, req: Request, zone: str, region: str) -> str | None:
    """Return why `when` does not hold for a request at an entry of `zone`, or None if it does."""
    here = _Here(req, zone, region)
    for condition, wanted in when.items():
        why = _CONDITIONS[condition](wanted, here)
        if why is not None:
            return why
    return None


class _Here(t.NamedTuple):
    req: Request
    zone: str
    region: str


def _unless_equal(what: str, wanted: object, actual: object) -> str | None:
    return None if wanted == actual else f"{what} is {actual}, not {wanted}"


def _unmet_method(wanted: list[str], here: _Here) -> str | None:
    method = here.req.method
    return None if method in wanted else f"method is {method}, not {' or '.join(wanted)}"


def _unmet_path(wanted: str, here: _Here) -> str | None:
    path = bare_path(here.req.path)
    if is_under(path, strip_trailing_slashes(wanted)):
        return None
    return f"path {path} is not under {wanted}"


def _unmet_block(wanted: str, here: _Here) -> str | None:
    client, block = here.req.client, parse_block(wanted)
    if client is None:
        return "the client's address is not known"
    if block is not None and client & block.netmask == block.network:
        return None
    return f"client {format_address(client)} is not in {wanted}"


def _unmet_headers(wanted: Mapping[str, str], here: _Here) -> str | None:
    for name, value in wanted.items():
        actual = here.req.headers.get(name)
        if actual is None:
            return f"there is no header {name}"
        if value not in (ANY_VALUE, actual):
            return f"header {name} is {actual!r}, not {value!r}"
    return None


def _unmet_idempotent(wanted: bool, here: _Here) -> str | None:
    if wanted == here.req.idempotent:
        return None
    return "the request is idempotent" if here.req.idempotent else "the request is not idempotent"


_CONDITIONS: dict[str, Callable[[t.Any, _Here], str | None]] = {
    "service": lambda wanted, here: _unless_equal("service", wanted, here.req.service),
    "method": _unmet_method,
    "path": _unmet_path,
    "block": _unmet_block,
    "zone": lambda wanted, here: _unless_equal("the entry's zone", wanted, here.zone),
    "region": lambda wanted, here: _unless_equal("the entry's region", wanted, here.region),
    "headers": _unmet_headers,
    "priority": lambda wanted, here: _unless_equal(
        "priority", wanted, here.req.priority.name.lower()
    ),
    "idempotent": _unmet_idempotent,
}


class _Rule(t.NamedTuple):
    """A rule with its conditions taken apart.

    The fixed ones have few values in all and select a bucket; the others are read per request.
    """

    fixed: Mapping[str, t.Any]
    path: str | None
    block: Block | None
    headers: tuple[tuple[str, str], ...]
    outcome: Result[Directive, Refusal]

    def lookup_keys(self) -> Iterator["_Key"]:
        """Yield what a matching request must show, each usable to find the rule."""
        if self.path is not None:
            yield _Key("path", "", self.path)
        if self.block is not None:
            yield _Key("block", self.block.netmask, self.block.network)
        for name, value in self.headers:
            yield _Key("header", name, value)

    def holds(self, path: str, req: Request) -> bool:
        """Tell whether the conditions outside the bucket hold."""
        if self.path is not None and not is_under(path, self.path):
            return False
        if self.block is not None and (
            req.client is None or req.client & self.block.netmask != self.block.network
        ):
            return False
        return all(
            name in req.headers and value in (ANY_VALUE, req.headers[name])
            for name, value in self.headers
        )

    @property
    def unconditional(self) -> bool:
        """Whether the rule holds for all requests of its bucket."""
        return self.path is None and self.block is None and not self.headers


class _Key(t.NamedTuple):
    kind: str
    group: str | int
    value: str | int


class _Bucket:
    """The rules that can match requests with the same fixed properties.

    Each rule is filed under the one of its keys that it shares with the fewest others.
    """

    def __init__(self, rules: list[tuple[int, _Rule]]) -> None:
        shared = Counter(key for _, rule in rules for key in rule.lookup_keys())
        self._always: list[int] = []
        self._paths: dict[str, list[int]] = {}
        self._groups: dict[str, dict[t.Any, dict[t.Any, list[int]]]] = {"block": {}, "header": {}}
        for at, rule in rules:
            key = min(rule.lookup_keys(), key=shared.__getitem__, default=None)
            self._file(at, key)
            if rule.unconditional:
                break
        self._depth = max((prefix.count("/") for prefix in self._paths), default=0)

    def _file(self, at: int, key: _Key | None) -> None:
        if key is None:
            self._always.append(at)
        elif key.kind == "path":
            self._paths.setdefault(t.cast(str, key.value), []).append(at)
        else:
            group = self._groups[key.kind].setdefault(key.group, {})
            group.setdefault(key.value, []).append(at)

    def candidates(self, path: str, req: Request) -> list[int]:
        """Return the rules to try, in order; every rule that matches is among them."""
        found = self._always[:]
        if self._paths:
            for prefix in path_prefixes(path, self._depth):
                found += self._paths.get(prefix, ())
        if req.client is not None:
            for netmask, networks in self._groups["block"].items():
                found += networks.get(req.client & netmask, ())
        for name, values in self._groups["header"].items():
            if name in req.headers:
                found += values.get(req.headers[name], ())
                found += values.get(ANY_VALUE, ())
        found.sort()
        return found


_BucketKey = tuple[str | None, str | None, str | None, str | None, Priority, bool]


class RuleSet:
    """The rules of one document, indexed.

    Requests are first told apart by service, method, place, priority and idempotence; the rules
    left over are found by path prefix, block or header. Buckets are made when first needed and
    there are few: a value that no rule names counts as no value.
    """

    def __init__(self, document: Document) -> None:
        self._rows = document["rules"]
        self._rules = [_compile(row) for row in self._rows]
        self._named = {kind: self._values(kind) for kind in ("service", "zone", "region")}
        self._methods = frozenset(
            method for row in self._rows for method in row["when"].get("method", ())
        )
        self._buckets: dict[_BucketKey, _Bucket] = {}

    def match(self, req: Request, zone: str, region: str) -> Result[Directive, Refusal]:
        """Return what the first matching rule asks for, for an entry of `zone` in `region`.

        Errors
        ------
        Refusal
            RULE if that rule refuses, NO_RULE if none matches.
        """
        path = bare_path(req.path)
        for at in self._bucket(req, zone, region).candidates(path, req):
            rule = self._rules[at]
            if rule.holds(path, req):
                return rule.outcome
        return Error(Refusal(RefusalReason.NO_RULE))

    def explain(self, req: Request, zone: str, region: str) -> list[RuleVerdict]:
        """Return the verdict on each rule up to the one that matches."""
        return scan_rules(self._rows, req, zone, region)

    def _values(self, condition: str) -> frozenset[str]:
        return frozenset(
            t.cast(t.Any, row["when"])[condition] for row in self._rows if condition in row["when"]
        )

    def _bucket(self, req: Request, zone: str, region: str) -> _Bucket:
        named = self._named
        key = (
            req.service if req.service in named["service"] else None,
            req.method if req.method in self._methods else None,
            zone if zone in named["zone"] else None,
            region if region in named["region"] else None,
            req.priority,
            req.idempotent,
        )
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(self._selected(key))
        return bucket

    def _selected(self, key: _BucketKey) -> list[tuple[int, _Rule]]:
        service, method, zone, region, priority, idempotent = key
        actual = {
            "service": service,
            "zone": zone,
            "region": region,
            "priority": priority.name.lower(),
            "idempotent": idempotent,
        }
        return [
            (at, rule)
            for at, rule in enumerate(self._rules)
            if ("method" not in rule.fixed or method in rule.fixed["method"])
            and all(
                actual.get(name) == value for name, value in rule.fixed.items() if name != "method"
            )
        ]


def _compile(row: RuleRow) -> _Rule:
    when = row["when"]
    path, block = when.get("path"), when.get("block")
    return _Rule(
        fixed={
            name: value for name, value in when.items() if name not in ("path", "block", "headers")
        },
        path=None if path is None else strip_trailing_slashes(path),
        block=None if block is None else parse_block(block),
        headers=tuple(when.get("headers", {}).items()),
        outcome=_outcome(row["name"], row["then"]),
    )


def _outcome(name: str, then: Then) -> Result[Directive, Refusal]:
    if "refuse" in then:
        return Error(Refusal(RefusalReason.RULE, then["refuse"]))
    deadline, priority = then.get("deadline_ms"), then.get("priority")
    return Ok(
        Directive(
            rule=name,
            places=tuple(
                WeightedPlace(place.get("region"), place.get("zone"), place["weight"])
                for place in then.get("places", ())
            ),
            deadline=None if deadline is None else timedelta(milliseconds=deadline),
            priority=None if priority is None else Priority[priority.upper()],
            attempts=then.get("attempts", 1),
            spill=tuple(then.get("spill", ())),
        )
    )
