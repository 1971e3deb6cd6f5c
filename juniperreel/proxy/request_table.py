"""The table of a driver's open requests, from their admission to the end of their last attempt."""

from __future__ import annotations

from typing import Any

import trio

from juniperreel.proxy.open_requests import OpenRequest
from juniperreel.proxy.request_admission import RequestAdmission
from juniperreel.proxy.requests import Answer, Failed

CLIENT_DISCONNECTED = "the client left"  # reason of the answer, used as a metric label


class RequestTable:
    """Open requests by id.

    Each request gets exactly one answer, and stays in the table until it is answered and no attempt is in
    flight.
    """

    def __init__(self, admission: RequestAdmission, log: Any) -> None:
        """`admission` is notified of each answer; the table is not idle while requests wait there."""
        self._admission = admission
        self._log = log
        self._requests: dict[str, OpenRequest] = {}
        self._idle = trio.Event()

    def __len__(self) -> int:
        return len(self._requests)

    def __getitem__(self, request_id: str) -> OpenRequest:
        return self._requests[request_id]

    def get(self, request_id: str | None) -> OpenRequest | None:
        """Return the request, None if it is not open."""
        return None if request_id is None else self._requests.get(request_id)

    def add(self, open_request: OpenRequest) -> None:
        """Add an admitted request."""
        self._requests[open_request.id] = open_request

    def answer(self, open_request: OpenRequest, answer: Answer) -> None:
        """Answer the request unless it is already answered."""
        if open_request.answer is not None:
            return
        open_request.set_answer(answer)
        self._admission.request_ended(open_request)
        self._log.debug(
            "request answered",
            request=open_request.id,
            answer=type(answer).__name__,
            attempts=open_request.attempt_count,
        )

    def finish(self, open_request: OpenRequest, answer: Answer) -> None:
        """Answer the request, and remove it if no attempt is in flight."""
        self.answer(open_request, answer)
        self.remove_if_done(open_request)

    def withdraw(self, request_id: str) -> None:
        """End a request whose client disconnected; its answer is not delivered."""
        open_request = self.get(request_id)
        if open_request is not None and open_request.answer is None:
            self.finish(open_request, Failed(CLIENT_DISCONNECTED, open_request.attempt_count))

    def remove_if_done(self, open_request: OpenRequest) -> None:
        """Remove the request if it is answered and no attempt is in flight."""
        if open_request.answer is not None and not open_request.in_flight:
            self._requests.pop(open_request.id, None)
            self.notify_if_idle()

    def notify_if_idle(self) -> None:
        """Wake `wait_until_idle` if no request is open or waiting for admission."""
        if self._is_idle():
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Return when no request is open or waiting for admission."""
        while not self._is_idle():
            self._idle = trio.Event()
            await self._idle.wait()

    def _is_idle(self) -> bool:
        return not self._requests and not self._admission.waiting
