"""A connection's transaction, and what each statement does to it. No I/O.

    none -> begun -> open -> none        begun: told to the client, at no member yet

A transaction reaches a member with its first statement, which is its request: so it may still go anywhere
until then, and one that is begun and committed with nothing in it costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from juniperreel.mysql.constants import Status
from juniperreel.pool.session_state import REPLAYABLE_VARIABLES
from juniperreel.proxy import Transaction, TransactionMode
from juniperreel.statements import Classification, SessionCommand, SessionVerb, StatementKind

NOT_SUPPORTED = (1235, "42000")
NO_SAVEPOINT = (1305, "42000")
READ_ONLY = (1792, "25006")
UNDONE = (1213, "40001")  # what clients know to begin again after

# What a statement may depend on within the transaction that made it so.
SINCE_INSERT, SINCE_STATEMENT, SINCE_VARIABLE = "last insert id", "last statement", "user variables"
OF_STATEMENT = frozenset({"row count", "found rows", SINCE_STATEMENT})
HARMLESS = frozenset({"system variables", "schema"})  # the same on each connection that members give us


class Do(Enum):
    NOTHING = "answer OK"
    ALONE = "a request of its own"
    BEGIN = "a request that begins a transaction"
    INSIDE = "to the member that holds the transaction"
    FINISH = "to the member that holds it, and it is over"
    REFUSE = "an error"


@dataclass(frozen=True, slots=True)
class Plan:
    """`text` in place of the statement; `hide` its answer behind an OK. `code`, `words` of an error."""

    do: Do
    hold: TransactionMode | None = None
    commits: bool = False
    text: bytes | None = None
    hide: bool = False
    taint: bool = False  # nobody else may have its connection afterwards
    sets: tuple[tuple[str, str], ...] = ()  # of the session, once a member has taken them
    insert_id: bool = False  # the connection must be told the session's last one before
    code: tuple[int, str] = NOT_SUPPORTED
    words: str = ""


def refuse(words: str, code: tuple[int, str] = NOT_SUPPORTED) -> Plan:
    return Plan(Do.REFUSE, code=code, words=words)


OK = Plan(Do.NOTHING)


class Scope:
    """One connection's. `transactions`: whether members can hold any; `schema`: theirs, where it is known."""

    def __init__(self, transactions: bool, schema: str = "") -> None:
        self._able, self._schema = transactions, schema
        self.autocommit = True
        self.begun: TransactionMode | None = None
        self.held: Transaction | None = None
        self.insert_id = 0  # as the last insert of this connection was told
        self._next_read_only = self._held_read_only = False
        self._inserted = self.assigned = False  # an id, user variables: within the transaction
        self._statements = 0
        self._forgot = False  # user variables that cannot be replayed

    def status(self) -> int:
        """The protocol's flags."""
        flags = int(Status.AUTOCOMMIT) if self.autocommit else 0
        if self.held is not None or self.begun is not None:
            flags |= Status.IN_TRANSACTION
            if self.read_only:
                flags |= Status.IN_READ_ONLY
        return flags

    @property
    def read_only(self) -> bool:
        """Of the transaction that is begun or open."""
        return self.begun is TransactionMode.READ_ONLY or (self.held is not None and self._held_read_only)

    # What is to be done.

    def plan(self, reading: Classification) -> Plan:
        if self.held is not None and not self.held.open:
            return self._lost(reading)
        if reading.session_command is not None:
            return self._control(reading.session_command)
        words = self._unsupported(reading)
        if words:
            return refuse(words)
        plan = self._plan(reading)
        own = self.held is not None and self._inserted
        return replace(plan, insert_id=SINCE_INSERT in reading.dependencies and not own)

    def _plan(self, reading: Classification) -> Plan:
        if self.read_only and reading.kind in (StatementKind.WRITE, StatementKind.LOCKING_READ):
            return refuse("Cannot execute statement in a READ ONLY transaction.", READ_ONLY)
        if self.held is not None:
            if reading.implicit_commit:
                return Plan(Do.FINISH, commits=True)
            # What is not all known may have committed: its loss is told as unknown.
            return Plan(Do.INSIDE, commits=reading.opaque, taint=reading.opaque)
        if reading.implicit_commit:
            self.begun = None  # what was begun is over before anything was in it
            return Plan(Do.ALONE)
        if self.begun is not None or not self.autocommit:
            return Plan(Do.BEGIN, self.begun or TransactionMode.READ_WRITE, taint=reading.opaque)
        return Plan(Do.ALONE, taint=reading.opaque)

    def _lost(self, reading: Classification) -> Plan:
        """Its member ended it. Danger: the next statement must not run as if nothing had happened, outside of
        the transaction that its client believes in."""
        self.over()
        if reading.session_command is not None and reading.session_command.verb is SessionVerb.ROLLBACK:
            return OK
        return refuse("the transaction was undone: its time was over, or its member has left", UNDONE)

    def _control(self, c: SessionCommand) -> Plan:
        match c.verb:
            case SessionVerb.NAMES:
                return OK
            case SessionVerb.USE:
                if self._schema and c.name.lower() == self._schema.lower():
                    return OK
                return refuse(f"another schema than {self._schema or 'that of the members'}", (1049, "42000"))
            case SessionVerb.COMMIT | SessionVerb.ROLLBACK if self.held is None:
                self.begun = None
                return OK
            case SessionVerb.COMMIT:
                return self._commit(None)
            case SessionVerb.ROLLBACK:
                return Plan(Do.FINISH)
            case SessionVerb.AUTOCOMMIT if c.enabled and self.autocommit:
                return OK  # it commits where it changes something, and not else
            case SessionVerb.AUTOCOMMIT if c.enabled:
                self.autocommit = True
                self.begun = None
                return self._commit() if self.held is not None else OK
        if not self._able:
            return refuse("transactions need members that speak MySQL")
        match c.verb:
            case SessionVerb.AUTOCOMMIT:
                self.autocommit = False
                return OK
            case SessionVerb.BEGIN:
                return self._begin(c)
            case SessionVerb.NEXT:
                self._next_read_only = c.read_only
                return OK
            case SessionVerb.SAVEPOINT | SessionVerb.ROLLBACK_TO | SessionVerb.RELEASE:
                return self._savepoint(c)
            case SessionVerb.SET:
                return self._set(c)
            case _:
                if self.held is None:
                    return refuse(
                        "variables that are set to more than literals live within a transaction only"
                    )
                self.assigned = True
                return Plan(Do.INSIDE)

    def _set(self, c: SessionCommand) -> Plan:
        """What can be replayed on any connection. A member is asked to take it before the client is told
        so."""
        others = [
            name for name, _ in c.assignments if not name.startswith("@") and name not in REPLAYABLE_VARIABLES
        ]
        if others:
            return refuse(f"not among what is replayed on other connections: {', '.join(others)[:200]}")
        if self.held is not None:
            return Plan(Do.INSIDE, sets=c.assignments)
        return Plan(Do.ALONE, text=b"select 1", hide=True, sets=c.assignments)

    def _commit(self, text: bytes | None = b"commit") -> Plan:
        """One that only read has nothing whose effect could be in doubt."""
        return Plan(Do.FINISH, commits=not self.read_only, text=text, hide=text is not None)

    def _begin(self, c: SessionCommand) -> Plan:
        if self.held is not None:
            # It commits what is open, and begins when that is done.
            return self._commit()
        self.begin(c)
        if c.snapshot:
            return Plan(Do.BEGIN, self.begun, text=b"select 1", hide=True)
        return OK

    def begin(self, c: SessionCommand) -> None:
        """Also after the commit that another `begin` implies."""
        read_only = c.read_only or self._next_read_only
        self.begun = TransactionMode.READ_ONLY if read_only else TransactionMode.READ_WRITE
        self._next_read_only = False

    def _savepoint(self, c: SessionCommand) -> Plan:
        if self.held is not None:
            return Plan(Do.INSIDE)
        if c.verb is not SessionVerb.SAVEPOINT:
            return refuse(f"SAVEPOINT {c.name[:64]} does not exist", NO_SAVEPOINT)
        if self.begun is None and self.autocommit:
            return OK  # as servers do: it marks nothing
        return Plan(Do.BEGIN, self.begun or TransactionMode.READ_WRITE)

    def _unsupported(self, reading: Classification) -> str:
        """Why a statement can't be served; empty if it can."""
        kind, depends = reading.kind, reading.dependencies - HARMLESS
        if self._able:
            depends -= {SINCE_INSERT}
            if self.assigned or not self._forgot:
                depends -= {SINCE_VARIABLE}
        if self.held is not None:
            if self._statements:
                depends -= OF_STATEMENT
            if kind is StatementKind.SESSION and reading.reason == "assigns a variable":
                self.assigned = True
                return ""
        opaque = reading.opaque and self._able
        if depends and (
            opaque or kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.LOCKING_READ)
        ):
            return f"depends on its connection ({', '.join(sorted(depends))}), which others use too"
        if opaque or kind in (StatementKind.READ, StatementKind.WRITE):
            return ""
        if kind is StatementKind.LOCKING_READ:
            return "" if self._able else "locking reads need members that speak MySQL"
        if kind is StatementKind.TRANSACTION:
            return f"not supported: {reading.reason} with these words"
        return f"not supported: {kind.value} ({reading.reason})"

    # What came of it.

    def opened(self, held: Transaction | None) -> None:
        """Its first statement was answered; None where that ended it."""
        self._inserted = self.assigned = False
        self._statements = 1
        self._held_read_only = self.begun is TransactionMode.READ_ONLY and held is not None
        self.held, self.begun = held, None

    def ran(self, insert_id: int = 0) -> None:
        """A statement was answered, in a transaction or alone."""
        if insert_id:
            self.insert_id = insert_id
            self._inserted = True
        self._statements += 1
        if self.held is not None and not self.held.open:
            self.over()

    def over(self) -> None:
        # Danger: what was assigned on the transaction's connection is on no other; read there it would be
        # NULL.
        self._forgot = self._forgot or self.assigned
        self.assigned = False
        self.held = self.begun = None

    def leave(self) -> None:
        """The client is gone, or starts afresh: what is open is undone."""
        if self.held is not None:
            self.held.release()
        self.over()
        self._forgot = False
        self.autocommit, self._next_read_only = True, False
