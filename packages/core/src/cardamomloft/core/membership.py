"""What this entry believes about its peers: hints only, and no promise depends on them.

Digests say what a peer had in force when it sent them; the platform's VM list lags behind. "Gone"
in that list is final for the VM, but not for the seat: a digest from a process never seen before
shows that another VM has taken the seat.
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

FRESH = timedelta(seconds=4)
SELDOM_FRESH = timedelta(seconds=60)
CANDIDATE_CACHE_TTL = timedelta(seconds=1)
MAX_PAST_LIVES = 8
RING_SUCCESSORS = 3
SMALL_FLEET = 16
CALLS_PER_PARTNER = 4

VmState = t.Literal["live", "leaving", "gone"]


class VmRow(t.NamedTuple):
    """One VM of the platform's list; `name` is the seat, `at` the instant of its last change."""

    name: str
    state: VmState
    at: datetime


class _Place(t.NamedTuple):
    zone: str
    region: str
    site: str


class _Heard(t.NamedTuple):
    incarnation: Incarnation
    digest: Digest
    at: timedelta
    since: datetime


class _Gone(t.NamedTuple):
    """A seat out by the list: the process last heard there, when noted, and the row's instant."""

    number: str | None
    noted: timedelta
    listed: datetime


class Membership:
    """The roster, what its members last said, and whom to talk to or recommend.

    Parameters
    ----------
    me
        This process.
    fresh
        The age up to which a digest says that its sender can be recommended. It must exceed the
        interval of digests by some factor, since any of them may be lost.
    """

    def __init__(self, me: Incarnation, clock: Clock, *, fresh: timedelta = FRESH) -> None:
        self.counters: Counter[str] = Counter()
        self._me = me
        self._clock = clock
        self._fresh = fresh
        self._places: dict[str, _Place] = {}
        self._drains: list[tuple[str, str, datetime]] = []
        self._holders: tuple[str, ...] = ()
        self._next_holder = 0
        self._partners: list[str] = []
        self._calls = 0
        self._order: list[str] = []
        self._ring: tuple[str, ...] = ()
        self._predecessors: frozenset[str] = frozenset()
        self._heard: dict[str, _Heard] = {}
        self._past: dict[str, list[str]] = {}
        self._vms: dict[str, VmRow] = {}
        self._gone: dict[str, _Gone] = {}
        self._back: dict[str, datetime] = {}
        self._groups: dict[str | None, list[list[str]]] = {}
        self._groups_until = timedelta(0)
        self._all_places: frozenset[_Place] = frozenset()
        self._usable_now: list[str] = []
        self._turn = 0

    def configure(self, document: Document, holders: Collection[str] = ()) -> None:
        """Take the roster, its places and drains.

        Parameters
        ----------
        holders
            Seats with which this entry shares a limit; they get its digests more often.
        """
        region_of = regions_of_zones(document)
        self._places = {
            seat: _Place(row["zone"], region_of.get(row["zone"], ""), row.get("site", row["zone"]))
            for seat, row in document["entries"].items()
        }
        self._drains = [
            (row["kind"], name, datetime.fromisoformat(row["since"]))
            for name, row in document.get("drains", {}).items()
        ]
        self._holders = tuple(sorted(set(holders) & set(self._places) - {self._me.seat}))
        self._order = sorted(self._places, key=self._mix)
        self._ring, self._predecessors = self._neighbours()
        self._all_places = frozenset(self._places.values())
        self._groups_until = timedelta(0)
        for kept in (self._heard, self._past, self._gone, self._back):
            for seat in set(kept) - set(self._places) - {self._me.seat}:
                del kept[seat]

    def on_digest(self, sender: Incarnation, digest: Digest) -> None:
        """Take a peer's digest; one from a process already replaced in its seat is dropped."""
        if sender.seat == self._me.seat or sender.number in self._past.get(sender.seat, ()):
            self.counters["digests_of_past_lives"] += 1
            return
        if not self._may_speak(sender):
            self.counters["digests_after_gone"] += 1
            return
        self._note(sender, digest)

    def set_own_digest(self, digest: Digest) -> None:
        """Note this entry's own digest, by which it may recommend itself."""
        self._note(self._me, digest)

    def on_vm_list(self, rows: Iterable[VmRow]) -> None:
        """Take the platform's list, which lags; give it in whole at each fetch."""
        for row in rows:
            before = self._vms.get(row.name)
            if before and row.at < before.at:
                continue
            self._vms[row.name] = row
            if row.state != "gone":
                self._gone.pop(row.name, None)
            elif row.name not in self._gone and self._is_out(row):
                heard = self._heard.get(row.name)
                number = heard.incarnation.number if heard else None
                self._gone[row.name] = _Gone(number, self._clock.monotonic(), row.at)

    def gone_seats(self) -> frozenset[str]:
        """Return seats whose VM is listed as gone and that nobody has taken since."""
        return frozenset(self._gone)

    def gossip_targets(self, rng: random.Random, n: int) -> list[str]:
        """Return `n` seats to send a digest to; call it once a second.

        The first `RING_SUCCESSORS` are this entry's fixed successors on a ring through its zone,
        so every entry hears each second from as many near ones. Of the rest, a third take turns
        among those that share limits with it. The others are random, so that whatever one entry
        knows reaches all, and change slowly, since a connection costs more than a digest. In a
        fleet of up to `SMALL_FLEET` everyone gets one.
        """
        others = self._reachable()
        if len(others) < SMALL_FLEET:
            return others
        chosen = list(self._ring)
        chosen += self._holders_in_turn(max(n - len(chosen), 0) // 3, chosen)
        return (chosen + self._partners_for(rng, max(n - len(chosen), 0), others, chosen))[:n]

    def entries_for(self, site: str | None, n: int) -> list[str]:
        """Return up to `n` seats that a caller at `site` should use, nearest first.

        Only entries that lately said they are ready are named, and this one itself if there is no
        other. Within one distance they take turns.
        """
        self._turn += 1
        chosen: list[str] = []
        for group in self._groups_for(site):
            start = self._turn % len(group)
            chosen += (group[start:] + group[:start])[: n - len(chosen)]
            if len(chosen) >= n:
                break
        return chosen or [self._me.seat]

    def prefix_of(self, seat: str) -> tuple[str, timedelta] | None:
        """Return the seat's operation-id prefix and how long it is valid yet.

        The time since the digest came is taken off. The time it was on its way is not known, so
        whoever uses the prefix must still expect a refusal as expired.
        """
        heard = self._heard.get(seat)
        if heard is None or not heard.digest.prefix:
            return None
        age = self._clock.monotonic() - heard.at
        left = timedelta(milliseconds=heard.digest.prefix_left_ms) - age
        return (heard.digest.prefix, left) if left > timedelta(0) else None

    def revision_of(self, seat: str) -> int | None:
        """Return the revision that the seat last said it has in force."""
        heard = self._heard.get(seat)
        return heard.digest.revision if heard else None

    def incarnation_of(self, seat: str) -> Incarnation | None:
        """Return the process that last spoke for the seat."""
        heard = self._heard.get(seat)
        return heard.incarnation if heard else None

    def age_of(self, seat: str) -> timedelta | None:
        """Return the time since the seat's last digest came."""
        heard = self._heard.get(seat)
        return self._clock.monotonic() - heard.at if heard else None

    def has_recent_peer(self) -> bool:
        """Tell whether any peer's digest came lately."""
        now = self._clock.monotonic()
        others = (heard for seat, heard in self._heard.items() if seat != self._me.seat)
        return any(now - heard.at <= self._fresh for heard in others)

    def standby_status(self, standbys: int) -> tuple[bool, int]:
        """Tell whether this entry is among its region's standby stewards, and the region's size.

        Only seats known to be out are passed over; in a large fleet most are never heard from.
        """
        here = self._places.get(self._me.seat)
        if here is None:
            return False, 1
        members = [seat for seat, place in self._places.items() if place.region == here.region]
        likely = sorted(seat for seat in members if not self._known_out(seat))
        return self._me.seat in likely[:standbys], len(members)

    def _note(self, sender: Incarnation, digest: Digest) -> None:
        before = self._heard.get(sender.seat)
        since = before.since if before else self._clock.utcnow()
        if before and before.incarnation != sender:
            self._bury(before.incarnation)
            since = self._clock.utcnow()
        if before is None or before.incarnation != sender or before.digest.state != digest.state:
            # Look-ups must not name an entry that leaves until what is kept of them runs out.
            self._groups_until = timedelta(0)
        self._heard[sender.seat] = _Heard(sender, digest, self._clock.monotonic(), since)

    def _may_speak(self, sender: Incarnation) -> bool:
        """Tell whether a digest is no leftover of a VM that is gone.

        Another process than the last one heard has taken the seat. What that one sent may be on
        its way for a while; if it still talks after that, the list meant an earlier VM.
        """
        gone = self._gone.get(sender.seat)
        if gone is None:
            return True
        late = self._clock.monotonic() - gone.noted > self._fresh
        if not late and gone.number in (None, sender.number):
            return False
        del self._gone[sender.seat]
        self._back[sender.seat] = gone.listed
        return True

    def _is_out(self, row: VmRow) -> bool:
        """Tell whether a row "gone" is about the process last heard in that seat."""
        if self._back.get(row.name) == row.at:
            return False
        heard = self._heard.get(row.name)
        if heard is None:
            return True
        silent = self._clock.monotonic() - heard.at > self._fresh
        return silent and heard.since <= row.at

    def _is_drained(self, seat: str) -> bool:
        if not self._drains:
            return False
        now = self._clock.utcnow()
        place = self._places[seat]
        mine = {("entry", seat), ("zone", place.zone), ("region", place.region)}
        return any((kind, name) in mine and since <= now for kind, name, since in self._drains)

    def _neighbours(self) -> tuple[tuple[str, ...], frozenset[str]]:
        """Return those after this entry on its zone's ring, and those before it.

        The region's ring goes on where the zone's is short.
        """
        here = self._places.get(self._me.seat)
        if here is None:
            return (), frozenset()
        zone = self._ring_through([s for s, p in self._places.items() if p.zone == here.zone])
        region = self._ring_through([s for s, p in self._places.items() if p.region == here.region])
        after = zone + [seat for seat in region if seat not in zone]
        return tuple(after[:RING_SUCCESSORS]), frozenset(zone[-RING_SUCCESSORS:])

    def _ring_through(self, seats: list[str]) -> list[str]:
        ring = sorted(seats)
        at = ring.index(self._me.seat)
        return ring[at + 1 :] + ring[:at]

    def _holders_in_turn(self, n: int, chosen: Sequence[str]) -> list[str]:
        left = [seat for seat in self._holders if seat not in chosen]
        if not left:
            return []
        start = self._next_holder % len(left)
        self._next_holder += n
        return (left[start:] + left[:start])[:n]

    def _partners_for(
        self, rng: random.Random, n: int, reachable: Sequence[str], chosen: Sequence[str]
    ) -> list[str]:
        others = [seat for seat in reachable if seat not in chosen]
        kept = [seat for seat in self._partners if seat in others]
        self._calls += 1
        if self._calls % CALLS_PER_PARTNER == 0:
            kept = kept[1:]
        fresh = [seat for seat in others if seat not in kept]
        missing = max(n - len(kept), 0)
        self._partners = (kept + rng.sample(fresh, min(missing, len(fresh))))[:n]
        return self._partners

    def _reachable(self) -> list[str]:
        return [s for s in self._places if s != self._me.seat and s not in self._gone]

    def _usable(self, seat: str) -> bool:
        heard = self._heard.get(seat)
        if heard is None or heard.digest.state != "ready" or seat in self._gone:
            return False
        vm = self._vms.get(seat)
        if vm and vm.state == "leaving":
            return False
        return seat == self._me.seat or self._clock.monotonic() - heard.at <= self._window(seat)

    def _window(self, seat: str) -> timedelta:
        """Return the age up to which a digest counts.

        In a large fleet distant entries are heard from seldom, and a few seconds would leave
        nobody to recommend in other regions; that is the price of a constant digest rate.
        """
        if seat in self._predecessors:
            return self._fresh
        return max(self._fresh, min(SELDOM_FRESH, timedelta(seconds=len(self._places) / 4)))

    def _known_out(self, seat: str) -> bool:
        if seat in self._gone:
            return True
        heard = self._heard.get(seat)
        if heard is None or seat == self._me.seat:
            return False
        return heard.digest.state == "leaving"

    def _distances(self, site: str | None) -> t.Callable[[_Place], int]:
        """Return the distance of a place from `site`: same site, zone, region, or elsewhere."""
        here = self._places.get(self._me.seat)
        at_site = [place for place in self._all_places if site in place]
        origins = at_site or ([here] if here else [])
        sites = {site} if at_site else {place.site for place in origins}
        zones = {place.zone for place in origins}
        regions = {place.region for place in origins}

        def distance(place: _Place) -> int:
            near = (place.site in sites, place.zone in zones, place.region in regions)
            return near.index(True) if True in near else len(near)

        return distance

    def _groups_for(self, site: str | None) -> list[list[str]]:
        """Return the usable seats by distance from `site`; kept for a moment, look-ups are many."""
        now = self._clock.monotonic()
        if now >= self._groups_until:
            self._groups.clear()
            self._groups_until = now + CANDIDATE_CACHE_TTL
            usable = [seat for seat in self._order if self._usable(seat)]
            self._usable_now = [s for s in usable if not self._is_drained(s)] or usable
        if site not in self._groups:
            self._groups[site] = self._group(site)
        return self._groups[site]

    def _group(self, site: str | None) -> list[list[str]]:
        distance = self._distances(site)
        far_of = {place: distance(place) for place in self._all_places}
        groups: dict[int, list[str]] = {}
        for seat in self._usable_now:
            groups.setdefault(far_of[self._places[seat]], []).append(seat)
        return [groups[far] for far in sorted(groups)]

    def _mix(self, seat: str) -> bytes:
        """Order seats differently at each entry, so that they don't all name the same first."""
        return hashlib.blake2b(f"{self._me.seat}/{seat}".encode(), digest_size=8).digest()

    def _bury(self, incarnation: Incarnation) -> None:
        past = self._past.setdefault(incarnation.seat, [])
        past.append(incarnation.number)
        del past[:-MAX_PAST_LIVES]
