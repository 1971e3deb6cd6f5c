"""Assembles a multi-worker edge: parent, listeners, aggregated metrics, reload and shutdown by signal."""

from __future__ import annotations

import secrets
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import trio
from prometheus_client import CollectorRegistry, Gauge, generate_latest, multiprocess

from juniperreel.frontends.http import HttpFrontend
from juniperreel.net import Clock, TcpNetwork
from juniperreel.settings import EdgeSettings, SettingsError
from juniperreel.settings.edge import parse_edge
from juniperreel.telemetry.log import make_log
from juniperreel.workers.parent import GRPC, MYSQL, GenerationConfig, Parent

METRICS_READ_ATTEMPTS = 3
UNREADABLE_METRICS = b"# the workers' metrics could not be read\n"
WORKERS_REMAINING_STATUS = 1


class Ports(NamedTuple):
    """The ports that the parent listens on; 0 before it listens, and without a MySQL frontend."""

    grpc: int = 0
    mysql: int = 0


def fixed_addresses(settings: EdgeSettings) -> dict[str, object]:
    """Return the addresses, by directive, that cannot be changed without a restart."""
    mysql = settings.mysql_frontend.listen if settings.mysql_frontend is not None else None
    return {"listen": settings.listen, "metrics": settings.metrics, "mysql_listen": mysql}


class MultiWorkerEdge:
    """The parent process of a multi-worker edge; `run` serves until stopped by signal."""

    def __init__(self, settings: EdgeSettings, file: Path, text: bytes) -> None:
        """`text` is the content of `file` from which `settings` were parsed."""
        self._settings = settings
        self._file = file
        self._log: Any = make_log(settings.log_format, settings.log_level, edge=settings.name)
        self._metrics_directory = tempfile.TemporaryDirectory(prefix="juniperreel-metrics-")
        self._ports = Ports()
        self._parent = Parent(
            self._generation_plan(settings, text),
            Clock(),
            self._log,
            secrets.randbits(32),
            Path(self._metrics_directory.name),
        )

    async def run(self) -> int:
        """Serve until stopped; returns WORKERS_REMAINING_STATUS if workers are still running, else 0.

        Raises OSError if listening fails.
        """
        network = TcpNetwork()
        with self._metrics_directory:
            listeners = {GRPC: await network.listen(*self._settings.listen)}
            mysql = self._settings.mysql_frontend
            if mysql is not None:
                listeners[MYSQL] = await network.listen(*mysql.listen)
            mysql_port = listeners[MYSQL].port if mysql is not None else 0
            self._ports = Ports(listeners[GRPC].port, mysql_port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_signals, nursery.cancel_scope)
                metrics_address = await self._serve_metrics(network, nursery)

                async def _serve(task_status: trio.TaskStatus[None]) -> None:
                    await self._parent.run(listeners, task_status)
                    nursery.cancel_scope.cancel()

                await nursery.start(_serve)
                await self._parent.ready.wait()
                self._log_serving(metrics_address)
                await trio.sleep_forever()
        remaining = len(self._parent.children)
        self._log.info("shutdown complete", workers=remaining)
        return WORKERS_REMAINING_STATUS if remaining else 0

    def _generation_plan(self, settings: EdgeSettings, text: bytes) -> GenerationConfig:
        return GenerationConfig(text, settings.workers, self._worker_command, settings.shutdown_timeout_us)

    def _worker_command(self, socket_descriptor: int, settings_descriptor: int, slot: int) -> list[str]:
        arguments = (
            socket_descriptor,
            settings_descriptor,
            self._file,
            slot,
            self._ports.grpc,
            self._ports.mysql,
        )
        return [sys.executable, "-m", "juniperreel.cli.worker", *map(str, arguments)]

    def _log_serving(self, metrics_address: str | None) -> None:
        mysql = self._settings.mysql_frontend
        self._log.info(
            "serving",
            listen=f"{self._settings.listen[0]}:{self._ports.grpc}",
            metrics=metrics_address,
            mysql=f"{mysql.listen[0]}:{self._ports.mysql}" if mysql is not None else None,
            workers=self._settings.workers,
        )

    async def _handle_signals(self, scope: trio.CancelScope) -> None:
        """Reload on SIGHUP; shut down gracefully on SIGTERM or SIGINT, immediately on a second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    await self._reload()
                elif self._parent.supervisor.stopping:
                    scope.cancel()
                else:
                    self._log.info("graceful shutdown started")
                    self._parent.stop()

    async def _reload(self) -> None:
        """Reload the settings file.

        If it is valid, new workers start and the old ones drain; otherwise nothing changes.
        """
        try:
            text = await trio.to_thread.run_sync(self._file.read_bytes)
            settings = parse_edge(text, str(self._file), self._file.parent)
        except (SettingsError, OSError) as error:
            rejection_reason = str(error)
        else:
            rejection_reason = self._restart_reason(settings)
        if rejection_reason:
            self._log.error("configuration reload rejected", error=rejection_reason)
            return
        self._log.info("configuration reloaded", workers=settings.workers)
        self._settings = settings
        self._parent.reload(self._generation_plan(settings, text))

    def _restart_reason(self, settings: EdgeSettings) -> str:
        """Return why the settings require a restart, or an empty text if they do not."""
        running = fixed_addresses(self._settings)
        requested = fixed_addresses(settings)
        changed = [name for name, address in running.items() if address != requested[name]]
        return f"{', '.join(changed)}: needs a restart" if changed else ""

    async def _serve_metrics(self, network: TcpNetwork, nursery: trio.Nursery) -> str | None:
        """Serve the metrics page and return its address, or None if it is not configured."""
        if self._settings.metrics is None:
            return None
        host, _ = self._settings.metrics
        http = HttpFrontend(self._metrics_or_error_comment, lambda: self._parent.serving)
        listener = await network.listen(*self._settings.metrics)
        port = await nursery.start(http.serve, listener)
        return f"{host}:{port}"

    def _metrics_or_error_comment(self) -> bytes:
        """Return the workers' metrics, or a comment saying that they are unreadable.

        A metrics file that a worker is still creating reads as corrupt, which must not terminate the parent.
        """
        for _ in range(METRICS_READ_ATTEMPTS):
            try:
                return self._collect_metrics()
            except Exception as error:
                self._log.warning("worker metrics unreadable", error=str(error))
        return UNREADABLE_METRICS

    def _collect_metrics(self) -> bytes:
        """Aggregate the metrics of all workers with the parent's own."""
        registry = CollectorRegistry()
        directory = self._metrics_directory.name
        multiprocess.MultiProcessCollector(registry, path=directory)  # type: ignore[no-untyped-call]
        workers = Gauge("juniperreel_workers", "Number of workers by phase", ["phase"], registry=registry)
        for phase, count in self._parent.counts().items():
            workers.labels(phase).set(count)
        replaced = Gauge(
            "juniperreel_workers_replaced",
            "Number of workers replaced after an unexpected exit",
            registry=registry,
        )
        replaced.set(self._parent.supervisor.replaced)
        return generate_latest(registry)


async def run_workers(settings: EdgeSettings, file: Path) -> int:
    """Run a multi-worker edge and return the exit status.

    Raises OSError if the settings file cannot be read again or listening fails.
    """
    return await MultiWorkerEdge(settings, file, file.read_bytes()).run()
