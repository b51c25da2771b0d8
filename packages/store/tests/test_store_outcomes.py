"""How the store clients classify answers and errors, without sockets."""

import json
from datetime import UTC, datetime, timedelta

import pytest
from cardamomloft.core.membership import VmRow
from cardamomloft.store.failures import status_failure
from cardamomloft.store.keyvalue import HttpStore
from cardamomloft.store.vms import HttpVmList, parse_vms
from expression import Ok
from twisted.internet import defer, error
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.web.client import (
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.iweb import IAgent
from zope.interface import implementer

LOST = [Failure(error.ConnectionLost())]


@implementer(IAgent)
class FailingAgent:
    """Fails every request with `exc`; if `exc` is None, never answers."""

    def __init__(self, exc=None):
        self.exc = exc
        self.requests = 0

    def request(self, method, uri, headers=None, bodyProducer=None):  # noqa: N803
        self.requests += 1
        return defer.fail(self.exc) if self.exc else defer.Deferred()


def outcome(deferred):
    results = []
    deferred.addCallback(results.append)
    return results[0]


@pytest.mark.parametrize(
    ("exc", "ambiguous"),
    [
        (error.ConnectionRefusedError(), False),
        (error.TimeoutError(), False),
        (error.NoRouteError(), False),
        (RequestNotSent(), False),
        (RequestTransmissionFailed(LOST), True),
        (ResponseNeverReceived(LOST), True),
        (ResponseFailed(LOST), True),
        (error.ConnectionLost(), True),
    ],
)
def test_write_is_ambiguous_unless_no_byte_was_sent_and_is_never_retried(exc, ambiguous):
    agent = FailingAgent(exc)
    store = HttpStore(Clock(), "127.0.0.1:1", agent=agent)
    assert outcome(store.compare_and_swap("k", b"v", 0)).error.ambiguous is ambiguous
    assert outcome(store.renew("lease")).error.ambiguous is ambiguous
    assert outcome(store.get("k")).error.ambiguous is False
    assert agent.requests == 3


@pytest.mark.parametrize("timeout", [timedelta(seconds=2), timedelta(seconds=0.5)])
def test_connect_timeout_is_not_ambiguous(timeout):
    reactor = MemoryReactorClock()
    store = HttpStore(reactor, "127.0.0.1:8500", timeout=timeout)
    results = []
    store.compare_and_swap("k", b"v", 0).addCallback(results.append)
    assert len(reactor.tcpClients) == 1
    for _ in range(20):
        reactor.advance(0.1)
    assert results[0].error.ambiguous is False


@pytest.mark.parametrize(
    ("status", "ambiguous"),
    [(500, True), (503, True), (302, True), (408, True), (400, False), (413, False), (429, False)],
)
def test_error_status_is_ambiguous_unless_the_store_refused_the_write(status, ambiguous):
    assert status_failure(status, b"", write=True).ambiguous is ambiguous
    assert status_failure(status, b"", write=False).ambiguous is False


def test_every_call_fails_at_its_timeout():
    clock = Clock()
    store = HttpStore(clock, "127.0.0.1:1", timeout=timedelta(seconds=3), agent=FailingAgent())
    results = []
    for call in (
        store.get("k"),
        store.compare_and_swap("k", b"", 0),
        store.create_lease(timedelta(seconds=10)),
        store.renew("l"),
        store.release("l"),
        store.acquire("k", b"", "l"),
        HttpVmList(
            clock, "127.0.0.1:1", timeout=timedelta(seconds=3), agent=FailingAgent()
        ).fetch(),
    ):
        call.addCallback(results.append)
    store.watch("k", 5, timedelta(seconds=16)).addCallback(results.append)
    clock.advance(2.9)
    assert results == []
    clock.advance(0.2)
    assert [result.is_error() for result in results] == [True] * 7
    clock.advance(16.5)
    assert len(results) == 7
    clock.advance(0.5)
    assert results[7].error.ambiguous is False


VALID_ROW = {"name": "e1", "address": "127.0.1.1", "state": "leaving", "at": "2026-01-01T00:00:00Z"}


def test_valid_vm_list_is_parsed():
    rows = parse_vms(json.dumps([VALID_ROW, {**VALID_ROW, "name": "e2", "state": "gone"}]).encode())
    at = datetime(2026, 1, 1, tzinfo=UTC)
    assert rows == Ok([VmRow("e1", "leaving", at), VmRow("e2", "gone", at)])


@pytest.mark.parametrize(
    "listed",
    [
        [VALID_ROW, {**VALID_ROW, "name": "e2", "state": "dead"}],
        [VALID_ROW, {"name": "e2"}],
        [VALID_ROW, {**VALID_ROW, "name": "e2", "at": "2026-01-01T00:00:00"}],
        [VALID_ROW, {**VALID_ROW, "name": None}],
        [VALID_ROW, VALID_ROW],
        [VALID_ROW, 3],
        {},
        None,
    ],
)
def test_one_invalid_row_invalidates_the_list(listed):
    assert parse_vms(json.dumps(listed).encode()).is_error()


def test_truncated_list_is_rejected():
    assert parse_vms(json.dumps([VALID_ROW]).encode()[:-1]).is_error()
