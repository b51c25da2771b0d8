"""One entry's copy of the configuration: it only goes up, and spreads by announce and pull.

An entry with a new revision announces it to a few peers, who pull it and announce it in turn.
Digests that peers exchange all the time repair whatever that misses. After a pause, and at a start
with the store away, the copy is not served before others have answered.
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
PROBE = 2**62
PROBED_PEERS = 16
MAX_PULL_ATTEMPTS = 3


class ReplicaTimes(t.NamedTuple):
    """Durations of the protocol.

    `pull` is how long a document may take before another peer is asked. `pause` is the longest gap
    between ticks that is no pause. `settle` is how long answers after a pause are ignored, since
    they may have waited in the socket all along. `patience` bounds the wait for peers that don't
    answer. `correct` is the least time between two digests sent to one outdated peer.
    """

    pull: timedelta = timedelta(seconds=1)
    pause: timedelta = timedelta(seconds=2)
    settle: timedelta = timedelta(milliseconds=200)
    patience: timedelta = timedelta(seconds=5)
    probe: timedelta = timedelta(milliseconds=500)
    correct: timedelta = timedelta(seconds=1)


def pack(document: Document) -> bytes:
    """Return the compressed JSON that replicas exchange."""
    return zlib.compress(json.dumps(document, sort_keys=True, separators=(",", ":")).encode(), 6)


def unpack(packed: bytes) -> Result[Document, str]:
    """Read what :func:`pack` wrote; refuse what expands beyond `MAX_DOCUMENT_BYTES`."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(packed, MAX_DOCUMENT_BYTES)
        if not inflater.eof:
            return Error("cut short or too large")
        document = json.loads(raw)
    except (zlib.error, ValueError, RecursionError) as exc:
        return Error(str(exc))
    if not isinstance(document, dict):
        return Error("not an object")
    return Ok(t.cast("Document", document))


class _Pull(t.NamedTuple):
    seat: str
    until: timedelta
    attempt: int


class _Confirmation:
    """The wait for others to confirm that a copy is current."""

    def __init__(self, asked_from: timedelta, until: timedelta) -> None:
        self.asked_from = asked_from
        self.until = until
        self.answered: set[str] = set()
        self.next_probe = asked_from

    def probe_at(self, now: timedelta) -> None:
        """Ask again at once; whom to ask has changed."""
        self.next_probe = max(now, self.asked_from)


class Replica:
    """The configuration that this entry has in force.

    Parameters
    ----------
    me
        This process.
    rng
        Chooses the peers to announce to.
    describe
        Builds this entry's digest for the revision given.
    check
        Judges a document that a peer sent; a faulty one is not taken.
    seeds
        Seats or addresses to ask while no roster is known. Whose address it is shows only in the
        answers, and what is sent to a seat that only an answer named would not arrive.
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
        self._better: dict[str, int] = {}
        self._up_to_date: set[str] = set()
        self._corrected: dict[str, timedelta] = {}
        self._refused: dict[str, int] = {}
        self._pull: _Pull | None = None
        self._outbox: list[Outgoing] = []
        now = clock.monotonic()
        self._last_tick = now
        self._last_wall = clock.utcnow()
        self._confirmation: _Confirmation | None = _Confirmation(now, now + times.patience)

    @property
    def held(self) -> Revision | None:
        """The revision this copy has, whether or not it may be served."""
        return self._held

    @property
    def number(self) -> int:
        """The number of the revision held, 0 for none."""
        return self._held.number if self._held else 0

    @property
    def fresh(self) -> bool:
        """Whether others have answered since the start or the last pause.

        It looks at the clocks, because a paused process may get requests before its next tick.
        """
        return self._confirmation is None and self._gap() <= self._times.pause

    @property
    def ready(self) -> bool:
        """Whether requests may be taken under this copy."""
        return self._held is not None and self.fresh

    def offer(self, number: int, packed: bytes) -> Result[Revision | None, str]:
        """Take what the store holds; the answer is the revision if it is new here.

        The store is the truth, so a readable answer also ends the wait for confirmation, but for
        one that came with the end of a pause and may be as old as that.

        Raises
        ------
        AssertionError
            If the store has another document under the number held: a number was used twice.
        """
        self._notice_pause()
        document = self._read(number, packed)
        if document.is_error():
            self.counters["store_documents_refused"] += 1
            return Error(str(document.error))
        if number == self.number and self._held and document.ok != self._held.document:
            raise AssertionError(f"two documents under revision {number}")
        self._confirm_by_store()
        if number < self.number:
            self.counters["store_behind"] += 1
            return Ok(None)
        return Ok(self._adopt(Revision(number, document.ok), packed))

    def on_store_empty(self) -> None:
        """Take the store's answer that it has no configuration."""
        self._notice_pause()
        self._confirm_by_store()

    def on_digest(self, sender: Incarnation, digest: Digest) -> list[Outgoing]:
        """Compare revisions: pull a higher one, tell an outdated sender about ours."""
        self._notice_pause()
        if digest.revision > self.number:
            if digest.revision > self._refused.get(sender.seat, 0):
                self._better[sender.seat] = digest.revision
            return self._pull_best()
        self._better.pop(sender.seat, None)
        if self._pull and self._pull.seat == sender.seat:
            self._pull = None
        self._confirm(sender, ready=digest.state != "starting")
        if digest.revision == self.number:
            self._up_to_date.add(sender.seat)
            return []
        self._up_to_date.discard(sender.seat)
        return self._correct(sender.seat)

    def on_document_request(self, sender: Incarnation, req: DocumentRequest) -> list[Outgoing]:
        """Answer with the document if it is above what the sender has, else with a digest."""
        if self._held and self._held.number > req.above:
            return [Outgoing(sender.seat, DocumentReply(self._held.number, self._packed))]
        return [Outgoing(sender.seat, self._describe(self.number))]

    def on_document_reply(self, sender: Incarnation, reply: DocumentReply) -> list[Outgoing]:
        """Take a peer's copy if it is higher; announce what is new."""
        self._notice_pause()
        if self._pull and self._pull.seat == sender.seat:
            self._pull = None
        if reply.revision < self.number:
            self.counters["late_documents"] += 1
            return []
        document = self._read(reply.revision, reply.document)
        if document.is_error():
            return self._refuse(sender, reply)
        if self._held and reply.revision == self.number:
            if document.ok != self._held.document:
                self.counters["conflicting_documents"] += 1
                return []
            self._confirm(sender, ready=False)
            return []
        self._better[sender.seat] = reply.revision
        self._adopt(Revision(reply.revision, document.ok), reply.document)
        self._confirm(sender, ready=False)
        return self._flush() + self._pull_best()

    def tick(self) -> list[Outgoing]:
        """Notice pauses, repeat pulls and questions that got no answer; call every 20-50 ms."""
        self._notice_pause()
        now = self._clock.monotonic()
        self._last_tick, self._last_wall = now, self._clock.utcnow()
        self._outbox += self._pull_best()
        self._outbox += self._probe(now)
        return self._flush()

    def _gap(self) -> timedelta:
        """Return the time since the last tick; a suspended VM may show it on one clock only."""
        elapsed = self._clock.monotonic() - self._last_tick
        return max(elapsed, self._clock.utcnow() - self._last_wall)

    def _notice_pause(self) -> None:
        if self._gap() <= self._times.pause:
            return
        self.counters["pauses"] += 1
        now = self._clock.monotonic()
        self._last_tick, self._last_wall = now, self._clock.utcnow()
        self._pull = None
        asked_from = now + self._times.settle
        self._confirmation = _Confirmation(asked_from, asked_from + self._times.patience)

    def _read(self, number: int, packed: bytes) -> Result[Document, t.Any]:
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
            seat for seat, number in self._better.items() if number >= revision.number
        }
        self._better = {seat: n for seat, n in self._better.items() if n > revision.number}
        self._corrected.clear()
        self._refused.clear()
        if self._confirmation:
            self._confirmation.probe_at(self._clock.monotonic())
        self._announce()
        return revision

    def _refuse(self, sender: Incarnation, reply: DocumentReply) -> list[Outgoing]:
        """Count a document that can't be used, and don't ask this peer for it again."""
        self.counters["peer_documents_refused"] += 1
        self._refused[sender.seat] = reply.revision
        self._better.pop(sender.seat, None)
        return self._pull_best()

    def _announce(self) -> None:
        lacking = [seat for seat in self._peers if seat not in self._up_to_date]
        digest = self._describe(self.number)
        for seat in self._rng.sample(lacking, min(FAN_OUT, len(lacking))):
            self._outbox.append(Outgoing(seat, digest))

    def _pull_best(self) -> list[Outgoing]:
        """Ask one of the peers with the highest known revision, one at a time."""
        now = self._clock.monotonic()
        if self._pull and now < self._pull.until:
            return []
        attempt = self._give_up_pull()
        if not self._better:
            return []
        highest = max(self._better.values())
        holders = sorted(seat for seat, n in self._better.items() if n == highest)
        seat = self._rng.choice(holders)
        self._pull = _Pull(seat, now + self._times.pull, attempt)
        # Without a roster no seat has an address yet, and all seeds are asked instead.
        targets = [seat] if self._held else sorted(self._seeds)
        return [Outgoing(target, DocumentRequest(self.number)) for target in targets]

    def _give_up_pull(self) -> int:
        """Forget a peer that doesn't answer, unless it is the only one known; count its tries."""
        pull, self._pull = self._pull, None
        if pull is None:
            return 1
        self.counters["pulls_unanswered"] += 1
        sole = len(self._better) == 1 and pull.seat in self._better
        if sole and pull.attempt < MAX_PULL_ATTEMPTS:
            return pull.attempt + 1
        self._better.pop(pull.seat, None)
        return 1

    def _correct(self, seat: str) -> list[Outgoing]:
        now = self._clock.monotonic()
        last = self._corrected.get(seat)
        if last is not None and now - last < self._times.correct:
            return []
        self._corrected[seat] = now
        return [Outgoing(seat, self._describe(self.number))]

    def _probe(self, now: timedelta) -> list[Outgoing]:
        """Ask peers for their digests while this copy awaits confirmation."""
        wait = self._confirmation
        if wait is None or now < wait.next_probe:
            return []
        self._conclude(now)
        wait.next_probe = now + self._times.probe
        unheard = sorted((self._seeds | set(self._peers)) - wait.answered)
        chosen = self._rng.sample(unheard, min(PROBED_PEERS, len(unheard)))
        return [Outgoing(seat, DocumentRequest(PROBE)) for seat in chosen]

    def _confirm(self, sender: Incarnation, *, ready: bool) -> None:
        """Note that `sender` has nothing above this copy; a ready peer's word is enough."""
        wait = self._confirmation
        if wait is None or self._held is None or sender.seat == self._me.seat:
            return
        now = self._clock.monotonic()
        if now < wait.asked_from:
            return
        wait.answered.add(sender.seat)
        if ready and not self._better:
            self._confirmation = None
            return
        self._conclude(now)

    def _confirm_by_store(self) -> None:
        wait = self._confirmation
        if wait and self._clock.monotonic() >= wait.asked_from:
            self._confirmation = None

    def _conclude(self, now: timedelta) -> None:
        """End the wait without a ready peer: all have answered, or some have and time is up."""
        wait = self._confirmation
        if wait is None or self._held is None or self._better or now < wait.asked_from:
            return
        all_heard = wait.answered.issuperset(self._peers)
        if all_heard or (wait.answered and now >= wait.until):
            self._confirmation = None

    def _flush(self) -> list[Outgoing]:
        outbox, self._outbox = self._outbox, []
        return outbox
