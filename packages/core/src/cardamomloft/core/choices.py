"""Choices of an endpoint: the result, its reason, and the parameters of the selection."""

import enum
import typing as t

from cardamomloft.core.upstreamtable import Upstream


class Preferences(t.NamedTuple):
    """Tuning parameters of the endpoint selection.

    Loads are in multiples of an endpoint's slots.

    Attributes
    ----------
    endpoints_per_key
        Number of endpoints that a key may use. Each endpoint caches a bounded number of keys, so
        a larger number causes cache evictions and slower answers under overload.
    default_load, min_load, max_load
        Load up to which a request waits at its primary endpoint. The bound follows from the
        rule's target and the service time, and is kept between `min_load` and `max_load`;
        `default_load` applies while the service time is unknown.
    secondary_load
        Load up to which a request overflows to its secondary endpoint, where it is usually a cache
        miss and evicts another key.
    cached_load
        Load up to which a request prefers its secondary endpoint when it is a cache hit there and
        the primary is expected to answer later; 0 turns this off.
    retry_load
        Load up to which another endpoint is given a retry.
    shared_endpoints_per_key
        Number of endpoints that a key may use in a service whose loads are shared.
    by_response_time
        Whether endpoints are chosen by response time in all services whose loads are shared,
        instead of only where they state their work time.
    shared_late
        Whether a request is sent to an endpoint of such a service where it has to wait and will
        miss its target, if it can be answered before its deadline; otherwise it is refused.
    """

    endpoints_per_key: int = 2
    default_load: float = 2.25
    min_load: float = 1.5
    max_load: float = 3.0
    secondary_load: float = 0.5
    cached_load: float = 1.0
    retry_load: float = 1.0
    shared_endpoints_per_key: int = 3
    by_response_time: bool = False
    shared_late: bool = True


class Reason(enum.StrEnum):
    """Why an endpoint was chosen.

    `Reason.PRIMARY`: it is the primary endpoint of the key. `Reason.OVERFLOW`: the primary is full.
    `Reason.MOVED`: the primary is ejected, cold, paused or at its rate limit. `Reason.RETRY`:
    another endpoint was tried before. `Reason.COLD`: only cold endpoints are available.

    With shared loads, `Reason.SOONER`: it has the key cached and answers about as soon as the
    primary or sooner. `Reason.COPY`: it does not have the key cached, and answers before those
    that have it, which would miss the target. `Reason.REGION`: its key is moved to another region,
    as the slots of its own are nearly all in use.
    """

    PRIMARY = "home"
    OVERFLOW = "overflow"
    MOVED = "moved"
    RETRY = "repeat"
    COLD = "cold"
    SOONER = "sooner"
    COPY = "copy"
    REGION = "region"


class Choice(t.NamedTuple):
    """A chosen endpoint and the reason for the choice."""

    upstream: Upstream
    reason: Reason
