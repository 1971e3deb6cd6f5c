"""Starts the driver, keeps it turning, and minds its signals: SIGHUP reads the file anew, SIGTERM ends it
gently."""

from __future__ import annotations

import gc
import os
import signal
from pathlib import Path

import trio

from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import Poller
from juniperreel.net.transport import Transport, connect
from juniperreel.platform.config import Config, ConfigError, parse
from juniperreel.platform.discovery import Discovery
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_list import EndpointList, EndpointListInvalid, read
from juniperreel.platform.log import Log
from juniperreel.routing.types import (
    Settings,
    UpdateKind,
)

WATCH_PART = (
    0.5  # of the time after which a driver that asks nothing counts as told: how long a watch may wait
)
# At most so long: what a silent watch misses counts as told 6 s after it fell silent, by the operators' page,
# and its silence is known only when its answer is overdue (`ANSWER_US`). Half a second is left for a new one.
WATCH_US = 4_000_000
# Every call costs discovery the same, whoever makes it: where few drivers call, they can do so more often,
# and know of a silent watch while a new one may still fail once. The least is what a call may take.
WATCH_EACH_US = 20_000  # for each driver of the fleet: 50 calls a second from all of them
WATCH_LEAST_US = 2_000_000
STATUS_S = 10


def watch_wait_us(settings: Settings) -> int:
    """How long a watch's call may wait."""
    wait = min(max(settings.router_count * WATCH_EACH_US, WATCH_LEAST_US), WATCH_US)
    return min(wait, int(settings.poll_interval_us * WATCH_PART) or wait)


class Program:
    """Everything of one run, tied together."""

    def __init__(self, config: Config, path: Path, log: Log) -> None:
        self.config, self.path, self.log = config, path, log
        self.clock = Clock()
        self.poller = Poller(self.clock)
        wait = watch_wait_us(config.router)
        self.discovery = Discovery(
            TcpNetwork(), config.discovery, config.zones, config.kinds, wait, self._told, log
        )
        self.driver = PlatformDriver(config, self.clock.now_us, self._dial, self._discover, log)
        self.acceptor: Acceptor | None = None

    def _dial(self, host: str, port: int) -> Transport:
        return connect(self.poller, host, port)

    def _discover(self, on: bool | None) -> None:
        if on is None:
            self.discovery.fetch()
        else:
            self.discovery.subscribe(on)

    def _told(self, kind: UpdateKind, endpoints: EndpointList | None) -> None:
        self.driver.on_endpoint_update(kind, endpoints)
        self.driver.turn()
        self.poller.wake()

    def start(self) -> None:
        """Raises OSError where the address can't be had."""
        try:
            known = read(self.config.known, self.config.zones, self.config.kinds)
            self.discovery.version = known.version
            self.driver.on_endpoint_update(UpdateKind.CACHED, known)
        except EndpointListInvalid as error:
            self.log.warning("no list is known from before", error=str(error))
            self.driver.on_endpoint_update(UpdateKind.CACHED, EndpointList(0, True, (), {}, 0))
        self.driver.turn()
        if not self.config.router.must_poll:
            # Where lists are pushed, what the agent has counts as told from the first moment on.
            self.discovery.subscribe(True)
        host, port = self.config.listen
        self.acceptor = Acceptor(self.poller, host, port, self.driver.client_listener.welcome)
        limits = self.config.limits
        self.log.info(
            "serving",
            name=self.config.name,
            port=self.acceptor.port,
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            sockets=limits.sockets,
            idle_s=self.config.conn_idle_us / 1_000_000,
            connect_s=self.config.connect_timeout_us / 1_000_000,
        )

    async def serve(self) -> None:
        """Until it has left."""
        driver, poller = self.driver, self.poller
        while not (driver.shutdown.told and self._left()):
            due = driver.due()
            await poller.wait(due)
            driver.arrived_us = poller.ready_since_us
            poller.dispatch()
            driver.turn()
            if self.acceptor is not None:
                self.acceptor.retry(self.clock.now_us())

    def _left(self) -> bool:
        now, driver = self.clock.now_us(), self.driver
        if not driver.shutdown.closing(now):
            return False
        if self.acceptor is not None and self.acceptor.is_open:
            self.acceptor.close()
        driver.client_listener.close_idle()
        return driver.is_idle or driver.shutdown.over(now)

    def begin_shutdown(self) -> None:
        if not self.driver.shutdown.told:
            self.log.info("leaving", open=len(self.driver.open), clients=self.driver.budget.clients)
            self.driver.begin_shutdown()
            self.driver.turn()

    async def reload(self) -> None:
        """Danger: a file that is half written, or wrong, must not take the driver down or half apply."""
        try:
            config = parse(self.path.read_bytes())
        except (OSError, ConfigError) as error:
            self.log.error("the new configuration is not taken", error=str(error))
            return
        if config.router != self.config.router:
            self.log.warning("the settings differ; they hold from the next start")
        self.log.info("configuration read anew", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.discovery.move(config.discovery)

    async def status(self) -> None:
        while True:
            await trio.sleep(STATUS_S)
            driver = self.driver
            self.log.info(
                "status",
                open=len(driver.open),
                clients=driver.budget.clients,
                member_connections=driver.budget.members,
                cpu_s=round(sum(os.times()[:2]), 2),
            )


async def run(config: Config, path: Path, log: Log, pending: list[int]) -> int:
    program = Program(config, path, log)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def listen() -> None:
                async for number in signals:
                    await heed(number)

            async def heed(number: int) -> None:
                if number == signal.SIGHUP:
                    await program.reload()
                else:
                    program.begin_shutdown()
                program.poller.wake()

            await nursery.start(program.discovery.run)
            try:
                program.start()
            except OSError as error:
                log.error("the address can't be listened on", error=str(error))
                nursery.cancel_scope.cancel()  # else discovery would be waited for, for ever
                return 1
            for number in pending:
                await heed(number)
            nursery.start_soon(listen)
            nursery.start_soon(program.status)
            gc.collect()
            gc.freeze()
            await program.serve()
            log.info("left")
            nursery.cancel_scope.cancel()
    return 0


def main(pending: list[int]) -> int:
    log = Log()
    where = os.environ.get("GW_CONFIG", "")
    try:
        config = parse(Path(where).read_bytes())
    except (OSError, ConfigError) as error:
        log.error("no configuration", path=where, error=str(error))
        return 2
    return trio.run(run, config, Path(where), log, pending)
