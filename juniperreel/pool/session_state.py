"""What a session has changed of its connection, as a value; and the statement that takes a connection there.

Only what is replayed word for word is kept here: system variables of a list and user variables, each with a
literal. Whatever else a statement may leave on a connection keeps that connection from being lent again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

MOST = 64  # variables of one session
MOST_BYTES = 4096  # of all their values

# Session variables that may be set on any connection, and change nothing there but the meaning of statements.
REPLAYED = frozenset(
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
PARSED = frozenset({"sql_mode"})  # change how a text reads, and so what was prepared from it


class TooMuch(ValueError):
    """More than is kept of one session."""


@dataclass(frozen=True, slots=True)
class SessionState:
    """`variables` by lower-case name, user variables with their `@`; values as SQL literals."""

    variables: Map[str, str] = field(default_factory=Map)

    def set(self, name: str, literal: str) -> SessionState:
        """`default` forgets it. Raises TooMuch."""
        name = name.lower()
        if literal.lower() == ("null" if name.startswith("@") else "default"):
            return SessionState(self.variables.delete(name)) if name in self.variables else self
        made = self.variables.set(name, literal)
        size = sum(len(k) + len(v) for k, v in made.items())
        if len(made) > MOST or size > MOST_BYTES:
            raise TooMuch(f"more than {MOST} variables, or {MOST_BYTES} bytes, set on one session")
        return SessionState(made)

    @property
    def parsed(self) -> str:
        """What of it changes how a text reads."""
        return ";".join(f"{name}={self.variables[name]}" for name in sorted(PARSED & set(self.variables)))

    def __bool__(self) -> bool:
        return bool(self.variables)


FRESH = SessionState()


def replay(have: SessionState, want: SessionState) -> bytes | None:
    """One statement, which is done whole or not at all; None where there is nothing to do."""
    if have == want:
        return None
    parts = []
    for name in sorted(set(have.variables) | set(want.variables)):
        before, after = have.variables.get(name), want.variables.get(name)
        if before != after:
            user = name.startswith("@")
            value = after if after is not None else ("null" if user else "default")
            parts.append(f"{name if user else f'@@session.{name}'} = {value}")
    return f"set {', '.join(parts)}".encode()
