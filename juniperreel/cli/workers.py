"""Wires an edge of several workers: parent, listeners, one page of metrics, reload and stop by signal."""

from __future__ import annotations

import secrets
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import trio
from prometheus_client import CollectorRegistry, Gauge, generate_latest, multiprocess

from juniperreel.frontends.http import HttpFrontend
from juniperreel.net import Clock, TcpNetwork
from juniperreel.settings import EdgeSettings, SettingsError
from juniperreel.settings.edge import parse_edge
from juniperreel.telemetry.log import make_log
from juniperreel.workers.parent import GRPC, MYSQL, GenerationPlan, Parent

FIXED = ("listen", "metrics", "mysql_listen")  # what a running parent cannot change


def addresses(settings: EdgeSettings) -> dict[str, object]:
    mysql = settings.mysql_frontend.listen if settings.mysql_frontend is not None else None
    return {"listen": settings.listen, "metrics": settings.metrics, "mysql_listen": mysql}


class Edges:
    """The parent's program. `run` until stopped."""

    def __init__(self, settings: EdgeSettings, file: Path, text: bytes) -> None:
        self.settings, self.file = settings, file
        self.log: Any = make_log(settings.log_format, settings.log_level, edge=settings.name)
        self.folder = tempfile.TemporaryDirectory(prefix="juniperreel-metrics-")
        self.ports = (0, 0)
        self.parent = Parent(
            self._plan(settings, text), Clock(), self.log, secrets.randbits(32), Path(self.folder.name)
        )

    def _plan(self, settings: EdgeSettings, text: bytes) -> GenerationPlan:
        def command(handover: int, source: int, slot: int) -> list[str]:
            python = [sys.executable, "-m", "juniperreel.cli.worker"]
            ports = [str(port) for port in self.ports]
            return [*python, str(handover), str(source), str(self.file), str(slot), *ports]

        return GenerationPlan(text, settings.workers, command, settings.shutdown_timeout_us)

    async def run(self) -> int:
        network = TcpNetwork()
        with self.folder:
            listeners = {GRPC: await network.listen(*self.settings.listen)}
            mysql = self.settings.mysql_frontend
            if mysql is not None:
                listeners[MYSQL] = await network.listen(*mysql.listen)
            self.ports = (listeners[GRPC].port, listeners[MYSQL].port if mysql is not None else 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._signals, nursery.cancel_scope)
                metrics = None
                if self.settings.metrics is not None:
                    http = HttpFrontend(self._metrics, lambda: self.parent.serving)
                    port = await nursery.start(http.serve, await network.listen(*self.settings.metrics))
                    metrics = f"{self.settings.metrics[0]}:{port}"

                async def serve(task_status: trio.TaskStatus[None]) -> None:
                    await self.parent.run(listeners, task_status)
                    nursery.cancel_scope.cancel()

                await nursery.start(serve)
                await self.parent.ready.wait()
                self.log.info(
                    "serving",
                    listen=f"{self.settings.listen[0]}:{self.ports[0]}",
                    metrics=metrics,
                    mysql=f"{mysql.listen[0]}:{self.ports[1]}" if mysql is not None else None,
                    workers=self.settings.workers,
                )
                await trio.sleep_forever()
        self.log.info("stopped", workers=len(self.parent.children))
        return 1 if self.parent.children else 0

    async def _signals(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    await self._reload()
                elif self.parent.supervisor.stopping:
                    scope.cancel()
                else:
                    self.log.info("stopping")
                    self.parent.stop()

    async def _reload(self) -> None:
        """A good file starts new workers, and the old drain; a bad one changes nothing."""
        try:
            text = await trio.to_thread.run_sync(self.file.read_bytes)
            settings = parse_edge(text, str(self.file), self.file.parent)
        except (SettingsError, OSError) as error:
            self.log.error("the settings were not taken", reason=str(error))
            return
        before, after = addresses(self.settings), addresses(settings)
        moved = [name for name in FIXED if before[name] != after[name]]
        if moved:
            self.log.error("the settings were not taken", reason=f"{', '.join(moved)}: needs a restart")
            return
        self.log.info("new settings", workers=settings.workers)
        self.settings = settings
        self.parent.reload(self._plan(settings, text))

    def _metrics(self) -> bytes:
        """Danger: a file that a worker is just beginning reads as broken; that must not end the parent."""
        for _ in range(3):
            try:
                return self._page()
            except Exception as error:
                self.log.warning("metrics of the workers could not be read", error=str(error))
        return b"# the workers' metrics could not be read\n"

    def _page(self) -> bytes:
        """All workers' on one page, and the parent's own."""
        registry = CollectorRegistry()
        multiprocess.MultiProcessCollector(registry, path=self.folder.name)  # type: ignore[no-untyped-call]
        workers = Gauge("juniperreel_workers", "Workers, by phase", ["phase"], registry=registry)
        for phase, count in self.parent.counts().items():
            workers.labels(phase).set(count)
        replaced = Gauge("juniperreel_workers_replaced", "Workers that ended unasked", registry=registry)
        replaced.set(self.parent.supervisor.replaced)
        return generate_latest(registry)
