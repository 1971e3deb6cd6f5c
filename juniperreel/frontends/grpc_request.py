"""Parses and validates an ExecuteRequest into the proxy's request."""

from __future__ import annotations

import xxhash
from google.protobuf.message import DecodeError

from juniperreel.causal import EMPTY_TOKEN, Keyring, Token, TokenError
from juniperreel.frontends.grpc_status import invalid_argument
from juniperreel.frontends.mysql.transaction_scope import CONNECTION_INDEPENDENT
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.proxy import ClientRequest, DriverOptions
from juniperreel.routing.types import Consistency, Idempotency
from juniperreel.rpc.call import Call
from juniperreel.statements import Classification, StatementClassifier, StatementKind

TOKEN_HEADER = "juniperreel-causal-bin"
PREVIOUS_ATTEMPTS_HEADER = "grpc-previous-rpc-attempts"
MAX_NAME_CHARACTERS = 256  # of a session or idempotency key
MAX_TOKENS = 16  # in the metadata of one call
MAX_ECHOED_CHARACTERS = 100  # of a bad value that an error message repeats
MAX_COUNT_DIGITS = 9  # of previous attempts that are parsed


class RequestParser:
    """Parses calls into requests; every error is an RpcError INVALID_ARGUMENT that names the field."""

    def __init__(self, options: DriverOptions, keyring: Keyring) -> None:
        """`keyring` checks causal tokens."""
        self._options = options
        self._keyring = keyring
        self.class_indices = {settings.name: i for i, settings in enumerate(options.router.classes)}
        self.tenant_indices = {tenant.name: i for i, tenant in enumerate(options.router.tenants)}
        # Endpoints that speak MySQL run any statement, on connections that are reused for other requests.
        self._statement_classifier = StatementClassifier() if options.mysql is not None else None

    def parse(self, call: Call, message: bytes) -> ClientRequest:
        """The request of a call. Raises RpcError for the first field that is wrong."""
        try:
            request = records_pb2.ExecuteRequest.FromString(message)
        except DecodeError:
            raise invalid_argument("request", "not an ExecuteRequest") from None
        class_index = self._find_class(request)
        tenant_index = self._find_tenant(request)
        self._check_lengths(request)
        self._check_statement(request, class_index)
        return ClientRequest(
            class_index=class_index,
            tenant_index=tenant_index,
            group=find_group(request, self._options.groups),
            deadline_us=self._deadline_us(call, class_index),
            statement=request.statement,
            parameters=request.parameters,
            session=request.session or None,
            idempotency_key=request.idempotency_key,
            token=self._merge_tokens(call, request.causal_token),
            received_us=call.started_us,
            is_retry=is_retry(call),
        )

    def _find_class(self, request: records_pb2.ExecuteRequest) -> int:
        name = getattr(request, "class")
        index = self.class_indices.get(name)
        if index is None:
            known = ", ".join(self.class_indices)
            raise invalid_argument("class", f"no class {name[:MAX_ECHOED_CHARACTERS]!r}; there are {known}")
        return index

    def _find_tenant(self, request: records_pb2.ExecuteRequest) -> int:
        """The tenant's index; -1 where there are no tenants and none was named."""
        index = self.tenant_indices.get(request.tenant, -1)
        if index < 0 and (request.tenant or self.tenant_indices):
            raise invalid_argument("tenant", f"no tenant {request.tenant[:MAX_ECHOED_CHARACTERS]!r}")
        return index

    @staticmethod
    def _check_lengths(request: records_pb2.ExecuteRequest) -> None:
        if not request.statement:
            raise invalid_argument("statement", "is empty")
        for field in ("session", "idempotency_key"):
            if len(getattr(request, field)) > MAX_NAME_CHARACTERS:
                raise invalid_argument(field, f"is longer than {MAX_NAME_CHARACTERS} characters")

    def _check_statement(self, request: records_pb2.ExecuteRequest, class_index: int) -> None:
        settings = self._options.router.classes[class_index]
        if self._statement_classifier is not None:
            writes = settings.consistency is Consistency.WRITE
            mismatch = class_mismatch(self._statement_classifier.classify(request.statement), writes)
            if mismatch:
                raise invalid_argument("statement", mismatch)
        if settings.idempotency is Idempotency.KEYED and not request.idempotency_key:
            raise invalid_argument("idempotency_key", f"class {settings.name} needs one")

    def _deadline_us(self, call: Call, class_index: int) -> int:
        deadline_us = call.started_us + self._options.router.classes[class_index].deadline_us
        if call.deadline_us is None:
            return deadline_us
        return min(deadline_us, call.deadline_us)

    def _merge_tokens(self, call: Call, message_token: bytes) -> Token:
        """Join the tokens of the message and of the metadata.

        An empty field means no token; an empty header is an error, since its client meant to send a token.
        """
        header_tokens = call.metadata_values(TOKEN_HEADER)
        if len(header_tokens) > MAX_TOKENS:
            raise invalid_argument(TOKEN_HEADER, f"more than {MAX_TOKENS} tokens")
        token = EMPTY_TOKEN
        if message_token:
            token = self._decode_token("causal_token", message_token)
        for value in header_tokens:
            encoded = value if isinstance(value, bytes) else value.encode()
            token = token.join(self._decode_token(TOKEN_HEADER, encoded))
        return token

    def _decode_token(self, field: str, encoded: bytes) -> Token:
        try:
            return self._keyring.decode(encoded)
        except TokenError as error:
            raise invalid_argument(field, str(error)) from None


def class_mismatch(classification: Classification, writes: bool) -> str:
    """Why a statement cannot run in a class of reads, or of writes if `writes`; empty if it can."""
    dependencies = classification.dependencies - CONNECTION_INDEPENDENT
    if dependencies:
        return f"depends on its connection ({', '.join(sorted(dependencies))})"
    if classification.kind is StatementKind.READ or (writes and classification.kind is StatementKind.WRITE):
        return ""
    return (
        f"{classification.kind.value} in a class that {'writes' if writes else 'reads'}: "
        f"{classification.reason}"
    )


def is_retry(call: Call) -> bool:
    """Whether the client marks the call as a retry (gRFC A6)."""
    previous = call.metadata_value(PREVIOUS_ATTEMPTS_HEADER)
    return isinstance(previous, str) and previous.isdigit() and int(previous[:MAX_COUNT_DIGITS]) > 0


def find_group(request: records_pb2.ExecuteRequest, groups: int) -> int:
    """The group that a request names, or that its key hashes to. Raises RpcError INVALID_ARGUMENT."""
    route = request.WhichOneof("route")
    if route == "key":
        return group_of_key(request.key, groups)
    if route is None and groups > 1:
        raise invalid_argument("route", "a group or a key is needed")
    if request.group >= groups:
        raise invalid_argument("group", f"no group {request.group}; there are {groups}")
    return request.group


def group_of_key(key: bytes, groups: int) -> int:
    """The group of a key, the same at every edge."""
    return xxhash.xxh64_intdigest(key) % groups
