"""All fake clients of one run: sessions with causal tokens, tenants and retries, at a given rate.

They follow the rules for application servers: a session has one request in flight, keeps its causal token,
honours the retry-after of a rejection, marks retries, reuses the idempotency key in them, and never retries
if the response forbids it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import trio

from juniperreel.fakes.client_session import (
    AttemptReporter,
    ClientRequest,
    ClientSession,
    EdgeAddress,
    MysqlTraffic,
    ResponseCallback,
    TrafficClass,
)
from juniperreel.fakes.grpc_clients import GrpcTransport
from juniperreel.fakes.mysql_clients import MysqlTransport
from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.rpc.channel import Channel
from juniperreel.rpc.limits import Limits
from juniperreel.verification.records import LoadOffered, RecordSink

MAX_SESSIONS_MULTIPLE = 40  # upper limit, relative to the sessions of the script, when all wait for responses
SELECTION_TRIES = 20
READ_OWN_WRITE_S = 1.0  # for so long after a write, its session is likely to read it
READ_OWN_WRITE_PROBABILITY = 0.7


class ClientPopulation:
    """All client sessions of one run."""

    def __init__(
        self,
        network: Network,
        clock: Clock,
        record: RecordSink,
        rng: random.Random,
        traffic: Sequence[TrafficClass],
        tenants: Mapping[str, float],
        groups: int,
        sessions: int,
        max_retries: int,
        edges: Sequence[EdgeAddress],
        mysql: MysqlTraffic | None = None,
    ) -> None:
        """`tenants` maps tenants to their shares of sessions; `mysql` is the traffic of MySQL sessions."""
        self.offered = 0  # total number of requests due so far
        self.sessions: list[ClientSession] = []
        self._network = network
        self._clock = clock
        self._record = record
        self._rng = rng
        self._traffic = traffic
        self._tenants = tenants
        self._groups = groups
        self._max_sessions = MAX_SESSIONS_MULTIPLE * sessions
        self._max_retries = max_retries
        self._edges = edges
        self._mysql_traffic = mysql
        self._channels: list[Channel] = []
        self._reporter = AttemptReporter(clock, record)
        self._grpc = GrpcTransport(rng, edges, self._channels, self._reporter)
        self._mysql: MysqlTransport | None = None
        if mysql is not None:
            self._mysql = MysqlTransport(network, rng, edges, mysql, self._reporter)
        self._request_count = 0
        for _ in range(sessions):
            self._add_session()

    def on_response(self, callback: ResponseCallback) -> None:
        """Set the callback for the outcome of each attempt."""
        self._reporter.on_response = callback

    async def run(self, rate: float, span_us: int) -> None:
        """Send `rate` requests a second for `span_us`, then wait for the last responses.

        The load is an open loop: due times are drawn in advance and do not depend on responses. If all
        sessions wait for a response, another session is added.
        """
        due_times = self._draw_due_times(rate, span_us)
        async with trio.open_nursery() as channels:
            await self._open_channels(channels)
            async with trio.open_nursery() as requests:
                start = trio.current_time()
                for due in due_times:
                    await trio.sleep_until(start + due)
                    self.offered += 1
                    session = self._select_session()
                    if session is not None:
                        session.busy = True
                        requests.start_soon(self._run_request, session)
            channels.cancel_scope.cancel()
        self._record(LoadOffered(self._clock.now_us(), self.offered))

    def _draw_due_times(self, rate: float, span_us: int) -> list[float]:
        """Draw the times of a Poisson process, in seconds from the start."""
        due_times = []
        at = self._rng.expovariate(rate)
        while at < span_us / US:
            due_times.append(at)
            at += self._rng.expovariate(rate)
        return due_times

    async def _open_channels(self, nursery: trio.Nursery) -> None:
        for edge in self._edges:
            rng = random.Random(self._rng.random())
            channel = Channel(self._network, self._clock, "127.0.0.1", edge.port, Limits(), rng)
            self._channels.append(channel)
            await nursery.start(channel.run)

    def _select_session(self) -> ClientSession | None:
        """An idle session, added if needed; None if the limit on sessions is reached."""
        for _ in range(SELECTION_TRIES):
            session = self._rng.choice(self.sessions)
            if not session.busy:
                return session
        if len(self.sessions) >= self._max_sessions:
            return None
        return self._add_session()

    def _add_session(self) -> ClientSession:
        number = len(self.sessions)
        tenant = self._rng.choices(list(self._tenants), list(self._tenants.values()))[0]
        group = number % self._groups
        edge = number % len(self._edges)
        session = ClientSession(f"s{number}", f"r{number}", group, tenant, edge)
        traffic = self._mysql_traffic
        if traffic is not None and self._mysql is not None and self._rng.random() < traffic.part:
            session.tenant = traffic.tenant
            session.mysql = self._mysql.open_client(session.edge)
        self.sessions.append(session)
        return session

    def _select_class(self, session: ClientSession) -> TrafficClass:
        """Draw a request's class; soon after a write, reads of the session's own writes are more likely."""
        if session.mysql is not None:
            return self._select_mysql_class()
        selected = self._rng.choices(self._traffic, [traffic.part for traffic in self._traffic])[0]
        since_write_s = trio.current_time() - session.last_write_s
        if not selected.request_class.write and since_write_s < READ_OWN_WRITE_S:
            session_reads = [traffic for traffic in self._traffic if traffic.request_class.session]
            if session_reads and self._rng.random() < READ_OWN_WRITE_PROBABILITY:
                return session_reads[0]
        return selected

    def _select_mysql_class(self) -> TrafficClass:
        """Draw one of the two classes that the edge derives from the text of a MySQL statement."""
        mysql = self._mysql_traffic
        assert mysql is not None
        name = mysql.write_class if self._rng.random() < mysql.write_part else mysql.read_class
        return self._rng.choice([t for t in self._traffic if t.request_class.name == name])

    async def _run_request(self, session: ClientSession) -> None:
        """Send one request, and retry it while the last result permits."""
        traffic = self._select_class(session)
        request_class = traffic.request_class
        self._request_count += 1
        target = session
        if not (request_class.write or request_class.session):
            target = self._rng.choice(self.sessions)
        request = ClientRequest(f"q{self._request_count}", traffic, target.row, target.group)
        try:
            for number in range(self._max_retries + 1):
                retry_delay_s = await self._attempt(session, request, number)
                if retry_delay_s is None:
                    return
                await trio.sleep(retry_delay_s)
        finally:
            session.busy = False
            if request_class.write:
                session.last_write_s = trio.current_time()

    async def _attempt(self, session: ClientSession, request: ClientRequest, number: int) -> float | None:
        if session.mysql is None or self._mysql is None:
            return await self._grpc.attempt(session, request, number)
        return await self._mysql.attempt(session, request, number)
