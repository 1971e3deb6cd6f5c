"""The process: configuration, signals and exit codes.

SIGHUP reloads the configuration file, SIGTERM shuts down gracefully.
"""

from __future__ import annotations

import gc
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import trio

from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.errors import ConfigError
from juniperreel.platform.log import Log
from juniperreel.platform.program import Program

EXIT_LISTEN_FAILED = 1
EXIT_NO_CONFIGURATION = 2
TRACE_VARIABLE = "JUNIPERREEL_TRACE"  # 1: each step of each request is logged


def handle_signal(program: Program, number: int) -> None:
    """Do what the signal asks for."""
    if number == signal.SIGHUP:
        program.reload()
    else:
        program.begin_shutdown()
    program.poller.wake()


async def _handle_signals(program: Program, signals: AsyncIterator[int]) -> None:
    async for number in signals:
        handle_signal(program, number)


async def run(config: Config, config_path: Path, log: Log, pending_signals: list[int]) -> int:
    """Serve until shut down; return the exit code.

    `pending_signals` arrived while modules were loading, and are handled once it serves.
    """
    program = Program(config, config_path, log)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.discovery.run)
            try:
                program.start()
            except OSError as error:
                nursery.cancel_scope.cancel()  # otherwise the nursery would wait for discovery forever
                _log_failed_listen(log, error)
                return EXIT_LISTEN_FAILED
            for number in pending_signals:
                handle_signal(program, number)
            nursery.start_soon(_handle_signals, program, signals)
            nursery.start_soon(program.log_status)
            gc.collect()
            gc.freeze()
            await program.serve()
            nursery.cancel_scope.cancel()
    return 0


def _log_failed_listen(log: Log, error: OSError) -> None:
    log.error("listen failed", error=str(error))


def _log_unreadable_config(log: Log, path_name: str, error: Exception) -> None:
    log.error("configuration not readable", path=path_name, error=str(error))


def main(pending_signals: list[int]) -> int:
    """Run the driver whose configuration file `GW_CONFIG` names; return the exit code."""
    log = Log(tracing=os.environ.get(TRACE_VARIABLE, "") == "1")
    path_name = os.environ.get("GW_CONFIG", "")
    try:
        config = parse_config(Path(path_name).read_bytes())
    except (OSError, ConfigError) as error:
        _log_unreadable_config(log, path_name, error)
        return EXIT_NO_CONFIGURATION
    return trio.run(run, config, Path(path_name), log, pending_signals)
