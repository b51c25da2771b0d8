"""The seat record with lost answers, store outages, stops and crashes."""

import json

import pytest
from cardamomloft.core.model import Incarnation
from cardamomloft.entry.seat import SeatRecord
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record
from expression import Error, Ok
from twisted.internet.defer import ensureDeferred, succeed


class FakeStore:
    """One key; `faults` in order: None, "unavailable", "lost" (not written) or "late" (written)."""

    def __init__(self):
        self.record = None
        self.faults = []
        self.after_get = lambda: None

    def fault(self):
        return self.faults.pop(0) if self.faults else None

    def get(self, key):
        assert key == "seat/e1"
        found = self.record
        if self.fault() is not None:
            return succeed(Error(StoreFailure(False, "unavailable")))
        self.after_get()
        return succeed(Ok(found))

    def compare_and_swap(self, key, value, version):
        fault = self.fault()
        if fault == "unavailable":
            return succeed(Error(StoreFailure(False, "unavailable")))
        swapped = fault != "lost" and version == (self.record.version if self.record else 0)
        if swapped:
            self.record = Record(value, version + 1)
        if fault is not None:
            return succeed(Error(StoreFailure(True, "no answer")))
        return succeed(Ok(swapped))

    @property
    def row(self):
        return json.loads(self.record.value)


@pytest.fixture
def store():
    return FakeStore()


def seat_record(store, number):
    return SeatRecord(Incarnation("e1", number), store)


def run(coroutine):
    done = []
    ensureDeferred(coroutine).addBoth(done.append)
    return done[0]


def test_the_first_incarnation_has_no_predecessor(store):
    first = seat_record(store, "1")
    assert first.may_have_predecessor
    assert run(first.record())
    assert (first.recorded, first.may_have_predecessor) == (True, False)
    assert store.row == {"incarnation": "1", "stopped": False}


def test_after_a_clean_stop_there_is_no_predecessor(store):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    assert run(first.record()) and run(first.record_stop())
    assert store.row["stopped"]
    assert run(second.record())
    assert not second.may_have_predecessor


def test_after_a_crash_there_is_a_predecessor(store):
    first, second, third = (seat_record(store, number) for number in "123")
    run(first.record())
    assert run(second.record()) and second.may_have_predecessor
    assert run(third.record()) and third.may_have_predecessor


def test_with_the_store_unavailable_a_predecessor_is_assumed(store):
    first = seat_record(store, "1")
    for faults in (["unavailable"], [None, "unavailable"]):
        store.faults = faults
        assert not run(first.record())
        assert (first.recorded, first.may_have_predecessor) == (False, True)
    assert store.record is None
    assert run(first.record()) and not first.may_have_predecessor


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_lost_answer_leaves_the_incarnation_unrecorded_until_it_is_read_back(store, fault):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    run(first.record())
    store.faults = [None, fault]
    assert not run(second.record())
    assert not second.recorded
    assert run(second.record())
    assert second.recorded and second.may_have_predecessor
    assert store.row["incarnation"] == "2"


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_lost_answer_after_a_clean_stop_implies_no_predecessor(store, fault):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    run(first.record())
    run(first.record_stop())
    store.faults = [None, fault]
    assert not run(second.record()) and second.may_have_predecessor
    assert run(second.record()) and not second.may_have_predecessor


@pytest.mark.parametrize("fault", ["lost", "late", "unavailable"])
def test_a_stop_is_clean_only_if_its_record_reached_the_store(store, fault):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    run(first.record())
    store.faults = [None, fault]
    assert not run(first.record_stop())
    assert run(second.record())
    # Only a "late" record reached the store.
    assert second.may_have_predecessor == (fault != "late")


def test_an_incarnation_does_not_record_the_stop_of_another(store):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    run(first.record())
    run(second.record())
    assert not run(first.record_stop())
    assert store.row == {"incarnation": "2", "stopped": False}


def test_a_late_stop_does_not_overwrite_the_record_of_the_next_incarnation(store):
    first, second = seat_record(store, "1"), seat_record(store, "2")
    run(first.record())
    store.after_get = lambda: setattr(store, "after_get", lambda: None) or run(second.record())
    assert not run(first.record_stop())
    assert store.row == {"incarnation": "2", "stopped": False}


@pytest.mark.parametrize("value", [b"", b"[]", b'{"incarnation": "1"}', b'{"stopped": true}'])
def test_an_unreadable_record_counts_as_a_predecessor(store, value):
    store.record = Record(value, 7)
    first = seat_record(store, "1")
    assert run(first.record())
    assert first.may_have_predecessor
