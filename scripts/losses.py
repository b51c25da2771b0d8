"""Tells from the logs of all gateways which requests were slow, refused or failed, and why.

Gateways log each request that was slow, repeated, refused or failed, and the growth of their
counters; this folds both into tables by service, cause and time.
"""

import json
import sys
import typing as t
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import defopt

WINDOW_S = 4.0
"""Length of one line of the tables by time, in seconds."""

_PREFIX = "cardamomloft:"


class Line(t.NamedTuple):
    """One log line: its kind, its time in seconds and its fields."""

    kind: str
    at: float
    fields: dict[str, t.Any]


def parse_lines(lines: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines of this project; what stands before a line's JSON is left out."""
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
    """Return what cost a request most of its time, or why it was not answered."""
    sends = row.get("sends", [])
    if row["outcome"] == "refused":
        return _cause_of_refusal(row)
    if row["outcome"] in ("failed", "late"):
        return f"no answer: {sends[-1]['detail'][:24]}" if sends else "no answer: not sent"
    if row["outcome"] != "served" or not sends:
        return str(row["outcome"])
    here = row["ms"] - sum(send["ms"] for send in sends)
    earlier = sum(send["ms"] for send in sends[:-1])
    last = sends[-1]
    if here > max(earlier, last["ms"]):
        return "waiting here"
    if earlier > last["ms"]:
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
    """Return how often each cause stands in the lines of requests, by service."""
    found: dict[str, Counter[str]] = {}
    for line in lines:
        if line.kind == "request" and "service" in line.fields:
            service = found.setdefault(line.fields["service"], Counter())
            service[cause_of(line.fields)] += 1
    return found


def sum_counters(lines: Iterable[Line], begin: float) -> dict[float, Counter[str]]:
    """Return what the counters grew by in each window, without the services' names."""
    found: dict[float, Counter[str]] = {}
    for line in lines:
        if line.kind != "figures":
            continue
        window = found.setdefault((line.at - begin) // WINDOW_S * WINDOW_S, Counter())
        for name, value in line.fields.items():
            if isinstance(value, int):
                window[".".join(name.split(".")[:2])] += value
    return found


def _print_causes(causes: dict[str, Counter[str]]) -> None:
    for service, counts in sorted(causes.items()):
        print(f"{service}: {sum(counts.values())} requests with a line")
        for cause, count in counts.most_common():
            print(f"  {count:6} {cause}")


def _print_windows(windows: dict[float, Counter[str]]) -> None:
    totals = sum(windows.values(), Counter())
    names = [name for name, _ in totals.most_common(16)]
    print("second  " + " ".join(f"{name[-14:]:>14}" for name in names))
    for second, counts in sorted(windows.items()):
        print(f"{second:7.0f} " + " ".join(f"{counts[name]:14}" for name in names))


def losses(*files: Path) -> None:
    """Print why requests were slow, refused or failed.

    Parameters
    ----------
    files
        Logs of gateways; standard input if none is named.
    """
    texts = (text for path in files for text in path.open()) if files else sys.stdin
    lines = list(parse_lines(texts))
    if not lines:
        raise SystemExit("there is no log line of a gateway in the input")
    _print_causes(count_causes(lines))
    _print_windows(sum_counters(lines, min(line.at for line in lines)))


if __name__ == "__main__":
    defopt.run(losses)
