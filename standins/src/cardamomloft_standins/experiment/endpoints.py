"""Simulated endpoint with slots, a queue, a cache and a load report in each answer."""

import random
import typing as t
from collections import OrderedDict, deque
from collections.abc import Callable

from cardamomloft.core.registrations import Registration
from twisted.internet.task import Clock

from cardamomloft_standins.experiment.scenarios import Traits


class JobResult(t.NamedTuple):
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
    deadline
        Deadline as simulated time, in seconds.
    on_end
        Called with the result, unless the endpoint crashes before.
    """

    def __init__(self, key: str, deadline: float, on_end: Callable[[JobResult], None]) -> None:
        self.key = key
        self.deadline = deadline
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
    noise, states_work
        Factor on the service time that the load report states if `states_work` is set.
    """

    def __init__(
        self, clock: Clock, registration: Registration, traits: Traits, rng: random.Random
    ) -> None:
        self.registration = registration
        self.crashed = False
        self.slowness = 1.0
        self.errors = 0.0
        self.noise = 1.0
        self.states_work = False
        self._clock = clock
        self._traits = traits
        self._rng = rng
        self._running: set[Job] = set()
        self._queue: deque[Job] = deque()
        self._cache: OrderedDict[str, None] = OrderedDict()

    def offer(self, job: Job) -> None:
        """Run, queue or refuse a request."""
        if self.crashed:
            return
        if len(self._running) < self._traits.slots:
            self._start(job)
        elif len(self._queue) < self._traits.queue:
            self._queue.append(job)
        else:
            job.on_end(JobResult(False, False, self.load()))

    def crash(self) -> None:
        """Crash: drop the cache and all requests without an answer."""
        self.crashed = True
        self._running.clear()
        self._queue.clear()
        self._cache.clear()

    def load(self) -> str:
        """Return the load report: running, queued, slots, and with noise the work time."""
        counts = f"{len(self._running)},{len(self._queue)},{self._traits.slots}"
        return f"{counts},{round(100 * self.noise)}" if self.states_work else counts

    def _start(self, job: Job) -> None:
        self._running.add(job)
        warm = self._access_cache(job.key)
        service_time = self._traits.service_time.total_seconds() * (
            self._traits.warm_fraction if warm else 1
        )
        service_time *= (
            self._rng.lognormvariate(0, self._traits.spread) * self.slowness * self.noise
        )
        # Endpoints receive the deadline with each request and stop at it.
        service_time = min(service_time, max(0.0, job.deadline - self._clock.seconds()))
        self._clock.callLater(service_time, self._finish, job, warm)

    def _access_cache(self, key: str) -> bool:
        warm = key in self._cache
        self._cache[key] = None
        self._cache.move_to_end(key)
        if len(self._cache) > self._traits.cache_size:
            self._cache.popitem(last=False)
        return warm

    def _finish(self, job: Job, warm: bool) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        self._start_next()
        faulty = self.errors > 0 and self._rng.random() < self.errors
        job.on_end(JobResult(True, warm, self.load(), faulty))

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self._traits.slots:
            job = self._queue.popleft()
            if job.abandoned or job.deadline <= self._clock.seconds():
                job.on_end(JobResult(False, False, self.load()))
            else:
                self._start(job)
