"""A gateway's forwarder with a fake upstream client, on a manual clock."""

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import RequestReader
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.records import RequestLog
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.sends import SendFailure
from expression import Error
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from cardamomloft_standins import gateway as kit

MS = kit.MS
SHED = kit.answer(503, b"", not_run=True)
MISDIRECTED = kit.answer(421, b"", not_run=True)
NOT_CONNECTED = Error(SendFailure(True, "refused"))
RESET = Error(SendFailure(False, "reset"))
CRASH = Error(SendFailure(False, "closed", cut=True))
CUT_SHORT = kit.answer(200, "cut short after 3 bytes")


class ForwarderHarness:
    """A forwarder whose upstream answers are set by the test.

    Parameters
    ----------
    outcomes
        Outcomes of the sends in order; the last one is repeated.
    slack
        Slack of the retry budget.
    endpoints
        Number of registered endpoints.
    """

    def __init__(self, *outcomes, slack=1000.0, endpoints=4) -> None:
        self.time = kit.Time(Clock())
        self.client = kit.FakeClient(*outcomes)
        self.table = UpstreamTable({"a": "east"})
        for number in range(endpoints):
            self.table.register(kit.registration(number), 0 * MS)
        self.selector = Selector(self.table, "e-0", "a", ColdLimit(1.5, 5), Preferences())
        self.metrics = Metrics()
        budget = RetryBudget(0.0, slack, 10_000 * MS)
        self.forwarder = Forwarder(
            self.time.reactor,
            self.time.clock,
            kit.rng(),
            self.selector,
            self.table,
            self.client,
            lambda service: budget,
            self.metrics,
            RequestLog(lambda: 1),
            NoticeHandler(self.time.clock, self.table, self.selector.rate_limits, self.metrics),
        )

    def start(self, path="/menus/7", body=b"", whole=True, caller="app/1", address="10.0.0.9"):
        """Forward a request; return a Deferred of its answer."""
        headers = (
            ("host", "a.example"),
            ("x-request-id", "id-1"),
            ("x-object", "17"),
            ("user-agent", caller),
        )
        head = RequestHead("GET", path, "", headers, address, len(body), False)
        call = RequestReader(kit.plan(), kit.HEADERS, kit.rng()).read(
            head, self.time.clock.monotonic()
        )
        request_body = RequestBody(len(body), self)
        if body:
            request_body.data_received(body if whole else body[:1])
            if whole:
                request_body.end()
        self.gone = Deferred()
        return ensureDeferred(self.forwarder.forward(call, head, request_body, self.gone))

    def answer(self, *args, **kwargs):
        """Forward a request and return its answer, which must be available at once."""
        deferred = self.start(*args, **kwargs)
        result = []
        deferred.addBoth(result.append)
        assert result
        return result[0]

    def pause_body(self):
        """Do nothing: bodies are in memory."""

    def resume_body(self):
        """Do nothing: bodies are in memory."""


def header(answer, name):
    """Return the value of the answer's header `name` (lower case), or None."""
    return next((value for key, value in answer.headers if key.lower() == name), None)
