"""Break running deployments and judge the promises by the upstreams' books and callers' reports.

Each trial starts a small deployment of separate processes on loopback, runs a mixed load, causes a
failure, and prints one line of figures with "ok" or "BROKEN". The last line is one JSON object.
Exits 1 if a promise was broken, also by a trial that could not be carried to its end.
"""

import argparse
import contextlib
import fcntl
import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import sys
import threading
import time
import typing as t
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from fleet import Document, Fleet, wait_until
from trials_kit import (
    BOUND_S,
    BUILD,
    DEADLINE_MS,
    OUTCOMES,
    REGIONS,
    SERVICES,
    Codes,
    Figures,
    LookUps,
    Trial,
    Verdict,
    Watch,
    add,
    apply,
    busiest,
    control_upstreams,
    deployment,
    entries_of,
    judge,
    kill,
    make_document,
    service_row,
    start_again,
    start_load,
    started,
    trail,
    with_edit,
)

# Loans come back after the longest deadline of 2 s and six seconds: this outlasts them.
FREEZE_S = 12.0
# Of each 60 ms the first write is lost in the first rounds, and every write in the last two.
LOSE_AT_ONCE = (1, 1, 1, 1, 1000, 1000)
LOSE_EVERY_S = 0.06
OUTAGE_S = 15.0
STOP_LIMIT_S = 20.0
UPLOAD_BYTES = 200_000_000
UPLOAD_PAUSE_S = 0.8
UPLOAD_GROWTH_MB = 30.0

# The trials


def run_kill(fleet: Fleet) -> Verdict:
    """Kill an entry in mid-load and start it again 2 s later."""
    start_load(fleet, 18)
    time.sleep(4.0)
    seat, flights = busiest(fleet)
    kill(fleet, [seat])
    time.sleep(2.0)
    ready_s = start_again(fleet, seat)
    return add(judge(fleet, 18, (12, 0.95)), {}, in_flight=flights, ready_s=ready_s)


def run_freeze(fleet: Fleet) -> Verdict:
    """Stop an entry's process for longer than deadlines and loans last, and let it go on."""
    start_load(fleet, 24)
    time.sleep(4.0)
    seat, flights = busiest(fleet)
    fleet.processes[seat].signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    fleet.processes[seat].signal(signal.SIGCONT)
    return add(judge(fleet, 24, (19, 0.95)), {}, in_flight=flights)


def run_store_down(fleet: Fleet) -> Verdict:
    """Let the store hang, then refuse, and meanwhile restart an entry and apply a change."""
    start_load(fleet, 40)
    time.sleep(2.0)
    codes, ready_s = [], 0.0
    for down in ("hang", "refuse"):
        fleet.set_store(down=down)
        since = time.monotonic()
        if down == "hang":
            kill(fleet, ["west-a-1"])
            ready_s = start_again(fleet, "west-a-1", OUTAGE_S)
        codes.append(apply(fleet, with_edit(fleet.document, "menus", 11), f"while-{down}")[0])
        time.sleep(max(0.0, since + OUTAGE_S - time.monotonic()))
    fleet.set_store(down=False)
    after, answer = apply(fleet, with_edit(fleet.document, "menus", 12), "after")
    verified, rows = trail(fleet)
    promises = {
        "apply fails with 5 while the store is away": codes == [5, 5],
        "an apply is accepted afterwards": after == 0,
        "only that one was recorded": len(rows) == 2 and verified == 0,
    }
    figures = {"exits": [*codes, after], "audit_rows": len(rows), "ready_s": ready_s}
    verdict = add(judge(fleet, 40, (34, 0.95)), promises, **figures)
    return verdict if after == 0 else Verdict(verdict.figures, [*verdict.broken, str(answer)])


def run_lost_answers(fleet: Fleet) -> Verdict:
    """Lose the answers of writes that took effect, and writes, under own ids and applies."""
    start_load(fleet, 20, **{"own-orders": 12.0})
    time.sleep(2.0)
    codes: list[int] = []
    lost: list[int] = []
    for at, most in enumerate(LOSE_AT_ONCE):
        document = with_edit(fleet.document, "menus", 30 + at)
        with losing(fleet, "lose_answers" if at % 2 == 0 else "lose_requests", most, lost):
            code, answer = apply(fleet, document, f"lost-{at}")
        codes.append(code)
        if code == 6:
            args = ["--change", answer["change"]]
            codes.append(apply(fleet, document, f"lost-{at}", *args)[0])
    verified, rows = trail(fleet)
    # Exit 5 means that nothing was written, so these must not be in the trail.
    promises = {
        "each apply ends with 0 or 5, or with 6 and then 0": _settled(codes),
        "exactly the accepted changes are recorded": len(rows) == 1 + codes.count(0),
        "the audit trail is whole": verified == 0,
        "writes were lost": sum(lost) >= 10,
    }
    verdict = judge(fleet, 20, (18, 0.9))
    return add(verdict, promises, exits=codes, audit_rows=len(rows), lost=sum(lost))


def _settled(codes: list[int]) -> bool:
    after = zip(codes, [*codes[1:], 0], strict=True)
    return all(code in (0, 5) or (code == 6 and later == 0) for code, later in after)


@contextlib.contextmanager
def losing(fleet: Fleet, fault: str, most: int, lost: list[int]) -> Iterator[None]:
    """Let the store lose up to `most` writes each few milliseconds; note how many in `lost`."""
    over = threading.Event()

    def lose() -> None:
        while not over.wait(LOSE_EVERY_S):
            lost.append(most - change_store(fleet)[fault])
            change_store(fleet, **{fault: most})

    change_store(fleet, **{fault: most})
    thread = threading.Thread(target=lose)
    thread.start()
    try:
        yield
    finally:
        over.set()
        thread.join()
        change_store(fleet, **{fault: 0})


def change_store(fleet: Fleet, **faults: t.Any) -> Figures:
    """Change the store's faults, or none; return those in force."""
    host, _, port = fleet.store_control.partition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=2.0)
    with contextlib.closing(conn):
        conn.request("PUT", "/control", json.dumps(faults), {"Content-Type": "application/json"})
        return json.loads(conn.getresponse().read())


def run_two_operators(fleet: Fleet) -> Verdict:
    """Apply two different edits at the same moment, several times."""
    start_load(fleet, 16)
    codes: list[list[int]] = []
    with Watch(fleet) as watch, ThreadPoolExecutor(2) as pool:
        for at in range(5):
            base = max((fleet.status(seat) or {}).get("revision", 0) for seat in _seats(fleet))
            edits = [with_edit(fleet.document, name, 40 + at) for name in SERVICES]
            args = ["--base", str(base)] if at % 2 else []
            pair = [
                pool.submit(apply, fleet, edit, f"round-{at}-{name}", *args)
                for edit, name in zip(edits, SERVICES, strict=True)
            ]
            ended = [future.result()[0] for future in pair]
            codes.append(ended)
            if 0 in ended:
                fleet.document = edits[ended.index(0)]
        verified, rows = trail(fleet)
    promises = {
        "one wins and the other sees a conflict": all(sorted(pair) == [0, 3] for pair in codes),
        "only the winners are recorded": len(rows) == 1 + len(codes),
        "the audit trail is whole": verified == 0,
        "no revision goes back": not watch.went_back,
    }
    verdict = judge(fleet, 16, (2, 0.95))
    return add(verdict, promises, exits=codes, polls=watch.polls, went_back=watch.went_back)


def _seats(fleet: Fleet) -> list[str]:
    return list(fleet.document["entries"])


def run_zone_gone(fleet: Fleet) -> Verdict:
    """Lose a zone's entries and upstreams at once; the VM list tells of it 3 s later."""
    start_load(fleet, 22)
    time.sleep(4.0)
    seats = entries_of(fleet, "east-a")
    control_upstreams(fleet, "east-a", refuse=True)
    kill(fleet, seats)
    time.sleep(3.0)
    fleet.set_vms(dict.fromkeys(seats, "gone"))
    fleet.processes["load"].wait(40.0)
    control_upstreams(fleet, "east-a", refuse=False)
    return judge(fleet, 22, (14, 0.95))


def run_upstream_faults(fleet: Fleet) -> Verdict:
    """Let upstreams answer short, twice, after the deadline and not at all, in turns."""
    start_load(fleet, 26, streams=8.0)
    time.sleep(2.0)
    for _ in range(2):
        control_upstreams(fleet, cut_short=2, twice=2)
        time.sleep(3.0)
        control_upstreams(fleet, "east-a", late_ms=2 * DEADLINE_MS)
        time.sleep(3.0)
        control_upstreams(fleet, "east-a", late_ms=0)
        control_upstreams(fleet, "west-b", hang=True)
        time.sleep(3.0)
        # Ends as a restart would, since a request at its deadline else gets the upstream's own 504.
        control_upstreams(fleet, "west-b", refuse=True)
        control_upstreams(fleet, "west-b", refuse=False, hang=False)
    return judge(fleet, 26, (23, 0.95))


def run_drain_during_failover(fleet: Fleet) -> Verdict:
    """Drain the other zone of a region whose first zone has just failed."""
    start_load(fleet, 22)
    time.sleep(4.0)
    control_upstreams(fleet, "east-a", refuse=True)
    time.sleep(1.0)
    code, answer = fleet.ctl("drain", "zone", "east-b", "--why", "trial", "--wait", "12")
    at_end = started(fleet, "east-b")
    fleet.processes["load"].wait(40.0)
    later = started(fleet, "east-b") - at_end
    control_upstreams(fleet, "east-a", refuse=False)
    promises = {"the drain is done": code == 0, "no request starts in it later": later == 0}
    verdict = judge(fleet, 22, (15, 0.9))
    return add(verdict, promises, exit=code, drain_s=answer.get("drain_s"), started_later=later)


def run_stop_under_load(fleet: Fleet) -> Verdict:
    """Stop and start every entry, one after the other, as an upgrade does."""
    start_load(fleet, 34)
    time.sleep(2.0)
    codes: Codes = []
    seconds: list[float] = []
    named_late: list[float] = []
    for seat in _seats(fleet):
        with LookUps(fleet, seat) as look_ups:
            # It must be seen to be named, or the check below would show nothing.
            wait_until(f"{seat} named", lambda seen=look_ups: seen.valid_until > 0)
            start = time.monotonic()
            fleet.processes[seat].signal(signal.SIGTERM)
            codes.append(fleet.processes[seat].wait(STOP_LIMIT_S))
            seconds.append(round(time.monotonic() - start, 2))
        named_late.append(round(look_ups.valid_until - closing_at(fleet, seat), 2))
        start_again(fleet, seat)
    over = fleet.processes["load"].popen.poll() is not None
    verdict = judge(fleet, 34)
    promises = {
        "every entry exits with 0": codes == [0] * len(codes),
        "no connection is cut": verdict.figures["cut"] == 0,
        "no run is cut off": verdict.figures["cut_off"] == 0,
        "no request ends unknown or failed": not {"unknown", "failed"} & _seen(verdict),
        "no look-up names an entry for longer than it takes work": max(named_late) <= 0,
        "the load lasted to the end": not over,
    }
    return add(verdict, promises, exits=codes, stop_s=seconds, named_late_s=named_late)


def _seen(verdict: Verdict) -> set[str]:
    figures = {**verdict.figures["repeats"], **{n: verdict.figures[n] for n in OUTCOMES}}
    return {name for name, count in figures.items() if count}


def closing_at(fleet: Fleet, seat: str) -> float:
    """Return when a stopped entry took no more work, in seconds of Unix time."""
    lines = [line for line in fleet.processes[seat].lines() if '"cardamomloft:closing"' in line]
    return json.loads(lines[-1])["timestamp"]


def run_big_upload(fleet: Fleet) -> Verdict:
    """Upload 200 MB through one entry while others are served, and watch its memory."""
    start_load(fleet, 14)
    seat = "east-a-1"
    time.sleep(3.0)
    upload(fleet.document["entries"][seat]["callers"], 1_000_000)
    pid = fleet.processes[seat].popen.pid
    before, peak = resident_mb(pid), resident_mb(pid, "VmHWM")
    address = fleet.document["entries"][seat]["callers"]
    with ThreadPoolExecutor(1) as pool:
        start = time.monotonic()
        future = pool.submit(upload, address, UPLOAD_BYTES)
        time.sleep(0.1)
        # Upstreams that read nothing for a while show whether the entry holds the caller back.
        fleet.processes["upstreams"].signal(signal.SIGSTOP)
        time.sleep(UPLOAD_PAUSE_S)
        stopped_early = future.done()
        most = resident_mb(pid)
        fleet.processes["upstreams"].signal(signal.SIGCONT)
        while not future.done():
            most = max(most, resident_mb(pid))
            time.sleep(0.01)
        seconds = time.monotonic() - start
    growth = round(max(most - before, resident_mb(pid, "VmHWM") - peak), 1)
    promises = {
        "the answer is complete and shows every byte": future.result(),
        "the upload waited for the upstream": not stopped_early,
        f"memory grows by less than {UPLOAD_GROWTH_MB:g} MB": growth < UPLOAD_GROWTH_MB,
    }
    figures = {"growth_mb": growth, "before_mb": round(before, 1), "upload_s": round(seconds, 2)}
    return add(judge(fleet, 14, (8, 0.95)), promises, **figures)


def upload(address: str, size: int) -> bool:
    """Send a body of `size` bytes; tell whether the answer proves that all of it arrived."""
    host, _, port = address.partition(":")
    piece = os.urandom(1_000_000)
    digest = hashlib.sha256()
    conn = http.client.HTTPConnection(host, int(port), timeout=40)

    def pieces() -> Iterator[bytes]:
        for _ in range(size // len(piece)):
            digest.update(piece)
            yield piece

    with contextlib.closing(conn):
        conn.request("PUT", "/media/film", pieces(), {"Content-Length": str(size)})
        resp = conn.getresponse()
        body = resp.read()
        if resp.getheader("Cardamomloft-Outcome") != "complete":
            raise RuntimeError(f"upload: {resp.status} {body[:200]!r}")
        answer = json.loads(body)
    return answer["received"] == size and answer["sha256"] == digest.hexdigest()


def resident_mb(pid: int, field: str = "VmRSS") -> float:
    """Return a process's resident memory in megabytes, or its highest so far (VmHWM)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    row = next(line for line in text.splitlines() if line.startswith(field))
    return int(row.split()[1]) * 1024 / 1e6


def with_uploads(document: Document) -> Document:
    """Add a service for uploads whose deadline leaves time for them."""
    zones = [zone for zones in REGIONS.values() for zone in zones]
    host = document["services"]["orders"]["upstreams"]["orders-east-a"]["address"].split(":")[0]
    row = service_row("media", host.rpartition(".")[0] + ".3", zones)
    row |= {"deadline_ms": 40_000, "max_deadline_ms": 40_000, "priority": "bulk"}
    document["services"]["media"] = row
    return document


TRIALS = (
    Trial("kill", 1, run_kill),
    Trial("freeze", 2, run_freeze),
    Trial("store-down", 3, run_store_down),
    Trial("lost-answers", 4, run_lost_answers),
    Trial("two-operators", 5, run_two_operators),
    Trial("zone-gone", 6, run_zone_gone),
    Trial("upstream-faults", 7, run_upstream_faults),
    Trial("drain-during-failover", 8, run_drain_during_failover),
    Trial("stop-under-load", 9, run_stop_under_load, (1, 1, 1, 1)),
    Trial("big-upload", 10, run_big_upload, (1, 1, 1, 1)),
)


def carry_out(trial: Trial) -> Verdict:
    """Run one trial within its bound; one that cannot be carried to its end is broken."""
    document = make_document(trial)
    if trial.name == "big-upload":
        document = with_uploads(document)
    signal.alarm(BOUND_S)
    try:
        with deployment(trial, document) as fleet:
            return trial.run(fleet)
    except Exception as exc:
        return Verdict({}, [f"not carried to its end: {type(exc).__name__}: {exc}"])
    finally:
        signal.alarm(0)


def show(trial: Trial, verdict: Verdict, seconds: float) -> None:
    """Print one trial's line."""
    words = ", ".join(f"{name} {value}" for name, value in verdict.figures.items())
    state = "BROKEN: " + "; ".join(verdict.broken) if verdict.broken else "ok"
    print(f"{trial.name} ({seconds:.0f} s): {words}: {state}", flush=True)


def on_signal(number: int, _: object) -> t.NoReturn:
    """Leave by an exception, so that the context managers end every process."""
    if number == signal.SIGALRM:
        raise TimeoutError(f"not within {BOUND_S} s")
    raise SystemExit(128 + number)


def main() -> int:
    """Run the trials one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", metavar="NAME", choices=[row.name for row in TRIALS])
    args = parser.parse_args()
    BUILD.mkdir(parents=True, exist_ok=True)
    lock = (BUILD.parent / "trials.lock").open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        print("trials are running already; their addresses are taken", file=sys.stderr)
        return 3
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, on_signal)
    results = {}
    for trial in TRIALS:
        if args.only in (None, trial.name):
            shutil.rmtree(BUILD / trial.name, ignore_errors=True)
            busy, start = os.getloadavg()[0], time.monotonic()
            verdict = carry_out(trial)
            seconds = time.monotonic() - start
            show(trial, verdict, seconds)
            results[trial.name] = {
                "ok": not verdict.broken,
                "broken": verdict.broken,
                "seconds": round(seconds, 1),
                "load_average": round(busy, 1),
                **verdict.figures,
            }
    print(json.dumps(results))
    return 0 if all(row["ok"] for row in results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
