"""The gRPC front: juniperreel.v1.Records."""

from __future__ import annotations

import xxhash
from google.protobuf.message import DecodeError

from juniperreel.causal import EMPTY, Keyring, Token, TokenError
from juniperreel.frontends import errors
from juniperreel.frontends.errors import described
from juniperreel.frontends.mysql.answers import result_set
from juniperreel.frontends.mysql.scope import HARMLESS
from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.pool.result import Result
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.proxy import (
    Answer,
    ClientRequest,
    Failed,
    OpenRequest,
    Rejected,
    RequestDriver,
    Served,
    StatementFailed,
)
from juniperreel.routing.types import Consistency, Idempotency
from juniperreel.rpc.metadata import decode_timeout
from juniperreel.rpc.server import Call, Method
from juniperreel.rpc.status import RpcError
from juniperreel.statements import Classification, StatementClassifier, StatementKind

SERVICE = "juniperreel.v1.Records"
TOKEN_HEADER = "juniperreel-causal-bin"
PREVIOUS = "grpc-previous-rpc-attempts"
CLASS_HEADER = "juniperreel-class"  # with these three a call can be turned away before its message is here
TENANT_HEADER = "juniperreel-tenant"
GROUP_HEADER = "juniperreel-group"
MAX_NAME = 256  # characters of a session or idempotency key
MAX_TOKENS = 16  # in the metadata of one call


def unfit(reading: Classification, write: bool) -> str:
    """Why a statement can't be of its class, where members speak MySQL; empty if it can."""
    if reading.dependencies - HARMLESS:
        return f"depends on its connection ({', '.join(sorted(reading.dependencies - HARMLESS))})"
    if reading.kind is StatementKind.READ or (write and reading.kind is StatementKind.WRITE):
        return ""
    return f"{reading.kind.value} in a class that {'writes' if write else 'reads'}: {reading.reason}"


class GrpcFront:
    """Answers calls from the driver's answers. Holds nothing between calls."""

    def __init__(self, driver: RequestDriver, keyring: Keyring, clock: Clock) -> None:
        self._driver, self._keyring, self._clock = driver, keyring, clock
        settings = driver.options.router
        self._classes = {cls.name: i for i, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: i for i, tenant in enumerate(settings.tenants)}
        # Members that speak MySQL take any statement on a connection that others use next.
        self._reader = StatementClassifier() if driver.options.mysql is not None else None

    def methods(self) -> dict[str, Method]:
        enter, leave = self._enter, self._driver.client_disconnected
        method = Method(unary=self._execute, glance=self._glance, enter=enter, leave=leave)
        return {f"/{SERVICE}/Execute": method}

    def _glance(self, headers: dict[str, str], message: bytes | None, came_us: int) -> bytes | None:
        """A refusal of what would be refused on arrival. What is wrong with a call is not found here."""
        try:
            name = headers.get(CLASS_HEADER)
            if name is not None:
                tenant, group = headers.get(TENANT_HEADER, ""), int(headers.get(GROUP_HEADER, "0"))
            elif message is not None:
                ask = records_pb2.ExecuteRequest.FromString(message)
                name, tenant, group = getattr(ask, "class"), ask.tenant, self._group(ask)
            else:
                return None
            cls = self._classes[name]
            deadline = came_us + self._driver.options.router.classes[cls].deadline_us
            if "grpc-timeout" in headers:
                deadline = min(deadline, came_us + decode_timeout(headers["grpc-timeout"]))
            if not 0 <= group < self._driver.options.groups:
                return None
        except (DecodeError, KeyError, ValueError, RpcError):
            return None  # the call itself says what is wrong
        refused = self._driver.check_admission(cls, self._tenants.get(tenant, -1), group, deadline)
        if refused is None:
            return None
        return self._refusal(name, refused, headers.get(PREVIOUS, "0") != "0")

    def _refusal(self, name: str, refused: Rejected, repeat: bool) -> bytes:
        outcome, reason = described(refused)
        self._driver.metrics.request(name, outcome, reason).inc()
        if repeat:
            self._driver.metrics.repeats.labels(name).inc()
        return errors.refused_again(refused)

    def _enter(self, call: Call, data: bytes) -> bytes | OpenRequest | None:
        """The request's arrival, while it is still in the reader's hands: what comes behind it in the same
        read must find it counted. None for a call that is wrong; its task says how."""
        try:
            work = self._read(call, data)
        except RpcError:
            return None
        entered = self._driver.submit(work)
        if isinstance(entered, Rejected):
            name = self._driver.options.router.classes[work.class_index].name
            return self._refusal(name, entered, work.is_retry)
        return entered

    async def _execute(self, call: Call, data: bytes) -> bytes:
        entry: OpenRequest | None = call.take_entry()
        entered = entry or self._driver.submit(self._read(call, data))
        if isinstance(entered, Rejected):
            raise errors.refused(entered)
        work = entered.request
        cls = self._driver.options.router.classes[work.class_index]
        metrics = self._driver.metrics
        if work.is_retry:
            metrics.repeats.labels(cls.name).inc()
        started = self._clock.now_us()
        last = work.deadline_us - self._driver.options.answer_margin_us // 2
        call.end_by(last, errors.deadline())
        answer: Answer | None = None
        try:
            with self._driver.traces.span("request", cls=cls.name, group=work.group):
                answer = await self._driver.wait_for_answer(entered)
        finally:
            # Cancelled before its time the client has left, and nothing is answered that could be counted.
            now = self._clock.now_us()
            if answer is not None or now >= last:
                outcome, reason = described(answer)
                metrics.request(cls.name, outcome, reason).inc()
                metrics.took(cls.name, outcome).observe((now - started) / US)
        return self._write(call, answer)

    def _read(self, call: Call, data: bytes) -> ClientRequest:
        """Raises RpcError INVALID_ARGUMENT, naming the field."""
        try:
            ask = records_pb2.ExecuteRequest.FromString(data)
        except DecodeError:
            raise errors.invalid("request", "not an ExecuteRequest") from None
        name = getattr(ask, "class")
        cls = self._classes.get(name)
        if cls is None:
            raise errors.invalid("class", f"no class {name[:100]!r}; there are {', '.join(self._classes)}")
        tenant = self._tenants.get(ask.tenant, -1)
        if tenant < 0 and (ask.tenant or self._tenants):
            raise errors.invalid("tenant", f"no tenant {ask.tenant[:100]!r}")
        if not ask.statement:
            raise errors.invalid("statement", "is empty")
        for field in ("session", "idempotency_key"):
            if len(getattr(ask, field)) > MAX_NAME:
                raise errors.invalid(field, f"is longer than {MAX_NAME} characters")
        settings = self._driver.options.router.classes[cls]
        if self._reader is not None:
            words = unfit(self._reader.classify(ask.statement), settings.consistency is Consistency.WRITE)
            if words:
                raise errors.invalid("statement", words)
        if settings.idempotency is Idempotency.KEYED and not ask.idempotency_key:
            raise errors.invalid("idempotency_key", f"class {settings.name} needs one")
        deadline = call.started_us + settings.deadline_us
        if call.deadline_us is not None:
            deadline = min(deadline, call.deadline_us)
        previous = call.get(PREVIOUS)
        return ClientRequest(
            class_index=cls,
            tenant_index=tenant,
            group=self._group(ask),
            deadline_us=deadline,
            statement=ask.statement,
            parameters=ask.parameters,
            session=ask.session or None,
            idempotency_key=ask.idempotency_key,
            token=self._token(call, ask.causal_token),
            received_us=call.started_us,
            is_retry=isinstance(previous, str) and previous.isdigit() and int(previous[:9]) > 0,
        )

    def _group(self, ask: records_pb2.ExecuteRequest) -> int:
        groups = self._driver.options.groups
        if ask.WhichOneof("route") == "key":
            return group_of(ask.key, groups)
        if ask.WhichOneof("route") is None and groups > 1:
            raise errors.invalid("route", "a group or a key is needed")
        if ask.group >= groups:
            raise errors.invalid("group", f"no group {ask.group}; there are {groups}")
        return ask.group

    def _token(self, call: Call, carried: bytes) -> Token:
        """Of the message and of the metadata, joined. An empty field is no token; an empty header is an
        error, since somebody meant to send one."""
        token = EMPTY
        found = call.all(TOKEN_HEADER)
        if len(found) > MAX_TOKENS:
            raise errors.invalid(TOKEN_HEADER, f"more than {MAX_TOKENS} tokens")
        where = "causal_token"
        try:
            if carried:
                token = self._keyring.decode(carried)
            where = TOKEN_HEADER
            for value in found:
                token = token.join(
                    self._keyring.decode(value if isinstance(value, bytes) else value.encode())
                )
        except TokenError as error:
            raise errors.invalid(where, str(error)) from None
        return token

    def _write(self, call: Call, answer: Answer) -> bytes:
        match answer:
            case Served():
                token = self._keyring.encode(answer.token)
                result = answer.result
                if isinstance(result, Result):
                    result = result_set(result)
                call.trailing.append((TOKEN_HEADER, token))
                response = records_pb2.ExecuteResponse(
                    result=result,
                    causal_token=token,
                    member=answer.endpoint,
                    role=records_pb2.ROLE_PRIMARY if answer.from_primary else records_pb2.ROLE_REPLICA,
                    attempts=answer.attempts,
                )
                return response.SerializeToString()
            case Rejected():
                raise errors.refused(answer)
            case Failed():
                raise errors.failed(answer)
            case StatementFailed():
                raise errors.spurned(answer)


def group_of(key: bytes, groups: int) -> int:
    """The group of a key, the same at every edge."""
    return xxhash.xxh64_intdigest(key) % groups
