"""Rule conditions, their index, and the precedence of a caller's own limits."""

import json
from datetime import timedelta
from pathlib import Path

import pytest
from cardamomloft.core.addresses import parse_address
from cardamomloft.core.checking import check_document, warnings
from cardamomloft.core.model import Priority, Refusal, RefusalReason, Request
from cardamomloft.core.requests import Classifier
from cardamomloft.core.rules import Directive, RuleSet, WeightedPlace, scan_rules, with_directive
from hypothesis import given, settings
from hypothesis import strategies as st

PIMENTO = json.loads((Path(__file__).parents[3] / "examples" / "pimento.json").read_text())
SERVICES = list(PIMENTO["services"])
REGIONS = PIMENTO["regions"]
ZONES = {zone: region for region, zones in REGIONS.items() for zone in zones}
HERE = {"places": [{"region": "kingston", "weight": 1}]}

paths = st.sampled_from(
    ("/", "/menus", "/menus/", "/menus/a", "/menus/a/b", "/menusx", "/checkout/a", "/media//a")
)
headers = st.dictionaries(
    st.sampled_from(("x-kiosk", "x-flag")), st.sampled_from(("1", "2", "*")), max_size=2
)
conditions = {
    "service": st.sampled_from(SERVICES),
    "method": st.lists(st.sampled_from(("GET", "POST", "PATCH")), min_size=1, unique=True),
    "path": paths.filter(lambda path: "//" not in path),
    "block": st.sampled_from(("0.0.0.0/0", "10.0.0.0/8", "10.1.0.0/16", "10.1.2.0/24")),
    "zone": st.sampled_from(list(ZONES)),
    "region": st.sampled_from(list(REGIONS)),
    "headers": headers,
    "priority": st.sampled_from(("critical", "normal", "bulk")),
    "idempotent": st.booleans(),
}
# Half of the rules combine conditions that can serve as keys of the index.
indexed = st.just(["path", "block", "headers"]).flatmap(st.permutations)
chosen_conditions = st.one_of(
    st.lists(st.sampled_from(list(conditions)), max_size=3, unique=True),
    st.builds(lambda names, count: names[:count], indexed, st.integers(2, 3)),
)
whens = chosen_conditions.flatmap(
    lambda chosen: st.fixed_dictionaries({name: conditions[name] for name in chosen})
)
rule_lists = st.lists(whens, max_size=12).map(
    lambda chosen: [
        {"name": f"rule-{at}", "when": when, "then": HERE} for at, when in enumerate(chosen)
    ]
)
requests = st.builds(
    Request,
    service=st.sampled_from(SERVICES),
    method=st.sampled_from(("GET", "POST", "PATCH", "ODD")),
    path=st.builds(str.__add__, paths, st.sampled_from(("", "?q=/menus", "/z"))),
    client=st.sampled_from((None, *map(parse_address, ("10.1.2.3", "10.1.9.9", "11.0.0.1")))),
    site=st.none(),
    headers=headers,
    priority=st.sampled_from(Priority),
    idempotent=st.booleans(),
    deadline=st.just(timedelta(seconds=1)),
)
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=300)


def document(rules) -> dict:
    return {**PIMENTO, "rules": rules}


def first_match(verdicts) -> str | None:
    return verdicts[-1].rule if verdicts and verdicts[-1].matched else None


def matched(rule_set, req, zone) -> str | None:
    outcome = rule_set.match(req, zone, ZONES[zone])
    if outcome.is_ok():
        return outcome.ok.rule
    assert outcome.error.reason is RefusalReason.NO_RULE
    return None


@DETERMINISTIC
@given(rule_lists, st.lists(st.tuples(requests, st.sampled_from(list(ZONES))), max_size=8))
def test_index_matches_like_a_linear_scan(rules, samples):
    rule_set = RuleSet(document(rules))
    for req, zone in samples:
        assert matched(rule_set, req, zone) == first_match(
            scan_rules(rules, req, zone, ZONES[zone])
        )


real_paths = st.builds(
    "/{}{}".format, st.sampled_from(SERVICES), st.sampled_from(("", "/", "/a", "/a/b?c", "x"))
)
real_headers = st.builds(
    lambda plain, priority: {**plain, **({"x-priority": priority} if priority else {})},
    headers,
    st.sampled_from((None, "critical", "normal", "bulk")),
)
heads = st.tuples(
    st.sampled_from(("GET", "POST", "PUT", "PATCH")),
    real_paths,
    real_headers,
    st.sampled_from((None, *map(parse_address, ("10.1.2.3", "10.1.9.9", "11.0.0.1")))),
)
CLASSIFIER = Classifier(PIMENTO)


@settings(DETERMINISTIC, max_examples=300)
@given(rule_lists, st.lists(st.tuples(heads, st.sampled_from(list(ZONES))), min_size=8))
def test_rule_reported_as_never_matching_matches_nothing(rules, samples):
    dead = {found.path for found in warnings(document(rules)) if "never match" in found.text}
    for head, zone in samples:
        classified = CLASSIFIER.classify(*head, timedelta(0), zone)
        if classified.is_ok():
            name = first_match(scan_rules(rules, classified.ok, zone, ZONES[zone]))
            assert f"rules.{name}" not in dead


def request(**given) -> Request:
    base = Request(
        "menus", "GET", "/menus/today", None, None, {}, Priority.NORMAL, True, timedelta(seconds=5)
    )
    return base._replace(**given)


def test_first_match_decides():
    rules = [
        {"name": "refuse", "when": {"headers": {"x-test": "*"}}, "then": {"refuse": "no tests"}},
        {
            "name": "near",
            "when": {"service": "menus"},
            "then": {
                "places": [
                    {"region": "kingston", "weight": 2},
                    {"zone": "mandeville-a", "weight": 1},
                ],
                "deadline_ms": 900,
                "priority": "bulk",
                "attempts": 3,
                "spill": ["montego-bay"],
            },
        },
        {"name": "late", "when": {"path": "/menus/today"}, "then": HERE},
    ]
    assert check_document(document(rules)).is_ok()
    rule_set = RuleSet(document(rules))
    refusal = rule_set.match(request(headers={"x-test": ""}), "kingston-a", "kingston").error
    assert refusal == Refusal(RefusalReason.RULE, "no tests")
    assert rule_set.match(request(), "kingston-a", "kingston").ok == Directive(
        rule="near",
        places=(WeightedPlace("kingston", None, 2), WeightedPlace(None, "mandeville-a", 1)),
        deadline=timedelta(milliseconds=900),
        priority=Priority.BULK,
        attempts=3,
        spill=("montego-bay",),
    )
    other = request(service="media", path="/media")
    assert rule_set.match(other, "kingston-a", "kingston").error.reason is RefusalReason.NO_RULE


@pytest.mark.parametrize(
    ("when", "why"),
    [
        ({"service": "media"}, "service is menus, not media"),
        ({"method": ["PUT", "POST"]}, "method is GET, not PUT or POST"),
        ({"path": "/menus/tod"}, "path /menus/today is not under /menus/tod"),
        ({"block": "10.0.0.0/8"}, "the client's address is not known"),
        ({"zone": "kingston-b"}, "the entry's zone is kingston-a, not kingston-b"),
        ({"region": "mandeville"}, "the entry's region is kingston, not mandeville"),
        ({"headers": {"x-a": "*"}}, "there is no header x-a"),
        ({"headers": {"x-b": "2"}}, "header x-b is '1', not '2'"),
        ({"priority": "bulk"}, "priority is normal, not bulk"),
        ({"idempotent": False}, "the request is idempotent"),
    ],
)
def test_explain_names_the_condition_that_does_not_hold(when, why):
    rules = [
        {"name": "no", "when": when, "then": HERE},
        {"name": "yes", "when": {}, "then": HERE},
        {"name": "not-reached", "when": {}, "then": HERE},
    ]
    verdicts = RuleSet(document(rules)).explain(
        request(headers={"x-b": "1"}, path="/menus/today?a=1"), "kingston-a", "kingston"
    )
    assert [(verdict.rule, verdict.matched) for verdict in verdicts] == [
        ("no", False),
        ("yes", True),
    ]
    assert verdicts[0].why == why


def test_a_client_outside_a_block_is_explained():
    rules = [{"name": "no", "when": {"block": "10.0.0.0/8"}, "then": HERE}]
    req = request(client=parse_address("11.0.0.1"))
    assert scan_rules(rules, req, "z", "r")[0].why == "client 11.0.0.1 is not in 10.0.0.0/8"


def test_unknown_values_create_no_buckets():
    rules = [{"name": "reads", "when": {"method": ["GET"]}, "then": HERE}]
    rule_set = RuleSet(document(rules))
    for number in range(100):
        rule_set.match(request(method=f"X{number}", service=f"s{number}"), f"z{number}", "r")
    assert len(rule_set._buckets) == 1


def test_rule_does_not_extend_a_callers_deadline_or_raise_its_priority():
    now, second = timedelta(seconds=4), timedelta(seconds=1)
    directive = Directive("r", (), 3 * second, Priority.CRITICAL, 1, ())
    plain = with_directive(request(), directive, now)
    assert (plain.deadline, plain.priority) == (7 * second, Priority.CRITICAL)
    caller_headers = {"x-deadline-ms": "1000", "x-priority": "bulk"}
    own = with_directive(request(headers=caller_headers, priority=Priority.BULK), directive, now)
    assert (own.deadline, own.priority) == (5 * second, Priority.BULK)
    longer = with_directive(
        request(headers={"x-deadline-ms": "9000"}, deadline=13 * second), directive, now
    )
    assert longer.deadline == 7 * second
    bulk = directive._replace(priority=Priority.BULK, deadline=None)
    assert with_directive(request(), bulk, now).priority is Priority.BULK
    assert with_directive(request(), bulk, now).deadline == 5 * second
