"""What a client asks of the configuration, and the bytes of a command in the log. Free of I/O."""

from __future__ import annotations

import msgspec

from juniperreel.raft.configuration import validation
from juniperreel.raft.configuration.model import ClassInfo, GroupInfo, MemberInfo, TenantInfo
from juniperreel.raft.errors import MalformedDataError

MAX_CHANGES = 1000
COMMAND = "a command"


class SetMember(msgspec.Struct, frozen=True, tag="set-member"):
    """Add a member, or replace what is known of it."""

    name: str
    member: MemberInfo


class SetState(msgspec.Struct, frozen=True, tag="set-state"):
    """Change a member's state: draining, gone, or up again.

    A member that comes back has a newer `started_us`, the wall time of its start in microseconds.
    """

    name: str
    state: str
    started_us: int = 0


class RemoveMember(msgspec.Struct, frozen=True, tag="remove-member"):
    """Remove a member that is gone."""

    name: str


class SetGroup(msgspec.Struct, frozen=True, tag="set-group"):
    """Add a group, or name its primary in a newer epoch."""

    number: int
    group: GroupInfo


class RemoveGroup(msgspec.Struct, frozen=True, tag="remove-group"):
    """Remove a group without members."""

    number: int


class SetClass(msgspec.Struct, frozen=True, tag="set-class", rename={"info": "cls"}):
    """Add or replace a request class; None removes it."""

    name: str
    info: ClassInfo | None


class SetTenant(msgspec.Struct, frozen=True, tag="set-tenant"):
    """Add or replace a tenant; None removes it."""

    name: str
    tenant: TenantInfo | None


class SetLimit(msgspec.Struct, frozen=True, tag="set-limit"):
    """Set a limit; None removes it, so that the default holds."""

    name: str
    value: int | None


ConfigurationChange = (
    SetMember | SetState | RemoveMember | SetGroup | RemoveGroup | SetClass | SetTenant | SetLimit
)


class Command(msgspec.Struct, frozen=True, rename={"expected_version": "expect"}):
    """All of `changes`, or none of them.

    Attributes:
        client: Who sent it.
        sequence: Its number among the client's commands, so that a retry is applied once.
        changes: In the order in which they are made.
        expected_version: The version that it was made against, or None if any will do (compare and set).
    """

    client: str
    sequence: int
    changes: list[ConfigurationChange]
    expected_version: int | None = None


def encode_command(command: Command) -> bytes:
    """The data of a COMMAND entry."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """The command in a COMMAND entry's data. Raises MalformedDataError for other bytes."""
    try:
        command = msgspec.msgpack.decode(data, type=Command)
    except msgspec.DecodeError as error:
        raise MalformedDataError(COMMAND, str(error)) from error
    if not command.client or len(command.client) > validation.MAX_NAME or command.sequence < 0:
        raise MalformedDataError(COMMAND, "it needs its client's name and a sequence number")
    if not 1 <= len(command.changes) <= MAX_CHANGES:
        raise MalformedDataError(COMMAND, f"it has 1 to {MAX_CHANGES} changes")
    return command
