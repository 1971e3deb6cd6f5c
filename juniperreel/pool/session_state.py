"""Session state as a value, and the statement that replays it on another connection.

The state only contains what can be replayed exactly: certain system variables, and user variables, each set
to a literal. A connection on which a statement changed any other state cannot be reused.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from juniperreel.pool.errors import SessionStateTooLargeError

MAX_VARIABLES = 64  # per session
MAX_VARIABLE_BYTES = 4096  # names and values, per session

# System variables that may be set on any connection and only affect the execution of its statements.
REPLAYABLE_VARIABLES = frozenset(
    [
        "sql_mode",
        "time_zone",
        "foreign_key_checks",
        "unique_checks",
        "sql_safe_updates",
        "sql_select_limit",
        "sql_big_selects",
        "max_execution_time",
        "lock_wait_timeout",
        "innodb_lock_wait_timeout",
        "innodb_strict_mode",
        "net_read_timeout",
        "net_write_timeout",
        "wait_timeout",
        "interactive_timeout",
        "group_concat_max_len",
        "div_precision_increment",
        "lc_time_names",
        "transaction_isolation",
        "tx_isolation",
        "max_join_size",
        "sql_auto_is_null",
        "sql_notes",
        "sql_warnings",
        "optimizer_switch",
        "sort_buffer_size",
        "join_buffer_size",
        "tmp_table_size",
        "max_heap_table_size",
        "cte_max_recursion_depth",
        "default_storage_engine",
        "explicit_defaults_for_timestamp",
        "auto_increment_increment",
        "auto_increment_offset",
        "max_sort_length",
        "optimizer_prune_level",
        "optimizer_search_depth",
        "range_optimizer_max_mem_size",
    ]
)
# Variables that affect how a statement is parsed, and therefore how it was prepared.
PARSE_VARIABLES = frozenset({"sql_mode"})


@dataclass(frozen=True, slots=True)
class SessionState:
    """The variables set by a session.

    Attributes:
        variables: SQL literals by lower-case name; names of user variables include the `@`.
    """

    variables: Map[str, str] = field(default_factory=Map)

    def set(self, name: str, literal: str) -> SessionState:
        """Return the state with a variable set. Setting its default value removes it.

        Raises:
            SessionStateTooLargeError: The state exceeds `MAX_VARIABLES` or `MAX_VARIABLE_BYTES`.
        """
        name = name.lower()
        if literal.lower() == default_literal(name):
            return SessionState(self.variables.delete(name)) if name in self.variables else self
        variables = self.variables.set(name, literal)
        size = sum(len(key) + len(value) for key, value in variables.items())
        if len(variables) > MAX_VARIABLES or size > MAX_VARIABLE_BYTES:
            raise SessionStateTooLargeError(
                f"more than {MAX_VARIABLES} variables, or {MAX_VARIABLE_BYTES} bytes, set on one session"
            )
        return SessionState(variables)

    @property
    def parse_context(self) -> str:
        """The part of the state that affects how statements are parsed."""
        names = sorted(PARSE_VARIABLES & set(self.variables))
        return ";".join(f"{name}={self.variables[name]}" for name in names)

    def __bool__(self) -> bool:
        return bool(self.variables)


INITIAL_SESSION_STATE = SessionState()


def replay_statement(current: SessionState, target: SessionState) -> bytes | None:
    """Return the `set` statement that changes a connection between two states; None if they are equal.

    It is a single statement, which the server executes atomically.
    """
    if current == target:
        return None
    assignments = []
    for name in sorted(set(current.variables) | set(target.variables)):
        literal = target.variables.get(name)
        if current.variables.get(name) == literal:
            continue
        if literal is None:
            literal = default_literal(name)
        qualified_name = name if is_user_variable(name) else f"@@session.{name}"
        assignments.append(f"{qualified_name} = {literal}")
    return f"set {', '.join(assignments)}".encode()


def is_user_variable(name: str) -> bool:
    """Return whether a variable is a user variable rather than a system variable."""
    return name.startswith("@")


def default_literal(name: str) -> str:
    """Return the literal that resets a variable."""
    return "null" if is_user_variable(name) else "default"
