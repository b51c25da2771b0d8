"""Capacity rows of the steward, the operator's command and the store."""

from collections.abc import Iterator

from slopes_model import (
    BASE64_FACTOR,
    COMMAND,
    DAY_S,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_PERCENT,
    MAX_IN_FORCE_S,
    MAX_STORE_READS_PER_S,
    MAX_STORE_WRITES_PER_S,
    MAX_VALUE_BYTES,
    STEWARD,
    STORE,
    CapacityModel,
    Row,
    changes_per_s,
    vm_list_interval_s,
)


def steward(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of a steward."""
    yield model.row(
        STEWARD,
        "messages",
        "its watch that runs out without a change",
        lambda m: m.by_entries("configuration.record") * BASE64_FACTOR / m.constants["watch_s"],
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "watch on config/current, whose answer is the whole value",
    )
    yield model.row(
        STEWARD,
        "messages",
        "reading changes",
        lambda m: m.by_entries("configuration.record") * BASE64_FACTOR * changes_per_s(m),
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "the whole document for each change, as JSON in base64",
    )
    yield model.row(
        STEWARD,
        "messages",
        "fetching the VM list",
        lambda m: m.by_entries("configuration.vm_list") / m.constants["vms_every_s"],
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "the steward of a region polls, changed rows go on by notices",
    )
    yield model.row(
        STEWARD,
        "messages",
        "notices of changed VMs to its region",
        lambda m: 2 * m.plan.vms_per_day / DAY_S * m.plan.entries / m.plan.regions,
        "messages/s",
        None,
        "one notice a row and entry of the region; two rows a VM",
    )
    yield model.row(
        STEWARD,
        "processor",
        "reading, packing and checking changes",
        lambda m: (
            m.by_entries("configuration.decode_record")
            + m.by_entries("configuration.pack")
            + m.by_entries("configuration.unpack")
            + m.by_entries("configuration.check")
        )
        / 10
        * changes_per_s(m),
        "% of a core",
        MAX_CONTROL_CPU_PERCENT,
        "once a change",
    )


def command(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of the operator's command."""
    page = "one status page"
    yield model.row(
        COMMAND,
        "state",
        page,
        lambda m: m.at("operator.page", m.by_entries("limits.held")),
        "bytes",
        None,
        "the entry lists every limit that it holds",
    )
    yield model.row(
        COMMAND,
        "messages",
        "one round of questions to all entries",
        lambda m: m.plan.entries * m.at("operator.page", m.by_entries("limits.held")),
        "bytes",
        None,
        "HTTP to each entry of the roster, 64 at a time",
    )
    yield model.row(
        COMMAND,
        "time",
        "processor time of one round",
        lambda m: m.plan.entries * m.slope("mesh.command_cpu") / 1000,
        "s",
        MAX_IN_FORCE_S,
        "one process; entries that have the revision are not asked again",
    )
    yield model.row(
        COMMAND,
        "time",
        "checking a file",
        lambda m: m.by_entries("configuration.check") / 1000,
        "s",
        None,
        "types and cross references, all mistakes at once",
    )
    yield model.row(
        COMMAND,
        "time",
        "packing the whole map after a change",
        lambda m: m.at("map.change_pack", m.plan.blocks_changed) / 1000,
        "s",
        None,
        "all chunks anew, though few of them differ",
    )


def store(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of the load on the store."""
    yield model.row(
        STORE,
        "state",
        "config/current",
        lambda m: m.by_entries("configuration.record"),
        "bytes",
        MAX_VALUE_BYTES,
        "one JSON record; the map is beside it",
    )
    yield model.row(
        STORE,
        "state",
        "largest chunk of the map",
        lambda m: m.at("map.largest_chunk", m.plan.blocks),
        "bytes",
        MAX_VALUE_BYTES,
        "address space halved until a part has at most 8,192 blocks",
    )
    yield model.row(
        STORE,
        "messages",
        "calls for stewardship and configuration",
        lambda m: m.plan.regions * m.at("store.region_calls", m.plan.entries / m.plan.regions),
        "calls/s",
        MAX_STORE_READS_PER_S,
        "one steward and two standbys a region; the others read seldom",
    )
    yield model.row(
        STORE,
        "messages",
        "seat records of starting entries",
        lambda m: 4 * m.plan.vms_per_day / DAY_S,
        "calls/s",
        MAX_STORE_READS_PER_S,
        "read and swap at the start, the same at a planned stop",
    )
    yield model.row(
        STORE,
        "messages",
        "claims of callers' own ids, at most",
        lambda m: m.constants["claims_per_s"],
        "writes/s",
        MAX_STORE_WRITES_PER_S,
        "a budget for all entries, divided by the roster",
    )
    yield model.row(
        STORE,
        "messages",
        "calls for the VM list, all entries",
        lambda m: (m.plan.entries - m.plan.regions) / vm_list_interval_s(m)
        + m.plan.regions / m.constants["vms_every_s"],
        "calls/s",
        None,
        "stewards every 2 s, the others ever more seldom",
    )
