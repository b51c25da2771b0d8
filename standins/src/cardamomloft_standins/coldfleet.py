"""Gateways that send to endpoints which become cold, and what each endpoint gets in any second."""

import random
from collections import defaultdict, deque
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.choices import Choice
from cardamomloft.core.model import Refusal
from cardamomloft.core.registrations import (
    EntryRecorded,
    EntryWithdrawn,
    Registration,
    UpstreamRegistered,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)

from cardamomloft_standins import gateway as kit
from cardamomloft_standins.relayharness import COLD_LIMIT, Deployment, Gateway

MS = kit.MS

HEARTBEAT = 1500 * MS
"""Interval at which an endpoint writes its registration."""

COLD_TIME = kit.POLICY.cold_time
COLD_BEFORE_END = 1100 * MS
"""Time before the end of a drain from which the endpoints of the zone are cold."""

SERVICE_TIME = 60 * MS
LINK_DELAY = 2 * MS
STEP = 5 * MS
ALLOWED = kit.POLICY.cold_per_s * COLD_LIMIT.overage + COLD_LIMIT.slack
"""Requests that a cold endpoint may get in any second from all gateways together."""


class ColdEndpoint:
    """One endpoint: until when it is cold, and the arrivals of the last second while it was."""

    def __init__(self, number: int, zone: str) -> None:
        self.number = number
        self.zone = zone
        self.registration = kit.registration(number, zone=zone)
        self.cold_from = timedelta(0)
        self.cold_until = timedelta(0)
        self.most_in_second = 0
        self._arrivals: deque[timedelta] = deque()

    def make_cold(self, now: timedelta) -> None:
        """Become cold."""
        self.cold_from, self.cold_until = now, now + COLD_TIME
        self._arrivals.clear()

    def receive(self, now: timedelta) -> None:
        """Count a request that arrives."""
        if not self.cold_from <= now < self.cold_until:
            return
        self._arrivals.append(now)
        while now - self._arrivals[0] > timedelta(seconds=1):
            self._arrivals.popleft()
        self.most_in_second = max(self.most_in_second, len(self._arrivals))

    def row(self, now: timedelta) -> Registration:
        """Return its registration as it writes it now."""
        return self.registration._replace(cold_left=max(timedelta(0), self.cold_until - now))


class ColdFleet(Deployment):
    """Gateways with callers, and endpoints in three zones that may be drained and become cold.

    Parameters
    ----------
    seed
        Of callers, gateways and network.
    count
        Number of gateways.
    per_zone
        Number of endpoints in each zone.
    rate
        Requests per second from all callers.
    zones
        The zones that have endpoints.
    """

    def __init__(
        self,
        seed: int,
        count: int = 6,
        per_zone: int = 2,
        rate: float = 150.0,
        zones: str = "abc",
    ) -> None:
        self.rng = random.Random(f"callers {seed}")
        self.rate = rate
        self.endpoints = {
            f"i-{number}": ColdEndpoint(number, zones[number % len(zones)])
            for number in range(1, len(zones) * per_zone + 1)
        }
        self.refused = 0
        self.served: dict[str, int] = defaultdict(int)
        self._registered = False
        self._owed = 0.0
        self._starts = 0
        super().__init__(seed, count, compares_notices=True)
        for endpoint in self.endpoints.values():
            self._beat(endpoint)
        self.run(2 * HEARTBEAT)
        self._registered = True

    def run(self, duration: timedelta) -> None:
        """Advance the clocks while callers send requests and endpoints write their records."""
        for _ in range(duration // STEP):
            if self._registered:
                self._send_requests()
            super().run(STEP)

    def later(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Do something after a delay, while the clocks are advanced."""
        self.time.reactor.callLater(delay.total_seconds(), action)

    def drain(self, zone: str) -> None:
        """Write that a zone gets no requests."""
        self.store.write(("zone", zone), ZoneDrained(zone))

    def restore(self, zone: str) -> None:
        """Write that a zone may be used again."""
        self.store.write(("zone", zone), ZoneRestored(zone), removes=True)

    def make_cold(self, zone: str) -> None:
        """Let the endpoints of a zone become cold; their next records say so."""
        now = self.time.clock.monotonic()
        for endpoint in self.in_zone(zone):
            endpoint.make_cold(now)

    def evacuate(
        self, zone: str, duration: timedelta, cold_before: timedelta = COLD_BEFORE_END
    ) -> None:
        """Drain a zone for a time; its endpoints become cold shortly before the end."""
        self.drain(zone)
        self.run(duration - cold_before)
        self.make_cold(zone)
        self.run(cold_before)
        self.restore(zone)

    def in_zone(self, zone: str) -> list[ColdEndpoint]:
        """Return the endpoints of a zone."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.zone == zone]

    def lapse(self, endpoint: ColdEndpoint) -> None:
        """Remove the registration of an endpoint that goes on serving."""
        upstream_id = endpoint.registration.id
        self.store.write(("up", upstream_id), UpstreamWithdrawn(upstream_id), removes=True)

    def register(self, endpoint: ColdEndpoint) -> None:
        """Write the registration of an endpoint."""
        row = endpoint.row(self.time.clock.monotonic())
        self.store.write(("up", row.id), UpstreamRegistered(row))

    def restart(self, gateway: Gateway, pause: timedelta = 100 * MS) -> Gateway:
        """Kill a gateway, and start another process under its name."""
        self._kill(gateway)
        self.run(pause)
        return self._start(gateway)

    def restart_all(self, pause: timedelta) -> None:
        """Kill all gateways at once, and start a process for each."""
        killed = list(self.gateways)
        for gateway in killed:
            self._kill(gateway)
        self.run(pause)
        for gateway in killed:
            self._start(gateway)

    def _kill(self, gateway: Gateway) -> None:
        gateway.stop()
        self.gateways.remove(gateway)

    def _start(self, gateway: Gateway) -> Gateway:
        self._starts += 1
        started = Gateway(
            gateway.record, self.store, self.network, self.time, 1000 * self._starts + self.number
        )
        self.gateways.append(started)
        started.compare_notices()
        started.start()
        return started

    def lose_record(self, gateway: Gateway) -> None:
        """Remove the record of a gateway that goes on serving."""
        self.store.write(("entry", gateway.name), EntryWithdrawn(gateway.name), removes=True)

    def write_record(self, gateway: Gateway) -> None:
        """Write the record of a gateway."""
        self.store.write(("entry", gateway.name), EntryRecorded(gateway.record))

    def most_in_second(self) -> int:
        """Return the most requests that any cold endpoint got in a second."""
        return max(endpoint.most_in_second for endpoint in self.endpoints.values())

    def _beat(self, endpoint: ColdEndpoint) -> None:
        if ("up", endpoint.registration.id) in self.store.held or not self._registered:
            self.register(endpoint)
        pause = HEARTBEAT.total_seconds() * self.rng.uniform(0.9, 1.1)
        self.time.reactor.callLater(pause, self._beat, endpoint)

    def _send_requests(self) -> None:
        self._owed += self.rate * STEP.total_seconds()
        while self._owed >= 1:
            self._owed -= 1
            ready = [gateway for gateway in self.gateways if gateway.view.listed]
            if ready:
                self._send(self.rng.choice(ready))

    def _send(self, gateway: Gateway) -> None:
        now = self.time.clock.monotonic()
        key = f"k-{self.rng.randrange(60)}"
        chosen = gateway.selector.choose(kit.RULE, "menus", key, (), now + 2000 * MS, now)
        if isinstance(chosen, Refusal):
            self.refused += 1
            return
        assert isinstance(chosen, Choice)
        endpoint = self.endpoints[chosen.upstream.id]
        gateway.selector.record_sent(chosen.upstream, now)
        self.served[endpoint.zone] += 1
        reactor, delay = self.time.reactor, LINK_DELAY.total_seconds()
        reactor.callLater(delay, lambda: endpoint.receive(self.time.clock.monotonic()))
        reactor.callLater(
            delay + SERVICE_TIME.total_seconds(), gateway.selector.record_end, chosen.upstream
        )
