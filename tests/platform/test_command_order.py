"""The order of commands on one connection, and the turns of connections."""

from __future__ import annotations

from collections import deque
from typing import cast

from hypothesis import given
from hypothesis import strategies as st

from juniperreel.platform.command import Command
from juniperreel.platform.command_intake import CommandIntake
from juniperreel.platform.command_order import CommandOrder
from juniperreel.postgres.request_format import StatementRequest, parse_request
from tests.platform.event_harness import read_query, write_query


def statement(number: int, key: str, is_write: bool) -> StatementRequest:
    query = write_query if is_write else read_query
    return parse_request(query(f"{number:016x}", key=key))


def may_start(commands: list[StatementRequest], answered: set[int], place: int) -> bool:
    """The rule, looking at all earlier commands that are not answered."""
    later = commands[place]
    earlier = [command for number, command in enumerate(commands[:place]) if number not in answered]
    return not any(command.key == later.key and (command.is_write or later.is_write) for command in earlier)


@given(
    kinds=st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=20),
    choices=st.lists(st.integers(0, 1_000), min_size=40, max_size=40),
)
def test_commands_start_as_soon_as_no_earlier_one_conflicts(
    kinds: list[tuple[str, bool]], choices: list[int]
) -> None:
    statements = [statement(number, key, is_write) for number, (key, is_write) in enumerate(kinds)]
    order = CommandOrder()
    added: list[StatementRequest] = []
    started: set[int] = set()
    answered: set[int] = set()
    picks = deque(choices)
    commands = [cast(Command, object()) for _ in statements]
    while len(answered) < len(statements):
        running = sorted(started - answered)
        if len(added) < len(statements) and (not running or picks.popleft() % 2):
            number = len(added)
            added.append(statements[number])
            started |= {commands.index(found) for found in order.add(commands[number], statements[number])}
        else:
            number = running[(picks.popleft() if picks else 0) % len(running)]
            answered.add(number)
            started |= {
                commands.index(found) for found in order.remove(commands[number], statements[number].key)
            }
        expected = {place for place in range(len(added)) if may_start(added, answered, place)}
        assert started >= expected
        assert started - answered <= expected
        if not picks:
            break


class Reader:
    """A connection with some commands, which record their turns."""

    def __init__(self, intake: CommandIntake, name: str, commands: int, turns: list[str]) -> None:
        self.has_open_commands = False
        self._intake = intake
        self._name = name
        self._commands = commands
        self._turns = turns
        intake.register(self)

    def read_command(self) -> None:
        self._turns.append(self._name)
        self._commands -= 1
        self.has_open_commands = True
        if self._commands:
            self._intake.register(self)


def test_connections_take_turns_and_those_without_an_open_command_come_first() -> None:
    intake = CommandIntake()
    turns: list[str] = []
    Reader(intake, "a", 3, turns)
    Reader(intake, "b", 3, turns)
    intake.read_next()
    Reader(intake, "c", 1, turns)
    while intake.read_next():
        pass
    assert turns == ["a", "b", "c", "a", "b", "a", "b"]
    assert intake.is_empty
