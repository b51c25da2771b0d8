"""Client of the platform's VM list, which is eventually consistent."""

import json
import typing as t
from collections import Counter
from datetime import datetime, timedelta

from cardamomloft.core.membership import VmRow
from cardamomloft.store.exchange import Answer, Exchange
from expression import Error, Ok, Result
from twisted.internet import defer
from twisted.web.iweb import IAgent

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CALL_TIMEOUT = timedelta(seconds=2)
VM_STATES = frozenset({"live", "leaving", "gone"})


class VmList(t.Protocol):
    """Interface of the VM list. No Deferred fails; failures are returned as messages."""

    def fetch(self) -> "defer.Deferred[Result[list[VmRow], str]]":
        """Return all rows."""
        ...


class HttpVmList:
    """A :class:`VmList` over HTTP without retries.

    Parameters
    ----------
    reactor
        Opens connections and runs timeouts.
    address
        The server of the list as ``ip:port``.
    timeout
        Timeout of a call.
    agent
        Sends the requests, if not the default agent.

    Attributes
    ----------
    calls
        Number of calls ``sent``, and of those that ``failed``.
    """

    def __init__(
        self,
        reactor: t.Any,
        address: str,
        *,
        timeout: timedelta = CALL_TIMEOUT,
        agent: IAgent | None = None,
    ) -> None:
        self._exchange = Exchange(reactor, address, max_answer_bytes=MAX_ANSWER_BYTES, agent=agent)
        self._timeout = timeout
        self.calls: Counter[str] = Counter()

    def fetch(self) -> "defer.Deferred[Result[list[VmRow], str]]":
        """Return all rows."""
        self.calls["sent"] += 1
        answered = self._exchange.call("GET", "/v1/vms", timeout=self._timeout)
        return answered.addCallback(
            lambda result: result.map_error(lambda failure: failure.detail).bind(self._read)
        ).addCallback(self._count)

    def close(self) -> "defer.Deferred[None]":
        """Close the idle connections."""
        return self._exchange.close()

    def _read(self, answer: Answer) -> Result[list[VmRow], str]:
        if answer.status != 200:
            return Error(f"status {answer.status}")
        return parse_vms(answer.body)

    def _count(self, outcome: Result[list[VmRow], str]) -> Result[list[VmRow], str]:
        if outcome.is_error():
            self.calls["failed"] += 1
        return outcome


def parse_vms(raw: bytes) -> Result[list[VmRow], str]:
    """Return the rows of a JSON list of VMs, or an error message.

    One invalid row invalidates the list: without that row, its VM would look absent.
    """
    try:
        listed = json.loads(raw)
        rows = [_parse_row(row) for row in listed]
    except (ValueError, KeyError, TypeError) as exc:
        return Error(f"not a list of VMs: {exc!r}")
    if not isinstance(listed, list):
        return Error("not a list of VMs: not an array")
    names = [row.name for row in rows]
    if len(set(names)) < len(names):
        return Error("not a list of VMs: duplicate name")
    return Ok(rows)


def _parse_row(row: dict[str, t.Any]) -> VmRow:
    at = datetime.fromisoformat(row["at"])
    if not isinstance(row["name"], str) or row["state"] not in VM_STATES or at.tzinfo is None:
        raise ValueError(f"invalid row {row!r}")
    return VmRow(row["name"], row["state"], at)
