"""One process of a multi-process trial: the members of some groups with their links, or some drivers.

    python -m juniperreel.testbed.process_group SCRIPT members|drivers PART OF PORT DIRECTORY [PROGRAM...]

It is controlled by the trial that listens on PORT (`control_messages.py`), writes its recording into
DIRECTORY and exits with the trial. Every process derives the same faults from the script; the random members
that a fault affects are drawn by the process that runs the fault.
"""

from __future__ import annotations

import resource
import sys

import trio

from juniperreel.fakes.script import parse
from juniperreel.net import TcpNetwork
from juniperreel.testbed.control_messages import ControlConnection, Hello
from juniperreel.testbed.drivers_process import DriversProcess
from juniperreel.testbed.members_process import MembersProcess
from juniperreel.testbed.trial_process import MEMBERS, ProcessArguments
from juniperreel.verification.records import Recorder

CONNECT_TIMEOUT_US = 10_000_000


async def run_process(arguments: ProcessArguments) -> None:
    """Connect to the trial, run this process's part and write its recording."""
    script = parse(arguments.script_path.read_text(encoding="utf-8"))
    stream = await TcpNetwork().connect("127.0.0.1", arguments.control_port, CONNECT_TIMEOUT_US)
    control = ControlConnection(stream)
    await control.send(Hello(arguments.name))
    process_class = MembersProcess if arguments.role == MEMBERS else DriversProcess
    with (arguments.directory / f"{arguments.name}.recording").open("wb") as out:
        await process_class(script, arguments, control, Recorder(out)).run()


def main() -> None:
    """Entry point of the process."""
    # Hundreds of drivers open thousands of connections to one process's members, three descriptors each.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    trio.run(run_process, ProcessArguments.parse(sys.argv[1:]))


if __name__ == "__main__":
    main()
