"""Messages between entries.

Each is a flat :class:`~typing.NamedTuple`, which the codec encodes as an array of its fields.
Messages are one-way and self-contained: the loss of one is repaired by a later one, and duplicate
or late ones are recognised by their numbers.
"""

import typing as t

from cardamomloft.core.clientaccounts.usage import UsageRow


class LoanRequest(t.NamedTuple):
    """Request a loan of part of a holder's share of the limit `key`.

    `number` is unique within the borrower's incarnation. `term_ms` is the requested duration.
    """

    number: int
    key: str
    amount: int
    term_ms: int


class LoanGrant(t.NamedTuple):
    """Answer a :class:`LoanRequest`; `amount` 0 is a denial, to be retried after `retry_ms`."""

    number: int
    key: str
    amount: int
    term_ms: int
    retry_ms: int


class LoanReturn(t.NamedTuple):
    """Return the whole loan before its term, once the borrower no longer uses any of it."""

    number: int
    key: str


class LoanRecall(t.NamedTuple):
    """Recall a loan before its term; the borrower returns it as soon as it is unused."""

    number: int
    key: str


class Digest(t.NamedTuple):
    """Summary of an entry's state, sent to random peers and to peers that share limits with it.

    `revision` is in force at the sender, `settled` is the highest revision whose shares cover all
    of its uses, and `prefix` is its operation-id prefix, which other entries may issue in
    look-ups. `state` is one of starting, ready, leaving.
    """

    revision: int
    settled: int
    state: str
    prefix: str
    prefix_left_ms: int


class DocumentRequest(t.NamedTuple):
    """Request the configuration if the receiver's revision is above `above`, else its digest."""

    above: int


class DocumentReply(t.NamedTuple):
    """A configuration that the store has accepted: its revision and zlib-compressed JSON."""

    revision: int
    document: bytes


class ChunkRequest(t.NamedTuple):
    """Request one chunk of the client-block map by its digest."""

    digest: str


class ChunkReply(t.NamedTuple):
    """One chunk of the client-block map."""

    digest: str
    chunk: bytes


class VmNotice(t.NamedTuple):
    """A changed row of the platform's VM list, sent by a steward; `at` is an ISO 8601 instant."""

    name: str
    state: str
    at: str


class ChangesRequest(t.NamedTuple):
    """Request from a relay the changes of the control store after the revision `after` of `era`.

    `number` is unique within the requesting process. The relay may wait `wait_ms` for a change.
    """

    number: int
    era: int
    after: int
    wait_ms: int


class ChangesResponse(t.NamedTuple):
    """Answer the :class:`ChangesRequest` with this `number`.

    `facts` are all changes up to the revision `index` of `era` in their wire form; if `whole`, they
    are the complete contents of the store at that revision; None if the relay has no data yet. The
    relay's data was current `age_ms` before it sent this, and it had held the request `held_ms`.
    That the data is complete was last proved `verified_age_ms` before, None if never.
    """

    number: int
    era: int
    index: int
    facts: bytes | None
    whole: bool
    age_ms: int
    held_ms: int
    verified_age_ms: int | None = None


class NoticePush(t.NamedTuple):
    """Push notices to another entry, in their wire form."""

    notices: bytes


class NoticeDigest(t.NamedTuple):
    """Compare the notices of two entries by a checksum for each bucket.

    The receiver sends its notices in the buckets that differ and, unless this message `answers`
    another one, its own checksums. An entry that is `asking` for a newer configuration sends the
    number of its own one and the `address` to answer to, since others may not know it yet.
    """

    sums: tuple[int, ...]
    answers: bool
    asking: bool
    configuration: int
    address: str


class ConfigurationPush(t.NamedTuple):
    """Send a newer configuration to an entry that asks for it, as a fact in its wire form."""

    fact: bytes


class LoadRow(t.NamedTuple):
    """What an endpoint stated about its load in an answer `age_ms` ago.

    `endpoint` is a hash of the endpoint's incarnation, and `work_percent` how long work takes on
    its machine, in percent of the usual time. Each hop adds the time for which it held the row.
    """

    endpoint: int
    running: int
    waiting: int
    work_percent: int
    age_ms: int


class CachedRow(t.NamedTuple):
    """An endpoint has answered a request for a key, so that it has the key's data cached.

    Both are hashes.
    """

    endpoint: int
    key: int


class UsageReport(t.NamedTuple):
    """Report the requests of client accounts at one entry to the coordinator of its zone.

    `rows` are cumulative since the start of the `session`. The coordinator answers to `address`.
    `loads` and `cached` are what this entry has heard from endpoints. `confirmed` is the number of
    the last answer that has arrived.
    """

    number: int
    session: int
    address: str
    rows: tuple[UsageRow, ...]
    confirmed: int = 0
    loads: tuple[LoadRow, ...] = ()
    cached: tuple[CachedRow, ...] = ()


class AdmissionRow(t.NamedTuple):
    """Admit `permille` of 1000 requests of an account; others may come back after `wait_ms`."""

    account: str
    permille: int
    wait_ms: int


class UsageAnswer(t.NamedTuple):
    """Answer the :class:`UsageReport` with this `number`.

    `rows` are the accounts of whose requests not all may be admitted. `loads` and `cached` are what
    all other entries have heard from endpoints; `own_number` identifies the answer, 0 without them.
    """

    number: int
    rows: tuple[AdmissionRow, ...]
    own_number: int = 0
    loads: tuple[LoadRow, ...] = ()
    cached: tuple[CachedRow, ...] = ()


class ZoneUsage(t.NamedTuple):
    """Report the requests of client accounts in one zone to the coordinator of another one.

    `rows` are cumulative since the start of the `session`. `unheard` entries of the zone have not
    reported lately. `loads` and `cached` are what entries of the zone have heard from endpoints.
    `number` identifies the message, and `confirmed` the last one from the receiver.
    """

    zone: str
    session: int
    unheard: int
    rows: tuple[UsageRow, ...]
    number: int = 0
    confirmed: int = 0
    loads: tuple[LoadRow, ...] = ()
    cached: tuple[CachedRow, ...] = ()


class CoordinatorHint(t.NamedTuple):
    """Answer a :class:`ZoneUsage` that should go to the entry `name`, the coordinator of `zone`."""

    zone: str
    name: str


Message = (
    LoanRequest
    | LoanGrant
    | LoanReturn
    | LoanRecall
    | Digest
    | DocumentRequest
    | DocumentReply
    | ChunkRequest
    | ChunkReply
    | VmNotice
    | ChangesRequest
    | ChangesResponse
    | NoticePush
    | NoticeDigest
    | ConfigurationPush
    | UsageReport
    | UsageAnswer
    | ZoneUsage
    | CoordinatorHint
)


class Outgoing(t.NamedTuple):
    """A message for the caller of decision code to send to the entry in `seat`."""

    seat: str
    message: Message
