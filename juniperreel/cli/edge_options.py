"""Translates an edge's settings into the options of the parts that it is wired from."""

from __future__ import annotations

import secrets
import ssl

from juniperreel.frontends.mysql.classes import Classes, Rule
from juniperreel.frontends.mysql.front import MysqlOptions
from juniperreel.mysql.auth import Credential
from juniperreel.pool.backend import Login
from juniperreel.pool.core import Sizes
from juniperreel.proxy import DriverOptions
from juniperreel.proxy.options import MysqlMembers
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
        hosts=settings.hosts,
        saved_list=settings.saved_list,
        saves_list=settings.saves_list,
        skew_us=settings.skew_us,
        answer_margin_us=settings.answer_margin_us,
        max_open=settings.max_open,
        member_attempts=settings.member_attempts,
        connect_timeout_us=settings.connect_timeout_us,
        probe_timeout_us=settings.probe_timeout_us,
        list_timeout_us=settings.list_timeout_us,
        instances=settings.instances,
        mysql=mysql_members(settings),
        limits=Limits(message_bytes=settings.message_bytes, metadata_bytes=settings.metadata_bytes),
    )


def mysql_members(settings: EdgeSettings) -> MysqlMembers | None:
    """Options of the pools to members that speak MySQL; None where members speak gRPC.

    Raises OSError for a certificate file that cannot be read.
    """
    members = settings.members
    if members is None:
        return None
    tls = None if members.tls is None else ssl.create_default_context(cafile=str(members.tls))
    login = Login(members.user, members.password, members.database, tls, held=settings.message_bytes)
    sizes = Sizes(
        most=members.connections,
        least=members.least,
        wait_us=members.wait_us,
        idle_us=members.idle_us,
        age_us=members.age_us,
        open_rate=members.open_rate,
        open_burst=max(members.open_rate * OPEN_BURST_S, 1.0),
        shares=tuple(tenant.capacity_share for tenant in settings.router.tenants),
    )
    return MysqlMembers(login, members.transaction_us, sizes)


def mysql_frontend_options(settings: EdgeSettings) -> MysqlOptions:
    """Options of the MySQL frontend, which the settings must have.

    Raises OSError for certificate files that cannot be read.
    """
    frontend = settings.mysql
    assert frontend is not None
    tls = None
    if frontend.tls is not None:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        tls.load_cert_chain(*frontend.tls)
    return MysqlOptions(
        users={name: Credential.of(password) for name, password in frontend.users},
        classes=mysql_classes(settings),
        connections=frontend.connections,
        max_packet=settings.message_bytes,
        login=frontend.login,
        tls=tls,
        schema=settings.members.database if settings.members is not None else "",
    )


def mysql_classes(settings: EdgeSettings) -> Classes:
    """How the MySQL frontend, which the settings must have, finds a statement's class and tenant."""
    frontend = settings.mysql
    assert frontend is not None
    classes = [request_class.name for request_class in settings.router.classes]
    tenants = [tenant.name for tenant in settings.router.tenants]
    rules = [
        Rule(
            match.write,
            match.user,
            match.schema,
            match.hint,
            match.digest,
            classes.index(match.cls),
            None if match.tenant is None else tenants.index(match.tenant),
        )
        for match in frontend.matches
    ]
    tenant = tenants.index(frontend.tenant) if frontend.tenant else -1
    return Classes(rules, classes.index(frontend.read), classes.index(frontend.write), tenant)
