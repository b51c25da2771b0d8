"""The VM list client against the stand-in list, with lag and outages."""

import json

from cardamomloft.store.vms import HttpVmList
from cardamomloft_standins.listener import Listener
from cardamomloft_standins.vms import Vms
from expression import Ok
from twisted.internet import reactor, task
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent
from twisted.web.server import Site

AT = "2026-01-01T00:00:00+00:00"


class HttpVmListTest(TestCase):
    """Uses real sockets; the list's lag and the client's timeout follow `self.clock`."""

    timeout = 20

    def setUp(self):
        self.clock = task.Clock()
        self.standin = Vms(self.clock)
        self.listener = Listener(reactor, "127.0.0.1:0", Site(self.standin.app.resource()))
        self.listener.open()
        self.vms = HttpVmList(self.clock, self.listener.address, agent=Agent(reactor))

    async def tearDown(self):
        await self.listener.close()
        while self.listener.connections.protocols:
            await task.deferLater(reactor, 0)

    async def put(self, path, content):
        timeout = self.vms._timeout
        body = json.dumps(content).encode()
        sent = await self.vms._exchange.call("PUT", path, timeout=timeout, body=body)
        self.assertEqual(sent.ok.status, 200)

    async def states(self):
        return [(row.name, row.state) for row in (await self.vms.fetch()).ok]

    async def test_changed_rows_appear_after_the_lag(self):
        await self.put("/v1/vms", [{"name": "e1", "state": "live", "at": AT}])
        self.assertEqual(await self.states(), [("e1", "live")])
        await self.put("/control", {"lag_ms": 5000})
        self.clock.advance(10)
        await self.put("/v1/vms", [{"name": "e1", "state": "gone"}])
        self.clock.advance(4.9)
        self.assertEqual(await self.states(), [("e1", "live")])
        self.clock.advance(0.2)
        self.assertEqual(await self.states(), [("e1", "gone")])

    async def test_outage_is_an_error_instead_of_an_empty_list(self):
        await self.put("/v1/vms", [])
        self.assertEqual(await self.vms.fetch(), Ok([]))
        await self.put("/control", {"down": True})
        waiting = self.vms.fetch()
        while self.standin._calls < 2:
            await task.deferLater(reactor, 0)
        self.clock.advance(2)
        self.assertTrue((await waiting).is_error())
        await self.listener.close()
        self.assertIn("ConnectionRefused", (await self.vms.fetch()).error)
        self.assertEqual(self.vms.calls, {"sent": 3, "failed": 2})
