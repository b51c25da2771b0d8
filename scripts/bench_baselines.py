"""The plain ways that figures are compared with: a forwarder without the system's decisions.

Run as a process with a settings file. Three modes:

- ``pass``: klein to treq, one endpoint after the other, nothing else.
- ``queue``: the same, but each process owns fixed slots and queues without a bound: no admission.
- ``static``: fixed slots and a queue that refuses what cannot finish by its deadline. This is the
  static division of slots by entry, without loans, steering or priorities.
"""

import itertools
import json
import sys
import time
import typing as t
from collections import deque

import treq
from bench_kit import Plan
from fleet import Fleet, wait_until
from klein import Klein
from twisted.internet import defer, reactor
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IRequest
from twisted.web.server import Site

_PASSED = (b"x-work-ms", b"x-answer-bytes", b"idempotency-key")


class Settings(t.TypedDict):
    """One baseline process; `slots` names an endpoint for every slot that it owns."""

    listen: str
    mode: t.Literal["pass", "queue", "static"]
    slots: list[str]
    work_ms: float


class Forwarder:
    """A bare forwarder."""

    app = Klein()

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._free = deque(cfg["slots"])
        self._turns = itertools.cycle(cfg["slots"])
        self._waiting: deque[defer.Deferred[str]] = deque()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        self._agent = Agent(reactor, connectTimeout=1.0, pool=pool)

    @app.route("/", branch=True)
    async def forward(self, request: IRequest) -> bytes:
        """Forward one request."""
        if self._cfg["mode"] == "pass":
            return await self._send(request, next(self._turns))
        deadline = time.monotonic() + float(request.getHeader("x-deadline-ms") or 1e6) / 1000
        if self._cfg["mode"] == "static" and not self._fits(deadline):
            return _refuse(request)
        address = await self._take()
        try:
            if self._cfg["mode"] == "static" and self._left(deadline) < 0:
                return _refuse(request)
            return await self._send(request, address)
        finally:
            self._give(address)

    def _left(self, deadline: float) -> float:
        return deadline - time.monotonic() - self._cfg["work_ms"] / 1000

    def _fits(self, deadline: float) -> bool:
        rounds = (len(self._waiting) + 1) / len(self._cfg["slots"]) if not self._free else 0
        return self._left(deadline) >= rounds * self._cfg["work_ms"] / 1000

    async def _take(self) -> str:
        if self._free:
            return self._free.popleft()
        turn: defer.Deferred[str] = defer.Deferred()
        self._waiting.append(turn)
        return await turn

    def _give(self, address: str) -> None:
        if self._waiting:
            self._waiting.popleft().callback(address)
        else:
            self._free.append(address)

    async def _send(self, request: IRequest, address: str) -> bytes:
        headers = {name: request.getHeader(name) for name in _PASSED if request.getHeader(name)}
        resp = await treq.request(
            request.method.decode(),
            f"http://{address}{request.uri.decode()}",
            headers=headers,
            data=request.content.read() or None,
            agent=self._agent,
        )
        body = await resp.content()
        request.setResponseCode(resp.code)
        outcome = "complete" if resp.code == 200 else "refused"
        request.setHeader("Cardamomloft-Outcome", outcome)
        return body


def _refuse(request: IRequest) -> bytes:
    request.setResponseCode(503)
    request.setHeader("Cardamomloft-Outcome", "refused")
    return b""


def start_baselines(
    fleet: Fleet, plan: Plan, mode: str, work_ms: float, count: int | None = None
) -> list[str]:
    """Start as many baseline processes as there are entries; return their addresses.

    Slots are dealt out in turn, so that each process has its equal part of them.
    """
    count = count or plan.entries
    addresses = [row["address"] for row in fleet.upstream_rows() for _ in range(plan.slots)]
    listens = [f"127.1.{plan.number}.{100 + at}:8080" for at in range(count)]
    for at, listen in enumerate(listens):
        path = fleet.folder / f"{mode}-{at}.json"
        cfg = {"listen": listen, "mode": mode, "slots": addresses[at::count], "work_ms": work_ms}
        path.write_text(json.dumps(cfg))
        fleet.start(f"{mode}-{at}", [sys.executable, __file__, str(path)])
    for at in range(count):
        proc = fleet.processes[f"{mode}-{at}"]
        wait_until(proc.name, lambda proc=proc: "listening" in proc.lines())
    return listens


def stop_baselines(fleet: Fleet, mode: str) -> None:
    """End the baseline processes of one mode."""
    names = [n for n in fleet.processes if n.removeprefix(f"{mode}-").isdecimal()]
    fleet.end(names)


def main() -> None:
    """Run one baseline process."""
    with open(sys.argv[1], encoding="utf-8") as file:
        cfg: Settings = json.load(file)
    host, _, port = cfg["listen"].rpartition(":")
    site = Site(Forwarder(cfg).app.resource())
    site.log = lambda request: None
    reactor.listenTCP(int(port), site, interface=host)
    print("listening", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
