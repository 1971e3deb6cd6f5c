"""Server side of one client connection: parses commands and sends their answers in order.

Commands of one connection run concurrently unless they conflict on the same key. Malformed input is rejected
here, with an error or by closing the connection; requests are interpreted and routed elsewhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from juniperreel.net.transport import READ_BYTES, Transport
from juniperreel.platform.arrival_times import ArrivalTimes
from juniperreel.platform.command import Command
from juniperreel.platform.command_order import CommandOrder
from juniperreel.platform.counters import CloseReason
from juniperreel.platform.errors import InvalidRequestError
from juniperreel.platform.incomplete_messages import UNCOUNTED_BYTES
from juniperreel.postgres import server, sqlstate
from juniperreel.postgres.messages import ProtocolError
from juniperreel.postgres.request_format import RequestFormatError, StatementRequest, parse_request

if TYPE_CHECKING:
    from juniperreel.platform.client_listener import ClientListener

MAX_OPEN_COMMANDS = 64  # per connection; further commands stay unparsed
MAX_UNPARSED_BYTES = server.QUERY_LIMIT + READ_BYTES  # buffered beyond that before reading is paused
SMALL_ANSWER_BYTES = 512  # errors and short values are always kept
MAX_UNSENT_BYTES = 1 << 20  # of answers, beyond which no further commands are read
CLOSE_TIMEOUT_US = 300_000  # for the client to close its side after ours; most do so sooner
CLOSE_UNSENT_TIMEOUT_US = 2_000_000  # as above, while an answer is still being sent
WHITESPACE = b" \t\r\n;"


class ClientConnection:
    """Protocol of a client's transport. Owns the connection's unanswered commands."""

    eof_is_disconnect = True

    def __init__(
        self, listener: ClientListener, transport: Transport, now_us: int, waiting_since_us: int = 0
    ) -> None:
        """Take over an accepted connection, which waited in the backlog since `waiting_since_us` (0: no)."""
        self.accepted_us = now_us
        self._listener = listener
        self._transport = transport
        self._protocol = server.ServerConnection()
        self._arrivals = ArrivalTimes()
        self._unread_since_us = waiting_since_us  # since when bytes may be unread in the kernel, or 0
        self.commands: deque[Command] = deque()  # not yet answered, or waiting behind one that is not
        self._protocol_error: ProtocolError | None = None  # raised by the last read
        self._waits_for_turn = False  # to read a command
        self._open_count = 0  # of commands that are not answered
        self._order = CommandOrder()
        self._holds_answers = False  # at the last update of the listener's answer buffers
        self._waiting_answer_bytes = 0  # of answered commands that have not been sent
        self.command_count = 0
        self._arrived_us = waiting_since_us or now_us  # earliest arrival of the last read
        self.input_wait_us = 0  # upper bound of how long the last read waited in the kernel
        self.last_active_us = self._arrived_us  # last answer, or the time of the accept
        self.partial_since_us = 0  # since when a command has been incomplete, or 0
        self._error_size = 0  # of the fatal error that closes the connection
        self.closing_since_us = 0  # since when this side has been closing the connection, or 0
        transport.protocol = self
        self._reset_unread_since_if_drained()

    # Called by the transport.

    def connection_made(self) -> None:
        """Do nothing: an accepted connection is already established."""

    @property
    def read_limit(self) -> int:
        """Largest number of bytes to read at once, which depends on the memory left for input."""
        return self._listener.input_buffers.read_limit

    def data_received(self, data: bytes) -> None:
        """Keep the input until it is this connection's turn to read a command."""
        self._arrived_us = self._earliest_arrival_us()
        self.input_wait_us = self._listener.handler.input_wait_us
        self._arrivals.receive(len(data), self._arrived_us, merge=self._protocol.drops_excess)
        # After a full read, bytes of the same age may remain in the kernel.
        self._unread_since_us = self._arrived_us if len(data) >= self.read_limit else 0
        self._protocol.receive_data(data)
        self._listener.input_buffers.update(self, self._protocol.held, is_incomplete=False)
        self._register_for_reading()
        self._update_reading()

    def _earliest_arrival_us(self) -> int:
        return self._unread_since_us or self._listener.handler.input_ready_since_us

    def connection_lost(self, _reason: str) -> None:
        """Withdraw all open commands."""
        self._listener.remove(self, CloseReason.CLIENT_LEFT)

    # Commands and answers.

    def _register_for_reading(self) -> None:
        """Wait for this connection's turn to read a command, if its input may contain one."""
        if not self._waits_for_turn and self._protocol.buffered and self._accepts_commands():
            self._waits_for_turn = True
            self._listener.intake.register(self)

    @property
    def has_open_commands(self) -> bool:
        """Whether a request of the client is not answered yet."""
        return self._open_count > 0

    def read_command(self) -> None:
        """Read one command, submit it if it may start, and send the answers that are due."""
        self._waits_for_turn = False
        if self._transport.closed or self.closing_since_us:
            return
        query = self._next_query() if self._accepts_commands() else None
        if query is not None:
            self._receive_command(query)
        self._send_output()
        self._update_input(may_have_more=query is not None)
        self._send_answers()
        if query is not None:
            self._register_for_reading()
        self._update_reading()

    def _receive_command(self, query: server.Query) -> None:
        self.command_count += 1
        self.partial_since_us = 0
        self._listener.on_command_received(self)
        arrived_us = self._arrivals.take(self._protocol.buffered)
        command = self._create_command(query, arrived_us)
        self.commands.append(command)
        if command.statement is None:
            self.on_answer_waiting(len(command.answer or b""))
            return
        self._open_count += 1
        self._submit(self._order.add(command, command.statement))

    def _send_output(self) -> None:
        """Send what the protocol itself answers, such as the response to a startup message."""
        if self._protocol.outgoing:
            output = self._protocol.outgoing
            self._protocol.outgoing = bytearray()
            self._transport.write(output)

    @property
    def _waits_for_answers(self) -> bool:
        """Whether answers have to be sent before further commands are read."""
        return len(self.commands) == MAX_OPEN_COMMANDS or self.reads_slowly

    def _update_input(self, may_have_more: bool) -> None:
        """Record how much input is left; `may_have_more`: it may contain another whole command."""
        is_partial = not may_have_more and not self._waits_for_answers and self._protocol.buffered > 0
        if not is_partial:
            self.partial_since_us = 0
        elif self._unread_since_us:  # the rest may have arrived: the client has not stopped within a command
            self.partial_since_us = self._listener.now()
        elif not self.partial_since_us:
            self.partial_since_us = self._arrived_us
        if is_partial and not self.command_count:
            self._listener.on_first_command_incomplete(self)
        self._listener.input_buffers.update(self, self._protocol.held, is_partial)

    def _update_reading(self) -> None:
        """Pause or resume reading by how much input is held and whether it can be parsed now."""
        held = self._protocol.held
        if held <= UNCOUNTED_BYTES and not self._transport.reading_paused and not self.unsent_bytes:
            return
        if self._transport.closed or self.closing_since_us or self._protocol_error is not None:
            return
        is_waiting = self._waits_for_turn or self._waits_for_answers
        is_short = is_waiting and self._listener.memory.input_is_short
        limit = UNCOUNTED_BYTES if is_short else MAX_UNPARSED_BYTES
        if self.reads_slowly:
            self.pause_reading()
            self._listener.watch_slow_reader(self)
        elif held > limit and not self._drop_excess():
            self.pause_reading()
        elif self._transport.reading_paused:
            self._resume_reading()

    def _drop_excess(self) -> bool:
        """Read on without keeping commands behind many open ones; return whether this is done.

        If reading were paused, the end of the stream would stay behind unread input, and attempts would be
        made for a client that has left.
        """
        if len(self.commands) == MAX_OPEN_COMMANDS:
            self._protocol.drop_excess()
        return self._protocol.drops_excess

    def discard_incomplete_message(self) -> None:
        """Discard the incomplete command, which is refused once its last byte has arrived.

        A startup message cannot be refused and the connection kept.
        """
        if self._protocol.phase is server.Phase.STARTUP:
            text = "no memory is left for the startup message"
            self.close_with_error(sqlstate.TOO_MANY_CONNECTIONS, text, CloseReason.INCOMPLETE_COMMAND)
        else:
            self._protocol.discard_incomplete_query()

    def _accepts_commands(self) -> bool:
        return (
            self._protocol_error is None
            and not self.reads_slowly
            and len(self.commands) < MAX_OPEN_COMMANDS
            and self._protocol.phase is not server.Phase.CLOSED
        )

    def _next_query(self) -> server.Query | None:
        try:
            return self._protocol.next_query()
        except ProtocolError as error:
            self._protocol_error = error.with_traceback(None)  # which would refer back to this connection
            self._transport.pause_reading()
            return None

    def _create_command(self, query: server.Query, arrived_us: int) -> Command:
        if query.is_discarded:
            return Command(self, arrived_us, None, self._listener.handler.refuse_command())
        if not query.text.strip(WHITESPACE):
            return Command(self, arrived_us, None, server.empty_query_response())
        if self.has_open_commands and self._listener.intake.is_overloaded:
            self._listener.overload_refusals += 1
            return Command(self, arrived_us, None, self._listener.handler.refuse_command())
        try:
            statement = parse_request(query.text)
        except RequestFormatError as error:
            return Command(self, arrived_us, None, server.failed("42601", str(error)))
        reservation = self._listener.memory.reserve_command(len(query.text), not self.has_open_commands)
        if reservation is None:
            return Command(self, arrived_us, None, self._listener.handler.refuse_command())
        return Command(self, arrived_us, statement, None, reservation)

    def _submit(self, commands: Iterable[Command]) -> None:
        """Submit commands that may start; one that is answered at once lets others start."""
        startable = deque(commands)
        while startable:
            command = startable.popleft()
            statement = command.statement
            assert statement is not None  # it is not answered
            try:
                self._listener.handler.submit(command, statement)
            except InvalidRequestError as error:
                command.set_answer(server.failed(error.sqlstate, error.message))
            if command.answer is not None:
                startable.extend(self._finish_open(command, statement))

    def _finish_open(self, command: Command, statement: StatementRequest) -> list[Command]:
        """Return the commands that may start now that this one is answered."""
        self._open_count -= 1
        return self._order.remove(command, statement.key)

    def on_answer(self, command: Command, answer: bytes) -> None:
        """Set the final answer of a submitted command, and send it once it is due."""
        statement = command.statement
        assert statement is not None  # it was submitted and is not answered
        is_held = self.commands[0] is not command or self.unsent_bytes > 0
        is_large = is_held and len(answer) > SMALL_ANSWER_BYTES
        if is_large and not self._listener.answer_buffers.has_room(len(answer)):
            answer = self._listener.handler.withhold_answer(statement)
        command.set_answer(answer)
        if is_held:
            self._update_held_answers()
        self._submit(self._finish_open(command, statement))
        self._send_answers()

    def _update_held_answers(self) -> None:
        self._listener.answer_buffers.update(self)
        self._holds_answers = self.held_answer_bytes > 0

    def on_answer_waiting(self, size: int) -> None:
        """Count an answer that waits to be sent."""
        self._waiting_answer_bytes += size

    @property
    def held_answer_bytes(self) -> int:
        """Size of the answers that wait for earlier commands or have not been accepted by the kernel."""
        return self._waiting_answer_bytes + self.unsent_bytes

    def _send_answers(self) -> None:
        """Send the answers that are due, and continue reading if that makes room for more commands."""
        answers = self._take_answers()
        if not answers and self.commands:
            return
        if answers:
            self._waiting_answer_bytes -= len(answers)
            self._transport.write(answers)
            if self.held_answer_bytes or self._holds_answers:
                self._update_held_answers()
            self.last_active_us = self._listener.now()
            if self.reads_slowly:
                self.pause_reading()
                self._listener.on_answers_unread(self)
                return
        if not self.commands:
            if self._close_when_done():
                return
            if answers:
                self._listener.on_commands_answered(self)
        if answers:
            self._register_for_reading()
            self._update_reading()

    def _take_answers(self) -> bytearray:
        answers = bytearray()
        while self.commands and self.commands[0].answer is not None:
            answers += self.commands.popleft().answer or b""
        return answers

    def _close_when_done(self) -> bool:
        """Close the connection if it is finished; return whether it was.

        During a shutdown only idle connections are closed: commands that the client has sent in the meantime
        are answered, too.
        """
        if self._protocol_error is not None:
            self.close_with_error(
                self._protocol_error.sqlstate, str(self._protocol_error), CloseReason.PROTOCOL_ERROR
            )
            return True
        terminated = self._protocol.phase is server.Phase.CLOSED
        if terminated or (self._listener.closing and self.is_idle):
            reason = CloseReason.TERMINATED if terminated else CloseReason.SHUTDOWN
            self._listener.close_gracefully(self, reason)
            return True
        return False

    # Called by the listener.

    def close_with_error(self, sqlstate: str, message: str, reason: CloseReason) -> None:
        """Send a fatal error and close the connection gracefully."""
        error = server.fatal(sqlstate, message)
        self._error_size = len(error)
        self._transport.write(error)
        self._listener.close_gracefully(self, reason)

    def unanswered_requests(self) -> list[str]:
        """Return the ids of the requests that were read but not answered."""
        return [
            command.statement.id for command in self.commands if command.statement and command.answer is None
        ]

    def close(self) -> list[Command]:
        """Close the connection immediately, and return the commands that it had.

        All that it holds is released now, and so is what refers back to it: connections may be closed faster
        than the garbage collector looks for reference cycles.
        """
        self._transport.close()
        self._discard_input()
        self._listener.answer_buffers.remove(self)
        self._waiting_answer_bytes = 0
        commands = list(self.commands)
        self.commands.clear()
        self._order.clear()
        for command in commands:
            command.release_memory()
        return commands

    def _discard_input(self) -> None:
        """Drop the input that was not parsed, as no more of it will be."""
        self._protocol.close()
        self._arrivals = ArrivalTimes()
        self._listener.input_buffers.remove(self)

    @property
    def unsent_bytes(self) -> int:
        """Output that the kernel has not accepted because the client does not read it."""
        return self._transport.write_buffer_size

    @property
    def unsent_answer_bytes(self) -> int:
        """As `unsent_bytes`, without the fatal error that closes a connection, which answers no command."""
        return max(self.unsent_bytes - self._error_size, 0)

    @property
    def reads_slowly(self) -> bool:
        """Whether the client has to read its answers before further commands are read."""
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes:
            return False
        return unsent_bytes > MAX_UNSENT_BYTES or not self._listener.answer_buffers.has_room(0)

    def resume(self) -> None:
        """Resume reading commands after the answers have been sent."""
        if not self.closing_since_us:
            self._register_for_reading()
            self._update_reading()

    def _resume_reading(self) -> None:
        self._reset_unread_since_if_drained()
        self._transport.resume_reading()

    def _reset_unread_since_if_drained(self) -> None:
        """Reset the unread timestamp if the kernel holds no bytes: later input has not waited."""
        if self._unread_since_us and self._transport.has_nothing_to_read():
            self._unread_since_us = 0

    def has_disconnected(self) -> bool:
        """Return whether the client has closed or reset the connection, even before its event was handled."""
        return self._transport.peer_has_disconnected()

    def has_unread_bytes(self) -> bool:
        """Return whether input is pending that the driver has not looked at, or an end of stream."""
        return self._waits_for_turn or not self._transport.has_nothing_to_read()

    def pause_reading(self) -> None:
        """Stop reading commands."""
        self._unread_since_us = self._unread_since_us or self._listener.now()
        self._transport.pause_reading()

    def begin_closing(self, now_us: int) -> bool:
        """Start a graceful close; return False if the connection is closed already."""
        self.closing_since_us = self.closing_since_us or now_us
        self._discard_input()
        self._transport.write_eof()
        return not self._transport.closed

    def close_timed_out(self, now_us: int) -> bool:
        """Return whether the client has failed to close its side in time."""
        timeout_us = CLOSE_UNSENT_TIMEOUT_US if self._transport.write_buffer_size else CLOSE_TIMEOUT_US
        return now_us - self.closing_since_us > timeout_us

    @property
    def is_idle(self) -> bool:
        """Whether no command is open, no input is pending, and every answer has been sent."""
        return (
            not self.commands
            and not self._protocol.buffered
            and not self._transport.write_buffer_size
            and self._transport.has_nothing_to_read()
        )
