"""How soon a recorded configuration is in force at every entry, a steward killed meanwhile."""

import copy
import json
import signal
import typing as t
from base64 import b64decode
from datetime import datetime

import bench_kit as kit
from bench_kit import Aim, Figure, Plan, Sizes
from fleet import Fleet, get_json, percentile, wait_until

PLAN = Plan(number=13)


def run(sizes: Sizes) -> list[Figure]:
    """Apply several revisions; before every third one the steward is killed."""
    applies = int(sizes.pick(9, 3))
    calm: list[float] = []
    killed: list[float] = []
    with kit.deployment(PLAN) as fleet:
        for turn in range(applies):
            victim = _kill_steward(fleet) if turn % 3 == 2 else None
            (killed if victim else calm).extend(_apply(fleet, turn, victim))
            if victim:
                fleet.set_vms({})
                fleet.start_entry(victim)
                fleet.wait_ready([victim])
    name = "config.in_force_p99_s"
    both = calm + killed
    note = f"{applies} applies at {PLAN.entries} entries, steward killed before every third"
    return [
        Figure(name, percentile(both, 99), "s", Aim("<=", 1), note=note),
        Figure("config.in_force_p50_s", percentile(both, 50), "s"),
        Figure("config.in_force_between_kills_max_s", max(calm), "s"),
        Figure("config.in_force_steward_killed_max_s", max(killed, default=0.0), "s"),
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


def _apply(fleet: Fleet, turn: int, victim: str | None) -> list[float]:
    """Apply a small change; return for each live entry the seconds from its record."""
    document = copy.deepcopy(fleet.document)
    document["services"][kit.SERVICE]["deadline_ms"] = 1000 + turn
    number = fleet.apply(document, "benchmark", wait=20.0)["revision"]
    recorded = _when(fleet, number)
    live = [seat for seat in fleet.document["entries"] if seat != victim]
    found: dict[str, float] = {}

    def all_in_force() -> bool:
        found.update({seat: at for seat in live if (at := _in_force(fleet, seat, number))})
        return len(found) == len(live)

    wait_until(f"revision {number} in force", all_in_force)
    late = max(found, key=found.__getitem__)
    kit.say(f"revision {number}: last at {late} after {found[late] - recorded:.3f} s, {victim=}")
    return [at - recorded for at in found.values()]


def _when(fleet: Fleet, number: int) -> float:
    """Return the record's own time, which is taken just before it is written."""
    row = get_json(f"http://{fleet.store}/v1/kv/config/current")[0]
    record = json.loads(b64decode(row["Value"]))
    if record["number"] != number:
        raise RuntimeError(f"revision {record['number']} has replaced {number}")
    return datetime.fromisoformat(record["when"]).timestamp()


def _in_force(fleet: Fleet, seat: str, number: int) -> float | None:
    """Return when the entry logged that it put the revision, or a later one, in force."""
    for line in reversed(fleet.processes[seat].lines()):
        if '"cardamomloft:in-force"' in line:
            row = json.loads(line)
            return row["timestamp"] if row["revision"] >= number else None
    return None
