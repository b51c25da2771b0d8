"""Measure the system on real processes against plain ways, and print a table.

Writes ``build/bench.json``: an object from name to value, unit, baseline and aim. Ratios compare
figures of one run only.
"""

import importlib
import json
import shutil
import sys
import time
import typing as t

import bench_kit as kit
import defopt
from bench_kit import Figure, Sizes

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
    """Run the experiments.

    Parameters
    ----------
    quick
        Run fewer and shorter experiments, in less than a minute.
    only
        The groups to run; all by default.
    """
    shutil.rmtree(kit.BUILD, ignore_errors=True)
    kit.BUILD.mkdir(parents=True)
    start = time.monotonic()
    chosen = only or (QUICK if quick else tuple(GROUPS))
    figures: list[Figure] = []
    failed: dict[str, str] = {}
    for group in chosen:
        began = time.monotonic()
        try:
            figures += importlib.import_module(GROUPS[group]).run(Sizes(quick))
        except (OSError, RuntimeError, TimeoutError, ValueError) as exc:
            failed[group] = f"{type(exc).__name__}: {exc}"
        kit.say(f"{group}: took {time.monotonic() - began:.1f} s {failed.get(group, '')}")
    _write(figures)
    _show(figures, failed, [group for group in GROUPS if group not in chosen])
    print(f"whole run: {time.monotonic() - start:.1f} s")
    return 1 if failed else 0


def _row(figure: Figure) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {
        "value": figure.value,
        "unit": figure.unit,
        "baseline": figure.baseline,
        "baseline_name": figure.baseline_name,
    }
    if figure.aim is not None:
        row |= {"aim": str(figure.aim), "met": figure.aim.met(figure.value)}
    return row | ({"note": figure.note} if figure.note else {})


def _write(figures: list[Figure]) -> None:
    rows = {figure.name: _row(figure) for figure in figures}
    path = kit.BUILD.parent / "bench.json"
    path.write_text(json.dumps(rows, indent=2) + "\n")


def _show(figures: list[Figure], failed: dict[str, str], left_out: list[str]) -> None:
    print(f"{'figure':40} {'value':>11} {'unit':10} {'aim':>8} {'':6} baseline")
    for figure in figures:
        aim = str(figure.aim or "")
        met = "" if figure.aim is None else "met" if figure.aim.met(figure.value) else "MISSED"
        base = "" if figure.baseline is None else f"{figure.baseline:.4g} ({figure.baseline_name})"
        line = f"{figure.name:40} {figure.value:11.4g} {figure.unit:10} {aim:>8} {met:6} {base}"
        print(f"{line}  {figure.note}".rstrip())
    for group, text in failed.items():
        print(f"FAILED {group}: {text}")
    if left_out:
        print("not run:", ", ".join(left_out))


if __name__ == "__main__":
    sys.exit(defopt.run(bench))
