"""The reader against a corpus of known kinds: no write, lock or side effect may pass for a plain read."""

from __future__ import annotations

import itertools
import random
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.statements import Kind, Mode, Reader, read_statement
from juniperreel.statements.reader import MAX_BYTES
from juniperreel.statements.scanner import Odd, Type, tokens

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
OTHERS = {
    Kind.WRITE: [
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
    Kind.LOCKING_READ: [
        "select * from runs for update",
        "select * from runs where id = 1 for share skip locked",
        "select * from runs lock in share mode",
        "(select * from runs for update)",
        "select * from (select id from runs for update) t",
    ],
    Kind.SIDE_EFFECT: [
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
    Kind.SESSION: [
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
    Kind.TRANSACTION: [
        "begin",
        "start transaction read only",
        "commit",
        "rollback to savepoint a",
        "savepoint a",
    ],
    Kind.UNKNOWN: [
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
BOUND = [
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
PIECE = re.compile(r"'(?:[^'\\]|\\.)*'?|\"[^\"]*\"|`[^`]*`|/\*.*?(?:\*/|$)|@@?\w+|\w+|\s+|:=|.", re.DOTALL)
GAPS = [" ", "\n", "\t ", "/* update */ ", " /**/ ", "-- delete\n", "# for update\n", " /* it's */ "]


def disguised(text: str, rng: random.Random) -> str:
    """The same statement in other letters, with other gaps and comments."""
    out = []
    for piece in PIECE.findall(text):
        if piece.isspace():
            out.append(rng.choice(GAPS))
        elif piece[0].isalpha() and rng.random() < 0.7:
            out.append("".join(rng.choice((c.lower(), c.upper())) for c in piece))
        else:
            out.append(piece)
    return (
        rng.choice(["", " ", "\n", "/* select */ ", "-- x\n"])
        + "".join(out)
        + rng.choice(["", " ", ";", " -- end"])
    )


def corpus(texts: list[str], count: int) -> list[str]:
    rng = random.Random(7)
    return list(texts) + [disguised(text, rng) for text in itertools.islice(itertools.cycle(texts), count)]


def test_three_thousand_disguised_statements() -> None:
    """None that writes, locks or has effects may go to a replica; few plain reads may miss it."""
    reads = corpus(READS, 1500)
    missed = [text for text in reads if not read_statement(text.encode()).replica]
    assert len(missed) < 0.02 * len(reads), missed[:5]
    others = {kind: corpus(texts, 400) for kind, texts in OTHERS.items()}
    assert len(reads) + sum(map(len, others.values())) > 3000
    for kind, texts in others.items():
        for text in texts:
            assert not read_statement(text.encode()).replica, (kind, text)
    for text in corpus(BOUND, 200):
        assert not read_statement(text.encode()).replica, text


@pytest.mark.parametrize("kind, text", [(k, t) for k, texts in OTHERS.items() for t in texts])
def test_each_kind_is_told(kind: Kind, text: str) -> None:
    assert read_statement(text.encode()).kind is kind


@pytest.mark.parametrize("text", BOUND)
def test_what_only_its_own_connection_can_answer_is_told(text: str) -> None:
    reading = read_statement(text.encode())
    assert reading.kind is Kind.READ and reading.depends


def test_tables_are_named() -> None:
    text = b"with t as (select * from A.runs) select * from t join boards b on b.id = t.id"
    assert read_statement(text).tables == {"a.runs", "boards"}


def test_modes_change_where_strings_end() -> None:
    hidden = b"select '\\' , sleep(1) -- '"
    assert read_statement(hidden, Mode(no_backslash_escapes=True)).kind is Kind.SIDE_EFFECT
    assert read_statement(hidden).replica  # one string, with all of it inside
    name = b'select "sleep"(1)'
    assert read_statement(name, Mode(ansi_quotes=True)).kind is Kind.SIDE_EFFECT


@pytest.mark.parametrize("charset", ["gbk", "sjis", "big5", "gb18030", "cp932", "eucjpms", "no such set"])
def test_a_backslash_that_is_half_a_character_is_not_trusted(charset: str) -> None:
    text = b"select '\xbf\\' or sleep(1) -- '"
    assert read_statement(text, Mode(charset=charset)).kind is Kind.UNKNOWN
    assert read_statement(b"select 1", Mode(charset=charset)).replica


def test_a_space_that_is_a_letter_to_the_server_is_no_space() -> None:
    for space in (b"\xa0", b"\x85", b"\xc2\xa0"):
        assert read_statement(b"select " + space + b"abs(1)").kind is Kind.SIDE_EFFECT


def test_twenty_megabytes_are_not_read() -> None:
    assert read_statement(b"select '" + b"x" * (20 << 20) + b"'").kind is Kind.UNKNOWN
    deep = b"select " + b"(" * 5000 + b"1" + b")" * 5000
    assert len(deep) < MAX_BYTES and not read_statement(deep).replica


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=120), st.booleans(), st.booleans())
def test_noise_is_read_without_a_crash(noise: bytes, ansi: bool, plain: bool) -> None:
    for text in (noise, b"select " + noise):
        read_statement(text, Mode(ansi, plain))


@settings(max_examples=300, deadline=None)
@given(
    st.text(alphabet="'\"`\\-#/*! ;ax", max_size=25), st.sampled_from(["sleep(1)", "for update", "into @a"])
)
def test_quotes_and_comments_hide_nothing(mess: str, effect: str) -> None:
    """Whatever precedes it: if the effect is still code to this scanner, it is seen."""
    text = f"select 1 {mess} {effect}".encode()
    try:
        words = [t.text for t in tokens(text, Mode()) if t.type in (Type.WORD, Type.NAME)]
    except Odd:
        assert not read_statement(text).replica
        return
    if "SLEEP" in words or "INTO" in words or "UPDATE" in words:
        assert not read_statement(text).replica


@pytest.mark.parametrize(
    "found",
    [
        b"select p.ac{\xd5**:***,e\xe6*c{\xd5**:***,e\xe6\xff\xff}*lacex.*- c\n,:***,\xff\xff}*lacex.*:***,",
        b"select p.ac{\xab\xd5**:***,e\xe6*c{\xd5**:***,e\xe6*******P*lacex.*- c\n,:***,"
        b":***- c\n,\xff},:***,:***,",
    ],
)
def test_what_the_grammar_itself_trips_over_is_not_understood(found: bytes) -> None:
    """Findings of fuzz/mysql_target.py: sqlglot raised AttributeError, and the client's connection ended with
    it."""
    reading = read_statement(found)
    assert reading.kind is Kind.UNKNOWN and reading.opaque and not reading.replica


def test_the_memory_is_bounded_and_keeps_modes_apart() -> None:
    reader = Reader(2)
    text = b'select "a"'
    assert reader.read(text) == reader.read(text) == read_statement(text)
    assert (reader.hits, reader.misses) == (1, 1)
    reader.read(text, Mode(ansi_quotes=True))
    assert reader.misses == 2
    for n in range(10):
        reader.read(b"select %d" % n)
    assert len(reader._cache) == 2
