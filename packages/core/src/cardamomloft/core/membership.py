"""Peer state as this entry last received it; no guarantee of the system depends on it.

A digest reports what a peer had in force when it was sent, and the platform's VM list lags behind.
"gone" in that list is final for the VM but not for the seat: a digest from a process not seen
before shows that another VM has taken the seat.
"""

import hashlib
import random
import typing as t
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from datetime import datetime, timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document, regions_of_zones
from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation

DIGEST_MAX_AGE = timedelta(seconds=4)
DISTANT_DIGEST_MAX_AGE = timedelta(seconds=60)
CANDIDATE_CACHE_TTL = timedelta(seconds=1)
MAX_PAST_INCARNATIONS = 8
RING_SUCCESSORS = 3
SMALL_FLEET = 16
ROUNDS_PER_PARTNER = 4

VmState = t.Literal["live", "leaving", "gone"]


class VmRow(t.NamedTuple):
    """One VM of the platform's list; `name` is the seat, `at` the instant of its last change."""

    name: str
    state: VmState
    at: datetime


class _Location(t.NamedTuple):
    zone: str
    region: str
    site: str


class _PeerState(t.NamedTuple):
    """The last digest of a seat, and the instant of the first one from the same process."""

    incarnation: Incarnation
    digest: Digest
    received_at: timedelta
    first_received_at: datetime


class _GoneSeat(t.NamedTuple):
    """A seat listed as gone, with its last known process; `listed_at` is the row's instant."""

    number: str | None
    noted_at: timedelta
    listed_at: datetime


class Membership:
    """The roster with the last digest of each member.

    Selects the peers to send digests to and the entries to recommend to callers.

    Parameters
    ----------
    me
        This process.
    max_digest_age
        Maximum age of a digest for its sender to be recommended. It must be several times the
        digest interval, since digests may be lost.
    """

    def __init__(
        self, me: Incarnation, clock: Clock, *, max_digest_age: timedelta = DIGEST_MAX_AGE
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._me = me
        self._clock = clock
        self._max_digest_age = max_digest_age
        self._locations: dict[str, _Location] = {}
        self._drains: list[tuple[str, str, datetime]] = []
        self._holders: tuple[str, ...] = ()
        self._next_holder = 0
        self._partners: list[str] = []
        self._rounds = 0
        self._seat_order: list[str] = []
        self._ring: tuple[str, ...] = ()
        self._predecessors: frozenset[str] = frozenset()
        self._peer_states: dict[str, _PeerState] = {}
        self._past: dict[str, list[str]] = {}
        self._vm_rows: dict[str, VmRow] = {}
        self._gone: dict[str, _GoneSeat] = {}
        self._outdated_rows: dict[str, datetime] = {}
        self._groups: dict[str | None, list[list[str]]] = {}
        self._groups_expire_at = timedelta(0)
        self._all_locations: frozenset[_Location] = frozenset()
        self._recommendable: list[str] = []
        self._rotation = 0

    def configure(self, document: Document, holders: Collection[str] = ()) -> None:
        """Apply the roster and the drains of a configuration.

        Parameters
        ----------
        holders
            Seats with which this entry shares a limit; they get its digests more often.
        """
        region_of = regions_of_zones(document)
        self._locations = {
            seat: _Location(
                row["zone"], region_of.get(row["zone"], ""), row.get("site", row["zone"])
            )
            for seat, row in document["entries"].items()
        }
        self._drains = [
            (row["kind"], name, datetime.fromisoformat(row["since"]))
            for name, row in document.get("drains", {}).items()
        ]
        self._holders = tuple(sorted(set(holders) & set(self._locations) - {self._me.seat}))
        self._seat_order = sorted(self._locations, key=self._seat_sort_key)
        self._ring, self._predecessors = self._neighbours()
        self._all_locations = frozenset(self._locations.values())
        self._groups_expire_at = timedelta(0)
        for by_seat in (self._peer_states, self._past, self._gone, self._outdated_rows):
            for seat in set(by_seat) - set(self._locations) - {self._me.seat}:
                del by_seat[seat]

    def on_digest(self, sender: Incarnation, digest: Digest) -> None:
        """Record a peer's digest unless its process has been replaced or its VM is gone."""
        if sender.seat == self._me.seat or sender.number in self._past.get(sender.seat, ()):
            self.counters["digests_of_past_lives"] += 1
            return
        if not self._is_current_process(sender):
            self.counters["digests_after_gone"] += 1
            return
        self._record(sender, digest)

    def set_own_digest(self, digest: Digest) -> None:
        """Record this entry's own digest, which decides whether it recommends itself."""
        self._record(self._me, digest)

    def on_vm_list(self, rows: Iterable[VmRow]) -> None:
        """Apply the platform's VM list; pass all of its rows at each fetch.

        The list lags, so "gone" takes effect only if the seat's last known process is silent too.
        """
        for row in rows:
            before = self._vm_rows.get(row.name)
            if before and row.at < before.at:
                continue
            self._vm_rows[row.name] = row
            if row.state != "gone":
                self._gone.pop(row.name, None)
            elif row.name not in self._gone and self._applies_to_known_process(row):
                known = self._peer_states.get(row.name)
                number = known.incarnation.number if known else None
                self._gone[row.name] = _GoneSeat(number, self._clock.monotonic(), row.at)

    def gone_seats(self) -> frozenset[str]:
        """Return the seats whose VM is listed as gone and that no new process has taken."""
        return frozenset(self._gone)

    def gossip_targets(self, rng: random.Random, n: int) -> list[str]:
        """Return `n` seats to send a digest to; to be called once a second.

        The first `RING_SUCCESSORS` are this entry's fixed successors on a ring through its zone,
        so every entry receives as many digests from nearby ones each second. A third of the
        remaining targets rotate through the entries that share limits with this one. The others
        are random, so that information reaches the whole fleet, and are replaced slowly, since
        opening a connection costs more than sending a digest. In a fleet of up to `SMALL_FLEET`
        all peers are returned.
        """
        others = self._reachable()
        if len(others) < SMALL_FLEET:
            return others
        chosen = list(self._ring)
        chosen += self._rotate_holders(max(n - len(chosen), 0) // 3, chosen)
        return (chosen + self._pick_partners(rng, max(n - len(chosen), 0), others, chosen))[:n]

    def entries_for(self, site: str | None, n: int) -> list[str]:
        """Return up to `n` seats that a caller at `site` should use, nearest first.

        Only entries with a recent digest in state "ready" are returned, or this entry if there is
        none. Entries at the same distance are rotated from call to call.
        """
        self._rotation += 1
        chosen: list[str] = []
        for group in self._groups_for(site):
            start = self._rotation % len(group)
            chosen += (group[start:] + group[:start])[: n - len(chosen)]
            if len(chosen) >= n:
                break
        return chosen or [self._me.seat]

    def prefix_of(self, seat: str) -> tuple[str, timedelta] | None:
        """Return the seat's operation-id prefix and its remaining validity.

        The age of the digest is subtracted. Its time in transit is unknown, so an id under the
        prefix may still be refused as expired.
        """
        known = self._peer_states.get(seat)
        if known is None or not known.digest.prefix:
            return None
        age = self._clock.monotonic() - known.received_at
        remaining = timedelta(milliseconds=known.digest.prefix_left_ms) - age
        return (known.digest.prefix, remaining) if remaining > timedelta(0) else None

    def revision_of(self, seat: str) -> int | None:
        """Return the revision that the seat last reported as in force."""
        known = self._peer_states.get(seat)
        return known.digest.revision if known else None

    def incarnation_of(self, seat: str) -> Incarnation | None:
        """Return the process that sent the seat's last digest."""
        known = self._peer_states.get(seat)
        return known.incarnation if known else None

    def age_of(self, seat: str) -> timedelta | None:
        """Return the time since the seat's last digest was received."""
        known = self._peer_states.get(seat)
        return self._clock.monotonic() - known.received_at if known else None

    def has_recent_peer(self) -> bool:
        """Return whether any peer's digest is recent."""
        now = self._clock.monotonic()
        others = (known for seat, known in self._peer_states.items() if seat != self._me.seat)
        return any(now - known.received_at <= self._max_digest_age for known in others)

    def standby_status(self, standbys: int) -> tuple[bool, int]:
        """Return whether this entry is a standby steward, and the number of entries in its region.

        The standbys are the first seats of the region that are not known to be gone or leaving.
        Silent seats count too, since in a large fleet most peers never send this entry a digest.
        """
        here = self._locations.get(self._me.seat)
        if here is None:
            return False, 1
        members = [
            seat for seat, location in self._locations.items() if location.region == here.region
        ]
        standby_candidates = sorted(seat for seat in members if not self._is_unavailable(seat))
        return self._me.seat in standby_candidates[:standbys], len(members)

    def _record(self, sender: Incarnation, digest: Digest) -> None:
        before = self._peer_states.get(sender.seat)
        first_received_at = before.first_received_at if before else self._clock.utcnow()
        if before and before.incarnation != sender:
            self._retire(before.incarnation)
            first_received_at = self._clock.utcnow()
        if before is None or before.incarnation != sender or before.digest.state != digest.state:
            # A leaving entry must disappear from look-ups at once, not when the cache expires.
            self._groups_expire_at = timedelta(0)
        self._peer_states[sender.seat] = _PeerState(
            sender, digest, self._clock.monotonic(), first_received_at
        )

    def _is_current_process(self, sender: Incarnation) -> bool:
        """Return whether a digest comes from the seat's present VM.

        A different process in a seat listed as gone has taken the seat over. Late digests of the
        known process are dropped for `max_digest_age`; if it still sends after that, the list
        referred to an earlier VM.
        """
        gone = self._gone.get(sender.seat)
        if gone is None:
            return True
        grace_expired = self._clock.monotonic() - gone.noted_at > self._max_digest_age
        if not grace_expired and gone.number in (None, sender.number):
            return False
        del self._gone[sender.seat]
        self._outdated_rows[sender.seat] = gone.listed_at
        return True

    def _applies_to_known_process(self, row: VmRow) -> bool:
        """Return whether a "gone" row refers to the seat's last known process."""
        if self._outdated_rows.get(row.name) == row.at:
            return False
        known = self._peer_states.get(row.name)
        if known is None:
            return True
        silent = self._clock.monotonic() - known.received_at > self._max_digest_age
        return silent and known.first_received_at <= row.at

    def _is_drained(self, seat: str) -> bool:
        if not self._drains:
            return False
        now = self._clock.utcnow()
        location = self._locations[seat]
        scopes = {("entry", seat), ("zone", location.zone), ("region", location.region)}
        return any((kind, name) in scopes and since <= now for kind, name, since in self._drains)

    def _neighbours(self) -> tuple[tuple[str, ...], frozenset[str]]:
        """Return this entry's successors and predecessors on the ring of its zone.

        A zone with too few entries is filled up with successors on the region's ring.
        """
        here = self._locations.get(self._me.seat)
        if here is None:
            return (), frozenset()
        zone = self._ring_through([s for s, p in self._locations.items() if p.zone == here.zone])
        region = self._ring_through(
            [s for s, p in self._locations.items() if p.region == here.region]
        )
        after = zone + [seat for seat in region if seat not in zone]
        return tuple(after[:RING_SUCCESSORS]), frozenset(zone[-RING_SUCCESSORS:])

    def _ring_through(self, seats: list[str]) -> list[str]:
        ring = sorted(seats)
        at = ring.index(self._me.seat)
        return ring[at + 1 :] + ring[:at]

    def _rotate_holders(self, n: int, chosen: Sequence[str]) -> list[str]:
        remaining = [seat for seat in self._holders if seat not in chosen]
        if not remaining:
            return []
        start = self._next_holder % len(remaining)
        self._next_holder += n
        return (remaining[start:] + remaining[:start])[:n]

    def _pick_partners(
        self, rng: random.Random, n: int, reachable: Sequence[str], chosen: Sequence[str]
    ) -> list[str]:
        others = [seat for seat in reachable if seat not in chosen]
        kept = [seat for seat in self._partners if seat in others]
        self._rounds += 1
        if self._rounds % ROUNDS_PER_PARTNER == 0:
            kept = kept[1:]
        candidates = [seat for seat in others if seat not in kept]
        missing = max(n - len(kept), 0)
        self._partners = (kept + rng.sample(candidates, min(missing, len(candidates))))[:n]
        return self._partners

    def _reachable(self) -> list[str]:
        return [s for s in self._locations if s != self._me.seat and s not in self._gone]

    def _is_recommendable(self, seat: str) -> bool:
        known = self._peer_states.get(seat)
        if known is None or known.digest.state != "ready" or seat in self._gone:
            return False
        vm = self._vm_rows.get(seat)
        if vm and vm.state == "leaving":
            return False
        return (
            seat == self._me.seat
            or self._clock.monotonic() - known.received_at <= self._max_age_for(seat)
        )

    def _max_age_for(self, seat: str) -> timedelta:
        """Return the maximum age of the seat's digest for the seat to be recommended.

        It grows with the fleet for all but ring predecessors: each entry sends a constant number
        of digests, so those of a given distant entry arrive less often in a large fleet.
        """
        if seat in self._predecessors:
            return self._max_digest_age
        return max(
            self._max_digest_age,
            min(DISTANT_DIGEST_MAX_AGE, timedelta(seconds=len(self._locations) / 4)),
        )

    def _is_unavailable(self, seat: str) -> bool:
        if seat in self._gone:
            return True
        known = self._peer_states.get(seat)
        if known is None or seat == self._me.seat:
            return False
        return known.digest.state == "leaving"

    def _distance_from(self, site: str | None) -> t.Callable[[_Location], int]:
        """Return a function that ranks a location as seen from `site`.

        The ranks ascend: same site, same zone, same region, elsewhere.
        """
        here = self._locations.get(self._me.seat)
        at_site = [location for location in self._all_locations if site in location]
        origins = at_site or ([here] if here else [])
        sites = {site} if at_site else {location.site for location in origins}
        zones = {location.zone for location in origins}
        regions = {location.region for location in origins}

        def distance(location: _Location) -> int:
            near = (location.site in sites, location.zone in zones, location.region in regions)
            return near.index(True) if True in near else len(near)

        return distance

    def _groups_for(self, site: str | None) -> list[list[str]]:
        """Return the recommendable seats grouped by distance from `site`, nearest first."""
        now = self._clock.monotonic()
        if now >= self._groups_expire_at:
            self._groups.clear()
            self._groups_expire_at = now + CANDIDATE_CACHE_TTL
            usable = [seat for seat in self._seat_order if self._is_recommendable(seat)]
            self._recommendable = [s for s in usable if not self._is_drained(s)] or usable
        if site not in self._groups:
            self._groups[site] = self._group(site)
        return self._groups[site]

    def _group(self, site: str | None) -> list[list[str]]:
        distance = self._distance_from(site)
        distance_of = {location: distance(location) for location in self._all_locations}
        groups: dict[int, list[str]] = {}
        for seat in self._recommendable:
            groups.setdefault(distance_of[self._locations[seat]], []).append(seat)
        return [groups[rank] for rank in sorted(groups)]

    def _seat_sort_key(self, seat: str) -> bytes:
        """Return a sort key that differs per entry, so that entries list seats differently."""
        return hashlib.blake2b(f"{self._me.seat}/{seat}".encode(), digest_size=8).digest()

    def _retire(self, incarnation: Incarnation) -> None:
        past = self._past.setdefault(incarnation.seat, [])
        past.append(incarnation.number)
        del past[:-MAX_PAST_INCARNATIONS]
