"""One version of the configuration, as persistent maps: a new version shares what did not change.

Free of I/O. Must never be changed in place; drivers hold old versions while new ones are made.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
from immutables import Map

FORMAT = 1


class MemberInfo(msgspec.Struct, frozen=True):
    """A database member. `state` is up, draining or gone; `started_us` wall time, 0 if not known."""

    group: int
    address: str
    port: int
    zone: int = 0
    kind: int = 0
    size: float = 1.0
    state: str = "up"
    started_us: int = 0


class GroupInfo(msgspec.Struct, frozen=True):
    """Who is primary in which epoch; None while nobody is."""

    epoch: int
    primary: str | None


class ClassInfo(msgspec.Struct, frozen=True):
    """A request class, as the settings file has it."""

    effect: str
    key_scope: str
    memory_us: int
    consistency: str
    lag_us: int
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float


class TenantInfo(msgspec.Struct, frozen=True):
    share: float
    quota: float = 0.0


class ClientSession(msgspec.Struct, frozen=True):
    """A client's last command and what came of it, so that its retry is not applied again."""

    sequence: int
    version: int
    refusal: str


class Configuration(msgspec.Struct, frozen=True):
    """`version` counts changes; `index` is that of the last entry applied, changed anything or not."""

    version: int
    members: Map[str, MemberInfo]
    groups: Map[int, GroupInfo]
    classes: Map[str, ClassInfo]
    tenants: Map[str, TenantInfo]
    limits: Map[str, int]
    clients: Map[str, ClientSession]

    def of_group(self, group: int) -> Iterator[tuple[str, MemberInfo]]:
        return ((name, m) for name, m in self.members.items() if m.group == group)


EMPTY = Configuration(0, Map(), Map(), Map(), Map(), Map(), Map())


class Flat(msgspec.Struct, frozen=True):
    """The form of a version in snapshots and on the wire."""

    format: int
    version: int
    members: dict[str, MemberInfo]
    groups: dict[int, GroupInfo]
    classes: dict[str, ClassInfo]
    tenants: dict[str, TenantInfo]
    limits: dict[str, int]
    clients: dict[str, ClientSession] = {}


class Delta(msgspec.Struct, frozen=True):
    """From one version to a later one: what is new or other, and the names that are gone."""

    format: int
    since: int
    version: int
    members: dict[str, MemberInfo | None]
    groups: dict[int, GroupInfo | None]
    classes: dict[str, ClassInfo | None]
    tenants: dict[str, TenantInfo | None]
    limits: dict[str, int | None]


PARTS = ("members", "groups", "classes", "tenants", "limits")


def ordered(mapping: Any) -> dict[Any, Any]:
    """Persistent maps have no order of their own; bytes that nodes compare need one."""
    return {key: mapping[key] for key in sorted(mapping)}


def encode(c: Configuration, clients: bool) -> bytes:
    """The same bytes on every node. `clients` only for snapshots: drivers have no use for them."""
    parts = {name: ordered(getattr(c, name)) for name in PARTS}
    flat = Flat(FORMAT, c.version, **parts, clients=ordered(c.clients) if clients else {})
    return msgspec.msgpack.encode(flat)


def decode(data: bytes) -> Configuration:
    """Raises ValueError for bytes that are not a configuration of a format that this program reads."""
    try:
        flat = msgspec.msgpack.decode(data, type=Flat)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a configuration: {error}") from None
    if flat.format != FORMAT:
        raise ValueError(f"configuration format {flat.format}; this program reads {FORMAT}")
    parts = {name: Map(getattr(flat, name)) for name in PARTS}
    return Configuration(flat.version, **parts, clients=Map(flat.clients))


def encode_delta(old: Configuration, new: Configuration) -> bytes:
    """The Delta's bytes."""
    parts: dict[str, dict[Any, Any]] = {}
    for name in PARTS:
        before, after = getattr(old, name), getattr(new, name)
        changed = {key: after[key] for key in sorted(after) if before.get(key) != after[key]}
        parts[name] = changed | {key: None for key in sorted(before) if key not in after}
    return msgspec.msgpack.encode(Delta(FORMAT, old.version, new.version, **parts))


def apply_delta(old: Configuration, data: bytes) -> Configuration:
    """Raises ValueError for bytes that are no delta from exactly this version."""
    try:
        delta = msgspec.msgpack.decode(data, type=Delta)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a delta: {error}") from None
    if delta.format != FORMAT or delta.since != old.version or delta.version <= old.version:
        raise ValueError(f"a delta from {delta.since} to {delta.version} does not fit version {old.version}")
    parts = {}
    for name in PARTS:
        with getattr(old, name).mutate() as mutation:
            for key, value in getattr(delta, name).items():
                if value is not None:
                    mutation[key] = value
                elif key in mutation:
                    del mutation[key]
            parts[name] = mutation.finish()
    return Configuration(delta.version, **parts, clients=old.clients)
