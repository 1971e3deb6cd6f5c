"""What is known of a statement: its kind, what it needs of its connection, what it does to its session."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class StatementKind(Enum):
    """What a statement does, as far as it matters for where it may run."""

    READ = "read"
    LOCKING_READ = "locking read"
    WRITE = "write"
    SIDE_EFFECT = "side effect"
    SESSION = "session change"
    TRANSACTION = "transaction control"
    UNKNOWN = "unknown"


class Dependency(StrEnum):
    """State of a connection that a statement's effect or result depends on, or that it changes."""

    LAST_INSERT_ID = "last insert id"
    FOUND_ROWS = "found rows"
    ROW_COUNT = "row count"
    LAST_STATEMENT = "last statement"
    UNREAD = "its last statement"  # of a statement that is too long to be read
    CONNECTION = "connection"
    SCHEMA = "schema"
    USER = "user"
    LOCKS = "locks"
    TEMPORARY_TABLES = "temporary tables"
    TRANSACTION_STATE = "transaction state"
    USER_VARIABLES = "user variables"
    SESSION_VARIABLES = "session variables"
    SYSTEM_VARIABLES = "system variables"


class SessionVerb(Enum):
    """What a session command does."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    ROLLBACK_TO = "rollback to"
    RELEASE = "release savepoint"
    AUTOCOMMIT = "autocommit"
    VARIABLES = "user variables"
    SET = "variables to literals"
    NAMES = "character set"
    NEXT = "the next transaction"
    USE = "schema"


class Assignment(NamedTuple):
    """A variable that is set to a literal; names of user variables include their `@`."""

    name: str
    literal: str


@dataclass(frozen=True, slots=True)
class SessionCommand:
    """A statement that is about the session and not about data.

    Attributes:
        enabled: Of AUTOCOMMIT, whether it is switched on.
        read_only: Of BEGIN and NEXT, whether the transaction may not write.
        snapshot: Of BEGIN, whether it takes a consistent snapshot at once.
        name: Of a savepoint or a schema.
        assignments: Of SET.
    """

    verb: SessionVerb
    enabled: bool = False
    read_only: bool = False
    snapshot: bool = False
    name: str = ""
    assignments: tuple[Assignment, ...] = ()


@dataclass(frozen=True, slots=True)
class Classification:
    """What is known of a statement.

    Attributes:
        reason: Why it is not a plain read.
        dependencies: What of its connection it needs, or leaves changed there.
        tables: Its tables as far as they are known, in lower case, qualified as written.
        session_command: Set if it is about its session and nothing else.
        implicit_commit: Whether it commits the open transaction before it runs.
        opaque: Whether it may do more than its text shows.
    """

    kind: StatementKind
    reason: str = ""
    dependencies: frozenset[Dependency] = frozenset()
    tables: frozenset[str] = frozenset()
    session_command: SessionCommand | None = None
    implicit_commit: bool = False
    opaque: bool = False

    @property
    def replica_safe(self) -> bool:
        """Whether a replica may run it, on any connection."""
        return self.kind is StatementKind.READ and not self.dependencies
