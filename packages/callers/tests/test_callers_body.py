"""Back-pressure, truncation and size limits of request bodies."""

import pytest
from cardamomloft.callers.body import HIGH_WATER, BodyIncomplete, RequestBody


class Flow:
    def __init__(self):
        self.paused = False

    def pause_body(self):
        self.paused = True

    def resume_body(self):
        self.paused = False


class SlowConsumer:
    """Pauses the producer after every write, like a full socket buffer."""

    def __init__(self, body):
        self.body = body
        self.data = b""

    def write(self, data):
        self.data += data
        self.body.pauseProducing()


def test_slow_consumer_bounds_buffer_and_gets_all_bytes_in_order():
    flow = Flow()
    body = RequestBody(None, flow)
    consumer = SlowConsumer(body)
    done = body.startProducing(consumer)
    sent = b""
    for number in range(100):
        chunk = bytes([number]) * HIGH_WATER
        body.data_received(chunk)
        sent += chunk
        while flow.paused:
            body.resumeProducing()
    body.end()
    assert consumer.data == sent
    assert done.called
    assert body.max_buffered <= HIGH_WATER


def test_reading_pauses_at_the_high_water_mark_without_a_consumer():
    flow = Flow()
    body = RequestBody(10 * HIGH_WATER, flow)
    body.data_received(b"x" * (HIGH_WATER - 1))
    assert not flow.paused
    body.data_received(b"x")
    assert flow.paused and body.unconsumed


def test_paused_consumer_is_notified_of_a_truncated_body():
    body = RequestBody(100, Flow())
    done = body.startProducing(SlowConsumer(body))
    body.data_received(b"x" * 10)
    body.data_received(b"x" * 10)
    body.fail("connection lost after 20 bytes of the body")
    errors = []
    done.addErrback(errors.append)
    assert errors[0].check(BodyIncomplete) and "20 bytes" in str(errors[0].value)


@pytest.mark.parametrize("announced", [11, None])
def test_collect_rejects_a_body_above_its_limit(announced):
    body = RequestBody(announced, Flow())
    results = []
    body.collect(10).addCallback(results.append)
    body.data_received(b"x" * 11)
    assert results[0].is_error()
    assert body.unconsumed == (announced is not None)


def test_collect_returns_the_whole_body_or_a_truncation_error():
    results = []
    whole, short = RequestBody(4, Flow()), RequestBody(4, Flow())
    for body in (whole, short):
        body.collect(10).addCallback(results.append)
        body.data_received(b"ab")
    whole.data_received(b"cd")
    whole.end()
    short.fail("connection lost after 2 bytes of the body")
    assert results[0].ok == b"abcd"
    assert "after 2 bytes" in results[1].error
    with pytest.raises(RuntimeError):
        whole.collect(10)


def held(body, limit):
    results = []
    body.hold(limit).addCallback(results.append)
    return results


@pytest.mark.parametrize("before", [0, 2, 4])
def test_held_body_is_returned_whole(before):
    body = RequestBody(None, Flow())
    body.data_received(b"abcd"[:before])
    results = held(body, 4)
    body.data_received(b"abcd"[before:])
    assert not results
    body.end()
    assert results[0].ok == b"abcd"
    assert not body.unconsumed


@pytest.mark.parametrize("late", [False, True])
def test_body_above_the_limit_of_holding_can_be_streamed(late):
    """Guards against the refusal of large bodies in chunks."""
    flow = Flow()
    body, size = RequestBody(None, flow), 3 * HIGH_WATER
    results = held(body, size)
    body.data_received(b"x" * size)
    assert not results and not flow.paused
    if not late:
        body.data_received(b"y")
        assert flow.paused
    else:
        body.data_received(b"y" * 5)
    assert results[0].ok is None
    assert body.unconsumed
    consumer = SlowConsumer(body)
    done = body.startProducing(consumer)
    while not flow.paused and body.received < size:
        body.resumeProducing()
    body.resumeProducing()
    body.end()
    body.resumeProducing()
    assert done.called
    assert len(consumer.data) == body.received


def test_held_body_is_full_at_once_if_more_than_the_limit_has_arrived():
    body = RequestBody(None, Flow())
    body.data_received(b"abc")
    assert held(body, 2)[0].ok is None
    assert body.unconsumed


@pytest.mark.parametrize("is_held", [True, False])
def test_body_beyond_its_maximum_size_stays_incomplete(is_held):
    body = RequestBody(None, Flow())
    body.max_size = 10
    results = held(body, 100) if is_held else []
    errors = []
    if not is_held:
        body.startProducing(SlowConsumer(body)).addErrback(errors.append)
    body.data_received(b"x" * 10)
    assert not body.is_too_large
    body.data_received(b"x")
    assert body.is_too_large
    assert "limit of 10 bytes" in (results[0].error if is_held else str(errors[0].value))
