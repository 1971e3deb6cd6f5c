"""Rule 5: the rows of every served read include the writes that its class guarantees to be visible."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.verification.history import ClientAttempt, History, Violation
from juniperreel.verification.records import Committed, RequestClass, RequestSent, ResponseReceived

RULE = 5
STATUS_OK = 0


@dataclass(slots=True)
class ReadCounts:
    """The numbers of reads and rows that were checked."""

    session: int = 0  # reads that must include their session's own writes
    bounded: int = 0  # reads that must include all writes older than a bound
    rows: int = 0


class SessionRow(NamedTuple):
    """Identifies the writes of one session to one row."""

    session: str
    row: str


class AcknowledgedWrite(NamedTuple):
    """A write whose client received a success response at `at`."""

    at: int
    request_id: str


def check_reads(history: History, counts: ReadCounts | None = None) -> list[Violation]:
    """Find served reads that lack a required write; `counts` is updated with the numbers checked."""
    checker = _ReadChecker(history, counts or ReadCounts())
    found: list[Violation] = []
    for attempt, request in history.requests.items():
        request_class = history.classes[request.class_name]
        response = _first_success(history, attempt)
        if response is not None and not request_class.write:
            found.extend(checker.check(request, request_class, response))
    return found


def _first_success(history: History, attempt: ClientAttempt) -> ResponseReceived | None:
    return next((r for r in history.responses.get(attempt, []) if r.status == STATUS_OK), None)


@dataclass(frozen=True, slots=True)
class _ServedRead:
    """A read and its response. A response that was truncated shows no commits below `oldest_position`."""

    request: RequestSent
    response: ResponseReceived
    returned_ids: frozenset[str]
    oldest_position: int


class _ReadChecker:
    """Compares the rows of a response with the writes that it must include."""

    def __init__(self, history: History, counts: ReadCounts) -> None:
        self._history = history
        self._counts = counts
        self._commits_by_row = _commits_by_row(history)
        self._acknowledged = _acknowledged_writes(history)

    def check(
        self, request: RequestSent, request_class: RequestClass, response: ResponseReceived
    ) -> list[Violation]:
        """Violations by one served read: at most one for its session and one for the staleness bound."""
        returned_ids = frozenset(response.rows)
        read = _ServedRead(
            request, response, returned_ids, self._oldest_position(request, response, returned_ids)
        )
        self._counts.rows += len(returned_ids)
        found: list[Violation | None] = []
        if request_class.session:
            self._counts.session += 1
            found.append(self._missing_session_write(read))
        if request_class.max_staleness_us >= 0:
            self._counts.bounded += 1
            found.append(self._missing_older_write(read, request_class.max_staleness_us))
        return [violation for violation in found if violation is not None]

    def _oldest_position(
        self, request: RequestSent, response: ResponseReceived, returned_ids: frozenset[str]
    ) -> int:
        if not response.has_older_rows:
            return 0
        commits = self._commits_by_row[request.row]
        return min((commit.position for commit in commits if commit.request_id in returned_ids), default=0)

    def _missing_session_write(self, read: _ServedRead) -> Violation | None:
        request = read.request
        for write in self._acknowledged[SessionRow(request.session, request.row)]:
            positions = [commit.position for commit in self._history.commits.get(write.request_id, [])]
            if (
                write.at <= request.at
                and write.request_id not in read.returned_ids
                and max(positions, default=read.oldest_position) >= read.oldest_position
            ):
                text = f"{request.request_id} does not show its session's write {write.request_id}"
                return Violation(RULE, text, read.response)
        return None

    def _missing_older_write(self, read: _ServedRead, max_staleness_us: int) -> Violation | None:
        sent_at = self._served_attempt_at(read)
        if sent_at is None:
            return None
        newest_required_position = sent_at - max_staleness_us
        for commit in self._commits_by_row[read.request.row]:
            if (
                read.oldest_position <= commit.position <= newest_required_position
                and commit.request_id not in read.returned_ids
                and self._history.survives(commit)
            ):
                age_ms = (sent_at - commit.position) / 1000
                text = f"{read.request.request_id} lacks {commit.request_id}, {age_ms:.0f} ms old"
                return Violation(RULE, text, read.response)
        return None

    def _served_attempt_at(self, read: _ServedRead) -> int | None:
        """When the served attempt arrived: the last one at the responding endpoint before the response."""
        response = read.response
        attempts = self._history.attempts.get(read.request.request_id, [])
        times = [a.at for a in attempts if a.endpoint == response.endpoint and a.at <= response.at]
        return max(times, default=None)


def _commits_by_row(history: History) -> dict[str, list[Committed]]:
    """The commits of each row, ordered by position."""
    by_row: dict[str, list[Committed]] = defaultdict(list)
    for commits in history.commits.values():
        for commit in commits:
            by_row[commit.row].append(commit)
    for row_commits in by_row.values():
        row_commits.sort(key=lambda commit: commit.position)
    return by_row


def _acknowledged_writes(history: History) -> dict[SessionRow, list[AcknowledgedWrite]]:
    """The writes of each session and row that were acknowledged to the client."""
    writes: dict[SessionRow, list[AcknowledgedWrite]] = defaultdict(list)
    for attempt, responses in history.responses.items():
        request = history.requests.get(attempt)
        if request is None:
            continue
        for response in responses:
            if response.status == STATUS_OK and history.classes[request.class_name].write:
                key = SessionRow(request.session, request.row)
                writes[key].append(AcknowledgedWrite(response.at, attempt.request_id))
    return writes
