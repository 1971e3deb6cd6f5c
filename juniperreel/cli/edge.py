"""Wires an edge together and runs it until it is told to stop."""

from __future__ import annotations

import gc
import secrets
import signal
import ssl
from typing import Any

import trio

from juniperreel.causal import Keyring, SigningKey
from juniperreel.cli.signals import until_signalled
from juniperreel.frontends.grpc import SERVICE, GrpcFrontend
from juniperreel.frontends.http import HttpFrontend
from juniperreel.frontends.mysql.classification import ClassRule, RequestClassifier
from juniperreel.frontends.mysql.context import MysqlOptions
from juniperreel.frontends.mysql.frontend import MysqlFrontend, generate_nonce
from juniperreel.mysql.auth import Credential
from juniperreel.net import Clock, Network, StallMonitor
from juniperreel.net.clock import US
from juniperreel.pool.config import BackendConfig, PoolConfig
from juniperreel.proxy import DriverOptions, RequestDriver
from juniperreel.proxy.options import MysqlEndpointOptions
from juniperreel.rpc.health import HealthService
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.reflection import ReflectionService
from juniperreel.rpc.server import Server
from juniperreel.settings import EdgeSettings
from juniperreel.telemetry.log import make_log
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces

SERVICES = (SERVICE, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")


def driver_options(settings: EdgeSettings) -> DriverOptions:
    return DriverOptions(
        name=settings.name,
        router=settings.router,
        seed=secrets.randbits(64) if settings.seed is None else settings.seed,
        groups=settings.groups,
        discovery_address=settings.host_list,
        cached_list_path=settings.saved_list,
        writes_cached_list=settings.saves_list,
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
    m = settings.mysql_endpoints
    if m is None:
        return None
    authorities = m.certificate_authorities
    tls = None if authorities is None else ssl.create_default_context(cafile=str(authorities))
    login = BackendConfig(m.user, m.password, m.database, tls, max_result_bytes=settings.max_message_bytes)
    sizes = PoolConfig(
        max_connections=m.max_connections,
        min_connections=m.min_connections,
        acquire_timeout_us=m.acquire_timeout_us,
        idle_timeout_us=m.idle_timeout_us,
        max_lifetime_us=m.max_lifetime_us,
        open_rate=m.open_rate,
        open_burst=max(m.open_rate / 4, 1.0),
        tenant_shares=tuple(tenant.capacity_share for tenant in settings.router.tenants),
    )
    return MysqlEndpointOptions(login, m.max_transaction_us, sizes)


def classes_from(settings: EdgeSettings) -> RequestClassifier:
    """Of the MySQL front, which there must be."""
    m = settings.mysql_frontend
    assert m is not None
    classes = [c.name for c in settings.router.classes]
    tenants = [t.name for t in settings.router.tenants]
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
        for match in m.matches
    ]
    tenant = tenants.index(m.tenant) if m.tenant else -1
    return RequestClassifier(rules, classes.index(m.read_class), classes.index(m.write_class), tenant)


def mysql_front(
    settings: EdgeSettings, driver: RequestDriver, keyring: Keyring, clock: Clock
) -> MysqlFrontend:
    m = settings.mysql_frontend
    assert m is not None
    tls = None
    if m.tls is not None:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        tls.load_cert_chain(*m.tls)
    options = MysqlOptions(
        users={name: Credential.from_password(password) for name, password in m.users},
        classifier=classes_from(settings),
        max_connections=m.max_connections,
        max_packet=settings.max_message_bytes,
        login_plugin=m.auth_plugin,
        tls=tls,
        schema=settings.mysql_endpoints.database if settings.mysql_endpoints is not None else "",
    )
    return MysqlFrontend(driver, keyring, clock, options, generate_nonce)


class Edge:
    """One edge in this process: `run` serves until `stop` is called or it is cancelled."""

    def __init__(self, settings: EdgeSettings, network: Network, clock: Clock, log: Any = None) -> None:
        self.settings, self.network, self.clock = settings, network, clock
        self.log = log or make_log(settings.log_format, settings.log_level, edge=settings.name)
        self.metrics = Metrics()
        self.traces = Traces(settings.span_file, settings.name)
        options = driver_options(settings)
        self.pace = StallMonitor(clock)
        self.driver = RequestDriver(options, network, clock, self.log, self.metrics, self.traces, self.pace)
        self.health = HealthService(SERVICES)
        keyring = Keyring([SigningKey(key.id, key.secret) for key in settings.token_keys])
        front = GrpcFrontend(self.driver, keyring, clock)
        self.mysql = (
            None if settings.mysql_frontend is None else mysql_front(settings, self.driver, keyring, clock)
        )
        methods = front.methods() | self.health.methods() | ReflectionService(SERVICES).methods()
        self.server = Server(
            methods, options.limits, clock, self._handler_failed, settings.max_connections, self.pace
        )
        self.mysql_port = 0
        self.serving = False
        self.says = "serving"
        self.stopping = trio.Event()
        self.ended = trio.Event()

    def _handler_failed(self, path: str, error: Exception) -> None:
        self.log.error("a handler failed", path=path, exc_info=error)

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Reports the port it listens on. Raises OSError where it cannot listen, ValueError for a saved
        host list that cannot be read."""
        listener = await self.network.listen(*self.settings.listen)
        self.pace.install()
        try:
            async with trio.open_nursery() as nursery:
                metrics = None
                if self.settings.metrics is not None:
                    http = HttpFrontend(self.metrics.text, lambda: self.serving)
                    port = await nursery.start(http.serve, await self.network.listen(*self.settings.metrics))
                    metrics = f"{self.settings.metrics[0]}:{port}"
                await nursery.start(self.driver.run)
                mysql = None
                if self.mysql is not None and self.settings.mysql_frontend is not None:
                    place = self.settings.mysql_frontend.listen
                    port = await nursery.start(self.mysql.serve, await self.network.listen(*place))
                    self.mysql_port = port
                    mysql = f"{place[0]}:{port}"
                await nursery.start(self.server.serve, listener)
                # Danger: what was imported and built so far lives as long as the program; looking through it
                # again and again for garbage costs requests tens of milliseconds each time.
                gc.collect()
                gc.freeze()
                self.serving = True
                self.health.set_serving(True)
                self.log.info(
                    self.says,
                    listen=f"{self.settings.listen[0]}:{listener.port}",
                    metrics=metrics,
                    mysql=mysql,
                )
                task_status.started(listener.port)
                await self.stopping.wait()
                await self._drain()
                await listener.aclose()
                nursery.cancel_scope.cancel()
        finally:
            self.serving = False
            self.ended.set()
            self.pace.uninstall()
            self.traces.close()

    def stop(self) -> None:
        """Graceful: no new connections or streams, all in hand answered, then the end."""
        self.stopping.set()

    @property
    def connections(self) -> int:
        return self.server.connections + (self.mysql.connections if self.mysql is not None else 0)

    async def _drain(self) -> None:
        self.serving = False
        self.health.set_serving(False)
        self.log.info("stopping")
        with trio.move_on_after(self.settings.shutdown_timeout_us / US) as limit:
            # Danger: what was read, or is on its way, before its connection heard of the end is still to be
            # served. The driver may turn requests away only when no connection can bring one any more.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.drain)
                if self.mysql is not None:
                    nursery.start_soon(self.mysql.drain)
            await self.driver.drain()
        self.log.info("stopped", in_time=not limit.cancelled_caught)


async def run_edge(settings: EdgeSettings, network: Network) -> int:
    """Until SIGTERM or SIGINT; a second one ends at once. The exit status."""
    edge = Edge(settings, network, Clock())
    # Danger: the signal that has several workers read their file again would end an edge of one process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return await until_signalled(edge.run, edge.stopping)
