"""What an entry does with a message of another entry."""

import typing as t

from cardamomloft.core.messages import (
    ChunkReply,
    ChunkRequest,
    Digest,
    DocumentReply,
    DocumentRequest,
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Message,
    VmNotice,
)
from cardamomloft.core.model import Incarnation

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode


def receive(node: "EntryNode", sender: Incarnation, message: Message) -> None:
    """Hand `message` to those whom it concerns, and send what they answer."""
    send = node.gossip.send
    if node.steward is not None:
        node.steward.stewardship.record_message(str(sender))
    match message:
        case Digest():
            node.membership.on_digest(sender, message)
            node.shares.on_digest(sender, message)
            send(node.replica.on_digest(sender, message), None)
        case DocumentRequest():
            send(node.replica.on_document_request(sender, message), sender)
        case DocumentReply():
            # Announced before it is in force here, so that no hop waits for the one before;
            # nothing else is handled in between.
            send(node.replica.on_document_reply(sender, message), None)
            node.put_in_force()
        case LoanRequest() | LoanGrant() | LoanReturn() | LoanRecall():
            send(node.shares.on_message(sender, message), sender)
            if node.forwarder is not None:
                node.forwarder.pump()
        case ChunkRequest():
            send(node.maps.on_request(sender.seat, message), sender)
        case ChunkReply():
            node.maps.add_chunk(message.digest, message.chunk)
        case VmNotice():
            node.vms.on_notice(message)
