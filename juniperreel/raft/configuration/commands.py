"""What a client asks of the configuration, and the bytes of a command in the log. Free of I/O."""

from __future__ import annotations

import msgspec

from juniperreel.raft.configuration import validation
from juniperreel.raft.configuration.model import ClassInfo, GroupInfo, MemberInfo, TenantInfo

MAX_CHANGES = 1000


class SetMember(msgspec.Struct, frozen=True, tag="set-member"):
    name: str
    member: MemberInfo


class SetState(msgspec.Struct, frozen=True, tag="set-state"):
    """A drain, a departure, a return (with the new start)."""

    name: str
    state: str
    started_us: int = 0


class RemoveMember(msgspec.Struct, frozen=True, tag="remove-member"):
    name: str


class SetGroup(msgspec.Struct, frozen=True, tag="set-group"):
    number: int
    group: GroupInfo


class RemoveGroup(msgspec.Struct, frozen=True, tag="remove-group"):
    number: int


class SetClass(msgspec.Struct, frozen=True, tag="set-class"):
    name: str
    cls: ClassInfo | None


class SetTenant(msgspec.Struct, frozen=True, tag="set-tenant"):
    name: str
    tenant: TenantInfo | None


class SetLimit(msgspec.Struct, frozen=True, tag="set-limit"):
    name: str
    value: int | None


ConfigurationChange = (
    SetMember | SetState | RemoveMember | SetGroup | RemoveGroup | SetClass | SetTenant | SetLimit
)


class Command(msgspec.Struct, frozen=True):
    """All of `changes` or none. `expect` is the version it was made against, or None for any."""

    client: str
    sequence: int
    changes: list[ConfigurationChange]
    expect: int | None = None


def encode_command(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """Raises ValueError."""
    try:
        command = msgspec.msgpack.decode(data, type=Command)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a command: {error}") from None
    if not command.client or len(command.client) > validation.MAX_NAME or command.sequence < 0:
        raise ValueError("a command needs its client's name and a sequence number")
    if not 1 <= len(command.changes) <= MAX_CHANGES:
        raise ValueError(f"a command has 1 to {MAX_CHANGES} changes")
    return command
