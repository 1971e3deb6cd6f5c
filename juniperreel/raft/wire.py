"""The core's messages as bytes, and their signature with the cluster's key. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from juniperreel.raft import types
from juniperreel.raft.types import Message

# The tag of each message on the wire. Never changed: nodes of two versions talk to each other.
TAGS: dict[type[Message], str] = {
    types.VoteRequest: "VoteRequest",
    types.VoteReply: "VoteReply",
    types.AppendEntries: "Append",
    types.AppendEntriesReply: "AppendReply",
    types.SnapshotChunk: "SnapshotChunk",
    types.SnapshotReply: "SnapshotReply",
    types.TimeoutNow: "TimeoutNow",
}
MESSAGE_TYPES: dict[str, type[Message]] = {tag: kind for kind, tag in TAGS.items()}
MAX_MESSAGES = 1024


def encode(messages: Sequence[Message]) -> bytes:
    return msgspec.msgpack.encode([(TAGS[type(m)], m) for m in messages])


def decode(data: bytes) -> list[Message]:
    """Raises ValueError for bytes that are no messages."""
    try:
        parts = msgspec.msgpack.decode(data, type=list[tuple[str, msgspec.Raw]])
        if len(parts) > MAX_MESSAGES:
            raise ValueError(f"{len(parts)} messages at once")
        return [msgspec.msgpack.decode(raw, type=MESSAGE_TYPES[name]) for name, raw in parts]
    except (msgspec.DecodeError, KeyError) as error:
        raise ValueError(f"not messages: {error}") from None


def sign(key: bytes, cluster: str, src: str, dst: str, data: bytes) -> bytes:
    """Each part goes in with its length, so that no two splits sign alike."""
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (cluster.encode(), src.encode(), dst.encode(), data):
        mac.update(len(part).to_bytes(8, "big") + part)
    return mac.digest()


def address(name: str) -> tuple[str, int]:
    """Of an instance's name, name@host:port. Raises ValueError."""
    _, at, place = name.rpartition("@")
    host, colon, port = place.rpartition(":")
    if not at or not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{name!r} is not name@host:port")
    return host.strip("[]"), int(port)
