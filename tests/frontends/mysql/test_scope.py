"""A connection's transaction by its statements alone, against a model of what a server would do."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.frontends.mysql.scope import NO_SAVEPOINT, UNDONE, Do, Scope
from juniperreel.mysql.constants import Status
from juniperreel.pool.session_state import INITIAL_SESSION_STATE
from juniperreel.proxy import TransactionMode
from juniperreel.statements import classify_statement


class Member:
    """Stands for a transaction that a member holds."""

    def __init__(self) -> None:
        self.open = True
        self.tainted = False
        self.state = INITIAL_SESSION_STATE
        self.released = 0

    def release(self) -> None:
        self.open = False
        self.released += 1

    async def run(self, *_: Any, **__: Any) -> Any: ...

    async def finish(self, *_: Any, **__: Any) -> Any: ...


class Told:
    """A scope, and what came of each statement as a server would have it."""

    def __init__(self, able: bool = True) -> None:
        self.scope = Scope(able, "runs")
        self.member: Member | None = None
        self.log: list[str] = []

    def say(self, text: str, fails: bool = False) -> Do:
        """Plays the connection and a member that does as it is told."""
        while True:
            reading = classify_statement(text.encode())
            plan = self.scope.plan(reading)
            match plan.do:
                case Do.BEGIN:
                    self.member = Member()
                    self.log.append("begin ro" if plan.hold is TransactionMode.READ_ONLY else "begin")
                    self.log.append(text)
                    self.scope.opened(self.member)
                case Do.INSIDE:
                    self.log.append(text)
                    if fails and self.member is not None:
                        self.member.open = False
                    self.scope.ran()
                case Do.FINISH:
                    assert self.member is not None
                    self.log.append("commit" if plan.commits or reading.session_command is None else "end")
                    self.member.open = False
                    self.member = None
                    self.scope.over()
                    if reading.session_command is not None and reading.session_command.verb.value == "begin":
                        continue
                case Do.ALONE:
                    self.log.append("alone")
            return plan.do


def test_a_transaction_reaches_a_member_with_its_first_statement() -> None:
    told = Told()
    assert told.say("begin") is Do.NOTHING
    assert told.scope.status() & Status.IN_TRANSACTION
    assert told.say("commit") is Do.NOTHING and not told.scope.status() & Status.IN_TRANSACTION
    assert told.log == []
    told.say("begin")
    assert told.say("insert into t values (1)") is Do.BEGIN
    assert told.say("select * from t") is Do.INSIDE
    assert told.say("commit") is Do.FINISH
    assert told.say("select * from t") is Do.ALONE
    assert told.log == ["begin", "insert into t values (1)", "select * from t", "commit", "alone"]


def test_begin_within_a_transaction_commits_it_and_begins_another() -> None:
    told = Told()
    told.say("begin")
    told.say("insert into t values (1)")
    assert told.say("start transaction read only") is Do.NOTHING
    assert told.log[-1] == "commit" and told.scope.begun is TransactionMode.READ_ONLY
    assert told.scope.status() & Status.IN_READ_ONLY
    assert told.say("insert into t values (2)") is Do.REFUSE
    assert told.say("select 1") is Do.BEGIN and told.log[-2] == "begin ro"
    assert told.say("update t set a = 1") is Do.REFUSE
    assert told.say("select * from t for update") is Do.REFUSE


def test_a_snapshot_is_taken_at_once() -> None:
    told = Told()
    assert told.say("start transaction with consistent snapshot, read only") is Do.BEGIN


def test_autocommit_off_and_on() -> None:
    told = Told()
    assert told.say("set autocommit = 0") is Do.NOTHING
    assert not told.scope.status() & (Status.AUTOCOMMIT | Status.IN_TRANSACTION)
    assert told.say("select 1") is Do.BEGIN
    assert told.say("commit") is Do.FINISH
    assert told.say("insert into t values (1)") is Do.BEGIN
    assert told.say("set autocommit = 1") is Do.FINISH and told.log[-1] == "commit"
    assert told.scope.status() == Status.AUTOCOMMIT
    assert told.say("insert into t values (1)") is Do.ALONE


def test_what_commits_by_itself_ends_the_transaction() -> None:
    told = Told()
    told.say("begin")
    assert told.say("create table t (a int)") is Do.ALONE, "nothing was open yet"
    told.say("begin")
    told.say("insert into t values (1)")
    assert told.say("drop table t") is Do.FINISH
    assert told.say("rollback") is Do.NOTHING


def test_a_transaction_that_was_lost_is_told_once_and_nothing_runs_outside_of_it() -> None:
    """Danger: the next statement would take effect by itself, in the middle of what its client believes."""
    for last, expected in (
        ("insert into t values (2)", Do.REFUSE),
        ("commit", Do.REFUSE),
        ("rollback", Do.NOTHING),
    ):
        told = Told()
        told.say("begin")
        told.say("insert into t values (1)")
        assert told.member is not None
        told.member.open = False
        plan = told.scope.plan(classify_statement(last.encode()))
        assert plan.do is expected and (plan.do is Do.NOTHING or plan.code == UNDONE)
        assert told.scope.held is None
        assert told.say("select 1") is Do.ALONE


def test_savepoints_outside_of_transactions() -> None:
    told = Told()
    assert told.say("savepoint a") is Do.NOTHING
    plan = told.scope.plan(classify_statement(b"rollback to a"))
    assert plan.do is Do.REFUSE and plan.code == NO_SAVEPOINT
    told.say("begin")
    assert told.say("savepoint a") is Do.BEGIN
    assert told.say("rollback to a") is Do.INSIDE


def test_what_goes_with_a_session_and_what_does_not() -> None:
    told = Told()
    assert told.say("select last_insert_id() + 1") is Do.ALONE
    assert told.scope.plan(classify_statement(b"insert into t values (last_insert_id())")).insert_id
    assert not told.scope.plan(classify_statement(b"insert into t values (1)")).insert_id
    assert told.say("select found_rows()") is Do.REFUSE and told.say("select row_count()") is Do.REFUSE
    plan = told.scope.plan(classify_statement(b"set @a = 1, sql_mode = ''"))
    assert plan.do is Do.ALONE and plan.sets == (("@a", "1"), ("sql_mode", "''")) and plan.hide
    assert told.say("select @a") is Do.ALONE
    for text in ("set binlog_format = 'row'", "set @a = (select 1)", "set autocommit = 0, sql_mode = ''"):
        assert told.say(text) is Do.REFUSE, text
    told.say("begin")
    told.say("select 1")
    assert told.say("select found_rows(), row_count()") is Do.INSIDE
    assert told.scope.plan(classify_statement(b"select last_insert_id() + 1")).insert_id
    told.scope.ran(insert_id=5)
    assert not told.scope.plan(classify_statement(b"select last_insert_id() + 1")).insert_id, "its own"


def test_variables_that_cannot_be_replayed_are_read_only_where_they_were_set() -> None:
    """Danger: on another connection they would be NULL, and nobody would be told."""
    told = Told()
    told.say("begin")
    told.say("select 1")
    assert told.say("set @a = (select max(b) from t)") is Do.INSIDE and told.scope.assigned
    assert told.say("select @a") is Do.INSIDE
    told.say("commit")
    assert not told.scope.assigned
    assert told.say("select @a") is Do.REFUSE
    told.say("begin")
    told.say("select 1")
    assert told.say("select @a") is Do.REFUSE
    told.scope.leave()
    assert told.say("select @a") is Do.ALONE, "a new session has set nothing"


def test_members_that_hold_no_transactions() -> None:
    told = Told(able=False)
    for text in ("begin", "set autocommit = 0", "select * from t for update", "savepoint a", "set @a = 1"):
        assert told.say(text) is Do.REFUSE, text
    for text in ("commit", "rollback", "set autocommit = 1", "set names utf8mb4"):
        assert told.say(text) is Do.NOTHING, text
    assert told.say("insert into t values (1)") is Do.ALONE


def test_other_schemas_are_refused() -> None:
    told = Told()
    assert told.say("use RUNS") is Do.NOTHING and told.say("use other") is Do.REFUSE


def test_leaving_releases_what_is_open() -> None:
    told = Told()
    told.say("set autocommit = 0")
    told.say("select 1")
    member = told.member
    assert member is not None
    told.scope.leave()
    assert member.released == 1 and told.scope.status() == Status.AUTOCOMMIT


WORDS = [
    "begin",
    "commit",
    "rollback",
    "set autocommit = 0",
    "set autocommit = 1",
    "insert into t values (1)",
    "select 1",
    "create table t (a int)",
    "savepoint a",
]


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(WORDS), st.booleans()), max_size=25))
def test_flags_are_those_of_a_server_that_runs_the_same(words: list[tuple[str, bool]]) -> None:
    """A plain model of autocommit and transactions, without any laziness."""
    told = Told()
    auto, inside = True, False
    for text, _ in words:
        told.say(text)
        if text == "begin":
            inside = True
        elif text in ("commit", "rollback", "create table t (a int)"):
            inside = False
        elif text.startswith("set autocommit"):
            if text.endswith("1") and not auto:
                inside = False
            auto = text.endswith("1")
        elif not auto:
            inside = True  # a statement begins one
        status = told.scope.status()
        assert bool(status & Status.AUTOCOMMIT) == auto
        assert bool(status & Status.IN_TRANSACTION) == inside, (words, text)
