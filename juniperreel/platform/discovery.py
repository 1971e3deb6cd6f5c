"""Discovery client: polls the endpoint list and watches it for changes.

Reports each list and each failure to the driver. The router decides when to poll and when to reopen a watch.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import msgspec
import trio

from juniperreel.net import ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.net.network import DESCRIPTOR_EXHAUSTION_ERRNOS
from juniperreel.platform.discovery_connection import DiscoveryConnection
from juniperreel.platform.endpoint_list import Address, EndpointList, read_endpoint_list
from juniperreel.platform.errors import DiscoveryCallError, EndpointListError
from juniperreel.platform.log import Log
from juniperreel.routing.types import Settings, UpdateKind

PATH = "/v1/endpoints"
# Time allowed for a response beyond the wait that its call requested. Discovery itself fails calls after 2 s.
RESPONSE_TIMEOUT_US = 1_500_000
CONNECT_TIMEOUT_US = 1_000_000

# Long-poll wait of one watch call, as a fraction of the poll interval. A driver that has not polled for that
# interval counts as notified of all changes.
WATCH_WAIT_FRACTION = 0.5
# The platform counts changes missed by a silent watch as notified 6 s after it fell silent. The driver
# notices the silence only when the response is overdue (`RESPONSE_TIMEOUT_US`), which leaves 0.5 s for a new
# watch.
MAX_WATCH_WAIT_US = 4_000_000
# Bounds the call rate of the whole fleet. Small fleets can call more often and detect a silent watch early
# enough for one failed attempt to reopen it. The minimum is the longest time that a call may take.
WATCH_WAIT_PER_DRIVER_US = 20_000  # 50 calls per second across the fleet
MIN_WATCH_WAIT_US = 2_000_000

LOCAL_FAILURE_RETRIES = 10
LOCAL_FAILURE_RETRY_INTERVAL_S = 0.1
LOCAL_FAILURE_ERRNOS = DESCRIPTOR_EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN}

OnUpdate = Callable[[UpdateKind, EndpointList | None], None]


def watch_wait_us(settings: Settings) -> int:
    """Return the long-poll wait of one watch call."""
    wait_us = min(max(settings.router_count * WATCH_WAIT_PER_DRIVER_US, MIN_WATCH_WAIT_US), MAX_WATCH_WAIT_US)
    return min(wait_us, int(settings.poll_interval_us * WATCH_WAIT_FRACTION) or wait_us)


class Discovery:
    """Discovery client of one driver; `run` must be running.

    Owns the version of the newest accepted list and alone decides whether a list is stale.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        zones: list[str],
        machine_types: list[str],
        wait_us: int,
        on_update: OnUpdate,
        log: Log,
    ) -> None:
        """`wait_us` is the long-poll wait of one watch call.

        `on_update` receives each accepted list, or None if a call failed.
        """
        self.address = address
        self.version = 0
        self._network = network
        self._zones = zones
        self._machine_types = machine_types
        self._wait_us = wait_us
        self._on_update = on_update
        self._log = log
        self._accepted_lists = 0
        self._nursery: trio.Nursery | None = None
        self._watch_scope: trio.CancelScope | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of all calls until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def subscribe(self, enabled: bool) -> None:
        """Open or close a watch.

        An open watch is kept: changes already written to its connection count as notified and would be lost
        if it were reopened.
        """
        if enabled and self._watch_scope is None:
            self._open_watch()
        elif not enabled and self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None

    def _open_watch(self) -> None:
        assert self._nursery is not None
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self._watch_scope = trio.CancelScope()
        self._nursery.start_soon(self._watch, self._watch_scope)

    def fetch(self) -> None:
        """Poll the endpoint list once."""
        assert self._nursery is not None
        self._nursery.start_soon(self._fetch)

    def change_address(self, address: Address) -> None:
        """Switch to another discovery server and open a watch there immediately."""
        if address != self.address:
            self.address = address
            self._open_watch()

    async def _connect(self) -> DiscoveryConnection:
        """Connect, retrying on transient local resource shortages, which do not count as failed calls."""
        for _ in range(LOCAL_FAILURE_RETRIES):
            try:
                return await self._connect_once()
            except ConnectError as error:
                if not _is_local_failure(error):
                    raise
                self._log.warning("no socket for discovery", error=str(error))
            await trio.sleep(LOCAL_FAILURE_RETRY_INTERVAL_S)
        return await self._connect_once()

    async def _connect_once(self) -> DiscoveryConnection:
        host, port = self.address
        stream = await self._network.connect(host, port, CONNECT_TIMEOUT_US)
        return DiscoveryConnection(stream, f"{host}:{port}")

    async def _fetch(self) -> None:
        address = None
        accepted_before = self._accepted_lists
        try:
            # If the address changed meanwhile, the response of the old server is outdated.
            while address != self.address:
                address = self.address
                accepted_before = self._accepted_lists
                async with await self._connect() as connection:
                    with trio.fail_after(RESPONSE_TIMEOUT_US / US):
                        body = await connection.get(PATH)
            self._accept_list(body, accepted_before)
        except (DiscoveryCallError, ConnectError, EndpointListError, trio.TooSlowError) as error:
            self._report_failure(error, UpdateKind.FAILED)

    async def _watch(self, scope: trio.CancelScope) -> None:
        error: Exception
        kind = UpdateKind.FAILED
        with scope:
            try:
                await self._call_repeatedly()
            except trio.TooSlowError:
                error = DiscoveryCallError("watch timed out")
                kind = UpdateKind.TIMED_OUT
            except (DiscoveryCallError, ConnectError, EndpointListError) as caught:
                error = caught
            if self._watch_scope is scope:
                self._watch_scope = None
            self._report_failure(error, kind)

    async def _call_repeatedly(self) -> None:
        """Poll for changes until a call fails. Raises trio.TooSlowError if a response is overdue."""
        while True:
            async with await self._connect() as connection:
                while True:
                    accepted_before = self._accepted_lists
                    wait_ms = self._wait_us // 1000
                    with trio.fail_after((self._wait_us + RESPONSE_TIMEOUT_US) / US):
                        body = await connection.get(f"{PATH}?after={self.version}&wait_ms={wait_ms}")
                    self._accept_list(body, accepted_before)
                    if not connection.start_next_call():
                        break

    def _report_failure(self, error: Exception, kind: UpdateKind) -> None:
        self._log.warning("discovery failed", error=str(error) or type(error).__name__)
        self._on_update(kind, None)

    def _accept_list(self, body: bytes, accepted_before: int) -> None:
        """Parse a response and report its list unless it is stale.

        `accepted_before` is the number of lists accepted when the call began.
        """
        try:
            raw = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise EndpointListError(str(error)) from error
        endpoint_list = read_endpoint_list(raw, self._zones, self._machine_types)
        if endpoint_list.unreadable_lines:
            self._log.warning("unreadable endpoint list lines", lines=endpoint_list.unreadable_lines)
        is_older = endpoint_list.version < self.version
        if is_older and accepted_before != self._accepted_lists:
            # A newer list arrived during this call; applying the older one would make an endpoint that is
            # draining appear ready again.
            self._log.warning(
                "stale endpoint list ignored", version=endpoint_list.version, newest=self.version
            )
            return
        if is_older and not endpoint_list.complete:
            self.version = 0  # discovery restarted: its delta does not apply to the current list
            raise EndpointListError("delta applies to an older list version")
        self._accepted_lists += 1
        self.version = endpoint_list.version
        kind = UpdateKind.SNAPSHOT if endpoint_list.complete else UpdateKind.DELTA
        self._on_update(kind, endpoint_list)


def _is_local_failure(error: ConnectError) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in LOCAL_FAILURE_ERRNOS
