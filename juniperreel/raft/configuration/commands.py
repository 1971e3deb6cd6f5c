"""Commands that change the configuration, and their encoding in the log. No I/O."""

from __future__ import annotations

import msgspec

from juniperreel.raft.configuration import validation
from juniperreel.raft.configuration.model import ClassInfo, GroupInfo, MemberInfo, TenantInfo
from juniperreel.raft.errors import MalformedDataError

MAX_CHANGES = 1000
COMMAND = "a command"


class SetMember(msgspec.Struct, frozen=True, tag="set-member"):
    """Add or replace a member."""

    name: str
    member: MemberInfo


class SetState(msgspec.Struct, frozen=True, tag="set-state"):
    """Change a member's state: draining, gone, or up again.

    `started_us` is the wall-clock time of the member's start in microseconds. It must be newer when a member
    that was gone is up again.
    """

    name: str
    state: str
    started_us: int = 0


class RemoveMember(msgspec.Struct, frozen=True, tag="remove-member"):
    """Remove a member in state `gone`."""

    name: str


class SetGroup(msgspec.Struct, frozen=True, tag="set-group"):
    """Add a group, or set its primary in a newer epoch."""

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
    """Set a limit; None restores the default."""

    name: str
    value: int | None


ConfigurationChange = (
    SetMember | SetState | RemoveMember | SetGroup | RemoveGroup | SetClass | SetTenant | SetLimit
)


class Command(msgspec.Struct, frozen=True, rename={"expected_version": "expect"}):
    """A list of changes that is applied atomically.

    Attributes:
        client: Name of the client that sent it.
        sequence: Sequence number of the client's command, so that a retry is applied only once.
        changes: The changes, in order.
        expected_version: The version that must be in force (compare-and-set), or None for any version.
    """

    client: str
    sequence: int
    changes: list[ConfigurationChange]
    expected_version: int | None = None


def encode_command(command: Command) -> bytes:
    """Encode a command as the data of a COMMAND entry."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode the data of a COMMAND entry. Raises MalformedDataError."""
    try:
        command = msgspec.msgpack.decode(data, type=Command)
    except msgspec.DecodeError as error:
        raise MalformedDataError(COMMAND, str(error)) from error
    if not command.client or len(command.client) > validation.MAX_NAME or command.sequence < 0:
        raise MalformedDataError(COMMAND, "it needs its client's name and a sequence number")
    if not 1 <= len(command.changes) <= MAX_CHANGES:
        raise MalformedDataError(COMMAND, f"it has 1 to {MAX_CHANGES} changes")
    return command
