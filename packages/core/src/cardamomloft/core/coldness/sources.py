"""How an entry knows that an endpoint is cold."""

import enum


class ColdSource(enum.StrEnum):
    """What told this entry that an endpoint is cold.

    `ColdSource.REGISTRATION`: its registration states for how long it stays cold.
    `ColdSource.DRAIN_END`: its zone was drained, and the drain has ended. `ColdSource.NOTICE`:
    another entry says that it has become cold.
    """

    REGISTRATION = "registration"
    DRAIN_END = "drain-end"
    NOTICE = "notice"
