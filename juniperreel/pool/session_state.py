"""What a session has changed of its connection, as a value; and the statement that applies it to another one.

Only what can be replayed literally is part of the value: certain system variables, and user variables, each
with a literal. Whatever else a statement may change on a connection keeps that connection from being reused.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from juniperreel.pool.errors import SessionStateTooLargeError

MAX_VARIABLES = 64  # of one session
MAX_VARIABLE_BYTES = 4096  # names and values of one session together

# System variables that may be set on any connection, and only change how its statements are executed.
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
# Change how a statement's text is parsed, and so what was prepared from it.
PARSE_VARIABLES = frozenset({"sql_mode"})


@dataclass(frozen=True, slots=True)
class SessionState:
    """The variables that a session has set.

    Attributes:
        variables: SQL literals by lower-case name; names of user variables include their `@`.
    """

    variables: Map[str, str] = field(default_factory=Map)

    def set(self, name: str, literal: str) -> SessionState:
        """The state with one variable set; its default value removes it.

        Raises:
            SessionStateTooLargeError: More than `MAX_VARIABLES` or `MAX_VARIABLE_BYTES`.
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
        """The part of the state that changes how a statement's text is parsed."""
        names = sorted(PARSE_VARIABLES & set(self.variables))
        return ";".join(f"{name}={self.variables[name]}" for name in names)

    def __bool__(self) -> bool:
        return bool(self.variables)


INITIAL_SESSION_STATE = SessionState()


def replay_statement(current: SessionState, target: SessionState) -> bytes | None:
    """The `set` statement that takes a connection from one state to another; None if they are equal.

    It is a single statement, which the server executes completely or not at all.
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
    """Whether a variable is a user variable, not a system variable."""
    return name.startswith("@")


def default_literal(name: str) -> str:
    """The literal that resets a variable."""
    return "null" if is_user_variable(name) else "default"
