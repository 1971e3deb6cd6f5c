"""What the commands print when a server accepts the connection and never answers."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.raft import client

EMPTY_SETTINGS_FRAME = bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))


@pytest.fixture
def silent_address() -> Iterator[str]:
    """The address of an HTTP/2 server that opens its connections and answers no request."""
    connections: list[socket.socket] = []

    def accept() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:  # the server was shut down
                return
            connection.sendall(EMPTY_SETTINGS_FRAME)
            connections.append(connection)

    server = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=accept)
    thread.start()
    yield f"127.0.0.1:{server.getsockname()[1]}"
    server.shutdown(socket.SHUT_RDWR)
    thread.join(10)
    for opened in (server, *connections):
        opened.close()


def test_call_without_an_answer_says_that_its_outcome_is_unknown(silent_address: str) -> None:
    result = CliRunner().invoke(main, ["call", silent_address, "write", "select 1", "--timeout", "0.5"])
    assert result.exit_code == 1
    assert result.output == (
        f"{silent_address}: no answer within the timeout; the request may have taken effect\n"
    )


def test_change_of_the_members_without_an_answer_says_that_it_may_have_taken_effect(
    silent_address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "CALL_TIMEOUT_US", 200_000)
    arguments = ["config", "--at", silent_address, "members", "remove", "c9@127.0.0.1:9"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 1
    assert result.output == (
        f"no leader in 5 attempts; last failure: {silent_address} did not respond in time; "
        "an earlier attempt may have taken effect\n"
    )


def test_change_that_no_instance_received_does_not_say_that_it_may_have_taken_effect() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        unused_address = f"127.0.0.1:{server.getsockname()[1]}"
    arguments = ["config", "--at", unused_address, "members", "remove", "c9@127.0.0.1:9"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 1
    assert "no leader in 5 attempts" in result.output
    assert "may have taken effect" not in result.output


def test_status_of_an_instance_without_an_answer_says_so(silent_address: str) -> None:
    result = CliRunner().invoke(main, ["config", "--at", silent_address, "status"])
    assert result.output == f"{silent_address}: no answer\n"
