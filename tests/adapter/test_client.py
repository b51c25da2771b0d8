"""The one client of the platform's store: pages, changes, leases, and what a failure means."""

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
from cardamomloft.platform.client import CALL_TIMEOUT, PlatformStore
from cardamomloft.store.exchange import Answer
from cardamomloft.store.failures import CallFailure
from expression import Error, Ok
from twisted.internet.defer import succeed

NO_WAIT = timedelta(0)
LOST = Error(CallFailure(True, "no answer"))
NOT_SENT = Error(CallFailure(False, "refused"))
RECORD = EntryRecord("e-1", "10.0.0.1:80", "a", "east")
SERVER = {
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
    """Answers a call by its path and prefix, each list in turn."""

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


def test_all_pages_are_read_and_what_changed_since_the_oldest_is_asked_of_the_store():
    store = _store(
        range=[_page(at=60)],
        range_servers=[
            _page(_item("servers/i-1", SERVER), more=True, at=55),
            _page(_item("servers/i-2", SERVER), at=47),
        ],
        range_op=[_page(_item("op/evacuate/b", {}), at=50)],
        watch=[_ok({"events": [], "asOf": 64})],
    )
    listing = _result(store.read()).ok
    assert listing.index == Position(0, 64)
    assert [fact for fact in listing.facts if isinstance(fact, ZoneDrained)] == [ZoneDrained("b")]
    assert _ids(listing) == ["i-1", "i-2"]
    *pages, question = [call[2] for call in store._exchange.calls]
    assert {"prefix": "servers/", "after": "servers/i-1", "serializable": "1"} in pages
    assert all(page["serializable"] == "1" for page in pages)
    assert question == {"prefix": "", "after": "47", "waitMs": "1"}


def test_a_list_is_the_state_as_of_the_stores_own_answer():
    """A replica is behind: one endpoint has gone since, another came, a drain was taken back."""
    events = [
        {"key": "servers/i-1", "revision": 52, "removed": True},
        _item("servers/i-3", SERVER),
        {"key": "op/evacuate/b", "revision": 54, "removed": True},
    ]
    store = _store(
        range=[_page()],
        range_servers=[_page(_item("servers/i-1", SERVER), _item("servers/i-2", SERVER))],
        range_op=[_page(_item("op/evacuate/b", {}))],
        watch=[_ok({"events": events, "asOf": 54})],
    )
    listing = _result(store.read()).ok
    assert _ids(listing) == ["i-2", "i-3"]
    assert [type(fact) for fact in listing.facts] == [UpstreamRegistered, UpstreamRegistered]
    assert listing.index == Position(0, 54)


def test_a_replica_from_before_the_known_history_is_not_used():
    """The store's own pages are of different instants too: what changed between them is asked for.

    A list that held a change from after its own revision would be passed on as if it were older,
    and who had asked the store between the two would never have heard of it.
    """
    store = _store(range=[_page(at=10), _page(at=70)], range_servers=[], watch=[])
    store._exchange.answers |= {
        "range_servers": [
            _page(_item("servers/i-1", SERVER), at=10),
            _page(_item("servers/i-2", SERVER), at=70),
        ],
        "range_op": [_page(at=10), _page(at=68)],
        "watch": [
            _status(410),
            _ok({"events": [_item("servers/i-3", SERVER)], "asOf": 75}),
        ],
    }
    listing = _result(store.read()).ok
    assert _ids(listing) == ["i-2", "i-3"]
    assert listing.index == Position(0, 75)
    own_pages, question = store._exchange.calls[-4:-1], store._exchange.calls[-1]
    assert all("serializable" not in call[2] for call in own_pages)
    assert question[2]["after"] == "68"


def test_a_history_that_is_forgotten_again_and_again_gives_no_list():
    assert _result(_store(range=[_page()], watch=[_status(410)]).read()).is_error()


@pytest.mark.parametrize("bad", [LOST, _status(503), _ok({"events": [{}], "asOf": 60})])
def test_a_replica_alone_is_no_list(bad):
    assert _result(_store(range=[_page()], watch=[bad]).read()).is_error()


@pytest.mark.parametrize("bad", [LOST, _status(503), _ok({"items": 1}), _ok([])])
def test_a_list_that_is_not_whole_is_a_failure(bad):
    store = _store(range=[_page()], range_servers=[bad])
    assert _result(store.read()).is_error()


def test_changes_come_in_order():
    events = [
        _item("servers/i-1", SERVER),
        {"key": "servers/i-1", "revision": 52, "removed": True},
        {"key": "elsewhere", "revision": 53, "removed": True},
    ]
    store = _store(watch=[_ok({"events": events, "asOf": 53})])
    changes = _result(store.changes(Position(0, 50), NO_WAIT)).ok
    assert changes.index == Position(0, 53)
    assert [type(fact) for fact in changes.facts] == [UpstreamRegistered, UpstreamWithdrawn]


def test_the_store_is_told_how_long_to_wait_and_gets_its_usual_time_on_top():
    store = _store(watch=[_ok({"events": [], "asOf": 50})])
    _result(store.changes(Position(0, 50), timedelta(seconds=2)))
    _result(store.changes(Position(0, 50), timedelta(seconds=90)))
    assert [call[2]["waitMs"] for call in store._exchange.calls] == ["2000", "30000"]
    longest = [timedelta(seconds=2), timedelta(seconds=30)]
    assert store._exchange.timeouts == [CALL_TIMEOUT + wait for wait in longest]


def test_a_lost_history_is_no_failure():
    changes = _result(_store(watch=[_status(410)]).changes(Position(0, 50), NO_WAIT)).ok
    assert changes.lost
    assert changes.index == Position(0, 50)


@pytest.mark.parametrize("bad", [LOST, _status(429), _status(503), _ok({"events": [{}]})])
def test_changes_without_a_usable_answer_are_a_failure_that_is_not_ambiguous(bad):
    failure = _result(_store(watch=[bad]).changes(Position(0, 50), NO_WAIT)).error
    assert not failure.ambiguous


def test_an_entry_is_recorded_under_a_lease():
    store = _store(lease=[_ok({"lease": 77, "ttl_time": "3000ms"})], txn=[_ok({"revision": 9})])
    assert _result(store.record(RECORD, timedelta(seconds=3))) == Ok("77")
    (_, _, _, asked), (_, _, _, written) = store._exchange.calls
    assert asked == {"ttl_time": "3000ms"}
    (put,) = written["puts"]
    assert (put["key"], put["lease"]) == ("entries/e-1", 77)
    recorded = _result(
        _store(watch=[_ok({"events": [put], "asOf": 1})]).changes(Position(0, 0), NO_WAIT)
    ).ok.facts
    assert recorded == (EntryRecorded(RECORD),)


@pytest.mark.parametrize(
    ("lease", "ambiguous"),
    [(LOST, True), (NOT_SENT, False), (_status(429), False), (_ok({}), True)],
)
def test_a_lease_that_may_have_been_made_is_ambiguous(lease, ambiguous):
    failure = _result(_store(lease=[lease]).record(RECORD, timedelta(seconds=3))).error
    assert failure.ambiguous == ambiguous


def test_a_lapsed_lease_is_told_from_a_failure():
    assert _result(_store(keep=[_ok({"ttl_time": "3000ms"})]).renew("77")) == Ok(True)
    assert _result(_store(keep=[_status(404)]).renew("77")) == Ok(False)
    assert _result(_store(keep=[_status(503)]).renew("77")).is_error()


def test_a_lease_is_ended():
    store = _store(lease_end=[Ok(Answer(200, None, b""))])
    assert _result(store.withdraw("77")) == Ok(None)
    assert store._exchange.calls[0][:2] == ("DELETE", "/v1/kv-lease-end/77")


NO_NEWS = _ok({"events": [], "asOf": 64})


def test_a_revision_that_a_restored_store_has_reached_again_is_another_one():
    store = _store(watch=[_in_era(3, NO_NEWS)])
    changes = _result(store.changes(Position(2, 64), NO_WAIT)).ok
    assert changes.lost
    assert changes.index == Position(2, 64)
    assert not _result(store.changes(Position(3, 64), NO_WAIT)).ok.lost


@pytest.mark.parametrize("era", ["2", None, "x", "-1", "9" * 20, ""])
def test_an_era_that_falls_is_missing_or_unreadable_means_to_list_anew(era):
    answer = NO_NEWS if era is None else _in_era(era, NO_NEWS)
    assert _result(_store(watch=[answer]).changes(Position(3, 64), NO_WAIT)).ok.lost


def test_a_list_of_pages_from_before_a_restoration_is_read_again_from_the_store_itself():
    old, new = _in_era(2, _page(_item("servers/i-1", SERVER), at=90)), _in_era(3, _page(at=40))
    store = _store(range=[new], range_servers=[old, new], watch=[_in_era(3, NO_NEWS)])
    listing = _result(store.read()).ok
    assert _ids(listing) == []
    assert listing.index == Position(3, 64)


def test_a_store_that_is_restored_while_it_is_listed_is_no_list():
    old, new = _in_era(2, _page(at=90)), _in_era(3, _page(at=40))
    store = _store(range=[new], range_op=[old], watch=[_in_era(3, NO_NEWS)])
    assert _result(store.read()).is_error()


LEASE, WRITTEN = _ok({"lease": 77, "ttl_time": "3000ms"}), _ok({"revision": 9})
KEPT = _ok({"ttl_time": "3000ms"})


def test_a_lease_whose_number_was_given_out_again_is_another_one():
    store = _store(
        lease=[_in_era(2, LEASE)],
        txn=[_in_era(2, WRITTEN)],
        keep=[_in_era(2, KEPT), _in_era(3, KEPT)],
        lease_end=[_in_era(3, _ok({}))],
    )
    lease = _result(store.record(RECORD, timedelta(seconds=3))).ok
    assert _result(store.renew(lease)) == Ok(True)
    assert _result(store.renew(lease)) == Ok(False)
    assert _result(store.withdraw(lease)) == Ok(None)
    assert "DELETE" not in [call[0] for call in store._exchange.calls]


def test_a_lease_of_this_era_is_ended():
    store = _store(keep=[_in_era(2, KEPT)], lease_end=[_in_era(2, _ok({}))])
    assert _result(store.withdraw("77.2")) == Ok(None)
    assert store._exchange.calls[-1][:2] == ("DELETE", "/v1/kv-lease-end/77")


def test_a_record_that_is_written_in_another_era_than_its_lease_is_written_again():
    store = _store(lease=[_in_era(2, LEASE)], txn=[_in_era(3, WRITTEN)])
    assert _result(store.record(RECORD, timedelta(seconds=3))).is_error()
