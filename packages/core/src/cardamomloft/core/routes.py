"""Routing rules for upstreams that register themselves: from host and path prefix to a service.

Rules are ordered and the first match decides, as in :mod:`.rules`. They only name services; the
endpoints of a service are learned from registrations. A plan is immutable: each configuration
creates a new one.
"""

import typing as t
from collections.abc import Iterable, Mapping
from datetime import timedelta


class ServiceShare(t.NamedTuple):
    """A service among those that share a rule's requests, with its weight."""

    service: str
    weight: float


class RouteRule(t.NamedTuple):
    """A rule that sends requests to one of several services.

    It matches if the request's host is `host` and its path begins with `prefix`, which ends in a
    slash. `timeout` bounds the time that a caller waits and `target` is the latency objective.
    `attempts` bounds the endpoints that one request may be sent to. A lower `priority` is served
    first. With `keyed`, requests with the same affinity key prefer one endpoint. `homes` are the
    regions that may serve the requests; if it is empty, all may. With `anonymous`, callers need no
    key of a client account.
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
    anonymous: bool = False


class ClientAccount(t.NamedTuple):
    """A client account, whose callers identify themselves by one of its keys.

    `priority` replaces that of the rules if it is set. All gateways together accept `rate_per_s`
    requests per second on average, and `burst` more at once; a rate of 0 means no limit. `homes`
    are the regions that may serve its requests; if it is empty, all may.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: frozenset[str] = frozenset()

    def __repr__(self) -> str:
        # Facts are written to the log, which must not contain keys.
        return f"ClientAccount(name={self.name!r}, keys={len(self.keys)})"


class ServicePolicy(t.NamedTuple):
    """Limits on the use of a service's endpoints.

    `connections` is the maximum number of connections to one endpoint from all callers together.
    For `cold_time` after its start, an endpoint accepts `cold_per_s` requests per second from all
    callers together.
    """

    name: str
    connections: int
    cold_time: timedelta
    cold_per_s: float


class CallerLimits(t.NamedTuple):
    """Limits on a caller's request head and body, in bytes, and on its timeouts."""

    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


class RoutePlan(t.NamedTuple):
    """A complete configuration; `number` increases with each one.

    Without `accounts`, callers need no keys.
    """

    number: int
    rules: tuple[RouteRule, ...]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] | None = None


def cold_times(plan: RoutePlan) -> dict[str, timedelta]:
    """Return for how long the endpoints of each service are cold."""
    return {name: policy.cold_time for name, policy in plan.services.items()}


def longest_prefix_first(rules: Iterable[RouteRule]) -> tuple[RouteRule, ...]:
    """Return `rules` ordered so that the first match has the longest matching prefix."""
    return tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))


_PHASE_FACTOR = 7919
"""Prime factor between the phases that are derived from one offset, so that they are nearly
independent of each other."""


class RouteTable:
    """Finds the first matching rule with an index.

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

    It answers the load of few requests at each of many entries: with uniform offsets, each request
    of an entry, the first one included, goes to a service with the probability of its share, so
    that the shares hold over all entries. At one entry it is systematic sampling in stages: over
    any run of requests, with n services each count stays within n - 1 of its share.

    Parameters
    ----------
    services
        The services with their weights.
    offset
        Start of the rotation, from 0 to 1; uniform and independent among entries.
    """

    def __init__(self, services: tuple[ServiceShare, ...], offset: float) -> None:
        self.services = services
        weights = [share.weight for share in services]
        # The share of each service among those from it on.
        self._steps = [
            weight / (sum(weights[position:]) or 1.0)
            for position, weight in enumerate(weights[:-1])
        ]
        self._phases = [
            offset * _PHASE_FACTOR**position % 1.0 for position in range(len(self._steps))
        ]

    def next(self) -> str:
        """Return the service for the next request."""
        for position, step in enumerate(self._steps):
            phase = self._phases[position] + step
            if phase >= 1.0:
                self._phases[position] = phase - 1.0
                return self.services[position].service
            self._phases[position] = phase
        return self.services[-1].service
