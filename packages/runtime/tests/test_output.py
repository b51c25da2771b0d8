"""Log output never blocks: lines beyond a bound are left out and counted."""

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


def test_a_reader_that_is_behind_costs_whole_lines_and_never_time(pipe):
    output = LogOutput(pipe[1], pending_bytes=1000)
    line = b"x" * 99 + b"\n"
    for _ in range(2000):
        output.write(line)
        output.flush()
    assert output.left_out > 0
    left_out, taken = output.left_out, _read(pipe[0])
    output.flush()
    taken += _read(pipe[0])
    output.write(b"after\n")
    output.flush()
    *whole, note, last = (taken + _read(pipe[0])).splitlines()
    assert set(whole) == {line.strip()}
    assert json.loads(note)["count"] == left_out == 2000 - len(whole)
    assert last == b"after"


def test_a_reader_that_has_gone_is_no_fault():
    reader, writer = os.pipe()
    os.close(reader)
    output = LogOutput(writer)
    output.write(b"x\n")
    output.flush()
    os.close(writer)
