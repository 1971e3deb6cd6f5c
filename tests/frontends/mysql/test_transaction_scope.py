"""The transaction scope of a connection: plans for statements, also compared with a model of a server."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.frontends.mysql.errors import NO_SUCH_SAVEPOINT, TRANSACTION_ROLLED_BACK
from juniperreel.frontends.mysql.transaction_scope import Action, TransactionScope
from juniperreel.mysql.constants import ServerStatus
from juniperreel.pool.session_state import INITIAL_SESSION_STATE
from juniperreel.proxy import TransactionMode
from juniperreel.statements import classify_statement


class FakeTransaction:
    """A transaction that an endpoint holds."""

    def __init__(self) -> None:
        self.open = True
        self.abort_reason = ""
        self.tainted = False
        self.state = INITIAL_SESSION_STATE
        self.released = 0

    def release(self) -> None:
        self.open = False
        self.released += 1

    async def run(self, *_args: Any, **_options: Any) -> Any: ...

    async def finish(self, *_args: Any, **_options: Any) -> Any: ...


class ScopeHarness:
    """A scope, and a log of what endpoints received for each statement."""

    def __init__(self, supports_transactions: bool = True) -> None:
        self.scope = TransactionScope(supports_transactions, "runs")
        self.transaction: FakeTransaction | None = None
        self.log: list[str] = []

    def execute(self, text: str, fails: bool = False) -> Action:
        """Plan a statement and act as the connection and the endpoint that execute the plan."""
        while True:
            reading = classify_statement(text.encode())
            plan = self.scope.plan(reading)
            match plan.action:
                case Action.BEGIN_TRANSACTION:
                    self.transaction = FakeTransaction()
                    self.log.append(
                        "begin ro" if plan.transaction_mode is TransactionMode.READ_ONLY else "begin"
                    )
                    self.log.append(text)
                    self.scope.on_transaction_opened(self.transaction)
                case Action.RUN_IN_TRANSACTION:
                    self.log.append(text)
                    if fails and self.transaction is not None:
                        self.transaction.open = False
                    self.scope.on_statement_answered()
                case Action.END_TRANSACTION:
                    assert self.transaction is not None
                    self.log.append("commit" if plan.may_commit or reading.session_command is None else "end")
                    self.transaction.open = False
                    self.transaction = None
                    self.scope.on_transaction_ended()
                    if reading.session_command is not None and reading.session_command.verb.value == "begin":
                        continue
                case Action.SINGLE_REQUEST:
                    self.log.append("alone")
            return plan.action


@pytest.fixture
def harness() -> ScopeHarness:
    return ScopeHarness()


def test_begin_before_any_statement_reaches_no_endpoint(harness: ScopeHarness) -> None:
    assert harness.execute("begin") is Action.ACKNOWLEDGE
    assert harness.scope.status() & ServerStatus.IN_TRANSACTION
    assert harness.execute("commit") is Action.ACKNOWLEDGE
    assert not harness.scope.status() & ServerStatus.IN_TRANSACTION
    assert harness.log == []
    harness.execute("begin")
    assert harness.execute("insert into t values (1)") is Action.BEGIN_TRANSACTION
    assert harness.execute("select * from t") is Action.RUN_IN_TRANSACTION
    assert harness.execute("commit") is Action.END_TRANSACTION
    assert harness.execute("select * from t") is Action.SINGLE_REQUEST
    assert harness.log == ["begin", "insert into t values (1)", "select * from t", "commit", "alone"]


def test_begin_within_a_transaction_commits_it_and_begins_another(harness: ScopeHarness) -> None:
    harness.execute("begin")
    harness.execute("insert into t values (1)")
    assert harness.execute("start transaction read only") is Action.ACKNOWLEDGE
    assert harness.log[-1] == "commit"
    assert harness.scope.pending is TransactionMode.READ_ONLY
    assert harness.scope.status() & ServerStatus.IN_READ_ONLY
    assert harness.execute("insert into t values (2)") is Action.REJECT
    assert harness.execute("select 1") is Action.BEGIN_TRANSACTION
    assert harness.log[-2] == "begin ro"
    assert harness.execute("update t set a = 1") is Action.REJECT
    assert harness.execute("select * from t for update") is Action.REJECT


def test_begin_with_consistent_snapshot_opens_the_transaction_at_once(harness: ScopeHarness) -> None:
    assert (
        harness.execute("start transaction with consistent snapshot, read only") is Action.BEGIN_TRANSACTION
    )


def test_autocommit_switched_off_and_on_begins_and_commits(harness: ScopeHarness) -> None:
    assert harness.execute("set autocommit = 0") is Action.ACKNOWLEDGE
    assert not harness.scope.status() & (ServerStatus.AUTOCOMMIT | ServerStatus.IN_TRANSACTION)
    assert harness.execute("select 1") is Action.BEGIN_TRANSACTION
    assert harness.execute("commit") is Action.END_TRANSACTION
    assert harness.execute("insert into t values (1)") is Action.BEGIN_TRANSACTION
    assert harness.execute("set autocommit = 1") is Action.END_TRANSACTION
    assert harness.log[-1] == "commit"
    assert harness.scope.status() == ServerStatus.AUTOCOMMIT
    assert harness.execute("insert into t values (1)") is Action.SINGLE_REQUEST


def test_ddl_within_a_transaction_ends_it(harness: ScopeHarness) -> None:
    harness.execute("begin")
    assert harness.execute("create table t (a int)") is Action.SINGLE_REQUEST, "no transaction was open yet"
    harness.execute("begin")
    harness.execute("insert into t values (1)")
    assert harness.execute("drop table t") is Action.END_TRANSACTION
    assert harness.execute("rollback") is Action.ACKNOWLEDGE


def test_next_statement_after_the_endpoint_ended_the_transaction_is_rejected_once() -> None:
    """Guards against a statement that takes effect outside of the transaction its client takes for open."""
    for statement, expected in (
        ("insert into t values (2)", Action.REJECT),
        ("commit", Action.REJECT),
        ("rollback", Action.ACKNOWLEDGE),
    ):
        harness = ScopeHarness()
        harness.execute("begin")
        harness.execute("insert into t values (1)")
        assert harness.transaction is not None
        harness.transaction.open = False
        plan = harness.scope.plan(classify_statement(statement.encode()))
        assert plan.action is expected
        assert plan.action is Action.ACKNOWLEDGE or plan.error_code == TRANSACTION_ROLLED_BACK
        assert harness.scope.transaction is None
        assert harness.execute("select 1") is Action.SINGLE_REQUEST


def test_savepoints_outside_of_a_transaction_begin_one_or_are_acknowledged(harness: ScopeHarness) -> None:
    assert harness.execute("savepoint a") is Action.ACKNOWLEDGE
    plan = harness.scope.plan(classify_statement(b"rollback to a"))
    assert plan.action is Action.REJECT
    assert plan.error_code == NO_SUCH_SAVEPOINT
    harness.execute("begin")
    assert harness.execute("savepoint a") is Action.BEGIN_TRANSACTION
    assert harness.execute("rollback to a") is Action.RUN_IN_TRANSACTION


def test_statements_that_depend_on_the_session_run_where_it_can_be_replayed(harness: ScopeHarness) -> None:
    assert harness.execute("select last_insert_id() + 1") is Action.SINGLE_REQUEST
    assert harness.scope.plan(classify_statement(b"insert into t values (last_insert_id())")).needs_insert_id
    assert not harness.scope.plan(classify_statement(b"insert into t values (1)")).needs_insert_id
    assert harness.execute("select found_rows()") is Action.REJECT
    assert harness.execute("select row_count()") is Action.REJECT
    plan = harness.scope.plan(classify_statement(b"set @a = 1, sql_mode = ''"))
    assert plan.action is Action.SINGLE_REQUEST
    assert plan.assignments == (("@a", "1"), ("sql_mode", "''"))
    assert plan.hides_result
    assert harness.execute("select @a") is Action.SINGLE_REQUEST
    for text in ("set binlog_format = 'row'", "set @a = (select 1)", "set autocommit = 0, sql_mode = ''"):
        assert harness.execute(text) is Action.REJECT, text
    harness.execute("begin")
    harness.execute("select 1")
    assert harness.execute("select found_rows(), row_count()") is Action.RUN_IN_TRANSACTION
    assert harness.scope.plan(classify_statement(b"select last_insert_id() + 1")).needs_insert_id
    harness.scope.on_statement_answered(insert_id=5)
    assert not harness.scope.plan(classify_statement(b"select last_insert_id() + 1")).needs_insert_id, (
        "the connection has its own insert id"
    )


def test_computed_variables_after_their_transaction_are_rejected(harness: ScopeHarness) -> None:
    """Guards against variables that silently read as NULL on another connection."""
    harness.execute("begin")
    harness.execute("select 1")
    assert harness.execute("set @a = (select max(b) from t)") is Action.RUN_IN_TRANSACTION
    assert harness.scope.assigns_variables
    assert harness.execute("select @a") is Action.RUN_IN_TRANSACTION
    harness.execute("commit")
    assert not harness.scope.assigns_variables
    assert harness.execute("select @a") is Action.REJECT
    harness.execute("begin")
    harness.execute("select 1")
    assert harness.execute("select @a") is Action.REJECT
    harness.scope.reset()
    assert harness.execute("select @a") is Action.SINGLE_REQUEST, "a new session has lost no variables"


def test_statements_without_transaction_support_are_acknowledged_or_rejected() -> None:
    harness = ScopeHarness(supports_transactions=False)
    for text in ("begin", "set autocommit = 0", "select * from t for update", "savepoint a", "set @a = 1"):
        assert harness.execute(text) is Action.REJECT, text
    for text in ("commit", "rollback", "set autocommit = 1", "set names utf8mb4"):
        assert harness.execute(text) is Action.ACKNOWLEDGE, text
    assert harness.execute("insert into t values (1)") is Action.SINGLE_REQUEST


def test_use_of_another_schema_is_rejected(harness: ScopeHarness) -> None:
    assert harness.execute("use RUNS") is Action.ACKNOWLEDGE
    assert harness.execute("use other") is Action.REJECT


def test_reset_with_an_open_transaction_releases_it(harness: ScopeHarness) -> None:
    harness.execute("set autocommit = 0")
    harness.execute("select 1")
    transaction = harness.transaction
    assert transaction is not None
    harness.scope.reset()
    assert transaction.released == 1
    assert harness.scope.status() == ServerStatus.AUTOCOMMIT


STATEMENTS = [
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
@given(st.lists(st.tuples(st.sampled_from(STATEMENTS), st.booleans()), max_size=25))
def test_status_flags_for_any_statements_match_a_model_server(statements: list[tuple[str, bool]]) -> None:
    """The model has autocommit and transactions, but no pending state."""
    harness = ScopeHarness()
    autocommit = True
    in_transaction = False
    for text, _ in statements:
        harness.execute(text)
        if text == "begin":
            in_transaction = True
        elif text in ("commit", "rollback", "create table t (a int)"):
            in_transaction = False
        elif text.startswith("set autocommit"):
            if text.endswith("1") and not autocommit:
                in_transaction = False
            autocommit = text.endswith("1")
        elif not autocommit:
            in_transaction = True  # without autocommit, any other statement begins a transaction
        status = harness.scope.status()
        assert bool(status & ServerStatus.AUTOCOMMIT) == autocommit
        assert bool(status & ServerStatus.IN_TRANSACTION) == in_transaction, (statements, text)
