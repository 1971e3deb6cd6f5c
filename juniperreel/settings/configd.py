"""Settings of a configuration instance, a member of the Raft cluster that stores the configuration."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from juniperreel.settings.errors import InvalidValueError, Problem, SettingsError
from juniperreel.settings.lexer import lex
from juniperreel.settings.schema import DirectiveSpec, FileValues, SectionSpec, read_sections, single
from juniperreel.settings.secret_files import check_key_length, read_secret
from juniperreel.settings.values import (
    Address,
    one_of,
    parse_address,
    parse_duration,
    parse_integer,
    parse_name,
)

MIN_TICK_US = 1_000
MAX_TICK_US = 1_000_000
MIN_ELECTION_TICKS = 5
QUOTED_LENGTH = 60  # characters of an invalid instance quoted in an error


def parse_instance(argument: str) -> str:
    """Check that an instance has the form name@host:port and return it unchanged.

    Raises:
        InvalidValueError: It has a different form.
    """
    name, separator, address = argument.rpartition("@")
    if not separator or not name or "," in name or "@" in name:
        raise InvalidValueError(f"{argument[:QUOTED_LENGTH]!r} is not name@host:port")
    parse_address(address)
    return argument


SECTIONS = {
    "instance": SectionSpec(
        {
            "name": single(parse_instance),
            "cluster": single(parse_name),
            "directory": single(Path),
            "key": single(Path),
            "tick": single(parse_duration, 30_000),
            "election-ticks": single(parse_integer, 10),
            "snapshot-every": single(parse_integer, 1000),
        }
    ),
    "cluster": SectionSpec({"member": DirectiveSpec((parse_instance,), repeated=True)}),
    "log": SectionSpec(
        {
            "form": single(one_of("json", "console"), "json"),
            "level": single(one_of("debug", "info", "warning", "error"), "info"),
        },
        required=False,
    ),
}


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The settings of a configuration instance.

    Attributes:
        name: In the form name@host:port.
        snapshot_interval: Log entries between snapshots.
        members: The initial instances of a new cluster, in the same form as `name`.
    """

    name: str
    listen: Address
    cluster: str
    directory: Path
    key: bytes
    tick_us: int
    election_ticks: int
    snapshot_interval: int
    members: tuple[str, ...]
    log_format: str
    log_level: str


def is_instance_file(path: Path) -> bool:
    """Whether a settings file is that of an instance and not of an edge. Raises OSError."""
    return any(section.kind == "instance" for section in lex(path.read_bytes()).sections)


def read_instance(path: Path) -> InstanceSettings:
    """Read a settings file.

    Raises:
        SettingsError: The file is invalid; the error lists all problems.
        OSError: The file cannot be read.
    """
    sections, problems = lex(path.read_bytes())
    file = read_sections(sections, SECTIONS, problems)
    if problems:
        raise SettingsError(str(path), problems)
    instance = file["instance"][0]
    key = b""
    try:
        key = read_secret(path.parent, instance["key"])
        check_key_length(instance["key"], key)
    except InvalidValueError as error:
        problems.append(instance.problem("key", str(error)))
    problems += check_instance(file)
    if problems:
        raise SettingsError(str(path), problems)
    return InstanceSettings(
        name=instance["name"],
        listen=parse_address(instance["name"].rpartition("@")[2]),
        cluster=instance["cluster"],
        directory=path.parent / instance["directory"],
        key=key,
        tick_us=instance["tick"],
        election_ticks=instance["election-ticks"],
        snapshot_interval=instance["snapshot-every"],
        members=tuple(file["cluster"][0]["member"]),
        log_format=file["log"][0]["form"],
        log_level=file["log"][0]["level"],
    )


def check_instance(file: FileValues) -> Iterator[Problem]:
    """Check the membership, and that timers are within bounds."""
    instance = file["instance"][0]
    cluster = file["cluster"][0]
    members = cluster["member"]
    if len(set(members)) != len(members) or len(members) % 2 == 0:
        reason = "an odd number of distinct members is required: an even number tolerates no more failures"
        yield cluster.problem("member", reason)
    if not MIN_TICK_US <= instance["tick"] <= MAX_TICK_US:
        yield instance.problem("tick", "tick: must be 1ms to 1s")
    if instance["election-ticks"] < MIN_ELECTION_TICKS or instance["snapshot-every"] < 1:
        reason = "election-ticks must be at least 5, and snapshot-every at least 1"
        yield instance.problem("election-ticks", reason)
