"""The settings file of an edge: valid files are read, invalid ones are rejected with all their problems."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.routing.types import Idempotency, KeyScope
from juniperreel.settings import SettingsError, read_edge
from juniperreel.settings.edge import parse_edge
from juniperreel.settings.lexer import lex

EXAMPLE = Path(__file__).parents[2] / "deploy" / "edge.conf"
VALID = EXAMPLE.read_text(encoding="utf-8")


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    (tmp_path / "token.key").write_bytes(b"k" * 32)
    (tmp_path / "short.key").write_bytes(b"k")
    return tmp_path


def test_example_file_is_read(directory: Path) -> None:
    (directory / "edge.conf").write_text(VALID, encoding="utf-8")
    settings = read_edge(directory / "edge.conf")
    assert settings.listen == ("127.0.0.1", 7100)
    names = [c.name for c in settings.router.classes]
    assert names == ["board-read", "own-read", "run-write"]
    write = settings.router.classes[2]
    assert (write.idempotency, write.key_scope, write.deduplication_window_us) == (
        Idempotency.KEYED,
        KeyScope.GROUP,
        5_000_000,
    )
    assert settings.router.classes[0].max_staleness_us == 300_000
    assert [t.capacity_share for t in settings.router.tenants] == [0.69, 0.16, 0.15]
    assert settings.token_keys == ((1, b"k" * 32),)
    assert settings.list_cache_path == directory / "edge-1.hosts"


FRONTEND = """[mysql]
listen 127.0.0.1:3306
user ada token.key
read own-read
write run-write
tenant fastlap
[log]"""


def test_mysql_section_is_read(directory: Path) -> None:
    settings = parse_edge(VALID.replace("[log]", FRONTEND).encode(), "edge.conf", directory)
    assert settings.mysql_frontend is not None
    assert settings.mysql_frontend.users == (("ada", b"k" * 32),)
    assert settings.mysql_frontend.max_connections == 1000


# Text of the example, its replacement, text of the reported line, reason, and number of the broken rule.
INVALID = [
    ("attempts 6", "attempts six", "attempts six", "not a non-negative integer", None),
    ("attempts 6", "attempts 6\nattempts 6", "attempts 6\n[", "", None),
    ("listen 127.0.0.1:7100", "listen 7100", "listen 7100", "not an address", None),
    ("zone 0", "zone 0\nflavour sweet", "flavour sweet", "unknown directive 'flavour'", None),
    ("[log]", "[logs]", "[logs]", "unknown section 'logs'", None),
    ("cold-from 17%", "cold-from 17", "cold-from 17", "not a percentage", None),
    ("aim 500ms", "aim 500", "aim 500", "not a duration", None),
    ("aim 500ms", "aim 3s", "aim 3s", "beyond the deadline", 1),
    ("answer-margin 40ms", "answer-margin 1s", "deadline 2s", "twice the answer margin", 1),
    ("effect keyed group 5s", "effect keyed", "effect keyed", "requires a key scope", 2),
    (
        "effect keyed group 5s",
        "effect keyed group 0s",
        "effect keyed group 0s",
        "deduplication window of 0",
        2,
    ),
    ("consistency write", "consistency any", "consistency any", "only a primary", 2),
    ("effect keyed group 5s", "effect repeatable", None, "two copies of a write", 2),
    ("drain-grace 2s", "drain-grace 500ms", "drain-grace 500ms", "drain-grace", 3),
    ("cold-span 16s", "cold-span 0s", "cold-span 0s", "need time to warm up", 4),
    ("fall-multiple 2", "fall-multiple 0.5", "fall-multiple 0.5", "below 1", 4),
    ("edges 3", "edges 0", "edges 0", "at least 1", 4),
    (
        "consistency bounded 300ms",
        "consistency bounded",
        "consistency bounded",
        "staleness bound is required",
        5,
    ),
    (
        "consistency bounded 300ms",
        "consistency bounded 60ms",
        "consistency bounded 60ms",
        "cannot be measured",
        5,
    ),
    ("consistency session", "consistency session 1s", "consistency session 1s", "not allowed otherwise", 5),
    ("key 1 token.key", "key 1 none.key", "key 1 none.key", "cannot be read", None),
    ("key 1 token.key", "key 1 short.key", "key 1 short.key", "at least 16 are required", 5),
    ("share 69%", "share 99%", None, "add up to", None),
    ("members-check refuse", "members-check wait", "members-check wait", "how long endpoints wait", None),
    ("skew 30ms", "", "[token]", "skew is missing", None),
    ("worth 4", "worth 0", "worth 0", "always rejected", None),
    ("[class own-read]", "[class board-read]", "[class board-read]", "already set in line", None),
    ("[class own-read]", "[class]", "[class]", "needs a name", None),
    ("name edge-1", 'name "edge-1', 'name "edge-1', "unterminated quoted", None),
    ("name edge-1", "name edge-1\x01", "name edge-1", "control character", None),
    ("[log]", "[mysql]\n[log]", "[mysql]", "listen is missing", None),
    ("[log]", FRONTEND.replace("read own-read", "read run-write"), "read run-write", "run-write writes", 2),
    ("[log]", FRONTEND.replace("write run-write", "write own-read"), "write own-read", "does not write", 5),
    ("[log]", FRONTEND.replace("token.key", "none"), "user ada none", "cannot be read", None),
    ("[log]", FRONTEND.replace("tenant fastlap", ""), "[mysql]", "tenant: must be one of", None),
    (
        "[log]",
        FRONTEND.replace("\n[log]", "\ntls none.crt none.key\n[log]"),
        "tls none",
        "tls: No such file",
        None,
    ),
    ("[log]", FRONTEND.replace("\n[log]", "\ntls token.key token.key\n[log]"), "tls token", "tls: ", None),
    ("groups 3", "groups 3\nworkers 0", "workers 0", "workers: must be 1 to", 4),
    ("[edge]", "stray 1\n[edge]", "stray 1", "before the first section", None),
]


@pytest.mark.parametrize(
    "old, new, reported, reason, rule", INVALID, ids=[change[1][:30] for change in INVALID]
)
def test_invalid_file_is_rejected_with_line_reason_and_rule(
    directory: Path, old: str, new: str, reported: str | None, reason: str, rule: int | None
) -> None:
    text = VALID.replace(old, new, 1)
    if rule == 2 and "two copies" in reason:
        text = text.replace("attempts 6", "attempts 6\nsecond-copies yes")
    assert text != VALID
    with pytest.raises(SettingsError) as error:
        parse_edge(text.encode(), "edge.conf", directory)
    found = [p for p in error.value.problems if reason in p.reason]
    assert found, str(error.value)
    assert found[0].rule == rule
    if reported is not None and "\n" not in reported:
        assert reported in text.split("\n")[found[0].line - 1]
    assert f"edge.conf:{found[0].line}: " in str(error.value)


def test_all_problems_are_reported_at_once(directory: Path) -> None:
    text = VALID.replace("attempts 6", "attempts x").replace("aim 500ms", "aim y").replace("zone 0", "zone z")
    with pytest.raises(SettingsError) as error:
        parse_edge(text.encode(), "edge.conf", directory)
    assert len(error.value.problems) == 3
    assert [p.line for p in error.value.problems] == sorted(p.line for p in error.value.problems)


@given(st.binary(max_size=400))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(SettingsError):
        parse_edge(data, "data", Path("/nonexistent"))


@given(st.text(max_size=200))
def test_lex_reports_problems_with_valid_line_numbers(text: str) -> None:
    _, problems = lex(text.encode("utf-8", "replace"))
    assert all(p.line >= 1 for p in problems)


def test_empty_huge_and_binary_files_are_rejected(directory: Path) -> None:
    for data in (b"", b"#" * (2 << 20), b"\xff\xfe"):
        with pytest.raises(SettingsError):
            parse_edge(data, "edge.conf", directory)


ENDPOINTS = """[members]
speak mysql
user edge token.key
database boards
[log]"""


def with_endpoints(endpoints: str = ENDPOINTS, frontend: str = FRONTEND) -> str:
    return (
        VALID.replace("effect keyed group 5s", "effect once")
        .replace("[log]", frontend)
        .replace("[log]", endpoints)
    )


def test_mysql_endpoints_are_read(directory: Path) -> None:
    settings = parse_edge(with_endpoints().encode(), "edge.conf", directory)
    assert settings.mysql_endpoints is not None
    assert (settings.mysql_endpoints.user, settings.mysql_endpoints.database) == ("edge", "boards")
    assert settings.mysql_endpoints.max_transaction_us == settings.router.drain_grace_us // 2


@pytest.mark.parametrize(
    "text, reason, rule",
    [
        (with_endpoints().replace("effect once", "effect keyed group 5s"), "do not deduplicate by key", 2),
        (with_endpoints(ENDPOINTS.replace("database boards", "transaction 1m")), "half of drain-grace", 3),
        (with_endpoints(ENDPOINTS.replace("user edge token.key\n", "")), "user with a password file", None),
        (with_endpoints(ENDPOINTS.replace("token.key", "absent")), "cannot be read", None),
        (
            with_endpoints(ENDPOINTS.replace("speak mysql", "speak grpc")),
            "only valid with `speak mysql`",
            None,
        ),
        (with_endpoints(ENDPOINTS.replace("database boards", "tls token.key")), "tls", None),
    ],
)
def test_invalid_mysql_endpoints_are_rejected(
    directory: Path, text: str, reason: str, rule: int | None
) -> None:
    with pytest.raises(SettingsError) as error:
        parse_edge(text.encode(), "edge.conf", directory)
    assert any(reason in p.reason and p.rule == rule for p in error.value.problems), str(error.value)


def with_match(line: str) -> str:
    return VALID.replace("[log]", FRONTEND.replace("[log]", f"match {line}\n[log]"))


def test_match_is_read(directory: Path) -> None:
    line = "read user ada hint report class board-read tenant splitwest"
    settings = parse_edge(with_match(line).encode(), "edge.conf", directory)
    assert settings.mysql_frontend is not None
    (match,) = settings.mysql_frontend.matches
    assert (match.write, match.user, match.hint, match.schema) == (False, "ada", "report", None)
    assert (match.class_name, match.tenant) == ("board-read", "splitwest")


@pytest.mark.parametrize(
    "line, reason, rule",
    [
        ("read user ada class run-write", "writes", 5),
        ("write user ada class own-read", "does not write", 2),
        ("read user ada class nothing", "unknown class 'nothing'", None),
        ("read user ada class own-read tenant nobody", "unknown tenant 'nobody'", None),
        ("maybe user ada class own-read", "read or write", None),
        ("read user ada class own-read tenant", "has no value", None),
        ("read user ada user bob class own-read", "user is set twice", None),
        ("read table a class own-read", "not one of", None),
        ("read digest 12 class own-read", "digits", None),
        ("read user ada tenant splitwest", "class is missing", None),
        ("read class own-read tenant splitwest", "no condition", None),
    ],
)
def test_invalid_match_is_rejected_with_its_line(
    directory: Path, line: str, reason: str, rule: int | None
) -> None:
    text = with_match(line)
    with pytest.raises(SettingsError) as error:
        parse_edge(text.encode(), "edge.conf", directory)
    (problem,) = error.value.problems
    assert reason in problem.reason
    assert problem.rule == rule
    assert text.splitlines()[problem.line - 1].startswith("match")
