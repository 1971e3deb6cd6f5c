"""Adapter between the simulator's line protocol and the router's events and actions.

Reads batches of lines from standard input, hosts one `Router` per instance, and writes one reply per batch.
Makes no routing decisions.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterable, Iterator
from decimal import ROUND_CEILING, ROUND_FLOOR, Decimal
from typing import NamedTuple, TextIO

from juniperreel.platform_settings import read_settings
from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    Event,
    Fail,
    FetchEndpointList,
    HealthCheckEnded,
    LoadReport,
    Log,
    Outcome,
    Readiness,
    Reject,
    Request,
    Role,
    Send,
    SetTimer,
    StartHealthCheck,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
)

TRAILING_FIELDS = ("config=", "reason_text=", "payload=")  # fields whose value extends to the end of the line
OUTCOMES = {
    "GOOD": Outcome.OK,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.REJECTED,
    "LATE": Outcome.TIMEOUT,
    "NOCONN": Outcome.UNREACHABLE,
    "RST": Outcome.RESET,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
    "MISS": Outcome.INELIGIBLE,
}
READINESS = {"IN": Readiness.READY, "LAME": Readiness.DRAINING, "OUT": Readiness.REMOVED}
UPDATE_KINDS = {
    "Partial": UpdateKind.DELTA,
    "Complete": UpdateKind.SNAPSHOT,
    "Persisted": UpdateKind.CACHED,
    "Error": UpdateKind.FAILED,
}
ROLES = {0: Role.UNKNOWN, 1: Role.PRIMARY, 2: Role.REPLICA}
STAMP_ROLE_BASE = 4  # stamp = position in milliseconds * STAMP_ROLE_BASE + role
EXPECTED_EVENTS = "RESULT, ORDER, EXPIRED, BELL, CHECKED, FLOWING, HEARD or UPDATE"
US_PER_SECOND = 1_000_000
US_PER_MS = 1_000

Fields = dict[str, str]


class WireError(Exception):
    """Input that violates the line protocol."""


class MissingFieldError(WireError):
    """A message lacks a required field."""

    def __init__(self, message: str, field: str) -> None:
        super().__init__(f"{message}: missing field {field}")
        self.message = message
        self.field = field


class MalformedFieldError(WireError):
    """A field is not of the form name=value, or its value has the wrong type."""

    def __init__(self, text: str) -> None:
        super().__init__(f"malformed field: {text[:60]!r}")
        self.text = text


class UnexpectedMessageError(WireError):
    """A message of an unexpected kind."""

    def __init__(self, name: str, expected: str) -> None:
        super().__init__(f"unexpected message {name!r}, expected {expected}")
        self.name = name
        self.expected = expected


class InstanceNotRunningError(WireError):
    """A message for an instance that is not running."""

    def __init__(self, message: str, instance: str) -> None:
        super().__init__(f"{message} for instance {instance}, which is not running")
        self.instance = instance


class Message(NamedTuple):
    """One line of the protocol."""

    name: str
    fields: Fields

    def require(self, field: str) -> str:
        """Return the value of a required field. Raises MissingFieldError."""
        try:
            return self.fields[field]
        except KeyError:
            raise MissingFieldError(self.name, field) from None

    def get(self, field: str, default: str) -> str:
        """Return the value of an optional field."""
        return self.fields.get(field, default)


def microseconds_down(seconds_text: str) -> int:
    """Convert seconds to whole microseconds, rounded down: for deadlines and positions."""
    return int((Decimal(seconds_text) * US_PER_SECOND).to_integral_value(ROUND_FLOOR))


def microseconds_up(seconds_text: str) -> int:
    """Convert seconds to whole microseconds, rounded up: for start times."""
    return int((Decimal(seconds_text) * US_PER_SECOND).to_integral_value(ROUND_CEILING))


def microseconds(seconds_text: str) -> int:
    """Convert seconds to whole microseconds, rounded to the nearest."""
    return round(float(seconds_text) * US_PER_SECOND)


def read_flag(text: str) -> bool:
    """Parse a boolean, 0 or 1. Raises WireError."""
    if text not in ("0", "1"):
        raise MalformedFieldError(text)
    return text == "1"


def render_seconds(us: int) -> str:
    """Format microseconds as decimal seconds without trailing zeros."""
    return f"{us / US_PER_SECOND:.6f}".rstrip("0").rstrip(".")


def parse_line(line: str) -> Message:
    """Parse a message name and its fields. Raises WireError."""
    name, _, rest = line.partition(" ")
    fields: Fields = {}
    while rest:
        key, equals, tail = rest.partition("=")
        if not equals or not key or " " in key:
            raise MalformedFieldError(rest)
        if rest.startswith(TRAILING_FIELDS):
            fields[key] = tail
            break
        fields[key], _, rest = tail.partition(" ")
    return Message(name, fields)


def read_endpoint(item: Message) -> Endpoint:
    """Convert one row of an endpoint list."""
    return Endpoint(
        id=item.require("member"),
        group=int(float(item.get("group", "0"))),
        zone=int(item.get("zone", "0")),
        machine_type=int(item.get("model", "0")),
        readiness=READINESS[item.get("readiness", "IN")],
        listed_primary=float(item.get("is_primary", "0")) >= 0.5,
        capacity=float(item.get("size", "1")),
        started_us=microseconds_up(item.get("ready_at_s", "0")),
    )


def read_endpoint_list(lines: Iterator[str], row_count: int) -> tuple[Endpoint, ...]:
    """Read the rows that follow a TABLE. Raises WireError if there are fewer than announced."""
    endpoints = []
    for _ in range(row_count):
        item = parse_line(next(lines, ""))
        if item.name != "ITEM":
            raise UnexpectedMessageError(item.name, "ITEM")
        endpoints.append(read_endpoint(item))
    return tuple(endpoints)


class HostedRouter:
    """The router of one instance, and the origin of its log positions."""

    def __init__(self, enlist: Message) -> None:
        """Create the router from an ENLIST message."""
        settings = read_settings(json.loads(enlist.require("config")))
        self.position_zero_us = settings.position_zero_us
        self.router = Router(settings.router, int(enlist.require("random_seed")))

    def read_event(self, message: Message) -> Event | None:
        """Convert a message to an event; None for messages that the router ignores. Raises WireError."""
        match message.name:
            case "RESULT":
                return self._read_attempt_ended(message)
            case "ORDER":
                return self._read_request(message)
            case "EXPIRED":
                return ClientDisconnected(message.require("ref"))
            case "BELL":
                return TimerFired(int(message.get("key_back", "0")))
            case "CHECKED":
                return self._read_health_check_ended(message)
            case "FLOWING":
                attempt = int(message.get("seq_no", "0"))
                return StreamStarted(message.require("ref"), attempt, message.require("member"))
            case "HEARD":
                return None
            case _:
                raise UnexpectedMessageError(message.name, EXPECTED_EVENTS)

    def _read_attempt_ended(self, result: Message) -> AttemptEnded:
        position_ms, role = divmod(int(result.get("stamp", "0")), STAMP_ROLE_BASE)
        position_us = self.position_zero_us + position_ms * US_PER_MS
        return AttemptEnded(
            request=result.require("ref"),
            attempt=int(result.get("seq_no", "0")),
            endpoint=result.require("member"),
            outcome=OUTCOMES[result.require("outcome")],
            duration_us=microseconds(result.get("spent_s", "0")),
            request_finished=read_flag(result.get("done_flag", "0")),
            role=ROLES.get(role, Role.UNKNOWN),
            position_us=position_us if position_ms else None,
            load_report=self._read_load_report(result.get("gauge", "")),
        )

    @staticmethod
    def _read_request(order: Message) -> Request:
        age_ms = float(order.get("since_write_ms", "0"))  # 0 if the session has written nothing
        expected_s = order.fields.get("expected_s")
        return Request(
            id=order.require("ref"),
            class_index=int(order.get("priority", "0")),
            tenant_index=int(order.get("tenant", "0")),
            group=int(float(order.get("group_no", "0"))),
            deadline_us=microseconds_down(order.require("client_deadline_s")),
            session=order.fields.get("conn_key"),
            session_age_us=math.floor(age_ms * US_PER_MS) if age_ms else None,
            expected_duration_us=None if expected_s is None else microseconds(expected_s),
            is_retry=read_flag(order.get("retry", "0")),
        )

    def _read_health_check_ended(self, checked: Message) -> HealthCheckEnded:
        return HealthCheckEnded(
            endpoint=checked.require("member"),
            outcome=OUTCOMES[checked.require("outcome")],
            duration_us=microseconds(checked.get("spent_s", "0")),
            load_report=self._read_load_report(checked.get("gauge", "")),
        )

    def _read_load_report(self, text: str) -> LoadReport | None:
        if text in ("", "-"):
            return None
        values: dict[str, str] = {}
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            values[name] = value
        position_s = values.get("x0")
        primary = values.get("x1")
        in_flight = values.get("busy_reqs")
        queued = values.get("pending")
        return LoadReport(
            position_us=None if position_s is None else self.position_zero_us + microseconds_down(position_s),
            is_primary=None if primary is None else float(primary) >= 0.5,
            in_flight=None if in_flight is None else float(in_flight),
            queued=None if queued is None else float(queued),
        )


def render_action(action: Action, instance: str) -> str:
    """Format an action as a line of the protocol."""
    target = f"driver={instance}"
    match action:
        case Send(request, endpoint, timeout_us):
            limit = f" allow_for_s={render_seconds(timeout_us)}" if timeout_us else ""
            return f"CALL_OUT {target} ref={request} member={endpoint}{limit}"
        case Cancel(request, attempt):
            return f"CANCEL {target} ref={request} seq_no={attempt}"
        case Reject(request, retry_after_us):
            hint = f" not_before_for_s={render_seconds(retry_after_us)}" if retry_after_us else ""
            return f"OVERLOAD_REPLY {target} ref={request}{hint}"
        case Fail(request):
            return f"DROP_REQUEST {target} ref={request}"
        case SetTimer(delay_us, key):
            return f"AFTER {target} span_s={render_seconds(delay_us)} key_back={key}"
        case StartHealthCheck(endpoint):
            return f"TOUCH {target} member={endpoint}"
        case Subscribe(enabled):
            return f"SUBSCRIBE {target} want={int(enabled)}"
        case FetchEndpointList():
            return f"PULL {target}"
        case Log(message):
            return f"REMARK {target} reason_text={message}"


class Adapter:
    """All instances of this process, and the endpoint lists that messages refer to by number."""

    def __init__(self, start: Callable[[Message], HostedRouter] = HostedRouter) -> None:
        self._start = start
        self.instances: dict[str, HostedRouter] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def process_batch(self, lines: Iterable[str]) -> list[str]:
        """Process a batch, without its FLUSH, and return the reply without ACK. Raises WireError."""
        remaining = iter(lines)
        clock = parse_line(next(remaining, ""))
        if clock.name != "CLOCK":
            raise UnexpectedMessageError(clock.name, "CLOCK")
        now_us = microseconds(clock.require("ts_s"))
        events: dict[str, list[Event]] = {}
        for line in remaining:
            message = parse_line(line)
            if message.name == "TABLE":
                endpoints = read_endpoint_list(remaining, int(message.require("rows_in")))
                self._lists[int(message.get("ref", "0"))] = endpoints
            else:
                self._collect(message, events)
        reply: list[str] = []
        for instance, batch in events.items():
            reply.extend(self._handle(instance, now_us, batch))
        return reply

    def _collect(self, message: Message, events: dict[str, list[Event]]) -> None:
        """Start or stop an instance, or add an event to its batch."""
        instance = message.require("driver")
        if message.name == "ENLIST":
            self.instances[instance] = self._start(message)
            events[instance] = []
        elif message.name == "DESTROY":
            self.instances.pop(instance, None)
            events.pop(instance, None)
        elif instance not in self.instances:
            raise InstanceNotRunningError(message.name, instance)
        else:
            event = self._read_event(instance, message)
            if event is not None:
                events.setdefault(instance, []).append(event)

    def _read_event(self, instance: str, message: Message) -> Event | None:
        if message.name != "UPDATE":
            return self.instances[instance].read_event(message)
        kind = UPDATE_KINDS[message.require("mode")]
        if kind is UpdateKind.FAILED:
            return EndpointUpdate(kind, ())
        return EndpointUpdate(kind, self._lists[int(message.get("ref", "0"))])

    def _handle(self, instance: str, now_us: int, batch: list[Event]) -> list[str]:
        try:
            actions = self.instances[instance].router.handle(now_us, batch)
        except Exception as error:  # the protocol reports any failure of the policy as BUG
            return [f"BUG driver={instance} reason_text={format_error(error)}"]
        return [render_action(action, instance) for action in actions]


def format_error(error: Exception) -> str:
    """Format an error as a single line."""
    return " ".join(f"{type(error).__name__}: {error}".split())


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the input ends. Raises WireError."""
    adapter = Adapter()
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line == "FLUSH":
            sink.write("\n".join([*adapter.process_batch(lines), "ACK\n"]))
            sink.flush()
            lines = []
        elif line:
            lines.append(line)
    if lines:
        raise UnexpectedMessageError("", "FLUSH")


def main() -> int:
    """Serve standard input and output. Returns 2 for input that violates the protocol."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, KeyError, ValueError, ArithmeticError) as error:
        print(f"simulator_adapter: {format_error(error)}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
