"""Rows of the steward, the operator's command and our use of the store."""

from collections.abc import Iterator

from slopes_working import (
    BASE64,
    COMMAND,
    CONTROL_BYTES_PER_S,
    CONTROL_CPU,
    DAY_S,
    IN_FORCE_S,
    STEWARD,
    STORE,
    STORE_READS,
    STORE_WRITES,
    VALUE_BYTES,
    Row,
    Working,
    changes_per_s,
    vms_wait,
)


def steward(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    yield work.row(
        STEWARD,
        "messages",
        "its watch that runs out without a change",
        lambda w: w.by_entries("configuration.record") * BASE64 / w.constants["watch_s"],
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "watch on config/current, whose answer is the whole value",
    )
    yield work.row(
        STEWARD,
        "messages",
        "reading changes",
        lambda w: w.by_entries("configuration.record") * BASE64 * changes_per_s(w),
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "the whole document for each change, as JSON in base64",
    )
    yield work.row(
        STEWARD,
        "messages",
        "fetching the VM list",
        lambda w: w.by_entries("configuration.vm_list") / w.constants["vms_every_s"],
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "the steward of a region polls, changed rows go on by notices",
    )
    yield work.row(
        STEWARD,
        "messages",
        "notices of changed VMs to its region",
        lambda w: 2 * w.plan.vms_per_day / DAY_S * w.plan.entries / w.plan.regions,
        "messages/s",
        None,
        "one notice a row and entry of the region; two rows a VM",
    )
    yield work.row(
        STEWARD,
        "processor",
        "reading, packing and checking changes",
        lambda w: (
            w.by_entries("configuration.decode_record")
            + w.by_entries("configuration.pack")
            + w.by_entries("configuration.unpack")
            + w.by_entries("configuration.check")
        )
        / 10
        * changes_per_s(w),
        "% of a core",
        CONTROL_CPU,
        "once a change",
    )


def command(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    page = "one status page"
    yield work.row(
        COMMAND,
        "state",
        page,
        lambda w: w.at("operator.page", w.by_entries("limits.held")),
        "bytes",
        None,
        "the entry lists every limit that it holds",
    )
    yield work.row(
        COMMAND,
        "messages",
        "one round of questions to all entries",
        lambda w: w.plan.entries * w.at("operator.page", w.by_entries("limits.held")),
        "bytes",
        None,
        "HTTP to each entry of the roster, 64 at a time",
    )
    yield work.row(
        COMMAND,
        "time",
        "processor time of one round",
        lambda w: w.plan.entries * w.slope("mesh.command_cpu") / 1000,
        "s",
        IN_FORCE_S,
        "one process; entries that have the revision are not asked again",
    )
    yield work.row(
        COMMAND,
        "time",
        "checking a file",
        lambda w: w.by_entries("configuration.check") / 1000,
        "s",
        None,
        "types and cross references, all mistakes at once",
    )
    yield work.row(
        COMMAND,
        "time",
        "packing the whole map after a change",
        lambda w: w.at("map.change_pack", w.plan.blocks_changed) / 1000,
        "s",
        None,
        "all chunks anew, though few of them differ",
    )


def store(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    yield work.row(
        STORE,
        "state",
        "config/current",
        lambda w: w.by_entries("configuration.record"),
        "bytes",
        VALUE_BYTES,
        "one JSON record; the map is beside it",
    )
    yield work.row(
        STORE,
        "state",
        "largest chunk of the map",
        lambda w: w.at("map.largest_chunk", w.plan.blocks),
        "bytes",
        VALUE_BYTES,
        "address space halved until a part has at most 8,192 blocks",
    )
    yield work.row(
        STORE,
        "messages",
        "calls for stewardship and configuration",
        lambda w: w.plan.regions * w.at("store.region_calls", w.plan.entries / w.plan.regions),
        "calls/s",
        STORE_READS,
        "one steward and two standbys a region; the others read seldom",
    )
    yield work.row(
        STORE,
        "messages",
        "seat records of starting entries",
        lambda w: 4 * w.plan.vms_per_day / DAY_S,
        "calls/s",
        STORE_READS,
        "read and swap at the start, the same at a planned stop",
    )
    yield work.row(
        STORE,
        "messages",
        "claims of callers' own ids, at most",
        lambda w: w.constants["claims_per_s"],
        "writes/s",
        STORE_WRITES,
        "a budget for all entries, divided by the roster",
    )
    yield work.row(
        STORE,
        "messages",
        "calls for the VM list, all entries",
        lambda w: (w.plan.entries - w.plan.regions) / vms_wait(w)
        + w.plan.regions / w.constants["vms_every_s"],
        "calls/s",
        None,
        "stewards every 2 s, the others ever more seldom",
    )
