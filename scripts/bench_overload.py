"""Overload, skew and the store's outage: how much of the capacity ends in answers in time."""

import signal
import typing as t

import bench_kit as kit
from bench_baselines import start_baselines, stop_baselines
from bench_kit import Aim, Figure, LoadResult, Plan, Sizes
from fleet import Fleet

WORK_MS = 600.0
DEADLINE_MS = 4000
ORDERS = 0.3
LOADS = {2: 1, 5: 2}

PLAN = Plan(number=10, deadline_ms=DEADLINE_MS, max_deadline_ms=8000)


def run(sizes: Sizes) -> list[Figure]:
    """Run all experiments on one deployment, then the baselines on the same upstreams."""
    figures: list[Figure] = []
    with kit.deployment(PLAN) as fleet:
        times = [2] if sizes.quick else [2, 5]
        found = {n: _overload(fleet, f"over-{n}", n, sizes.pick(14, 6)) for n in times}
        skewed = _skew(fleet, sizes)
        figures.append(
            Figure("overload.slot_overshoot", kit.overshoot(fleet), "slots", Aim("<=", 0))
        )
        if not sizes.quick:
            figures += _outage(fleet, sizes)
        fleet.end(fleet.document["entries"], timeout=0.1)
        modes = ["static"] if sizes.quick else ["queue", "static"]
        base = {mode: _baseline(fleet, mode, times, sizes) for mode in modes}
        static_skew = None if sizes.quick else _static_skew(fleet, sizes)
    for n in times:
        queue = base["queue"][n] if "queue" in base else None
        figures += _overload_figures(n, found[n], queue, base["static"][n])
    figures += _skew_figures(skewed, static_skew)
    return figures


def _mix(capacity_per_s: float, times: float, work_ms: float) -> kit.Mix:
    orders = min(ORDERS, times) * capacity_per_s
    rest = (times * capacity_per_s - orders) / 2
    common = {"path": "/jobs/a", "deadline_ms": DEADLINE_MS, "work_ms": work_ms}
    return [
        {
            "name": "orders",
            "method": "POST",
            "rate": orders,
            "body_bytes": 100,
            **common,
        },
        {"name": "normal", "method": "GET", "rate": rest, "priority": "normal", **common},
        {"name": "bulk", "method": "GET", "rate": rest, "priority": "bulk", **common},
    ]


def _per_s(work_ms: float) -> float:
    return PLAN.capacity * 1000 / work_ms


def _overload(fleet: Fleet, name: str, times: int, seconds: float, **cfg: t.Any) -> LoadResult:
    kit.say(f"{name}: {times} times the capacity for {seconds:g} s")
    mix = _mix(_per_s(WORK_MS), times, WORK_MS)
    settings = {"direct": True, **cfg}
    return kit.run_loads(fleet, name, mix, seconds, processes=LOADS[times], **settings)


def _goodput(result: LoadResult, work_ms: float) -> float:
    return result.rate("in_time_by_second") / _per_s(work_ms)


def _loss(result: LoadResult) -> int:
    """Return the orders refused while lower classes were served."""
    lost = 0
    for second in result.window:
        one = result._replace(window=range(second, second + 1))
        if one.count("by_second", "normal") or one.count("by_second", "bulk"):
            lost += one.count("outcomes_by_second", "orders:refused")
    return lost


def _overload_figures(
    times: int, own: LoadResult, queue: LoadResult | None, static: LoadResult
) -> list[Figure]:
    kit.say(f"overload x{times}: refused for {own.reasons()}")
    goodput, name = _goodput(own, WORK_MS), f"overload.goodput_ratio_x{times}"
    orders = own.count("outcomes_by_second", "orders:")
    return [
        Figure(
            name,
            goodput,
            "ratio",
            Aim(">=", 0.95),
            queue and _goodput(queue, WORK_MS),
            "no admission",
        ),
        Figure(
            f"{name}_static",
            goodput,
            "ratio",
            Aim(">=", 0.95),
            _goodput(static, WORK_MS),
            "static division",
        ),
        Figure(
            f"overload.priority_loss_x{times}",
            _loss(own),
            "orders",
            Aim("<=", 0),
            _loss(static),
            "static division",
            f"of {orders} orders",
        ),
    ]


def _skew(fleet: Fleet, sizes: Sizes) -> "_Skewed":
    seconds = sizes.pick(16, 6)
    kit.say(f"skew: all callers at one entry for {seconds:g} s")
    before = kit.sent_messages(fleet)
    mix = _mix(_per_s(WORK_MS), 1.5, WORK_MS)
    cfg = {"entries": fleet.addresses()[:1], "direct": True}
    result = kit.run_loads(fleet, "skew", mix, seconds, **cfg)
    return _Skewed(result, kit.sent_messages(fleet) - before)


class _Skewed(t.NamedTuple):
    """The load at one entry, and the messages between all entries meanwhile."""

    result: LoadResult
    messages: float


def _skew_figures(skewed: _Skewed, static: LoadResult | None) -> list[Figure]:
    result = skewed.result
    kit.say(f"skew: refused for {result.reasons()}")
    requests = sum(sum(kind.values()) for r in result.reports for kind in r["outcomes"].values())
    return [
        Figure(
            "skew.utilisation",
            _goodput(result, WORK_MS),
            "ratio",
            Aim(">=", 0.95),
            static and _goodput(static, WORK_MS),
            "static division",
        ),
        Figure(
            "skew.messages_per_request",
            skewed.messages / max(1, requests),
            "messages",
            note="gossip of all 12 entries included",
        ),
    ]


def _baseline(fleet: Fleet, mode: str, times: list[int], sizes: Sizes) -> dict[int, LoadResult]:
    fleet.set_upstreams(shed=True)
    addresses = start_baselines(fleet, PLAN, mode, WORK_MS)
    found = {}
    for n in times:
        name = f"{mode}-over-{n}"
        found[n] = _overload(fleet, name, n, sizes.pick(12, 5), entries=addresses)
    stop_baselines(fleet, mode)
    return found


def _static_skew(fleet: Fleet, sizes: Sizes) -> LoadResult:
    addresses = start_baselines(fleet, PLAN, "static", WORK_MS)
    mix = _mix(_per_s(WORK_MS), 1.5, WORK_MS)
    seconds = sizes.pick(12, 5)
    found = kit.run_loads(fleet, "static-skew", mix, seconds, entries=addresses[:1], direct=True)
    stop_baselines(fleet, "static")
    return found


def _outage(fleet: Fleet, sizes: Sizes) -> list[Figure]:
    """Measure at twice the capacity with the store down, then with an entry dead as well."""
    seconds = sizes.pick(14, 6)
    up = _overload(fleet, "store-up", 2, seconds)
    fleet.set_store(down="hang")
    down = _overload(fleet, "store-down", 2, seconds)
    seat = list(fleet.document["entries"])[3]
    fleet.processes[seat].signal(signal.SIGKILL)
    fleet.set_vms({seat: "gone"})
    alive = [a for a in fleet.addresses() if a != fleet.document["entries"][seat]["callers"]]
    dead = _overload(fleet, "entry-dead", 2, seconds, entries=alive)
    later = _overload(fleet, "entry-dead-later", 2, seconds, entries=alive)
    fleet.set_store(down=False)
    base = _goodput(up, WORK_MS)
    figures = [
        ("outage.goodput_ratio", down, Aim(">=", 0.95), ""),
        ("outage.entry_dead_goodput_ratio", dead, None, "0 to 14 s after the death"),
        (
            "outage.entry_dead_later_goodput_ratio",
            later,
            Aim(">=", 0.95),
            "14 to 28 s after the death",
        ),
    ]
    return [
        Figure(name, _goodput(result, WORK_MS), "ratio", aim, base, "store up, all alive", note)
        for name, result, aim, note in figures
    ]
