"""Baselines of the benchmarks: a forwarder without steering, loans or priorities.

Run as a process with a settings file. Three modes:

- ``pass``: forward with klein and treq, round robin over the endpoints.
- ``queue``: each process owns a fixed set of slots and an unbounded queue; no admission control.
- ``static``: like ``queue``, but with admission control: refuse requests that can't finish by their
  deadline.
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

_FORWARDED_HEADERS = (b"x-work-ms", b"x-answer-bytes", b"idempotency-key")


class Settings(t.TypedDict):
    """Settings of a baseline process; `slots` lists the endpoint's address of each owned slot."""

    listen: str
    mode: t.Literal["pass", "queue", "static"]
    slots: list[str]
    work_ms: float


class Forwarder:
    """Forwards the requests of one baseline process, or refuses them, according to its mode."""

    app = Klein()

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._free_slots = deque(cfg["slots"])
        self._endpoint_cycle = itertools.cycle(cfg["slots"])
        self._waiting: deque[defer.Deferred[str]] = deque()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        self._agent = Agent(reactor, connectTimeout=1.0, pool=pool)

    @app.route("/", branch=True)
    async def forward(self, request: IRequest) -> bytes:
        """Forward or refuse one request according to the mode."""
        if self._cfg["mode"] == "pass":
            return await self._send(request, next(self._endpoint_cycle))
        deadline = time.monotonic() + float(request.getHeader("x-deadline-ms") or 1e6) / 1000
        if self._cfg["mode"] == "static" and not self._meets_deadline(deadline):
            return _refuse(request)
        address = await self._acquire_slot()
        try:
            if self._cfg["mode"] == "static" and self._slack_s(deadline) < 0:
                return _refuse(request)
            return await self._send(request, address)
        finally:
            self._release_slot(address)

    def _slack_s(self, deadline: float) -> float:
        return deadline - time.monotonic() - self._cfg["work_ms"] / 1000

    def _meets_deadline(self, deadline: float) -> bool:
        queued_rounds = (
            (len(self._waiting) + 1) / len(self._cfg["slots"]) if not self._free_slots else 0
        )
        return self._slack_s(deadline) >= queued_rounds * self._cfg["work_ms"] / 1000

    async def _acquire_slot(self) -> str:
        if self._free_slots:
            return self._free_slots.popleft()
        slot: defer.Deferred[str] = defer.Deferred()
        self._waiting.append(slot)
        return await slot

    def _release_slot(self, address: str) -> None:
        if self._waiting:
            self._waiting.popleft().callback(address)
        else:
            self._free_slots.append(address)

    async def _send(self, request: IRequest, address: str) -> bytes:
        headers = {
            name: request.getHeader(name) for name in _FORWARDED_HEADERS if request.getHeader(name)
        }
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
    """Start baseline processes, by default one per entry; return their addresses.

    Slots are assigned round robin, so that each process owns an equal share.
    """
    count = count or plan.entries
    addresses = [row["address"] for row in fleet.upstream_rows() for _ in range(plan.slots)]
    listen_addresses = [f"127.1.{plan.number}.{100 + index}:8080" for index in range(count)]
    for index, listen in enumerate(listen_addresses):
        path = fleet.folder / f"{mode}-{index}.json"
        cfg = {"listen": listen, "mode": mode, "slots": addresses[index::count], "work_ms": work_ms}
        path.write_text(json.dumps(cfg))
        fleet.start(f"{mode}-{index}", [sys.executable, __file__, str(path)])
    for index in range(count):
        proc = fleet.processes[f"{mode}-{index}"]
        wait_until(proc.name, lambda proc=proc: "listening" in proc.lines())
    return listen_addresses


def stop_baselines(fleet: Fleet, mode: str) -> None:
    """Stop all baseline processes of a mode."""
    names = [n for n in fleet.processes if n.removeprefix(f"{mode}-").isdecimal()]
    fleet.end(names)


def main() -> None:
    """Serve as a baseline process with the settings file given on the command line."""
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
