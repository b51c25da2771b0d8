"""Uploads on kept connections while endpoints crash, one after the other; see claim.txt."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

from parts import (  # noqa: E402
    ID,
    Endpoint,
    Gateway,
    Record,
    Store,
    configuration,
    now,
    read_answer,
    request_bytes,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRASH_SHARE, CRASH_FOR_S = 0.14, 4.5
"""The dose of `srv_crash` of the site."""

CRASHES, FIRST_CRASH_S, CRASH_GAP_S = 8, 3.0, 6.0
TRAFFIC_S = FIRST_CRASH_S + CRASHES * CRASH_GAP_S + 4.0
ENDPOINTS, SLOTS, CLIENTS = 8, 5, 40
BODY_BYTES, READ_S, WORK_S = 12_000_000, 2.8, 0.2
TIMEOUT_S, DEADLINE_S, GIVE_UP_S = 5.0, 6.0, 7.0
LATE_S = 0.5
"""How long after the route's time-out an answer may come."""

MIN_LATE, LATE_SHARE = 8, 0.25
"""The rule is broken by so many requests that are still without an answer then, if they are over
this share of those that were unanswered at the time-out."""


class Case:
    """The uploads, and when they were answered."""

    def __init__(self) -> None:
        self.record = Record(HERE / "record.txt")
        self.answered = 0
        self.unanswered_at_timeout = 0
        self.late: list[str] = []
        self.number = 0
        self.body = os.urandom(BODY_BYTES)

    async def run_upload(self, endpoint, reader, writer, first, headers) -> bool:
        """Read a body in `READ_S`, work, and answer."""
        left, begun = int(headers["content-length"]), now()
        while left:
            data = await reader.read(min(left, 65_536))
            if not data:
                return False
            left -= len(data)
            due = begun + READ_S * (1 - left / BODY_BYTES)
            if due > now() + 0.01:
                await asyncio.sleep(due - now())
        self.record.write("run", id=headers[ID], endpoint=endpoint.id)
        await asyncio.sleep(WORK_S)
        writer.write(endpoint.answer(headers, b"stored"))
        return True

    async def send(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        """Send an upload."""
        head = {**headers, "Content-Length": str(BODY_BYTES)}
        writer.write(request_bytes("POST", "/up/photo", head))
        with contextlib.suppress(ConnectionError):
            for begin in range(0, BODY_BYTES, 262_144):
                writer.write(self.body[begin : begin + 262_144])
                await writer.drain()

    async def client(self, gateway: Gateway, until: float, wait_s: float) -> None:
        """Upload one body after the other on a kept connection, after a first wait."""
        await asyncio.sleep(wait_s)
        host, _, port = gateway.listen["front"].rpartition(":")
        writer = None
        while now() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            self.number += 1
            name, sent_at = f"upload-{self.number:05d}", now()
            headers = {
                "Host": "shop.example",
                "X-Cardamomloft-Attempt-Id": name,
                "X-Cardamomloft-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
            }
            self.record.write("sent", id=name, gateway=gateway.name)
            sending = asyncio.create_task(self.send(writer, headers))
            try:
                answer = await asyncio.wait_for(read_answer(reader), GIVE_UP_S)
                status, error = answer.status, answer.error
            except TimeoutError:
                status, error = 0, "none when the client gave up"
            sending.cancel()
            took = now() - sent_at
            ended_in = round(took, 3)
            self.record.write("answered", id=name, status=status, after_s=ended_in, error=error)
            self.answered += status != 0
            self.unanswered_at_timeout += took > TIMEOUT_S
            if took > TIMEOUT_S + LATE_S:
                self.late.append(name)
            if not status or answer.headers.get("connection") == "close":
                writer.transport.abort()
                writer = None
        if writer is not None:
            writer.transport.abort()

    async def disturb(self, store: Store, endpoints: list[Endpoint], start: float) -> None:
        """Let one endpoint after the other crash; another start of it comes after a while."""
        if not TROUBLE:
            return
        count = int(CRASH_SHARE * len(endpoints))
        for i in range(CRASHES):
            await asyncio.sleep(start + FIRST_CRASH_S + i * CRASH_GAP_S - now())
            crashed = [endpoints.pop(0) for _ in range(count)]
            for endpoint in crashed:
                self.record.write("crash", endpoint=endpoint.id, running=endpoint.running)
                endpoint.crash()
            await asyncio.sleep(CRASH_FOR_S)
            for endpoint in crashed:
                await store.remove(f"servers/{endpoint.id}")
                endpoints.append(await self.start_endpoint(store, f"{endpoint.id}x", endpoint.zone))

    async def start_endpoint(self, store: Store, name: str, zone: str) -> Endpoint:
        """Start one endpoint."""
        endpoint = Endpoint(store, name, "media-svc", zone, SLOTS, self.run_upload)
        await endpoint.start()
        return endpoint

    async def run(self, folder: pathlib.Path) -> int:
        """Play the case; return the exit code."""
        store = Store()
        await store.start()
        zones = {"north-a": "north", "south-a": "south"}
        gateways = [Gateway(folder, i, store, zone, zones) for i, zone in enumerate(zones)]
        routes = [route("up", "/up/", "upload", "media-svc", timeout=f"{TIMEOUT_S}s")]
        await store.put("op/config", configuration(1, routes, ["media-svc"]))
        endpoints = [
            await self.start_endpoint(store, f"i-media-{i}", list(zones)[i % 2])
            for i in range(ENDPOINTS)
        ]
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.ready()
            await asyncio.sleep(2.0)
            start = now()
            clients = [
                self.client(gateways[i % 2], start + TRAFFIC_S, i * (READ_S + WORK_S) / CLIENTS)
                for i in range(CLIENTS)
            ]
            disturbance = self.disturb(store, endpoints, start)
            await asyncio.wait_for(asyncio.gather(disturbance, *clients), 90)
        finally:
            for gateway in gateways:
                gateway.end()
        late, unanswered = len(self.late), self.unanswered_at_timeout
        self.record.write("result", answered=self.answered, unanswered=unanswered, late=late)
        print(f"{self.answered} answered; {unanswered} not at the time-out, {late} not 0.5 s later")
        if not self.answered:
            return 2
        return 1 if late >= MIN_LATE and late > LATE_SHARE * unanswered else 0


def main() -> int:
    """Run the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(Case().run(pathlib.Path(folder)))
        except (OSError, RuntimeError, TimeoutError) as exc:
            print(f"the case could not run: {exc!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
