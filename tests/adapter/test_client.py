"""Client of the platform's store: listings, changes, leases, eras, and ambiguous failures."""

import base64
import json
from datetime import timedelta

import pytest
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    UpstreamRegistered,
    UpstreamWithdrawn,
    ZoneDrained,
)
from cardamomloft.platform.client import CALL_TIMEOUT, POLL_MARGIN, PlatformStore
from cardamomloft.store.exchange import Answer
from cardamomloft.store.failures import CallFailure
from expression import Error, Ok
from twisted.internet.defer import succeed

NO_WAIT = timedelta(0)
NO_ANSWER = Error(CallFailure(True, "no answer"))
NOT_SENT = Error(CallFailure(False, "refused"))
RECORD = EntryRecord("e-1", "10.0.0.1:80", "a", "east")
REGISTRATION = {
    "service": "menus",
    "address": "10.1.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemaining": "0ms",
    "sequence": 1,
}


class FakeExchange:
    """Returns the given answers of a call's path and prefix in turn, and repeats the last one."""

    def __init__(self, **answers) -> None:
        self.answers = answers
        self.calls = []
        self.timeouts = []

    def call(self, method, path, *, timeout, params=None, body=None):
        content = None if body is None else json.loads(body)
        self.calls.append((method, path, dict(params or {}), content))
        self.timeouts.append(timeout)
        name = path.removeprefix("/v1/kv-").split("/")[0].replace("-", "_")
        prefix = (params or {}).get("prefix", "").split("/")[0]
        queue = self.answers.get(f"{name}_{prefix}") or self.answers[name]
        return succeed(queue.pop(0) if len(queue) > 1 else queue[0])


def _ok(body: object) -> Ok:
    return Ok(Answer(200, None, json.dumps(body).encode()))


def _in_era(era: object, outcome: Ok) -> Ok:
    return Ok(outcome.ok._replace(era=str(era)))


def _status(status: int) -> Ok:
    return Ok(Answer(status, None, b"{}"))


def _item(key: str, value: object) -> dict:
    raw = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "value": raw, "revision": 4, "created": 4, "lease": 0}


def _page(*items: dict, more=False, at=50) -> Ok:
    return _ok({"items": list(items), "truncated": more, "asOf": at})


def _store(**answers) -> PlatformStore:
    store = PlatformStore(None, "127.0.0.1:1")
    store._exchange = FakeExchange(**answers)
    return store


def _result(deferred):
    results = []
    deferred.addBoth(results.append)
    return results[0]


def _ids(listing) -> list[str]:
    return [f.registration.id for f in listing.facts if isinstance(f, UpstreamRegistered)]


def test_read_merges_all_pages_and_requests_changes_since_the_oldest():
    store = _store(
        range=[_page(at=60)],
        range_servers=[
            _page(_item("servers/i-1", REGISTRATION), more=True, at=55),
            _page(_item("servers/i-2", REGISTRATION), at=47),
        ],
        range_op=[_page(_item("op/evacuate/b", {}), at=50)],
        watch=[_ok({"events": [], "asOf": 64})],
    )
    listing = _result(store.read()).ok
    assert listing.index == Position(0, 64)
    assert [fact for fact in listing.facts if isinstance(fact, ZoneDrained)] == [ZoneDrained("b")]
    assert _ids(listing) == ["i-1", "i-2"]
    *pages, watch = [call[2] for call in store._exchange.calls]
    assert {"prefix": "servers/", "after": "servers/i-1", "serializable": "1"} in pages
    assert all(page["serializable"] == "1" for page in pages)
    assert watch == {"prefix": "", "after": "47", "waitMs": "1"}


def test_changes_are_applied_to_outdated_replica_pages():
    """Guards against listing endpoints and drains that were removed since a replica's pages."""
    events = [
        {"key": "servers/i-1", "revision": 52, "removed": True},
        _item("servers/i-3", REGISTRATION),
        {"key": "op/evacuate/b", "revision": 54, "removed": True},
    ]
    store = _store(
        range=[_page()],
        range_servers=[
            _page(_item("servers/i-1", REGISTRATION), _item("servers/i-2", REGISTRATION))
        ],
        range_op=[_page(_item("op/evacuate/b", {}))],
        watch=[_ok({"events": events, "asOf": 54})],
    )
    listing = _result(store.read()).ok
    assert _ids(listing) == ["i-2", "i-3"]
    assert [type(fact) for fact in listing.facts] == [UpstreamRegistered, UpstreamRegistered]
    assert listing.index == Position(0, 54)


def test_replica_older_than_the_history_is_replaced_by_the_stores_own_pages():
    """Guards against a listing that contains changes newer than its position.

    The store's own pages are read at different instants too. Relays would forward such a change
    with the older position, and gateways that are already past it would never receive the change.
    """
    store = _store(range=[_page(at=10), _page(at=70)], range_servers=[], watch=[])
    store._exchange.answers |= {
        "range_servers": [
            _page(_item("servers/i-1", REGISTRATION), at=10),
            _page(_item("servers/i-2", REGISTRATION), at=70),
        ],
        "range_op": [_page(at=10), _page(at=68)],
        "watch": [
            _status(410),
            _ok({"events": [_item("servers/i-3", REGISTRATION)], "asOf": 75}),
        ],
    }
    listing = _result(store.read()).ok
    assert _ids(listing) == ["i-2", "i-3"]
    assert listing.index == Position(0, 75)
    own_pages, watch = store._exchange.calls[-4:-1], store._exchange.calls[-1]
    assert all("serializable" not in call[2] for call in own_pages)
    assert watch[2]["after"] == "68"


def test_read_fails_if_the_history_is_lost_repeatedly():
    assert _result(_store(range=[_page()], watch=[_status(410)]).read()).is_error()


@pytest.mark.parametrize("bad", [NO_ANSWER, _status(503), _ok({"events": [{}], "asOf": 60})])
def test_read_fails_without_the_changes_since_the_replicas_pages(bad):
    assert _result(_store(range=[_page()], watch=[bad]).read()).is_error()


@pytest.mark.parametrize("bad", [NO_ANSWER, _status(503), _ok({"items": 1}), _ok([])])
def test_read_fails_if_a_page_is_missing_or_malformed(bad):
    store = _store(range=[_page()], range_servers=[bad])
    assert _result(store.read()).is_error()


def test_changes_keep_their_order():
    events = [
        _item("servers/i-1", REGISTRATION),
        {"key": "servers/i-1", "revision": 52, "removed": True},
        {"key": "elsewhere", "revision": 53, "removed": True},
    ]
    store = _store(watch=[_ok({"events": events, "asOf": 53})])
    changes = _result(store.changes(Position(0, 50), NO_WAIT)).ok
    assert changes.index == Position(0, 53)
    assert [type(fact) for fact in changes.facts] == [UpstreamRegistered, UpstreamWithdrawn]


def test_wait_is_bounded_and_its_answer_is_awaited_for_a_short_margin():
    store = _store(watch=[_ok({"events": [], "asOf": 50})])
    _result(store.changes(Position(0, 50), timedelta(seconds=2)))
    _result(store.changes(Position(0, 50), timedelta(seconds=90)))
    _result(store.changes(Position(0, 50), timedelta(milliseconds=100)))
    assert [call[2]["waitMs"] for call in store._exchange.calls] == ["2000", "30000", "100"]
    assert store._exchange.timeouts == [
        timedelta(seconds=2) + POLL_MARGIN,
        timedelta(seconds=30) + POLL_MARGIN,
        CALL_TIMEOUT,
    ]


def test_lost_history_is_reported_in_the_result():
    changes = _result(_store(watch=[_status(410)]).changes(Position(0, 50), NO_WAIT)).ok
    assert changes.lost
    assert changes.index == Position(0, 50)


@pytest.mark.parametrize("bad", [NO_ANSWER, _status(429), _status(503), _ok({"events": [{}]})])
def test_failure_to_read_changes_is_not_ambiguous(bad):
    failure = _result(_store(watch=[bad]).changes(Position(0, 50), NO_WAIT)).error
    assert not failure.ambiguous


@pytest.mark.parametrize(
    "answer",
    [
        Ok(Answer(200, None, b"not JSON")),
        _ok({"events": [{"key": "op/config"}], "asOf": 60}),
        Error(CallFailure(True, "the answer is longer than 8 bytes", too_long=True)),
    ],
)
def test_answer_that_the_same_request_would_get_again_is_reported_as_unusable(answer):
    assert _result(_store(watch=[answer]).changes(Position(0, 50), NO_WAIT)).error.unusable


@pytest.mark.parametrize("answer", [NO_ANSWER, NOT_SENT, _status(503), _status(429)])
def test_answer_that_may_differ_next_time_is_not_reported_as_unusable(answer):
    assert not _result(_store(watch=[answer]).changes(Position(0, 50), NO_WAIT)).error.unusable


def test_an_entry_is_recorded_under_a_lease():
    store = _store(lease=[_ok({"lease": 77, "ttl_time": "3000ms"})], txn=[_ok({"revision": 9})])
    assert _result(store.record(RECORD, timedelta(seconds=3))) == Ok("77")
    (_, _, _, lease_request), (_, _, _, written) = store._exchange.calls
    assert lease_request == {"ttl_time": "3000ms"}
    (put,) = written["puts"]
    assert (put["key"], put["lease"]) == ("entries/e-1", 77)
    recorded = _result(
        _store(watch=[_ok({"events": [put], "asOf": 1})]).changes(Position(0, 0), NO_WAIT)
    ).ok.facts
    assert recorded == (EntryRecorded(RECORD),)


@pytest.mark.parametrize(
    ("lease", "ambiguous"),
    [(NO_ANSWER, True), (NOT_SENT, False), (_status(429), False), (_ok({}), True)],
)
def test_failure_is_ambiguous_only_if_the_lease_may_exist(lease, ambiguous):
    failure = _result(_store(lease=[lease]).record(RECORD, timedelta(seconds=3))).error
    assert failure.ambiguous == ambiguous


def test_expired_lease_is_distinguished_from_a_failed_renewal():
    assert _result(_store(keep=[_ok({"ttl_time": "3000ms"})]).renew("77")) == Ok(True)
    assert _result(_store(keep=[_status(404)]).renew("77")) == Ok(False)
    assert _result(_store(keep=[_status(503)]).renew("77")).is_error()


def test_withdraw_ends_the_lease():
    store = _store(lease_end=[Ok(Answer(200, None, b""))])
    assert _result(store.withdraw("77")) == Ok(None)
    assert store._exchange.calls[0][:2] == ("DELETE", "/v1/kv-lease-end/77")


NO_CHANGES = _ok({"events": [], "asOf": 64})


def test_same_revision_in_another_era_is_a_lost_history():
    store = _store(watch=[_in_era(3, NO_CHANGES)])
    changes = _result(store.changes(Position(2, 64), NO_WAIT)).ok
    assert changes.lost
    assert changes.index == Position(2, 64)
    assert not _result(store.changes(Position(3, 64), NO_WAIT)).ok.lost


@pytest.mark.parametrize("era", ["2", None, "x", "-1", "9" * 20, ""])
def test_lower_missing_or_unreadable_era_is_a_lost_history(era):
    answer = NO_CHANGES if era is None else _in_era(era, NO_CHANGES)
    assert _result(_store(watch=[answer]).changes(Position(3, 64), NO_WAIT)).ok.lost


def test_replica_pages_of_an_earlier_era_are_replaced_by_the_stores_own_pages():
    old, new = _in_era(2, _page(_item("servers/i-1", REGISTRATION), at=90)), _in_era(
        3, _page(at=40)
    )
    store = _store(range=[new], range_servers=[old, new], watch=[_in_era(3, NO_CHANGES)])
    listing = _result(store.read()).ok
    assert _ids(listing) == []
    assert listing.index == Position(3, 64)


def test_read_fails_if_the_store_is_restored_between_pages():
    old, new = _in_era(2, _page(at=90)), _in_era(3, _page(at=40))
    store = _store(range=[new], range_op=[old], watch=[_in_era(3, NO_CHANGES)])
    assert _result(store.read()).is_error()


LEASE, WRITTEN = _ok({"lease": 77, "ttl_time": "3000ms"}), _ok({"revision": 9})
RENEWED = _ok({"ttl_time": "3000ms"})


def test_lease_number_reused_in_a_later_era_is_not_taken_for_the_own_lease():
    store = _store(
        lease=[_in_era(2, LEASE)],
        txn=[_in_era(2, WRITTEN)],
        keep=[_in_era(2, RENEWED), _in_era(3, RENEWED)],
        lease_end=[_in_era(3, _ok({}))],
    )
    lease = _result(store.record(RECORD, timedelta(seconds=3))).ok
    assert _result(store.renew(lease)) == Ok(True)
    assert _result(store.renew(lease)) == Ok(False)
    assert _result(store.withdraw(lease)) == Ok(None)
    assert "DELETE" not in [call[0] for call in store._exchange.calls]


def test_withdraw_ends_a_lease_of_the_current_era():
    store = _store(keep=[_in_era(2, RENEWED)], lease_end=[_in_era(2, _ok({}))])
    assert _result(store.withdraw("77.2")) == Ok(None)
    assert store._exchange.calls[-1][:2] == ("DELETE", "/v1/kv-lease-end/77")


def test_record_fails_if_the_era_changed_since_the_lease():
    store = _store(lease=[_in_era(2, LEASE)], txn=[_in_era(3, WRITTEN)])
    assert _result(store.record(RECORD, timedelta(seconds=3))).is_error()


ODD = "servers/\ud800"


def test_item_whose_key_is_no_text_does_not_cost_the_others():
    first = _page(_item("servers/a", REGISTRATION), _item(ODD, REGISTRATION), more=True)
    second = _page(_item(ODD, REGISTRATION), _item("servers/b", REGISTRATION))
    empty = _page()
    store = _store(
        range_op=[empty],
        range_servers=[first, second],
        range_entries=[empty],
        watch=[_ok({"events": [], "asOf": 60})],
    )
    facts = _result(store.read()).ok.facts
    assert sorted(fact.registration.id for fact in facts) == ["a", "b"]
    after = [
        call[2].get("after") for call in store._exchange.calls if call[2]["prefix"] == "servers/"
    ]
    assert after == [None, "servers/a"]


def test_page_of_which_no_key_is_text_is_a_failure_and_not_the_last_one():
    pages = {"range_servers": [_page(_item(ODD, REGISTRATION), more=True)]}
    store = _store(
        range_op=[_page()],
        range_entries=[_page()],
        watch=[_ok({"events": [], "asOf": 60})],
        **pages,
    )
    assert _result(store.read()).is_error()


def test_change_whose_key_is_no_text_does_not_count_as_a_wait():
    events = _ok({"events": [_item(ODD, REGISTRATION)], "asOf": 60})
    changes = _result(_store(watch=[events]).changes(Position(0, 50), timedelta(seconds=9))).ok
    assert (changes.facts, changes.waited, changes.index) == ((), NO_WAIT, Position(0, 60))
