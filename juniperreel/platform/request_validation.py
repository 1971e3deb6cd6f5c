"""Validates the class and tenant of a client's request against the settings."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.platform.errors import InvalidRequestError
from juniperreel.postgres.request_format import StatementRequest
from juniperreel.routing.types import Consistency, Idempotency, RequestClass, Settings


class ValidatedRequest(NamedTuple):
    """The class and tenant of a request, with their indexes in the settings."""

    class_index: int
    request_class: RequestClass
    tenant_index: int


class RequestValidator:
    """Looks up class and tenant names."""

    def __init__(self, settings: Settings) -> None:
        """Build the indexes of class and tenant names."""
        self._classes = settings.classes
        self._class_indexes = {item.name: i for i, item in enumerate(settings.classes)}
        self._tenant_indexes = {item.name: i for i, item in enumerate(settings.tenants)}

    def validate(self, statement: StatementRequest) -> ValidatedRequest:
        """Return the request's class and tenant. Raises InvalidRequestError."""
        class_index = self._class_indexes.get(statement.class_name)
        if class_index is None:
            raise InvalidRequestError("42704", "no such class")
        request_class = self._classes[class_index]
        tenant_index = self._find_tenant(statement.tenant)
        if statement.is_write != (request_class.consistency is Consistency.WRITE):
            raise InvalidRequestError("42501", "the class does not go with the statement")
        if request_class.idempotency is Idempotency.KEYED and statement.idempotency_key is None:
            raise InvalidRequestError("42601", "the class needs a key")
        return ValidatedRequest(class_index, request_class, tenant_index)

    def _find_tenant(self, name: str | None) -> int:
        """Return the tenant's index, or 0 if the request names none or the settings have none."""
        if name is None or not self._tenant_indexes:
            return 0
        tenant_index = self._tenant_indexes.get(name)
        if tenant_index is None:
            raise InvalidRequestError("42704", "no such tenant")
        return tenant_index
