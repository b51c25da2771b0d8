"""Reads the status of entries over HTTP, and the VM list."""

import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.core.document import Document
from cardamomloft.core.typedjson import check_typed, load_json
from cardamomloft.operators.acceptance import EntryReport, EntryStatus, VmState
from cardamomloft.operators.session import Session
from cardamomloft.store.exchange import Answer, Exchange
from cardamomloft.store.failures import CallFailure
from expression import Error, Result
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

MAX_CONCURRENT_REQUESTS = 64
STATUS_TIMEOUT = timedelta(seconds=2)
MAX_STATUS_BYTES = 4_000_000

STATUS_PATH = "/status?limits=no"
"""Status without the list of limits, whose size grows with the number of upstreams."""


class HttpFleet:
    """HTTP client for the status of entries; calls are bounded in time and response size.

    Parameters
    ----------
    reactor
        The Twisted reactor for connections and timeouts.
    timeout
        The time limit of one call.
    """

    def __init__(self, reactor: t.Any, timeout: timedelta = STATUS_TIMEOUT) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._exchanges: dict[str, Exchange] = {}

    def status(self, address: str) -> Deferred[Result[object, str]]:
        """Return the decoded ``/status`` of the entry at `address`, or an error text."""
        if address not in self._exchanges:
            exchange = Exchange(self._reactor, address, max_answer_bytes=MAX_STATUS_BYTES)
            self._exchanges[address] = exchange
        called = self._exchanges[address].call("GET", STATUS_PATH, timeout=self._timeout)
        return called.addCallback(_decode_status)

    def close(self) -> Deferred[t.Any]:
        """Close the idle connections."""
        return gatherResults([exchange.close() for exchange in self._exchanges.values()])


def _decode_status(called: Result[Answer, CallFailure]) -> Result[object, str]:
    match called:
        case Result(tag="error", error=failure):
            return Error(f"unreachable ({failure.detail.partition(':')[0]})")
        case Result(ok=answer) if answer.status != 200:
            return Error(f"answered {answer.status}")
        case Result(ok=answer):
            return load_json(answer.body).map_error(lambda mistakes: mistakes[0].text)
    raise AssertionError("a result is neither ok nor error")


def roster(document: Document) -> dict[str, str]:
    """Return the operators' address of each seat."""
    return {seat: row["operators"] for seat, row in document["entries"].items()}


async def poll(session: Session, addresses: Mapping[str, str]) -> tuple[EntryReport, ...]:
    """Request the status of every seat, with bounded concurrency."""
    semaphore = DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    requests = [
        semaphore.run(_request_status, session, seat, address)
        for seat, address in addresses.items()
    ]
    return tuple(await gatherResults(requests, consumeErrors=True))


async def poll_addresses(session: Session, addresses: t.Iterable[str]) -> tuple[EntryReport, ...]:
    """Request the status of entries whose seats are unknown.

    An entry that does not answer is reported with its address in place of the seat.
    """
    reports = await poll(session, {address: address for address in addresses})
    return tuple(r._replace(seat=r.status["seat"]) if r.status else r for r in reports)


async def vm_states(session: Session) -> Result[Mapping[str, VmState], str]:
    """Return the state of each VM by name, or an error text."""
    if session.vms is None:
        return Error("no VM list is configured: give --vms or --settings")
    fetched = await session.vms.fetch()
    return fetched.map(lambda rows: {row.name: row.state for row in rows})


def _request_status(session: Session, seat: str, address: str) -> Deferred[EntryReport]:
    answered = session.fleet.status(address)
    return answered.addCallback(lambda result: read_status(seat, address, result))


def read_status(seat: str, address: str, result: Result[object, str]) -> EntryReport:
    """Convert a status answer to a report; an answer from a different seat is an error."""
    match result.bind(_check_status):
        case Result(tag="error", error=detail):
            return EntryReport(seat, address, None, detail)
        case Result(ok=status) if seat not in (address, status["seat"]):
            return EntryReport(seat, address, None, f"{address} answers as {status['seat']}")
        case Result(ok=status):
            return EntryReport(seat, address, status)
    raise AssertionError("a result is neither ok nor error")


def _check_status(raw: object) -> Result[EntryStatus, str]:
    return check_typed(EntryStatus, raw).map_error(
        lambda mistakes: f"unreadable status ({mistakes[0]})"
    )
