"""Requests with an operation id: settle who runs them, run them once, keep the answer.

The ledger decides; this module carries its decisions out with the sockets and the store.
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
from cardamomloft.entry.forwarding import OPERATION_ANSWER, OPERATION_BODY, Forwarder
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.keyvalue import Store
from cardamomloft.upstreams.client import UpstreamClient, UpstreamRequest
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

FORWARDED_BY_HEADER = "x-forwarded-by"
LEASE_PAUSE = timedelta(seconds=1)
CLIENT_HEADER = "x-client"
NOT_KEPT_HEADER = ("Cardamomloft-Answer", "not-kept")

FindEntry = Callable[[str], str | None]
IsCurrent = Callable[[Incarnation], bool]


class Executor:
    """Runs the operations that name this process, and passes others on to theirs.

    Parameters
    ----------
    me
        This process.
    address_of
        Gives the callers' address of a seat, or None.
    is_current
        Tells whether a process is the one that last spoke for its seat.
    on_fault
        Told of exceptions in runs that nobody waits for.
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
        address_of: FindEntry,
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
        self._lease_asked: Deferred[None] | None = None
        self._lease_due = clock.monotonic()
        self.running = 0

    async def handle(
        self, req: Request, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        """Answer a request that is not idempotent and has an operation id."""
        match parse_operation(req.operation or ""):
            case Result(tag="error", error=refusal):
                return self._words(refusal)
            case Result(ok=operation):
                pass
        match await body.collect(OPERATION_BODY):
            case Result(tag="error", error=detail):
                reason = RefusalReason.TOO_LARGE
                if body.failure is not None:
                    reason = RefusalReason.BAD_REQUEST
                return self._words(Refusal(reason, detail))
            case Result(ok=whole):
                req = req._replace(size=len(whole))
        if isinstance(operation, SystemId):
            return await self._handle_system(operation, req, head, whole, gone)
        return await self._handle_own(operation, req, head, whole, gone)

    async def _handle_system(
        self,
        operation: SystemId,
        req: Request,
        head: RequestHead,
        whole: bytes,
        gone: "Deferred[None]",
    ) -> Answer:
        if operation.seat != self._me.seat:
            return await self._pass_on(operation.executor, req, head, whole)
        match self._ids.check(operation):
            case Result(tag="error", error=outcome):
                return self._words(outcome)
            case Result(ok=expires):
                return await self._once(operation.text, req, head, whole, expires, gone)

    async def _handle_own(
        self,
        operation: CallerSuppliedId,
        req: Request,
        head: RequestHead,
        whole: bytes,
        gone: "Deferred[None]",
    ) -> Answer:
        mark = fingerprint(req, whole)
        match self._ledger.lookup(operation.text, mark):
            case Result(tag="error", error=refusal):
                return self._words(refusal)
            case Result(ok=None):
                pass
            case Result(ok=standing):
                return await self._stand(standing, gone)
        match await self._claim(operation, mark):
            case Claimed(expires):
                return await self._once(operation.text, req, head, whole, expires, gone)
            case HeldBy(holder):
                return await self._pass_on(holder, req, head, whole)
            case outcome:
                return self._words(outcome)

    async def _claim(
        self, operation: CallerSuppliedId, mark: str
    ) -> Claimed | HeldBy | Refusal | Unknown:
        if self._claims is None:
            return Refusal(RefusalReason.CLAIM_BUDGET, "ids of callers' own making are turned off")
        await self._have_lease(self._claims)
        match self._claims.start(operation, mark):
            case Result(tag="error", error=outcome):
                return outcome
            case Result(ok=attempt):
                return await self._settle(attempt)

    async def _have_lease(self, claims: Claims) -> None:
        """Create the store lease for claims if a new one is due; whoever comes meanwhile waits."""
        if claims.want_lease() is None:
            return
        if self._lease_asked is None:
            now = self._clock.monotonic()
            if now < self._lease_due:
                return
            self._lease_due = now + LEASE_PAUSE
            asked = ensureDeferred(self._create_lease(claims))
            if asked.called:
                return
            self._lease_asked = asked
            asked.addBoth(self._lease_answered)
        done: Deferred[None] = Deferred()
        self._lease_asked.addBoth(_pass_through, done)
        await done

    async def _check_lease(self, lease: str) -> None:
        """Find out whether a write failed because the store has lost the lease."""
        match await self._store.renew(lease):
            case Result(tag="ok", ok=False):
                self._claims.drop_lease(lease)

    def _lease_answered(self, result: t.Any) -> t.Any:
        self._lease_asked = None
        return result

    async def _create_lease(self, claims: Claims) -> None:
        request = claims.want_lease()
        if request is None:
            return
        match await self._store.create_lease(request.ttl):
            case Result(tag="ok", ok=lease):
                claims.on_lease(request, lease)

    async def _settle(self, attempt: Attempt) -> Claimed | HeldBy | Refusal | Unknown:
        step = attempt.step
        while True:
            match step:
                case CreateClaim(key, value, lease):
                    result = await self._store.acquire(key, value, lease)
                    self._metrics.count("claims.written")
                    if result.is_error():
                        await self._check_lease(lease)
                    step = _after(attempt, result.map(attempt.created))
                case ReadClaim(key):
                    result = await self._store.get(key)
                    step = _after(
                        attempt,
                        result.map(lambda record: attempt.read(record and record.value)),
                    )
                case _:
                    return step

    async def _once(
        self,
        operation: str,
        req: Request,
        head: RequestHead,
        whole: bytes,
        expires: timedelta,
        gone: "Deferred[None]",
    ) -> Answer:
        match self._ledger.begin(operation, fingerprint(req, whole), expires):
            case Result(tag="error", error=outcome):
                return self._words(outcome)
            case Result(ok=Run()):
                told = self._join(operation, gone)
                # The run goes on when the caller leaves: its answer waits for the repeat.
                run = ensureDeferred(self._run(operation, req, head, whole))
                run.addErrback(self._on_fault)
                return self._words(await told)
            case Result(ok=standing):
                return await self._stand(standing, gone)

    async def _run(self, operation: str, req: Request, head: RequestHead, whole: bytes) -> None:
        self.running += 1
        try:
            outcome = await self._forwarder.collect(req, head, whole)
        except Exception:
            self._settle_run(operation, Unknown("the entry failed while it ran the request"))
            raise
        finally:
            self.running -= 1
        self._settle_run(operation, outcome)

    def _settle_run(self, operation: str, outcome: Outcome) -> None:
        match outcome:
            case KeptAnswer() | AnswerNotKept():
                self._ledger.finish(operation, outcome)
            case Unknown():
                self._ledger.unknown(operation, outcome.detail)
            case Refusal():
                self._ledger.not_run(operation, outcome)

    async def _stand(self, standing: Join | Answered | Settled, gone: "Deferred[None]") -> Answer:
        self._metrics.count("repeats")
        match standing:
            case Join(operation):
                return self._words(await self._join(operation, gone))
            case Answered(answer):
                return self._words(answer)
            case Settled(outcome):
                return self._words(outcome)

    def _join(self, operation: str, gone: "Deferred[None]") -> "Deferred[Outcome]":
        told: Deferred[Outcome] = Deferred()
        leave = self._ledger.join(operation, told.callback)

        def left(_: None) -> None:
            leave()
            if not told.called:
                self._metrics.count("caller-left")
                told.callback(Unknown("the caller has left"))

        gone.addCallback(left)
        return told

    def _words(self, outcome: Outcome) -> Answer:
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

    async def _pass_on(
        self, executor: Incarnation, req: Request, head: RequestHead, whole: bytes
    ) -> Answer:
        """Send the request to the only process that may run it, and relay its answer."""
        address = self._address_of(executor.seat)
        passed_before = any(name == FORWARDED_BY_HEADER for name, _ in head.headers)
        if address is None or passed_before or not self._is_current(executor):
            return self._words(Unknown(f"the executor {executor.seat} is not reachable"))
        self._metrics.count("passed-on")
        endpoint = Endpoint(f"entry/{executor.seat}", "", "", "", address, 1, 1)
        left_ms = (req.deadline - self._clock.monotonic()) // timedelta(milliseconds=1)
        kept = tuple(h for h in head.headers if h[0] not in ("host", "content-length"))
        if not any(name == CLIENT_HEADER for name, _ in kept):
            kept = (*kept, (CLIENT_HEADER, head.client))
        headers = (*kept, (FORWARDED_BY_HEADER, self._me.seat))
        request_id = f"{self._me.seat}-{self._me.number}-passed"
        sent = await self._client.send(
            UpstreamRequest(
                endpoint,
                head.method,
                req.path,
                headers,
                whole,
                timedelta(milliseconds=max(1, left_ms)),
                request_id,
            )
        )
        match sent:
            case Result(tag="ok", ok=answer):
                match await answer.body.collect(OPERATION_ANSWER):
                    case Result(tag="ok", ok=content):
                        return Answer(answer.status, end_to_end(answer.headers), content)
        return self._words(Unknown(f"no answer from the executor {executor.seat}"))


def _pass_through(result: t.Any, done: "Deferred[None]") -> t.Any:
    done.callback(None)
    return result


def _after(attempt: Attempt, step: Result[t.Any, t.Any]) -> t.Any:
    match step:
        case Result(tag="ok", ok=following):
            return following
        case Result(error=failure):
            return attempt.failed(failure.ambiguous)
