"""Divides the process's memory limit between the uses that peers can increase. Performs no I/O.

Limits for each connection do not bound the memory of all connections together. Each use therefore has a share
of the process's limit, and what does not fit is refused, discarded or read later by the owner of that use.
"""

from __future__ import annotations

BYTES_PER_MB = 1 << 20
PROGRAM_BYTES = 24 * BYTES_PER_MB  # interpreter, modules, and tables at their largest
CONNECTION_BYTES = 4096  # of the objects of a connection, without what it has received and has to send
# Of what the program and the connections leave. The rest covers queries that endpoints have not read yet,
# temporary copies and heap fragmentation.
CLIENT_FRACTION = 0.6
REPLY_FRACTION = 0.2  # of it too: replies that are being received
MIN_REPLY_BYTES = 1 * BYTES_PER_MB
MIN_CLIENT_BYTES = 2 * BYTES_PER_MB  # under a limit that leaves nothing, a few commands are still served
REQUEST_FRACTION = 0.75  # of that: commands that are being received, and open requests
COMMAND_FRACTION = 0.5  # the part of it that open requests may use
# The part that further commands of connections may use. A connection's first open command may use more, so
# that clients which send many commands at once leave room for the others.
FURTHER_COMMAND_FRACTION = 0.25
ANSWER_FRACTION = 0.25
INPUT_SHORTAGE_FRACTION = 0.5  # of the limit of all commands, beyond which connections read little at a time
COMMAND_OVERHEAD_BYTES = 4096  # of the objects that an open request consists of, without its statement


class MemoryShare:
    """The limit of one use of memory, and how much of it is in use."""

    __slots__ = ("limit", "peak", "used")

    def __init__(self, limit: int) -> None:
        """`limit` is in bytes."""
        self.limit = limit
        self.used = 0
        self.peak = 0  # highest value of `used`

    def add(self, size: int) -> None:
        """Count `size` more bytes, or fewer if it is negative, regardless of the limit."""
        self.used += size
        self.peak = max(self.peak, self.used)

    def fits(self, size: int) -> bool:
        """Return whether `size` more bytes stay within the limit."""
        return self.used + size <= self.limit


class Reservation:
    """Memory that is reserved for one command until `release`."""

    __slots__ = ("_share", "_size")

    def __init__(self, share: MemoryShare, size: int) -> None:
        """Count `size` bytes as used."""
        self._share = share
        self._size = size
        share.add(size)

    def release(self) -> None:
        """Return the memory; further calls have no effect."""
        self._share.add(-self._size)
        self._size = 0


class MemoryBudget:
    """The shares of one driver."""

    def __init__(self, limit_mb: float, max_connections: int) -> None:
        """`limit_mb` is the memory limit of the process."""
        available = limit_mb * BYTES_PER_MB - PROGRAM_BYTES - max_connections * CONNECTION_BYTES
        total = max(available * CLIENT_FRACTION, MIN_CLIENT_BYTES)
        # Received and not yet parsed. It may use what open requests leave.
        self.input = MemoryShare(int(total * REQUEST_FRACTION))
        self.commands = MemoryShare(int(total * COMMAND_FRACTION))  # open requests and their statements
        self.answers = MemoryShare(int(total * ANSWER_FRACTION))  # not yet accepted by the kernel
        self.replies = MemoryShare(max(int(available * REPLY_FRACTION), MIN_REPLY_BYTES))
        self._further_command_limit = int(total * FURTHER_COMMAND_FRACTION)
        self.refused_commands = 0
        self.withheld_answers = 0

    def reserve_command(self, statement_size: int, is_first: bool) -> Reservation | None:
        """Reserve memory for a command, or return None if it is to be refused.

        `is_first`: the connection has no other open command.
        """
        size = statement_size + COMMAND_OVERHEAD_BYTES
        limit = self.commands.limit if is_first else self._further_command_limit
        if self.commands.used + size > limit:
            self.refused_commands += 1
            return None
        return Reservation(self.commands, size)

    @property
    def input_is_exceeded(self) -> bool:
        """Whether input and open requests together use more than their limit."""
        return self.input.used + self.commands.used > self.input.limit

    @property
    def input_is_short(self) -> bool:
        """Whether connections should read little, and only what they can parse."""
        return self.input.used + self.commands.used > self.input.limit * INPUT_SHORTAGE_FRACTION

    def fields(self) -> dict[str, int]:
        """Return the highest use of each share and the counts of what did not fit, for the log."""
        return {
            "input_peak": self.input.peak,
            "commands_peak": self.commands.peak,
            "answers_peak": self.answers.peak,
            "replies_peak": self.replies.peak,
            "refused_commands": self.refused_commands,
            "withheld_answers": self.withheld_answers,
        }
