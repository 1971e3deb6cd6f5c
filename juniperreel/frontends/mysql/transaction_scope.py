"""The state of one connection's transaction, and the plan for each statement that it implies. No I/O.

    none -> pending -> open -> none        pending: acknowledged to the client, not started at an endpoint

A transaction starts at an endpoint with its first statement, which is submitted as a request. Until then any
endpoint can be chosen, and an empty transaction needs no endpoint at all.
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

# Dependencies of statements, by the names that the statement classifier uses.
LAST_INSERT_ID = "last insert id"
LAST_STATEMENT = "last statement"
USER_VARIABLES = "user variables"
PREVIOUS_STATEMENT_DEPENDENCIES = frozenset({"row count", "found rows", LAST_STATEMENT})
CONNECTION_INDEPENDENT = frozenset({"system variables", "schema"})  # the same on all endpoint connections

CONNECTION_LOST = "the connection to its member was lost"
NO_EFFECT_QUERY = b"select 1"  # sent to an endpoint where the client's statement must not be
COMMIT_QUERY = b"commit"


class Action(Enum):
    """How a statement is executed."""

    ACKNOWLEDGE = "answer OK"
    SINGLE_REQUEST = "a request of its own"
    BEGIN_TRANSACTION = "a request that begins a transaction"
    RUN_IN_TRANSACTION = "to the endpoint that holds the transaction"
    END_TRANSACTION = "to the endpoint that holds it, and it is over"
    REJECT = "an error"


@dataclass(frozen=True, slots=True)
class Plan:
    """The action for a statement and its parameters."""

    action: Action
    transaction_mode: TransactionMode | None = None  # of the transaction that the statement begins
    may_commit: bool = False  # if the answer is lost, the effect is unknown
    query: bytes | None = None  # sent instead of the statement
    hides_result: bool = False  # the client gets an OK instead
    taints_connection: bool = False  # no other session may use the endpoint's connection afterwards
    assignments: tuple[tuple[str, str], ...] = ()  # session variables, set once an endpoint accepted them
    needs_insert_id: bool = False  # the session's last insert id must be set on the connection first
    error_code: ErrorCode = NOT_SUPPORTED
    error_message: str = ""


ACKNOWLEDGED = Plan(Action.ACKNOWLEDGE)


def rejected(message: str, code: ErrorCode = NOT_SUPPORTED) -> Plan:
    """The plan for a statement that is answered with an error."""
    return Plan(Action.REJECT, error_code=code, error_message=message)


class TransactionScope:
    """One connection's autocommit mode, transaction and last insert id."""

    def __init__(self, supports_transactions: bool, schema: str = "") -> None:
        """`supports_transactions` and `schema` are those of the endpoints; an empty schema is unknown."""
        self._supports_transactions = supports_transactions
        self._schema = schema
        self.autocommit = True
        self.pending: TransactionMode | None = None
        self.transaction: Transaction | None = None
        self.last_insert_id = 0  # as last reported to the client
        self.assigns_variables = False  # the transaction has set variables that cannot be replayed
        self._next_is_read_only = False
        self._open_is_read_only = False
        self._inserted_in_transaction = False
        self._statements_in_transaction = 0
        self._has_lost_variables = False  # an ended transaction had set variables that cannot be replayed

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

    def plan(self, classification: Classification) -> Plan:
        """Plan a statement. Session commands may change the state of the scope at once."""
        if self.transaction is not None and not self.transaction.open:
            return self._plan_after_loss(classification, self.transaction.abort_reason)
        if classification.session_command is not None:
            return self._plan_session_command(classification.session_command)
        reason = self._unsupported_reason(classification)
        if reason:
            return rejected(reason)
        plan = self._plan_statement(classification)
        inserted_here = self.transaction is not None and self._inserted_in_transaction
        return replace(
            plan, needs_insert_id=LAST_INSERT_ID in classification.dependencies and not inserted_here
        )

    def _plan_statement(self, classification: Classification) -> Plan:
        if self.read_only and classification.kind in (StatementKind.WRITE, StatementKind.LOCKING_READ):
            return rejected("Cannot execute statement in a READ ONLY transaction.", READ_ONLY_TRANSACTION)
        if self.transaction is not None:
            if classification.implicit_commit:
                return Plan(Action.END_TRANSACTION, may_commit=True)
            # An opaque statement may commit: if its answer is lost, its effect is unknown.
            return Plan(
                Action.RUN_IN_TRANSACTION,
                may_commit=classification.opaque,
                taints_connection=classification.opaque,
            )
        if classification.implicit_commit:
            self.pending = None  # the pending transaction ends empty
            return Plan(Action.SINGLE_REQUEST)
        if self.pending is not None or not self.autocommit:
            return self._begin_with_statement(taints_connection=classification.opaque)
        return Plan(Action.SINGLE_REQUEST, taints_connection=classification.opaque)

    def _begin_with_statement(self, taints_connection: bool = False) -> Plan:
        mode = self.pending or TransactionMode.READ_WRITE
        return Plan(Action.BEGIN_TRANSACTION, mode, taints_connection=taints_connection)

    def _plan_after_loss(self, classification: Classification, abort_reason: str) -> Plan:
        """Plan the first statement after the transaction was rolled back.

        Without an error, the statement would take effect outside of the transaction that the client assumes
        to be open.
        """
        self.on_transaction_ended()
        if (
            classification.session_command is not None
            and classification.session_command.verb is SessionVerb.ROLLBACK
        ):
            return ACKNOWLEDGED
        reason = abort_reason or CONNECTION_LOST
        return rejected(f"the transaction was rolled back: {reason}", TRANSACTION_ROLLED_BACK)

    def _plan_session_command(self, command: SessionCommand) -> Plan:
        match command.verb:
            case SessionVerb.NAMES:
                return ACKNOWLEDGED
            case SessionVerb.USE:
                return self._plan_use(command)
            case SessionVerb.COMMIT | SessionVerb.ROLLBACK:
                return self._plan_end(command)
            case SessionVerb.AUTOCOMMIT if command.enabled:
                return self._plan_autocommit_on()
        if not self._supports_transactions:
            return rejected("transactions need members that speak MySQL")
        return self._plan_transaction_command(command)

    def _plan_transaction_command(self, command: SessionCommand) -> Plan:
        """Plan session commands that need endpoints with transactions."""
        match command.verb:
            case SessionVerb.AUTOCOMMIT:
                self.autocommit = False
                return ACKNOWLEDGED
            case SessionVerb.BEGIN:
                return self._plan_begin(command)
            case SessionVerb.NEXT_TRANSACTION:
                self._next_is_read_only = command.read_only
                return ACKNOWLEDGED
            case SessionVerb.SAVEPOINT | SessionVerb.ROLLBACK_TO | SessionVerb.RELEASE:
                return self._plan_savepoint(command)
            case SessionVerb.SET:
                return self._plan_set(command)
            case _:
                return self._plan_computed_set()

    def _plan_use(self, command: SessionCommand) -> Plan:
        if self._schema and command.name.lower() == self._schema.lower():
            return ACKNOWLEDGED
        return rejected(f"another schema than {self._schema or 'that of the members'}", UNKNOWN_SCHEMA)

    def _plan_end(self, command: SessionCommand) -> Plan:
        if self.transaction is None:
            self.pending = None
            return ACKNOWLEDGED
        if command.verb is SessionVerb.ROLLBACK:
            return Plan(Action.END_TRANSACTION)
        return self._commit(None)

    def _plan_autocommit_on(self) -> Plan:
        if self.autocommit:
            return ACKNOWLEDGED  # without a change of mode nothing is committed
        self.autocommit = True
        self.pending = None
        return self._commit() if self.transaction is not None else ACKNOWLEDGED

    def _plan_computed_set(self) -> Plan:
        if self.transaction is None:
            return rejected("variables that are set to more than literals live within a transaction only")
        self.assigns_variables = True
        return Plan(Action.RUN_IN_TRANSACTION)

    def _plan_set(self, command: SessionCommand) -> Plan:
        """Plan the assignment of variables, which must be replayable on any connection.

        An endpoint has to accept them before the client gets its answer.
        """
        unsupported = [
            name
            for name, _ in command.assignments
            if not name.startswith("@") and name not in REPLAYABLE_VARIABLES
        ]
        if unsupported:
            return rejected(
                f"not among what is replayed on other connections: {', '.join(unsupported)[:200]}"
            )
        if self.transaction is not None:
            return Plan(Action.RUN_IN_TRANSACTION, assignments=command.assignments)
        return Plan(
            Action.SINGLE_REQUEST, query=NO_EFFECT_QUERY, hides_result=True, assignments=command.assignments
        )

    def _commit(self, query: bytes | None = COMMIT_QUERY) -> Plan:
        """Plan a commit. Only that of a read-only transaction cannot have an unknown effect."""
        return Plan(
            Action.END_TRANSACTION,
            may_commit=not self.read_only,
            query=query,
            hides_result=query is not None,
        )

    def _plan_begin(self, command: SessionCommand) -> Plan:
        if self.transaction is not None:
            # The open transaction is committed first; the caller then plans the statement again.
            return self._commit()
        self.begin(command)
        if command.snapshot:
            return Plan(Action.BEGIN_TRANSACTION, self.pending, query=NO_EFFECT_QUERY, hides_result=True)
        return ACKNOWLEDGED

    def begin(self, command: SessionCommand) -> None:
        """Make a transaction pending; any open transaction has been committed before."""
        read_only = command.read_only or self._next_is_read_only
        self.pending = TransactionMode.READ_ONLY if read_only else TransactionMode.READ_WRITE
        self._next_is_read_only = False

    def _plan_savepoint(self, command: SessionCommand) -> Plan:
        if self.transaction is not None:
            return Plan(Action.RUN_IN_TRANSACTION)
        if command.verb is not SessionVerb.SAVEPOINT:
            return rejected(f"SAVEPOINT {command.name[:64]} does not exist", NO_SUCH_SAVEPOINT)
        if self.pending is None and self.autocommit:
            return ACKNOWLEDGED  # as on a MySQL server, where it has no effect outside of a transaction
        return self._begin_with_statement()

    def _unsupported_reason(self, classification: Classification) -> str:
        """Why a statement cannot be served; empty if it can."""
        if self._assigns_variable_in_transaction(classification):
            self.assigns_variables = True
            return ""
        kind = classification.kind
        opaque = classification.opaque and self._supports_transactions
        dependencies = self._unmet_dependencies(classification)
        if dependencies and (
            opaque or kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.LOCKING_READ)
        ):
            return f"depends on its connection ({', '.join(sorted(dependencies))}), which others use too"
        if opaque or kind in (StatementKind.READ, StatementKind.WRITE):
            return ""
        if kind is StatementKind.LOCKING_READ:
            return "" if self._supports_transactions else "locking reads need members that speak MySQL"
        if kind is StatementKind.TRANSACTION:
            return f"not supported: {classification.reason} with these words"
        return f"not supported: {kind.value} ({classification.reason})"

    def _assigns_variable_in_transaction(self, classification: Classification) -> bool:
        if self.transaction is None:
            return False
        return classification.kind is StatementKind.SESSION and classification.reason == "assigns a variable"

    def _unmet_dependencies(self, classification: Classification) -> frozenset[str]:
        """The dependencies of a statement that this session cannot reproduce on the connection it gets."""
        dependencies = classification.dependencies - CONNECTION_INDEPENDENT
        if self._supports_transactions:
            dependencies -= {LAST_INSERT_ID}
            if self.assigns_variables or not self._has_lost_variables:
                dependencies -= {USER_VARIABLES}
        if self.transaction is not None and self._statements_in_transaction:
            dependencies -= PREVIOUS_STATEMENT_DEPENDENCIES
        return dependencies

    # Events.

    def on_transaction_opened(self, transaction: Transaction | None) -> None:
        """Record the answer to the first statement; `transaction` is None if it has already ended."""
        self._inserted_in_transaction = False
        self.assigns_variables = False
        self._statements_in_transaction = 1
        self._open_is_read_only = self.pending is TransactionMode.READ_ONLY and transaction is not None
        self.transaction = transaction
        self.pending = None

    def on_statement_answered(self, insert_id: int = 0) -> None:
        """Record the answer to a statement, inside or outside of a transaction."""
        if insert_id:
            self.last_insert_id = insert_id
            self._inserted_in_transaction = True
        self._statements_in_transaction += 1
        if self.transaction is not None and not self.transaction.open:
            self.on_transaction_ended()

    def on_transaction_ended(self) -> None:
        """Record the end of the transaction, whatever its outcome."""
        # Variables that were set on the transaction's connection would read as NULL on any other.
        self._has_lost_variables = self._has_lost_variables or self.assigns_variables
        self.assigns_variables = False
        self.transaction = None
        self.pending = None

    def reset(self) -> None:
        """Roll back the open transaction, since the client has disconnected or starts a new session."""
        if self.transaction is not None:
            self.transaction.release()
        self.on_transaction_ended()
        self._has_lost_variables = False
        self.autocommit = True
        self._next_is_read_only = False
