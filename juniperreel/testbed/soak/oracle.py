"""Checks one soak: the five rules on its records, client observations, and the logs of the drivers."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from juniperreel.testbed.driver_fleet import ExitStatus
from juniperreel.testbed.faulty_driver import COUNTS_SUFFIX
from juniperreel.testbed.hold_ups import read_hold_ups
from juniperreel.testbed.injected_faults import FaultKind, SharedCounts
from juniperreel.testbed.run_queue import RunQueueWaits
from juniperreel.testbed.soak.requests import ClientObservations
from juniperreel.testbed.soak.timeliness import DriverDelays, late_answers
from juniperreel.verification import records as rec
from juniperreel.verification.history import CROSS_SOCKET_TOLERANCE_US, History
from juniperreel.verification.rules import RULES

FINAL_ANSWER_RULE = 1  # rule numbers
STALE_READ_RULE = 5
# A driver that begins an attempt this long after its client disconnected missed the disconnect.
ATTEMPT_AFTER_DISCONNECT_US = 100_000
# Reported because lag of the soak's own event loop makes timely answers look late to its clients.
MAX_LOOP_LAG = "longest lag of the soak's own loop, in microseconds"
# Log events by which a driver reports its own errors.
FAULT_EVENTS = (
    "rule violated",
    "connection raised",
    "timer raised",
    "policy raised on batch",
    "open request overdue",
)

# Log events and counters that show that the faults reached the drivers. Each must occur at least once.
READ_EVENTS = ("request taken", "request rejected at once")
EVIDENCE_IN_LOGS = (
    "graceful shutdown started",
    "configuration reloaded",
    "configuration reload rejected",
    "discovery failed",
)
EVIDENCE_IN_COUNTS = (
    ("attempts", "reset"),
    ("attempts", "timeout"),
    ("attempts", "unreachable"),
    ("attempts", "rejected"),
    ("attempts", "error"),
    ("closed_clients", "client left"),
    ("closed_clients", "half a command"),
    ("closed_clients", "shutdown"),
    ("lists", "failed"),
    ("lists", "silent"),
)
EVIDENCE_IN_CLIENTS = (
    "stopped in a startup",
    "stopped in a command",
    "rests",
    "rests until the driver ends it",
    "left",
    "sent much and left",
    "pipelined",
    "wrote slowly",
    "answers to clients that leave after their time",
    "kept sending until the end",
    "answers to clients that keep sending",
)
EVIDENCE_OF_A_CROWD = ("closed_clients", "descriptors")


@dataclass(slots=True)
class SoakReport:
    """The result of one soak, which is conclusive only if `missing` is empty."""

    seed: int
    violations: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)  # expected evidence that did not occur
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def passed(self) -> bool:
        """Whether no violation was found and all expected evidence occurred."""
        return not self.violations and not self.missing


def check_soak(
    seed: int,
    records: Sequence[rec.Record],
    observations: ClientObservations,
    logs: Iterable[Path],
    counts_directory: Path,
    exits: Sequence[ExitStatus],
    crashed: Sequence[str],
    clock_offset_us: int = 0,
    waits: RunQueueWaits | None = None,
    has_crowd: bool = False,
    max_loop_lag_us: int = 0,
) -> SoakReport:
    """Check one soak and return its report.

    `crashed` lists drivers that exited on their own. `clock_offset_us` is how far the clock of `observations`
    is ahead of the monotonic clock. `waits` are run queue waits of drivers. `max_loop_lag_us` is the maximum
    lag of the soak's event loop.
    """
    report = SoakReport(seed)
    lines = [line for path in logs for line in _log_lines(path)]
    report.violations += _rule_violations(records, observations)
    report.violations += _attempts_after_disconnect(records, observations)
    report.violations += _accepted_but_unanswered(records, observations, lines)
    delays = DriverDelays(read_hold_ups(counts_directory), waits or RunQueueWaits(), clock_offset_us)
    report.violations += late_answers(observations.awaited, delays)
    report.violations += observations.violations
    report.violations += [json.dumps(line)[:600] for line in lines if line["event"] in FAULT_EVENTS]
    report.violations += [f"{name} exited on its own" for name in crashed]
    report.violations += [
        f"{exit.driver} ended with status {exit.status} {exit.details}" for exit in exits if exit.status
    ]
    expected = [*EVIDENCE_IN_COUNTS, EVIDENCE_OF_A_CROWD] if has_crowd else EVIDENCE_IN_COUNTS
    _count(report, records, observations, lines, counts_directory, expected)
    report.counts[MAX_LOOP_LAG] = max_loop_lag_us
    return report


def _log_lines(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_bytes().splitlines():
        if line.startswith(b"{"):
            yield json.loads(line)


def _rule_violations(records: Sequence[rec.Record], observations: ClientObservations) -> Iterator[str]:
    """Check the five rules.

    Clients that disconnected are owed no answer, and requests unanswered at close are checked separately.
    """
    sent_ids = {record.request_id for record in records if isinstance(record, rec.RequestSent)}
    for number, rule in RULES.items():
        checked = records
        if number == FINAL_ANSWER_RULE:
            owed_ids = {None, *(sent_ids - set(observations.unanswered_at_close))}
            tolerances = {
                answer.request_id: answer.tolerance_us for answer in observations.awaited if answer.answered
            }
            checked = [
                _with_tolerance(record, tolerances)
                for record in records
                if getattr(record, "request_id", None) in owed_ids
            ]
        elif number == STALE_READ_RULE:
            checked = [r for r in records if getattr(r, "request_id", None) not in observations.sessionless]
        for violation in rule.check(History.of(checked)):
            yield f"rule {number}: {violation.text} at {violation.record.at}"


def _with_tolerance(record: rec.Record, tolerances: Mapping[str, int]) -> rec.Record:
    """Extend the deadline of a request by how late its client itself may have read the answer."""
    if not isinstance(record, rec.RequestSent) or record.request_id not in tolerances:
        return record
    return msgspec.structs.replace(record, deadline=record.deadline + tolerances[record.request_id])


def _attempts_after_disconnect(
    records: Iterable[rec.Record], observations: ClientObservations
) -> Iterator[str]:
    disconnected_us = {disconnect.request_id: disconnect.at_us for disconnect in observations.disconnects}
    for record in records:
        if isinstance(record, rec.AttemptReceived) and record.request_id in disconnected_us:
            late_us = record.at - disconnected_us[record.request_id]
            if late_us > ATTEMPT_AFTER_DISCONNECT_US + CROSS_SOCKET_TOLERANCE_US:
                yield f"{record.request_id} was sent {late_us} us after its client had left"


def _accepted_but_unanswered(
    records: Iterable[rec.Record], observations: ClientObservations, lines: Iterable[dict[str, Any]]
) -> Iterator[str]:
    """Describe requests that a driver had read when it closed their connection without an answer."""
    sent_ids = {record.request_id for record in records if isinstance(record, rec.AttemptReceived)}
    accepted_ids = {line["request"] for line in lines if line["event"] in READ_EVENTS}
    for request_id, driver in observations.unanswered_at_close.items():
        if request_id in sent_ids or request_id in accepted_ids:
            yield f"{driver} accepted {request_id} and closed its connection without an answer"


def _count(
    report: SoakReport,
    records: Iterable[rec.Record],
    observations: ClientObservations,
    lines: Sequence[dict[str, Any]],
    counts_directory: Path,
    expected_counts: Sequence[tuple[str, str]],
) -> None:
    injected: Counter[FaultKind] = Counter()
    for path in counts_directory.glob(f"*{COUNTS_SUFFIX}"):
        injected += SharedCounts(path).read()
    events = Counter(line["event"] for line in lines)
    counted: Counter[str] = Counter()
    for line in lines:
        if line["event"] == "shutdown complete":
            for group, name in expected_counts:
                counted[f"{group}: {name}"] += line[group].get(name, 0)
    evidence = {
        **{f"injected: {kind.value}": injected[kind] for kind in FaultKind},
        **{f"log: {event}": events[event] for event in EVIDENCE_IN_LOGS},
        **{f"{group}: {name}": counted[f"{group}: {name}"] for group, name in expected_counts},
        **{f"client: {kind}": observations.counts[kind] for kind in EVIDENCE_IN_CLIENTS},
    }
    report.missing += [name for name, count in evidence.items() if not count]
    report.counts.update(evidence)
    responses = [record for record in records if isinstance(record, rec.ResponseReceived)]
    report.counts["requests answered"] = len(responses)
    report.counts["requests served"] = sum(record.status == 0 for record in responses)
    report.counts["requests given up"] = sum(not awaited.answered for awaited in observations.awaited)
    report.counts["requests crossed an end"] = len(observations.unanswered_at_close)
