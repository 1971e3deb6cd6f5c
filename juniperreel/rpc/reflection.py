"""The standard reflection service, grpc.reflection.v1."""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pool
from google.protobuf.message import DecodeError

from juniperreel.proto.reflection.v1 import reflection_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.server import Method
from juniperreel.rpc.status import Code, RpcError


class ReflectionService:
    """Server reflection over the descriptors that the program has loaded."""

    def __init__(self, services: tuple[str, ...]) -> None:
        """`services` are the names to list."""
        self._services = services

    def methods(self) -> dict[str, Method]:
        """Return the service's methods by full path."""
        return {"/grpc.reflection.v1.ServerReflection/ServerReflectionInfo": Method(streaming=self._info)}

    async def _info(self, call: Call) -> None:
        while (data := await call.receive()) is not None:
            try:
                request = reflection_pb2.ServerReflectionRequest.FromString(data)
            except DecodeError:
                raise RpcError(Code.INVALID_ARGUMENT, "not a ServerReflectionRequest") from None
            await call.send(self._respond(request).SerializeToString())

    def _respond(
        self, request: reflection_pb2.ServerReflectionRequest
    ) -> reflection_pb2.ServerReflectionResponse:
        response = reflection_pb2.ServerReflectionResponse(valid_host=request.host, original_request=request)
        pool = descriptor_pool.Default()
        kind = request.WhichOneof("message_request")
        try:
            if kind == "list_services":
                for name in self._services:
                    response.list_services_response.service.add(name=name)
            elif kind == "file_by_filename":
                self._add_files(response, pool.FindFileByName(request.file_by_filename))
            elif kind == "file_containing_symbol":
                self._add_files(response, pool.FindFileContainingSymbol(request.file_containing_symbol))
            else:
                self._set_error(response, Code.UNIMPLEMENTED, "extensions are not used here")
        except KeyError:
            self._set_error(response, Code.NOT_FOUND, "not known here")
        return response

    @staticmethod
    def _add_files(response: reflection_pb2.ServerReflectionResponse, file: Any) -> None:
        """Add a file's descriptor, and those of all files that it imports."""
        files: dict[str, bytes] = {}
        pending = [file]
        while pending:
            descriptor = pending.pop()
            if descriptor.name not in files:
                files[descriptor.name] = descriptor.serialized_pb
                pending.extend(descriptor.dependencies)
        response.file_descriptor_response.file_descriptor_proto.extend(files.values())

    @staticmethod
    def _set_error(response: reflection_pb2.ServerReflectionResponse, code: Code, text: str) -> None:
        response.error_response.error_code = int(code)
        response.error_response.error_message = text
