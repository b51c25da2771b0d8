"""Simulated endpoint with slots, a queue, a cache and a load report in each answer."""

import random
import typing as t
from collections import OrderedDict, deque
from collections.abc import Callable

from cardamomloft.core.registrations import Registration
from twisted.internet.task import Clock

from cardamomloft_standins.experiment.scenarios import Traits


class Ended(t.NamedTuple):
    """The result of a request at an endpoint.

    Attributes
    ----------
    ran
        Whether the request was run.
    warm
        Whether its key was cached.
    load
        The load report in the answer.
    faulty
        Whether the request ran and ended with a server error.
    """

    ran: bool
    warm: bool
    load: str
    faulty: bool = False


class Job:
    """One request at an endpoint.

    Parameters
    ----------
    key
        The affinity key.
    until
        Deadline as simulated time, in seconds.
    on_end
        Called with the result, unless the endpoint crashes before.
    """

    def __init__(self, key: str, until: float, on_end: Callable[[Ended], None]) -> None:
        self.key = key
        self.until = until
        self.on_end = on_end
        self.abandoned = False


class ModelEndpoint:
    """A simulated endpoint.

    Parameters
    ----------
    clock
        The simulated clock.
    registration
        The endpoint's registration.
    traits
        Properties of the service's endpoints.
    rng
        Draws service times and errors.

    Attributes
    ----------
    crashed
        Whether the endpoint is down; requests to a crashed endpoint get no answer.
    slowness
        Factor on the service time.
    errors
        Fraction of the requests that end with an error.
    """

    def __init__(
        self, clock: Clock, registration: Registration, traits: Traits, rng: random.Random
    ) -> None:
        self.registration = registration
        self.lost = False
        self.slowness = 1.0
        self.errors = 0.0
        self._clock = clock
        self._traits = traits
        self._rng = rng
        self._running: set[Job] = set()
        self._waiting: deque[Job] = deque()
        self._kept: OrderedDict[str, None] = OrderedDict()

    def offer(self, job: Job) -> None:
        """Run, queue or refuse a request."""
        if self.lost:
            return
        if len(self._running) < self._traits.slots:
            self._start(job)
        elif len(self._waiting) < self._traits.queue:
            self._waiting.append(job)
        else:
            job.on_end(Ended(False, False, self.load()))

    def lose(self) -> None:
        """Crash: drop the cache and all requests without an answer."""
        self.lost = True
        self._running.clear()
        self._waiting.clear()
        self._kept.clear()

    def load(self) -> str:
        """Return the load report: running, queued, slots."""
        return f"{len(self._running)},{len(self._waiting)},{self._traits.slots}"

    def _start(self, job: Job) -> None:
        self._running.add(job)
        warm = self._touch(job.key)
        work = self._traits.work.total_seconds() * (self._traits.warm_part if warm else 1)
        work *= self._rng.lognormvariate(0, self._traits.spread) * self.slowness
        # Endpoints receive the deadline with each request and stop at it.
        work = min(work, max(0.0, job.until - self._clock.seconds()))
        self._clock.callLater(work, self._finish, job, warm)

    def _touch(self, key: str) -> bool:
        warm = key in self._kept
        self._kept[key] = None
        self._kept.move_to_end(key)
        if len(self._kept) > self._traits.keeps:
            self._kept.popitem(last=False)
        return warm

    def _finish(self, job: Job, warm: bool) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        self._start_next()
        faulty = self.errors > 0 and self._rng.random() < self.errors
        job.on_end(Ended(True, warm, self.load(), faulty))

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self._traits.slots:
            job = self._waiting.popleft()
            if job.abandoned or job.until <= self._clock.seconds():
                job.on_end(Ended(False, False, self.load()))
            else:
                self._start(job)
