"""The classification of a statement: its kind, its connection dependencies, and its effect on the session."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class StatementKind(Enum):
    """What a statement does, as far as it is relevant to where the statement may run."""

    READ = "read"
    LOCKING_READ = "locking read"
    WRITE = "write"
    SIDE_EFFECT = "side effect"
    SESSION = "session change"
    TRANSACTION = "transaction control"
    UNKNOWN = "unknown"


class Dependency(StrEnum):
    """Connection state that a statement depends on or changes."""

    LAST_INSERT_ID = "last insert id"
    FOUND_ROWS = "found rows"
    ROW_COUNT = "row count"
    LAST_STATEMENT = "last statement"
    UNPARSED = "its last statement"  # too long to be parsed, but may refer to connection state
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
    USER_VARIABLES = "user variables"
    SET = "variables to literals"
    NAMES = "character set"
    NEXT_TRANSACTION = "the next transaction"
    USE = "schema"


class Assignment(NamedTuple):
    """A variable that is set to a literal. Names of user variables include the `@`."""

    name: str
    literal: str


@dataclass(frozen=True, slots=True)
class SessionCommand:
    """A statement that affects the session and no data.

    Attributes:
        enabled: For AUTOCOMMIT, whether it is enabled.
        read_only: For BEGIN and NEXT_TRANSACTION, whether the transaction is read-only.
        snapshot: For BEGIN, whether it takes a consistent snapshot immediately.
        name: The name of a savepoint or schema.
        assignments: The assignments of a SET.
    """

    verb: SessionVerb
    enabled: bool = False
    read_only: bool = False
    snapshot: bool = False
    name: str = ""
    assignments: tuple[Assignment, ...] = ()


@dataclass(frozen=True, slots=True)
class Classification:
    """The classification of a statement.

    Attributes:
        reason: Why it is not a plain read.
        dependencies: The connection state that it depends on or changes.
        tables: Its tables as far as they are known, in lower case, qualified as in the statement.
        session_command: Set if the statement affects nothing but the session.
        implicit_commit: Whether the server commits the open transaction before it runs the statement.
        opaque: Whether it may have effects that its text does not show.
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
        """Whether a replica may run it on any connection."""
        return self.kind is StatementKind.READ and not self.dependencies
