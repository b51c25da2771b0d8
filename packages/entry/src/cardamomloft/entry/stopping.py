"""The last phase of a stop: finishes requests in flight and hands over the shares."""

import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.timers import Timers

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode

POLL_INTERVAL = timedelta(milliseconds=50)
"""Interval at which the conditions for the next step are checked."""

LOAN_RETURN_TIMEOUT = timedelta(seconds=2)
"""How long to wait until borrowers have returned the loans of this entry."""


async def close(node: "EntryNode", timers: Timers, clock: Clock) -> None:
    """Wait for requests in flight, hand over the shares and close the callers' connections.

    Then wait for bodies that upstreams have answered and that are still being passed on.
    """
    await node.app.drained()
    while node.executor is not None and (
        node.executor.running or node.forwarder.pending_cancellations
    ):
        await timers.sleep(POLL_INTERVAL)
    node.gossip.send(node.shares.hand_over(), None)
    deadline = clock.monotonic() + LOAN_RETURN_TIMEOUT
    while not node.shares.is_clear and clock.monotonic() < deadline:
        await timers.sleep(POLL_INTERVAL)
    if node.shares.is_clear and node.seat.recorded:
        stop_recorded = await node.seat.record_stop()
        log("handed-over", noted=stop_recorded)
    if node.steward is not None:
        await node.steward.release()
    await node.app.disconnect()
    await node.client.passed_on()
    node.lifecycle.drained()


def force_stop(node: "EntryNode") -> None:
    """Stop despite requests in flight, and log them."""
    if node.lifecycle.state() == "stopped":
        return
    dispatches = node.router.in_flight() if node.router else []
    log(
        "cut-off",
        requests=[f"{d.ticket.req.method} {d.ticket.req.path}" for d in dispatches],
        endpoints=[d.endpoint.name for d in dispatches],
    )
    node.lifecycle.drained()
