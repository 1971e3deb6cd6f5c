"""Parses replies of MySQL endpoints: replication status and errors. Performs no I/O."""

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


def error_from_packet(err: Err) -> EndpointError | ConnectionLostError:
    """Return the exception to raise for an ERR packet."""
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
    """Return the error of a statement that took no effect.

    The client receives its code and decides whether to retry.
    """
    return EndpointError(Outcome.OK, err.message, err.code, err.sqlstate)


def parse_heartbeat(reply: Result | Err) -> endpoint_status.EndpointStatus:
    """Parse the reply to `STATUS_QUERY`.

    Raises EndpointError or ConnectionLostError: a response without a replication status cannot be trusted.
    """
    if isinstance(reply, Err):
        error = error_from_packet(reply)
        if isinstance(error, EndpointError) and error.outcome is Outcome.OK:
            # The heartbeat table is missing, or access to it is denied.
            message = f"replication status is not reported: {reply.code}: {reply.message}"
            raise EndpointError(Outcome.ERROR, message)
        raise error
    try:
        return endpoint_status.parse_status(reply.values())
    except (StatusUnavailableError, ProtocolError) as error:
        raise EndpointError(Outcome.ERROR, str(error)) from error


def replication_status(heartbeat: endpoint_status.EndpointStatus) -> ReplicationStatus:
    """Convert a parsed heartbeat to a replication status."""
    return ReplicationStatus(
        is_primary=not heartbeat.read_only,
        position=heartbeat.position_us,
        history=History.from_starts(heartbeat.epochs),
        clock_us=heartbeat.clock_us,
    )


def role_changed(before: endpoint_status.EndpointStatus, after: endpoint_status.EndpointStatus) -> bool:
    """Whether the endpoint was read-only before a commit or its epoch changed during it.

    The group may then have lost the commit.
    """
    return before.read_only or before.epochs != after.epochs


def parameter_value(parameter: Any) -> Value:
    """Convert a parameter of `juniperreel.common.v1` to a MySQL protocol value."""
    kind = parameter.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(parameter, kind)
