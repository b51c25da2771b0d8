"""Status requests to entries over real connections."""

import json

from cardamomloft.operators.fleet import HttpFleet
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.trial.unittest import TestCase
from twisted.web.server import Site


class StatusPage:
    app = Klein()

    def __init__(self, code, body):
        self.code = code
        self.body = body

    @app.route("/status")
    def status(self, request):
        request.setResponseCode(self.code)
        return self.body


class FleetTest(TestCase):
    def setUp(self):
        self.fleet = HttpFleet(reactor)
        self.addCleanup(self.fleet.close)

    def serve(self, code, body):
        port = reactor.listenTCP(
            0, Site(StatusPage(code, body).app.resource()), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}", port

    def test_answers_are_decoded_and_everything_else_is_an_error(self):
        return ensureDeferred(self._check())

    async def _check(self):
        good, _ = self.serve(200, json.dumps({"seat": "e1"}).encode())
        busy, _ = self.serve(503, b"{}")
        junk, _ = self.serve(200, b"<html>")
        closed, port = self.serve(200, b"{}")
        await port.stopListening()
        self.assertEqual((await self.fleet.status(good)).ok, {"seat": "e1"})
        self.assertEqual((await self.fleet.status(busy)).error, "answered 503")
        self.assertIn("not JSON", (await self.fleet.status(junk)).error)
        self.assertIn("unreachable", (await self.fleet.status(closed)).error)
