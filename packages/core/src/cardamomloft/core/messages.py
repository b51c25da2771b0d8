"""Messages between entries.

Each is a flat :class:`~typing.NamedTuple` so that the codec can write it as an array. Every
message is one-way and complete in itself: a lost one is repaired by a later one, a repeated or
late one is recognised by its numbers.
"""

import typing as t


class LoanRequest(t.NamedTuple):
    """Ask a holder for part of its share of the limit `key`.

    `number` is unique within the borrower's incarnation. `term_ms` is the duration wanted.
    """

    number: int
    key: str
    amount: int
    term_ms: int


class LoanGrant(t.NamedTuple):
    """Answer a :class:`LoanRequest`; `amount` 0 is a denial, `retry_ms` when to ask again."""

    number: int
    key: str
    amount: int
    term_ms: int
    retry_ms: int


class LoanReturn(t.NamedTuple):
    """The borrower gives back the whole loan before its term; sent once no use is left."""

    number: int
    key: str


class LoanRecall(t.NamedTuple):
    """The lender asks for a loan back early; the borrower returns it as soon as it is idle."""

    number: int
    key: str


class Digest(t.NamedTuple):
    """What an entry holds, sent to random peers and to the peers that share limits with it.

    `revision` is in force, `settled` is the highest revision whose shares fit all its uses, and
    `prefix` is the operation-id prefix that look-ups at other entries may hand out for it.
    `state` is one of starting, ready, leaving.
    """

    revision: int
    settled: int
    state: str
    prefix: str
    prefix_left_ms: int


class DocumentRequest(t.NamedTuple):
    """Ask for the configuration if the receiver's revision is above `above`."""

    above: int


class DocumentReply(t.NamedTuple):
    """One accepted-by-the-store configuration: its revision and zlib-compressed JSON."""

    revision: int
    document: bytes


class ChunkRequest(t.NamedTuple):
    """Ask for one chunk of the client-block map by its digest."""

    digest: str


class ChunkReply(t.NamedTuple):
    """One chunk of the client-block map."""

    digest: str
    chunk: bytes


class VmNotice(t.NamedTuple):
    """A changed row of the platform's VM list, from a steward; `at` is an ISO 8601 instant."""

    name: str
    state: str
    at: str


class ChangesRequest(t.NamedTuple):
    """Ask a relay for what has changed in the control store after the revision `after` of `era`.

    `number` is unique within the asking process. The relay may wait `wait_ms` for a change.
    """

    number: int
    era: int
    after: int
    wait_ms: int


class ChangesResponse(t.NamedTuple):
    """Answer the :class:`ChangesRequest` with this `number`.

    `facts` are all changes up to the revision `index` of `era`, in their wire form, or all that the
    store holds then if they are the `whole`; None if the relay knows nothing yet. Its knowledge was
    complete `age_ms` before it sent this, and it had held the question for `held_ms`.
    """

    number: int
    era: int
    index: int
    facts: bytes | None
    whole: bool
    age_ms: int
    held_ms: int


class NoticePush(t.NamedTuple):
    """Tell another entry of notices, in their wire form."""

    notices: bytes


class NoticeDigest(t.NamedTuple):
    """Compare what two entries hold: the sums of each part of it.

    The other one sends what it holds in the parts that differ and, unless this `answers` such a
    message, its own sums. One that has just started says so, with the number of the `configuration`
    that it has and the `address` to answer to, since it may not be known yet.
    """

    sums: tuple[int, ...]
    answers: bool
    starting: bool
    configuration: int
    address: str


class ConfigurationPush(t.NamedTuple):
    """Tell an entry that has just started of a newer configuration, as a fact in its wire form."""

    fact: bytes


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
)


class Outgoing(t.NamedTuple):
    """A message that decision code wants sent to the entry in `seat`."""

    seat: str
    message: Message
