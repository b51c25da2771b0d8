"""Slopes of the ledger: bytes and time against the operations held."""

from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import KeptAnswer, Ledger
from slopes_fit import Series, cpu_ms, held_bytes

_SIZES = (2_500, 5_000, 10_000, 20_000)
_QUICK_SIZES = (250, 500, 1_000, 2_000)
_ANSWER_BYTES = 500
_ROOM = 1 << 40


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield every series of the ledger."""
    memory, begin = [], []
    for size in _QUICK_SIZES if quick else _SIZES:
        memory.append((size, held_bytes(lambda n=size: _filled(n))))
        begin.append((size, cpu_ms(lambda n=size: _filled(n))))
    yield Series("ledger.memory", "operations held", "bytes", tuple(memory))
    yield Series("ledger.fill", "operations held", "ms", tuple(begin))


def _filled(count: int) -> Ledger:
    ledger = Ledger(ManualClock(), max_operations=count, max_bytes=_ROOM)
    for at in range(count):
        operation = f"entry-r0-z0-1.{at:016x}.{at:040x}"
        ledger.begin(operation, f"{at:064x}", timedelta(minutes=15))
        body = f"{at:0{_ANSWER_BYTES}}".encode()
        ledger.finish(operation, KeptAnswer(200, (("content-type", "text/plain"),), body))
    return ledger
