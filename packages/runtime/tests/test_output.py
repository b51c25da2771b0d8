"""Log output never blocks: lines beyond a bound are dropped and counted."""

import json
import os

import pytest
from cardamomloft.runtime.output import LogOutput


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def _read(reader: int) -> bytes:
    found = b""
    while True:
        try:
            found += os.read(reader, 1 << 16)
        except BlockingIOError:
            return found


def test_lines_arrive_in_order(pipe):
    output = LogOutput(pipe[1])
    for number in range(3):
        output.write(b"%d\n" % number)
        output.flush()
    assert _read(pipe[0]) == b"0\n1\n2\n"


def test_lines_for_a_slow_reader_are_dropped_whole_without_blocking(pipe):
    output = LogOutput(pipe[1], max_pending_bytes=1000)
    line = b"x" * 99 + b"\n"
    for _ in range(2000):
        output.write(line)
        output.flush()
    assert output.dropped_lines > 0
    dropped_lines, received = output.dropped_lines, _read(pipe[0])
    output.flush()
    received += _read(pipe[0])
    output.write(b"after\n")
    output.flush()
    *kept, note, last = (received + _read(pipe[0])).splitlines()
    assert set(kept) == {line.strip()}
    assert json.loads(note)["count"] == dropped_lines == 2000 - len(kept)
    assert last == b"after"


def test_a_closed_reader_raises_no_exception():
    reader, writer = os.pipe()
    os.close(reader)
    output = LogOutput(writer)
    output.write(b"x\n")
    output.flush()
    os.close(writer)
