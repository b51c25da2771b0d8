"""The ordered rules of a document: the first rule whose conditions all hold decides.

:func:`scan_rules` is the reference implementation: it checks the rules one by one and explains why
each does not match. :class:`RuleSet` gives the same results from an index built per document.
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
"""Matches any value of a header that is present."""


class WeightedPlace(t.NamedTuple):
    """A region or a zone, exactly one of them, with its weight among a rule's places."""

    region: str | None
    zone: str | None
    weight: int


class Directive(t.NamedTuple):
    """The effect of the matching rule; `spill` names regions to use when the places are full."""

    rule: str
    places: tuple[WeightedPlace, ...]
    deadline: timedelta | None
    priority: Priority | None
    attempts: int
    spill: tuple[str, ...]


class RuleVerdict(t.NamedTuple):
    """Whether a rule matches a request, with the first condition that does not hold."""

    rule: str
    matched: bool
    why: str


def path_without_query(path: str) -> str:
    """Return `path` without its query."""
    return path.partition("?")[0]


def strip_trailing_slashes(prefix: str) -> str:
    """Return a path prefix without trailing slashes; the root becomes empty."""
    return prefix.rstrip("/")


def is_under(path: str, prefix: str) -> bool:
    """Return whether `path` begins with the whole segments of `prefix`.

    Both are without query and trailing slash: ``/menus`` matches ``/menus/7`` but not ``/menus2``.
    """
    return path == prefix or path.startswith(prefix + "/")


def path_prefixes(path: str, depth: int) -> list[str]:
    """Return the prefixes of `path` with at most `depth` segments, the shortest first."""
    found, index = [""], 0
    for _ in range(depth):
        index = path.find("/", index + 1)
        if index < 0:
            found.append(path)
            break
        found.append(path[:index])
    return found


def with_directive(req: Request, directive: Directive, now: timedelta) -> Request:
    """Return `req` with the rule's deadline and priority; the deadline counts from `now`.

    They replace the defaults of the service. A caller's earlier deadline or lower priority still
    applies.
    """
    deadline, priority = req.deadline, req.priority
    if directive.deadline is not None:
        rule_deadline = now + directive.deadline
        deadline = min(deadline, rule_deadline) if "x-deadline-ms" in req.headers else rule_deadline
    if directive.priority is not None:
        requested = req.priority if "x-priority" in req.headers else directive.priority
        priority = max(directive.priority, requested)
    return req._replace(deadline=deadline, priority=priority)


def scan_rules(
    rules: t.Sequence[RuleRow], req: Request, zone: str, region: str
) -> list[RuleVerdict]:
    """Return the verdict on each rule in order, up to the first that matches."""
    verdicts = []
    for rule in rules:
        why = unmet_condition(rule["when"], req, zone, region)
        verdicts.append(RuleVerdict(rule["name"], why is None, why or "every condition holds"))
        if why is None:
            break
    return verdicts


def unmet_condition(when: When, req: Request, zone: str, region: str) -> str | None:
    """Return why `when` does not hold for a request at an entry of `zone`, or None if it does."""
    context = _RequestContext(req, zone, region)
    for condition, wanted in when.items():
        why = _CONDITIONS[condition](wanted, context)
        if why is not None:
            return why
    return None


class _RequestContext(t.NamedTuple):
    req: Request
    zone: str
    region: str


def _unless_equal(what: str, wanted: object, actual: object) -> str | None:
    return None if wanted == actual else f"{what} is {actual}, not {wanted}"


def _unmet_method(wanted: list[str], context: _RequestContext) -> str | None:
    method = context.req.method
    return None if method in wanted else f"method is {method}, not {' or '.join(wanted)}"


def _unmet_path(wanted: str, context: _RequestContext) -> str | None:
    path = path_without_query(context.req.path)
    if is_under(path, strip_trailing_slashes(wanted)):
        return None
    return f"path {path} is not under {wanted}"


def _unmet_block(wanted: str, context: _RequestContext) -> str | None:
    client, block = context.req.client, parse_block(wanted)
    if client is None:
        return "the client's address is not known"
    if block is not None and client & block.netmask == block.network:
        return None
    return f"client {format_address(client)} is not in {wanted}"


def _unmet_headers(wanted: Mapping[str, str], context: _RequestContext) -> str | None:
    for name, value in wanted.items():
        actual = context.req.headers.get(name)
        if actual is None:
            return f"there is no header {name}"
        if value not in (ANY_VALUE, actual):
            return f"header {name} is {actual!r}, not {value!r}"
    return None


def _unmet_idempotent(wanted: bool, context: _RequestContext) -> str | None:
    if wanted == context.req.idempotent:
        return None
    return (
        "the request is idempotent" if context.req.idempotent else "the request is not idempotent"
    )


_CONDITIONS: dict[str, Callable[[t.Any, _RequestContext], str | None]] = {
    "service": lambda wanted, context: _unless_equal("service", wanted, context.req.service),
    "method": _unmet_method,
    "path": _unmet_path,
    "block": _unmet_block,
    "zone": lambda wanted, context: _unless_equal("the entry's zone", wanted, context.zone),
    "region": lambda wanted, context: _unless_equal("the entry's region", wanted, context.region),
    "headers": _unmet_headers,
    "priority": lambda wanted, context: _unless_equal(
        "priority", wanted, context.req.priority.name.lower()
    ),
    "idempotent": _unmet_idempotent,
}


class _Rule(t.NamedTuple):
    """A rule with its conditions separated by kind.

    `fixed` conditions have few values in total and select a bucket; the others are checked per
    request.
    """

    fixed: Mapping[str, t.Any]
    path: str | None
    block: Block | None
    headers: tuple[tuple[str, str], ...]
    outcome: Result[Directive, Refusal]

    def lookup_keys(self) -> Iterator["_Key"]:
        """Yield the keys under which the index can file the rule."""
        if self.path is not None:
            yield _Key("path", "", self.path)
        if self.block is not None:
            yield _Key("block", self.block.netmask, self.block.network)
        for name, value in self.headers:
            yield _Key("header", name, value)

    def holds(self, path: str, req: Request) -> bool:
        """Return whether the conditions other than the fixed ones hold."""
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
        """Whether the rule matches every request of its bucket."""
        return self.path is None and self.block is None and not self.headers


class _Key(t.NamedTuple):
    kind: str
    group: str | int
    value: str | int


class _Bucket:
    """The rules that can match requests with the same fixed properties.

    Each rule is indexed under the one of its keys that the fewest other rules share.
    """

    def __init__(self, rules: list[tuple[int, _Rule]]) -> None:
        shared = Counter(key for _, rule in rules for key in rule.lookup_keys())
        self._without_key: list[int] = []
        self._paths: dict[str, list[int]] = {}
        self._groups: dict[str, dict[t.Any, dict[t.Any, list[int]]]] = {"block": {}, "header": {}}
        for index, rule in rules:
            key = min(rule.lookup_keys(), key=shared.__getitem__, default=None)
            self._add_rule(index, key)
            if rule.unconditional:
                break
        self._depth = max((prefix.count("/") for prefix in self._paths), default=0)

    def _add_rule(self, index: int, key: _Key | None) -> None:
        if key is None:
            self._without_key.append(index)
        elif key.kind == "path":
            self._paths.setdefault(t.cast(str, key.value), []).append(index)
        else:
            group = self._groups[key.kind].setdefault(key.group, {})
            group.setdefault(key.value, []).append(index)

    def candidates(self, path: str, req: Request) -> list[int]:
        """Return the indices of all rules that may match, in order."""
        found = self._without_key[:]
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
    """The indexed rules of one document.

    Requests select a bucket by service, method, location, priority and idempotence; its rules are
    found by path prefix, client block or header. Buckets are created on first use. Values that no
    rule names share one bucket, so callers cannot create buckets at will.
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
        """Return the effect of the first matching rule, for an entry of `zone` in `region`.

        Errors
        ------
        Refusal
            RULE if that rule refuses, NO_RULE if none matches.
        """
        path = path_without_query(req.path)
        for index in self._bucket(req, zone, region).candidates(path, req):
            rule = self._rules[index]
            if rule.holds(path, req):
                return rule.outcome
        return Error(Refusal(RefusalReason.NO_RULE))

    def explain(self, req: Request, zone: str, region: str) -> list[RuleVerdict]:
        """Return the verdict on each rule up to the first that matches."""
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
            (index, rule)
            for index, rule in enumerate(self._rules)
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
