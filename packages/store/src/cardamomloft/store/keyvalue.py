"""The operators' key-value store: its interface, and a client of the Consul HTTP API.

The client never retries a call; its user decides on retries, jitter and budgets.
"""

import base64
import binascii
import enum
import json
import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

from cardamomloft.store.documents import ReadableRows
from cardamomloft.store.exchange import Answer, Exchange
from cardamomloft.store.failures import CallFailure, StoreFailure, status_failure
from expression import Error, Ok, Result
from twisted.internet import defer
from twisted.web.iweb import IAgent

MAX_VALUE_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 2 * MAX_VALUE_BYTES
CALL_TIMEOUT = timedelta(seconds=2)
WAIT_JITTER = 16
"""The store may extend the wait of a watch by up to ``wait / WAIT_JITTER``."""

T = t.TypeVar("T")


class CallKind(enum.StrEnum):
    """Kinds of call that count against the rate limits of the store."""

    GET = enum.auto()
    LIST = enum.auto()
    WATCH = enum.auto()
    SWAP = enum.auto()
    ACQUIRE = enum.auto()
    LEASE_CREATE = enum.auto()
    LEASE_RENEW = enum.auto()
    LEASE_RELEASE = enum.auto()


class Record(t.NamedTuple):
    """The value of one key; `version` changes with every write, for `compare_and_swap`."""

    value: bytes
    version: int


class WatchResult(t.NamedTuple):
    """Result of a watch: the record, None if the key is absent, and the index for the next one."""

    record: Record | None
    index: int


class ListResult(t.NamedTuple):
    """All records below a prefix by their full keys, as of one index of the store."""

    records: dict[str, Record]
    index: int


class Store(t.Protocol):
    """Interface of the store. No Deferred fails; failures are returned as `StoreFailure`."""

    def get(self, key: str) -> "defer.Deferred[Result[Record | None, StoreFailure]]":
        """Read one key."""
        ...

    def list(self, prefix: str) -> "defer.Deferred[Result[ListResult, StoreFailure]]":
        """Read all records whose keys begin with `prefix`."""
        ...

    def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Write `value` if the key has `version`, 0 if absent; return whether it was written."""
        ...

    def watch(
        self, key: str, after_index: int, wait: timedelta
    ) -> "defer.Deferred[Result[WatchResult, StoreFailure]]":
        """Read one key when it changes after `after_index`, or at the end of `wait`.

        Start with index 0, which reads immediately, and continue with the returned index. After a
        failure start with 0 again, since the store may have been replaced.
        """
        ...

    def create_lease(self, ttl: timedelta) -> "defer.Deferred[Result[str, StoreFailure]]":
        """Create a lease that expires `ttl` after its last renewal; return its id.

        The service accepts 10 s to 24 h, and may expire a lease up to one `ttl` late.
        """
        ...

    def renew(self, lease: str) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Renew a lease; return False if it had expired."""
        ...

    def release(self, lease: str) -> "defer.Deferred[Result[None, StoreFailure]]":
        """End a lease; the store deletes the keys that it holds."""
        ...

    def acquire(
        self, key: str, value: bytes, lease: str
    ) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Write `value` and lock `key` with `lease`; return False if another lease holds it.

        With an expired lease the call fails instead.
        """
        ...


class HttpStore:
    """A :class:`Store` that uses a subset of the Consul HTTP API.

    Parameters
    ----------
    reactor
        Opens connections and runs timeouts.
    address
        The store as ``ip:port``.
    timeout
        Timeout of a call, not counting the wait of a watch.
    agent
        Sends the requests, if not the default agent.

    Attributes
    ----------
    calls
        Number of calls sent, by kind.
    failures
        Number of failed calls, by kind.
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
        self._readable = ReadableRows("Key")
        self.calls: Counter[CallKind] = Counter()
        self.failures: Counter[CallKind] = Counter()

    def get(self, key: str) -> "defer.Deferred[Result[Record | None, StoreFailure]]":
        """Read one key."""
        return self._call(CallKind.GET, "GET", _key_path(key), _read_record)

    def list(self, prefix: str) -> "defer.Deferred[Result[ListResult, StoreFailure]]":
        """Read all records whose keys begin with `prefix`."""

        def read(answer: Answer) -> Result[ListResult, StoreFailure]:
            return _read_listed(answer, self._readable)

        params = {"recurse": "true"}
        return self._call(CallKind.LIST, "GET", _key_path(prefix), read, params=params)

    def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Write `value` if the key has `version`, 0 if absent; return whether it was written."""
        return self._write(CallKind.SWAP, key, value, {"cas": str(version)})

    def watch(
        self, key: str, after_index: int, wait: timedelta
    ) -> "defer.Deferred[Result[WatchResult, StoreFailure]]":
        """Read one key when it changes after `after_index`, or at the end of `wait`."""

        def read(answer: Answer) -> Result[WatchResult, StoreFailure]:
            return _read_watched(answer, after_index)

        if after_index == 0:
            return self._call(CallKind.GET, "GET", _key_path(key), read)
        params = {"index": str(after_index), "wait": _milliseconds(wait)}
        timeout = self._timeout + wait + wait / WAIT_JITTER
        return self._call(
            CallKind.WATCH, "GET", _key_path(key), read, params=params, timeout=timeout
        )

    def create_lease(self, ttl: timedelta) -> "defer.Deferred[Result[str, StoreFailure]]":
        """Create a lease that expires `ttl` after its last renewal; return its id."""
        body = json.dumps({"TTL": _milliseconds(ttl), "Behavior": "delete"}).encode()
        path = "/v1/session/create"
        return self._call(CallKind.LEASE_CREATE, "PUT", path, _read_lease, body=body)

    def renew(self, lease: str) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Renew a lease; return False if it had expired."""
        path = f"/v1/session/renew/{quote(lease, safe='')}"
        return self._call(CallKind.LEASE_RENEW, "PUT", path, _read_renewal)

    def release(self, lease: str) -> "defer.Deferred[Result[None, StoreFailure]]":
        """End a lease; the store deletes the keys that it holds."""
        path = f"/v1/session/destroy/{quote(lease, safe='')}"
        return self._call(CallKind.LEASE_RELEASE, "PUT", path, _read_release)

    def acquire(
        self, key: str, value: bytes, lease: str
    ) -> "defer.Deferred[Result[bool, StoreFailure]]":
        """Write `value` and lock `key` with `lease`; return False if another lease holds it."""
        return self._write(CallKind.ACQUIRE, key, value, {"acquire": lease})

    def close(self) -> "defer.Deferred[None]":
        """Close the idle connections."""
        return self._exchange.close()

    def _write(
        self, kind: CallKind, key: str, value: bytes, params: dict[str, str]
    ) -> "defer.Deferred[Result[bool, StoreFailure]]":
        if len(value) > MAX_VALUE_BYTES:
            text = f"{key}: value of {len(value)} bytes exceeds the limit of {MAX_VALUE_BYTES}"
            return defer.succeed(Error(StoreFailure(False, text)))
        return self._call(kind, "PUT", _key_path(key), _read_written, params=params, body=value)

    def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        read: Callable[[Answer], Result[T, StoreFailure]],
        *,
        params: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> "defer.Deferred[Result[T, StoreFailure]]":
        def interpret(result: Result[Answer, CallFailure]) -> Result[T, StoreFailure]:
            outcome = result.map_error(
                lambda failure: StoreFailure(method == "PUT" and failure.sent, failure.detail)
            ).bind(read)
            if outcome.is_error():
                self.failures[kind] += 1
            return outcome

        self.calls[kind] += 1
        answered = self._exchange.call(
            method, path, params=params, body=body, timeout=timeout or self._timeout
        )
        return answered.addCallback(interpret)


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _milliseconds(duration: timedelta) -> str:
    return f"{duration // timedelta(milliseconds=1)}ms"


def _read_record(answer: Answer) -> Result[Record | None, StoreFailure]:
    if answer.status == 404:
        return Ok(None)
    if answer.status != 200:
        return Error(status_failure(answer.status, answer.body, write=False))
    try:
        (row,) = json.loads(answer.body)
    except (ValueError, TypeError) as exc:
        return Error(StoreFailure(False, f"not a record: {exc!r}"))
    return _record_of(row)


def _record_of(row: t.Any) -> Result[Record, StoreFailure]:
    try:
        value = base64.b64decode(row["Value"] or "", validate=True)
        version = row["ModifyIndex"]
    except (ValueError, KeyError, TypeError, binascii.Error) as exc:
        return Error(StoreFailure(False, f"not a record: {exc!r}"))
    if not isinstance(version, int) or version <= 0:
        return Error(StoreFailure(False, f"invalid version: {version!r}"))
    return Ok(Record(value, version))


def _read_listed(answer: Answer, readable: ReadableRows) -> Result[ListResult, StoreFailure]:
    if answer.status == 404:
        return Ok(ListResult({}, answer.index or 0))
    if answer.status != 200:
        return Error(status_failure(answer.status, answer.body, write=False))
    records: dict[str, Record] = {}
    try:
        rows = {row["Key"]: row for row in readable.of(json.loads(answer.body))}
    except (ValueError, KeyError, TypeError) as exc:
        return Error(StoreFailure(False, f"not a list of records: {exc!r}"))
    for key, row in rows.items():
        match _record_of(row):
            case Result(tag="error", error=failure):
                return Error(failure)
            case Result(ok=record):
                records[key] = record
    return Ok(ListResult(records, answer.index or 0))


def _read_watched(answer: Answer, after_index: int) -> Result[WatchResult, StoreFailure]:
    if not answer.index and answer.status in (200, 404):
        return Error(StoreFailure(False, "the answer has no X-Consul-Index"))
    # A lower index means that the store was replaced; with index 0 the next watch reads at once.
    index = 0 if (answer.index or 0) < after_index else answer.index or 0
    return _read_record(answer).map(lambda record: WatchResult(record, index))


def _read_written(answer: Answer) -> Result[bool, StoreFailure]:
    if answer.status != 200:
        return Error(status_failure(answer.status, answer.body, write=True))
    text = answer.body.strip()
    if text not in (b"true", b"false"):
        return Error(StoreFailure(True, f"expected true or false, got {text[:80]!r}"))
    return Ok(text == b"true")


def _read_lease(answer: Answer) -> Result[str, StoreFailure]:
    if answer.status != 200:
        return Error(status_failure(answer.status, answer.body, write=True))
    try:
        return Ok(str(json.loads(answer.body)["ID"]))
    except (ValueError, KeyError, TypeError) as exc:
        return Error(StoreFailure(True, f"not a lease: {exc!r}"))


def _read_renewal(answer: Answer) -> Result[bool, StoreFailure]:
    if answer.status in (200, 404):
        return Ok(answer.status == 200)
    return Error(status_failure(answer.status, answer.body, write=True))


def _read_release(answer: Answer) -> Result[None, StoreFailure]:
    if answer.status == 200:
        return Ok(None)
    return Error(status_failure(answer.status, answer.body, write=True))
