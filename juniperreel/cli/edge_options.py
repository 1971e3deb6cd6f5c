"""Translates an edge's settings into the options of its components."""

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

OPEN_BURST_WINDOW_S = 0.25  # the burst of new pool connections is what `open-rate` allows in this time


def driver_options(settings: EdgeSettings) -> DriverOptions:
    """Return the request driver's options, with a random seed if the settings have none."""
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
        mysql=mysql_endpoint_options(settings),
        limits=Limits(message_bytes=settings.max_message_bytes, metadata_bytes=settings.max_metadata_bytes),
    )


def mysql_endpoint_options(settings: EdgeSettings) -> MysqlEndpointOptions | None:
    """Return the options of the MySQL connection pools, or None if the endpoints speak gRPC.

    Raises OSError if the certificate authority file is unreadable.
    """
    endpoint_settings = settings.mysql_endpoints
    if endpoint_settings is None:
        return None
    authorities = endpoint_settings.certificate_authorities
    tls = None if authorities is None else ssl.create_default_context(cafile=str(authorities))
    backend = BackendConfig(
        endpoint_settings.user,
        endpoint_settings.password,
        endpoint_settings.database,
        tls,
        max_result_bytes=settings.max_message_bytes,
    )
    pool = PoolConfig(
        max_connections=endpoint_settings.max_connections,
        min_connections=endpoint_settings.min_connections,
        acquire_timeout_us=endpoint_settings.acquire_timeout_us,
        idle_timeout_us=endpoint_settings.idle_timeout_us,
        max_lifetime_us=endpoint_settings.max_lifetime_us,
        open_rate=endpoint_settings.open_rate,
        open_burst=max(endpoint_settings.open_rate * OPEN_BURST_WINDOW_S, 1.0),
        tenant_shares=tuple(tenant.capacity_share for tenant in settings.router.tenants),
    )
    return MysqlEndpointOptions(backend, endpoint_settings.max_transaction_us, pool)


def mysql_frontend_options(settings: EdgeSettings) -> MysqlOptions:
    """Return the options of the MySQL frontend, which must be configured.

    Raises OSError if the certificate files are unreadable.
    """
    frontend = settings.mysql_frontend
    assert frontend is not None
    tls = None
    if frontend.tls is not None:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        tls.load_cert_chain(*frontend.tls)
    return MysqlOptions(
        users={name: Credential.from_password(password) for name, password in frontend.users},
        classifier=request_classifier(settings),
        max_connections=frontend.max_connections,
        max_packet=settings.max_message_bytes,
        login_plugin=frontend.auth_plugin,
        tls=tls,
        schema=settings.mysql_endpoints.database if settings.mysql_endpoints is not None else "",
    )


def request_classifier(settings: EdgeSettings) -> RequestClassifier:
    """Return the classifier of statements by class and tenant; the MySQL frontend must be configured."""
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
