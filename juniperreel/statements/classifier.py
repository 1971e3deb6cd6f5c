"""Classifies statements: read, locking read, write, side effect, session change, transaction, unknown.

A statement is a plain read only if two independent checks agree: the allowlist of token rules in
`plain_reads` and sqlglot's grammar, see `grammar`.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import replace

import xxhash
from cachetools import LRUCache

from juniperreel.statements.classification import Classification, Dependency, StatementKind
from juniperreel.statements.dependencies import find_dependencies
from juniperreel.statements.grammar import GrammarError, query_tables
from juniperreel.statements.lexer import AmbiguousTextError, LexerMode, Token, TokenType, split_at, tokenize
from juniperreel.statements.plain_reads import WRITE_KEYWORDS, NotPlainReadError, check_plain_read
from juniperreel.statements.session_commands import IMPLICIT_COMMIT_KEYWORDS, parse_session_command

MAX_BYTES = 256 << 10  # longer statements are not parsed
DEFAULT_CACHE_SIZE = 10_000
QUOTED_LENGTH = 20  # characters of a statement's first token that a reason quotes
# In a statement that is not parsed, any of these may refer to connection state.
CONNECTION_TERMS = re.compile(
    rb"last_insert_id|row_count|found_rows|connection_id|get_lock|release_|_lock\s*\(|@@|temporary", re.I
)
FIRST_KEYWORDS = {
    StatementKind.WRITE: (
        "INSERT REPLACE UPDATE DELETE LOAD TRUNCATE CREATE ALTER DROP RENAME GRANT REVOKE ANALYZE OPTIMIZE "
        "REPAIR IMPORT MERGE"
    ),
    StatementKind.SIDE_EFFECT: (
        "CALL DO HANDLER PREPARE EXECUTE DEALLOCATE KILL FLUSH RESET PURGE CHANGE STOP LOCK UNLOCK XA BINLOG "
        "CACHE SHUTDOWN RESTART CLONE INSTALL UNINSTALL SIGNAL RESIGNAL GET CHECK CHECKSUM HELP"
    ),
    StatementKind.SESSION: "USE",
    StatementKind.TRANSACTION: "BEGIN COMMIT ROLLBACK SAVEPOINT RELEASE",
}
KIND_BY_FIRST_KEYWORD = {
    keyword: kind for kind, keywords in FIRST_KEYWORDS.items() for keyword in keywords.split()
}
OPAQUE_KEYWORDS = ("CALL", "DO")
QUERY_KEYWORDS = ("SELECT", "WITH", "VALUES", "TABLE")
EXPLAIN_KEYWORDS = ("EXPLAIN", "DESCRIBE", "DESC")
UNPARSED_KEYWORDS = ("SHOW", *EXPLAIN_KEYWORDS, "TABLE")  # sqlglot does not parse these statements
GLOBAL_SCOPES = frozenset({"GLOBAL", "PERSIST", "PERSIST_ONLY", "PASSWORD", "RESOURCE"})
GLOBAL_VARIABLES = ("@@global", "@@persist")
SHOW_MODIFIERS = ("FULL", "EXTENDED", "GLOBAL", "SESSION")
SHOW_DIAGNOSTICS = ("WARNINGS", "ERRORS", "COUNT")
SHOW_SCHEMA_KEYWORDS = frozenset(
    [
        "TABLES",
        "COLUMNS",
        "FIELDS",
        "INDEX",
        "INDEXES",
        "KEYS",
        "DATABASES",
        "SCHEMAS",
        "CREATE",
        "COLLATION",
        "CHARSET",
    ]
)
# Several statements at once have the strictest of their kinds. In increasing order of strictness:
KINDS_BY_STRICTNESS = [
    StatementKind.READ,
    StatementKind.SESSION,
    StatementKind.TRANSACTION,
    StatementKind.LOCKING_READ,
    StatementKind.UNKNOWN,
    StatementKind.SIDE_EFFECT,
    StatementKind.WRITE,
]


def classify_statement(data: bytes, mode: LexerMode | None = None) -> Classification:
    """Classify a statement. Never raises: text that cannot be parsed is UNKNOWN, and goes to a primary."""
    if len(data) > MAX_BYTES:
        found = CONNECTION_TERMS.search(data)
        dependencies = frozenset({Dependency.UNPARSED}) if found else frozenset()
        reason = f"longer than {MAX_BYTES} bytes"
        return Classification(StatementKind.UNKNOWN, reason, dependencies, opaque=True)
    try:
        tokens = tokenize(data, mode or LexerMode())
    except AmbiguousTextError as error:
        return Classification(StatementKind.UNKNOWN, str(error))
    statements = [statement for statement in split_at(tokens, ";") if statement]
    if not statements:
        return Classification(StatementKind.UNKNOWN, "nothing")
    classifications = [_classify_tokens(tokens) for tokens in statements]
    if len(classifications) > 1:
        return _combine(classifications)
    (classification,) = classifications
    if classification.kind is not StatementKind.READ:
        return classification
    return _confirm_read(statements[0], classification)


class StatementClassifier:
    """Classifies statements with an LRU cache, because applications repeat the same texts.

    Attributes:
        hits: How many statements were found in the cache.
        misses: How many were not.
    """

    def __init__(self, cache_size: int = DEFAULT_CACHE_SIZE) -> None:
        self._cache: LRUCache[tuple[int, int, LexerMode], Classification] = LRUCache(cache_size)
        self.hits = 0
        self.misses = 0

    def classify(self, data: bytes, mode: LexerMode | None = None) -> Classification:
        """Classify a statement as `classify_statement` does, using the cache."""
        mode = mode or LexerMode()
        if len(data) > MAX_BYTES:
            return classify_statement(data, mode)
        # A hash collision could classify a write as a read, so the key has 128 bits of hash and the length.
        key = (xxhash.xxh3_128_intdigest(data), len(data), mode)
        classification = self._cache.get(key)
        if classification is not None:
            self.hits += 1
            return classification
        self.misses += 1
        classification = classify_statement(data, mode)
        self._cache[key] = classification
        return classification


def _combine(classifications: list[Classification]) -> Classification:
    """Classify several statements sent at once, which are never a plain read."""
    kind = max((c.kind for c in classifications), key=KINDS_BY_STRICTNESS.index)
    if kind is StatementKind.READ:
        kind = StatementKind.UNKNOWN
    return Classification(kind, f"{len(classifications)} statements at once")


def _classify_tokens(tokens: Sequence[Token]) -> Classification:
    """Classify one statement by its first keyword after any opening parentheses, and by its tokens."""
    start = 0
    while start < len(tokens) and tokens[start].is_symbol("("):
        start += 1
    body = tokens[start:]
    keywords = [token.text if token.type is TokenType.IDENTIFIER else "" for token in body]
    try:
        classification = _classify_by_keyword(tokens, body, keywords)
    except NotPlainReadError as error:
        dependencies = find_dependencies(tokens)
        return Classification(error.kind, error.reason, dependencies, opaque=error.opaque)
    if classification is not None:
        return classification
    beginning = tokens[min(start, len(tokens) - 1)].text[:QUOTED_LENGTH]
    reason = f"begins with {beginning!r}"
    return Classification(StatementKind.UNKNOWN, reason, find_dependencies(tokens), opaque=True)


def _classify_by_keyword(
    tokens: Sequence[Token], body: Sequence[Token], keywords: list[str]
) -> Classification | None:
    """Classify by the first keyword; returns None if it is not known. Raises NotPlainReadError."""
    first = keywords[0] if keywords else ""
    if first in KIND_BY_FIRST_KEYWORD:
        return Classification(
            KIND_BY_FIRST_KEYWORD[first],
            first.lower(),
            find_dependencies(body),
            session_command=parse_session_command(body),
            implicit_commit=first in IMPLICIT_COMMIT_KEYWORDS,
            opaque=first in OPAQUE_KEYWORDS,
        )
    if first == "SET":
        return _classify_set(tokens, keywords)
    if first == "START":
        is_transaction = keywords[1:2] == ["TRANSACTION"]
        kind = StatementKind.TRANSACTION if is_transaction else StatementKind.SIDE_EFFECT
        return Classification(kind, "start", session_command=parse_session_command(tokens))
    if first == "SHOW":
        return _classify_show(keywords)
    if first in EXPLAIN_KEYWORDS:
        return _classify_explain(body, keywords)
    if first in QUERY_KEYWORDS:
        return Classification(StatementKind.READ, dependencies=check_plain_read(tokens))
    return None


def _classify_set(tokens: Sequence[Token], keywords: list[str]) -> Classification:
    sets_global = not GLOBAL_SCOPES.isdisjoint(keywords) or any(
        token.text.lower().startswith(GLOBAL_VARIABLES) for token in tokens
    )
    dependencies = find_dependencies(tokens)
    if sets_global:
        return Classification(StatementKind.SIDE_EFFECT, "set", dependencies)
    command = parse_session_command(tokens)
    return Classification(StatementKind.SESSION, "set", dependencies, session_command=command)


def _classify_show(keywords: list[str]) -> Classification:
    subject = next((keyword for keyword in keywords[1:] if keyword not in SHOW_MODIFIERS), "")
    if subject in SHOW_SCHEMA_KEYWORDS:
        return Classification(StatementKind.READ, dependencies=frozenset({Dependency.SCHEMA}))
    if subject in SHOW_DIAGNOSTICS:
        return Classification(StatementKind.READ, dependencies=frozenset({Dependency.LAST_STATEMENT}))
    return Classification(StatementKind.UNKNOWN, "shows what only one server knows", opaque=True)


def _classify_explain(body: Sequence[Token], keywords: list[str]) -> Classification:
    """Classify an `explain` or `describe`.

    `explain analyze` runs the statement that it explains. `explain … into @a` assigns a variable, whatever
    the position of the `into`.

    Raises:
        NotPlainReadError: It explains a query that is not a plain read.
    """
    if "INTO" in keywords:
        return Classification(StatementKind.SESSION, "explains into a variable")
    if not WRITE_KEYWORDS.isdisjoint(keywords):
        return Classification(StatementKind.WRITE, "explains a write; with analyze it runs it")
    query_start = next((i for i, keyword in enumerate(keywords) if keyword in QUERY_KEYWORDS), None)
    if query_start is not None:
        return Classification(StatementKind.READ, dependencies=check_plain_read(body[query_start:]))
    if len(keywords) == 2 and keywords[0] != "EXPLAIN":
        return Classification(StatementKind.READ, dependencies=frozenset({Dependency.SCHEMA}))
    reason = "explains something else"
    return Classification(StatementKind.UNKNOWN, reason, find_dependencies(body), opaque=True)


def _confirm_read(tokens: Sequence[Token], classification: Classification) -> Classification:
    """Return the classification of a plain read with its tables if the grammar confirms it; else UNKNOWN."""
    first = next((token.text for token in tokens if token.text != "("), "")
    if first in UNPARSED_KEYWORDS:
        return classification
    try:
        tables = query_tables(tokens)
    except GrammarError as error:
        dependencies = classification.dependencies
        return Classification(StatementKind.UNKNOWN, str(error), dependencies, opaque=True)
    return replace(classification, tables=tables)
