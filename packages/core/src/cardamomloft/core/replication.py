"""One entry's replica of the configuration, which spreads from peer to peer by announce and pull.

The revision of a replica never decreases. An entry with a new revision announces it to a few
peers, which pull it and announce it in turn; the periodic digests repair what this misses. After
the process was paused, and at a start without the store, the replica is not served until peers or
the store have confirmed that it is current.
"""

import json
import random
import typing as t
import zlib
from collections import Counter
from collections.abc import Callable, Collection
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document, Revision
from cardamomloft.core.messages import (
    Digest,
    DocumentReply,
    DocumentRequest,
    Outgoing,
)
from cardamomloft.core.model import Incarnation
from expression import Error, Ok, Result

FAN_OUT = 4
MAX_DOCUMENT_BYTES = 16_000_000
# Above any revision, so that the answer to a request for it is a digest, never a document.
PROBE_REVISION = 2**62
MAX_PROBED_PEERS = 16
MAX_PULL_ATTEMPTS = 3


class ReplicaTimes(t.NamedTuple):
    """Durations of the protocol.

    Attributes
    ----------
    pull_timeout
        Time to wait for a requested document before it is requested from another peer.
    max_tick_gap
        Time between ticks above which the process counts as paused.
    settle_time
        How long answers are ignored after a pause, since they may have been waiting in the socket
        buffer during it.
    confirmation_timeout
        Time to wait for all peers to answer; after it the answers of some are enough.
    probe_interval
        Time between two rounds of requests for confirmation.
    correction_interval
        Minimum time between two digests sent to one outdated peer.
    """

    pull_timeout: timedelta = timedelta(seconds=1)
    max_tick_gap: timedelta = timedelta(seconds=2)
    settle_time: timedelta = timedelta(milliseconds=200)
    confirmation_timeout: timedelta = timedelta(seconds=5)
    probe_interval: timedelta = timedelta(milliseconds=500)
    correction_interval: timedelta = timedelta(seconds=1)


def pack(document: Document) -> bytes:
    """Return the compressed JSON that replicas exchange."""
    return zlib.compress(json.dumps(document, sort_keys=True, separators=(",", ":")).encode(), 6)


def unpack(packed: bytes) -> Result[Document, str]:
    """Read the output of :func:`pack`; an error if it inflates beyond `MAX_DOCUMENT_BYTES`."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(packed, MAX_DOCUMENT_BYTES)
        if not inflater.eof:
            return Error("truncated, or above the size limit when decompressed")
        document = json.loads(raw)
    except (zlib.error, ValueError, RecursionError) as exc:
        return Error(str(exc))
    if not isinstance(document, dict):
        return Error("not a JSON object")
    return Ok(t.cast("Document", document))


class _Pull(t.NamedTuple):
    seat: str
    deadline: timedelta
    attempt: int


class _Confirmation:
    """The wait for peers or the store to confirm that the replica is current.

    Answers before `accepts_from` are ignored. At `deadline` the answers of some peers are enough.
    """

    def __init__(self, accepts_from: timedelta, deadline: timedelta) -> None:
        self.accepts_from = accepts_from
        self.deadline = deadline
        self.answered: set[str] = set()
        self.next_probe = accepts_from

    def probe_at(self, now: timedelta) -> None:
        """Make the next probe due at once, because the set of peers has changed."""
        self.next_probe = max(now, self.accepts_from)


class Replica:
    """The configuration that this entry has in force.

    Parameters
    ----------
    me
        This process.
    rng
        Selects the peers to announce to.
    describe
        Builds this entry's digest for the revision given.
    check
        Validates a document; one with an error is not adopted.
    seeds
        Seats or addresses to send requests to while no roster is known. Until then messages must go
        to all seeds: a seat known only as the sender of an answer has no address yet.
    times
        Durations of the protocol.
    """

    def __init__(
        self,
        me: Incarnation,
        clock: Clock,
        rng: random.Random,
        describe: Callable[[int], Digest],
        *,
        check: Callable[[Document], Result[Document, t.Any]] = Ok,
        seeds: Collection[str] = (),
        times: ReplicaTimes = ReplicaTimes(),
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._me = me
        self._clock = clock
        self._rng = rng
        self._describe = describe
        self._check = check
        self._seeds = frozenset(seeds) - {me.seat}
        self._times = times
        self._held: Revision | None = None
        self._packed = b""
        self._peers: tuple[str, ...] = ()
        self._higher_revisions: dict[str, int] = {}
        self._up_to_date: set[str] = set()
        self._last_corrections: dict[str, timedelta] = {}
        self._refused_revisions: dict[str, int] = {}
        self._pull: _Pull | None = None
        self._outbox: list[Outgoing] = []
        now = clock.monotonic()
        self._last_tick = now
        self._last_wall = clock.utcnow()
        self._confirmation: _Confirmation | None = _Confirmation(
            now, now + times.confirmation_timeout
        )

    @property
    def held(self) -> Revision | None:
        """The revision held, whether or not it may be served; None before the first."""
        return self._held

    @property
    def number(self) -> int:
        """The number of the revision held, 0 for none."""
        return self._held.number if self._held else 0

    @property
    def fresh(self) -> bool:
        """Whether the replica was confirmed since the start or the last pause.

        The clocks are read here too, since a resumed process may get requests before its next tick.
        """
        return self._confirmation is None and self._time_since_tick() <= self._times.max_tick_gap

    @property
    def ready(self) -> bool:
        """Whether requests may be served under the revision held."""
        return self._held is not None and self.fresh

    def offer(self, number: int, packed: bytes) -> Result[Revision | None, str]:
        """Process the document read from the store; return its revision if it was adopted.

        The store is authoritative, so a valid answer also ends the wait for confirmation, unless
        it arrives right after a pause and may be as old as the pause is long.

        Raises
        ------
        AssertionError
            If the store has another document under the number held: a number was used twice.
        """
        self._detect_pause()
        document = self._parse(number, packed)
        if document.is_error():
            self.counters["store_documents_refused"] += 1
            return Error(str(document.error))
        if number == self.number and self._held and document.ok != self._held.document:
            raise AssertionError(f"the store has a second document under revision {number}")
        self._confirm_by_store()
        if number < self.number:
            self.counters["store_behind"] += 1
            return Ok(None)
        return Ok(self._adopt(Revision(number, document.ok), packed))

    def on_store_empty(self) -> None:
        """Process the store's answer that it holds no configuration."""
        self._detect_pause()
        self._confirm_by_store()

    def on_digest(self, sender: Incarnation, digest: Digest) -> list[Outgoing]:
        """Compare revisions: pull a higher one, send our digest to an outdated peer."""
        self._detect_pause()
        if digest.revision > self.number:
            if digest.revision > self._refused_revisions.get(sender.seat, 0):
                self._higher_revisions[sender.seat] = digest.revision
            return self._pull_best()
        self._higher_revisions.pop(sender.seat, None)
        if self._pull and self._pull.seat == sender.seat:
            self._pull = None
        self._confirm(sender, ready=digest.state != "starting")
        if digest.revision == self.number:
            self._up_to_date.add(sender.seat)
            return []
        self._up_to_date.discard(sender.seat)
        return self._send_correction(sender.seat)

    def on_document_request(self, sender: Incarnation, req: DocumentRequest) -> list[Outgoing]:
        """Answer with the document if its revision is above the sender's, else with a digest."""
        if self._held and self._held.number > req.above:
            return [Outgoing(sender.seat, DocumentReply(self._held.number, self._packed))]
        return [Outgoing(sender.seat, self._describe(self.number))]

    def on_document_reply(self, sender: Incarnation, reply: DocumentReply) -> list[Outgoing]:
        """Adopt a peer's document if its revision is higher, and announce it."""
        self._detect_pause()
        if self._pull and self._pull.seat == sender.seat:
            self._pull = None
        if reply.revision < self.number:
            self.counters["late_documents"] += 1
            return []
        document = self._parse(reply.revision, reply.document)
        if document.is_error():
            return self._refuse(sender, reply)
        if self._held and reply.revision == self.number:
            if document.ok != self._held.document:
                self.counters["conflicting_documents"] += 1
                return []
            self._confirm(sender, ready=False)
            return []
        self._higher_revisions[sender.seat] = reply.revision
        self._adopt(Revision(reply.revision, document.ok), reply.document)
        self._confirm(sender, ready=False)
        return self._flush() + self._pull_best()

    def tick(self) -> list[Outgoing]:
        """Detect pauses and resend unanswered requests; to be called every 20 to 50 ms."""
        self._detect_pause()
        now = self._clock.monotonic()
        self._last_tick, self._last_wall = now, self._clock.utcnow()
        self._outbox += self._pull_best()
        self._outbox += self._probe(now)
        return self._flush()

    def _time_since_tick(self) -> timedelta:
        """Return the time since the last tick by the clock that shows more.

        A suspension of the VM may be visible on one of the clocks only.
        """
        elapsed = self._clock.monotonic() - self._last_tick
        return max(elapsed, self._clock.utcnow() - self._last_wall)

    def _detect_pause(self) -> None:
        if self._time_since_tick() <= self._times.max_tick_gap:
            return
        self.counters["pauses"] += 1
        now = self._clock.monotonic()
        self._last_tick, self._last_wall = now, self._clock.utcnow()
        self._pull = None
        accepts_from = now + self._times.settle_time
        self._confirmation = _Confirmation(
            accepts_from, accepts_from + self._times.confirmation_timeout
        )

    def _parse(self, number: int, packed: bytes) -> Result[Document, t.Any]:
        if self._held and number == self.number and packed == self._packed:
            return Ok(self._held.document)
        return unpack(packed).bind(self._check)

    def _adopt(self, revision: Revision, packed: bytes) -> Revision | None:
        if self._held and revision.number <= self._held.number:
            return None
        self._held = revision
        self._packed = packed
        self._peers = tuple(sorted(set(revision.document.get("entries", ())) - {self._me.seat}))
        self._up_to_date = {
            seat for seat, number in self._higher_revisions.items() if number >= revision.number
        }
        self._higher_revisions = {
            seat: n for seat, n in self._higher_revisions.items() if n > revision.number
        }
        self._last_corrections.clear()
        self._refused_revisions.clear()
        if self._confirmation:
            self._confirmation.probe_at(self._clock.monotonic())
        self._announce()
        return revision

    def _refuse(self, sender: Incarnation, reply: DocumentReply) -> list[Outgoing]:
        """Count an invalid document and remember not to request it from this peer again."""
        self.counters["peer_documents_refused"] += 1
        self._refused_revisions[sender.seat] = reply.revision
        self._higher_revisions.pop(sender.seat, None)
        return self._pull_best()

    def _announce(self) -> None:
        lacking = [seat for seat in self._peers if seat not in self._up_to_date]
        digest = self._describe(self.number)
        for seat in self._rng.sample(lacking, min(FAN_OUT, len(lacking))):
            self._outbox.append(Outgoing(seat, digest))

    def _pull_best(self) -> list[Outgoing]:
        """Request the document from one of the peers with the highest known revision."""
        now = self._clock.monotonic()
        if self._pull and now < self._pull.deadline:
            return []
        attempt = self._end_unanswered_pull()
        if not self._higher_revisions:
            return []
        highest = max(self._higher_revisions.values())
        holders = sorted(seat for seat, n in self._higher_revisions.items() if n == highest)
        seat = self._rng.choice(holders)
        self._pull = _Pull(seat, now + self._times.pull_timeout, attempt)
        # Without a roster no seat has an address, so the request goes to all seeds.
        targets = [seat] if self._held else sorted(self._seeds)
        return [Outgoing(target, DocumentRequest(self.number)) for target in targets]

    def _end_unanswered_pull(self) -> int:
        """End an unanswered pull and return the number of the next attempt.

        The peer is dropped as a source, unless it is the only one and may be tried again.
        """
        pull, self._pull = self._pull, None
        if pull is None:
            return 1
        self.counters["pulls_unanswered"] += 1
        is_only_source = len(self._higher_revisions) == 1 and pull.seat in self._higher_revisions
        if is_only_source and pull.attempt < MAX_PULL_ATTEMPTS:
            return pull.attempt + 1
        self._higher_revisions.pop(pull.seat, None)
        return 1

    def _send_correction(self, seat: str) -> list[Outgoing]:
        now = self._clock.monotonic()
        last = self._last_corrections.get(seat)
        if last is not None and now - last < self._times.correction_interval:
            return []
        self._last_corrections[seat] = now
        return [Outgoing(seat, self._describe(self.number))]

    def _probe(self, now: timedelta) -> list[Outgoing]:
        """Request the digests of peers while the replica awaits confirmation."""
        wait = self._confirmation
        if wait is None or now < wait.next_probe:
            return []
        self._end_confirmation_if_complete(now)
        wait.next_probe = now + self._times.probe_interval
        unanswered = sorted((self._seeds | set(self._peers)) - wait.answered)
        chosen = self._rng.sample(unanswered, min(MAX_PROBED_PEERS, len(unanswered)))
        return [Outgoing(seat, DocumentRequest(PROBE_REVISION)) for seat in chosen]

    def _confirm(self, sender: Incarnation, *, ready: bool) -> None:
        """Record that `sender` has no higher revision; a single ready peer is enough."""
        wait = self._confirmation
        if wait is None or self._held is None or sender.seat == self._me.seat:
            return
        now = self._clock.monotonic()
        if now < wait.accepts_from:
            return
        wait.answered.add(sender.seat)
        if ready and not self._higher_revisions:
            self._confirmation = None
            return
        self._end_confirmation_if_complete(now)

    def _confirm_by_store(self) -> None:
        wait = self._confirmation
        if wait and self._clock.monotonic() >= wait.accepts_from:
            self._confirmation = None

    def _end_confirmation_if_complete(self, now: timedelta) -> None:
        """End the wait without a ready peer if all have answered, or some by the deadline."""
        wait = self._confirmation
        if wait is None or self._held is None or self._higher_revisions or now < wait.accepts_from:
            return
        all_answered = wait.answered.issuperset(self._peers)
        if all_answered or (wait.answered and now >= wait.deadline):
            self._confirmation = None

    def _flush(self) -> list[Outgoing]:
        outbox, self._outbox = self._outbox, []
        return outbox
