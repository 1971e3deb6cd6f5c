"""The core's messages as bytes, their signature with the cluster's key, and nodes' addresses. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from juniperreel.raft import messages as raft_messages
from juniperreel.raft.errors import InvalidNodeNameError, MalformedDataError
from juniperreel.raft.messages import Message

# The tag of each message on the wire. Never changed: nodes of two versions talk to each other.
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
MAX_MESSAGES = 1024  # in one call
LENGTH_BYTES = 8
MAX_PORT = 65535


def encode(messages: Sequence[Message]) -> bytes:
    """Messages as the bytes of one call."""
    return msgspec.msgpack.encode([(TAGS[type(message)], message) for message in messages])


def decode(data: bytes) -> list[Message]:
    """The messages of one call. Raises MalformedDataError for other bytes."""
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
    """The HMAC-SHA-256 of a call's bytes from `src` to `dst`.

    Each part goes in with its length, so that no two ways to split the same bytes have the same signature.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (cluster.encode(), src.encode(), dst.encode(), data):
        mac.update(len(part).to_bytes(LENGTH_BYTES, "big") + part)
    return mac.digest()


def parse_address(name: str) -> tuple[str, int]:
    """Host and port of a node's name, name@host:port. Raises InvalidNodeNameError."""
    _, at_sign, address = name.rpartition("@")
    host, colon, port = address.rpartition(":")
    if not at_sign or not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidNodeNameError(name)
    return host.strip("[]"), int(port)
