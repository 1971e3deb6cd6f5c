"""Submits a statement to the proxy as a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import trio

from juniperreel.frontends.mysql.classification import (
    GROUP_COMMENT,
    RequestTarget,
    StatementTraits,
    hint_of,
    statement_digest,
)
from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.context import FrontendContext
from juniperreel.frontends.mysql.conversion import to_grpc_value
from juniperreel.frontends.mysql.errors import INVALID_STATEMENT, MysqlError
from juniperreel.frontends.mysql.transaction_scope import Plan
from juniperreel.frontends.outcome import record_request
from juniperreel.mysql.values import Value
from juniperreel.pool.result import Statement
from juniperreel.pool.session_state import SessionState
from juniperreel.proxy import Answer, ClientRequest, TransactionMode
from juniperreel.statements import Classification, StatementKind

GROUP_ATTRIBUTE = "juniperreel_group"
HINT_ATTRIBUTE = "juniperreel_hint"


class InvalidGroupError(MysqlError):
    """A statement names no group although one is needed, or a group that does not exist."""

    def __init__(self, message: str) -> None:
        super().__init__(INVALID_STATEMENT, message)


@dataclass(frozen=True, slots=True)
class Request:
    """A statement and everything that its request to the proxy is built from."""

    statement: Statement
    classification: Classification
    plan: Plan
    attributes: Mapping[str, Value]  # of the client's command
    group: int
    variables: SessionState  # the session's, which the endpoint's connection must have

    @property
    def writes(self) -> bool:
        """Whether the request needs a class that writes.

        A read needs none even if it depends on the session, whose state is sent with the request.
        """
        if self.plan.assignments:
            return False
        if self.plan.transaction_mode is None:
            return self.classification.kind is not StatementKind.READ
        return self.plan.transaction_mode is TransactionMode.READ_WRITE


@dataclass(frozen=True, slots=True)
class Submission:
    """The result of a request; `answer` is None if its deadline has passed."""

    answer: Answer | None
    response_deadline_us: int  # when the client must have the whole answer
    statement_timeout_us: int  # of the request class


class RequestSubmitter:
    """Classifies the statements of one session and submits them."""

    def __init__(self, context: FrontendContext, session: SessionContext) -> None:
        """Requests are sent with the token and the name of `session`."""
        self._context = context
        self._session = session

    def find_group(self, text: bytes, attributes: Mapping[str, Value]) -> int:
        """The group that a comment or attribute names. Raises InvalidGroupError."""
        groups = self._context.driver.options.groups
        attribute = attributes.get(GROUP_ATTRIBUTE)
        if (match := GROUP_COMMENT.search(text)) is not None:
            group = int(match[1])
        elif isinstance(attribute, int) or (isinstance(attribute, str) and attribute.isdigit()):
            group = int(attribute)
        elif groups > 1:
            raise InvalidGroupError("which group? say so in a comment: /* group 0 */")
        else:
            group = 0
        if not 0 <= group < groups:
            raise InvalidGroupError(f"no group {group}; there are {groups}")
        return group

    def _classify(self, request: Request) -> RequestTarget:
        text = request.statement.text
        classifier = self._context.options.classifier
        digest = statement_digest(text, self._session.parse_mode) if classifier.uses_digests else ""
        traits = StatementTraits(
            writes=request.writes,
            user=self._session.user,
            schema=self._session.schema,
            hint=str(request.attributes.get(HINT_ATTRIBUTE) or "") or hint_of(text),
            digest=digest,
        )
        return classifier.classify(traits)

    async def submit(self, request: Request, last_insert_id: int) -> Submission:
        """Submit the request and await its answer until shortly before its deadline.

        `last_insert_id`: of the session; sent if the plan needs it.
        """
        driver = self._context.driver
        clock = self._context.clock
        class_index, tenant_index = self._classify(request)
        settings = driver.options.router.classes[class_index]
        deadline_us = clock.now_us() + settings.deadline_us
        statement = request.statement
        plan = request.plan
        client_request = ClientRequest(
            class_index=class_index,
            tenant_index=tenant_index,
            group=request.group,
            deadline_us=deadline_us,
            statement=statement.text,
            parameters=[to_grpc_value(value) for value in statement.values],
            session=self._session.name,
            idempotency_key=self._session.next_idempotency_key(),
            token=self._session.token,
            binary_rows=statement.binary,
            accepts_stream=True,
            transaction_mode=plan.transaction_mode,
            taints_connection=plan.taints_connection,
            session_state=request.variables,
            last_insert_id=last_insert_id if plan.needs_insert_id else None,
        )
        response_deadline_us = deadline_us - driver.options.answer_margin_us // 2
        started_us = clock.now_us()
        answer = None
        with trio.CancelScope(deadline=clock.trio_time(response_deadline_us)):
            answer = await driver.execute(client_request)
        record_request(driver.metrics, settings.name, answer, clock.now_us() - started_us)
        return Submission(answer, response_deadline_us, settings.deadline_us)
