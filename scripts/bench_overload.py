"""Goodput under overload, skewed load and a store outage, relative to the capacity."""

import signal
import typing as t

import bench_kit as kit
from bench_baselines import start_baselines, stop_baselines
from bench_kit import LoadResult, Measurement, Plan, RunScale, Target
from fleet import Fleet

SERVICE_TIME_MS = 600.0
DEADLINE_MS = 4000
ORDER_FRACTION = 0.3
LOAD_PROCESSES = {2: 1, 5: 2}

PLAN = Plan(number=10, deadline_ms=DEADLINE_MS, max_deadline_ms=8000)


def run(scale: RunScale) -> list[Measurement]:
    """Run all experiments on one deployment, then the baselines against the same upstreams."""
    measurements: list[Measurement] = []
    with kit.deployment(PLAN) as fleet:
        factors = [2] if scale.quick else [2, 5]
        found = {n: _overload(fleet, f"over-{n}", n, scale.pick(14, 6)) for n in factors}
        skewed = _skew(fleet, scale)
        measurements.append(
            Measurement(
                "overload.slot_overshoot", kit.slot_overshoot(fleet), "slots", Target("<=", 0)
            )
        )
        if not scale.quick:
            measurements += _outage(fleet, scale)
        fleet.end(fleet.document["entries"], timeout=0.1)
        modes = ["static"] if scale.quick else ["queue", "static"]
        baselines = {mode: _baseline(fleet, mode, factors, scale) for mode in modes}
        static_skew = None if scale.quick else _static_skew(fleet, scale)
    for n in factors:
        queue = baselines["queue"][n] if "queue" in baselines else None
        measurements += _overload_measurements(n, found[n], queue, baselines["static"][n])
    measurements += _skew_measurements(skewed, static_skew)
    return measurements


def _mix(capacity_per_s: float, load_factor: float, service_time_ms: float) -> kit.Mix:
    orders = min(ORDER_FRACTION, load_factor) * capacity_per_s
    lower_rate = (load_factor * capacity_per_s - orders) / 2
    common = {"path": "/jobs/a", "deadline_ms": DEADLINE_MS, "work_ms": service_time_ms}
    return [
        {
            "name": "orders",
            "method": "POST",
            "rate": orders,
            "body_bytes": 100,
            **common,
        },
        {"name": "normal", "method": "GET", "rate": lower_rate, "priority": "normal", **common},
        {"name": "bulk", "method": "GET", "rate": lower_rate, "priority": "bulk", **common},
    ]


def _capacity_per_s(service_time_ms: float) -> float:
    return PLAN.capacity * 1000 / service_time_ms


def _overload(
    fleet: Fleet, name: str, load_factor: int, seconds: float, **cfg: t.Any
) -> LoadResult:
    kit.print_progress(f"{name}: {load_factor} times the capacity for {seconds:g} s")
    mix = _mix(_capacity_per_s(SERVICE_TIME_MS), load_factor, SERVICE_TIME_MS)
    settings = {"direct": True, **cfg}
    return kit.run_loads(
        fleet, name, mix, seconds, processes=LOAD_PROCESSES[load_factor], **settings
    )


def _goodput(result: LoadResult, service_time_ms: float) -> float:
    return result.rate("in_time_by_second") / _capacity_per_s(service_time_ms)


def _priority_loss(result: LoadResult) -> int:
    """Return the number of orders refused in seconds in which lower priorities were served."""
    refused_orders = 0
    for second in result.window:
        one = result._replace(window=range(second, second + 1))
        if one.count("by_second", "normal") or one.count("by_second", "bulk"):
            refused_orders += one.count("outcomes_by_second", "orders:refused")
    return refused_orders


def _overload_measurements(
    load_factor: int, own: LoadResult, queue: LoadResult | None, static: LoadResult
) -> list[Measurement]:
    kit.print_progress(f"overload x{load_factor}: refused for {own.reasons()}")
    goodput, name = _goodput(own, SERVICE_TIME_MS), f"overload.goodput_ratio_x{load_factor}"
    orders = own.count("outcomes_by_second", "orders:")
    return [
        Measurement(
            name,
            goodput,
            "ratio",
            Target(">=", 0.95),
            queue and _goodput(queue, SERVICE_TIME_MS),
            "no admission",
        ),
        Measurement(
            f"{name}_static",
            goodput,
            "ratio",
            Target(">=", 0.95),
            _goodput(static, SERVICE_TIME_MS),
            "static division",
        ),
        Measurement(
            f"overload.priority_loss_x{load_factor}",
            _priority_loss(own),
            "orders",
            Target("<=", 0),
            _priority_loss(static),
            "static division",
            f"of {orders} orders",
        ),
    ]


def _skew(fleet: Fleet, scale: RunScale) -> "_SkewResult":
    seconds = scale.pick(16, 6)
    kit.print_progress(f"skew: all callers at one entry for {seconds:g} s")
    before = kit.sent_peer_messages(fleet)
    mix = _mix(_capacity_per_s(SERVICE_TIME_MS), 1.5, SERVICE_TIME_MS)
    cfg = {"entries": fleet.addresses()[:1], "direct": True}
    result = kit.run_loads(fleet, "skew", mix, seconds, **cfg)
    return _SkewResult(result, kit.sent_peer_messages(fleet) - before)


class _SkewResult(t.NamedTuple):
    """Result of a load on one entry, and the messages that all entries sent to peers during it."""

    result: LoadResult
    messages: float


def _skew_measurements(skewed: _SkewResult, static: LoadResult | None) -> list[Measurement]:
    result = skewed.result
    kit.print_progress(f"skew: refused for {result.reasons()}")
    requests = sum(sum(kind.values()) for r in result.reports for kind in r["outcomes"].values())
    return [
        Measurement(
            "skew.utilisation",
            _goodput(result, SERVICE_TIME_MS),
            "ratio",
            Target(">=", 0.95),
            static and _goodput(static, SERVICE_TIME_MS),
            "static division",
        ),
        Measurement(
            "skew.messages_per_request",
            skewed.messages / max(1, requests),
            "messages",
            note="gossip of all 12 entries included",
        ),
    ]


def _baseline(
    fleet: Fleet, mode: str, factors: list[int], scale: RunScale
) -> dict[int, LoadResult]:
    fleet.set_upstreams(shed=True)
    addresses = start_baselines(fleet, PLAN, mode, SERVICE_TIME_MS)
    found = {}
    for n in factors:
        name = f"{mode}-over-{n}"
        found[n] = _overload(fleet, name, n, scale.pick(12, 5), entries=addresses)
    stop_baselines(fleet, mode)
    return found


def _static_skew(fleet: Fleet, scale: RunScale) -> LoadResult:
    addresses = start_baselines(fleet, PLAN, "static", SERVICE_TIME_MS)
    mix = _mix(_capacity_per_s(SERVICE_TIME_MS), 1.5, SERVICE_TIME_MS)
    seconds = scale.pick(12, 5)
    found = kit.run_loads(fleet, "static-skew", mix, seconds, entries=addresses[:1], direct=True)
    stop_baselines(fleet, "static")
    return found


def _outage(fleet: Fleet, scale: RunScale) -> list[Measurement]:
    """Measure goodput at twice the capacity with the store down, then also with a killed entry."""
    seconds = scale.pick(14, 6)
    store_up = _overload(fleet, "store-up", 2, seconds)
    fleet.set_store(down="hang")
    store_down = _overload(fleet, "store-down", 2, seconds)
    seat = list(fleet.document["entries"])[3]
    fleet.processes[seat].signal(signal.SIGKILL)
    fleet.set_vms({seat: "gone"})
    alive = [a for a in fleet.addresses() if a != fleet.document["entries"][seat]["callers"]]
    entry_dead = _overload(fleet, "entry-dead", 2, seconds, entries=alive)
    entry_dead_later = _overload(fleet, "entry-dead-later", 2, seconds, entries=alive)
    fleet.set_store(down=False)
    baseline = _goodput(store_up, SERVICE_TIME_MS)
    measurements = [
        ("outage.goodput_ratio", store_down, Target(">=", 0.95), ""),
        ("outage.entry_dead_goodput_ratio", entry_dead, None, "0 to 14 s after the death"),
        (
            "outage.entry_dead_later_goodput_ratio",
            entry_dead_later,
            Target(">=", 0.95),
            "14 to 28 s after the death",
        ),
    ]
    return [
        Measurement(
            name,
            _goodput(result, SERVICE_TIME_MS),
            "ratio",
            target,
            baseline,
            "store up, all alive",
            note,
        )
        for name, result, target, note in measurements
    ]
