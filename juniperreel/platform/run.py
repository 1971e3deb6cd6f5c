"""Process entry point: configuration, start-up, signals and exit codes.

SIGHUP reloads the configuration file; SIGTERM starts a graceful shutdown. Start-up is retried for a limited
time if the system temporarily lacks resources.
"""

from __future__ import annotations

import errno
import gc
import os
import time
from functools import partial
from pathlib import Path

import trio

from juniperreel.net.network import DESCRIPTOR_EXHAUSTION_ERRNOS
from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.errors import ConfigError
from juniperreel.platform.log import Log
from juniperreel.platform.program import Program
from juniperreel.platform.signal_queue import SignalQueue

EXIT_LISTEN_FAILED = 1
EXIT_NO_CONFIGURATION = 2
START_RETRY_TIMEOUT_S = 2.0  # how long start-up is retried after transient errors
START_RETRY_INTERVAL_S = 0.05
TRANSIENT_ERRNOS = DESCRIPTOR_EXHAUSTION_ERRNOS | {errno.EIO, errno.EINTR, errno.EAGAIN, errno.EADDRNOTAVAIL}
TRACE_VARIABLE = "JUNIPERREEL_TRACE"  # "1" logs each step of each request


class Process:
    """A driver process: creates the event loop and runs the program in it."""

    def __init__(self, config: Config, config_path: Path, log: Log, signals: SignalQueue) -> None:
        """`signals` may contain signals that arrived while modules were loading."""
        self._config = config
        self._config_path = config_path
        self._log = log
        self._signals = signals
        self._program: Program | None = None

    def run(self) -> int:
        """Serve until shut down; return the exit code. Raises OSError if no event loop can be created."""
        give_up_at = time.monotonic() + START_RETRY_TIMEOUT_S
        while True:
            try:
                return trio.run(self._serve)
            except OSError as error:
                # Creating the event loop needs sockets and an epoll descriptor, which may be unavailable.
                has_started = self._program is not None
                if has_started or error.errno not in TRANSIENT_ERRNOS or time.monotonic() > give_up_at:
                    raise
                self._log.warning("event loop failed for now", error=str(error))
            time.sleep(START_RETRY_INTERVAL_S)

    async def _serve(self) -> int:
        program = Program(self._config, self._config_path, self._log, self._signals)
        self._program = program
        token = trio.lowlevel.current_trio_token()
        self._signals.wake = partial(token.run_sync_soon, program.poller.wake)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(program.discovery.run)
                try:
                    await _start(program, self._log)
                except OSError as error:
                    nursery.cancel_scope.cancel()  # the discovery task never ends by itself
                    _log_failed_listen(self._log, error)
                    return EXIT_LISTEN_FAILED
                nursery.start_soon(program.log_status)
                gc.collect()
                gc.freeze()
                await program.serve()
                nursery.cancel_scope.cancel()
        finally:
            self._signals.wake = None
        return 0


async def _start(program: Program, log: Log) -> None:
    """Start listening, retrying while the system lacks resources. Raises OSError."""
    with trio.move_on_after(START_RETRY_TIMEOUT_S):
        while True:
            try:
                program.start()
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    raise
                log.warning("listen failed for now", error=str(error))
                await trio.sleep(START_RETRY_INTERVAL_S)
            else:
                return
    program.start()


def _log_failed_listen(log: Log, error: OSError) -> None:
    log.error("listen failed", error=str(error))


def _log_unreadable_config(log: Log, path_name: str, error: Exception) -> None:
    log.error("configuration not readable", path=path_name, error=str(error))


def main(signals: SignalQueue) -> int:
    """Run the driver with the configuration file named by `GW_CONFIG`; return the exit code."""
    log = Log(tracing=os.environ.get(TRACE_VARIABLE, "") == "1")
    path_name = os.environ.get("GW_CONFIG", "")
    try:
        config = _read_config(Path(path_name), log)
    except (OSError, ConfigError) as error:
        _log_unreadable_config(log, path_name, error)
        return EXIT_NO_CONFIGURATION
    exit_code = Process(config, Path(path_name), log, signals).run()
    signals.ignore()
    return exit_code


def _read_config(path: Path, log: Log) -> Config:
    """Read the file, retrying transient failures for a limited time.

    An invalid file counts as transient, as it may still be being written. Raises OSError or ConfigError.
    """
    give_up_at = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return parse_config(path.read_bytes())
        except (OSError, ConfigError) as error:
            is_transient = isinstance(error, ConfigError) or error.errno in TRANSIENT_ERRNOS
            if not is_transient or time.monotonic() > give_up_at:
                raise
            log.warning("configuration not readable for now", error=str(error))
            time.sleep(START_RETRY_INTERVAL_S)
