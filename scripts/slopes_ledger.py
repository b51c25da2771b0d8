"""Memory and fill time of the ledger by the number of operations held."""

from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import KeptAnswer, Ledger
from slopes_fit import Series, cpu_ms, retained_bytes

_SIZES = (2_500, 5_000, 10_000, 20_000)
_QUICK_SIZES = (250, 500, 1_000, 2_000)
_ANSWER_BYTES = 500
_MAX_BYTES = 1 << 40


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the ledger."""
    memory, begin = [], []
    for size in _QUICK_SIZES if quick else _SIZES:
        memory.append((size, retained_bytes(lambda n=size: _make_ledger(n))))
        begin.append((size, cpu_ms(lambda n=size: _make_ledger(n))))
    yield Series("ledger.memory", "operations held", "bytes", tuple(memory))
    yield Series("ledger.fill", "operations held", "ms", tuple(begin))


def _make_ledger(count: int) -> Ledger:
    ledger = Ledger(ManualClock(), max_operations=count, max_bytes=_MAX_BYTES)
    for index in range(count):
        operation = f"entry-r0-z0-1.{index:016x}.{index:040x}"
        ledger.begin(operation, f"{index:064x}", timedelta(minutes=15))
        body = f"{index:0{_ANSWER_BYTES}}".encode()
        ledger.finish(operation, KeptAnswer(200, (("content-type", "text/plain"),), body))
    return ledger
