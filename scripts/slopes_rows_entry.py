"""Capacity rows of an entry that answers look-ups and forwards requests."""

from collections.abc import Iterator

from slopes_model import (
    DAY_S,
    LOOK_UPS,
    MAX_CONTROL_BYTES,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_PERCENT,
    REQUESTS,
    CapacityModel,
    Row,
)


def look_ups(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of an entry that answers look-ups."""
    per_entry = model.plan.look_ups_per_s / model.plan.entries
    yield model.row(
        LOOK_UPS,
        "state",
        "client-block map, arrays",
        lambda m: m.at("map.memory", m.plan.blocks),
        "bytes",
        MAX_CONTROL_BYTES,
        "sorted arrays by first octet (BlockMap)",
    )
    yield model.row(
        LOOK_UPS,
        "memory",
        "growth if all chunks are loaded at once",
        lambda m: m.at("map.load_peak", m.plan.blocks),
        "bytes",
        MAX_CONTROL_BYTES,
        "with_chunks for all; entries take the next row's way",
    )
    yield model.row(
        LOOK_UPS,
        "memory",
        "map loaded chunk by chunk, packed chunks kept for peers",
        lambda m: m.at("map.stepwise_peak", m.plan.blocks) + m.at("map.packed", m.plan.blocks),
        "bytes",
        MAX_CONTROL_BYTES,
        "with_chunks for each chunk as it arrives (MapLoader)",
    )
    yield model.row(
        LOOK_UPS,
        "messages",
        "look-ups of one entry",
        lambda m: m.plan.look_ups_per_s / m.plan.entries,
        "a second",
        None,
        "callers keep a list of entries and ask any of them",
    )
    yield model.row(
        LOOK_UPS,
        "processor",
        "answering them over HTTP",
        lambda m: per_entry * m.slope("load.look_ups"),
        "% of a core",
        100.0,
        "klein on one loop; the map and the kept groups in it",
    )
    yield model.row(
        LOOK_UPS,
        "processor",
        "sorting the entries by distance, all sites",
        lambda m: m.by_entries("members.look_up_groups")
        / 1000
        / m.constants["groups_kept_s"]
        * 100,
        "% of a core",
        None,
        "groups by distance, kept for a moment (Membership)",
    )
    yield model.row(
        LOOK_UPS,
        "state",
        "entries heard of within 60 s",
        lambda m: m.by_entries("members.heard_of"),
        "entries",
        None,
        "digests to a ring, holders and random seats",
    )
    yield from _startup_rows(model)


def _startup_rows(model: CapacityModel) -> Iterator[Row]:
    yield model.row(
        LOOK_UPS,
        "messages",
        "what a fresh VM fetches, spread over a VM's mean life",
        lambda m: _startup_bytes(m) * m.plan.vms_per_day / m.plan.entries / DAY_S,
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "document pulled from a peer, chunks by digest",
    )
    yield model.row(
        LOOK_UPS,
        "time",
        "fetching them at 4 KB/s throughout",
        lambda m: _startup_bytes(m) / MAX_CONTROL_BYTES_PER_S,
        "s",
        None,
        "the average allows a burst: the mean life is weeks",
    )
    yield model.row(
        LOOK_UPS,
        "time",
        "fetching the map as built",
        lambda m: m.at("map.chunks", m.plan.blocks)
        / m.constants["chunks_at_once"]
        * m.constants["chunk_every_s"],
        "s",
        None,
        "a few chunks at a time, of random peers of the region that have them",
    )
    yield model.row(
        LOOK_UPS,
        "time",
        "loading the map, processor time in steps",
        lambda m: m.at("map.stepwise_load", m.plan.blocks) / 1000,
        "s",
        None,
        "one chunk a step, so that no request waits for all",
    )


def _startup_bytes(model: CapacityModel) -> float:
    return model.at("map.packed", model.plan.blocks) + model.by_entries("configuration.packed")


def requests(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of an entry that forwards requests."""
    yield model.row(
        REQUESTS,
        "state",
        "limits held by the busiest entry",
        lambda m: m.by_entries("limits.most_held"),
        "limits",
        None,
        "at most 16 holders a limit, from a ring in its zone",
    )
    yield model.row(
        REQUESTS,
        "memory",
        "its shares",
        lambda m: m.at("limits.memory", m.by_entries("limits.most_held")),
        "bytes",
        MAX_CONTROL_BYTES,
        "one account a limit held",
    )
    yield model.row(
        REQUESTS,
        "memory",
        "ledger with all its entries taken",
        lambda m: m.at("ledger.memory", m.constants["ledger_entries"]),
        "bytes",
        model.constants["ledger_bytes"],
        "bounded by entries and bytes; not part of control",
    )
    yield model.row(
        REQUESTS,
        "processor",
        "one request over HTTP, both ways",
        lambda m: 10 * m.slope("load.requests"),
        "ms",
        None,
        "one loop; rules by index, shares held locally, no message",
    )
    yield model.row(
        REQUESTS,
        "processor",
        "matching one request against the rules",
        lambda m: m.at("rules.match", m.constants["rules"]) / 1000,
        "ms",
        None,
        "index by fixed conditions, path, header and block",
    )
    yield model.row(
        REQUESTS,
        "processor",
        "share ticks while a division is not settled",
        lambda m: m.at("limits.tick_open", m.by_entries("limits.most_held"))
        / 1e6
        / m.constants["review_s"]
        * 100,
        "% of a core",
        MAX_CONTROL_CPU_PERCENT,
        "review of open accounts at an interval and on digests",
    )
    yield model.row(
        REQUESTS,
        "messages",
        "asking endpoints for their load",
        lambda m: m.slope("load.poll_bytes") / m.constants["load_every_s"],
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "one endpoint at a time, in turn",
    )
    yield model.row(
        REQUESTS,
        "time",
        "age of a load report at its next turn",
        lambda m: m.by_entries("limits.held") / 2 * m.constants["load_every_s"],
        "s",
        model.constants["report_age_s"],
        "turns over the endpoints that this entry holds a share of",
    )
