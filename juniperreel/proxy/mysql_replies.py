"""Reads what endpoints that speak MySQL reply: replication status and errors. No I/O."""

from __future__ import annotations

from typing import Any

from juniperreel.causal import History
from juniperreel.mysql.packets import ProtocolError
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.pool import standing as published
from juniperreel.pool.backend import Lost
from juniperreel.pool.errors import Meaning, meaning
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.positions import ReplicationStatus
from juniperreel.routing.types import (
    Outcome,
)

STATUS_QUERY = Statement(published.QUERY)
LOAD_QUERY = Statement(published.LOAD)
GTIDS_QUERY = Statement(published.GTIDS)


def error_of(err: Err) -> EndpointError | Lost:
    """The exception to raise for an ERR packet."""
    message = f"{err.code}: {err.words}"
    match meaning(err.code):
        case Meaning.READ_ONLY:
            return EndpointError(Outcome.INELIGIBLE, message)
        case Meaning.BUSY:
            return EndpointError(Outcome.REJECTED, message)
        case Meaning.GONE:
            return Lost(message, sent=True)
        case Meaning.FAULT | Meaning.ENDED:
            return statement_error(err)
        case _:
            return EndpointError(Outcome.ERROR, message)


def statement_error(err: Err) -> EndpointError:
    """The error of a statement that took no effect; clients know its code, and whether to retry is theirs."""
    return EndpointError(Outcome.OK, err.words, err.code, err.state)


def heartbeat_of(answer: Result | Err) -> published.Told:
    """Read the reply to `STATUS_QUERY`.

    Raises EndpointError or Lost: an endpoint that doesn't report its status is not believed.
    """
    if isinstance(answer, Err):
        error = error_of(answer)
        if isinstance(error, EndpointError) and error.outcome is Outcome.OK:
            # The heartbeat table is missing, or forbidden.
            message = f"replication status is not reported: {answer.code}: {answer.words}"
            raise EndpointError(Outcome.ERROR, message)
        raise error
    try:
        return published.told(answer.values())
    except (published.NotTold, ProtocolError) as error:
        raise EndpointError(Outcome.ERROR, str(error)) from error


def replication_status(heartbeat: published.Told) -> ReplicationStatus:
    """The status that a heartbeat shows."""
    return ReplicationStatus(
        is_primary=not heartbeat.read_only,
        position=heartbeat.position_us,
        history=History.of(heartbeat.epochs),
        clock_us=heartbeat.clock_us,
    )


def changed_role(before: published.Told, after: published.Told) -> bool:
    """Whether `read_only` or the epoch changed around a commit, which the group may then never hold."""
    return before.read_only or before.epochs != after.epochs


def parameter_value(parameter: Any) -> Value:
    """A parameter of `juniperreel.common.v1` as a value of MySQL's protocol."""
    kind = parameter.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(parameter, kind)
