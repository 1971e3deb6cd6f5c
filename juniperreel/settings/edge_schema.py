"""The sections and directives of an edge's settings file."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from juniperreel.settings.schema import DirectiveSpec, SectionSpec, single
from juniperreel.settings.values import (
    one_of,
    parse_address,
    parse_duration,
    parse_flag,
    parse_integer,
    parse_name,
    parse_number,
    parse_percentage,
    parse_size,
)

AUTH_PLUGINS = ("caching_sha2_password", "mysql_native_password")
MAX_MATCH_ARGUMENTS = 13  # read or write, and six name-value pairs

SECTIONS: Mapping[str, SectionSpec] = {
    "edge": SectionSpec(
        {
            "name": single(parse_name),
            "listen": single(parse_address),
            "metrics": single(parse_address, None),
            "zone": single(parse_integer, 0),
            "edges": single(parse_integer),  # number of edges that share the endpoints, including this one
            "groups": single(parse_integer),
            "workers": single(parse_integer, 1),  # worker processes
            "seed": single(parse_integer, None),
        }
    ),
    "hosts": SectionSpec(
        {
            "source": single(parse_address, None),
            "instance": DirectiveSpec((parse_address,), default=(), repeated=True),
            "saved": single(Path, None),
            "timeout": single(parse_duration, 2_000_000),
            "shows-primary": single(parse_flag),
        }
    ),
    "class": SectionSpec(
        {
            "effect": DirectiveSpec(
                (one_of("repeatable", "keyed", "once"), one_of("all", "zone", "group"), parse_duration),
                min_arguments=1,
            ),
            "consistency": DirectiveSpec(
                (one_of("write", "fresh", "session", "bounded", "any"), parse_duration), min_arguments=1
            ),
            "aim": single(parse_duration),
            "deadline": single(parse_duration),
            "worth": single(parse_number),
            "late-worth": single(parse_percentage, 0.0),
        },
        named=True,
    ),
    "tenant": SectionSpec(
        {"share": single(parse_percentage), "quota": single(parse_number, 0.0)}, named=True, required=False
    ),
    "rules": SectionSpec(
        {
            "attempts": single(parse_integer),
            "second-copies": single(parse_flag, False),
            "cancelling": single(parse_flag, True),
            "probes": single(parse_flag, True),
            "answer-margin": single(parse_duration),
            "drain-grace": single(parse_duration),
            "only-draining-binds": single(parse_flag, False),
            "cold-from": single(parse_percentage),
            "cold-span": single(parse_duration),
            "fall-multiple": single(parse_number),
            "overload-span": single(parse_duration),
            "refusal-wait": single(parse_duration),
            "members-check": DirectiveSpec((one_of("no", "refuse", "wait"), parse_duration), min_arguments=1),
            "over-share-worth": single(parse_percentage, 1.0),
        }
    ),
    "limits": SectionSpec(
        {
            "open-requests": single(parse_integer, 5000),
            "member-attempts": single(parse_integer, 1000),
            "connections": single(parse_integer, 10_000),
            "message": single(parse_size, 4 << 20),
            "metadata": single(parse_size, 16 << 10),
            "connect-timeout": single(parse_duration, 500_000),
            "probe-timeout": single(parse_duration, 500_000),
            "stop-within": single(parse_duration, 10_000_000),
        },
        required=False,
    ),
    "mysql": SectionSpec(
        {
            "listen": single(parse_address),
            "user": DirectiveSpec((parse_name, Path), repeated=True),
            "read": single(parse_name),
            "write": single(parse_name),
            "tenant": single(parse_name, ""),
            "connections": single(parse_integer, 1000),
            "tls": DirectiveSpec((Path, Path), default=None),  # certificate and key, PEM
            "login": single(
                one_of("caching_sha2_password", "mysql_native_password"), "caching_sha2_password"
            ),
            "match": DirectiveSpec(
                (parse_name,) * MAX_MATCH_ARGUMENTS, default=(), min_arguments=5, repeated=True
            ),  # assigns statements to other classes
        },
        required=False,
    ),
    "members": SectionSpec(
        {
            "speak": single(one_of("grpc", "mysql"), "grpc"),
            "user": DirectiveSpec((parse_name, Path), default=None),
            "database": single(parse_name, ""),
            "transaction": single(parse_duration, 0),  # maximum duration; 0 means half of drain-grace
            "tls": single(Path, None),  # CA certificates for verifying endpoints, PEM
            "connections": single(parse_integer, 32),  # maximum per endpoint
            "least": single(parse_integer, 0),  # minimum kept open when idle
            "wait": single(parse_duration, 250_000),  # acquire timeout
            "idle": single(parse_duration, 60_000_000),
            "age": single(parse_duration, 3_600_000_000),
            "open-rate": single(parse_number, 20.0),  # new connections per second, per endpoint
        },
        required=False,
    ),
    "token": SectionSpec(
        {"key": DirectiveSpec((parse_integer, Path), repeated=True), "skew": single(parse_duration)}
    ),
    "log": SectionSpec(
        {
            "form": single(one_of("json", "console"), "json"),
            "level": single(one_of("debug", "info", "warning", "error"), "info"),
            "spans": single(Path, None),
        },
        required=False,
    ),
}
