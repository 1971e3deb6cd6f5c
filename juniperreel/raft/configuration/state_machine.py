"""The state machine: commands in the order of the log, versions out. Deterministic and free of I/O.

A command names the version it was made against, where its author wants that (compare and set), and its
client's sequence number, so that a retry after a lost answer is applied once (dissertation, 6.3).
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec
from immutables import Map

from juniperreel.raft.configuration import validation
from juniperreel.raft.configuration.commands import (
    Command,
    ConfigurationChange,
    RemoveGroup,
    RemoveMember,
    SetClass,
    SetGroup,
    SetLimit,
    SetMember,
    SetState,
    SetTenant,
    decode_command,
)
from juniperreel.raft.configuration.model import (
    EMPTY,
    ClientSession,
    Configuration,
    decode,
    encode,
    encode_delta,
)

MAX_CLIENTS = 1000
HISTORY = 64  # versions kept for deltas to watchers


class Outcome(msgspec.Struct, frozen=True):
    """What became of a command: the version that holds it, or why it was refused."""

    version: int
    refusal: str = ""


def changed(c: Configuration, change: ConfigurationChange) -> Configuration:
    """The configuration after one change, unchecked. Raises ValueError for names that are not there."""
    replace = msgspec.structs.replace
    match change:
        case SetMember(name, member):
            return replace(c, members=c.members.set(name, member))
        case SetState(name, state, started):
            member = there(c.members, name, "member")
            member = replace(member, state=state, started_us=max(started, member.started_us))
            return replace(c, members=c.members.set(name, member))
        case RemoveMember(name):
            there(c.members, name, "member")
            return replace(c, members=c.members.delete(name))
        case SetGroup(number, group):
            return replace(c, groups=c.groups.set(number, group))
        case RemoveGroup(number):
            there(c.groups, number, "group")
            return replace(c, groups=c.groups.delete(number))
        case SetClass(name, cls):
            return replace(c, classes=put(c.classes, name, cls, "class"))
        case SetTenant(name, tenant):
            return replace(c, tenants=put(c.tenants, name, tenant, "tenant"))
        case SetLimit(name, value):
            return replace(c, limits=put(c.limits, name, value, "limit"))


def there(mapping, key, what: str):  # type: ignore[no-untyped-def]
    if key not in mapping:
        raise ValueError(f"there is no {what} {key}")
    return mapping[key]


def put(mapping, key, value, what: str):  # type: ignore[no-untyped-def]
    if value is None:
        there(mapping, key, what)
        return mapping.delete(key)
    return mapping.set(key, value)


def validated(c: Configuration, command: Command) -> tuple[Configuration | None, str]:
    """The next version, or None and why not. The same on every node."""
    if command.expect is not None and command.expect != c.version:
        return None, f"made against version {command.expect}; version {c.version} is in force"
    new = c
    try:
        for change in command.changes:
            new = changed(new, change)
    except ValueError as error:
        return None, str(error)
    wrong = validation.problems(new) + validation.steps(c, new)
    if wrong:
        return None, "; ".join(wrong[:10])
    return msgspec.structs.replace(new, version=c.version + 1), ""


class ConfigurationStateMachine:
    """Applies commands, keeps some versions for deltas."""

    def __init__(self) -> None:
        self.now = EMPTY
        self._history: OrderedDict[int, Configuration] = OrderedDict({0: EMPTY})

    def known(self, command: Command) -> Outcome | None:
        """What became of this very command, if it was applied before; of an older one a refusal."""
        client = self.now.clients.get(command.client)
        if client is None or command.sequence > client.sequence:
            return None
        if command.sequence < client.sequence:
            return Outcome(self.now.version, f"sequence {command.sequence} is older than {client.sequence}")
        return Outcome(client.version, client.refusal)

    def refusal(self, command: Command) -> str:
        """Why the command would be refused now; empty if it would not be."""
        return validated(self.now, command)[1]

    def apply(self, data: bytes) -> Outcome:
        """One entry of the log."""
        try:
            command = decode_command(data)
        except ValueError as error:  # it was let into the log by a version that took it; skipped everywhere
            return Outcome(self.now.version, str(error))
        before = self.known(command)
        if before is not None:
            return before
        new, refusal = validated(self.now, command)
        version = self.now.version if new is None else new.version
        clients = remember(
            self.now.clients, command.client, ClientSession(command.sequence, version, refusal)
        )
        self.now = msgspec.structs.replace(new or self.now, clients=clients)
        self._keep()
        return Outcome(version, refusal)

    def _keep(self) -> None:
        self._history[self.now.version] = self.now
        while len(self._history) > HISTORY:
            self._history.popitem(last=False)

    def update(self, since: int) -> tuple[bool, bytes]:
        """(is it full, bytes): what a watcher at version `since` needs to hold the one in force."""
        old = self._history.get(since)
        if old is None:
            return True, encode(self.now, clients=False)
        return False, encode_delta(old, self.now)

    def snapshot(self) -> bytes:
        return encode(self.now, clients=True)

    def restore(self, data: bytes) -> None:
        """From a snapshot; empty bytes are the beginning. Raises ValueError."""
        self.now = decode(data) if data else EMPTY
        self._history = OrderedDict({self.now.version: self.now})


def remember(clients: Map[str, ClientSession], name: str, client: ClientSession) -> Map[str, ClientSession]:
    """Bounded: the client whose last command lies at the oldest version, first by name, is forgotten."""
    clients = clients.set(name, client)
    if len(clients) > MAX_CLIENTS:
        oldest = min((c.version, n) for n, c in clients.items() if n != name)[1]
        clients = clients.delete(oldest)
    return clients
