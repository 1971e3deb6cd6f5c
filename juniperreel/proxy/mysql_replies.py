"""Reads what endpoints that speak MySQL reply: replication status and errors. No I/O."""

from __future__ import annotations

from typing import Any

from juniperreel.causal import History
from juniperreel.mysql.packets import ProtocolError
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.pool import endpoint_status
from juniperreel.pool.error_codes import ErrorCategory, error_category
from juniperreel.pool.errors import ConnectionLostError, StatusUnavailableError
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.positions import ReplicationStatus
from juniperreel.routing.types import Outcome

STATUS_QUERY = Statement(endpoint_status.STATUS_QUERY)
LOAD_QUERY = Statement(endpoint_status.LOAD_QUERY)
GTIDS_QUERY = Statement(endpoint_status.GTID_QUERY)


def error_of(err: Err) -> EndpointError | ConnectionLostError:
    """The exception to raise for an ERR packet."""
    message = f"{err.code}: {err.message}"
    match error_category(err.code):
        case ErrorCategory.READ_ONLY:
            return EndpointError(Outcome.INELIGIBLE, message)
        case ErrorCategory.OVERLOADED:
            return EndpointError(Outcome.REJECTED, message)
        case ErrorCategory.CONNECTION_CLOSED:
            return ConnectionLostError(message, sent=True)
        case ErrorCategory.STATEMENT_ERROR | ErrorCategory.ABORTED:
            return statement_error(err)
        case _:
            return EndpointError(Outcome.ERROR, message)


def statement_error(err: Err) -> EndpointError:
    """The error of a statement that took no effect; clients know its code, and whether to retry is theirs."""
    return EndpointError(Outcome.OK, err.message, err.code, err.sqlstate)


def heartbeat_of(answer: Result | Err) -> endpoint_status.EndpointStatus:
    """Read the reply to `STATUS_QUERY`.

    Raises EndpointError or ConnectionLostError: an endpoint that doesn't report its status is not believed.
    """
    if isinstance(answer, Err):
        error = error_of(answer)
        if isinstance(error, EndpointError) and error.outcome is Outcome.OK:
            # The heartbeat table is missing, or forbidden.
            message = f"replication status is not reported: {answer.code}: {answer.message}"
            raise EndpointError(Outcome.ERROR, message)
        raise error
    try:
        return endpoint_status.parse_status(answer.values())
    except (StatusUnavailableError, ProtocolError) as error:
        raise EndpointError(Outcome.ERROR, str(error)) from error


def replication_status(heartbeat: endpoint_status.EndpointStatus) -> ReplicationStatus:
    """The status that a heartbeat shows."""
    return ReplicationStatus(
        is_primary=not heartbeat.read_only,
        position=heartbeat.position_us,
        history=History.from_starts(heartbeat.epochs),
        clock_us=heartbeat.clock_us,
    )


def changed_role(before: endpoint_status.EndpointStatus, after: endpoint_status.EndpointStatus) -> bool:
    """Whether `read_only` or the epoch changed around a commit, which the group may then never hold."""
    return before.read_only or before.epochs != after.epochs


def parameter_value(parameter: Any) -> Value:
    """A parameter of `juniperreel.common.v1` as a value of MySQL's protocol."""
    kind = parameter.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(parameter, kind)
