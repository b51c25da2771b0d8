"""Forwards calls to upstream endpoints, or refuses them with a retry-after time."""

from datetime import timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, Delivery, RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.gateway.calls import Call, Origin
from cardamomloft.gateway.requestcontext import RequestContext
from cardamomloft.gateway.requestrun import CallerState, RequestRun
from cardamomloft.gateway.streamedanswers import report_incomplete
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, TimeoutError, ensureDeferred

MAX_BUFFERED_BODY_BYTES = 1024 * 1024
"""Request bodies up to this size are buffered, so that they can be sent again after a refusal."""


class Forwarder(RequestContext):
    """Forwards the requests of one gateway."""

    async def forward(
        self,
        call: Call,
        head: RequestHead,
        body: RequestBody,
        disconnected: "Deferred[None]",
        origin: Origin | None = None,
    ) -> Answer:
        """Return the answer to a call; if the caller disconnects, cancel the attempt.

        `origin` is the gateway that has sent the request through this one, None for callers.
        """
        caller = CallerState()
        attempt = ensureDeferred(self._forward(call, head, body, caller, origin))

        def on_disconnect(_: None) -> None:
            caller.disconnected = True
            attempt.cancel()

        disconnected.addCallback(on_disconnect)

        def on_incomplete(delivery: Delivery) -> None:
            if not caller.disconnected:
                now = self.clock.monotonic()
                detail, received = delivery.detail, delivery.received
                self.records.write(call, "incomplete", now, detail=detail, received=received)

        try:
            return report_incomplete(await attempt, on_incomplete)
        except CancelledError:
            if not caller.disconnected:
                raise
            return self.record_caller_left(call, ())

    async def _forward(
        self,
        call: Call,
        head: RequestHead,
        body: RequestBody,
        caller: CallerState,
        origin: Origin | None,
    ) -> Answer:
        body.max_size = call.max_body_bytes
        payload = await self._payload(body, call.deadline)
        if isinstance(payload, Refusal):
            self.records.write(call, "refused", self.clock.monotonic(), detail=payload.detail)
            if origin is None:
                self.on_not_run(call)
            return self.refuse(payload)
        size = len(payload) if isinstance(payload, bytes) else payload.announced_size
        self.selector.body_sizes.record(call.rule.name, size)
        return await RequestRun(self, call, head, payload, caller, origin).run()

    async def _payload(
        self, body: RequestBody, deadline: timedelta
    ) -> bytes | RequestBody | Refusal:
        """Buffer the body so that it can be sent again; a very large one is streamed instead."""
        if body.length == 0:
            return b""
        if isinstance(body.length, int) and body.length > MAX_BUFFERED_BODY_BYTES:
            return body
        held = body.hold(MAX_BUFFERED_BODY_BYTES)
        time_left = max(timedelta(0), deadline - self.clock.monotonic())
        held.addTimeout(time_left.total_seconds(), self.reactor)
        try:
            outcome = await held
        except TimeoutError:
            return Refusal(
                RefusalReason.DEADLINE,
                f"only {body.received} bytes of the body were received by the deadline",
            )
        match outcome:
            case Result(tag="ok", ok=content):
                return body if content is None else content
            case Result(error=detail):
                reason = RefusalReason.BAD_REQUEST
                if body.is_too_large:
                    reason = RefusalReason.TOO_LARGE
                return Refusal(reason, detail)
