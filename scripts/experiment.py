"""Plays a seeded load on modelled endpoints under the product's placement and under others."""

from pathlib import Path

import defopt
from cardamomloft_standins.experiment.policies import POLICIES
from cardamomloft_standins.experiment.report import plot, spread, summarize, table
from cardamomloft_standins.experiment.scenarios import NAMES, scenario
from cardamomloft_standins.experiment.world import World


def experiment(
    *names: str,
    policies: list[str] | None = None,
    use: float = 0.7,
    seed: int = 1,
    plays: int = 1,
    plots: Path | None = None,
) -> None:
    """Play scenarios and print what callers got under each policy.

    Parameters
    ----------
    names
        Scenarios: calm, burst, loss, hot, roomy, fleet, fleet-drain, fleet-loss, crowd, crowd-slow,
        crowd-heavy; all if none.
    policies
        Policies to play; all if none is named.
    use
        Load in parts of what all slots can do when every object is at hand.
    seed
        Of what is drawn; the same seed gives the same figures.
    plays
        Plays of each, with this seed and those after it; the figures are medians.
    plots
        Folder for one plot of each scenario.
    """
    for name in names or NAMES:
        played = scenario(name, use)
        outcomes = {
            policy: [World(played, POLICIES[policy], seed + n).run() for n in range(plays)]
            for policy in policies or POLICIES
        }
        print(f"{name}, load {use}, seed {seed}, plays {plays}")
        print(table({policy: spread([*map(summarize, of)]) for policy, of in outcomes.items()}))
        if plots is not None:
            plots.mkdir(parents=True, exist_ok=True)
            first = {policy: of[0] for policy, of in outcomes.items()}
            plot(first, f"{name}, load {use} of the warm capacity", plots / f"{name}.png")


if __name__ == "__main__":
    defopt.run(experiment)
