"""Rules for upstreams that register themselves: by host and path prefix to a service.

These rules are ordered and the first that matches counts, like those of :mod:`.rules`. They name
services only; which endpoints a service has is learned from registrations. A plan is immutable:
a new configuration makes a new one.
"""

import typing as t
from collections.abc import Iterable, Mapping
from datetime import timedelta


class ServiceShare(t.NamedTuple):
    """One of the services that a rule's requests are divided among, with its weight."""

    service: str
    weight: float


class RouteRule(t.NamedTuple):
    """One when-then rule.

    When the request's host is `host` and its path begins with `prefix` (which ends in a slash),
    then it goes to one of `services`. `timeout` is the longest that a caller is kept waiting,
    `target` the latency that the operators aim at. `attempts` bounds the endpoints that one
    request may be sent to. A lower `priority` goes first. With `keyed`, requests of one placement
    key are best served by one endpoint. `homes` are the regions that may serve it; empty: all.
    """

    name: str
    host: str
    prefix: str
    services: tuple[ServiceShare, ...]
    idempotent: bool
    timeout: timedelta
    target: timedelta
    attempts: int
    priority: int
    keyed: bool
    homes: frozenset[str]


class ServicePolicy(t.NamedTuple):
    """What the endpoints of a service bear.

    `connections` is the most connections to one endpoint from all callers together. An endpoint
    that has just started bears `cold_per_s` requests a second, all callers together, during
    `cold_time`.
    """

    name: str
    connections: int
    cold_time: timedelta
    cold_per_s: float


class CallerLimits(t.NamedTuple):
    """What a caller may send, in bytes, and how long it may take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


class RoutePlan(t.NamedTuple):
    """A whole configuration; numbers only go up."""

    number: int
    rules: tuple[RouteRule, ...]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits


def longest_prefix_first(rules: Iterable[RouteRule]) -> tuple[RouteRule, ...]:
    """Return `rules` in an order in which the first match is the longest matching prefix."""
    return tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))


class RouteTable:
    """Finds the first matching rule by an index instead of a scan.

    Parameters
    ----------
    rules
        The rules in order.
    """

    def __init__(self, rules: Iterable[RouteRule]) -> None:
        self._by_host: dict[str, dict[str, tuple[int, RouteRule]]] = {}
        for order, rule in enumerate(rules):
            # A later rule with the same host and prefix can never match.
            self._by_host.setdefault(rule.host, {}).setdefault(rule.prefix, (order, rule))

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the first rule that matches, or None.

        Parameters
        ----------
        host
            The Host header; a port in it is ignored.
        path
            The path without its query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        found: tuple[int, RouteRule] | None = None
        end = path.find("/")
        while end >= 0:
            candidate = prefixes.get(path[: end + 1])
            if candidate is not None and (found is None or candidate[0] < found[0]):
                found = candidate
            end = path.find("/", end + 1)
        return None if found is None else found[1]


class ServiceRotation:
    """Divides the requests of one rule among its services in proportion to their weights.

    Smooth weighted rotation: over any run of requests each service's count is within one of its
    share, where drawing at random would be off by several percent in a few hundred requests.

    Parameters
    ----------
    services
        The services with their weights.
    offset
        A number from 0 to 1 that says where the rotation begins, so that entries differ.
    """

    def __init__(self, services: tuple[ServiceShare, ...], offset: float) -> None:
        self._services = services
        self._total = sum(share.weight for share in services) or 1.0
        self._credit = {share.service: share.weight * offset for share in services}

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self._services) == 1:
            return self._services[0].service
        for share in self._services:
            self._credit[share.service] += share.weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return chosen
