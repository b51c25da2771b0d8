"""An answer that is streamed and does not arrive whole is logged with the id of its request."""

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Delivery, RequestHead
from cardamomloft.gateway.outcomes import MAX_BUFFERED_ANSWER_BYTES
from cardamomloft.upstreams.sends import UpstreamAnswer
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Ok
from twisted.internet.defer import Deferred

HEADERS = (("host", "a.example"), ("x-request-id", "id-7"), ("x-object", "17"))


class StreamedBody:
    """A body that the test ends."""

    def __init__(self):
        self.done = Deferred()

    def deliver(self, consumer):
        return self.done

    def abort(self, detail=""):
        if not self.done.called:
            self.done.callback(Delivery(False, 0, "aborted"))


class Run(GatewayHarness):
    """A gateway that has got the head of a long answer; `lines` are the log lines of requests."""

    def __init__(self, monkeypatch):
        super().__init__()
        self.lines, self.body, self.disconnected = [], StreamedBody(), Deferred()
        monkeypatch.setattr(
            "cardamomloft.gateway.records.log", lambda event, **row: self.lines.append(row)
        )
        length = MAX_BUFFERED_ANSWER_BYTES + 1
        self.client.outcomes.clear()
        self.client.outcomes.append(Ok(UpstreamAnswer(200, (), length, False, self.body)))
        head = RequestHead("GET", "/menus/7", "", HEADERS, "10.0.0.9", 0, False)
        answers = []
        self.gateway.handle(head, RequestBody(0, self), self.disconnected).addBoth(answers.append)
        self.delivered = answers[0].body.deliver(None)

    def incomplete(self):
        return [line for line in self.lines if line["outcome"] == "incomplete"]


def test_answer_that_is_cut_short_is_logged(monkeypatch):
    """Guards against requests that are logged as served though their caller got an error."""
    run = Run(monkeypatch)
    run.body.done.callback(Delivery(False, 3, "deadline passed", expired=True))
    (line,) = run.incomplete()
    assert (line["id"], line["detail"], line["received"]) == ("id-7", "deadline passed", 3)
    assert run.delivered.result == Delivery(False, 3, "deadline passed", expired=True)


@pytest.mark.parametrize("leaves", [True, False])
def test_whole_answers_and_those_of_callers_that_left_are_not(monkeypatch, leaves):
    run = Run(monkeypatch)
    if leaves:
        run.disconnected.callback(None)
        run.body.abort()
    else:
        run.body.done.callback(Delivery(True, 9))
    assert not run.incomplete()
