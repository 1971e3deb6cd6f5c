"""Assembles a single-process edge and runs it until it is stopped."""

from __future__ import annotations

import gc
import signal
from typing import Any

import trio

from juniperreel.causal import Keyring, SigningKey
from juniperreel.cli.edge_options import driver_options, mysql_frontend_options
from juniperreel.cli.signals import run_until_signalled
from juniperreel.frontends.grpc import SERVICE, GrpcFrontend
from juniperreel.frontends.http import HttpFrontend
from juniperreel.frontends.mysql.frontend import MysqlFrontend, generate_nonce
from juniperreel.net import Clock, Network, StallMonitor
from juniperreel.net.clock import US
from juniperreel.proxy import RequestDriver
from juniperreel.rpc.health import HealthService
from juniperreel.rpc.reflection import ReflectionService
from juniperreel.rpc.server import Server
from juniperreel.settings import EdgeSettings
from juniperreel.telemetry.log import make_log
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces

SERVICES = (SERVICE, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")
SERVING_EVENT = "serving"


class Edge:
    """An edge in this process: `run` serves until `stop` is called or it is cancelled.

    `serving` is true while it accepts requests; `ended` is set once `run` has returned; `mysql_port` is 0
    until the MySQL frontend listens. `serving_event` is the log event that reports readiness.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        network: Network,
        clock: Clock,
        log: Any = None,
        serving_event: str = SERVING_EVENT,
    ) -> None:
        self.settings = settings
        self.network = network
        self.clock = clock
        self.log = log or make_log(settings.log_format, settings.log_level, edge=settings.name)
        self.metrics = Metrics()
        self.traces = Traces(settings.span_file, settings.name)
        options = driver_options(settings)
        self.stall_monitor = StallMonitor(clock)
        self.driver = RequestDriver(
            options, network, clock, self.log, self.metrics, self.traces, self.stall_monitor
        )
        self.health = HealthService(SERVICES)
        keyring = Keyring([SigningKey(key.id, key.secret) for key in settings.token_keys])
        grpc = GrpcFrontend(self.driver, keyring, clock)
        self.mysql: MysqlFrontend | None = None
        if settings.mysql_frontend is not None:
            self.mysql = MysqlFrontend(
                self.driver, keyring, clock, mysql_frontend_options(settings), generate_nonce
            )
        self.server = Server(
            grpc.methods() | self.health.methods() | ReflectionService(SERVICES).methods(),
            options.limits,
            clock,
            self._on_handler_failed,
            settings.max_connections,
            self.stall_monitor,
        )
        self.mysql_port = 0
        self.serving = False
        self.stopping = trio.Event()
        self.ended = trio.Event()
        self._serving_event = serving_event

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped and report the listening port.

        Raises OSError if listening fails, and ValueError if the cached endpoint list is unreadable.
        """
        listener = await self.network.listen(*self.settings.listen)
        self.stall_monitor.install()
        try:
            async with trio.open_nursery() as nursery:
                metrics_address = await self._serve_metrics(nursery)
                await nursery.start(self.driver.run)
                mysql_address = await self._serve_mysql(nursery)
                await nursery.start(self.server.serve, listener)
                freeze_garbage_collection()
                self.serving = True
                self.health.set_serving(True)
                self.log.info(
                    self._serving_event,
                    listen=f"{self.settings.listen[0]}:{listener.port}",
                    metrics=metrics_address,
                    mysql=mysql_address,
                )
                task_status.started(listener.port)
                await self.stopping.wait()
                await self._drain()
                await listener.aclose()
                nursery.cancel_scope.cancel()
        finally:
            self.serving = False
            self.ended.set()
            self.stall_monitor.uninstall()
            self.traces.close()

    def stop(self) -> None:
        """Begin the graceful shutdown: refuse new connections and streams, finish open requests, exit."""
        self.stopping.set()

    @property
    def connections(self) -> int:
        """The number of open client connections over all protocols."""
        mysql_connections = self.mysql.connections if self.mysql is not None else 0
        return self.server.connections + mysql_connections

    async def _serve_metrics(self, nursery: trio.Nursery) -> str | None:
        """Serve the metrics page and return its address, or None if it is not configured."""
        if self.settings.metrics is None:
            return None
        host, _ = self.settings.metrics
        http = HttpFrontend(self.metrics.render, lambda: self.serving)
        listener = await self.network.listen(*self.settings.metrics)
        port = await nursery.start(http.serve, listener)
        return f"{host}:{port}"

    async def _serve_mysql(self, nursery: trio.Nursery) -> str | None:
        """Start the MySQL frontend and return its address, or None if it is not configured."""
        if self.mysql is None or self.settings.mysql_frontend is None:
            return None
        host, _ = self.settings.mysql_frontend.listen
        listener = await self.network.listen(*self.settings.mysql_frontend.listen)
        self.mysql_port = await nursery.start(self.mysql.serve, listener)
        return f"{host}:{self.mysql_port}"

    async def _drain(self) -> None:
        self.serving = False
        self.health.set_serving(False)
        self.log.info("graceful shutdown started")
        with trio.move_on_after(self.settings.shutdown_timeout_us / US) as timeout_scope:
            # Requests that were read or in transit before their connection learned of the shutdown must still
            # be served, so the driver starts to reject requests only once no connection can deliver any.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.drain)
                if self.mysql is not None:
                    nursery.start_soon(self.mysql.drain)
            await self.driver.drain()
            if self.mysql is not None:
                # Commands received since the first drain are rejected instead of being left unanswered.
                await self.mysql.drain()
        self.log.info("shutdown complete", in_time=not timeout_scope.cancelled_caught)

    def _on_handler_failed(self, path: str, error: Exception) -> None:
        self.log.error("handler failed", path=path, exc_info=error)


def freeze_garbage_collection() -> None:
    """Exempt all existing objects from garbage collection.

    Modules and objects created before the edge serves live as long as the process; each full collection that
    traverses them delays requests by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()


async def run_edge(settings: EdgeSettings, network: Network) -> int:
    """Serve until SIGTERM or SIGINT and return the exit status; a second signal terminates immediately."""
    edge = Edge(settings, network, Clock())
    # SIGHUP reloads the settings of a multi-worker edge; its default action would terminate this process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return await run_until_signalled(edge.run, edge.stopping)
