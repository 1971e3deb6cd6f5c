"""Classification of a corpus of statements of known kinds.

No statement that writes, locks or has side effects may be classified as a plain read.
"""

from __future__ import annotations

import itertools
import random
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.statements import LexerMode, StatementClassifier, StatementKind, classify_statement
from juniperreel.statements.classifier import MAX_BYTES
from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize

READS = [
    "select 1",
    "select * from runs where id = 5",
    "select r.id, r.`update` from runs r join boards b on b.id = r.board where b.name = 'for update'",
    "select count(*), max(score) from runs group by board having count(*) > 3 order by 2 desc limit 9",
    "select id from runs where name like '%delete%' and note <> 'into outfile'",
    "(select id from a) union all (select id from b) order by id",
    "with t as (select id from runs) select * from t",
    "with recursive t (n) as (select 1 union all select n + 1 from t where n < 5) select * from t",
    "select case when score > 5 then 'a' else 'b' end from runs where board in (1, 2, 3)",
    "select replace(name, 'a', 'b'), insert(name, 1, 2, 'x') from runs",
    "select row_number() over (partition by board order by score) from runs",
    "select json_extract(doc, '$.a') from docs where date_add(day, interval 1 day) > now()",
    "select distinct board from runs where exists (select 1 from boards where boards.id = runs.board)",
    "select coalesce(a, b, ?) from t where c between ? and ? and not (d is null)",
    "select a.id from a left join (select id from b where x = 1) as c on c.id = a.id",
    "select if(a > 1, concat(b, 'x'), substring(c, 1, 3)) from t",
    "select cast(a as char(10)), convert(b, signed) from t",
    "select t.delete_at, t.into_count from t where t.lock_id = 4",
]
NOT_READS = {
    StatementKind.WRITE: [
        "insert into runs values (1)",
        "update runs set a = 1",
        "delete from runs",
        "replace into runs values (1)",
        "with t as (select 1) update runs set a = 1",
        "with t as (select 1) delete from runs where id in (select * from t)",
        "explain analyze update runs set a = 1",
        "truncate runs",
        "create table t (a int)",
        "create temporary table t (a int)",
        "drop table runs",
        "alter table runs add b int",
        "load data infile 'x' into table runs",
        "insert into runs select * from old",
    ],
    StatementKind.LOCKING_READ: [
        "select * from runs for update",
        "select * from runs where id = 1 for share skip locked",
        "select * from runs lock in share mode",
        "(select * from runs for update)",
        "select * from (select id from runs for update) t",
    ],
    StatementKind.SIDE_EFFECT: [
        "select get_lock('a', 1)",
        "select release_lock('a')",
        "select sleep(1)",
        "select benchmark(1000, md5('x'))",
        "select my_function(1)",
        "select db.my_function(1)",
        "select `my_function`(1)",
        "select a from t where my_function(a) > 1",
        "select * from runs into outfile '/tmp/x'",
        "select a into @b from runs",
        "select load_file('/etc/passwd')",
        "call p(1)",
        "do release_lock('a')",
        "handler runs open",
        "prepare s from 'update runs set a = 1'",
        "execute s",
        "kill 5",
        "lock tables runs write",
        "set global max_connections = 5",
        "set @@global.read_only = 0",
        "select nextval(s)",
        "select next value for s",
        "flush tables",
        "select s.nextval from dual",
        "select {fn sleep(1)}",
        "select 1sleep(1)",
    ],
    StatementKind.SESSION: [
        "set autocommit = 0",
        "set names gbk",
        "set @a = 1",
        "set session sql_mode = 'ANSI_QUOTES'",
        "use other",
        "select @a := 1",
        "select last_insert_id(5)",
        "explain format=json into @a select 1",
        "explain into @a select 1",
    ],
    StatementKind.TRANSACTION: [
        "begin",
        "start transaction read only",
        "commit",
        "rollback to savepoint a",
        "savepoint a",
    ],
    StatementKind.UNKNOWN: [
        "select /*!50000 1, */ 2",
        "/*!50000 update runs set a = 1 */",
        "/*M!100100 delete from runs */",
        "select 1 /* open",
        "select 'open",
        "select 1; select 2",
        "show master status",
        "",
        ";;",
        "select 1 /*+ set_var(sql_mode = '') */",
        "select /* /* */ 1",
        "select\x00 1",
        "select \\N",
    ],
}
CONNECTION_DEPENDENT = [
    "select last_insert_id()",
    "select found_rows()",
    "select row_count()",
    "select @a",
    "select @@read_only",
    "select sql_calc_found_rows * from runs",
    "select connection_id()",
    "show warnings",
    "show tables",
]
TEXT_PIECE = re.compile(
    r"'(?:[^'\\]|\\.)*'?|\"[^\"]*\"|`[^`]*`|/\*.*?(?:\*/|$)|@@?\w+|\w+|\s+|:=|.", re.DOTALL
)
SEPARATORS = [" ", "\n", "\t ", "/* update */ ", " /**/ ", "-- delete\n", "# for update\n", " /* it's */ "]


def vary_formatting(text: str, random_source: random.Random) -> str:
    """Return an equivalent statement with random letter case, white space and comments."""
    out = []
    for piece in TEXT_PIECE.findall(text):
        if piece.isspace():
            out.append(random_source.choice(SEPARATORS))
        elif piece[0].isalpha() and random_source.random() < 0.7:
            out.append("".join(random_source.choice((c.lower(), c.upper())) for c in piece))
        else:
            out.append(piece)
    return (
        random_source.choice(["", " ", "\n", "/* select */ ", "-- x\n"])
        + "".join(out)
        + random_source.choice(["", " ", ";", " -- end"])
    )


def corpus(texts: list[str], count: int) -> list[str]:
    random_source = random.Random(7)
    return list(texts) + [
        vary_formatting(text, random_source) for text in itertools.islice(itertools.cycle(texts), count)
    ]


def test_no_disguised_write_is_replica_safe_and_few_reads_are_missed() -> None:
    """No write, locking read or side effect is replica-safe; fewer than 2 % of plain reads are missed."""
    reads = corpus(READS, 1500)
    missed = [text for text in reads if not classify_statement(text.encode()).replica_safe]
    assert len(missed) < 0.02 * len(reads), missed[:5]
    others = {kind: corpus(texts, 400) for kind, texts in NOT_READS.items()}
    assert len(reads) + sum(map(len, others.values())) > 3000
    for kind, texts in others.items():
        for text in texts:
            assert not classify_statement(text.encode()).replica_safe, (kind, text)
    for text in corpus(CONNECTION_DEPENDENT, 200):
        assert not classify_statement(text.encode()).replica_safe, text


@pytest.mark.parametrize("kind, text", [(k, t) for k, texts in NOT_READS.items() for t in texts])
def test_kind_is_recognized(kind: StatementKind, text: str) -> None:
    assert classify_statement(text.encode()).kind is kind


@pytest.mark.parametrize("text", CONNECTION_DEPENDENT)
def test_connection_dependent_read_has_dependencies(text: str) -> None:
    classification = classify_statement(text.encode())
    assert classification.kind is StatementKind.READ
    assert classification.dependencies


def test_tables_are_named_without_common_table_expressions() -> None:
    text = b"with t as (select * from A.runs) select * from t join boards b on b.id = t.id"
    assert classify_statement(text).tables == {"a.runs", "boards"}


def test_lexer_mode_decides_where_strings_end() -> None:
    hidden = b"select '\\' , sleep(1) -- '"
    assert classify_statement(hidden, LexerMode(no_backslash_escapes=True)).kind is StatementKind.SIDE_EFFECT
    assert classify_statement(hidden).replica_safe  # the whole rest is one string
    name = b'select "sleep"(1)'
    assert classify_statement(name, LexerMode(ansi_quotes=True)).kind is StatementKind.SIDE_EFFECT


@pytest.mark.parametrize("charset", ["gbk", "sjis", "big5", "gb18030", "cp932", "eucjpms", "no such set"])
def test_backslash_in_a_multibyte_charset_is_unknown(charset: str) -> None:
    text = b"select '\xbf\\' or sleep(1) -- '"
    assert classify_statement(text, LexerMode(charset=charset)).kind is StatementKind.UNKNOWN
    assert classify_statement(b"select 1", LexerMode(charset=charset)).replica_safe


def test_non_ascii_space_does_not_separate_words() -> None:
    for space in (b"\xa0", b"\x85", b"\xc2\xa0"):
        assert classify_statement(b"select " + space + b"abs(1)").kind is StatementKind.SIDE_EFFECT


def test_long_and_deeply_nested_statements_are_not_replica_safe() -> None:
    assert classify_statement(b"select '" + b"x" * (20 << 20) + b"'").kind is StatementKind.UNKNOWN
    deep = b"select " + b"(" * 5000 + b"1" + b")" * 5000
    assert len(deep) < MAX_BYTES
    assert not classify_statement(deep).replica_safe


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=120), st.booleans(), st.booleans())
def test_noise_does_not_raise(noise: bytes, ansi: bool, plain: bool) -> None:
    for text in (noise, b"select " + noise):
        classify_statement(text, LexerMode(ansi, plain))


@settings(max_examples=300, deadline=None)
@given(
    st.text(alphabet="'\"`\\-#/*! ;ax", max_size=25), st.sampled_from(["sleep(1)", "for update", "into @a"])
)
def test_quotes_and_comments_do_not_hide_effects(prefix: str, effect: str) -> None:
    """Whatever precedes it, an effect that the lexer does not place in a string or comment is detected."""
    text = f"select 1 {prefix} {effect}".encode()
    try:
        names = [
            t.text
            for t in tokenize(text, LexerMode())
            if t.type in (TokenType.IDENTIFIER, TokenType.QUOTED_IDENTIFIER)
        ]
    except AmbiguousTextError:
        assert not classify_statement(text).replica_safe
        return
    if "SLEEP" in names or "INTO" in names or "UPDATE" in names:
        assert not classify_statement(text).replica_safe


@pytest.mark.parametrize(
    "found",
    [
        b"select p.ac{\xd5**:***,e\xe6*c{\xd5**:***,e\xe6\xff\xff}*lacex.*- c\n,:***,\xff\xff}*lacex.*:***,",
        b"select p.ac{\xab\xd5**:***,e\xe6*c{\xd5**:***,e\xe6*******P*lacex.*- c\n,:***,"
        b":***- c\n,\xff},:***,:***,",
    ],
)
def test_text_on_which_the_grammar_raises_is_unknown(found: bytes) -> None:
    """Found by fuzz/mysql_target.py: sqlglot raised AttributeError, which ended the client's connection."""
    classification = classify_statement(found)
    assert classification.kind is StatementKind.UNKNOWN
    assert classification.opaque
    assert not classification.replica_safe


def test_cache_is_bounded_and_keeps_modes_apart() -> None:
    classifier = StatementClassifier(2)
    text = b'select "a"'
    assert classifier.classify(text) == classifier.classify(text) == classify_statement(text)
    assert (classifier.hits, classifier.misses) == (1, 1)
    classifier.classify(text, LexerMode(ansi_quotes=True))
    assert classifier.misses == 2
    for n in range(10):
        classifier.classify(b"select %d" % n)
    assert len(classifier._cache) == 2
