"""Load generator: looks up entries, sends a seeded mix of requests and reports the outcomes.

One process simulates many callers. Arrivals are open-loop: they are drawn from a seeded generator,
independently of the answers. For each kind of request, the report holds counts by outcome and exact
latencies. For orders it also holds the operation ids, which scripts compare with the statistics of
the upstream stand-ins.
"""

import json
import random
import time
import typing as t
import uuid
from collections import Counter, defaultdict

import treq
from cardamomloft.runtime.answers.connections import AnswerPool
from twisted.internet import defer, reactor, task
from twisted.web.client import Agent

_LOOKUP_TTL_S = 1.0
_MAX_ATTEMPTS = 4


class MixRow(t.TypedDict, total=False):
    """One kind of request, at `rate` per second.

    The fraction `repeat` of the completed orders is sent a second time under the same id.
    """

    name: str
    method: str
    path: str
    rate: float
    client: str
    deadline_ms: int
    work_ms: float
    answer_bytes: int
    body_bytes: int
    operation: str
    repeat: float
    priority: str


class LoadSettings(t.TypedDict, total=False):
    """Settings of a load process; `entries` are the initial addresses of the entries.

    With `direct`, callers skip the look-up and send each request to a random address. With `plain`
    the addresses are those of upstreams, whose answers carry no outcome header.
    """

    direct: bool
    plain: bool
    entries: list[str]
    seed: int
    duration_s: float
    grace_s: float
    mix: list[MixRow]
    fixed_entry: bool


class Report:
    """Counts by kind and outcome, latencies in seconds, and the outcomes of each order."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Counter[str]] = defaultdict(Counter)
        self.reasons: Counter[str] = Counter()
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.in_time: Counter[str] = Counter()
        self.orders: dict[str, list[str]] = defaultdict(list)
        self.wrong_answers = 0
        self.by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.in_time_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.outcomes_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.endpoints_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.sent_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.tries: dict[str, list[str]] = defaultdict(list)
        self.started_at = 0.0
        self.refused_late_ms: list[float] = []
        self.last_errors: list[str] = []

    def to_json(self) -> dict[str, t.Any]:
        """Return the report as a JSON-serializable document."""
        return {
            "outcomes": {name: dict(rows) for name, rows in self.outcomes.items()},
            "reasons": dict(self.reasons),
            "latencies": {name: sorted(rows) for name, rows in self.latencies.items()},
            "in_time": dict(self.in_time),
            "orders": dict(self.orders),
            "wrong_answers": self.wrong_answers,
            "by_second": {name: dict(rows) for name, rows in self.by_second.items()},
            "in_time_by_second": {name: dict(r) for name, r in self.in_time_by_second.items()},
            "outcomes_by_second": {name: dict(r) for name, r in self.outcomes_by_second.items()},
            "endpoints_by_second": {n: dict(r) for n, r in self.endpoints_by_second.items()},
            "sent_by_second": {name: dict(r) for name, r in self.sent_by_second.items()},
            "tries": dict(self.tries),
            "started_at": self.started_at,
            "last_errors": self.last_errors[-20:],
        }


class Load:
    """Generates the load and fills a :class:`Report`."""

    def __init__(self, cfg: LoadSettings) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.get("seed", 1))
        self._pool = AnswerPool(reactor, max_idle=64)
        self._agent = Agent(reactor, connectTimeout=1.0, pool=self._pool)
        self._lookups: dict[str, tuple[float, dict[str, t.Any]]] = {}
        self._unavailable_until: dict[str, float] = {}
        self._in_flight: set[defer.Deferred[None]] = set()
        self.report = Report()
        self._start = 0.0

    async def run(self) -> None:
        """Send requests for the configured duration, then wait for those in flight."""
        self._start = time.monotonic()
        self.report.started_at = time.time()
        senders = [defer.ensureDeferred(self._send_stream(row)) for row in self._cfg["mix"]]
        await defer.gatherResults(senders)
        if self._in_flight:
            in_flight = defer.gatherResults(list(self._in_flight), consumeErrors=True)
            in_flight.addTimeout(self._cfg.get("grace_s", 15.0), reactor)
            await in_flight.addErrback(lambda _: None)

    async def _send_stream(self, row: MixRow) -> None:
        due = time.monotonic()
        end = due + self._cfg["duration_s"]
        while (due := due + self._rng.expovariate(row["rate"])) < end:
            await task.deferLater(reactor, max(0.0, due - time.monotonic()), lambda: None)
            sent = defer.ensureDeferred(self._run_request(row))
            self._in_flight.add(sent)
            sent.addBoth(lambda _, sent=sent: self._in_flight.discard(sent))

    async def _run_request(self, row: MixRow) -> None:
        start = time.monotonic()
        outcome = "error"
        try:
            outcome = await self._send_with_retries(row)
        except Exception as exc:
            self.report.last_errors.append(f"{row['name']}: {type(exc).__name__}: {exc}"[:300])
        elapsed = time.monotonic() - start
        second = int(time.monotonic() - self._start)
        self.report.outcomes[row["name"]][outcome] += 1
        self.report.outcomes_by_second[f"{row['name']}:{outcome}"][second] += 1
        if outcome == "complete":
            self.report.latencies[row["name"]].append(elapsed)
            self.report.by_second[row["name"]][second] += 1
            if elapsed * 1000 <= row.get("deadline_ms", 1e9):
                self.report.in_time[row["name"]] += 1
                self.report.in_time_by_second[row["name"]][second] += 1

    async def _send_with_retries(self, row: MixRow) -> str:
        key: str | None = None
        entry = ""
        outcome = "error"
        for _ in range(_MAX_ATTEMPTS):
            # An unreached entry has not seen the operation id, so a new id is safe.
            if outcome in ("error", "unreached") or not row.get("operation"):
                lookup = await self._lookup(row)
                entry = lookup["entries"][0]["address"]
                if row.get("operation") == "system":
                    entry = next(
                        (
                            e["address"]
                            for e in lookup["entries"]
                            if e["name"] == lookup["executor"]
                        ),
                        entry,
                    )
                    unique = f"{self._rng.getrandbits(128):032x}"
                    key = f"{lookup['operation_prefix']}.{unique}"
                elif row.get("operation") == "own":
                    key = str(_uuid7(self._rng))
            else:
                entry = self._other_entry(entry)
            outcome = await self._send(row, entry, key)
            if key is not None:
                self.report.tries[key].append(outcome)
            if outcome != "unreached" and not (outcome in ("unknown", "cut") and key):
                break
        if key is not None and outcome == "complete" and self._rng.random() < row.get("repeat", 0):
            repeat_outcome = await self._repeat_order(row, entry, key)
            self.report.outcomes[f"{row['name']}-repeat"][repeat_outcome] += 1
        if key is not None:
            self.report.orders[key].append(outcome)
        return outcome

    async def _repeat_order(self, row: MixRow, entry: str, key: str) -> str:
        """Send an order again under its id, to other entries until one is reached."""
        outcome = "unreached"
        for _ in range(_MAX_ATTEMPTS):
            if outcome == "unreached":
                outcome = await self._send(row, self._other_entry(entry), key)
                self.report.tries[key].append(f"repeat-{outcome}")
        return outcome

    def _other_entry(self, entry: str) -> str:
        now = time.monotonic()
        candidates = [e for e in self._cfg["entries"] if e != entry] or [entry]
        candidates = [
            e for e in candidates if self._unavailable_until.get(e, 0) < now
        ] or candidates
        return self._rng.choice(candidates)

    async def _lookup(self, row: MixRow) -> dict[str, t.Any]:
        now = time.monotonic()
        if self._cfg.get("direct"):
            return {"entries": [{"name": "", "address": self._rng.choice(self._cfg["entries"])}]}
        client = row.get("client", "10.0.0.1")
        cached = self._lookups.get(client)
        if cached is not None and cached[0] > now:
            return cached[1]
        for _ in range(_MAX_ATTEMPTS * 2):
            available = [e for e in self._cfg["entries"] if self._unavailable_until.get(e, 0) < now]
            address = self._rng.choice(available or self._cfg["entries"])
            if self._cfg.get("fixed_entry"):
                address = self._cfg["entries"][0]
            try:
                answer = await self._fetch_lookup(address, client)
            except Exception as exc:
                self._unavailable_until[address] = now + 2.0
                self.report.last_errors.append(f"lookup {address}: {exc}"[:200])
                continue
            if answer is not None:
                self._lookups[client] = (now + _LOOKUP_TTL_S, answer)
                return answer
            self._unavailable_until[address] = now + 0.5
        raise RuntimeError("no entry answers look-ups")

    async def _fetch_lookup(self, address: str, client: str) -> dict[str, t.Any] | None:
        resp = await treq.get(
            f"http://{address}/lookup?client={client}", agent=self._agent, timeout=1.0
        )
        body = await resp.content()
        if resp.code != 200:
            return None
        answer = json.loads(body)
        if self._cfg.get("fixed_entry"):
            answer["entries"] = [e for e in answer["entries"] if e["address"] == address] or [
                {"name": answer["executor"], "address": address}
            ]
        return answer

    async def _send(self, row: MixRow, entry: str, key: str | None) -> str:
        headers = {"X-Client": row.get("client", "10.0.0.1")}
        if "deadline_ms" in row:
            headers["X-Deadline-Ms"] = str(row["deadline_ms"])
        if "work_ms" in row:
            headers["X-Work-Ms"] = str(row["work_ms"])
        if "answer_bytes" in row:
            headers["X-Answer-Bytes"] = str(row["answer_bytes"])
        if "priority" in row:
            headers["X-Priority"] = row["priority"]
        if key is not None:
            headers["Idempotency-Key"] = key
        body = b"x" * row.get("body_bytes", 0) or None
        timeout_s = row.get("deadline_ms", 10_000) / 1000 + 2.0
        path = row["path"]
        sent = time.monotonic()
        self.report.sent_by_second[row["name"]][int(sent - self._start)] += 1
        try:
            resp = await treq.request(
                row["method"],
                f"http://{entry}{path}",
                headers=headers,
                data=body,
                agent=self._agent,
                timeout=timeout_s,
            )
        except Exception as exc:
            self._unavailable_until[entry] = time.monotonic() + 1.0
            self._lookups.clear()
            self.report.last_errors.append(f"{row['name']} {entry}: {exc!r}"[:300])
            return "unreached" if "Connect" in type(exc).__name__ else "cut"
        return await self._read(row, resp, key, sent)

    async def _read(self, row: MixRow, resp: t.Any, key: str | None, sent: float) -> str:
        outcome = resp.headers.getRawHeaders("cardamomloft-outcome", ["error"])[0]
        if self._cfg.get("plain") and resp.code == 200:
            outcome = "complete"
        try:
            body = await resp.content()
        except Exception as exc:
            self.report.last_errors.append(f"{row['name']} body: {exc!r}"[:300])
            return "cut"
        if outcome != "complete":
            reason = resp.headers.getRawHeaders("cardamomloft-reason", ["?"])[0]
            self.report.reasons[f"{row['name']}:{reason}"] += 1
        elif not self._is_matching_answer(row, body, key):
            self.report.wrong_answers += 1
        if outcome == "complete" and "answer_bytes" not in row:
            endpoint = json.loads(body)["endpoint"]
            self.report.endpoints_by_second[endpoint][int(sent - self._start)] += 1
        return outcome

    def _is_matching_answer(self, row: MixRow, body: bytes, key: str | None) -> bool:
        """Return whether the answer is complete and belongs to this request."""
        if "answer_bytes" in row:
            return len(body) == row["answer_bytes"]
        answer = json.loads(body)
        return (
            answer["path"].split("?")[0] == row["path"].split("?")[0]
            and answer["received"] == row.get("body_bytes", 0)
            and (key is None or answer["key"] == key)
        )


def _uuid7(rng: random.Random) -> uuid.UUID:
    """Return a version 7 UUID: 48 bits of Unix milliseconds, the rest random."""
    bits = (int(time.time() * 1000) << 80) | rng.getrandbits(80)
    bits = (bits & ~(0xF << 76)) | (0x7 << 76)
    return uuid.UUID(int=(bits & ~(0x3 << 62)) | (0x2 << 62))


def run_load(cfg: LoadSettings) -> dict[str, t.Any]:
    """Run a load in this process's reactor and return its report."""
    load = Load(cfg)

    def main(_: t.Any) -> defer.Deferred[None]:
        return defer.ensureDeferred(load.run())

    try:
        task.react(main, ())
    except SystemExit as exc:
        if exc.code:
            raise
    return load.report.to_json()


def main() -> None:
    """Read the settings from the JSON file named on the command line; print the report."""
    import sys

    with open(sys.argv[1], encoding="utf-8") as file:
        cfg = json.load(file)
    print(json.dumps(run_load(cfg)))


if __name__ == "__main__":
    main()
