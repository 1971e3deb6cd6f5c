"""The standard health and reflection services."""

from __future__ import annotations

import trio
from google.protobuf import descriptor_pool
from google.protobuf.message import DecodeError

from juniperreel.proto.health.v1 import health_pb2
from juniperreel.proto.reflection.v1 import reflection_pb2
from juniperreel.rpc.link import Wakeup
from juniperreel.rpc.server import Call, Method
from juniperreel.rpc.status import Code, RpcError

Status = health_pb2.HealthCheckResponse.ServingStatus
MAX_WATCHES = 1000


class Health:
    """Tells whether services serve; the empty name stands for the whole program."""

    def __init__(self, services: tuple[str, ...]) -> None:
        self._status: dict[str, int] = dict.fromkeys(
            ("", *services), health_pb2.HealthCheckResponse.NOT_SERVING
        )
        self._changed = Wakeup()
        self._watches = 0

    def set(self, serving: bool) -> None:
        value = (
            health_pb2.HealthCheckResponse.SERVING if serving else health_pb2.HealthCheckResponse.NOT_SERVING
        )
        self._status = dict.fromkeys(self._status, value)
        self._changed.wake()

    def methods(self) -> dict[str, Method]:
        return {
            "/grpc.health.v1.Health/Check": Method(unary=self._check),
            "/grpc.health.v1.Health/Watch": Method(streaming=self._watch),
        }

    async def _check(self, call: Call, request: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        name = parse_check(request)
        if name not in self._status:
            raise RpcError(Code.NOT_FOUND, f"no service {name[:200]!r}")
        return answer(self._status[name])

    async def _watch(self, call: Call) -> None:
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many health watches")
        name = parse_check(await call.receive() or b"")
        self._watches += 1
        try:
            told = None
            while True:
                now = self._status.get(name, health_pb2.HealthCheckResponse.SERVICE_UNKNOWN)
                if now != told:
                    await call.send(answer(now))
                    told = now
                else:
                    await self._changed.wait()
        finally:
            self._watches -= 1


def parse_check(request: bytes) -> str:
    try:
        return str(health_pb2.HealthCheckRequest.FromString(request).service)
    except DecodeError:
        raise RpcError(Code.INVALID_ARGUMENT, "not a HealthCheckRequest") from None


def answer(status: int) -> bytes:
    return bytes(health_pb2.HealthCheckResponse(status=status).SerializeToString())  # type: ignore[arg-type]


class Reflection:
    """Server reflection over the descriptors linked into the program."""

    def __init__(self, services: tuple[str, ...]) -> None:
        self._services = services

    def methods(self) -> dict[str, Method]:
        return {"/grpc.reflection.v1.ServerReflection/ServerReflectionInfo": Method(streaming=self._info)}

    async def _info(self, call: Call) -> None:
        while (data := await call.receive()) is not None:
            try:
                ask = reflection_pb2.ServerReflectionRequest.FromString(data)
            except DecodeError:
                raise RpcError(Code.INVALID_ARGUMENT, "not a ServerReflectionRequest") from None
            await call.send(self._answer(ask).SerializeToString())

    def _answer(self, ask: reflection_pb2.ServerReflectionRequest) -> reflection_pb2.ServerReflectionResponse:
        reply = reflection_pb2.ServerReflectionResponse(valid_host=ask.host, original_request=ask)
        pool = descriptor_pool.Default()
        kind = ask.WhichOneof("message_request")
        try:
            if kind == "list_services":
                for name in self._services:
                    reply.list_services_response.service.add(name=name)
            elif kind == "file_by_filename":
                self._files(reply, pool.FindFileByName(ask.file_by_filename))
            elif kind == "file_containing_symbol":
                self._files(reply, pool.FindFileContainingSymbol(ask.file_containing_symbol))
            else:
                self._error(reply, Code.UNIMPLEMENTED, "extensions are not used here")
        except KeyError:
            self._error(reply, Code.NOT_FOUND, "not known here")
        return reply

    @staticmethod
    def _files(reply: reflection_pb2.ServerReflectionResponse, file) -> None:  # type: ignore[no-untyped-def]
        files, todo = {}, [file]
        while todo:
            one = todo.pop()
            if one.name not in files:
                files[one.name] = one.serialized_pb
                todo.extend(one.dependencies)
        reply.file_descriptor_response.file_descriptor_proto.extend(files.values())

    @staticmethod
    def _error(reply: reflection_pb2.ServerReflectionResponse, code: Code, text: str) -> None:
        reply.error_response.error_code = int(code)
        reply.error_response.error_message = text
