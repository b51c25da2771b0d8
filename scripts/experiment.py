"""Simulate a seeded load on modelled endpoints under the product's and other placement policies."""

from pathlib import Path

import defopt
from cardamomloft_standins.experiment.policies import POLICIES
from cardamomloft_standins.experiment.report import plot, spread, summarize, table
from cardamomloft_standins.experiment.scenarios import NAMES, scenario
from cardamomloft_standins.experiment.simulation import Simulation


def experiment(
    *names: str,
    policies: list[str] | None = None,
    use: float = 0.7,
    seed: int = 1,
    plays: int = 1,
    plots: Path | None = None,
    queue: bool = False,
) -> None:
    """Simulate scenarios and print the callers' results under each policy.

    Parameters
    ----------
    names
        Scenarios: calm, burst, loss, hot, roomy, fleet, fleet-drain, fleet-loss, crowd, crowd-slow,
        crowd-heavy, lookups, lookups-burst, lookups-noise; all if none.
    policies
        Policies to simulate; all if none is given.
    use
        Load as a fraction of the capacity of all slots when every key is cached.
    seed
        Random seed; equal seeds give equal results.
    plays
        Runs of each scenario with this seed and the following ones; results are medians.
    plots
        Directory for one plot per scenario.
    queue
        Hold requests for which there is no capacity, as gateways do with the feature `queue`.
    """
    for name in names or NAMES:
        selected = scenario(name, use)
        outcomes = {
            policy: [
                Simulation(selected, POLICIES[policy], seed + n, queue=queue).run()
                for n in range(plays)
            ]
            for policy in policies or POLICIES
        }
        print(f"{name}, load {use}, seed {seed}, plays {plays}")
        print(table({policy: spread([*map(summarize, runs)]) for policy, runs in outcomes.items()}))
        if plots is not None:
            plots.mkdir(parents=True, exist_ok=True)
            first = {policy: runs[0] for policy, runs in outcomes.items()}
            plot(first, f"{name}, load {use} of the warm capacity", plots / f"{name}.png")


if __name__ == "__main__":
    defopt.run(experiment)
