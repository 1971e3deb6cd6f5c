"""The settings of an edge: its sections, and the typed result."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from juniperreel.routing.types import (
    Consistency,
    Idempotency,
    KeyScope,
    Prices,
    RequestClass,
    Settings,
    StalenessGuard,
    Tenant,
)
from juniperreel.settings.checks import check
from juniperreel.settings.lexer import (
    Problem,
    SettingsError,
    address,
    duration,
    flag,
    lex,
    number,
    part,
    size,
    whole,
    word,
)
from juniperreel.settings.matches import Match, read_matches
from juniperreel.settings.schema import Field, Kind, Reader, choice, one, read

Address = tuple[str, int]
MATCH_WORDS = 13  # read or write, and six names with their values

KINDS = {
    "edge": Kind(
        {
            "name": one(word),
            "listen": one(address),
            "metrics": one(address, None),
            "zone": one(whole, 0),
            "edges": one(whole),  # that share the members with this one, itself included
            "groups": one(whole),
            "workers": one(whole, 1),  # processes of this edge
            "seed": one(whole, None),
        }
    ),
    "hosts": Kind(
        {
            "source": one(address, None),
            "instance": Field((address,), default=(), many=True),
            "saved": one(Path, None),
            "timeout": one(duration, 2_000_000),
            "shows-primary": one(flag),
        }
    ),
    "class": Kind(
        {
            "effect": Field(
                (choice("repeatable", "keyed", "once"), choice("all", "zone", "group"), duration), least=1
            ),
            "consistency": Field((choice("write", "fresh", "session", "bounded", "any"), duration), least=1),
            "aim": one(duration),
            "deadline": one(duration),
            "worth": one(number),
            "late-worth": one(part, 0.0),
        },
        named=True,
    ),
    "tenant": Kind({"share": one(part), "quota": one(number, 0.0)}, named=True, needed=False),
    "rules": Kind(
        {
            "attempts": one(whole),
            "second-copies": one(flag, False),
            "cancelling": one(flag, True),
            "probes": one(flag, True),
            "answer-margin": one(duration),
            "drain-grace": one(duration),
            "only-draining-binds": one(flag, False),
            "cold-from": one(part),
            "cold-span": one(duration),
            "fall-multiple": one(number),
            "overload-span": one(duration),
            "refusal-wait": one(duration),
            "members-check": Field((choice("no", "refuse", "wait"), duration), least=1),
            "over-share-worth": one(part, 1.0),
        }
    ),
    "limits": Kind(
        {
            "open-requests": one(whole, 5000),
            "member-attempts": one(whole, 1000),
            "connections": one(whole, 10_000),
            "message": one(size, 4 << 20),
            "metadata": one(size, 16 << 10),
            "connect-timeout": one(duration, 500_000),
            "probe-timeout": one(duration, 500_000),
            "stop-within": one(duration, 10_000_000),
        },
        needed=False,
    ),
    "mysql": Kind(
        {
            "listen": one(address),
            "user": Field((word, Path), many=True),
            "read": one(word),
            "write": one(word),
            "tenant": one(word, ""),
            "connections": one(whole, 1000),
            "tls": Field((Path, Path), default=None),  # certificate and key, PEM
            "login": one(choice("caching_sha2_password", "mysql_native_password"), "caching_sha2_password"),
            "match": Field(
                (word,) * MATCH_WORDS, default=(), least=5, many=True
            ),  # which statements are of another class
        },
        needed=False,
    ),
    "members": Kind(
        {
            "speak": one(choice("grpc", "mysql"), "grpc"),
            "user": Field((word, Path), default=None),
            "database": one(word, ""),
            "transaction": one(duration, 0),  # how long one may last; 0: half the drain's grace
            "tls": one(Path, None),  # certificates of the authorities that members are checked against, PEM
            "connections": one(whole, 32),  # to each member, at most
            "least": one(whole, 0),  # kept open
            "wait": one(duration, 250_000),  # for one to come free
            "idle": one(duration, 60_000_000),
            "age": one(duration, 3_600_000_000),
            "open-rate": one(number, 20.0),  # connections a second to one member
        },
        needed=False,
    ),
    "token": Kind({"key": Field((whole, Path), many=True), "skew": one(duration)}),
    "log": Kind(
        {
            "form": one(choice("json", "console"), "json"),
            "level": one(choice("debug", "info", "warning", "error"), "info"),
            "spans": one(Path, None),
        },
        needed=False,
    ),
}


@dataclass(frozen=True, slots=True)
class MysqlSettings:
    """Of the MySQL front; `users` are names and passwords, `read` and `write` names of classes."""

    listen: Address
    users: tuple[tuple[str, bytes], ...]
    read: str
    write: str
    tenant: str
    connections: int
    tls: tuple[Path, Path] | None = None
    matches: tuple[Match, ...] = ()
    login: str = "caching_sha2_password"


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Of members that speak MySQL."""

    user: str
    password: bytes
    database: str
    transaction_us: int
    tls: Path | None
    connections: int
    least: int
    wait_us: int
    idle_us: int
    age_us: int
    open_rate: float


class TokenKey(NamedTuple):
    """A secret that signs causal tokens, and the id that is written into them."""

    id: int
    secret: bytes


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """All that an edge is started with. Spans are microseconds."""

    name: str
    listen: Address
    metrics: Address | None
    groups: int
    workers: int
    seed: int | None
    hosts: Address
    instances: tuple[Address, ...]
    saved_list: Path | None
    list_timeout_us: int
    router: Settings
    answer_margin_us: int
    max_open: int
    member_attempts: int
    max_connections: int
    message_bytes: int
    metadata_bytes: int
    connect_timeout_us: int
    probe_timeout_us: int
    stop_within_us: int
    keys: tuple[TokenKey, ...]
    skew_us: int
    log_form: str
    log_level: str
    spans: Path | None
    mysql: MysqlSettings | None
    members: MemberSettings | None = None
    saves_list: bool = True


def read_edge(path: Path) -> EdgeSettings:
    """The settings of a file. Raises SettingsError with every problem in it, or OSError."""
    return parse_edge(path.read_bytes(), str(path), path.parent)


def parse_edge(data: bytes, file: str, folder: Path) -> EdgeSettings:
    """As `read_edge`; relative paths in the file are taken from `folder`."""
    sections, problems = lex(data)
    if not problems or sections:
        found = read(sections, KINDS, problems)
    if problems:
        raise SettingsError(file, problems)
    keys = read_keys(found["token"][0], folder, problems)
    check(found, problems)
    mysql = read_mysql(found, folder, problems)
    members = read_members(found, folder, problems)
    if problems:
        raise SettingsError(file, problems)
    return typed(found, keys, folder, mysql, members)


def read_keys(token: Reader, folder: Path, problems: list[Problem]) -> tuple[TokenKey, ...]:
    keys: list[TokenKey] = []
    for name, path in token["key"]:
        line = token.at("key")
        try:
            secret = (folder / path).read_bytes().strip()
        except OSError as error:
            problems.append(Problem(line, f"key {name}: {path} cannot be read: {error.strerror}"))
            continue
        if len(secret) < 16:
            problems.append(
                Problem(line, f"key {name}: {path} holds {len(secret)} bytes; 16 are the least", 5)
            )
        if name > 255 or name in [key.id for key in keys]:
            problems.append(Problem(line, f"key {name}: ids are 0 to 255, each used once"))
        keys.append(TokenKey(name, secret))
    if len(keys) > 2:
        problems.append(Problem(token.at("key"), "at most two keys live at once"))
    return tuple(keys)


def read_mysql(found: dict[str, list[Reader]], folder: Path, problems: list[Problem]) -> MysqlSettings | None:
    section = found["mysql"][0]
    if "listen" not in section.values:
        return None
    users = []
    for name, path in section["user"]:
        try:
            password = (folder / path).read_bytes().strip()
        except OSError as error:
            problems.append(
                Problem(section.at("user"), f"user {name}: {path} cannot be read: {error.strerror}")
            )
            continue
        if not password:
            problems.append(Problem(section.at("user"), f"user {name}: {path} holds no password"))
        users.append((name, password))
    classes = {c.name: c["consistency"][0] for c in found["class"]}
    for use, writes in (("read", False), ("write", True)):
        name = section[use]
        if name not in classes:
            problems.append(Problem(section.at(use), f"{use}: no class is called {name!r}"))
        elif (classes[name] == "write") != writes:
            what = "writes" if not writes else "does not write"
            problems.append(Problem(section.at(use), f"{use}: class {name} {what}", 5 if writes else 2))
    tenants = [t.name for t in found["tenant"]]
    if section["tenant"] not in (tenants or [""]):
        problems.append(Problem(section.at("tenant"), f"tenant: one of {', '.join(tenants)} is needed"))
    return MysqlSettings(
        listen=section["listen"],
        users=tuple(users),
        read=section["read"],
        write=section["write"],
        tenant=section["tenant"],
        connections=section["connections"],
        tls=tls_files(section, folder, problems),
        login=section["login"],
        matches=read_matches(section, {n: c == "write" for n, c in classes.items()}, tenants, problems),
    )


def read_members(
    found: dict[str, list[Reader]], folder: Path, problems: list[Problem]
) -> MemberSettings | None:
    section, grace = found["members"][0], found["rules"][0]["drain-grace"]
    if section["speak"] == "grpc":
        for name in section.lines.keys() - {"speak"}:
            if name in section.lines:
                problems.append(Problem(section.at(name), f"{name}: only members that speak mysql take it"))
        return None
    line = section.at("speak")
    password = b""
    if section["user"] is None:
        problems.append(Problem(line, "speak mysql: a user and the file with its password are needed"))
    else:
        try:
            password = (folder / section["user"][1]).read_bytes().strip()
        except OSError as error:
            words = f"user {section['user'][0]}: {section['user'][1]} cannot be read: {error.strerror}"
            problems.append(Problem(section.at("user"), words))
    for cls in found["class"]:
        if cls["effect"][0] == "keyed":
            words = f"class {cls.name}: members that speak MySQL remember no keys; its effect is once"
            problems.append(Problem(cls.at("effect"), words, 2))
    limit = section["transaction"] or grace // 2
    if 2 * limit > grace:
        # A draining primary takes writes for half the grace: what begins then must end before the grace does.
        words = "transaction: more than half of drain-grace; it would go on at a member that has left"
        problems.append(Problem(section.at("transaction"), words, 3))
    tls = folder / section["tls"] if section["tls"] is not None else None
    if tls is not None:
        try:
            ssl.create_default_context(cafile=str(tls))
        except (OSError, ssl.SSLError) as error:
            problems.append(Problem(section.at("tls"), f"tls: {error.strerror or 'not a certificate'}"))
    user = section["user"][0] if section["user"] is not None else ""
    check_sizes(section, found, problems)
    sizes = (section[name] for name in ("connections", "least", "wait", "idle", "age", "open-rate"))
    return MemberSettings(user, password, section["database"], limit, tls, *sizes)


def check_sizes(section: Reader, found: dict[str, list[Reader]], problems: list[Problem]) -> None:
    def wrong(name: str, reason: str, rule: int | None = None) -> None:
        problems.append(Problem(section.at(name), f"{name}: {reason}", rule))

    if not 1 <= section["connections"] <= 10_000:
        wrong("connections", "1 to 10000")
    if section["least"] > section["connections"]:
        wrong("least", f"more than the {section['connections']} that there may be")
    soonest = min((cls["deadline"] for cls in found["class"]), default=0)
    if section["wait"] >= soonest:
        wrong("wait", "as long as a class's deadline, or longer: whoever waits is answered too late", 1)
    if section["open-rate"] <= 0:
        wrong("open-rate", "at least some connections a second are needed")
    if section["idle"] <= 0 or section["age"] < section["idle"]:
        wrong("age", "connections would be closed before they have been idle long enough")


def tls_files(section: Reader, folder: Path, problems: list[Problem]) -> tuple[Path, Path] | None:
    """Certificate and key, which must belong together."""
    if section["tls"] is None:
        return None
    certificate, key = (folder / path for path in section["tls"])
    try:
        ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        reason = getattr(error, "reason", None) or error.strerror or "not a certificate and its key"
        problems.append(Problem(section.at("tls"), f"tls: {reason}"))
    return certificate, key


def request_class(section: Reader) -> RequestClass:
    effect = section["effect"]
    consistency = section["consistency"]
    return RequestClass(
        name=section.name,
        idempotency=Idempotency(effect[0]),
        key_scope=KeyScope(effect[1]) if len(effect) > 1 else KeyScope.ALL,
        deduplication_window_us=effect[2] if len(effect) > 2 else 0,
        consistency=Consistency(consistency[0]),
        max_staleness_us=consistency[1] if len(consistency) > 1 else 0,
        latency_objective_us=section["aim"],
        deadline_us=section["deadline"],
        priority_weight=section["worth"],
        late_priority_weight=section["late-worth"],
    )


STALENESS_GUARDS = {"no": StalenessGuard.OFF, "refuse": StalenessGuard.REFUSE, "wait": StalenessGuard.WAIT}


def typed(
    found: dict[str, list[Reader]],
    keys: tuple[TokenKey, ...],
    folder: Path,
    mysql: MysqlSettings | None,
    members: MemberSettings | None,
) -> EdgeSettings:
    edge, hosts, rules = found["edge"][0], found["hosts"][0], found["rules"][0]
    limits, token, log = found["limits"][0], found["token"][0], found["log"][0]
    guard: tuple[Any, ...] = rules["members-check"]
    router = Settings(
        router_count=edge["edges"] * edge["workers"],  # each worker is a driver of its own
        zone=edge["zone"],
        classes=tuple(request_class(section) for section in found["class"]),
        tenants=tuple(Tenant(t.name, t["share"], t["quota"]) for t in found["tenant"]),
        over_quota_weight=rules["over-share-worth"],
        prices=Prices(),
        max_attempts=rules["attempts"],
        cancellation=rules["cancelling"],
        health_checks=rules["probes"],
        hedging=rules["second-copies"],
        retry_after_hints=rules["refusal-wait"] > 0,
        max_retry_after_us=rules["refusal-wait"],
        response_grace_us=0,
        drain_grace_us=rules["drain-grace"],
        removed_endpoints_serve=rules["only-draining-binds"],
        slow_start_initial_capacity=rules["cold-from"],
        slow_start_us=rules["cold-span"],
        overload_multiple=rules["fall-multiple"],
        overload_window_us=rules["overload-span"],
        must_poll=True,
        poll_interval_us=0,
        staleness_guard=STALENESS_GUARDS[guard[0]],
        staleness_wait_us=guard[1] if len(guard) > 1 else 0,
        requests_carry_session_age=True,
        responses_carry_position=True,
        list_names_primary=hosts["shows-primary"],
    )
    return EdgeSettings(
        name=edge["name"],
        listen=edge["listen"],
        metrics=edge["metrics"],
        groups=edge["groups"],
        workers=edge["workers"],
        seed=edge["seed"],
        hosts=hosts["source"] or ("", 0),
        instances=tuple(hosts["instance"]),
        saved_list=folder / hosts["saved"] if hosts["saved"] else None,
        list_timeout_us=hosts["timeout"],
        router=router,
        answer_margin_us=rules["answer-margin"],
        max_open=limits["open-requests"],
        member_attempts=limits["member-attempts"],
        max_connections=limits["connections"],
        message_bytes=limits["message"],
        metadata_bytes=limits["metadata"],
        connect_timeout_us=limits["connect-timeout"],
        probe_timeout_us=limits["probe-timeout"],
        stop_within_us=limits["stop-within"],
        keys=keys,
        skew_us=token["skew"],
        log_form=log["form"],
        log_level=log["level"],
        spans=folder / log["spans"] if log["spans"] else None,
        mysql=mysql,
        members=members,
    )
