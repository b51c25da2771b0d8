"""How much of a region's work its own endpoints take, and where the rest goes.

Bytes between regions are dear and slow, but regions seldom have endpoints in proportion to their
callers. The division depends on the registrations only, so every entry of a region computes the
same one, and it changes only when endpoints come or go.
"""

from collections.abc import Collection, Mapping

LAST_RESORT = 1e-9
"""Weight of a slot in a region that gets nothing as long as another has endpoints."""


def slot_weights(slots: Mapping[str, int], here: str, regions: Collection[str]) -> dict[str, float]:
    """Return the weight of one slot of each region for work that arrives in `here`.

    Each region is assumed to have the same demand. One with fewer slots than that needs keeps
    work in proportion to its slots; the rest goes to regions with more, by what they have over.

    Parameters
    ----------
    slots
        Slots of a service by region.
    here
        The region in which the work arrives.
    regions
        All regions that have demand.
    """
    fair = sum(slots.values()) / max(len(regions), 1)
    own = slots.get(here, 0)
    kept = min(1.0, own / fair) if fair else 0.0
    over = {region: max(0.0, count - fair) for region, count in slots.items() if region != here}
    total_over = sum(over.values())
    weights = {}
    for region, count in slots.items():
        share = kept if region == here else 0.0
        if region != here and total_over:
            share = (1 - kept) * over[region] / total_over
        weights[region] = max(LAST_RESORT, share / count)
    return weights
