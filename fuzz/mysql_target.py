"""Fuzzes both sides of the MySQL codec and the statement classifier with atheris; not part of CI:

    .venv/bin/pip install atheris && .venv/bin/python fuzz/mysql_target.py -max_total_time=600

The first byte of the input selects the target. A crash is any exception that the docstring of the function
under test does not name, or a statement classified as a plain read although it has a write keyword outside of
quotes and comments.
"""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).parent.parent))

with atheris.instrument_imports():
    from juniperreel.frontends.mysql.classification import statement_digest
    from juniperreel.frontends.mysql.errors import PreparedStatementError
    from juniperreel.frontends.mysql.prepared import PreparedStatements
    from juniperreel.mysql import columns, parameters, rows
    from juniperreel.mysql.auth import SHA2, Credential, auth_response
    from juniperreel.mysql.client import ClientSession
    from juniperreel.mysql.packets import Cursor, ProtocolError, encode_packets
    from juniperreel.mysql.replies import decode_err, decode_ok
    from juniperreel.mysql.server import Command, ServerSession, State
    from juniperreel.pool.errors import InvalidGtidError
    from juniperreel.pool.gtid import GtidSet
    from juniperreel.statements import LexerMode, StatementKind, classify_statement
    from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize
    from juniperreel.statements.plain_reads import WRITE_KEYWORDS

NONCE = bytes(range(1, 21))
CREDENTIALS = {"ada": Credential.from_password(b"x")}


def fuzz_server(data: bytes) -> None:
    """Feeds a server session, logged in or not; each command is answered with OK immediately."""
    session = ServerSession(1, NONCE, CREDENTIALS.get, 1 << 16)
    session.start()
    if data[:1] < b"\x80":
        auth_data = auth_response(SHA2, b"x", NONCE) or b""
        capabilities = (0x081A2201 | 1 << 27).to_bytes(4, "little")
        handshake_response = (
            capabilities + bytes(4) + b"\xff" + bytes(23) + b"ada\0" + bytes((len(auth_data),)) + auth_data
        )
        session.receive(encode_packets(handshake_response + SHA2.encode() + b"\0", 1).data)
    prepared = PreparedStatements(1 << 16)
    with contextlib.suppress(PreparedStatementError):
        prepared.prepare(b"select ?, ?", classify_statement(b"select ?, ?"), LexerMode())
    events = session.receive(data[1:]) + session.receive(encode_packets(data[1:], 0).data)
    while events:
        event = events.pop(0)
        if isinstance(event, Command):
            with contextlib.suppress(PreparedStatementError):
                prepared.execute(event.payload, True)
            events += session.ok()
    assert session.state in State and session.buffered_bytes < 1 << 18


def fuzz_client(data: bytes) -> None:
    session = ClientSession("ada", b"x", "", 1 << 16)
    if data[:1] < b"\x80":
        server = ServerSession(1, NONCE, CREDENTIALS.get, 1 << 16)
        server.start()
        for _ in range(4):
            session.receive(server.data_to_send())
            server.receive(session.data_to_send())
        session.prepare(b"select ?")
        session.query(b"select 1")
        session.receive(encode_packets(data[1:], 1).data)
    session.receive(data[1:])
    session.receive(data[1:])


def fuzz_decoders(data: bytes) -> None:
    for decode in (
        lambda: decode_ok(data, 1 << 23),
        lambda: decode_err(data),
        lambda: columns.decode_column(data),
    ):
        with contextlib.suppress(ProtocolError):
            decode()
    definitions = [columns.Column("c", kind % 256, 45, flags=0x20 * (kind & 1)) for kind in data[:5]]
    for decode_row in (rows.decode_text_row, rows.decode_binary_row):
        with contextlib.suppress(ProtocolError):
            decode_row(definitions, data[5:])
    with contextlib.suppress(ProtocolError):
        parameters.decode_query_attributes(Cursor(data))
    with contextlib.suppress(InvalidGtidError):
        GtidSet.parse(data.decode("latin-1"))


def fuzz_classifier(data: bytes) -> None:
    mode = LexerMode(bool(data[:1] < b"\x40"), bool(data[:1] < b"\x20"))
    text = data[1:]
    statement = classify_statement(text, mode)
    statement_digest(text, mode)
    if statement.replica_safe:
        tokens = tokenize(text, mode)
        identifiers = [
            token.text
            for index, token in enumerate(tokens)
            if token.type is TokenType.IDENTIFIER and (not index or tokens[index - 1].text != ".")
        ]
        # REPLACE and INSERT are also functions; the classifier recognizes those by the following parenthesis.
        assert not (WRITE_KEYWORDS - {"REPLACE", "INSERT"}) & set(identifiers), text
    if statement.kind is StatementKind.READ:
        with contextlib.suppress(AmbiguousTextError):
            assert tokenize(text, mode)


def fuzz_one_input(data: bytes) -> None:
    if data:
        (fuzz_server, fuzz_client, fuzz_decoders, fuzz_classifier)[data[0] % 4](data[1:])


if __name__ == "__main__":
    atheris.Setup(sys.argv, fuzz_one_input)
    atheris.Fuzz()
