"""The driver's own duties, batch by batch, with attempts played by the test."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from immutables import Map

from juniperreel.causal import History
from juniperreel.net import Clock, Silent, TcpNetwork
from juniperreel.net import Refused as ConnectRefused
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proxy import Answer, Driver, DriverOptions, Failed, Refused, Served, Work
from juniperreel.proxy import hosts as host_list
from juniperreel.proxy.configsource import ConfigSource
from juniperreel.proxy.driver import Attempt, AttemptDone, ListTold, ProbeDone
from juniperreel.proxy.jobs import Job, Reply
from juniperreel.proxy.members import MemberLinks
from juniperreel.proxy.outcomes import of_error, unfinished
from juniperreel.proxy.positions import Needs, Standing
from juniperreel.raft.configuration.model import EMPTY, MemberInfo
from juniperreel.routing.types import (
    Outcome,
    UpdateKind,
)
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import Code, RpcError, error_info
from juniperreel.telemetry.log import make_log
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces
from tests.script import BY_NAME, MS, SEC, SETTINGS

HISTORY = History.of([(1, 0)])
ROUTER = replace(
    SETTINGS, requests_carry_session_age=True, must_poll=True, router_count=1, health_checks=False, tenants=()
)


def options(**changes: Any) -> DriverOptions:
    base = DriverOptions(
        name="d",
        router=ROUTER,
        seed=1,
        groups=1,
        hosts=("127.0.0.1", 1),
        saved_list=None,
        skew_us=10 * MS,
        answer_margin_us=20 * MS,
        max_open=10,
        member_attempts=10,
        connect_timeout_us=100 * MS,
        probe_timeout_us=100 * MS,
        list_timeout_us=SEC,
        limits=Limits(),
    )
    return replace(base, **changes)


class Bench:
    """A driver whose attempts go nowhere until the test ends them; the clock is virtual."""

    def __init__(self, nursery: trio.Nursery, **changes: Any) -> None:
        self.clock = Clock(1_000 * SEC)
        self.metrics = Metrics()
        self.driver = Driver(options(**changes), TcpNetwork(), self.clock, make_log(), self.metrics, Traces())
        self.driver._nursery = nursery
        self.driver._attempt = self.attempt  # type: ignore[method-assign]
        self.driver._probe = self.probe  # type: ignore[method-assign]
        self.driver.links.place = lambda *a: None  # type: ignore[method-assign]
        self.driver.hosts.subscribe = lambda on: None  # type: ignore[method-assign]
        self.attempts: list[Attempt] = []
        self.probes: list[str] = []
        self.nursery = nursery

    async def attempt(self, attempt: Attempt, limit_us: int) -> None:
        self.attempts.append(attempt)
        await trio.lowlevel.checkpoint()

    async def probe(self, member: str) -> None:
        self.probes.append(member)

    async def members(self, *names: str) -> None:
        hosts = [host_list.Host(n, "127.0.0.1", 1, 0, 0, 0, "up", n == "p", 1.0, 0) for n in names]
        self.driver.enqueue(ListTold(UpdateKind.SNAPSHOT, hosts))
        for name in names:
            self.driver.enqueue(ProbeDone(name, Outcome.OK, MS, self.standing(name == "p")))
        await self.turn()

    def standing(self, primary: bool) -> Standing:
        return Standing(primary, self.clock.now_us(), HISTORY)

    async def turn(self) -> None:
        self.driver._turn()
        await trio.testing.wait_all_tasks_blocked()

    def ask(self, cls: str, deadline_us: int = SEC) -> list[Answer]:
        answers: list[Answer] = []
        work = Work(BY_NAME[cls], -1, 0, self.clock.now_us() + deadline_us, b"x", key="k")

        async def run() -> None:
            answers.append(await self.driver.execute(work))

        self.nursery.start_soon(run)
        return answers

    def done(
        self, attempt: Attempt, outcome: Outcome = Outcome.OK, standing: Standing | None = None
    ) -> AttemptDone:
        reply = None
        if outcome is Outcome.OK:
            standing = standing or self.standing(attempt.member == "p")
            reply = Reply(values_pb2.ResultSet(), standing, self.clock.now_us())
        return AttemptDone(attempt, outcome, self.clock.now_us(), reply)


@pytest.fixture
async def bench(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> Bench:
    made = Bench(nursery)
    await made.members("p", "a", "b")
    return made


async def started(bench: Bench, cls: str, **fields: Any) -> tuple[list[Answer], Attempt]:
    answers = bench.ask(cls, **fields)
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    return answers, bench.attempts[-1]


async def test_an_answer_is_served_once(bench: Bench) -> None:
    answers, attempt = await started(bench, "loose")
    bench.driver.enqueue(bench.done(attempt))
    await bench.turn()
    assert [type(a) for a in answers] == [Served]
    assert not bench.driver._open


async def test_the_client_s_leaving_in_the_same_batch_as_the_answer_wins(bench: Bench) -> None:
    scope = trio.CancelScope()

    async def leave() -> None:
        work = Work(BY_NAME["loose"], -1, 0, bench.clock.now_us() + SEC, b"x")
        with scope:
            await bench.driver.execute(work)

    bench.nursery.start_soon(leave)
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    attempt = bench.attempts[-1]
    bench.driver.enqueue(bench.done(attempt))
    scope.cancel()
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    assert not bench.driver._open
    assert bench.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_an_answer_after_the_refusal_is_dropped_and_counted(bench: Bench) -> None:
    answers, attempt = await started(bench, "loose", deadline_us=300 * MS)
    await trio.sleep(0.4)  # past the deadline: the module's timer gives it up
    bench.driver.enqueue(bench.done(attempt, Outcome.TIMEOUT))
    await bench.turn()
    assert [type(a) for a in answers] == [Refused]
    bench.driver.enqueue(bench.done(attempt))
    await bench.turn()
    assert len(answers) == 1
    assert bench.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_a_drain_notice_and_a_request_in_one_batch(bench: Bench) -> None:
    hosts = [host_list.Host(n, "127.0.0.1", 1, 0, 0, 0, "draining", False, 1.0, 0) for n in ("a", "b")]
    bench.driver.enqueue(ListTold(UpdateKind.DELTA, hosts))
    for _ in range(9):  # some are shed: reads crowd no primary that was not heard of
        bench.ask("loose")
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    assert {a.member for a in bench.attempts} == {"p"}


async def test_a_write_to_a_primary_that_drains_in_the_same_batch_keeps_to_the_grace(bench: Bench) -> None:
    host = host_list.Host("p", "127.0.0.1", 1, 0, 0, 0, "draining", True, 1.0, 0)
    bench.driver.enqueue(ListTold(UpdateKind.DELTA, [host]))
    _, attempt = await started(bench, "write")
    assert attempt.member == "p"
    bench.driver.enqueue(bench.done(attempt))
    await bench.turn()
    await trio.sleep(2.1)
    count = len(bench.attempts)
    bench.ask("write")
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    assert all(a.member != "p" for a in bench.attempts[count:])


async def test_a_stale_answer_is_no_answer(bench: Bench) -> None:
    """The member was restored from a copy: its position, once known, is true no longer."""
    answers, attempt = await started(bench, "read")
    old = Standing(False, bench.clock.now_us() - 10 * SEC, HISTORY)
    bench.driver.enqueue(bench.done(attempt, standing=old))
    await bench.turn()
    assert not answers and len(bench.attempts) == 2
    assert bench.metrics.registry.get_sample_value("juniperreel_stale_answers_total") == 1


async def test_a_write_confirmed_in_an_ended_epoch_is_sent_again_only_if_keyed(bench: Bench) -> None:
    later = History.of([(1, 0), (2, bench.clock.now_us() - SEC)])
    for cls, kind in (("write", Served), ("once", Failed)):
        answers, attempt = await started(bench, cls)
        bench.driver.enqueue(ProbeDone("a", Outcome.OK, MS, Standing(True, bench.clock.now_us(), later)))
        bench.driver.enqueue(bench.done(attempt))  # by the deposed one
        await bench.turn()
        for _ in range(20):
            if answers:
                break
            await trio.sleep(0.03)
            await bench.turn()
            if bench.attempts[-1] is not attempt and not answers:
                standing = Standing(True, bench.clock.now_us(), later)
                bench.driver.enqueue(bench.done(bench.attempts[-1], standing=standing))
                await bench.turn()
        assert [type(a) for a in answers] == [kind]


async def test_the_limit_of_open_requests_refuses_with_a_wait(nursery: trio.Nursery) -> None:
    bench = Bench(nursery, max_open=1)
    bench.ask("loose")
    await trio.testing.wait_all_tasks_blocked()
    work = Work(0, -1, 0, bench.clock.now_us() + SEC, b"x")
    answer = await bench.driver.execute(work)
    assert isinstance(answer, Refused) and answer.local
    assert 0 < answer.retry_after_us <= ROUTER.max_retry_after_us
    nursery.cancel_scope.cancel()


async def test_a_failing_module_fails_its_batch_and_the_driver_goes_on(bench: Bench) -> None:
    handle = bench.driver.router.handle

    def broken(now: int, events: Any) -> Any:
        raise ZeroDivisionError

    bench.driver.router.handle = broken  # type: ignore[method-assign,assignment]
    answers = bench.ask("loose")
    await trio.testing.wait_all_tasks_blocked()
    await bench.turn()
    assert [type(a) for a in answers] == [Failed]
    bench.driver.router.handle = handle  # type: ignore[method-assign]
    answers, attempt = await started(bench, "loose")
    bench.driver.enqueue(bench.done(attempt))
    await bench.turn()
    assert [type(a) for a in answers] == [Served]


def test_only_what_certainly_did_not_run_counts_as_untouched() -> None:
    def refusal(reason: str) -> RpcError:
        return RpcError(Code.UNAVAILABLE, "", [error_info(reason, "member.juniperreel")])

    cases = {
        ConnectRefused(): Outcome.UNREACHABLE,
        Silent(): Outcome.UNREACHABLE,
        CallUnprocessedError(): Outcome.NOT_SENT,
        CallInterruptedError(): Outcome.RESET,
        refusal("NOT_PRIMARY"): Outcome.INELIGIBLE,
        refusal("BEHIND"): Outcome.INELIGIBLE,
        refusal("NOT_EXECUTED"): Outcome.REJECTED,
        refusal("ANYTHING"): Outcome.ERROR,
        RpcError(Code.UNAVAILABLE): Outcome.ERROR,
        RpcError(Code.RESOURCE_EXHAUSTED): Outcome.ERROR,
        RpcError(Code.DEADLINE_EXCEEDED): Outcome.TIMEOUT,
        ValueError(): Outcome.ERROR,
    }
    for error, outcome in cases.items():
        assert of_error(error) is outcome
    assert unfinished(True, True) is Outcome.CANCELLED
    assert unfinished(True, False) is Outcome.TIMEOUT
    assert unfinished(False, True) is Outcome.NOT_SENT
    assert unfinished(False, False) is Outcome.UNREACHABLE


# The host list.


def line(**changes: Any) -> hosts_pb2.Host:
    fields: dict[str, Any] = {
        "id": "a",
        "address": "127.0.0.1",
        "port": 5,
        "readiness": hosts_pb2.READINESS_UP,
        "size": 1.0,
    }
    return hosts_pb2.Host(**(fields | changes))


@pytest.mark.parametrize(
    "bad",
    [
        {"id": ""},
        {"address": ""},
        {"port": 0},
        {"group": 9},
        {"readiness": 0},
        {"size": -1.0},
        {"size": float("nan")},
    ],
)
def test_a_line_that_cannot_be_right_is_left_out(bad: dict[str, Any]) -> None:
    assert host_list.read_host(line(), 3) is not None
    assert host_list.read_host(line(**bad), 3) is None


def test_saved_lists_come_back_whole_or_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "hosts"
    host = host_list.read_host(line(started=7), 3)
    assert host is not None
    assert host_list.load(path, 3) == ([], 0) == host_list.load(None, 3)
    host_list.save(path, [host], 7)
    assert host_list.load(path, 3) == ([host], 7)
    assert [p.name for p in tmp_path.iterdir()] == ["hosts"]
    whole = path.read_bytes()
    for bad in (b"", whole[:-3], b"[]", whole.replace(b'"format":1', b'"format":9')):
        path.write_bytes(bad)
        with pytest.raises(ValueError, match="hosts"):
            host_list.load(path, 3)


def test_a_full_disk_costs_nothing_but_the_new_list(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "hosts"
    host = host_list.read_host(line(), 3)
    assert host is not None
    host_list.save(path, [host])

    def full(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="space"):
        host_list.save(path, [])
    assert host_list.load(path, 3) == ([host], 0)
    assert [p.name for p in tmp_path.iterdir()] == ["hosts"]


def test_a_listed_start_is_taken_for_later_than_it_may_be() -> None:
    host = host_list.read_host(line(started=5 * SEC), 3)
    assert host is not None and host.member(10 * MS).started_us == 5 * SEC + 10 * MS
    assert msgspec.json.decode(msgspec.json.encode(host), type=host_list.Host) == host


# Timing accidents.


async def test_the_deadline_and_the_answer_in_one_batch_give_one_answer(bench: Bench) -> None:
    answers, attempt = await started(bench, "loose", deadline_us=300 * MS)
    await trio.sleep(0.4)  # the module's timer is due long since
    bench.driver.enqueue(bench.done(attempt))
    await bench.turn()
    await bench.turn()
    assert [type(a) for a in answers] == [Served]
    assert not bench.driver._open


async def test_a_driver_that_stood_still_blames_no_member_for_what_it_missed(bench: Bench) -> None:
    _, attempt = await started(bench, "loose")
    await trio.sleep(0.5)
    bench.driver.enqueue(bench.done(attempt, Outcome.TIMEOUT))
    await bench.turn()
    state = bench.driver.router.members[attempt.member]
    assert not state.suspect and state.losses == 0
    assert bench.metrics.registry.get_sample_value("juniperreel_stalls_total") == 1


async def test_a_connection_that_opens_through_a_drain_notice_carries_nothing_after_the_grace(
    nursery: trio.Nursery,
) -> None:
    """The member accepts and does not speak: the attempt ends with the time to connect, unsent, and that is
    kept below half the grace by the settings' check."""
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    made = options()
    links = MemberLinks(made, TcpNetwork(), Clock(), random.Random(1))
    await nursery.start(links.run)
    links.place("m", "127.0.0.1", listener.port)
    sent = trio.Event()
    start = trio.current_time()
    with pytest.raises(Silent):
        await links.execute("m", Job(Work(0, 0, 0, 0, b""), 0, "own", False, 1.0, Needs()), SEC, sent)
    assert not sent.is_set()
    assert 2 * made.connect_timeout_us < made.router.drain_grace_us
    assert trio.current_time() - start < made.router.drain_grace_us / 1e6
    links.retire("m")
    nursery.cancel_scope.cancel()


async def test_an_older_configuration_does_not_take_a_restarted_edge_back(nursery: trio.Nursery) -> None:
    told: list[object] = []
    source = ConfigSource(
        options(instances=(("127.0.0.1", 1),)),
        TcpNetwork(),
        Clock(),
        random.Random(1),
        lambda kind, hosts: told.append(hosts),
        lambda *a, **k: None,
    )
    source.version = 5
    member = MemberInfo(0, "h", 1)
    for version in (4, 5, 6):
        source._take(msgspec.structs.replace(EMPTY, version=version, members=Map({"m": member})))
    assert len(told) == 2 and source.version == 6


async def test_an_edge_that_came_back_with_its_seed_names_its_requests_anew(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Found by the judge of rule 2: two requests of one id looked like two attempts of one request."""
    before = Bench(nursery)
    await trio.sleep(2)
    after = Bench(nursery)
    assert before.driver.options.seed == after.driver.options.seed
    names = []
    for bench in (before, after):
        work = Work(0, -1, 0, bench.clock.now_us() + SEC, b"x")
        bench.driver.enter(work)
        names.append(work.id)
    assert names[0] != names[1] and names[0].rsplit("-", 2)[0] == names[1].rsplit("-", 2)[0]
