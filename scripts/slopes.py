"""Measure the slopes behind docs/CAPACITY.md and write its results, tables and plots.

The whole run stays below ten minutes and with ``--quick`` below one. A quick run has smaller
sizes, prints what it found, and leaves the page alone.
"""

import json
import os
import pathlib
import platform
import subprocess
import sys
import time
import typing as t
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

import defopt
import slopes_blocks
import slopes_chunks
import slopes_configuration
import slopes_fleet
import slopes_ledger
import slopes_limits
import slopes_members
import slopes_messages
import slopes_page
import slopes_rules
import slopes_store
from cardamomloft.core.hints import MAX_REPORT_AGE
from cardamomloft.core.membership import CANDIDATE_CACHE_TTL
from cardamomloft.core.shares import REVIEW_INTERVAL
from cardamomloft.entry import gossip, maps, node, steward, vms
from cardamomloft.peers.node import MAX_LINKS
from slopes_document import RULES
from slopes_fit import Series, fit
from slopes_roles import TARGET

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "docs" / "capacity.json"
PLOTS = ROOT / "docs" / "plots"
_DIGITS = 6
_LOAD_NOTE = "of the machine, with whatever else ran on it"

_SUBJECTS: dict[str, t.Callable[..., Iterator[Series]]] = {
    "map": slopes_blocks.measure,
    "chunks": slopes_chunks.measure,
    "rules": slopes_rules.measure,
    "limits": slopes_limits.measure,
    "members": slopes_members.measure,
    "configuration": slopes_configuration.measure,
    "store": slopes_store.measure,
    "messages": slopes_messages.measure,
    "ledger": slopes_ledger.measure,
    "processes": slopes_fleet.measure,
}


def constants() -> dict[str, float]:
    """Return what the rows need from the code besides slopes; durations in seconds."""
    defaults = node._DEFAULTS
    return {
        "chunk_every_s": node.CHUNK_REQUEST_INTERVAL.total_seconds(),
        "chunks_at_once": maps.CHUNKS_PER_REQUEST_ROUND,
        "claims_per_s": min(defaults["claims_per_s"] * TARGET.entries, node.TOTAL_CLAIMS_PER_S),
        "digest_bytes": slopes_messages.DIGEST_BYTES,
        "gossip_targets": gossip.DIGEST_FANOUT,
        "groups_kept_s": CANDIDATE_CACHE_TTL.total_seconds(),
        "ledger_bytes": defaults["ledger_bytes"],
        "ledger_entries": defaults["ledger_entries"],
        "load_every_s": defaults["load_every_ms"] / 1000,
        "max_links": MAX_LINKS,
        "report_age_s": MAX_REPORT_AGE.total_seconds(),
        "review_s": REVIEW_INTERVAL.total_seconds(),
        "rules": RULES,
        "vms_every_s": defaults["vms_every_ms"] / 1000,
        "vms_per_entry_s": vms.POLL_INTERVAL_PER_ENTRY.total_seconds(),
        "watch_s": steward.WATCH_TIMEOUT / timedelta(seconds=1),
    }


def run_subject(
    measure: Callable[..., Iterator[Series]], *, quick: bool
) -> tuple[list[Series], float]:
    """Return a subject's series and how long they took; print each as it comes."""
    start, found = time.monotonic(), []
    for series in measure(quick=quick):
        found.append(series._replace(points=tuple(map(_rounded, series.points))))
        line = fit(found[-1])
        print(
            f"{series.name:28} {series.unit:14} slope {line.slope:11.4g} R² {line.r2:6.3f} "
            f"at {', '.join(f'{size:g}: {value:.4g}' for size, value in series.points)}",
            flush=True,
        )
    return found, time.monotonic() - start


def _rounded(point: tuple[float, float]) -> tuple[float, float]:
    return t.cast(tuple[float, float], tuple(float(f"{part:.{_DIGITS}g}") for part in point))


def _commit() -> str:
    def git(*args: str) -> str:
        done = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=10, check=False
        )
        return done.stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "--", "packages", "standins")
    return (git("rev-parse", "--short", "HEAD") or "unknown") + (" with changes" if changed else "")


def main(*, quick: bool = False, page: bool = False) -> int:
    """Measure every subject, and write results, tables and plots.

    Parameters
    ----------
    quick
        Take small sizes, and write nothing.
    page
        Measure nothing: work the rows out anew from the results that are there.
    """
    if page:
        write_results(json.loads(RESULTS.read_text()))
        return 0
    load_before = os.getloadavg()[0]
    found: list[Series] = []
    seconds: dict[str, float] = {}
    for name, measure in _SUBJECTS.items():
        series, seconds[name] = run_subject(measure, quick=quick)
        found += series
    total = sum(seconds.values())
    spent = ", ".join(f"{name} {part:.0f}" for name, part in seconds.items())
    print(f"{len(found)} series in {total:.0f} s: {spent}")
    if quick:
        return 0
    results = {
        "run": {
            "when": datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
            "commit": _commit(),
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "load_before": load_before,
            "load_after": os.getloadavg()[0],
            "load_note": _LOAD_NOTE,
            "seconds": {name: round(spent, 1) for name, spent in seconds.items()},
        },
        "plan": TARGET._asdict(),
        "constants": constants(),
        "series": [series._asdict() for series in found],
    }
    write_results(results)
    for row in slopes_page.rows_of(results):
        mark = "OVER" if row.over else "    "
        print(f"{mark} {row.role:26} {row.what:60} {slopes_page.format_value(row.value, row.unit)}")
    return 0


def write_results(results: slopes_page.Results) -> None:
    """Write the results file with its rows, the page's tables, and the plots."""
    results["rows"] = [row._asdict() for row in slopes_page.rows_of(results)]
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    PAGE.write_text(slopes_page.fill_parts(PAGE.read_text(), slopes_page.render(results)))
    PLOTS.mkdir(exist_ok=True)
    slopes_page.draw(slopes_page.series_of(results), PLOTS)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
