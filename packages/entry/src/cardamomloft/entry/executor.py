"""Runs each request with an operation id at most once and keeps its answer for duplicates.

The decisions are made by the ledger and the claims; this module makes the store and network calls
that they need.
"""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead, complete, end_to_end, to_answer
from cardamomloft.core.claims import Attempt, Claimed, Claims, CreateClaim, HeldBy, ReadClaim
from cardamomloft.core.clock import Clock
from cardamomloft.core.ledger import (
    Answered,
    AnswerNotKept,
    Join,
    KeptAnswer,
    Ledger,
    Outcome,
    Run,
    Settled,
)
from cardamomloft.core.model import (
    Endpoint,
    Incarnation,
    Refusal,
    RefusalReason,
    Request,
    Unknown,
)
from cardamomloft.core.operations import (
    CallerSuppliedId,
    OperationIds,
    SystemId,
    fingerprint,
    parse_operation,
)
from cardamomloft.entry.forwarding import (
    MAX_OPERATION_ANSWER_BYTES,
    MAX_OPERATION_BODY_BYTES,
    Forwarder,
)
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.keyvalue import Store
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.sends import UpstreamRequest
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

FORWARDED_BY_HEADER = "x-forwarded-by"
LEASE_RETRY_INTERVAL = timedelta(seconds=1)
CLIENT_HEADER = "x-client"
NOT_KEPT_HEADER = ("Cardamomloft-Answer", "not-kept")

FindAddress = Callable[[str], str | None]
IsCurrent = Callable[[Incarnation], bool]


class Executor:
    """Runs the operations assigned to this process and forwards others to their executor.

    Parameters
    ----------
    me
        This process.
    clock
        Source of time.
    ids
        Checks the operation ids that this entry issued.
    ledger
        Outcomes of the operations that this process has begun.
    claims
        Claims on caller-supplied ids, or None if such ids are disabled.
    store
        Stores the claims.
    forwarder
        Sends requests to upstreams.
    client
        Sends requests to other entries.
    metrics
        Receives the counters.
    address_of
        Returns the address at which a seat serves callers, or None if it is not known.
    is_current
        Returns whether a process is the latest one known for its seat.
    on_fault
        Called with exceptions of runs; these continue after their caller has disconnected.

    Attributes
    ----------
    running
        Number of operations in flight at this entry.
    """

    def __init__(
        self,
        me: Incarnation,
        clock: Clock,
        ids: OperationIds,
        ledger: Ledger,
        claims: Claims | None,
        store: Store,
        forwarder: Forwarder,
        client: UpstreamClient,
        metrics: Metrics,
        address_of: FindAddress,
        is_current: IsCurrent,
        on_fault: Callable[[Failure], None],
    ) -> None:
        self._me = me
        self._clock = clock
        self._ids = ids
        self._ledger = ledger
        self._claims = claims
        self._store = store
        self._forwarder = forwarder
        self._client = client
        self._metrics = metrics
        self._address_of = address_of
        self._is_current = is_current
        self._on_fault = on_fault
        self._lease_creation: Deferred[None] | None = None
        self._next_lease_creation_at = clock.monotonic()
        self.running = 0

    async def handle(
        self, req: Request, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        """Answer a request that is not idempotent and has an operation id.

        `gone` fires when the caller disconnects.
        """
        match parse_operation(req.operation or ""):
            case Result(tag="error", error=refusal):
                return self._to_counted_answer(refusal)
            case Result(ok=operation):
                pass
        match await body.collect(MAX_OPERATION_BODY_BYTES):
            case Result(tag="error", error=detail):
                reason = RefusalReason.TOO_LARGE
                if body.failure is not None:
                    reason = RefusalReason.BAD_REQUEST
                return self._to_counted_answer(Refusal(reason, detail))
            case Result(ok=content):
                req = req._replace(size=len(content))
        if isinstance(operation, SystemId):
            return await self._handle_system(operation, req, head, content, gone)
        return await self._handle_caller_supplied(operation, req, head, content, gone)

    async def _handle_system(
        self,
        operation: SystemId,
        req: Request,
        head: RequestHead,
        content: bytes,
        gone: "Deferred[None]",
    ) -> Answer:
        if operation.seat != self._me.seat:
            return await self._forward_to_executor(operation.executor, req, head, content)
        match self._ids.check(operation):
            case Result(tag="error", error=outcome):
                return self._to_counted_answer(outcome)
            case Result(ok=expires):
                return await self._run_once(operation.text, req, head, content, expires, gone)

    async def _handle_caller_supplied(
        self,
        operation: CallerSuppliedId,
        req: Request,
        head: RequestHead,
        content: bytes,
        gone: "Deferred[None]",
    ) -> Answer:
        request_fingerprint = fingerprint(req, content)
        match self._ledger.lookup(operation.text, request_fingerprint):
            case Result(tag="error", error=refusal):
                return self._to_counted_answer(refusal)
            case Result(ok=None):
                pass
            case Result(ok=known):
                return await self._answer_duplicate(known, gone)
        match await self._claim(operation, request_fingerprint):
            case Claimed(expires):
                return await self._run_once(operation.text, req, head, content, expires, gone)
            case HeldBy(holder):
                return await self._forward_to_executor(holder, req, head, content)
            case outcome:
                return self._to_counted_answer(outcome)

    async def _claim(
        self, operation: CallerSuppliedId, request_fingerprint: str
    ) -> Claimed | HeldBy | Refusal | Unknown:
        if self._claims is None:
            return Refusal(
                RefusalReason.CLAIM_BUDGET,
                "caller-supplied operation ids are disabled by claims_per_s = 0",
            )
        await self._ensure_lease(self._claims)
        match self._claims.start(operation, request_fingerprint):
            case Result(tag="error", error=outcome):
                return outcome
            case Result(ok=attempt):
                return await self._resolve_claim(attempt)

    async def _ensure_lease(self, claims: Claims) -> None:
        """Create the store lease for claims if one is due; concurrent requests share the call."""
        if claims.want_lease() is None:
            return
        if self._lease_creation is None:
            now = self._clock.monotonic()
            if now < self._next_lease_creation_at:
                return
            self._next_lease_creation_at = now + LEASE_RETRY_INTERVAL
            creation = ensureDeferred(self._create_lease(claims))
            if creation.called:
                return
            self._lease_creation = creation
            creation.addBoth(self._lease_creation_ended)
        done: Deferred[None] = Deferred()
        self._lease_creation.addBoth(_pass_through, done)
        await done

    async def _check_lease(self, lease: str) -> None:
        """Drop the lease if the store no longer has it; all writes under it would fail."""
        match await self._store.renew(lease):
            case Result(tag="ok", ok=False):
                self._claims.drop_lease(lease)

    def _lease_creation_ended(self, result: t.Any) -> t.Any:
        self._lease_creation = None
        return result

    async def _create_lease(self, claims: Claims) -> None:
        request = claims.want_lease()
        if request is None:
            return
        match await self._store.create_lease(request.ttl):
            case Result(tag="ok", ok=lease):
                claims.on_lease(request, lease)

    async def _resolve_claim(self, attempt: Attempt) -> Claimed | HeldBy | Refusal | Unknown:
        step = attempt.step
        while True:
            match step:
                case CreateClaim(key, value, lease):
                    result = await self._store.acquire(key, value, lease)
                    self._metrics.count("claims.written")
                    if result.is_error():
                        await self._check_lease(lease)
                    step = _next_step(attempt, result.map(attempt.created))
                case ReadClaim(key):
                    result = await self._store.get(key)
                    step = _next_step(
                        attempt,
                        result.map(lambda record: attempt.read(record and record.value)),
                    )
                case _:
                    return step

    async def _run_once(
        self,
        operation: str,
        req: Request,
        head: RequestHead,
        content: bytes,
        expires: timedelta,
        gone: "Deferred[None]",
    ) -> Answer:
        match self._ledger.begin(operation, fingerprint(req, content), expires):
            case Result(tag="error", error=outcome):
                return self._to_counted_answer(outcome)
            case Result(ok=Run()):
                result = self._join(operation, gone)
                # The run continues after the caller disconnects: a duplicate gets its answer.
                run = ensureDeferred(self._run(operation, req, head, content))
                run.addErrback(self._on_fault)
                return self._to_counted_answer(await result)
            case Result(ok=known):
                return await self._answer_duplicate(known, gone)

    async def _run(self, operation: str, req: Request, head: RequestHead, content: bytes) -> None:
        self.running += 1
        try:
            outcome = await self._forwarder.collect(req, head, content)
        except Exception:
            self._record_outcome(
                operation, Unknown("internal error of the entry while it ran the request")
            )
            raise
        finally:
            self.running -= 1
        self._record_outcome(operation, outcome)

    def _record_outcome(self, operation: str, outcome: Outcome) -> None:
        match outcome:
            case KeptAnswer() | AnswerNotKept():
                self._ledger.finish(operation, outcome)
            case Unknown():
                self._ledger.unknown(operation, outcome.detail)
            case Refusal():
                self._ledger.not_run(operation, outcome)

    async def _answer_duplicate(
        self, known: Join | Answered | Settled, gone: "Deferred[None]"
    ) -> Answer:
        self._metrics.count("repeats")
        match known:
            case Join(operation):
                return self._to_counted_answer(await self._join(operation, gone))
            case Answered(answer):
                return self._to_counted_answer(answer)
            case Settled(outcome):
                return self._to_counted_answer(outcome)

    def _join(self, operation: str, gone: "Deferred[None]") -> "Deferred[Outcome]":
        result: Deferred[Outcome] = Deferred()
        stop_waiting = self._ledger.join(operation, result.callback)

        def on_disconnect(_: None) -> None:
            stop_waiting()
            if not result.called:
                self._metrics.count("caller-left")
                result.callback(Unknown("the caller has disconnected"))

        gone.addCallback(on_disconnect)
        return result

    def _to_counted_answer(self, outcome: Outcome) -> Answer:
        match outcome:
            case KeptAnswer(status, headers, content):
                self._metrics.count("complete")
                return complete(status, headers, content)
            case AnswerNotKept(status):
                self._metrics.count("complete")
                return complete(status, (NOT_KEPT_HEADER,), b"")
            case Refusal():
                self._metrics.count(f"refused.{outcome.reason}")
            case Unknown():
                self._metrics.count("unknown")
        return to_answer(outcome)

    async def _forward_to_executor(
        self, executor: Incarnation, req: Request, head: RequestHead, content: bytes
    ) -> Answer:
        """Relay the request to the only process that may run it, and its answer back.

        The outcome is unknown if that process has been replaced or can't be reached, or if the
        request has been forwarded once already.
        """
        address = self._address_of(executor.seat)
        already_forwarded = any(name == FORWARDED_BY_HEADER for name, _ in head.headers)
        if address is None or already_forwarded or not self._is_current(executor):
            return self._to_counted_answer(
                Unknown(f"the executor {executor.seat} is not reachable")
            )
        self._metrics.count("passed-on")
        endpoint = Endpoint(f"entry/{executor.seat}", "", "", "", address, 1, 1)
        remaining_ms = (req.deadline - self._clock.monotonic()) // timedelta(milliseconds=1)
        forwarded = tuple(h for h in head.headers if h[0] not in ("host", "content-length"))
        if not any(name == CLIENT_HEADER for name, _ in forwarded):
            forwarded = (*forwarded, (CLIENT_HEADER, head.client))
        headers = (*forwarded, (FORWARDED_BY_HEADER, self._me.seat))
        request_id = f"{self._me.seat}-{self._me.number}-passed"
        sent = await self._client.send(
            UpstreamRequest(
                endpoint,
                head.method,
                req.path,
                headers,
                content,
                timedelta(milliseconds=max(1, remaining_ms)),
                request_id,
            )
        )
        match sent:
            case Result(tag="ok", ok=answer):
                match await answer.body.collect(MAX_OPERATION_ANSWER_BYTES):
                    case Result(tag="ok", ok=answer_body):
                        return Answer(answer.status, end_to_end(answer.headers), answer_body)
        return self._to_counted_answer(Unknown(f"no answer from the executor {executor.seat}"))


def _pass_through(result: t.Any, done: "Deferred[None]") -> t.Any:
    done.callback(None)
    return result


def _next_step(attempt: Attempt, step: Result[t.Any, t.Any]) -> t.Any:
    match step:
        case Result(tag="ok", ok=next_step):
            return next_step
        case Result(error=failure):
            return attempt.failed(failure.ambiguous)
