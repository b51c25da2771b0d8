"""Capacity rows of the peer network and of the control plane of a whole node."""

from collections.abc import Iterator

from slopes_model import (
    FULL_MESH_MAX_ENTRIES,
    MAX_CONTROL_BYTES,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_PERCENT,
    MAX_IN_FORCE_S,
    MAX_MEASURED_ENTRIES,
    NODE,
    PEERS,
    CapacityModel,
    Row,
    changes_per_s,
    digest_bytes_per_s,
    propagation_s,
    vm_list_interval_s,
)


def peers(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of the peer network."""
    yield model.row(
        PEERS,
        "messages",
        "digests, sent and received",
        digest_bytes_per_s,
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "a constant number of targets a second above 16 entries",
    )
    yield model.row(
        PEERS,
        "messages",
        "documents, sent and received",
        lambda m: 2 * m.by_entries("configuration.packed") * changes_per_s(m),
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "announce and pull; each entry gets the whole document once a change",
    )
    yield model.row(
        PEERS,
        "messages",
        "announcements, sent and received",
        lambda m: 4
        * (m.by_entries("limits.partners") + m.constants["gossip_targets"])
        * m.constants["digest_bytes"]
        * changes_per_s(m),
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "to partners when a revision is in force and when it is settled",
    )
    yield model.row(
        PEERS,
        "messages",
        "changed chunks of the map, sent and received",
        lambda m: 2 * m.at("map.change_bytes", m.plan.blocks_changed) * changes_per_s(m),
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "a change of a few blocks moves the chunks that hold them",
    )
    yield model.row(
        PEERS,
        "state",
        "seats that share a limit with an entry",
        lambda m: m.by_entries("limits.partners"),
        "seats",
        model.constants["max_links"],
        "holders are neighbours on rings; at most this many links are kept",
    )
    yield model.row(
        PEERS,
        "memory",
        "links, both ends",
        lambda m: m.at(
            "messages.link_rss", min(m.by_entries("limits.partners"), m.constants["max_links"])
        ),
        "bytes",
        MAX_CONTROL_BYTES,
        "a ZeroMQ socket for each address, closed when idle",
    )
    yield model.row(
        PEERS,
        "processor",
        "digests, sent and received",
        lambda m: digest_bytes_per_s(m)
        / m.constants["digest_bytes"]
        * m.at("messages.cpu", 32)
        / 1e4,
        "% of a core",
        MAX_CONTROL_CPU_PERCENT,
        "one frame, MessagePack; both ends and ZeroMQ's threads",
    )
    yield model.row(
        PEERS,
        "time",
        "a change until all entries have it",
        propagation_s,
        "s",
        MAX_IN_FORCE_S,
        "announce and pull with fan-out 4; each hop 35 ms, each copy checked",
    )
    yield model.row(
        PEERS,
        "time",
        "a change of client blocks until all have the chunks, at most",
        lambda m: propagation_s(m) + m.at("chunks.spread", m.plan.entries / m.plan.regions),
        "s",
        MAX_IN_FORCE_S,
        "each asks random peers of its region at an interval; both times added up",
    )


def node(model: CapacityModel) -> Iterator[Row]:
    """Yield the rows of the control plane of a whole node."""
    yield model.row(
        NODE,
        "messages",
        "everything but stewards' own calls",
        _control_bytes_per_s,
        "bytes/s",
        MAX_CONTROL_BYTES_PER_S,
        "digests, documents, announcements, chunks, load reports, VM list",
    )
    yield model.row(
        NODE,
        "processor",
        "idle entry with the whole roster",
        _idle_cpu,
        "% of a core",
        MAX_CONTROL_CPU_PERCENT,
        "timers, digests, load reports, VM list",
    )
    yield model.row(
        NODE,
        "processor",
        "idle entry and the day's changes",
        lambda m: _idle_cpu(m) + _change_cpu(m),
        "% of a core",
        MAX_CONTROL_CPU_PERCENT,
        "each change is unpacked, checked and put in force whole",
    )
    yield model.row(
        NODE,
        "time",
        "longest stall of the loop: putting a revision in force",
        lambda m: _change_ms(m) / 1000,
        "s",
        None,
        "check and put in force run in one go on the one loop",
    )
    yield model.row(
        NODE,
        "memory",
        "control's own state",
        _control_memory,
        "bytes",
        MAX_CONTROL_BYTES,
        "document, map, shares, membership, links",
    )
    yield model.row(
        NODE,
        "memory",
        "whole process, interpreter and libraries included",
        lambda m: m.by_entries("roster.rss")
        + m.by_entries("configuration.memory")
        + m.at("map.stepwise_rss", m.plan.blocks)
        + m.at("map.packed", m.plan.blocks),
        "bytes",
        MAX_CONTROL_BYTES,
        "one process does control and requests",
    )


def _control_bytes_per_s(model: CapacityModel) -> float:
    partners = model.by_entries("limits.partners") + model.constants["gossip_targets"]
    bytes_per_change = (
        2 * model.by_entries("configuration.packed")
        + 4 * partners * model.constants["digest_bytes"]
        + 2 * model.at("map.change_bytes", model.plan.blocks_changed)
    )
    return (
        digest_bytes_per_s(model)
        + bytes_per_change * changes_per_s(model)
        + model.slope("load.poll_bytes") / model.constants["load_every_s"]
        + model.by_entries("configuration.vm_list") / vm_list_interval_s(model)
    )


def _idle_cpu(model: CapacityModel) -> float:
    """Return the percentage of a core that an idle entry uses.

    Above the largest measured fleet, the cost of a longer roster is added: choosing gossip targets
    once per second and reading the VM list.
    """
    entries = model.plan.entries
    if entries <= FULL_MESH_MAX_ENTRIES:
        return model.by_entries("mesh.cpu")
    targets = model.by_entries("members.targets") / 1e4
    vms = (model.by_entries("members.on_vms") + model.by_entries("members.parse_vms")) / 10
    return (
        model.at("idle.cpu", min(entries, MAX_MEASURED_ENTRIES))
        + targets
        + vms / vm_list_interval_s(model)
    )


def _change_ms(model: CapacityModel) -> float:
    parts = ("unpack", "check", "put_in_force")
    return sum(model.by_entries(f"configuration.{part}") for part in parts)


def _change_cpu(model: CapacityModel) -> float:
    load_ms = model.at("map.change_load", model.plan.blocks_changed)
    return (_change_ms(model) + load_ms) / 10 * changes_per_s(model)


def _control_memory(model: CapacityModel) -> float:
    links = min(model.by_entries("limits.partners"), model.constants["max_links"])
    return (
        model.by_entries("configuration.memory")
        + model.by_entries("configuration.packed")
        + model.at("map.stepwise_rss", model.plan.blocks)
        + model.at("map.packed", model.plan.blocks)
        + model.at("limits.memory", model.by_entries("limits.most_held"))
        + model.by_entries("members.memory")
        + model.at("rules.memory", model.constants["rules"])
        + model.at("messages.link_rss", links)
    )
