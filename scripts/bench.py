"""Benchmark the system on real processes against baselines and print a table.

Writes ``build/bench.json``, an object that maps each name to value, unit, baseline and target.
Ratios compare measurements of the same run only.
"""

import importlib
import json
import shutil
import sys
import time
import typing as t

import bench_kit as kit
import defopt
from bench_kit import Measurement, RunScale

GROUPS = {
    "overload": "bench_overload",
    "once": "bench_once",
    "drain": "bench_drain",
    "config": "bench_config",
    "idle": "bench_control",
    "lookup": "bench_lookup",
    "proxy": "bench_proxy",
    "shift": "bench_shift",
}
QUICK = ("overload", "lookup")


def bench(*, quick: bool = False, only: list[str] | None = None) -> int:
    """Run groups of benchmarks and write their results.

    Parameters
    ----------
    quick
        Run fewer and shorter benchmarks, in less than a minute.
    only
        Groups to run; overrides the default selection.
    """
    shutil.rmtree(kit.BUILD, ignore_errors=True)
    kit.BUILD.mkdir(parents=True)
    start = time.monotonic()
    selected = only or (QUICK if quick else tuple(GROUPS))
    measurements: list[Measurement] = []
    failed: dict[str, str] = {}
    for group in selected:
        group_start = time.monotonic()
        try:
            measurements += importlib.import_module(GROUPS[group]).run(RunScale(quick))
        except (OSError, RuntimeError, TimeoutError, ValueError) as exc:
            failed[group] = f"{type(exc).__name__}: {exc}"
        kit.print_progress(
            f"{group}: took {time.monotonic() - group_start:.1f} s {failed.get(group, '')}"
        )
    _write_results(measurements)
    _print_table(measurements, failed, [group for group in GROUPS if group not in selected])
    print(f"total run time: {time.monotonic() - start:.1f} s")
    return 1 if failed else 0


def _row(measurement: Measurement) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {
        "value": measurement.value,
        "unit": measurement.unit,
        "baseline": measurement.baseline,
        "baseline_name": measurement.baseline_name,
    }
    if measurement.target is not None:
        row |= {"aim": str(measurement.target), "met": measurement.target.is_met(measurement.value)}
    return row | ({"note": measurement.note} if measurement.note else {})


def _write_results(measurements: list[Measurement]) -> None:
    rows = {measurement.name: _row(measurement) for measurement in measurements}
    path = kit.BUILD.parent / "bench.json"
    path.write_text(json.dumps(rows, indent=2) + "\n")


def _print_table(
    measurements: list[Measurement], failed: dict[str, str], skipped: list[str]
) -> None:
    print(f"{'figure':40} {'value':>11} {'unit':10} {'aim':>8} {'':6} baseline")
    for row in measurements:
        target = str(row.target or "")
        met = "" if row.target is None else "met" if row.target.is_met(row.value) else "MISSED"
        base = "" if row.baseline is None else f"{row.baseline:.4g} ({row.baseline_name})"
        line = f"{row.name:40} {row.value:11.4g} {row.unit:10} {target:>8} {met:6} {base}"
        print(f"{line}  {row.note}".rstrip())
    for group, text in failed.items():
        print(f"FAILED {group}: {text}")
    if skipped:
        print("not run:", ", ".join(skipped))


if __name__ == "__main__":
    sys.exit(defopt.run(bench))
