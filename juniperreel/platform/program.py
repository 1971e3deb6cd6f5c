"""Assembles poller, discovery client, driver and listening socket, and runs the event loop."""

from __future__ import annotations

import os
import signal
from pathlib import Path

import trio

from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import EventHandler, Poller
from juniperreel.net.transport import Transport, connect
from juniperreel.platform.config import Config
from juniperreel.platform.discovery import Discovery, watch_wait_us
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_list import EMPTY_LIST, EndpointList, read_endpoint_list
from juniperreel.platform.errors import EndpointListError
from juniperreel.platform.log import Log
from juniperreel.platform.reload import ConfigReload
from juniperreel.platform.signal_queue import SignalQueue
from juniperreel.routing.types import UpdateKind

STATUS_INTERVAL_S = 10


class Program:
    """One running driver. Call `start`, then `serve`; `discovery.run` must be running."""

    def __init__(
        self, config: Config, config_path: Path, log: Log, signals: SignalQueue | None = None
    ) -> None:
        """Create all components without listening yet. Requires a running trio event loop.

        `signals`, if given, must wake `poller` when a signal arrives.
        """
        self._signals = signals or SignalQueue()
        self.config = config
        self.config_path = config_path
        self.log = log
        self.clock = Clock()
        self.poller = Poller(self.clock)
        self.discovery = Discovery(
            TcpNetwork(),
            config.discovery,
            config.zones,
            config.machine_types,
            watch_wait_us(config.router),
            self._on_endpoint_update,
            log,
        )
        self.driver = PlatformDriver(config, self.clock.now_us, self._connect, self.discovery, log)
        self.poller.on_handler_error = self._on_handler_error
        self.acceptor: Acceptor | None = None
        self._reload = ConfigReload(
            config_path, self.clock.now_us, self.driver.timers, self._on_reloaded, log
        )

    def _connect(self, host: str, port: int) -> Transport:
        return connect(self.poller, host, port)

    def _on_accepted(self, transport: Transport) -> None:
        assert self.acceptor is not None
        self.driver.client_listener.accept(transport, self.acceptor.waiting_since_us)

    def _on_handler_error(self, handler: EventHandler, error: Exception) -> None:
        self.log.error("connection raised", exc_info=error)
        if isinstance(handler, Transport):
            handler.abort("internal error")

    def _on_endpoint_update(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        self.driver.on_endpoint_update(kind, endpoint_list)
        self.driver.process_pending()
        self.poller.wake()

    def start(self) -> None:
        """Start listening and apply the cached endpoint list. Raises OSError if the bind fails."""
        host, port = self.config.listen
        self.acceptor = Acceptor(self.poller, host, port, self._on_accepted)
        self.driver.on_endpoint_update(UpdateKind.CACHED, self._read_cached_list())
        self.driver.process_pending()
        if not self.config.router.must_poll:
            # In push mode, changes known to the platform's agent count as notified from the start.
            self.discovery.subscribe(True)
        limits = self.config.limits
        self.log.info(
            "serving",
            name=self.config.name,
            port=self.acceptor.port,
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            sockets=limits.sockets,
            idle_s=self.config.idle_timeout_us / 1_000_000,
            connect_s=self.config.connect_timeout_us / 1_000_000,
        )

    def _read_cached_list(self) -> EndpointList:
        config = self.config
        try:
            cached = read_endpoint_list(config.cached_endpoint_list, config.zones, config.machine_types)
        except EndpointListError as error:
            self.log.warning("no cached endpoint list", error=str(error))
            return EMPTY_LIST
        self.discovery.version = cached.version
        return cached

    async def serve(self) -> None:
        """Run the event loop until the shutdown is complete."""
        driver = self.driver
        while True:
            self._handle_signals()
            if driver.shutdown.started and self._shutdown_is_complete():
                break
            await self._run_once(driver.next_due_us())
        # Once more without waiting: the process may have been suspended before the last answers were sent.
        await self._run_once(self.clock.now_us())
        driver.report_unanswered()
        self._log_counts("shutdown complete")

    async def _run_once(self, until_us: int | None) -> None:
        """Wait for ready sockets until `until_us`, then perform all work that is due."""
        retry_us = self.acceptor.retry_due_us() if self.acceptor is not None else None
        if retry_us is not None:
            until_us = retry_us if until_us is None else min(until_us, retry_us)
        await self.poller.wait(until_us)
        self.driver.input_ready_since_us = self.poller.ready_since_us
        self.driver.input_wait_us = self.poller.max_detection_delay_us
        self.driver.counters.on_wait(self.poller.wait_overrun_us)
        started_us = self.clock.now_us()
        self.poller.dispatch()
        self.driver.process_pending()
        self.driver.counters.on_iteration(self.clock.now_us() - started_us)
        if self.acceptor is not None:
            self.acceptor.retry(self.clock.now_us())

    def _shutdown_is_complete(self) -> bool:
        """Perform the shutdown steps that are due; return whether the shutdown is complete."""
        driver = self.driver
        now_us = self.clock.now_us()
        if not driver.shutdown.closes_connections(now_us):
            return False
        if not driver.client_listener.closing:
            self._log_counts("shutdown closes connections")
        if driver.shutdown.closes_listener(now_us) and self.acceptor is not None and self.acceptor.is_open:
            self.acceptor.close()
        driver.client_listener.close_when_answered()
        is_closed = self.acceptor is None or not self.acceptor.is_open
        return (is_closed and driver.is_idle) or driver.shutdown.is_over(now_us)

    def _handle_signals(self) -> None:
        for arrived in self._signals.take():
            if arrived.number == signal.SIGHUP:
                self.reload()
            else:
                self.begin_shutdown(arrived.waited_us)

    def begin_shutdown(self, waited_us: int = 0) -> None:
        """Start the graceful shutdown, requested `waited_us` ago. Only the first call has an effect."""
        if self.driver.shutdown.started:
            return
        self.log.info(
            "graceful shutdown started",
            open_requests=len(self.driver.requests.by_id),
            clients=self.driver.budget.clients,
            waited_ms=waited_us // 1000,
        )
        self.driver.begin_shutdown(waited_us)
        self.driver.process_pending()

    def reload(self) -> None:
        """Reload the configuration file and switch to its discovery address.

        An incomplete or invalid file changes nothing and is read again for a limited time.
        """
        self._reload.start()

    def _on_reloaded(self, config: Config) -> None:
        if config.router != self.config.router:
            self.log.warning("changed settings need a restart")
        self.log.info("configuration reloaded", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.discovery.change_address(config.discovery)

    async def log_status(self) -> None:
        """Log a status line periodically until cancelled."""
        while True:
            await trio.sleep(STATUS_INTERVAL_S)
            self._log_counts("status")

    def _log_counts(self, event: str) -> None:
        self.log.info(
            event,
            violations=self.driver.monitor.summary(),
            **self.driver.counters.fields(),
            open_requests=len(self.driver.requests.by_id),
            clients=self.driver.budget.clients,
            endpoint_connections=self.driver.budget.endpoint_connections,
            closed_endpoint_connections=self.driver.endpoint_pools.fields(),
            memory=self._memory_fields(),
            overload_refusals=self.driver.client_listener.overload_refusals,
            cpu_s=round(sum(os.times()[:2]), 2),
        )

    def _memory_fields(self) -> dict[str, int]:
        driver = self.driver
        return {
            **driver.memory.fields(),
            "discarded_commands": driver.client_listener.input_buffers.discarded,
            "discarded_replies": driver.endpoint_pools.replies.discarded,
        }
