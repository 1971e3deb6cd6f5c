"""Coverage-guided noise against MySQL's codec, both sides, and the reader of statements; outside CI:

    .venv/bin/pip install atheris && .venv/bin/python fuzz/mysql_target.py -max_total_time=600

The first byte says which of them. A crash is any exception that its docstring does not name, and a statement
that passes for a plain read although a word in it that writes stands outside of quotes and comments.
"""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).parent.parent))

with atheris.instrument_imports():
    from juniperreel.frontends.mysql.classification import statement_digest
    from juniperreel.frontends.mysql.prepared import PreparedStatementError, PreparedStatements
    from juniperreel.mysql import columns, parameters, rows
    from juniperreel.mysql.auth import SHA2, Credential, auth_response
    from juniperreel.mysql.client import ClientSession
    from juniperreel.mysql.packets import Cursor, ProtocolError, encode_packets
    from juniperreel.mysql.replies import decode_err, decode_ok
    from juniperreel.mysql.server import Command, ServerSession, State
    from juniperreel.pool.gtid import GtidSet, InvalidGtidError
    from juniperreel.statements import LexerMode, StatementKind, classify_statement
    from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize
    from juniperreel.statements.plain_reads import WRITE_KEYWORDS

NONCE = bytes(range(1, 21))
USERS = {"ada": Credential.from_password(b"x")}


def server(data: bytes) -> None:
    """Logged in or not, answered at once."""
    session = ServerSession(1, NONCE, USERS.get, 1 << 16)
    session.start()
    if data[:1] < b"\x80":
        answer = auth_response(SHA2, b"x", NONCE) or b""
        caps = (0x081A2201 | 1 << 27).to_bytes(4, "little")
        login = caps + bytes(4) + b"\xff" + bytes(23) + b"ada\0" + bytes((len(answer),)) + answer
        session.receive(encode_packets(login + SHA2.encode() + b"\0", 1).data)
    prepared = PreparedStatements(1 << 16)
    with contextlib.suppress(PreparedStatementError):
        prepared.prepare(b"select ?, ?", classify_statement(b"select ?, ?"), LexerMode())
    todo = session.receive(data[1:]) + session.receive(encode_packets(data[1:], 0).data)
    while todo:
        event = todo.pop(0)
        if isinstance(event, Command):
            with contextlib.suppress(PreparedStatementError):
                prepared.execute(event.payload, True)
            todo += session.ok()
    assert session.state in State and session.buffered_bytes < 1 << 18


def client(data: bytes) -> None:
    session = ClientSession("ada", b"x", "", 1 << 16)
    if data[:1] < b"\x80":
        far = ServerSession(1, NONCE, USERS.get, 1 << 16)
        far.start()
        for _ in range(4):
            session.receive(far.data_to_send())
            far.receive(session.data_to_send())
        session.prepare(b"select ?")
        session.query(b"select 1")
        session.receive(encode_packets(data[1:], 1).data)
    session.receive(data[1:])
    session.receive(data[1:])


def codec(data: bytes) -> None:
    for read in (
        lambda: decode_ok(data, 1 << 23),
        lambda: decode_err(data),
        lambda: columns.decode_column(data),
    ):
        with contextlib.suppress(ProtocolError):
            read()
    definitions = [columns.Column("c", kind % 256, 45, flags=0x20 * (kind & 1)) for kind in data[:5]]
    for row in (rows.decode_text_row, rows.decode_binary_row):
        with contextlib.suppress(ProtocolError):
            row(definitions, data[5:])
    with contextlib.suppress(ProtocolError):
        parameters.decode_query_attributes(Cursor(data))
    with contextlib.suppress(InvalidGtidError):
        GtidSet.parse(data.decode("latin-1"))


def reader(data: bytes) -> None:
    mode = LexerMode(bool(data[:1] < b"\x40"), bool(data[:1] < b"\x20"))
    text = data[1:]
    reading = classify_statement(text, mode)
    statement_digest(text, mode)
    if reading.replica_safe:
        found = tokenize(text, mode)
        loose = [
            t.text
            for at, t in enumerate(found)
            if t.type is TokenType.IDENTIFIER and (not at or found[at - 1].text != ".")
        ]
        # `replace` and `insert` are functions as well, which the reader knows by their parenthesis.
        assert not (WRITE_KEYWORDS - {"REPLACE", "INSERT"}) & set(loose), text
    if reading.kind is StatementKind.READ:
        with contextlib.suppress(AmbiguousTextError):
            assert tokenize(text, mode)


def one(data: bytes) -> None:
    if data:
        (server, client, codec, reader)[data[0] % 4](data[1:])


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
