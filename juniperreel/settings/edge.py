"""Reads an edge's settings file."""

from __future__ import annotations

from pathlib import Path

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
from juniperreel.settings.checks import check_file
from juniperreel.settings.edge_schema import SECTIONS
from juniperreel.settings.edge_settings import (
    EdgeSettings,
    MysqlEndpointSettings,
    MysqlFrontendSettings,
    TokenKey,
)
from juniperreel.settings.errors import InvalidValueError, Problem, SettingsError
from juniperreel.settings.lexer import lex
from juniperreel.settings.mysql import read_mysql_endpoints, read_mysql_frontend
from juniperreel.settings.schema import FileValues, SectionValues, read_sections
from juniperreel.settings.secret_files import check_key_length, read_secret
from juniperreel.settings.values import Address

MAX_TOKEN_KEYS = 2
MAX_KEY_ID = 255
NO_ADDRESS = Address("", 0)
STALENESS_GUARDS = {"no": StalenessGuard.OFF, "refuse": StalenessGuard.REFUSE, "wait": StalenessGuard.WAIT}


def read_edge(path: Path) -> EdgeSettings:
    """Read a settings file.

    Raises:
        SettingsError: The file is invalid; the error lists all problems.
        OSError: The file cannot be read.
    """
    return parse_edge(path.read_bytes(), str(path), path.parent)


def parse_edge(data: bytes, file_name: str, directory: Path) -> EdgeSettings:
    """Parse the contents of a settings file; relative paths in it are relative to `directory`.

    Raises:
        SettingsError: As for `read_edge`.
    """
    sections, problems = lex(data)
    if problems and not sections:
        raise SettingsError(file_name, problems)
    file = read_sections(sections, SECTIONS, problems)
    if problems:
        raise SettingsError(file_name, problems)
    token_keys = _read_token_keys(file["token"][0], directory, problems)
    problems += check_file(file)
    mysql_frontend = read_mysql_frontend(file, directory, problems)
    mysql_endpoints = read_mysql_endpoints(file, directory, problems)
    if problems:
        raise SettingsError(file_name, problems)
    return _edge_settings(file, token_keys, directory, mysql_frontend, mysql_endpoints)


def _read_token_keys(token: SectionValues, directory: Path, problems: list[Problem]) -> tuple[TokenKey, ...]:
    keys: list[TokenKey] = []
    for key_id, path in token["key"]:
        try:
            secret = read_secret(directory, path)
        except InvalidValueError as error:
            problems.append(token.problem("key", f"key {key_id}: {error}"))
            continue
        try:
            check_key_length(path, secret)
        except InvalidValueError as error:
            problems.append(token.problem("key", f"key {key_id}: {error}", 5))
        if key_id > MAX_KEY_ID or key_id in [key.id for key in keys]:
            problems.append(token.problem("key", f"key {key_id}: ids must be unique and 0 to 255"))
        keys.append(TokenKey(key_id, secret))
    if len(keys) > MAX_TOKEN_KEYS:
        problems.append(token.problem("key", "at most two keys may be active at once"))
    return tuple(keys)


def _edge_settings(
    file: FileValues,
    token_keys: tuple[TokenKey, ...],
    directory: Path,
    mysql_frontend: MysqlFrontendSettings | None,
    mysql_endpoints: MysqlEndpointSettings | None,
) -> EdgeSettings:
    edge = file["edge"][0]
    hosts = file["hosts"][0]
    limits = file["limits"][0]
    log = file["log"][0]
    return EdgeSettings(
        name=edge["name"],
        listen=edge["listen"],
        metrics=edge["metrics"],
        groups=edge["groups"],
        workers=edge["workers"],
        seed=edge["seed"],
        host_list=hosts["source"] or NO_ADDRESS,
        configuration_instances=tuple(hosts["instance"]),
        list_cache_path=directory / hosts["saved"] if hosts["saved"] else None,
        list_timeout_us=hosts["timeout"],
        router=_router_settings(file),
        answer_margin_us=file["rules"][0]["answer-margin"],
        max_open_requests=limits["open-requests"],
        max_attempts_per_endpoint=limits["member-attempts"],
        max_connections=limits["connections"],
        max_message_bytes=limits["message"],
        max_metadata_bytes=limits["metadata"],
        connect_timeout_us=limits["connect-timeout"],
        health_check_timeout_us=limits["probe-timeout"],
        shutdown_timeout_us=limits["stop-within"],
        token_keys=token_keys,
        max_clock_skew_us=file["token"][0]["skew"],
        log_format=log["form"],
        log_level=log["level"],
        span_file=directory / log["spans"] if log["spans"] else None,
        mysql_frontend=mysql_frontend,
        mysql_endpoints=mysql_endpoints,
    )


def _router_settings(file: FileValues) -> Settings:
    edge = file["edge"][0]
    rules = file["rules"][0]
    guard, *waits_us = rules["members-check"]
    return Settings(
        router_count=edge["edges"] * edge["workers"],  # each worker has a router of its own
        zone=edge["zone"],
        classes=tuple(_request_class(section) for section in file["class"]),
        tenants=tuple(Tenant(tenant.name, tenant["share"], tenant["quota"]) for tenant in file["tenant"]),
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
        staleness_guard=STALENESS_GUARDS[guard],
        staleness_wait_us=waits_us[0] if waits_us else 0,
        requests_carry_session_age=True,
        responses_carry_position=True,
        list_names_primary=file["hosts"][0]["shows-primary"],
    )


def _request_class(section: SectionValues) -> RequestClass:
    effect, *key_options = section["effect"]
    consistency, *staleness_bounds_us = section["consistency"]
    return RequestClass(
        name=section.name,
        idempotency=Idempotency(effect),
        key_scope=KeyScope(key_options[0]) if key_options else KeyScope.ALL,
        deduplication_window_us=key_options[1] if len(key_options) > 1 else 0,
        consistency=Consistency(consistency),
        max_staleness_us=staleness_bounds_us[0] if staleness_bounds_us else 0,
        latency_objective_us=section["aim"],
        deadline_us=section["deadline"],
        priority_weight=section["worth"],
        late_priority_weight=section["late-worth"],
    )
