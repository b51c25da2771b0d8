"""A key is taken away by a version that also changes a time-out; see claim.txt."""

import asyncio
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

from parts import (  # noqa: E402
    CONTRACTS,
    ID,
    Endpoint,
    Gateway,
    Record,
    Store,
    ask,
    columns,
    configuration,
    now,
    read_body,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0
"""`revoke` of the settings."""

CHANGE_AT_S, LENGTH_S = 3.0, 16.0
KEYS = {"k-north-1": "north", "k-north-2": "north", "k-south-1": "south"}
TAKEN = "k-north-2"
THIRD_OF_TEN_SECONDS = f"{10_000 / 3}ms"


def version(number: int, keys: dict[str, str], timeout: str) -> dict:
    """Return a version of the configuration in which the tenants hold `keys`."""
    tenants = [
        {
            "name": name,
            "apiKeys": [key for key, holder in keys.items() if holder == name],
            "priority": None,
            "ratePerS": None,
            "burst": None,
            "homeRegions": [],
        }
        for name in ("north", "south")
    ]
    routes = [
        route("read", "/read/", "safe", "read-svc", timeout="2000ms"),
        route("book", "/book/", "unsafe", "book-svc", timeout=timeout),
    ]
    services = ["read-svc", "book-svc"]
    return configuration(number, routes, services, tenants=columns(tenants))


class Case:
    """The requests, and those that ran with a key that was taken away."""

    def __init__(self) -> None:
        self.record = Record(HERE / "record.txt")
        self.taken_at: float | None = None
        self.ran: set[str] = set()
        self.late: list[str] = []
        self.served = 0
        self.number = 0

    async def run_request(self, endpoint, reader, writer, first, headers) -> bool:
        """Run a request."""
        await read_body(reader, headers)
        self.ran.add(headers[ID])
        tenant = headers.get("x-cardamomloft-tenant")
        self.record.write("run", id=headers[ID], endpoint=endpoint.id, tenant=tenant)
        writer.write(endpoint.answer(headers, b"ok"))
        return True

    async def client(self, gateway: Gateway, key: str, until: float) -> None:
        """Send an order every 0.2 s."""
        while now() < until:
            self.number += 1
            name, sent_at = f"order-{self.number:05d}", now()
            headers = {
                "Authorization": f"Bearer {key}",
                "X-Cardamomloft-Attempt-Id": name,
                "X-Cardamomloft-Deadline-Ms": "2000",
            }
            answer = await ask(gateway.listen["front"], "POST", "/book/x", headers, b"order")
            self.served += answer.status == 200
            self.record.write(
                "answered", id=name, gateway=gateway.name, key=key, status=answer.status
            )
            taken = key == TAKEN and self.taken_at is not None
            if taken and sent_at > self.taken_at + REVOKE_S and name in self.ran:
                self.late.append(name)
                after_s = round(sent_at - self.taken_at, 3)
                self.record.write("ran with a key taken away", id=name, sent_after_s=after_s)
            await asyncio.sleep(0.2)

    async def change(self, store: Store, start: float) -> None:
        """Take a key away; with the disruption, the version changes a time-out too."""
        await asyncio.sleep(start + CHANGE_AT_S - now())
        kept = {key: holder for key, holder in KEYS.items() if key != TAKEN}
        timeout = THIRD_OF_TEN_SECONDS if TROUBLE else "3000ms"
        await store.put("op/config", version(5, kept, timeout))
        self.taken_at = now()
        self.record.write("version 5 acknowledged", without=TAKEN, timeout=timeout)

    async def run(self, folder: pathlib.Path) -> int:
        """Play the case; return the exit code."""
        store = Store()
        await store.start()
        zones = {"north-a": "north", "south-a": "south"}
        bounds = {"strictRevocation": True, "revoke": f"{REVOKE_S:g}s"}
        contracts = [*CONTRACTS, "tenants"]
        gateways = [
            Gateway(folder, i, store, zone, zones, bounds, contracts)
            for i, zone in enumerate(zones)
        ]
        await store.put("op/config", version(2, KEYS, "3000ms"))
        for i in range(4):
            zone = list(zones)[i % 2]
            for service in ("read-svc", "book-svc"):
                name = f"i-{service}-{i}"
                await Endpoint(store, name, service, zone, 4, self.run_request).start()
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.ready()
            await asyncio.sleep(2.0)
            start = now()
            clients = [
                self.client(gateway, key, start + LENGTH_S) for gateway in gateways for key in KEYS
            ]
            await asyncio.wait_for(asyncio.gather(self.change(store, start), *clients), 60)
        finally:
            for gateway in gateways:
                gateway.end()
        self.record.write("result", served=self.served, late=len(self.late))
        print(f"{self.served} served, {len(self.late)} ran over {REVOKE_S:g} s after the key went")
        if not self.served:
            return 2
        return 1 if self.late else 0


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
