"""Translates an edge's settings into the options of the parts that it is wired from."""

from __future__ import annotations

import secrets
import ssl

from juniperreel.frontends.mysql.classification import ClassRule, RequestClassifier
from juniperreel.frontends.mysql.context import MysqlOptions
from juniperreel.mysql.auth import Credential
from juniperreel.pool.config import BackendConfig, PoolConfig
from juniperreel.proxy import DriverOptions
from juniperreel.proxy.options import MysqlEndpointOptions
from juniperreel.rpc.limits import Limits
from juniperreel.settings import EdgeSettings

OPEN_BURST_S = 0.25  # so many seconds' worth of new connections may be opened at once


def driver_options(settings: EdgeSettings) -> DriverOptions:
    """Options of the proxy itself; draws a seed where the settings have none."""
    return DriverOptions(
        name=settings.name,
        router=settings.router,
        seed=secrets.randbits(64) if settings.seed is None else settings.seed,
        groups=settings.groups,
        discovery_address=settings.host_list,
        cached_list_path=settings.list_cache_path,
        writes_cached_list=settings.writes_list_cache,
        skew_us=settings.max_clock_skew_us,
        answer_margin_us=settings.answer_margin_us,
        max_open_requests=settings.max_open_requests,
        max_attempts_per_endpoint=settings.max_attempts_per_endpoint,
        connect_timeout_us=settings.connect_timeout_us,
        health_check_timeout_us=settings.health_check_timeout_us,
        discovery_timeout_us=settings.list_timeout_us,
        configuration_addresses=settings.configuration_instances,
        mysql=mysql_members(settings),
        limits=Limits(message_bytes=settings.max_message_bytes, metadata_bytes=settings.max_metadata_bytes),
    )


def mysql_members(settings: EdgeSettings) -> MysqlEndpointOptions | None:
    """Options of the pools to members that speak MySQL; None where members speak gRPC.

    Raises OSError for a certificate file that cannot be read.
    """
    members = settings.mysql_endpoints
    if members is None:
        return None
    authorities = members.certificate_authorities
    tls = None if authorities is None else ssl.create_default_context(cafile=str(authorities))
    login = BackendConfig(
        members.user, members.password, members.database, tls, max_result_bytes=settings.max_message_bytes
    )
    sizes = PoolConfig(
        max_connections=members.max_connections,
        min_connections=members.min_connections,
        acquire_timeout_us=members.acquire_timeout_us,
        idle_timeout_us=members.idle_timeout_us,
        max_lifetime_us=members.max_lifetime_us,
        open_rate=members.open_rate,
        open_burst=max(members.open_rate * OPEN_BURST_S, 1.0),
        tenant_shares=tuple(tenant.capacity_share for tenant in settings.router.tenants),
    )
    return MysqlEndpointOptions(login, members.max_transaction_us, sizes)


def mysql_frontend_options(settings: EdgeSettings) -> MysqlOptions:
    """Options of the MySQL frontend, which the settings must have.

    Raises OSError for certificate files that cannot be read.
    """
    frontend = settings.mysql_frontend
    assert frontend is not None
    tls = None
    if frontend.tls is not None:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        tls.load_cert_chain(*frontend.tls)
    return MysqlOptions(
        users={name: Credential.from_password(password) for name, password in frontend.users},
        classifier=mysql_classes(settings),
        max_connections=frontend.max_connections,
        max_packet=settings.max_message_bytes,
        login_plugin=frontend.auth_plugin,
        tls=tls,
        schema=settings.mysql_endpoints.database if settings.mysql_endpoints is not None else "",
    )


def mysql_classes(settings: EdgeSettings) -> RequestClassifier:
    """How the MySQL frontend, which the settings must have, finds a statement's class and tenant."""
    frontend = settings.mysql_frontend
    assert frontend is not None
    classes = [request_class.name for request_class in settings.router.classes]
    tenants = [tenant.name for tenant in settings.router.tenants]
    rules = [
        ClassRule(
            match.write,
            match.user,
            match.schema,
            match.hint,
            match.digest,
            classes.index(match.class_name),
            None if match.tenant is None else tenants.index(match.tenant),
        )
        for match in frontend.matches
    ]
    tenant = tenants.index(frontend.tenant) if frontend.tenant else -1
    return RequestClassifier(
        rules, classes.index(frontend.read_class), classes.index(frontend.write_class), tenant
    )
