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
    """Asks for a pause after every write, as a full socket buffer does."""

    def __init__(self, body):
        self.body = body
        self.data = b""

    def write(self, data):
        self.data += data
        self.body.pauseProducing()


def test_a_slow_consumer_bounds_what_is_held_and_gets_every_byte_in_order():
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
    assert body.most_buffered <= HIGH_WATER


def test_bytes_wait_for_a_consumer_only_up_to_the_high_water_mark():
    flow = Flow()
    body = RequestBody(10 * HIGH_WATER, flow)
    body.data_received(b"x" * (HIGH_WATER - 1))
    assert not flow.paused
    body.data_received(b"x")
    assert flow.paused and body.unconsumed


def test_a_consumer_learns_that_the_caller_broke_off_even_while_it_is_paused():
    body = RequestBody(100, Flow())
    done = body.startProducing(SlowConsumer(body))
    body.data_received(b"x" * 10)
    body.data_received(b"x" * 10)
    body.fail("connection lost after 20 bytes of the body")
    errors = []
    done.addErrback(errors.append)
    assert errors[0].check(BodyIncomplete) and "20 bytes" in str(errors[0].value)


@pytest.mark.parametrize("announced", [11, None])
def test_collect_refuses_more_than_its_limit(announced):
    body = RequestBody(announced, Flow())
    results = []
    body.collect(10).addCallback(results.append)
    body.data_received(b"x" * 11)
    assert results[0].is_error()
    assert body.unconsumed == (announced is not None)


def test_collect_returns_the_whole_body_or_says_what_is_missing():
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
