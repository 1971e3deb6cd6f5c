"""Wires an edge of several workers: parent, listeners, one page of metrics, reload and stop by signal."""

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

METRICS_READS = 3
UNREADABLE_METRICS = b"# the workers' metrics could not be read\n"
WORKERS_REMAINING_STATUS = 1


class Ports(NamedTuple):
    """The ports that the parent listens on; 0 until it does, and where there is no MySQL frontend."""

    grpc: int = 0
    mysql: int = 0


def fixed_addresses(settings: EdgeSettings) -> dict[str, object]:
    """The addresses, by directive, that a running parent cannot change."""
    mysql = settings.mysql_frontend.listen if settings.mysql_frontend is not None else None
    return {"listen": settings.listen, "metrics": settings.metrics, "mysql_listen": mysql}


class MultiWorkerEdge:
    """The parent's program: `run` serves until it is stopped by signal."""

    def __init__(self, settings: EdgeSettings, file: Path, text: bytes) -> None:
        """`text` is what `file` held when the settings were read from it."""
        self._settings = settings
        self._file = file
        self._log: Any = make_log(settings.log_format, settings.log_level, edge=settings.name)
        self._metrics_directory = tempfile.TemporaryDirectory(prefix="juniperreel-metrics-")
        self._ports = Ports()
        self._parent = Parent(
            self._plan(settings, text),
            Clock(),
            self._log,
            secrets.randbits(32),
            Path(self._metrics_directory.name),
        )

    async def run(self) -> int:
        """Serve until stopped; the exit status is WORKERS_REMAINING_STATUS if workers had to be left running.

        Raises OSError where it cannot listen.
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

    def _plan(self, settings: EdgeSettings, text: bytes) -> GenerationConfig:
        return GenerationConfig(text, settings.workers, self._worker_command, settings.shutdown_timeout_us)

    def _worker_command(self, handover: int, source: int, slot: int) -> list[str]:
        arguments = (handover, source, self._file, slot, self._ports.grpc, self._ports.mysql)
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
        """SIGHUP reloads; SIGTERM and SIGINT stop gracefully, and at once when they come again."""
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
        """A good file starts new workers, and the old ones drain; a bad one changes nothing."""
        try:
            text = await trio.to_thread.run_sync(self._file.read_bytes)
            settings = parse_edge(text, str(self._file), self._file.parent)
        except (SettingsError, OSError) as error:
            rejection = str(error)
        else:
            rejection = self._restart_needed(settings)
        if rejection:
            self._log.error("configuration reload rejected", error=rejection)
            return
        self._log.info("configuration reloaded", workers=settings.workers)
        self._settings = settings
        self._parent.reload(self._plan(settings, text))

    def _restart_needed(self, settings: EdgeSettings) -> str:
        """Why the settings need a restart; empty if they do not."""
        running = fixed_addresses(self._settings)
        wanted = fixed_addresses(settings)
        changed = [name for name, address in running.items() if address != wanted[name]]
        return f"{', '.join(changed)}: needs a restart" if changed else ""

    async def _serve_metrics(self, network: TcpNetwork, nursery: trio.Nursery) -> str | None:
        """Start the page of metrics; returns its address, None where the settings have none."""
        if self._settings.metrics is None:
            return None
        host, _ = self._settings.metrics
        http = HttpFrontend(self._metrics_or_note, lambda: self._parent.serving)
        listener = await network.listen(*self._settings.metrics)
        port = await nursery.start(http.serve, listener)
        return f"{host}:{port}"

    def _metrics_or_note(self) -> bytes:
        """The workers' metrics, or a comment that they cannot be read.

        Danger: a file that a worker is just beginning reads as broken, and that must not end the parent.
        """
        for _ in range(METRICS_READS):
            try:
                return self._collect_metrics()
            except Exception as error:
                self._log.warning("worker metrics unreadable", error=str(error))
        return UNREADABLE_METRICS

    def _collect_metrics(self) -> bytes:
        """All workers' metrics on one page, and the parent's own."""
        registry = CollectorRegistry()
        directory = self._metrics_directory.name
        multiprocess.MultiProcessCollector(registry, path=directory)  # type: ignore[no-untyped-call]
        workers = Gauge("juniperreel_workers", "Workers, by phase", ["phase"], registry=registry)
        for phase, count in self._parent.counts().items():
            workers.labels(phase).set(count)
        replaced = Gauge("juniperreel_workers_replaced", "Workers that ended unasked", registry=registry)
        replaced.set(self._parent.supervisor.replaced)
        return generate_latest(registry)


async def run_workers(settings: EdgeSettings, file: Path) -> int:
    """Run an edge of several workers; returns the exit status.

    Raises OSError where the file cannot be read again or the edge cannot listen.
    """
    return await MultiWorkerEdge(settings, file, file.read_bytes()).run()
