"""The settings of a configuration instance."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from juniperreel.settings.lexer import BadValue, Problem, SettingsError, address, duration, lex, whole, word
from juniperreel.settings.schema import Field, Kind, choice, one, read


def instance(text: str) -> str:
    """name@host:port"""
    name, at, place = text.rpartition("@")
    if not at or not name or "," in name or "@" in name:
        raise BadValue(f"{text[:60]!r} is not name@host:port")
    address(place)
    return text


KINDS = {
    "instance": Kind(
        {
            "name": one(instance),
            "cluster": one(word),
            "directory": one(Path),
            "key": one(Path),
            "tick": one(duration, 30_000),
            "election-ticks": one(whole, 10),
            "snapshot-every": one(whole, 1000),
        }
    ),
    "cluster": Kind({"member": Field((instance,), many=True)}),
    "log": Kind(
        {
            "form": one(choice("json", "console"), "json"),
            "level": one(choice("debug", "info", "warning", "error"), "info"),
        },
        needed=False,
    ),
}


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """`members` are those that a new cluster starts with."""

    name: str
    listen: tuple[str, int]
    cluster: str
    directory: Path
    key: bytes
    tick_us: int
    election_ticks: int
    snapshot_every: int
    members: tuple[str, ...]
    log_form: str
    log_level: str


def read_instance(path: Path) -> InstanceSettings:
    """Raises SettingsError with every problem in the file, or OSError."""
    sections, problems = lex(path.read_bytes())
    found = read(sections, KINDS, problems)
    if problems:
        raise SettingsError(str(path), problems)
    inst, cluster, log = found["instance"][0], found["cluster"][0], found["log"][0]
    key = b""
    try:
        key = (path.parent / inst["key"]).read_bytes().strip()
    except OSError as error:
        problems.append(Problem(inst.at("key"), f"{inst['key']} cannot be read: {error.strerror}"))
    else:
        if len(key) < 16:
            problems.append(
                Problem(inst.at("key"), f"{inst['key']} holds {len(key)} bytes; 16 are the least")
            )
    members = cluster["member"]
    if len(set(members)) != len(members) or len(members) % 2 == 0:
        reason = "an odd number of members, each named once: an even one bears no more losses"
        problems.append(Problem(cluster.at("member"), reason))
    if not 1_000 <= inst["tick"] <= 1_000_000:
        problems.append(Problem(inst.at("tick"), "tick: 1ms to 1s"))
    if inst["election-ticks"] < 5 or inst["snapshot-every"] < 1:
        problems.append(
            Problem(inst.at("election-ticks"), "election-ticks: 5 or more; snapshot-every: 1 or more")
        )
    if problems:
        raise SettingsError(str(path), problems)
    return InstanceSettings(
        name=inst["name"],
        listen=address(inst["name"].rpartition("@")[2]),
        cluster=inst["cluster"],
        directory=path.parent / inst["directory"],
        key=key,
        tick_us=inst["tick"],
        election_ticks=inst["election-ticks"],
        snapshot_every=inst["snapshot-every"],
        members=tuple(members),
        log_form=log["form"],
        log_level=log["level"],
    )
