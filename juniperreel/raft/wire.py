"""Encoding and signing of the messages between nodes, and parsing of node addresses. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from juniperreel.raft import messages as raft_messages
from juniperreel.raft.errors import InvalidNodeNameError, MalformedDataError
from juniperreel.raft.messages import Message

# Wire tags. They must not change: nodes of different versions exchange messages during an upgrade.
TAGS: dict[type[Message], str] = {
    raft_messages.VoteRequest: "VoteRequest",
    raft_messages.VoteReply: "VoteReply",
    raft_messages.AppendEntries: "Append",
    raft_messages.AppendEntriesReply: "AppendReply",
    raft_messages.SnapshotChunk: "SnapshotChunk",
    raft_messages.SnapshotReply: "SnapshotReply",
    raft_messages.TimeoutNow: "TimeoutNow",
}
MESSAGE_TYPES: dict[str, type[Message]] = {tag: message_type for message_type, tag in TAGS.items()}
MAX_MESSAGES = 1024  # per call
LENGTH_BYTES = 8
MAX_PORT = 65535


def encode(messages: Sequence[Message]) -> bytes:
    """Encode the messages of one call."""
    return msgspec.msgpack.encode([(TAGS[type(message)], message) for message in messages])


def decode(data: bytes) -> list[Message]:
    """Decode the messages of one call. Raises MalformedDataError."""
    try:
        tagged = msgspec.msgpack.decode(data, type=list[tuple[str, msgspec.Raw]])
    except msgspec.DecodeError as error:
        raise MalformedDataError("messages", str(error)) from error
    if len(tagged) > MAX_MESSAGES:
        raise MalformedDataError("messages", f"{len(tagged)} messages at once")
    return [_decode_message(tag, raw) for tag, raw in tagged]


def _decode_message(tag: str, raw: msgspec.Raw) -> Message:
    message_type = MESSAGE_TYPES.get(tag)
    if message_type is None:
        raise MalformedDataError("messages", f"{tag!r} is no kind of message")
    try:
        return msgspec.msgpack.decode(raw, type=message_type)
    except msgspec.DecodeError as error:
        raise MalformedDataError("messages", str(error)) from error


def sign(key: bytes, cluster: str, src: str, dst: str, data: bytes) -> bytes:
    """HMAC-SHA-256 over cluster, sender, receiver and payload of a call.

    Each part is prefixed with its length, so that no two different splits of the same bytes have the same
    signature.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (cluster.encode(), src.encode(), dst.encode(), data):
        mac.update(len(part).to_bytes(LENGTH_BYTES, "big") + part)
    return mac.digest()


def parse_address(name: str) -> tuple[str, int]:
    """Host and port from a node name of the form name@host:port. Raises InvalidNodeNameError."""
    _, at_sign, address = name.rpartition("@")
    host, colon, port = address.rpartition(":")
    if not at_sign or not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidNodeNameError(name)
    return host.strip("[]"), int(port)
