"""A model of one endpoint: slots, a queue, objects at hand, a load report in each answer."""

import random
import typing as t
from collections import OrderedDict, deque
from collections.abc import Callable

from cardamomloft.core.registrations import Registration
from twisted.internet.task import Clock

from cardamomloft_standins.experiment.scenarios import Traits


class Ended(t.NamedTuple):
    """How a request ended at an endpoint; `load` is what the answer reports.

    `faulty`: it ran, and the answer says that the endpoint failed.
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
        The object that it is about.
    until
        Instant in seconds at which nobody waits for it any more.
    on_end
        Told how it ended, unless the endpoint is lost.
    """

    def __init__(self, key: str, until: float, on_end: Callable[[Ended], None]) -> None:
        self.key = key
        self.until = until
        self.on_end = on_end
        self.abandoned = False


class ModelEndpoint:
    """One endpoint.

    Parameters
    ----------
    clock
        The simulated time.
    registration
        Its registration.
    traits
        What endpoints of the service are like.
    rng
        Draws the times of work.

    Attributes
    ----------
    lost
        Whether it answers nothing.
    slowness
        How many times as long its work takes.
    errors
        Part of its requests that end with an error.
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
        """Run a request, let it wait, or refuse it."""
        if self.lost:
            return
        if len(self._running) < self._traits.slots:
            self._start(job)
        elif len(self._waiting) < self._traits.queue:
            self._waiting.append(job)
        else:
            job.on_end(Ended(False, False, self.load()))

    def lose(self) -> None:
        """Lose all that it has, as in a crash; nothing of it is answered."""
        self.lost = True
        self._running.clear()
        self._waiting.clear()
        self._kept.clear()

    def load(self) -> str:
        """Return its load report: running, waiting, slots."""
        return f"{len(self._running)},{len(self._waiting)},{self._traits.slots}"

    def _start(self, job: Job) -> None:
        self._running.add(job)
        warm = self._touch(job.key)
        work = self._traits.work.total_seconds() * (self._traits.warm_part if warm else 1)
        work *= self._rng.lognormvariate(0, self._traits.spread) * self.slowness
        # It stops at the deadline, as endpoints do that get one with each request.
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
