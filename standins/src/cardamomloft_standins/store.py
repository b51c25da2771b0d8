"""HTTP server of the key-value store stand-in, with fault injection and call counters.

``PUT /control`` changes :class:`~cardamomloft_standins.faults.StoreFaults`; with
``{"lapse": <key or session>}`` it also ends a session without notice to its holder.
``GET /control/counts`` returns the calls by kind, in total and by second since the start.
"""

import base64
import json
import re
import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from klein import Klein
from twisted.internet import defer, task
from twisted.web.iweb import IRequest

from cardamomloft_standins.faults import StoreFaults, apply_changes, parse_json
from cardamomloft_standins.keyvalue import MAX_VALUE_BYTES, KeyValues, PutOutcome, Record
from cardamomloft_standins.listener import SetRefusing, ignore_refusing

DEFAULT_WAIT = timedelta(minutes=5)
MAX_WAIT = timedelta(minutes=10)
MIN_TTL = timedelta(seconds=10)
MAX_TTL = timedelta(days=1)

_UNITS = {"ms": "milliseconds", "s": "seconds", "m": "minutes", "h": "hours"}


class StoreAnswer(t.NamedTuple):
    """An HTTP answer before faults are applied."""

    status: int
    body: bytes
    index: int | None = None


class Store:
    """HTTP interface of :class:`~cardamomloft_standins.keyvalue.KeyValues`.

    Parameters
    ----------
    reactor
        Measures time.
    set_refusing
        Called with True to close the listening socket or False to reopen it, and with the
        transport of the control request, which must stay open.
    values
        The initial state; empty by default.
    min_ttl
        Session TTLs below this are answered with 400, as Consul does.
    """

    app = Klein()

    def __init__(
        self,
        reactor: t.Any,
        set_refusing: SetRefusing = ignore_refusing,
        *,
        values: KeyValues | None = None,
        min_ttl: timedelta = MIN_TTL,
    ) -> None:
        self._reactor = reactor
        self._set_refusing = set_refusing
        self._min_ttl = min_ttl
        self._started = reactor.seconds()
        self._calls: Counter[str] = Counter()
        self._by_second: dict[int, Counter[str]] = {}
        self.values = values or KeyValues(reactor)
        self.faults = StoreFaults()

    @app.route("/v1/kv/<path:key>", methods=["GET"])
    async def read(self, request: IRequest, key: str) -> bytes:
        """Answer a read of a key or prefix, or a blocking query if an index is given."""
        if _argument(request, "recurse") is not None:
            self._count("list")
            await self._wait_while_down()
            return await self._answer(request, _list_answer(self.values, key))
        index = int(_argument(request, "index") or 0)
        self._count("watch" if index else "get")
        await self._wait_while_down()
        if index:
            wait = _duration(_argument(request, "wait")) or DEFAULT_WAIT
            await self.values.watch(key, index, min(wait, MAX_WAIT))
        return await self._answer(request, _read_answer(self.values, key))

    @app.route("/v1/kv/<path:key>", methods=["PUT"])
    async def write(self, request: IRequest, key: str) -> bytes:
        """Answer a write, optionally conditional on a version (cas) or a lock (acquire)."""
        cas, session = _argument(request, "cas"), _argument(request, "acquire")
        kind = "acquire" if session else "put" if cas is None else "cas"
        value = request.content.read()

        def operation() -> StoreAnswer:
            if len(value) > MAX_VALUE_BYTES:
                return StoreAnswer(413, b"Request body too large")
            expected = None if cas is None else int(cas)
            return _put_answer(self.values.put(key, value, cas=expected, acquire=session))

        return await self._handle_write(request, kind, operation)

    @app.route("/v1/session/create", methods=["PUT"])
    async def create_session(self, request: IRequest) -> bytes:
        """Create a session that deletes its keys when it expires."""
        fields = parse_json(request.content.read())

        def operation() -> StoreAnswer:
            ttl = _duration(fields.get("TTL")) if isinstance(fields, dict) else None
            if ttl is None or not self._min_ttl <= ttl <= MAX_TTL:
                return StoreAnswer(400, b"Invalid Session TTL")
            if fields.get("Behavior") != "delete":
                return StoreAnswer(400, b"Only Behavior=delete is supported here")
            return _json_answer({"ID": self.values.create_session(ttl)})

        return await self._handle_write(request, "session_create", operation)

    @app.route("/v1/session/renew/<session>", methods=["PUT"])
    async def renew_session(self, request: IRequest, session: str) -> bytes:
        """Renew a session, or answer 404 if it has expired."""

        def operation() -> StoreAnswer:
            if not self.values.renew_session(session):
                return StoreAnswer(404, b"Session id '%s' not found" % session.encode())
            return _json_answer([{"ID": session}])

        return await self._handle_write(request, "session_renew", operation)

    @app.route("/v1/session/destroy/<session>", methods=["PUT"])
    async def destroy_session(self, request: IRequest, session: str) -> bytes:
        """End a session; the answer is true even if it did not exist."""

        def operation() -> StoreAnswer:
            self.values.destroy_session(session)
            return StoreAnswer(200, b"true")

        return await self._handle_write(request, "session_destroy", operation)

    @app.route("/control", methods=["PUT"])
    def control(self, request: IRequest) -> bytes:
        """Change the faults; an unknown name is answered with 400 and changes nothing."""
        changes = parse_json(request.content.read())
        lapse = changes.pop("lapse", None) if isinstance(changes, dict) else None
        faults = apply_changes(self.faults, changes)
        if isinstance(faults, str):
            request.setResponseCode(400)
            return faults.encode()
        self.faults = faults
        self.values.lag = timedelta(milliseconds=faults.lag_ms)
        self._set_refusing(faults.down == "refuse", request.transport)
        expired = self.values.expire(lapse) if lapse is not None else None
        return json.dumps({**faults._asdict(), "lapsed": expired}).encode()

    @app.route("/control/counts", methods=["GET"])
    def counts(self, request: IRequest) -> bytes:
        """Return the calls by kind, in total and by second."""
        by_second = {str(second): dict(calls) for second, calls in self._by_second.items()}
        return json.dumps({"calls": dict(self._calls), "by_second": by_second}).encode()

    def close(self) -> None:
        """Cancel all watches and session timers."""
        self.values.close()

    def _count(self, kind: str) -> None:
        second = int(self._reactor.seconds() - self._started)
        self._calls[kind] += 1
        self._by_second.setdefault(second, Counter())[kind] += 1

    async def _wait_while_down(self) -> None:
        if self.faults.down:
            await defer.Deferred()

    async def _handle_write(
        self, request: IRequest, kind: str, operation: Callable[[], StoreAnswer]
    ) -> bytes:
        self._count(kind)
        await self._wait_while_down()
        if self.faults.lose_requests > 0:
            self.faults = self.faults._replace(lose_requests=self.faults.lose_requests - 1)
            return await _abort_connection(request)
        answer = await self._apply(operation)
        if self.faults.lose_answers > 0:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            return await _abort_connection(request)
        return await self._answer(request, answer)

    def _apply(self, operation: Callable[[], StoreAnswer]) -> defer.Deferred[StoreAnswer]:
        delay_s = self.faults.late_effect_ms / 1000
        if delay_s <= 0:
            return defer.succeed(operation())
        # The timer is independent of the Deferred: a disconnect does not cancel the write.
        applied: defer.Deferred[StoreAnswer] = defer.Deferred()
        self._reactor.callLater(delay_s, lambda: applied.callback(operation()))
        return applied

    async def _answer(self, request: IRequest, answer: StoreAnswer) -> bytes:
        if self.faults.delay_ms > 0:
            await task.deferLater(self._reactor, self.faults.delay_ms / 1000)
        await self._wait_while_down()
        request.setResponseCode(answer.status)
        request.setHeader(b"Content-Type", b"application/json")
        if answer.index is not None:
            request.setHeader(b"X-Consul-Index", str(answer.index).encode())
        return answer.body


def _abort_connection(request: IRequest) -> defer.Deferred[bytes]:
    request.transport.abortConnection()
    return defer.Deferred()


def _argument(request: IRequest, name: str) -> str | None:
    values = request.args.get(name.encode())
    return values[0].decode() if values else None


def _duration(text: object) -> timedelta | None:
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h)", text) if isinstance(text, str) else None
    return timedelta(**{_UNITS[found[2]]: float(found[1])}) if found else None


def _json_answer(content: object, index: int | None = None) -> StoreAnswer:
    return StoreAnswer(200, json.dumps(content).encode(), index)


def _put_answer(outcome: PutOutcome) -> StoreAnswer:
    if outcome is PutOutcome.NO_SESSION:
        return StoreAnswer(500, b"invalid session")
    return StoreAnswer(200, b"true" if outcome is PutOutcome.WRITTEN else b"false")


def _read_answer(values: KeyValues, key: str) -> StoreAnswer:
    record = values.get(key)
    if record is None:
        return StoreAnswer(404, b"", values.index(key))
    return _json_answer([_row(key, record)], record.modify_index)


def _list_answer(values: KeyValues, prefix: str) -> StoreAnswer:
    rows = [_row(key, record) for key, record in values.list_prefix(prefix)]
    if not rows:
        return StoreAnswer(404, b"", values.last_index)
    return _json_answer(rows, values.last_index)


def _row(key: str, record: Record) -> dict[str, t.Any]:
    row = {
        "Key": key,
        "Value": base64.b64encode(record.value).decode(),
        "Flags": 0,
        "CreateIndex": record.create_index,
        "ModifyIndex": record.modify_index,
        "LockIndex": record.lock_index,
    }
    return row if record.session is None else {**row, "Session": record.session}
