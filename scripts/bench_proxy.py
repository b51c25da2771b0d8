"""What the way through an entry adds to a direct call, and to a bare pass-through's."""

import bench_kit as kit
from bench_baselines import start_baselines, stop_baselines
from bench_kit import Figure, LoadResult, Plan, Sizes

PLAN = Plan(number=18, entries=2, upstreams=4)
WORK_MS = 60.0
HALF = 0.5
ROUNDS = 3


def run(sizes: Sizes) -> list[Figure]:
    """Send the same load directly, through a pass-through and through entries, in turn."""
    seconds = sizes.pick(6, 4)
    rate = HALF * PLAN.capacity * 1000 / WORK_MS
    row = {"name": "get", "method": "GET", "path": "/jobs/a", "rate": rate, "work_ms": WORK_MS}
    with kit.deployment(PLAN) as fleet:
        ways = {
            "direct": [r["address"] for r in fleet.upstream_rows()],
            "pass": start_baselines(fleet, PLAN, "pass", WORK_MS),
            "entry": fleet.addresses(),
        }
        found: dict[str, list[float]] = {name: [] for name in ways}
        for turn in range(1 if sizes.quick else ROUNDS):
            for name, addresses in ways.items():
                settings = {"entries": addresses, "direct": True, "plain": name == "direct"}
                result = kit.run_loads(fleet, f"{name}-load-{turn}", [row], seconds, **settings)
                found[name] += _latencies(result)
        stop_baselines(fleet, "pass")
    return _figures(found)


def _latencies(result: LoadResult) -> list[float]:
    values = result.latencies("get")
    if len(values) < result.total("error") + result.total("refused"):
        raise RuntimeError(f"most requests failed: {result.reports[0]['outcomes']}")
    return values


def _figures(found: dict[str, list[float]]) -> list[Figure]:
    figures = []
    for percent in (50, 99):
        direct, bare, own = (
            kit.milliseconds(found[n], percent) for n in ("direct", "pass", "entry")
        )
        name = f"proxy.added_p{percent}_ms"
        note = f"direct {direct:.1f} ms, at half load"
        figures.append(
            Figure(name, own - direct, "ms", None, bare - direct, "klein and treq only", note)
        )
        ratio = (own - direct) / (bare - direct) if bare > direct else 0.0
        figures.append(
            Figure(f"proxy.added_p{percent}_ratio", ratio, "ratio", None, 1.0, "the same")
        )
    return figures
