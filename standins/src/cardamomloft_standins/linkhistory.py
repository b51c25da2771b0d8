"""What happened to a :class:`LinkFleet`, and which requests its gateways have given up.

All times are those of ``time.monotonic``, in seconds.
"""

import typing as t
from collections.abc import Iterable

from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import ONCE, BrokenOff, source_of

GRACE_S = 6.0
"""Time between the signal to stop and the end of a gateway by force."""

LAST_SIXTH_S = GRACE_S * 5 / 6
"""Time after the signal from which a gateway may break off what it has accepted."""

ACCEPT_S = 3.0
"""Time after the signal until which a gateway accepts requests."""

CONFIGURE_S = 3.0
"""Time until a configuration is in force at all gateways."""

SLACK_S = 0.1
"""Tolerance of a timer, and time until a change of links is in force."""

SIGNAL_SLACK_S = 0.5
"""Time until a process has handled a signal, or its connections are seen to be closed."""


class Result(t.NamedTuple):
    """A request that was sent at a time, and the status of its answer; 0 without a complete one.

    `deadline` is the time that it states for its answer.
    """

    gateway: str
    path: str
    at: float
    deadline: float
    status: int


class Change(t.NamedTuple):
    """From `at` on, the links of a gateway to the first `endpoints` are in the state `cut`."""

    gateway: str
    at: float
    cut: Cut
    endpoints: int


class Signalled(t.NamedTuple):
    """A gateway that got a signal."""

    gateway: str
    at: float


class Timeouts(t.NamedTuple):
    """The timeouts of a configuration that was written at a time."""

    at: float
    once: float
    slow: float


class LinkHistory:
    """Records changes of links, signals and configurations.

    Parameters
    ----------
    endpoints
        The names of the endpoints, in the order in which links are cut.
    """

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._numbers = {name: number for number, name in enumerate(endpoints)}
        self.changes: list[Change] = []
        self.killed: list[Signalled] = []
        self.stopped: list[Signalled] = []
        self.timeouts: list[Timeouts] = []

    def given_up(
        self, results: Iterable[Result], broken_off: Iterable[BrokenOff]
    ) -> list[tuple[Result, BrokenOff]]:
        """Return the requests without a good answer that were broken off at work, unless excused.

        A request that another endpoint has answered is not given up.
        """
        by_path = {result.path: result for result in results}
        found = ((by_path.get(one.path), one) for one in broken_off)
        return [
            (result, one)
            for result, one in found
            if result is not None and result.status != 200 and self.excuse(result, one) is None
        ]

    def excuse(self, result: Result, broken: BrokenOff) -> str | None:
        """Return why a request may have been broken off, or None."""
        if broken.at - result.at >= self._limit(result) - SLACK_S:
            return "its time was over"
        if any(self._concerns(one, result, broken) for one in self.killed if _ended(one, broken)):
            return "a process was killed"
        if any(_had_request(one, result, broken) for one in self.killed):
            return "its gateway was killed"
        if any(
            self._concerns(one, result, broken)
            for one in self.stopped
            if _late(one, result, broken)
        ):
            return "the last sixth of the grace time"
        if self._was_cut(result, broken):
            return "its link was cut"
        return None

    def _limit(self, result: Result) -> float:
        """Return the shortest time that the request may have had."""
        before = [one for one in self.timeouts if one.at <= result.at - CONFIGURE_S]
        recent = [one for one in self.timeouts if result.at - CONFIGURE_S < one.at <= result.at]
        once = result.path.startswith(ONCE)
        possible = [one.once if once else one.slow for one in before[-1:] + recent]
        return min([result.deadline, *possible])

    def _concerns(self, one: Signalled, result: Result, broken: BrokenOff) -> bool:
        """Return whether the gateway had the request from its caller or sent it to the endpoint."""
        return one.gateway == result.gateway or source_of(one.gateway) == broken.source

    def _was_cut(self, result: Result, broken: BrokenOff) -> bool:
        changes = [one for one in self.changes if source_of(one.gateway) == broken.source]
        ends = [one.at + SLACK_S for one in changes[1:]] + [float("inf")]
        return any(
            one.cut in (Cut.HANG, Cut.RESET)
            and self._numbers[broken.endpoint] < one.endpoints
            and one.at <= broken.at
            and end >= result.at
            for one, end in zip(changes, ends, strict=False)
        )


def _ended(one: Signalled, broken: BrokenOff) -> bool:
    """Return whether a request was broken off at the time of the signal."""
    return one.at <= broken.at <= one.at + SIGNAL_SLACK_S


def _had_request(one: Signalled, result: Result, broken: BrokenOff) -> bool:
    """Return whether the signalled process got the request and sent it to the endpoint.

    A busy endpoint may accept a request long after the process that sent it has ended.
    """
    sent_it = one.gateway == result.gateway and source_of(one.gateway) == broken.source
    return sent_it and result.at <= one.at <= broken.at


def _late(one: Signalled, result: Result, broken: BrokenOff) -> bool:
    """Return whether an accepted request was broken off in the last sixth of the grace time."""
    accepted = result.at <= one.at + ACCEPT_S + SIGNAL_SLACK_S
    return accepted and one.at + LAST_SIXTH_S <= broken.at <= one.at + GRACE_S + SIGNAL_SLACK_S
