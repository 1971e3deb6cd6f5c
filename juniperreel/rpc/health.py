"""The standard health service, grpc.health.v1."""

from __future__ import annotations

import trio
from google.protobuf.message import DecodeError

from juniperreel.proto.health.v1 import health_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.server import Method
from juniperreel.rpc.status import Code, RpcError
from juniperreel.rpc.wakeup import Wakeup

SERVING = health_pb2.HealthCheckResponse.SERVING
NOT_SERVING = health_pb2.HealthCheckResponse.NOT_SERVING
SERVICE_UNKNOWN = health_pb2.HealthCheckResponse.SERVICE_UNKNOWN
MAX_WATCHES = 1000


class HealthService:
    """Reports the serving status of services; the empty name stands for the whole server."""

    def __init__(self, services: tuple[str, ...]) -> None:
        """All services are NOT_SERVING until `set_serving` is called."""
        self._status: dict[str, int] = dict.fromkeys(("", *services), NOT_SERVING)
        self._changed = Wakeup()
        self._watches = 0

    def set_serving(self, serving: bool) -> None:
        """Set the status of all services and notify the watches."""
        self._status = dict.fromkeys(self._status, SERVING if serving else NOT_SERVING)
        self._changed.wake()

    def methods(self) -> dict[str, Method]:
        """Return the service's methods by full path."""
        return {
            "/grpc.health.v1.Health/Check": Method(unary=self._check),
            "/grpc.health.v1.Health/Watch": Method(streaming=self._watch),
        }

    async def _check(self, _call: Call, request: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        name = parse_service_name(request)
        if name not in self._status:
            raise RpcError(Code.NOT_FOUND, f"no service {name[:200]!r}")
        return encode_status(self._status[name])

    async def _watch(self, call: Call) -> None:
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many health watches")
        name = parse_service_name(await call.receive() or b"")
        self._watches += 1
        try:
            reported = None
            while True:
                status = self._status.get(name, SERVICE_UNKNOWN)
                if status != reported:
                    await call.send(encode_status(status))
                    reported = status
                else:
                    await self._changed.wait()
        finally:
            self._watches -= 1


def parse_service_name(request: bytes) -> str:
    """Return the service that a HealthCheckRequest names. Raises RpcError INVALID_ARGUMENT."""
    try:
        return str(health_pb2.HealthCheckRequest.FromString(request).service)
    except DecodeError:
        raise RpcError(Code.INVALID_ARGUMENT, "not a HealthCheckRequest") from None


def encode_status(status: int) -> bytes:
    """Return a serialized HealthCheckResponse."""
    return bytes(health_pb2.HealthCheckResponse(status=status).SerializeToString())  # type: ignore[arg-type]
