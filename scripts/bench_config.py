"""Time until a recorded configuration is in force at every entry, also when a steward is killed."""

import copy
import json
import signal
import typing as t
from base64 import b64decode
from datetime import datetime

import bench_kit as kit
from bench_kit import Measurement, Plan, RunScale, Target
from fleet import Fleet, get_json, percentile, wait_until

PLAN = Plan(number=13)


def run(scale: RunScale) -> list[Measurement]:
    """Apply several revisions and kill the steward before every third one."""
    applies = int(scale.pick(9, 3))
    steward_up: list[float] = []
    steward_killed: list[float] = []
    with kit.deployment(PLAN) as fleet:
        for index in range(applies):
            victim = _kill_steward(fleet) if index % 3 == 2 else None
            (steward_killed if victim else steward_up).extend(_measure_apply(fleet, index, victim))
            if victim:
                fleet.set_vms({})
                fleet.start_entry(victim)
                fleet.wait_ready([victim])
    name = "config.in_force_p99_s"
    both = steward_up + steward_killed
    note = f"{applies} applies at {PLAN.entries} entries, steward killed before every third"
    return [
        Measurement(name, percentile(both, 99), "s", Target("<=", 1), note=note),
        Measurement("config.in_force_p50_s", percentile(both, 50), "s"),
        Measurement("config.in_force_between_kills_max_s", max(steward_up), "s"),
        Measurement("config.in_force_steward_killed_max_s", max(steward_killed, default=0.0), "s"),
    ]


def _kill_steward(fleet: Fleet) -> str:
    wait_until("a steward", lambda: _steward(fleet) is not None)
    seat = t.cast(str, _steward(fleet))
    fleet.processes[seat].signal(signal.SIGKILL)
    fleet.processes[seat].wait(2.0)
    fleet.set_vms({seat: "gone"})
    return seat


def _steward(fleet: Fleet) -> str | None:
    statuses = {seat: fleet.status(seat) for seat in fleet.document["entries"]}
    return next((s for s, page in statuses.items() if page and page["steward"]), None)


def _measure_apply(fleet: Fleet, index: int, victim: str | None) -> list[float]:
    """Apply a small change; return the seconds from record to in force for each live entry."""
    document = copy.deepcopy(fleet.document)
    document["services"][kit.SERVICE]["deadline_ms"] = 1000 + index
    number = fleet.apply(document, "benchmark", wait=20.0)["revision"]
    recorded = _recorded_at(fleet, number)
    live = [seat for seat in fleet.document["entries"] if seat != victim]
    in_force_at: dict[str, float] = {}

    def all_in_force() -> bool:
        in_force_at.update({seat: at for seat in live if (at := _in_force_at(fleet, seat, number))})
        return len(in_force_at) == len(live)

    wait_until(f"revision {number} in force", all_in_force)
    late = max(in_force_at, key=in_force_at.__getitem__)
    kit.print_progress(
        f"revision {number}: last at {late} after {in_force_at[late] - recorded:.3f} s, {victim=}"
    )
    return [at - recorded for at in in_force_at.values()]


def _recorded_at(fleet: Fleet, number: int) -> float:
    """Return the timestamp in the record, which is taken just before the write."""
    row = get_json(f"http://{fleet.store}/v1/kv/config/current")[0]
    record = json.loads(b64decode(row["Value"]))
    if record["number"] != number:
        raise RuntimeError(f"revision {record['number']} has replaced {number}")
    return datetime.fromisoformat(record["when"]).timestamp()


def _in_force_at(fleet: Fleet, seat: str, number: int) -> float | None:
    """Return when the entry logged its latest revision in force, or None if it is older."""
    for line in reversed(fleet.processes[seat].lines()):
        if '"cardamomloft:in-force"' in line:
            row = json.loads(line)
            return row["timestamp"] if row["revision"] >= number else None
    return None
