"""The platform's configuration file: JSON, read whole or not at all."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from juniperreel.platform_settings import read_settings
from juniperreel.routing.types import (
    Settings,
)


class ConfigError(Exception):
    """The file is not a configuration; the words say where."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1024


class File(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: dict[str, Any] = msgspec.field(default_factory=dict)


class Config(msgspec.Struct):
    """Spans are microseconds. `zones` and `kinds` are names in the order of the settings."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: dict[str, Any]
    router: Settings
    zones: list[str]
    kinds: list[str]
    connect_timeout_us: int
    conn_idle_us: int
    list_position_s: bool = True


def address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def parse(data: bytes) -> Config:
    """Raises ConfigError."""
    try:
        file = msgspec.json.decode(data, type=File)
        router = read_settings(file.settings).router  # positions on sockets are Unix times: no zero
        ceilings = file.settings["ceilings"]
        return Config(
            name=file.name,
            listen=address(file.listen),
            discovery=address(file.discovery),
            seed=int(file.seed, 16),
            limits=file.limits,
            known=file.known,
            router=replace(router, responses_may_be_lost=True),
            zones=[str(z) for z in file.settings.get("zones", [])],
            kinds=[str(k) for k in file.settings.get("kinds", [])],
            connect_timeout_us=round(ceilings["connect_timeout_s"] * 1_000_000),
            conn_idle_us=round(ceilings["conn_idle_s"] * 1_000_000),
        )
    except (msgspec.DecodeError, KeyError, ValueError, TypeError, IndexError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from None
