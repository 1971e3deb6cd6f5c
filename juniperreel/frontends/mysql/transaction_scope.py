"""The state of one connection's transaction, and the plan for each statement that it implies. No I/O.

    none -> pending -> open -> none        pending: acknowledged to the client, on no endpoint yet

A transaction reaches an endpoint with its first statement, which is its request: until then it may still go
anywhere, and one that is begun and committed with nothing in it costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from juniperreel.frontends.mysql.errors import (
    NO_SUCH_SAVEPOINT,
    NOT_SUPPORTED,
    READ_ONLY_TRANSACTION,
    TRANSACTION_ROLLED_BACK,
    UNKNOWN_SCHEMA,
    ErrorCode,
)
from juniperreel.mysql.constants import ServerStatus
from juniperreel.pool.session_state import REPLAYABLE_VARIABLES
from juniperreel.proxy import Transaction, TransactionMode
from juniperreel.statements import Classification, SessionCommand, SessionVerb, StatementKind

# What a statement may depend on, as the reader of statements names it.
LAST_INSERT_ID = "last insert id"
LAST_STATEMENT = "last statement"
USER_VARIABLES = "user variables"
OF_PREVIOUS_STATEMENT = frozenset({"row count", "found rows", LAST_STATEMENT})
CONNECTION_INDEPENDENT = frozenset({"system variables", "schema"})  # the same on each connection of endpoints

NO_EFFECT_QUERY = b"select 1"  # reaches an endpoint where the client's own statement must not
COMMIT_QUERY = b"commit"


class Action(Enum):
    """What is done with a statement."""

    ACKNOWLEDGE = "answer OK"
    SINGLE_REQUEST = "a request of its own"
    BEGIN_TRANSACTION = "a request that begins a transaction"
    RUN_IN_TRANSACTION = "to the endpoint that holds the transaction"
    END_TRANSACTION = "to the endpoint that holds it, and it is over"
    REJECT = "an error"


@dataclass(frozen=True, slots=True)
class Plan:
    """How a statement is carried out."""

    action: Action
    transaction_mode: TransactionMode | None = None  # of the transaction that it begins
    may_commit: bool = False  # a lost answer leaves its effect unknown
    query: bytes | None = None  # in place of the statement
    hides_result: bool = False  # the client sees an OK instead
    taints_connection: bool = False  # no other session may use the endpoint's connection afterwards
    assignments: tuple[tuple[str, str], ...] = ()  # session variables, once an endpoint has accepted them
    needs_insert_id: bool = False  # the connection must be given the session's last insert id before
    error_code: ErrorCode = NOT_SUPPORTED
    error_message: str = ""


ACKNOWLEDGED = Plan(Action.ACKNOWLEDGE)


def rejected(message: str, code: ErrorCode = NOT_SUPPORTED) -> Plan:
    """The plan for a statement that is answered with an error."""
    return Plan(Action.REJECT, error_code=code, error_message=message)


class TransactionScope:
    """One connection's autocommit mode, transaction and last insert id."""

    def __init__(self, supports_transactions: bool, schema: str = "") -> None:
        """`supports_transactions`: of the endpoints; `schema`: theirs, empty where it is not known."""
        self._supports_transactions = supports_transactions
        self._schema = schema
        self.autocommit = True
        self.pending: TransactionMode | None = None
        self.transaction: Transaction | None = None
        self.last_insert_id = 0  # as the client was given it
        self.assigns_variables = False  # within the transaction, to values that cannot be replayed
        self._next_is_read_only = False
        self._open_is_read_only = False
        self._inserted_in_transaction = False
        self._statements_in_transaction = 0
        self._lost_variables = False  # some were assigned in a transaction that has ended

    def status(self) -> int:
        """The protocol's status flags."""
        flags = int(ServerStatus.AUTOCOMMIT) if self.autocommit else 0
        if self.transaction is not None or self.pending is not None:
            flags |= ServerStatus.IN_TRANSACTION
            if self.read_only:
                flags |= ServerStatus.IN_READ_ONLY
        return flags

    @property
    def read_only(self) -> bool:
        """Whether the pending or open transaction is read-only."""
        if self.pending is TransactionMode.READ_ONLY:
            return True
        return self.transaction is not None and self._open_is_read_only

    # Planning.

    def plan(self, reading: Classification) -> Plan:
        """What to do with a statement. SessionCommand statements may change the state at once."""
        if self.transaction is not None and not self.transaction.open:
            return self._plan_after_loss(reading)
        if reading.session_command is not None:
            return self._plan_control(reading.session_command)
        reason = self._unsupported_reason(reading)
        if reason:
            return rejected(reason)
        plan = self._plan_statement(reading)
        inserted_here = self.transaction is not None and self._inserted_in_transaction
        return replace(plan, needs_insert_id=LAST_INSERT_ID in reading.dependencies and not inserted_here)

    def _plan_statement(self, reading: Classification) -> Plan:
        if self.read_only and reading.kind in (StatementKind.WRITE, StatementKind.LOCKING_READ):
            return rejected("Cannot execute statement in a READ ONLY transaction.", READ_ONLY_TRANSACTION)
        if self.transaction is not None:
            if reading.implicit_commit:
                return Plan(Action.END_TRANSACTION, may_commit=True)
            # An opaque statement may have committed: if its answer is lost, its effect is unknown.
            return Plan(
                Action.RUN_IN_TRANSACTION, may_commit=reading.opaque, taints_connection=reading.opaque
            )
        if reading.implicit_commit:
            self.pending = None  # the pending transaction ends before anything was in it
            return Plan(Action.SINGLE_REQUEST)
        if self.pending is not None or not self.autocommit:
            return self._begin_with_statement(taints_connection=reading.opaque)
        return Plan(Action.SINGLE_REQUEST, taints_connection=reading.opaque)

    def _begin_with_statement(self, taints_connection: bool = False) -> Plan:
        mode = self.pending or TransactionMode.READ_WRITE
        return Plan(Action.BEGIN_TRANSACTION, mode, taints_connection=taints_connection)

    def _plan_after_loss(self, reading: Classification) -> Plan:
        """The endpoint ended the transaction.

        Danger: without this error the next statement would take effect by itself, outside of the transaction
        that its client believes to be in.
        """
        self.on_transaction_ended()
        if reading.session_command is not None and reading.session_command.verb is SessionVerb.ROLLBACK:
            return ACKNOWLEDGED
        return rejected(
            "the transaction was undone: its time was over, or its member has left", TRANSACTION_ROLLED_BACK
        )

    def _plan_control(self, control: SessionCommand) -> Plan:
        match control.verb:
            case SessionVerb.NAMES:
                return ACKNOWLEDGED
            case SessionVerb.USE:
                return self._plan_use(control)
            case SessionVerb.COMMIT | SessionVerb.ROLLBACK:
                return self._plan_end(control)
            case SessionVerb.AUTOCOMMIT if control.enabled:
                return self._plan_autocommit_on()
        if not self._supports_transactions:
            return rejected("transactions need members that speak MySQL")
        return self._plan_transaction_control(control)

    def _plan_transaction_control(self, control: SessionCommand) -> Plan:
        """Statements that only endpoints which hold transactions can serve."""
        match control.verb:
            case SessionVerb.AUTOCOMMIT:
                self.autocommit = False
                return ACKNOWLEDGED
            case SessionVerb.BEGIN:
                return self._plan_begin(control)
            case SessionVerb.NEXT_TRANSACTION:
                self._next_is_read_only = control.read_only
                return ACKNOWLEDGED
            case SessionVerb.SAVEPOINT | SessionVerb.ROLLBACK_TO | SessionVerb.RELEASE:
                return self._plan_savepoint(control)
            case SessionVerb.SET:
                return self._plan_set(control)
            case _:
                return self._plan_computed_set()

    def _plan_use(self, control: SessionCommand) -> Plan:
        if self._schema and control.name.lower() == self._schema.lower():
            return ACKNOWLEDGED
        return rejected(f"another schema than {self._schema or 'that of the members'}", UNKNOWN_SCHEMA)

    def _plan_end(self, control: SessionCommand) -> Plan:
        if self.transaction is None:
            self.pending = None
            return ACKNOWLEDGED
        if control.verb is SessionVerb.ROLLBACK:
            return Plan(Action.END_TRANSACTION)
        return self._commit(None)

    def _plan_autocommit_on(self) -> Plan:
        if self.autocommit:
            return ACKNOWLEDGED  # only a change of the mode commits
        self.autocommit = True
        self.pending = None
        return self._commit() if self.transaction is not None else ACKNOWLEDGED

    def _plan_computed_set(self) -> Plan:
        if self.transaction is None:
            return rejected("variables that are set to more than literals live within a transaction only")
        self.assigns_variables = True
        return Plan(Action.RUN_IN_TRANSACTION)

    def _plan_set(self, control: SessionCommand) -> Plan:
        """Variables that can be replayed on any connection.

        An endpoint is asked to accept them before the client is answered.
        """
        others = [
            name
            for name, _ in control.assignments
            if not name.startswith("@") and name not in REPLAYABLE_VARIABLES
        ]
        if others:
            return rejected(f"not among what is replayed on other connections: {', '.join(others)[:200]}")
        if self.transaction is not None:
            return Plan(Action.RUN_IN_TRANSACTION, assignments=control.assignments)
        return Plan(
            Action.SINGLE_REQUEST, query=NO_EFFECT_QUERY, hides_result=True, assignments=control.assignments
        )

    def _commit(self, query: bytes | None = COMMIT_QUERY) -> Plan:
        """A read-only transaction has no effect that could be in doubt."""
        return Plan(
            Action.END_TRANSACTION,
            may_commit=not self.read_only,
            query=query,
            hides_result=query is not None,
        )

    def _plan_begin(self, control: SessionCommand) -> Plan:
        if self.transaction is not None:
            # The open transaction is committed first; the caller then plans the statement again.
            return self._commit()
        self.begin(control)
        if control.snapshot:
            return Plan(Action.BEGIN_TRANSACTION, self.pending, query=NO_EFFECT_QUERY, hides_result=True)
        return ACKNOWLEDGED

    def begin(self, control: SessionCommand) -> None:
        """Make a transaction pending, also after the commit that another `begin` implies."""
        read_only = control.read_only or self._next_is_read_only
        self.pending = TransactionMode.READ_ONLY if read_only else TransactionMode.READ_WRITE
        self._next_is_read_only = False

    def _plan_savepoint(self, control: SessionCommand) -> Plan:
        if self.transaction is not None:
            return Plan(Action.RUN_IN_TRANSACTION)
        if control.verb is not SessionVerb.SAVEPOINT:
            return rejected(f"SAVEPOINT {control.name[:64]} does not exist", NO_SUCH_SAVEPOINT)
        if self.pending is None and self.autocommit:
            return ACKNOWLEDGED  # as on a server, where it marks nothing outside of a transaction
        return self._begin_with_statement()

    def _unsupported_reason(self, reading: Classification) -> str:
        """Why a statement cannot be served; empty if it can."""
        if self._assigns_variable_in_transaction(reading):
            self.assigns_variables = True
            return ""
        kind = reading.kind
        opaque = reading.opaque and self._supports_transactions
        dependencies = self._unmet_dependencies(reading)
        if dependencies and (
            opaque or kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.LOCKING_READ)
        ):
            return f"depends on its connection ({', '.join(sorted(dependencies))}), which others use too"
        if opaque or kind in (StatementKind.READ, StatementKind.WRITE):
            return ""
        if kind is StatementKind.LOCKING_READ:
            return "" if self._supports_transactions else "locking reads need members that speak MySQL"
        if kind is StatementKind.TRANSACTION:
            return f"not supported: {reading.reason} with these words"
        return f"not supported: {kind.value} ({reading.reason})"

    def _assigns_variable_in_transaction(self, reading: Classification) -> bool:
        if self.transaction is None:
            return False
        return reading.kind is StatementKind.SESSION and reading.reason == "assigns a variable"

    def _unmet_dependencies(self, reading: Classification) -> frozenset[str]:
        """What a statement needs of its connection that this session cannot provide on any other."""
        dependencies = reading.dependencies - CONNECTION_INDEPENDENT
        if self._supports_transactions:
            dependencies -= {LAST_INSERT_ID}
            if self.assigns_variables or not self._lost_variables:
                dependencies -= {USER_VARIABLES}
        if self.transaction is not None and self._statements_in_transaction:
            dependencies -= OF_PREVIOUS_STATEMENT
        return dependencies

    # Events.

    def on_transaction_opened(self, transaction: Transaction | None) -> None:
        """The first statement was answered; None where that ended the transaction."""
        self._inserted_in_transaction = False
        self.assigns_variables = False
        self._statements_in_transaction = 1
        self._open_is_read_only = self.pending is TransactionMode.READ_ONLY and transaction is not None
        self.transaction = transaction
        self.pending = None

    def on_statement_answered(self, insert_id: int = 0) -> None:
        """A statement was answered, in a transaction or alone."""
        if insert_id:
            self.last_insert_id = insert_id
            self._inserted_in_transaction = True
        self._statements_in_transaction += 1
        if self.transaction is not None and not self.transaction.open:
            self.on_transaction_ended()

    def on_transaction_ended(self) -> None:
        """The transaction is over, whatever became of it."""
        # Danger: variables assigned on the transaction's connection are on no other; read there they would be
        # NULL.
        self._lost_variables = self._lost_variables or self.assigns_variables
        self.assigns_variables = False
        self.transaction = None
        self.pending = None

    def reset(self) -> None:
        """The client has disconnected or starts a new session: roll back what is open."""
        if self.transaction is not None:
            self.transaction.release()
        self.on_transaction_ended()
        self._lost_variables = False
        self.autocommit = True
        self._next_is_read_only = False
