"""Routing rules by host and prefix, and the rotation of weighted services."""

from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.routes import (
    RouteRule,
    RouteTable,
    ServiceRotation,
    ServiceShare,
    longest_prefix_first,
)
from hypothesis import given
from hypothesis import strategies as st


def _rule(host: str, prefix: str, name: str = "") -> RouteRule:
    return RouteRule(
        name=name or host + prefix,
        host=host,
        prefix=prefix,
        services=(ServiceShare("menus", 1),),
        idempotent=True,
        timeout=timedelta(seconds=1),
        target=timedelta(milliseconds=400),
        attempts=2,
        priority=1,
        keyed=True,
        homes=frozenset(),
    )


_hosts = st.sampled_from(["a.example", "b.example"])
_prefixes = st.lists(st.sampled_from(["x", "y"]), max_size=3).map(
    lambda parts: "/" + "".join(part + "/" for part in parts)
)
_paths = st.lists(st.sampled_from(["x", "y", "z"]), max_size=4).map(lambda p: "/" + "/".join(p))


@given(st.lists(st.tuples(_hosts, _prefixes), max_size=8), _hosts, _paths)
def test_table_matches_like_a_linear_scan(pairs, host, path):
    rules = [_rule(*pair, name=str(number)) for number, pair in enumerate(pairs)]
    scanned = next((r for r in rules if r.host == host and path.startswith(r.prefix)), None)
    assert RouteTable(rules).match(host, path) == scanned


@given(st.lists(st.tuples(_hosts, _prefixes), max_size=8, unique=True), _hosts, _paths)
def test_longest_prefix_first_matches_the_longest_prefix(pairs, host, path):
    rules = [_rule(*pair) for pair in pairs]
    found = RouteTable(longest_prefix_first(rules)).match(host, path)
    lengths = [len(r.prefix) for r in rules if r.host == host and path.startswith(r.prefix)]
    assert (0 if found is None else len(found.prefix)) == max(lengths, default=0)


@pytest.mark.parametrize("host", ["A.Example", "a.example:8080"])
def test_case_and_port_of_the_host_are_ignored(host):
    rule = _rule("a.example", "/x/")
    assert RouteTable([rule]).match(host, "/x/7") is rule


def test_a_prefix_matches_whole_segments_only():
    assert RouteTable([_rule("a.example", "/x/")]).match("a.example", "/xy") is None


@given(st.lists(st.integers(1, 100), min_size=1, max_size=4), st.floats(0, 1))
def test_rotation_gives_each_service_its_share(weights, offset):
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    rotation = ServiceRotation(shares, offset)
    counts = Counter(rotation.next() for _ in range(200))
    for share in shares:
        wanted = 200 * share.weight / sum(weights)
        assert abs(counts[share.service] - wanted) <= len(weights)


@given(st.lists(st.integers(1, 100), min_size=2, max_size=4), st.floats(0, 1), st.integers(0, 400))
def test_count_of_each_service_stays_close_to_its_share_over_any_run(weights, offset, start):
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    rotation = ServiceRotation(shares, offset)
    for _ in range(start):
        rotation.next()
    counts = Counter()
    for length in range(1, 60):
        counts[rotation.next()] += 1
        for share in shares:
            wanted = length * share.weight / sum(weights)
            assert abs(counts[share.service] - wanted) <= len(weights) - 1 + 1e-6


@given(st.lists(st.integers(1, 100), min_size=1, max_size=4), st.integers(1, 12))
def test_each_request_goes_to_each_service_with_the_probability_of_its_share(weights, position):
    """Guards against entries whose first requests all go to the heaviest service."""
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    counts = Counter()
    for entry in range(2000):
        rotation = ServiceRotation(shares, (entry + 0.5) / 2000)
        counts[[rotation.next() for _ in range(position)][-1]] += 1
    for share in shares:
        assert abs(counts[share.service] / 2000 - share.weight / sum(weights)) <= 0.02


@pytest.mark.parametrize("weights", [(0, 0), (1, 0, 0), (0, 0, 1), (0,), (1, 0)])
def test_weights_of_zero_cause_no_fault(weights):
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    rotation = ServiceRotation(shares, 0.5)
    chosen = {rotation.next() for _ in range(50)}
    if any(weights):
        assert chosen == {share.service for share in shares if share.weight}
