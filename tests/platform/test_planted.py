"""Mutation tests: each fault injected into the driver must make the test that covers it fail."""

from __future__ import annotations

import inspect
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
import trio
import trio.testing

from juniperreel.net.acceptor import Acceptor
from juniperreel.net.transport import Transport
from juniperreel.platform import discovery
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.client_listener import ClientListener
from juniperreel.platform.command import Command
from juniperreel.platform.discovery import Discovery
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.routing.policy.endpoint_list import EndpointTracker
from juniperreel.routing.policy.retry import RetryPolicy
from juniperreel.routing.router import Router
from juniperreel.routing.state import RequestState, RouterState
from juniperreel.routing.types import Endpoint, Outcome
from tests.platform import socket_harness, test_crossings, test_discovery
from tests.routing import test_crossings as routing_crossings
from tests.routing import test_layout

Patch = pytest.MonkeyPatch
SHORT_TIMEOUT_S = 3  # for tests that fail by waiting for an event that never happens


def close_without_draining(patch: Patch) -> None:
    patch.setattr(Transport, "write_eof", Transport.close)


def drop_pending_answer(patch: Patch) -> None:
    finish = Transport.write_eof

    def faulty(transport: Transport) -> None:
        transport._write_buffer.clear()
        finish(transport)

    patch.setattr(Transport, "write_eof", faulty)
    patch.setattr(ClientConnection, "is_idle", property(lambda client: not client.commands))


def keep_deadlines_at_sigterm(patch: Patch) -> None:
    patch.setattr(PlatformDriver, "begin_shutdown", lambda driver, _=0: driver.shutdown.begin(driver.now()))


def accept_stale_list(patch: Patch) -> None:
    accept = Discovery._accept_list

    def faulty(client: Discovery, body: bytes, _accepted_before: int) -> None:
        accept(client, body, client._accepted_lists)

    patch.setattr(Discovery, "_accept_list", faulty)


def disable_watch_timeout(patch: Patch) -> None:
    patch.setattr(discovery, "RESPONSE_TIMEOUT_US", 3_600_000_000)


def reopen_watch_on_subscribe(patch: Patch) -> None:
    patch.setattr(Discovery, "subscribe", lambda client, _enabled: client._open_watch())


def accept_list_of_old_address(patch: Patch) -> None:
    move = Discovery.change_address

    def faulty(client: Discovery, address: tuple[str, int]) -> None:
        on_update = client._on_update
        client._on_update = lambda kind, endpoints: on_update(kind, endpoints and as_newer_version(endpoints))
        move(client, address)

    def as_newer_version(endpoints: EndpointList) -> EndpointList:
        return EndpointList(9, True, endpoints.endpoints, endpoints.addresses, 0)

    async def fetch(client: Discovery) -> None:
        async with await client._connect() as connection:
            client._accept_list(await connection.get(discovery.PATH), client._accepted_lists)

    patch.setattr(Discovery, "_fetch", fetch)
    patch.setattr(Discovery, "change_address", faulty)


def ignore_client_disconnect(patch: Patch) -> None:
    def faulty(driver: PlatformDriver, command: Command) -> None:
        if command.request_id is not None:
            driver.log.info("gone", request=command.request_id)

    patch.setattr(PlatformDriver, "client_disconnected", faulty)


def process_requests_before_disconnect(patch: Patch) -> None:
    receive = ClientConnection.data_received

    def faulty(client: ClientConnection, data: bytes) -> None:
        receive(client, data)
        client.read_command()  # without waiting for its turn, which follows the disconnect

    patch.setattr(ClientConnection, "eof_is_disconnect", False)
    patch.setattr(ClientConnection, "data_received", faulty)


def skip_client_check_before_write(patch: Patch) -> None:
    patch.setattr(ClientConnection, "has_disconnected", lambda _: False)


def skip_deduplication_window_check(patch: Patch) -> None:
    patch.setattr(RetryPolicy, "confirms_send", lambda *_: True)


def skip_slow_start_after_restart(patch: Patch) -> None:
    update = EndpointTracker.update_endpoint

    def faulty(tracker: EndpointTracker, info: Endpoint) -> None:
        before = tracker.state.endpoints.get(info.id)
        warming_since_us = before.warming_since_us if before else None
        update(tracker, info)
        if warming_since_us is not None:
            tracker.state.endpoints[info.id].warming_since_us = warming_since_us

    patch.setattr(EndpointTracker, "update_endpoint", faulty)


def skip_send_confirmation(patch: Patch) -> None:
    patch.setattr(Router, "confirm_send", lambda *_: True)


def ignore_commit_of_lost_write(patch: Patch) -> None:
    record = RouterState.record_commit

    def faulty(state: RouterState, request: RequestState, commit_us: int) -> None:
        if commit_us != state.now_us:
            record(state, request, commit_us)

    patch.setattr(RouterState, "record_commit", faulty)


def accept_only_one_burst_on_close(patch: Patch) -> None:
    accept = Acceptor._accept

    def faulty(acceptor: Acceptor, _max_connections: int) -> bool:
        accept(acceptor, Acceptor.ACCEPTS_PER_EVENT)
        return True

    patch.setattr(Acceptor, "_accept", faulty)


def close_connections_with_unread_input(patch: Patch) -> None:
    def faulty(client: ClientConnection) -> bool:
        return not client.commands and not client._protocol.buffered

    patch.setattr(ClientConnection, "is_idle", property(faulty))


def disable_idle_client_eviction(patch: Patch) -> None:
    patch.setattr(ClientListener, "_evict_one", lambda _listener, _now: False)


INJECTED_FAULTS: list[tuple[Callable[[Patch], None], Callable[..., Any]]] = [
    (
        close_without_draining,
        test_crossings.test_request_sent_during_close_gets_fin_not_reset,
    ),
    (
        drop_pending_answer,
        partial(test_crossings.test_partially_sent_answer_is_completed_before_close, True),
    ),
    (
        keep_deadlines_at_sigterm,
        test_crossings.test_request_accepted_before_sigterm_is_answered_before_kill,
    ),
    (
        keep_deadlines_at_sigterm,
        test_crossings.test_driver_schedules_wakeups_for_last_shutdown_steps,
    ),
    (accept_stale_list, test_discovery.test_late_snapshot_does_not_override_newer_delta),
    (
        disable_watch_timeout,
        test_discovery.test_silent_watch_is_reopened_before_missed_changes_count_as_notified,
    ),
    (
        reopen_watch_on_subscribe,
        test_discovery.test_subscribing_again_keeps_open_watch,
    ),
    (
        accept_list_of_old_address,
        test_discovery.test_poll_is_repeated_after_address_change,
    ),
    (
        ignore_client_disconnect,
        test_crossings.test_no_retry_if_client_disconnect_coincides_with_endpoint_reset,
    ),
    (
        process_requests_before_disconnect,
        test_crossings.test_request_read_together_with_client_disconnect_is_not_forwarded,
    ),
    (
        skip_client_check_before_write,
        partial(
            test_crossings.test_no_attempt_for_disconnected_client_on_new_connection,
            "before the client left",
        ),
    ),
    (
        skip_deduplication_window_check,
        routing_crossings.test_send_of_a_keyed_repeat_is_confirmed_only_within_the_window_of_its_key,
    ),
    (
        skip_slow_start_after_restart,
        routing_crossings.test_endpoint_that_restarted_while_others_serve_warms_up_again,
    ),
    (
        skip_send_confirmation,
        test_crossings.test_read_is_not_sent_to_replica_behind_newer_session_write,
    ),
    (
        ignore_commit_of_lost_write,
        partial(
            routing_crossings.test_session_read_after_a_write_that_may_have_been_executed_needs_its_commit,
            Outcome.RESET,
        ),
    ),
    (
        accept_only_one_burst_on_close,
        test_crossings.test_backlogged_connections_are_closed_gracefully_with_listener,
    ),
    (
        close_connections_with_unread_input,
        test_crossings.test_last_command_on_busy_connection_is_answered_before_close,
    ),
    (
        disable_idle_client_eviction,
        test_crossings.test_idle_clients_are_evicted_for_new_client,
    ),
]


def run_test(test: Callable[..., Any]) -> None:
    inner = test.func if isinstance(test, partial) else test
    if not inspect.iscoroutinefunction(inner):
        test()
        return
    clock = trio.testing.MockClock() if "mock_clock" in inspect.signature(inner).parameters else None

    async def run() -> None:
        awaited: Awaitable[None] = test(clock) if clock is not None else test()
        await awaited

    trio.run(run, clock=clock)


@pytest.mark.parametrize(
    "inject, test",
    INJECTED_FAULTS,
    ids=[f"{inject.__name__}-{number}" for number, (inject, _) in enumerate(INJECTED_FAULTS)],
)
def test_injected_fault_fails_its_test(
    inject: Callable[[Patch], None], test: Callable[..., Any], monkeypatch: Patch
) -> None:
    inject(monkeypatch)
    for module in (socket_harness, test_discovery):
        monkeypatch.setattr(module, "TIMEOUT_S", SHORT_TIMEOUT_S)
    with pytest.raises((AssertionError, trio.TooSlowError, ExceptionGroup, ConnectionError, BrokenPipeError)):
        run_test(test)


def test_tests_pass_without_injected_faults() -> None:
    """Without injected faults the tests must pass when run this way."""
    for _, test in INJECTED_FAULTS:
        run_test(test)
    assert test_layout.POLICY
