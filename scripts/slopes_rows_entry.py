"""Rows of an entry that answers look-ups and carries requests."""

from collections.abc import Iterator

from slopes_working import (
    CONTROL_BYTES,
    CONTROL_BYTES_PER_S,
    CONTROL_CPU,
    DAY_S,
    LOOK_UPS,
    REQUESTS,
    Row,
    Working,
)


def look_ups(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    per_entry = work.plan.look_ups_per_s / work.plan.entries
    yield work.row(
        LOOK_UPS,
        "state",
        "client-block map, arrays",
        lambda w: w.at("map.memory", w.plan.blocks),
        "bytes",
        CONTROL_BYTES,
        "sorted arrays by first octet (BlockMap)",
    )
    yield work.row(
        LOOK_UPS,
        "memory",
        "growth if all chunks are loaded at once",
        lambda w: w.at("map.load_peak", w.plan.blocks),
        "bytes",
        CONTROL_BYTES,
        "with_chunks for all; entries take the next row's way",
    )
    yield work.row(
        LOOK_UPS,
        "memory",
        "map loaded chunk by chunk, packed chunks kept for peers",
        lambda w: w.at("map.stepwise_peak", w.plan.blocks) + w.at("map.packed", w.plan.blocks),
        "bytes",
        CONTROL_BYTES,
        "with_chunks for each chunk as it arrives (MapLoader)",
    )
    yield work.row(
        LOOK_UPS,
        "messages",
        "look-ups of one entry",
        lambda w: w.plan.look_ups_per_s / w.plan.entries,
        "a second",
        None,
        "callers keep a list of entries and ask any of them",
    )
    yield work.row(
        LOOK_UPS,
        "processor",
        "answering them over HTTP",
        lambda w: per_entry * w.slope("load.look_ups"),
        "% of a core",
        100.0,
        "klein on one loop; the map and the kept groups in it",
    )
    yield work.row(
        LOOK_UPS,
        "processor",
        "sorting the entries by distance, all sites",
        lambda w: w.by_entries("members.look_up_groups")
        / 1000
        / w.constants["groups_kept_s"]
        * 100,
        "% of a core",
        None,
        "groups by distance, kept for a moment (Membership)",
    )
    yield work.row(
        LOOK_UPS,
        "state",
        "entries heard of within 60 s",
        lambda w: w.by_entries("members.heard_of"),
        "entries",
        None,
        "digests to a ring, holders and random seats",
    )
    yield from _fresh(work)


def _fresh(work: Working) -> Iterator[Row]:
    yield work.row(
        LOOK_UPS,
        "messages",
        "what a fresh VM fetches, spread over a VM's mean life",
        lambda w: _first_bytes(w) * w.plan.vms_per_day / w.plan.entries / DAY_S,
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "document pulled from a peer, chunks by digest",
    )
    yield work.row(
        LOOK_UPS,
        "time",
        "fetching them at 4 KB/s throughout",
        lambda w: _first_bytes(w) / CONTROL_BYTES_PER_S,
        "s",
        None,
        "the average allows a burst: the mean life is weeks",
    )
    yield work.row(
        LOOK_UPS,
        "time",
        "fetching the map as built",
        lambda w: w.at("map.chunks", w.plan.blocks)
        / w.constants["chunks_at_once"]
        * w.constants["chunk_every_s"],
        "s",
        None,
        "a few chunks at a time, of random peers of the region that have them",
    )
    yield work.row(
        LOOK_UPS,
        "time",
        "loading the map, processor time in steps",
        lambda w: w.at("map.stepwise_load", w.plan.blocks) / 1000,
        "s",
        None,
        "one chunk a step, so that no request waits for all",
    )


def _first_bytes(work: Working) -> float:
    return work.at("map.packed", work.plan.blocks) + work.by_entries("configuration.packed")


def requests(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    yield work.row(
        REQUESTS,
        "state",
        "limits held by the busiest entry",
        lambda w: w.by_entries("limits.most_held"),
        "limits",
        None,
        "at most 16 holders a limit, from a ring in its zone",
    )
    yield work.row(
        REQUESTS,
        "memory",
        "its shares",
        lambda w: w.at("limits.memory", w.by_entries("limits.most_held")),
        "bytes",
        CONTROL_BYTES,
        "one account a limit held",
    )
    yield work.row(
        REQUESTS,
        "memory",
        "ledger with all its entries taken",
        lambda w: w.at("ledger.memory", w.constants["ledger_entries"]),
        "bytes",
        work.constants["ledger_bytes"],
        "bounded by entries and bytes; not part of control",
    )
    yield work.row(
        REQUESTS,
        "processor",
        "one request over HTTP, both ways",
        lambda w: 10 * w.slope("load.requests"),
        "ms",
        None,
        "one loop; rules by index, shares held locally, no message",
    )
    yield work.row(
        REQUESTS,
        "processor",
        "matching one request against the rules",
        lambda w: w.at("rules.match", w.constants["rules"]) / 1000,
        "ms",
        None,
        "index by fixed conditions, path, header and block",
    )
    yield work.row(
        REQUESTS,
        "processor",
        "share ticks while a division is not settled",
        lambda w: w.at("limits.tick_open", w.by_entries("limits.most_held"))
        / 1e6
        / w.constants["review_s"]
        * 100,
        "% of a core",
        CONTROL_CPU,
        "review of open accounts at an interval and on digests",
    )
    yield work.row(
        REQUESTS,
        "messages",
        "asking endpoints for their load",
        lambda w: w.slope("load.poll_bytes") / w.constants["load_every_s"],
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "one endpoint at a time, in turn",
    )
    yield work.row(
        REQUESTS,
        "time",
        "age of a load report at its next turn",
        lambda w: w.by_entries("limits.held") / 2 * w.constants["load_every_s"],
        "s",
        work.constants["report_age_s"],
        "turns over the endpoints that this entry holds a share of",
    )
