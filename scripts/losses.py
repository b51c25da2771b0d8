"""Summarize from gateway logs which requests were slow, refused or failed, and why.

Gateways log each request that was slow, retried, refused or failed, and the increments of their
counters. This script aggregates both into tables by service, cause and time window.
"""

import json
import sys
import typing as t
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import defopt

WINDOW_S = 4.0
"""Length of the time window that one table row covers, in seconds."""

_PREFIX = "cardamomloft:"


class Line(t.NamedTuple):
    """One parsed log line; `timestamp` is its Unix time in seconds."""

    kind: str
    timestamp: float
    fields: dict[str, t.Any]


def parse_lines(lines: Iterable[str]) -> Iterator[Line]:
    """Yield the gateway's log lines and skip all others.

    A prefix before the JSON object of a line is ignored.
    """
    for text in lines:
        start = text.find("{")
        try:
            row = json.loads(text[start:]) if start >= 0 else {}
        except ValueError:
            continue
        kind = str(row.get("message_type", "")) if isinstance(row, dict) else ""
        if kind.startswith(_PREFIX):
            yield Line(kind.removeprefix(_PREFIX), float(row["timestamp"]), row)


def cause_of(row: t.Mapping[str, t.Any]) -> str:
    """Return the largest contributor to a request's latency, or why it was not answered."""
    sends = row.get("sends", [])
    if row["outcome"] == "refused":
        return _cause_of_refusal(row)
    if row["outcome"] in ("failed", "late"):
        return f"no answer: {sends[-1]['detail'][:24]}" if sends else "no answer: not sent"
    if row["outcome"] != "served" or not sends:
        return str(row["outcome"])
    own_ms = row["ms"] - sum(send["ms"] for send in sends)
    earlier_ms = sum(send["ms"] for send in sends[:-1])
    last = sends[-1]
    if own_ms > max(earlier_ms, last["ms"]):
        return "waiting here"
    if earlier_ms > last["ms"]:
        return f"an earlier send: {sends[0]['outcome']}"
    if last["touch"] in ("first", "beside-first"):
        return f"touch: {last['touch']}, {last['reason']}"
    load, _, slots = last["load"].partition("/")
    return "waiting there" if float(load) >= float(slots) else "slow there"


def _cause_of_refusal(row: t.Mapping[str, t.Any]) -> str:
    if row.get("sends"):
        return "refused there"
    detail = str(row.get("detail", ""))
    return "no room" if detail.startswith("no endpoint has room") else detail[:24]


def count_causes(lines: Iterable[Line]) -> dict[str, Counter[str]]:
    """Count the logged requests by service and cause."""
    found: dict[str, Counter[str]] = {}
    for line in lines:
        if line.kind == "request" and "service" in line.fields:
            service = found.setdefault(line.fields["service"], Counter())
            service[cause_of(line.fields)] += 1
    return found


def sum_counters(lines: Iterable[Line], begin: float) -> dict[float, Counter[str]]:
    """Sum the counter increments of each time window over all services.

    Keys are the seconds from `begin` to the start of the window.
    """
    found: dict[float, Counter[str]] = {}
    for line in lines:
        if line.kind != "figures":
            continue
        window = found.setdefault((line.timestamp - begin) // WINDOW_S * WINDOW_S, Counter())
        for name, value in line.fields.items():
            if isinstance(value, int):
                window[".".join(name.split(".")[:2])] += value
    return found


def _print_causes(causes: dict[str, Counter[str]]) -> None:
    for service, counts in sorted(causes.items()):
        print(f"{service}: {sum(counts.values())} logged requests")
        for cause, count in counts.most_common():
            print(f"  {count:6} {cause}")


def _print_windows(windows: dict[float, Counter[str]]) -> None:
    totals = sum(windows.values(), Counter())
    names = [name for name, _ in totals.most_common(16)]
    print("second  " + " ".join(f"{name[-14:]:>14}" for name in names))
    for second, counts in sorted(windows.items()):
        print(f"{second:7.0f} " + " ".join(f"{counts[name]:14}" for name in names))


def losses(*files: Path) -> None:
    """Print the causes of slow, refused and failed requests, and the counters over time.

    Parameters
    ----------
    files
        Gateway log files; standard input if none is given.
    """
    texts = (text for path in files for text in path.open()) if files else sys.stdin
    lines = list(parse_lines(texts))
    if not lines:
        raise SystemExit("the input contains no log line of a gateway")
    _print_causes(count_causes(lines))
    _print_windows(sum_counters(lines, min(line.timestamp for line in lines)))


if __name__ == "__main__":
    defopt.run(losses)
