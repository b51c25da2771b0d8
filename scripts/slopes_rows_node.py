"""Rows of the peer network and of control at a whole node."""

from collections.abc import Iterator

from slopes_working import (
    CONTROL_BYTES,
    CONTROL_BYTES_PER_S,
    CONTROL_CPU,
    IN_FORCE_S,
    LARGEST_FLEET,
    NODE,
    PEERS,
    SMALL_FLEET,
    Row,
    Working,
    changes_per_s,
    digest_bytes,
    spread_s,
    vms_wait,
)


def peers(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    yield work.row(
        PEERS,
        "messages",
        "digests, sent and received",
        digest_bytes,
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "a constant number of targets a second above 16 entries",
    )
    yield work.row(
        PEERS,
        "messages",
        "documents, sent and received",
        lambda w: 2 * w.by_entries("configuration.packed") * changes_per_s(w),
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "announce and pull; each entry gets the whole document once a change",
    )
    yield work.row(
        PEERS,
        "messages",
        "announcements, sent and received",
        lambda w: 4
        * (w.by_entries("limits.partners") + w.constants["gossip_targets"])
        * w.constants["digest_bytes"]
        * changes_per_s(w),
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "to partners when a revision is in force and when it is settled",
    )
    yield work.row(
        PEERS,
        "messages",
        "changed chunks of the map, sent and received",
        lambda w: 2 * w.at("map.change_bytes", w.plan.blocks_changed) * changes_per_s(w),
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "a change of a few blocks moves the chunks that hold them",
    )
    yield work.row(
        PEERS,
        "state",
        "seats that share a limit with an entry",
        lambda w: w.by_entries("limits.partners"),
        "seats",
        work.constants["max_links"],
        "holders are neighbours on rings; at most this many links are kept",
    )
    yield work.row(
        PEERS,
        "memory",
        "links, both ends",
        lambda w: w.at(
            "messages.link_rss", min(w.by_entries("limits.partners"), w.constants["max_links"])
        ),
        "bytes",
        CONTROL_BYTES,
        "a ZeroMQ socket for each address, closed when idle",
    )
    yield work.row(
        PEERS,
        "processor",
        "digests, sent and received",
        lambda w: digest_bytes(w) / w.constants["digest_bytes"] * w.at("messages.cpu", 32) / 1e4,
        "% of a core",
        CONTROL_CPU,
        "one frame, MessagePack; both ends and ZeroMQ's threads",
    )
    yield work.row(
        PEERS,
        "time",
        "a change until all entries have it",
        spread_s,
        "s",
        IN_FORCE_S,
        "announce and pull with fan-out 4; each hop 35 ms, each copy checked",
    )
    yield work.row(
        PEERS,
        "time",
        "a change of client blocks until all have the chunks, at most",
        lambda w: spread_s(w) + w.at("chunks.spread", w.plan.entries / w.plan.regions),
        "s",
        IN_FORCE_S,
        "each asks random peers of its region at an interval; both times added up",
    )


def node(work: Working) -> Iterator[Row]:
    """Yield the rows."""
    yield work.row(
        NODE,
        "messages",
        "everything but stewards' own calls",
        _control_bytes_per_s,
        "bytes/s",
        CONTROL_BYTES_PER_S,
        "digests, documents, announcements, chunks, load reports, VM list",
    )
    yield work.row(
        NODE,
        "processor",
        "idle entry with the whole roster",
        _idle_cpu,
        "% of a core",
        CONTROL_CPU,
        "timers, digests, load reports, VM list",
    )
    yield work.row(
        NODE,
        "processor",
        "idle entry and the day's changes",
        lambda w: _idle_cpu(w) + _change_cpu(w),
        "% of a core",
        CONTROL_CPU,
        "each change is unpacked, checked and put in force whole",
    )
    yield work.row(
        NODE,
        "time",
        "longest stall of the loop: putting a revision in force",
        lambda w: _change_ms(w) / 1000,
        "s",
        None,
        "check and put in force run in one go on the one loop",
    )
    yield work.row(
        NODE,
        "memory",
        "control's own state",
        _control_memory,
        "bytes",
        CONTROL_BYTES,
        "document, map, shares, membership, links",
    )
    yield work.row(
        NODE,
        "memory",
        "whole process, interpreter and libraries included",
        lambda w: w.by_entries("roster.rss")
        + w.by_entries("configuration.memory")
        + w.at("map.stepwise_rss", w.plan.blocks)
        + w.at("map.packed", w.plan.blocks),
        "bytes",
        CONTROL_BYTES,
        "one process does control and requests",
    )


def _control_bytes_per_s(work: Working) -> float:
    partners = work.by_entries("limits.partners") + work.constants["gossip_targets"]
    for_each_change = (
        2 * work.by_entries("configuration.packed")
        + 4 * partners * work.constants["digest_bytes"]
        + 2 * work.at("map.change_bytes", work.plan.blocks_changed)
    )
    return (
        digest_bytes(work)
        + for_each_change * changes_per_s(work)
        + work.slope("load.poll_bytes") / work.constants["load_every_s"]
        + work.by_entries("configuration.vm_list") / vms_wait(work)
    )


def _idle_cpu(work: Working) -> float:
    """Return the percentage of a core that an idle entry takes.

    It is that of real entries, up to 32, with what the longer roster adds: choosing targets once a
    second and reading the VM list.
    """
    entries = work.plan.entries
    if entries <= SMALL_FLEET:
        return work.by_entries("mesh.cpu")
    targets = work.by_entries("members.targets") / 1e4
    vms = (work.by_entries("members.on_vms") + work.by_entries("members.parse_vms")) / 10
    return work.at("idle.cpu", min(entries, LARGEST_FLEET)) + targets + vms / vms_wait(work)


def _change_ms(work: Working) -> float:
    parts = ("unpack", "check", "put_in_force")
    return sum(work.by_entries(f"configuration.{part}") for part in parts)


def _change_cpu(work: Working) -> float:
    loaded = work.at("map.change_load", work.plan.blocks_changed)
    return (_change_ms(work) + loaded) / 10 * changes_per_s(work)


def _control_memory(work: Working) -> float:
    links = min(work.by_entries("limits.partners"), work.constants["max_links"])
    return (
        work.by_entries("configuration.memory")
        + work.by_entries("configuration.packed")
        + work.at("map.stepwise_rss", work.plan.blocks)
        + work.at("map.packed", work.plan.blocks)
        + work.at("limits.memory", work.by_entries("limits.most_held"))
        + work.by_entries("members.memory")
        + work.at("rules.memory", work.constants["rules"])
        + work.at("messages.link_rss", links)
    )
