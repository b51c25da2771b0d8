"""Fault-injection trials on running deployments.

Each trial starts a small deployment of separate processes on loopback, runs a mixed load, injects a
fault, and compares the callers' reports with the run counts of the upstreams. Each trial prints one
line of metrics with "ok" or "BROKEN"; the last line of the output is one JSON object. The exit code
is 1 if a check failed or a trial could not be completed.
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
    BUILD,
    DEADLINE_MS,
    OUTCOMES,
    REGIONS,
    SERVICES,
    TRIAL_TIMEOUT_S,
    Codes,
    LookupPoller,
    Metrics,
    RevisionPoller,
    Trial,
    TrialResult,
    add_checks,
    apply,
    busiest,
    control_upstreams,
    count_started,
    deployment,
    entries_of,
    evaluate,
    kill,
    make_document,
    read_audit_trail,
    restart_entry,
    service_row,
    start_load,
    with_retry_percent,
)

# Longer than a loan lasts: it expires 6 s after the maximum deadline of 2 s.
FREEZE_DURATION_S = 12.0
# Writes to lose per fault interval, by round; 1000 exceeds the number of writes.
MAX_LOST_WRITES = (1, 1, 1, 1, 1000, 1000)
FAULT_INTERVAL_S = 0.06
OUTAGE_DURATION_S = 15.0
STOP_TIMEOUT_S = 20.0
UPLOAD_BYTES = 200_000_000
UPLOAD_PAUSE_S = 0.8
UPLOAD_GROWTH_MB = 30.0

# The trials


def run_kill(fleet: Fleet) -> TrialResult:
    """Kill an entry under load and restart it 2 s later."""
    start_load(fleet, 18)
    time.sleep(4.0)
    seat, in_flight_count = busiest(fleet)
    kill(fleet, [seat])
    time.sleep(2.0)
    ready_s = restart_entry(fleet, seat)
    return add_checks(
        evaluate(fleet, 18, (12, 0.95)), {}, in_flight=in_flight_count, ready_s=ready_s
    )


def run_freeze(fleet: Fleet) -> TrialResult:
    """Suspend an entry's process for longer than deadlines and loans last, then resume it."""
    start_load(fleet, 24)
    time.sleep(4.0)
    seat, in_flight_count = busiest(fleet)
    fleet.processes[seat].signal(signal.SIGSTOP)
    time.sleep(FREEZE_DURATION_S)
    fleet.processes[seat].signal(signal.SIGCONT)
    return add_checks(evaluate(fleet, 24, (19, 0.95)), {}, in_flight=in_flight_count)


def run_store_down(fleet: Fleet) -> TrialResult:
    """Make the store hang, then refuse; restart an entry and apply changes during it."""
    start_load(fleet, 40)
    time.sleep(2.0)
    codes, ready_s = [], 0.0
    for down in ("hang", "refuse"):
        fleet.set_store(down=down)
        since = time.monotonic()
        if down == "hang":
            kill(fleet, ["west-a-1"])
            ready_s = restart_entry(fleet, "west-a-1", OUTAGE_DURATION_S)
        codes.append(
            apply(fleet, with_retry_percent(fleet.document, "menus", 11), f"while-{down}")[0]
        )
        time.sleep(max(0.0, since + OUTAGE_DURATION_S - time.monotonic()))
    fleet.set_store(down=False)
    after, answer = apply(fleet, with_retry_percent(fleet.document, "menus", 12), "after")
    verified, rows = read_audit_trail(fleet)
    checks = {
        "apply exits with 5 while the store is unavailable": codes == [5, 5],
        "the apply after the outage is accepted": after == 0,
        "only this change is recorded": len(rows) == 2 and verified == 0,
    }
    metrics = {"exits": [*codes, after], "audit_rows": len(rows), "ready_s": ready_s}
    result = add_checks(evaluate(fleet, 40, (34, 0.95)), checks, **metrics)
    return result if after == 0 else TrialResult(result.metrics, [*result.violations, str(answer)])


def run_lost_answers(fleet: Fleet) -> TrialResult:
    """Drop write requests and write responses of the store during claims and applies."""
    start_load(fleet, 20, **{"own-orders": 12.0})
    time.sleep(2.0)
    codes: list[int] = []
    lost: list[int] = []
    for index, max_lost in enumerate(MAX_LOST_WRITES):
        document = with_retry_percent(fleet.document, "menus", 30 + index)
        with losing_writes(
            fleet, "lose_answers" if index % 2 == 0 else "lose_requests", max_lost, lost
        ):
            code, answer = apply(fleet, document, f"lost-{index}")
        codes.append(code)
        if code == 6:
            args = ["--change", answer["change"]]
            codes.append(apply(fleet, document, f"lost-{index}", *args)[0])
    verified, rows = read_audit_trail(fleet)
    # Exit code 5 means that nothing was written, so these changes must not be recorded.
    checks = {
        "each apply ends with 0 or 5, or with 6 and then 0": _applies_settled(codes),
        "exactly the accepted changes are recorded": len(rows) == 1 + codes.count(0),
        "the audit trail is intact": verified == 0,
        "writes were lost": sum(lost) >= 10,
    }
    result = evaluate(fleet, 20, (18, 0.9))
    return add_checks(result, checks, exits=codes, audit_rows=len(rows), lost=sum(lost))


def _applies_settled(codes: list[int]) -> bool:
    after = zip(codes, [*codes[1:], 0], strict=True)
    return all(code in (0, 5) or (code == 6 and later == 0) for code, later in after)


@contextlib.contextmanager
def losing_writes(fleet: Fleet, fault: str, max_lost: int, lost: list[int]) -> Iterator[None]:
    """Make the store lose up to `max_lost` writes per interval; append the counts to `lost`."""
    stop = threading.Event()

    def lose() -> None:
        while not stop.wait(FAULT_INTERVAL_S):
            lost.append(max_lost - change_store(fleet)[fault])
            change_store(fleet, **{fault: max_lost})

    change_store(fleet, **{fault: max_lost})
    thread = threading.Thread(target=lose)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
        change_store(fleet, **{fault: 0})


def change_store(fleet: Fleet, **faults: t.Any) -> Metrics:
    """Set the given faults of the store, if any; return the faults in force."""
    host, _, port = fleet.store_control.partition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=2.0)
    with contextlib.closing(conn):
        conn.request("PUT", "/control", json.dumps(faults), {"Content-Type": "application/json"})
        return json.loads(conn.getresponse().read())


def run_two_operators(fleet: Fleet) -> TrialResult:
    """Apply two conflicting edits concurrently, several times."""
    start_load(fleet, 16)
    codes: list[list[int]] = []
    with RevisionPoller(fleet) as poller, ThreadPoolExecutor(2) as pool:
        for index in range(5):
            base = max((fleet.status(seat) or {}).get("revision", 0) for seat in _seats(fleet))
            edits = [with_retry_percent(fleet.document, name, 40 + index) for name in SERVICES]
            args = ["--base", str(base)] if index % 2 else []
            pair = [
                pool.submit(apply, fleet, edit, f"round-{index}-{name}", *args)
                for edit, name in zip(edits, SERVICES, strict=True)
            ]
            ended = [future.result()[0] for future in pair]
            codes.append(ended)
            if 0 in ended:
                fleet.document = edits[ended.index(0)]
        verified, rows = read_audit_trail(fleet)
    checks = {
        "one apply is accepted and the other is a conflict": all(
            sorted(pair) == [0, 3] for pair in codes
        ),
        "only the accepted changes are recorded": len(rows) == 1 + len(codes),
        "the audit trail is intact": verified == 0,
        "no entry returns to an older revision": not poller.decreases,
    }
    result = evaluate(fleet, 16, (2, 0.95))
    return add_checks(result, checks, exits=codes, polls=poller.polls, went_back=poller.decreases)


def _seats(fleet: Fleet) -> list[str]:
    return list(fleet.document["entries"])


def run_zone_gone(fleet: Fleet) -> TrialResult:
    """Fail all entries and upstreams of a zone together; update the VM list 3 s later."""
    start_load(fleet, 22)
    time.sleep(4.0)
    seats = entries_of(fleet, "east-a")
    control_upstreams(fleet, "east-a", refuse=True)
    kill(fleet, seats)
    time.sleep(3.0)
    fleet.set_vms(dict.fromkeys(seats, "gone"))
    fleet.processes["load"].wait(40.0)
    control_upstreams(fleet, "east-a", refuse=False)
    return evaluate(fleet, 22, (14, 0.95))


def run_upstream_faults(fleet: Fleet) -> TrialResult:
    """Make upstreams truncate and duplicate answers, answer after the deadline, and hang."""
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
        # Closes connections as a restart would; a hanging request would get the upstream's 504.
        control_upstreams(fleet, "west-b", refuse=True)
        control_upstreams(fleet, "west-b", refuse=False, hang=False)
    return evaluate(fleet, 26, (23, 0.95))


def run_drain_during_failover(fleet: Fleet) -> TrialResult:
    """Drain one zone of a region just after the other zone has failed."""
    start_load(fleet, 22)
    time.sleep(4.0)
    control_upstreams(fleet, "east-a", refuse=True)
    time.sleep(1.0)
    code, answer = fleet.ctl("drain", "zone", "east-b", "--why", "trial", "--wait", "12")
    at_end = count_started(fleet, "east-b")
    fleet.processes["load"].wait(40.0)
    later = count_started(fleet, "east-b") - at_end
    control_upstreams(fleet, "east-a", refuse=False)
    checks = {"the drain is done": code == 0, "no request starts there later": later == 0}
    result = evaluate(fleet, 22, (15, 0.9))
    return add_checks(result, checks, exit=code, drain_s=answer.get("drain_s"), started_later=later)


def run_stop_under_load(fleet: Fleet) -> TrialResult:
    """Restart every entry in turn under load, as a rolling upgrade does."""
    start_load(fleet, 34)
    time.sleep(2.0)
    codes: Codes = []
    seconds: list[float] = []
    named_late: list[float] = []
    for seat in _seats(fleet):
        with LookupPoller(fleet, seat) as lookups:
            # The check on `named_late` requires at least one look-up that names the entry.
            wait_until(f"{seat} named", lambda seen=lookups: seen.valid_until > 0)
            start = time.monotonic()
            fleet.processes[seat].signal(signal.SIGTERM)
            codes.append(fleet.processes[seat].wait(STOP_TIMEOUT_S))
            seconds.append(round(time.monotonic() - start, 2))
        named_late.append(round(lookups.valid_until - closing_time(fleet, seat), 2))
        restart_entry(fleet, seat)
    load_ended = fleet.processes["load"].popen.poll() is not None
    result = evaluate(fleet, 34)
    checks = {
        "every entry exits with 0": codes == [0] * len(codes),
        "no connection is closed early": result.metrics["cut"] == 0,
        "no run at an upstream is aborted": result.metrics["cut_off"] == 0,
        "no request ends unknown or failed": not {"unknown", "failed"} & _observed_outcomes(result),
        "no look-up names an entry that refuses requests": max(named_late) <= 0,
        "the load ran until the last restart": not load_ended,
    }
    return add_checks(result, checks, exits=codes, stop_s=seconds, named_late_s=named_late)


def _observed_outcomes(result: TrialResult) -> set[str]:
    metrics = {**result.metrics["repeats"], **{n: result.metrics[n] for n in OUTCOMES}}
    return {name for name, count in metrics.items() if count}


def closing_time(fleet: Fleet, seat: str) -> float:
    """Return the Unix time at which a stopping entry logged that it closes to new requests."""
    lines = [line for line in fleet.processes[seat].lines() if '"cardamomloft:closing"' in line]
    return json.loads(lines[-1])["timestamp"]


def run_big_upload(fleet: Fleet) -> TrialResult:
    """Upload 200 MB through one entry under load and measure the growth of its memory."""
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
        # While the upstreams read nothing, the entry must apply back-pressure to the caller.
        fleet.processes["upstreams"].signal(signal.SIGSTOP)
        time.sleep(UPLOAD_PAUSE_S)
        stopped_early = future.done()
        peak_during = resident_mb(pid)
        fleet.processes["upstreams"].signal(signal.SIGCONT)
        while not future.done():
            peak_during = max(peak_during, resident_mb(pid))
            time.sleep(0.01)
        seconds = time.monotonic() - start
    growth = round(max(peak_during - before, resident_mb(pid, "VmHWM") - peak), 1)
    checks = {
        "the answer confirms every byte": future.result(),
        "the upload waited for the upstream": not stopped_early,
        f"memory grows by less than {UPLOAD_GROWTH_MB:g} MB": growth < UPLOAD_GROWTH_MB,
    }
    metrics = {"growth_mb": growth, "before_mb": round(before, 1), "upload_s": round(seconds, 2)}
    return add_checks(evaluate(fleet, 14, (8, 0.95)), checks, **metrics)


def upload(address: str, size: int) -> bool:
    """Send a body of `size` bytes; return whether the answer's size and digest match it."""
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
    """Return the resident memory of a process in megabytes, or its peak with ``VmHWM``."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    row = next(line for line in text.splitlines() if line.startswith(field))
    return int(row.split()[1]) * 1024 / 1e6


def with_uploads(document: Document) -> Document:
    """Add an upload service with a deadline long enough for large bodies."""
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


def run_trial(trial: Trial) -> TrialResult:
    """Run one trial within its time limit; an exception counts as a violation."""
    document = make_document(trial)
    if trial.name == "big-upload":
        document = with_uploads(document)
    signal.alarm(TRIAL_TIMEOUT_S)
    try:
        with deployment(trial, document) as fleet:
            return trial.run(fleet)
    except Exception as exc:
        return TrialResult({}, [f"not completed: {type(exc).__name__}: {exc}"])
    finally:
        signal.alarm(0)


def print_result(trial: Trial, result: TrialResult, seconds: float) -> None:
    """Print the result line of one trial."""
    metrics_text = ", ".join(f"{name} {value}" for name, value in result.metrics.items())
    state = "BROKEN: " + "; ".join(result.violations) if result.violations else "ok"
    print(f"{trial.name} ({seconds:.0f} s): {metrics_text}: {state}", flush=True)


def on_signal(number: int, _: object) -> t.NoReturn:
    """Raise an exception, so that context managers terminate all processes."""
    if number == signal.SIGALRM:
        raise TimeoutError(f"trial not finished within {TRIAL_TIMEOUT_S} s")
    raise SystemExit(128 + number)


def main() -> int:
    """Run the selected trials one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", metavar="NAME", choices=[row.name for row in TRIALS])
    args = parser.parse_args()
    BUILD.mkdir(parents=True, exist_ok=True)
    lock = (BUILD.parent / "trials.lock").open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        print("other trials are running and use the same addresses", file=sys.stderr)
        return 3
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, on_signal)
    results = {}
    for trial in TRIALS:
        if args.only in (None, trial.name):
            shutil.rmtree(BUILD / trial.name, ignore_errors=True)
            load_average, start = os.getloadavg()[0], time.monotonic()
            result = run_trial(trial)
            seconds = time.monotonic() - start
            print_result(trial, result, seconds)
            results[trial.name] = {
                "ok": not result.violations,
                "broken": result.violations,
                "seconds": round(seconds, 1),
                "load_average": round(load_average, 1),
                **result.metrics,
            }
    print(json.dumps(results))
    return 0 if all(row["ok"] for row in results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
