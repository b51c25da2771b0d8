"""The end of a graceful stop: what is in flight finishes, and the shares are handed over."""

import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.timers import Timers

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode

LOOK_EVERY = timedelta(milliseconds=50)
"""How often it is looked whether everything has come to its end."""

CLEAR_PATIENCE = timedelta(seconds=2)
"""How long borrowers have to return what this entry has lent."""


async def close(node: "EntryNode", timers: Timers, clock: Clock) -> None:
    """Finish what is in flight, hand the shares over, close the connections."""
    await node.app.drained()
    while node.executor is not None and (node.executor.running or node.forwarder.lingering):
        await timers.sleep(LOOK_EVERY)
    node.gossip.send(node.shares.hand_over(), None)
    end = clock.monotonic() + CLEAR_PATIENCE
    while not node.shares.is_clear and clock.monotonic() < end:
        await timers.sleep(LOOK_EVERY)
    if node.shares.is_clear and node.seat.recorded:
        noted = await node.seat.note_stop()
        log("handed-over", noted=noted)
    if node.steward is not None:
        await node.steward.release()
    await node.app.disconnect()
    node.life.drained()


def cut_off(node: "EntryNode") -> None:
    """Stop in spite of requests in flight, and say which."""
    if node.life.state() == "stopped":
        return
    flights = node.router.in_flight() if node.router else []
    log(
        "cut-off",
        requests=[f"{d.ticket.req.method} {d.ticket.req.path}" for d in flights],
        endpoints=[d.endpoint.name for d in flights],
    )
    node.life.drained()
