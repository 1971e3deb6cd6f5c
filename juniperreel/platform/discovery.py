"""The driver's view of discovery: single polls of the endpoint list, and a watch of its changes.

Reports lists as they arrive and failures as they happen. When to poll, and when to open a watch again, is the
router's decision.
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
# A response is due this long after the wait that its call asked for; the operators' list fails calls at 2 s.
RESPONSE_TIMEOUT_US = 1_500_000
CONNECT_TIMEOUT_US = 1_000_000

# How long one call of a watch may wait for changes, as a part of the time after which a driver that does not
# poll counts as notified.
WATCH_WAIT_FRACTION = 0.5
# At most so long: what a silent watch misses counts as notified 6 s after it fell silent, by the operators'
# page, and its silence is known only when its response is overdue (`RESPONSE_TIMEOUT_US`). Half a second is
# left for opening a new one.
MAX_WATCH_WAIT_US = 4_000_000
# Every call costs discovery the same, whoever makes it: where few drivers call, they can do so more often,
# and know of a silent watch while a new one may still fail once. The least is what a call may take.
WATCH_WAIT_PER_DRIVER_US = 20_000  # of the fleet: 50 calls a second from all of them
MIN_WATCH_WAIT_US = 2_000_000

LOCAL_FAILURE_RETRIES = 10
LOCAL_FAILURE_PAUSE_S = 0.1
LOCAL_FAILURE_ERRNOS = DESCRIPTOR_EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN}

OnUpdate = Callable[[UpdateKind, EndpointList | None], None]


def watch_wait_us(settings: Settings) -> int:
    """Return how long one call of a watch may wait for changes."""
    wait_us = min(max(settings.router_count * WATCH_WAIT_PER_DRIVER_US, MIN_WATCH_WAIT_US), MAX_WATCH_WAIT_US)
    return min(wait_us, int(settings.poll_interval_us * WATCH_WAIT_FRACTION) or wait_us)


class Discovery:
    """One driver's client of discovery; `run` must be running.

    Owns the version of the newest list that was accepted, and is the one place that decides whether a list is
    stale.
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
        """`wait_us` is how long one call of a watch may wait for changes.

        `on_update` gets each accepted list, and None for a call that failed.
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
        """Own the tasks of all calls, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def subscribe(self, enabled: bool) -> None:
        """Open a watch, or end it.

        A watch that is open stays so: what discovery has written on it counts as notified, and would be lost
        with the connection.
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
        """Use another discovery server.

        The watch is opened there at once: a subscription outlives the address.
        """
        if address != self.address:
            self.address = address
            self._open_watch()

    async def _connect(self) -> DiscoveryConnection:
        """Connect; try again where this machine lacks resources for a moment, which is no failed call."""
        for _ in range(LOCAL_FAILURE_RETRIES):
            try:
                return await self._connect_once()
            except ConnectError as error:
                if not _is_local_failure(error):
                    raise
                self._log.warning("no socket for discovery", error=str(error))
            await trio.sleep(LOCAL_FAILURE_PAUSE_S)
        return await self._connect_once()

    async def _connect_once(self) -> DiscoveryConnection:
        host, port = self.address
        stream = await self._network.connect(host, port, CONNECT_TIMEOUT_US)
        return DiscoveryConnection(stream, f"{host}:{port}")

    async def _fetch(self) -> None:
        address = None
        accepted_before = self._accepted_lists
        try:
            # What the old address answers after a change of address is not the newest list.
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
        """Call for changes until a call fails. Raises trio.TooSlowError for a response that is overdue."""
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
        """Read a response, and report its list unless that is stale.

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
            # It was overtaken by a newer list: an endpoint that drains by that one would be ready again.
            self._log.warning(
                "stale endpoint list ignored", version=endpoint_list.version, newest=self.version
            )
            return
        if is_older and not endpoint_list.complete:
            self.version = 0  # discovery restarted: its changes do not apply to the list that is had
            raise EndpointListError("changes to an older list")
        self._accepted_lists += 1
        self.version = endpoint_list.version
        kind = UpdateKind.SNAPSHOT if endpoint_list.complete else UpdateKind.DELTA
        self._on_update(kind, endpoint_list)


def _is_local_failure(error: ConnectError) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in LOCAL_FAILURE_ERRNOS
