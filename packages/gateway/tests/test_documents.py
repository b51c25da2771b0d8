"""Configuration documents and registrations are checked strictly when they are read."""

import copy
import json
import pathlib
from datetime import timedelta

import pytest
from cardamomloft.core.routes import ClientAccount, ServiceShare
from cardamomloft.gateway.documents import load_accounts, load_plan, load_registration
from hypothesis import given, settings
from hypothesis import strategies as st

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "gateway-routes.json"
DOCUMENT = json.loads(EXAMPLE.read_text())


def _changed(path: str, value: object) -> str:
    document = copy.deepcopy(DOCUMENT)
    *parents, last = path.split(".")
    node = document
    for name in parents:
        node = node[int(name) if name.isdigit() else name]
    if value is None:
        del node[last]
    else:
        node[last] = value
    return json.dumps(document)


def test_example_document_is_valid():
    plan = load_plan(EXAMPLE.read_text(), 7).ok
    assert plan.number == 7
    menus = next(rule for rule in plan.rules if rule.name == "menus")
    assert (menus.host, menus.prefix) == ("kiosks.example", "/menus/")
    assert menus.idempotent
    assert menus.target < menus.timeout
    orders = next(rule for rule in plan.rules if rule.name == "orders")
    assert not orders.idempotent
    assert sum(share.weight for share in orders.services) == 100
    assert plan.services["menus"].cold_time == timedelta(seconds=3)


def test_defaults_of_a_rule_do_not_allow_retries():
    rule = {"name": "r", "when": {"host": "a.example", "path": "/"}}
    rule["then"] = {"services": [{"service": "menus", "weight": 1}], "timeout": "1s"}
    (found,) = load_plan(_changed("rules", [rule]), 1).ok.rules
    assert (found.idempotent, found.attempts, found.keyed) == (False, 1, False)
    assert found.services == (ServiceShare("menus", 1),)
    assert found.target == found.timeout


@pytest.mark.parametrize(
    ("path", "value", "where"),
    [
        ("format", "routes-2", "format"),
        ("rules.0.when.host", "Kiosks", "rules.menus.when.host"),
        ("rules.0.when.path", "/menus", "rules.menus.when.path"),
        ("rules.0.when.unknown", "/", "rules.menus.when.unknown"),
        ("rules.0.then.timeout", "1000", "rules.menus.then.timeout"),
        ("rules.0.then.services", [], "rules.menus.then.services"),
        ("rules.0.then.services.0.service", "unknown", "rules.menus.then.services"),
        ("rules.0.then.attempts", 0, "rules.menus.then.attempts"),
        ("rules.1.name", "menus", "rules.menus.name"),
        ("services.menus.connections", 0, "services.menus.connections"),
        ("limits.idle_timeout", None, "limits.idle_timeout"),
    ],
)
def test_mistake_is_reported_with_its_path(path, value, where):
    mistakes = load_plan(_changed(path, value), 1).error
    assert where in [mistake.path for mistake in mistakes], mistakes


def test_accounts_of_a_document_are_read():
    row = {"keys": ["k-1"], "priority": 3, "rate_per_s": 5, "burst": 2.5, "homes": ["east"]}
    plan = load_plan(_changed("accounts", {"acme": row, "plain": {"keys": []}}), 1).ok
    acme = ClientAccount("acme", ("k-1",), 3, 5, 2.5, frozenset({"east"}))
    assert plan.accounts == (acme, ClientAccount("plain", ()))
    assert load_plan(EXAMPLE.read_text(), 1).ok.accounts is None


@pytest.mark.parametrize(
    ("accounts", "where"),
    [
        ({"acme": {"keys": ["secret key"]}}, "accounts.acme.keys"),
        ({"acme": {"keys": ["secret"], "rate_per_s": -1}}, "accounts.acme.rate_per_s"),
        ({"acme": {}}, "accounts.acme.keys"),
        ({"acme": {"keys": ["secret"]}, "other": {"keys": ["secret"]}}, "accounts"),
    ],
)
def test_mistake_in_accounts_is_reported_without_a_key(accounts, where):
    mistakes = load_plan(_changed("accounts", accounts), 1).error
    assert any(str(mistake).startswith(where) for mistake in mistakes)
    assert "secret" not in str(mistakes)


def test_rule_that_can_never_match_is_a_mistake():
    rules = [{**DOCUMENT["rules"][0], "name": f"r{number}"} for number in range(2)]
    rules[1]["when"] = {"host": "kiosks.example", "path": "/menus/today/"}
    (mistake,) = load_plan(_changed("rules", rules), 1).error
    assert "r0 matches all of it before" in mistake.text
    assert load_plan(_changed("rules", rules[::-1]), 1).is_ok()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"format": "routes-1", "format": "routes-1"}'])
def test_malformed_document_is_an_error(text):
    assert load_plan(text, 1).is_error()


REGISTRATION = {"service": "menus", "address": "10.0.0.1:80", "zone": "a", "slots": 4}


def test_valid_registration_is_read():
    row = load_registration(json.dumps({**REGISTRATION, "cold_ms": 1500}).encode(), "i-1").ok
    assert (row.id, row.draining) == ("i-1", False)
    assert row.cold_left == timedelta(milliseconds=1500)


@pytest.mark.parametrize(
    ("name", "value"), [("slots", 0), ("address", "host:80"), ("state", "up"), ("zone", "")]
)
def test_registration_with_an_invalid_field_is_an_error(name, value):
    text = json.dumps({**REGISTRATION, name: value}).encode()
    assert [mistake.path for mistake in load_registration(text, "i-1").error] == [name]


ROW = {
    "service": "menus",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "draining": False,
    "cold_ms": 20,
    "started_ms": 1_700_000_000_123,
}
_SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
_VALUES = _SCALARS | st.lists(_SCALARS, max_size=3) | st.dictionaries(st.text(), _SCALARS)


def test_start_time_of_a_registration_is_read():
    row = load_registration(json.dumps(ROW).encode(), "i-1").ok
    assert (row.started_ms, row.cold_left) == (1_700_000_000_123, timedelta(milliseconds=20))


@pytest.mark.parametrize("address", ["999.0.0.1:80", "10.0.0.1:0", "10.0.0.1:99999"])
def test_address_out_of_range_is_a_mistake(address):
    loaded = load_registration(json.dumps({**ROW, "address": address}).encode(), "i-1")
    assert [mistake.path for mistake in loaded.error] == ["address"]


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(ROW)), _VALUES, min_size=1, max_size=3))
def test_changed_registration_is_valid_or_an_error(changed):
    loaded = load_registration(json.dumps({**ROW, **changed}).encode(), "i-1")
    if loaded.is_ok():
        row = loaded.ok
        assert type(row.slots) is type(row.started_ms) is int and row.slots >= 1
        assert type(row.draining) is bool and row.service and row.zone


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_an_error(value):
    assert load_registration(value, "i-1").is_error()


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (b'{"rules": 7, "accounts": {"alpha": {"keys": ["key-a"]}}}', ["alpha"]),
        (b'{"accounts": {"alpha": {"keys": "key-a"}}}', None),
        (b'{"accounts": {"a": {"keys": ["k"]}, "b": {"keys": ["k"]}}}', None),
        (b'{"rules": []}', None),
        (b"[]", None),
        (b"{", None),
    ],
)
def test_accounts_of_a_document_with_mistakes_are_read_alone(text, names):
    found = load_accounts(text)
    assert (found and [account.name for account in found]) == names
