"""Latency that an entry adds to a direct call, compared with a pass-through forwarder."""

import bench_kit as kit
from bench_baselines import start_baselines, stop_baselines
from bench_kit import LoadResult, Measurement, Plan, RunScale

PLAN = Plan(number=18, entries=2, upstreams=4)
SERVICE_TIME_MS = 60.0
LOAD_FRACTION = 0.5
ROUNDS = 3


def run(scale: RunScale) -> list[Measurement]:
    """Send the same load to the upstreams, to pass-through forwarders and to entries in turn."""
    seconds = scale.pick(6, 4)
    rate = LOAD_FRACTION * PLAN.capacity * 1000 / SERVICE_TIME_MS
    row = {
        "name": "get",
        "method": "GET",
        "path": "/jobs/a",
        "rate": rate,
        "work_ms": SERVICE_TIME_MS,
    }
    with kit.deployment(PLAN) as fleet:
        targets = {
            "direct": [r["address"] for r in fleet.upstream_rows()],
            "pass": start_baselines(fleet, PLAN, "pass", SERVICE_TIME_MS),
            "entry": fleet.addresses(),
        }
        found: dict[str, list[float]] = {name: [] for name in targets}
        for turn in range(1 if scale.quick else ROUNDS):
            for name, addresses in targets.items():
                settings = {"entries": addresses, "direct": True, "plain": name == "direct"}
                result = kit.run_loads(fleet, f"{name}-load-{turn}", [row], seconds, **settings)
                found[name] += _latencies(result)
        stop_baselines(fleet, "pass")
    return _measurements(found)


def _latencies(result: LoadResult) -> list[float]:
    values = result.latencies("get")
    if len(values) < result.total("error") + result.total("refused"):
        raise RuntimeError(f"most requests failed: {result.reports[0]['outcomes']}")
    return values


def _measurements(found: dict[str, list[float]]) -> list[Measurement]:
    measurements = []
    for percent in (50, 99):
        direct, passthrough, entry = (
            kit.percentile_ms(found[n], percent) for n in ("direct", "pass", "entry")
        )
        name = f"proxy.added_p{percent}_ms"
        note = f"direct {direct:.1f} ms, at half load"
        measurements.append(
            Measurement(
                name, entry - direct, "ms", None, passthrough - direct, "klein and treq only", note
            )
        )
        ratio = (entry - direct) / (passthrough - direct) if passthrough > direct else 0.0
        measurements.append(
            Measurement(f"proxy.added_p{percent}_ratio", ratio, "ratio", None, 1.0, "the same")
        )
    return measurements
