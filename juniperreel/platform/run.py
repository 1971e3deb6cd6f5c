"""The process: configuration, signals and exit codes.

SIGHUP reloads the configuration file, SIGTERM shuts down gracefully.
"""

from __future__ import annotations

import errno
import gc
import os
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import trio

from juniperreel.net.network import DESCRIPTOR_EXHAUSTION_ERRNOS
from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.errors import ConfigError
from juniperreel.platform.log import Log
from juniperreel.platform.pending_signals import PendingSignal
from juniperreel.platform.program import Program

EXIT_LISTEN_FAILED = 1
EXIT_NO_CONFIGURATION = 2
START_RETRY_S = 2.0  # how long a start is tried that fails in a way that may pass
START_PAUSE_S = 0.05
PASSING_ERRNOS = DESCRIPTOR_EXHAUSTION_ERRNOS | {errno.EIO, errno.EINTR, errno.EAGAIN, errno.EADDRNOTAVAIL}
TRACE_VARIABLE = "JUNIPERREEL_TRACE"  # 1: each step of each request is logged


def handle_signal(program: Program, number: int, waited_us: int = 0) -> None:
    """Do what the signal asks for; it arrived `waited_us` ago."""
    if number == signal.SIGHUP:
        program.reload()
    else:
        program.begin_shutdown(waited_us)
    program.poller.wake()


async def _handle_signals(program: Program, signals: AsyncIterator[int]) -> None:
    async for number in signals:
        handle_signal(program, number)


async def run(config: Config, config_path: Path, log: Log, pending_signals: list[PendingSignal]) -> int:
    """Serve until shut down; return the exit code.

    `pending_signals` arrived while modules were loading, and are handled once it serves.
    """
    program = Program(config, config_path, log)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.discovery.run)
            try:
                await _start(program, log)
            except OSError as error:
                nursery.cancel_scope.cancel()  # otherwise the nursery would wait for discovery forever
                _log_failed_listen(log, error)
                return EXIT_LISTEN_FAILED
            for pending in pending_signals:
                handle_signal(program, pending.number, pending.waited_us)
            nursery.start_soon(_handle_signals, program, signals)
            nursery.start_soon(program.log_status)
            gc.collect()
            gc.freeze()
            await program.serve()
            nursery.cancel_scope.cancel()
    return 0


async def _start(program: Program, log: Log) -> None:
    """Start to listen, again and again while the system has no resources for it. Raises OSError."""
    with trio.move_on_after(START_RETRY_S):
        while True:
            try:
                program.start()
            except OSError as error:
                if error.errno not in PASSING_ERRNOS:
                    raise
                log.warning("listen failed for now", error=str(error))
                await trio.sleep(START_PAUSE_S)
            else:
                return
    program.start()


def _log_failed_listen(log: Log, error: OSError) -> None:
    log.error("listen failed", error=str(error))


def _log_unreadable_config(log: Log, path_name: str, error: Exception) -> None:
    log.error("configuration not readable", path=path_name, error=str(error))


def main(pending_signals: list[PendingSignal]) -> int:
    """Run the driver whose configuration file `GW_CONFIG` names; return the exit code."""
    log = Log(tracing=os.environ.get(TRACE_VARIABLE, "") == "1")
    path_name = os.environ.get("GW_CONFIG", "")
    try:
        config = _read_config(Path(path_name), log)
    except (OSError, ConfigError) as error:
        _log_unreadable_config(log, path_name, error)
        return EXIT_NO_CONFIGURATION
    return trio.run(run, config, Path(path_name), log, pending_signals)


def _read_config(path: Path, log: Log) -> Config:
    """Read the file, again and again for a while where that fails in a way that may pass.

    Raises OSError or ConfigError: it can't be read, or is wrong and stays so.
    """
    give_up_at = time.monotonic() + START_RETRY_S
    while True:
        try:
            return parse_config(path.read_bytes())
        except (OSError, ConfigError) as error:
            may_pass = isinstance(error, ConfigError) or error.errno in PASSING_ERRNOS
            if not may_pass or time.monotonic() > give_up_at:
                raise
            log.warning("configuration not readable for now", error=str(error))
            time.sleep(START_PAUSE_S)
