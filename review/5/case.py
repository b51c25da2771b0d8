"""Reports and documents, pipelined, while endpoints of the reports lose answers; see claim.txt."""

import asyncio
import os
import pathlib
import random
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
    read_body,
    request_bytes,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOST_ALLOWED = 3
"""The rule allows this many requests of sound endpoints that end without an answer."""

LOSING_SHARE, LOST_ANSWERS, LOSING_FOR_S = 0.6, 0.4, 4.0
"""The dose of `answer_lost` with `how = reset` of the site's days."""

TROUBLE_AT_S, TRAFFIC_S = 3.0, 9.0
CLIENTS = 36
REPORT_TIMEOUT_S, REPORT_WORK_S = 3.0, 1.2
DOCUMENT_TIMEOUT_S, DOCUMENT_BYTES = 2.0, 400_000


class Case:
    """The requests, by id, and what became of them."""

    def __init__(self) -> None:
        self.record = Record(HERE / "record.txt")
        self.rng = random.Random(4)
        self.losing: set[str] = set()
        self.trouble = False
        self.last_run: dict[str, tuple[str, bool]] = {}
        self.lost: list[str] = []
        self.answered = 0
        self.number = 0

    async def run_report(self, endpoint, reader, writer, first, headers) -> bool:
        """Work on a report; an endpoint that loses the answer resets the connection after it."""
        await read_body(reader, headers)
        await asyncio.sleep(REPORT_WORK_S)
        loses = self.trouble and endpoint.id in self.losing and self.rng.random() < LOST_ANSWERS
        self.record.write("run", id=headers[ID], endpoint=endpoint.id, answer_lost=loses)
        self.last_run[headers[ID]] = (endpoint.id, not loses)
        if loses:
            writer.transport.abort()
            return False
        writer.write(endpoint.answer(headers, b"r" * 2_000))
        return True

    async def run_document(self, endpoint, reader, writer, first, headers) -> bool:
        """Answer a download."""
        await read_body(reader, headers)
        await asyncio.sleep(0.1)
        self.record.write("run", id=headers[ID], endpoint=endpoint.id, answer_lost=False)
        writer.write(endpoint.answer(headers, b"d" * DOCUMENT_BYTES))
        return True

    async def client(self, gateway: Gateway, until: float) -> None:
        """Send a report and a document behind it, both safe to repeat, on one connection."""
        host, _, port = gateway.listen["front"].rpartition(":")
        reader = writer = None
        while now() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
                answers_here = 0
            self.number += 1
            ids = [f"{kind}-{self.number:05d}" for kind in ("report", "doc")]
            sent_at = now()
            for name, path in zip(ids, ("/reports/today", "/docs/pack"), strict=True):
                fields = {"Host": "shop.example", "X-Cardamomloft-Attempt-Id": name}
                fields["X-Cardamomloft-Deadline-Ms"] = "4000"
                writer.write(request_bytes("GET", path, fields))
                self.record.write("sent", id=name, gateway=gateway.name)
            for name in ids:
                answer = await read_answer(reader)
                took = now() - sent_at
                self.record.write(
                    "answered",
                    id=name,
                    status=answer.status,
                    after_s=round(took, 3),
                    bytes=len(answer.body),
                    error=answer.error,
                )
                if not answer.status:
                    self.check_unanswered(name, took, kept=answers_here > 0)
                    writer.transport.abort()
                    writer = None
                    break
                answers_here += 1
                self.answered += 1
                if answer.headers.get("connection") == "close":
                    writer.close()
                    writer = None
                    break
        if writer is not None:
            writer.close()

    def check_unanswered(self, name: str, took: float, *, kept: bool) -> None:
        """Count a report whose connection ended though a sound endpoint has answered it whole."""
        endpoint, answered = self.last_run.get(name, ("", False))
        in_time = name.startswith("report") and took < REPORT_TIMEOUT_S
        if kept and in_time and answered and endpoint not in self.losing:
            self.lost.append(name)
            self.record.write("lost", id=name, endpoint=endpoint, after_s=round(took, 3))

    async def disturb(self, start: float) -> None:
        """Let the endpoints lose answers for a while."""
        if not TROUBLE:
            return
        await asyncio.sleep(start + TROUBLE_AT_S - now())
        self.trouble = True
        self.record.write("trouble begins", endpoints=sorted(self.losing))
        await asyncio.sleep(LOSING_FOR_S)
        self.trouble = False
        self.record.write("trouble ends")

    async def run(self, folder: pathlib.Path) -> int:
        """Play the case; return the exit code."""
        store = Store()
        await store.start()
        zones = {"north-a": "north", "south-a": "south"}
        gateways = [Gateway(folder, i, store, zone, zones) for i, zone in enumerate(zones)]
        routes = [
            route("reports", "/reports/", "safe", "report-svc", timeout=f"{REPORT_TIMEOUT_S}s"),
            route("docs", "/docs/", "download", "doc-svc", timeout=f"{DOCUMENT_TIMEOUT_S}s"),
        ]
        await store.put("op/config", configuration(1, routes, ["report-svc", "doc-svc"]))
        reports = [f"i-report-{i}" for i in range(10)]
        self.losing = set(reports[: round(LOSING_SHARE * len(reports))])
        for i, name in enumerate(reports):
            zone = list(zones)[i % 2]
            await Endpoint(store, name, "report-svc", zone, 6, self.run_report).start()
            await Endpoint(store, f"i-doc-{i}", "doc-svc", zone, 6, self.run_document).start()
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.ready()
            await asyncio.sleep(2.0)
            start = now()
            clients = [self.client(gateways[i % 2], start + TRAFFIC_S) for i in range(CLIENTS)]
            await asyncio.wait_for(asyncio.gather(self.disturb(start), *clients), 60)
        finally:
            for gateway in gateways:
                gateway.end()
        self.record.write("result", answered=self.answered, lost=len(self.lost))
        print(f"{self.answered} answered, {len(self.lost)} lost at sound endpoints")
        if not self.answered:
            return 2
        return 1 if len(self.lost) > LOST_ALLOWED else 0


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
