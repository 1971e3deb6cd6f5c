"""The MySQL settings: the `mysql` section (front end) and the `members` section (endpoints)."""

from __future__ import annotations

import ssl
from collections.abc import Iterator
from pathlib import Path

from juniperreel.settings.edge_settings import (
    MysqlEndpointSettings,
    MysqlFrontendSettings,
    TlsFiles,
    UserPassword,
)
from juniperreel.settings.errors import InvalidValueError, Problem
from juniperreel.settings.matches import read_matches
from juniperreel.settings.schema import FileValues, SectionValues
from juniperreel.settings.secret_files import read_secret

MAX_ENDPOINT_CONNECTIONS = 10_000


def read_mysql_frontend(
    file: FileValues, directory: Path, problems: list[Problem]
) -> MysqlFrontendSettings | None:
    """Read the front end settings; None if the file has none. Appends errors to `problems`."""
    section = file["mysql"][0]
    if "listen" not in section.values:
        return None
    users = _read_users(section, directory, problems)
    class_writes = {
        request_class.name: request_class["consistency"][0] == "write" for request_class in file["class"]
    }
    problems += _default_class_problems(section, class_writes)
    tenants = [tenant.name for tenant in file["tenant"]]
    if section["tenant"] not in (tenants or [""]):
        problems.append(section.problem("tenant", f"tenant: must be one of {', '.join(tenants)}"))
    return MysqlFrontendSettings(
        listen=section["listen"],
        users=users,
        read_class=section["read"],
        write_class=section["write"],
        tenant=section["tenant"],
        max_connections=section["connections"],
        tls=_read_tls_files(section, directory, problems),
        auth_plugin=section["login"],
        matches=read_matches(section, class_writes, tenants, problems),
    )


def _read_users(section: SectionValues, directory: Path, problems: list[Problem]) -> tuple[UserPassword, ...]:
    users = []
    for name, path in section["user"]:
        try:
            password = read_secret(directory, path)
        except InvalidValueError as error:
            problems.append(section.problem("user", f"user {name}: {error}"))
            continue
        if not password:
            problems.append(section.problem("user", f"user {name}: {path} is empty"))
        users.append(UserPassword(name, password))
    return tuple(users)


def _default_class_problems(section: SectionValues, class_writes: dict[str, bool]) -> Iterator[Problem]:
    for directive, must_write in (("read", False), ("write", True)):
        name = section[directive]
        if name not in class_writes:
            yield section.problem(directive, f"{directive}: unknown class {name!r}")
        elif class_writes[name] != must_write:
            verb = "does not write" if must_write else "writes"
            yield section.problem(directive, f"{directive}: class {name} {verb}", 5 if must_write else 2)


def _read_tls_files(section: SectionValues, directory: Path, problems: list[Problem]) -> TlsFiles | None:
    """Read the paths of certificate and key, and check that they form a pair."""
    if section["tls"] is None:
        return None
    certificate, key = section["tls"]
    files = TlsFiles(directory / certificate, directory / key)
    try:
        ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        reason = getattr(error, "reason", None) or error.strerror or "invalid certificate or key"
        problems.append(section.problem("tls", f"tls: {reason}"))
    return files


def read_mysql_endpoints(
    file: FileValues, directory: Path, problems: list[Problem]
) -> MysqlEndpointSettings | None:
    """Read the MySQL endpoint settings; None if endpoints use gRPC. Appends errors to `problems`."""
    section = file["members"][0]
    if section["speak"] == "grpc":
        for directive in section.lines.keys() - {"speak"}:
            reason = f"{directive}: only valid with `speak mysql`"
            problems.append(section.problem(directive, reason))
        return None
    login = _read_login(section, directory, problems)
    problems += _keyed_class_problems(file["class"])
    drain_grace_us = file["rules"][0]["drain-grace"]
    max_transaction_us = section["transaction"] or drain_grace_us // 2
    if 2 * max_transaction_us > drain_grace_us:
        # A draining primary accepts writes for half the grace period: a transaction that starts at the end of
        # that half must finish within the grace period.
        reason = "transaction: must not exceed half of drain-grace, or it may outlast its endpoint"
        problems.append(section.problem("transaction", reason, 3))
    certificate_authorities = _read_certificate_authorities(section, directory, problems)
    problems += _pool_problems(section, file["class"])
    return MysqlEndpointSettings(
        user=login.name,
        password=login.password,
        database=section["database"],
        max_transaction_us=max_transaction_us,
        certificate_authorities=certificate_authorities,
        max_connections=section["connections"],
        min_connections=section["least"],
        acquire_timeout_us=section["wait"],
        idle_timeout_us=section["idle"],
        max_lifetime_us=section["age"],
        open_rate=section["open-rate"],
    )


def _read_login(section: SectionValues, directory: Path, problems: list[Problem]) -> UserPassword:
    """Read the user and password for endpoints; empty strings if missing."""
    if section["user"] is None:
        reason = "speak mysql: user with a password file is required"
        problems.append(section.problem("speak", reason))
        return UserPassword("", b"")
    name, path = section["user"]
    try:
        return UserPassword(name, read_secret(directory, path))
    except InvalidValueError as error:
        problems.append(section.problem("user", f"user {name}: {error}"))
        return UserPassword(name, b"")


def _keyed_class_problems(classes: list[SectionValues]) -> Iterator[Problem]:
    for request_class in classes:
        if request_class["effect"][0] == "keyed":
            reason = f"class {request_class.name}: MySQL endpoints do not deduplicate by key; use effect once"
            yield request_class.problem("effect", reason, 2)


def _read_certificate_authorities(
    section: SectionValues, directory: Path, problems: list[Problem]
) -> Path | None:
    if section["tls"] is None:
        return None
    path: Path = directory / section["tls"]
    try:
        ssl.create_default_context(cafile=str(path))
    except (OSError, ssl.SSLError) as error:
        problems.append(section.problem("tls", f"tls: {error.strerror or 'invalid certificate'}"))
    return path


def _pool_problems(section: SectionValues, classes: list[SectionValues]) -> Iterator[Problem]:
    if not 1 <= section["connections"] <= MAX_ENDPOINT_CONNECTIONS:
        yield section.problem("connections", f"connections: must be 1 to {MAX_ENDPOINT_CONNECTIONS}")
    if section["least"] > section["connections"]:
        reason = f"least: must not exceed connections ({section['connections']})"
        yield section.problem("least", reason)
    shortest_deadline_us = min((request_class["deadline"] for request_class in classes), default=0)
    if section["wait"] >= shortest_deadline_us:
        reason = "wait: must be shorter than every class's deadline, or answers after a wait are late"
        yield section.problem("wait", reason, 1)
    if section["open-rate"] <= 0:
        yield section.problem("open-rate", "open-rate: must be above 0")
    if section["idle"] <= 0 or section["age"] < section["idle"]:
        reason = (
            "age: must not be below idle (above 0), or connections close before they are idle long enough"
        )
        yield section.problem("age", reason)
