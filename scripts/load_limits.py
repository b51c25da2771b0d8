"""Measures how well any gateway could know the load of an endpoint at the moment of a send.

A play of the model tells, for each send, what an endpoint's load was some time before, which nobody
at a distance can know better, and what happened since. The table has the fraction of sends at which
an estimate is within one request of the load, for estimates that know

- ``load``: the exact load that time ago, of every endpoint, and the gateway's own sends since;
- ``sends``: besides, every send of all gateways since, as if they were told at once;
- ``both``: besides, how many requests usually end in that time, by the load that time ago.

Run it from the repository's root: ``python scripts/load_limits.py``.
"""

import bisect
import statistics
import typing as t

import defopt
from cardamomloft_standins.loadharness import LoadPlay, ModelEndpoint, ModelGateway, Upstream

SIZES = ((12, 10, 60), (69, 59, 347), (300, 256, 1505))
"""Gateways, endpoints and usual requests per second."""

AGES_S = (0.0, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5)
BURST = 2.0
BURST_BEGINS_S, MEASURED_FROM_S, END_S = 2.0, 2.3, 4.0


class History:
    """The load of one endpoint over time, and the sends to it."""

    def __init__(self) -> None:
        self.times = [0.0]
        self.loads = [0]
        self.sends: list[tuple[float, str]] = []

    def load(self, at: float) -> int:
        """Return the load at a time."""
        return self.loads[bisect.bisect_right(self.times, at) - 1]

    def sends_between(self, since: float, until: float) -> list[str]:
        """Return the gateways of the sends in an interval."""
        first = bisect.bisect_right(self.sends, (since, "~"))
        return [name for at, name in self.sends[first:] if at < until]


class RecordedPlay(LoadPlay):
    """A play that keeps the history of each endpoint."""

    def __init__(self, *args: t.Any, **named: t.Any) -> None:
        self.histories: dict[str, History] = {}
        self.moments: list[tuple[float, str, str]] = []
        super().__init__(*args, **named)
        self.histories = {endpoint.row.id: History() for endpoint in self.endpoints}
        for endpoint in self.endpoints:
            self._observe(endpoint)

    def _observe(self, endpoint: ModelEndpoint) -> None:
        history, receive, end = self.histories[endpoint.row.id], endpoint.receive, endpoint._end

        def note() -> None:
            history.times.append(self.time.now)
            history.loads.append(endpoint.load)

        def received(key: str, done: t.Callable[[bool], None]) -> None:
            receive(key, done)
            note()

        def ended(key: str, done: t.Callable[[bool], None]) -> None:
            end(key, done)
            note()

        endpoint.receive, endpoint._end = received, ended

    def record_send(
        self, gateway: ModelGateway, upstream: Upstream, endpoint: ModelEndpoint, key: str
    ) -> None:
        """Record the moment besides what the gateway knows."""
        super().record_send(gateway, upstream, endpoint, key)
        self.moments.append((self.time.now, upstream.id, gateway.record.name))
        self.histories[upstream.id].sends.append((self.time.now, gateway.record.name))


def measure(play: RecordedPlay, age_s: float) -> tuple[float, float, float]:
    """Return the fraction of sends within one request for each of the three estimates."""
    rows = [row for row in play.moments if row[0] >= MEASURED_FROM_S]
    ended: dict[int, list[int]] = {}
    cases = []
    for at, endpoint, gateway in rows:
        history = play.histories[endpoint]
        before, true = history.load(at - age_s), history.load(at)
        sends = history.sends_between(at - age_s, at)
        cases.append((before, sends.count(gateway), len(sends), true))
        ended.setdefault(before, []).append(before + len(sends) - true)
    usual = {before: statistics.mean(counts) for before, counts in ended.items()}

    def within(estimate: t.Callable[[int, int, int], float]) -> float:
        hits = [abs(estimate(*case[:3]) - case[3]) <= 1 for case in cases]
        return sum(hits) / len(hits)

    return (
        within(lambda before, own, sends: before + own),
        within(lambda before, own, sends: before + sends),
        within(lambda before, own, sends: before + sends - usual[before]),
    )


def main(*, seed: int = 1) -> None:
    """Print the table.

    Parameters
    ----------
    seed
        Of everything random.
    """
    print("gateways  age ms   load  sends   both  product  report age ms")
    for gateways, endpoints, rate in SIZES:
        play = RecordedPlay(gateways, endpoints, rate, seed=seed)
        play.fill_caches()
        play.play(BURST_BEGINS_S)
        play.play(END_S - BURST_BEGINS_S, BURST)
        ages = [row.report_age_s for row in play.sends if row.at >= MEASURED_FROM_S]
        age_ms = statistics.median(age for age in ages if age is not None) * 1000
        product = play.within_one(MEASURED_FROM_S)
        for age_s in AGES_S:
            load, sends, both = measure(play, age_s)
            print(
                f"{gateways:8}  {age_s * 1000:6.0f}  {load:5.3f}  {sends:5.3f}  {both:5.3f}"
                f"  {product:7.3f}  {age_ms:13.0f}"
            )


if __name__ == "__main__":
    defopt.run(main)
