"""Parses the platform's configuration file (JSON). An invalid file is rejected as a whole."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from juniperreel.platform.endpoint_list import PORT_LIMIT, Address
from juniperreel.platform.errors import ConfigError
from juniperreel.platform_settings import read_settings
from juniperreel.routing.types import Settings

# Exceptions that invalid file content can raise while it is parsed. None may terminate a driver on reload.
PARSE_ERRORS = (
    msgspec.DecodeError,
    LookupError,
    ValueError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class Limits(msgspec.Struct):
    """Resource limits of the process; memory and sockets are budgeted, `cores` is only logged."""

    cores: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1024


class ConfigFile(msgspec.Struct):
    """The keys of the file, under the platform's names."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: dict[str, Any] = msgspec.field(default_factory=dict)


class Config(msgspec.Struct):
    """The configuration of one driver. Durations are in microseconds.

    `cached_endpoint_list` is the last list from discovery, as unparsed JSON. `zones` and `machine_types` are
    names in the order of the settings.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    cached_endpoint_list: dict[str, Any]
    router: Settings
    zones: list[str]
    machine_types: list[str]
    connect_timeout_us: int
    idle_timeout_us: int  # longest time that an endpoint keeps an idle connection open


def _parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise ConfigError(f"invalid address, expected host:port: {text!r}")
    return host.strip("[]"), int(port)


def parse_config(data: bytes) -> Config:
    """Parse the file's content. Raises ConfigError."""
    try:
        file = msgspec.json.decode(data, type=ConfigFile)
        router = read_settings(file.settings).router  # positions are Unix times: no offset
        ceilings = file.settings["ceilings"]
        return Config(
            name=file.name,
            listen=_parse_address(file.listen),
            discovery=_parse_address(file.discovery),
            seed=int(file.seed, 16),
            limits=file.limits,
            cached_endpoint_list=file.known,
            router=replace(router, responses_may_be_lost=True),
            zones=[str(name) for name in file.settings.get("zones", [])],
            machine_types=[str(name) for name in file.settings.get("kinds", [])],
            connect_timeout_us=round(ceilings["connect_timeout_s"] * 1_000_000),
            idle_timeout_us=round(ceilings["conn_idle_s"] * 1_000_000),
        )
    except PARSE_ERRORS as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from error
