"""Bugs planted into the driver: for each there is a test of a crossing that fails with it."""

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
BRIEF_S = 3  # a test that waits in vain has failed


def close_without_drain(patch: Patch) -> None:
    patch.setattr(Transport, "write_eof", Transport.close)


def answer_dropped_while_pending(patch: Patch) -> None:
    finish = Transport.write_eof

    def planted(transport: Transport) -> None:
        transport._write_buffer.clear()
        finish(transport)

    patch.setattr(Transport, "write_eof", planted)
    patch.setattr(ClientConnection, "is_idle", property(lambda client: not client.commands))


def deadline_not_cut_at_sigterm(patch: Patch) -> None:
    patch.setattr(PlatformDriver, "begin_shutdown", lambda driver, _=0: driver.shutdown.begin(driver.now()))


def stale_list_accepted(patch: Patch) -> None:
    accept = Discovery._accept_list

    def planted(it: Discovery, body: bytes, _accepted_before: int) -> None:
        accept(it, body, it._accepted_lists)

    patch.setattr(Discovery, "_accept_list", planted)


def watch_never_times_out(patch: Patch) -> None:
    patch.setattr(discovery, "RESPONSE_TIMEOUT_US", 3_600_000_000)


def open_watch_closed_by_subscribing(patch: Patch) -> None:
    patch.setattr(Discovery, "subscribe", lambda it, _enabled: it._open_watch())


def list_of_the_old_address_accepted(patch: Patch) -> None:
    move = Discovery.change_address

    def planted(it: Discovery, address: tuple[str, int]) -> None:
        told = it._on_update
        it._on_update = lambda kind, endpoints: told(kind, endpoints and reborn(endpoints))
        move(it, address)

    def reborn(endpoints: EndpointList) -> EndpointList:
        return EndpointList(9, True, endpoints.endpoints, endpoints.addresses, 0)

    async def fetch(it: Discovery) -> None:
        async with await it._connect() as connection:
            it._accept_list(await connection.get(discovery.PATH), it._accepted_lists)

    patch.setattr(Discovery, "_fetch", fetch)
    patch.setattr(Discovery, "change_address", planted)


def retry_after_the_client_left(patch: Patch) -> None:
    def planted(driver: PlatformDriver, command: Command) -> None:
        if command.request_id is not None:
            driver.log.info("gone", request=command.request_id)

    patch.setattr(PlatformDriver, "client_disconnected", planted)


def client_disconnect_read_after_its_request(patch: Patch) -> None:
    patch.setattr(ClientConnection, "eof_is_disconnect", False)


def client_not_looked_at_before_a_write(patch: Patch) -> None:
    patch.setattr(ClientConnection, "has_disconnected", lambda _: False)


def window_not_asked_when_written(patch: Patch) -> None:
    patch.setattr(RetryPolicy, "confirms_send", lambda *_: True)


def ramp_forgotten_at_restart(patch: Patch) -> None:
    update = EndpointTracker.update_endpoint

    def planted(tracker: EndpointTracker, info: Endpoint) -> None:
        before = tracker.state.endpoints.get(info.id)
        warming_since_us = before.warming_since_us if before else None
        update(tracker, info)
        if warming_since_us is not None:
            tracker.state.endpoints[info.id].warming_since_us = warming_since_us

    patch.setattr(EndpointTracker, "update_endpoint", planted)


def fitness_not_asked_when_written(patch: Patch) -> None:
    patch.setattr(Router, "confirm_send", lambda *_: True)


def lost_writes_forgotten(patch: Patch) -> None:
    record = RouterState.record_commit

    def planted(state: RouterState, request: RequestState, commit_us: int) -> None:
        if commit_us != state.now_us:
            record(state, request, commit_us)

    patch.setattr(RouterState, "record_commit", planted)


def one_burst_accepted_before_the_listener_closes(patch: Patch) -> None:
    accept = Acceptor._accept

    def planted(acceptor: Acceptor, _max_connections: int) -> bool:
        accept(acceptor, Acceptor.ACCEPTS_PER_EVENT)
        return True

    patch.setattr(Acceptor, "_accept", planted)


def busy_connections_end_with_the_answer(patch: Patch) -> None:
    def planted(client: ClientConnection) -> bool:
        return not client.commands and not client._protocol.buffered

    patch.setattr(ClientConnection, "is_idle", property(planted))


def idle_clients_never_evicted(patch: Patch) -> None:
    patch.setattr(ClientListener, "_evict_one", lambda _listener, _now: False)


PLANTED: list[tuple[Callable[[Patch], None], Callable[..., Any]]] = [
    (
        close_without_drain,
        test_crossings.test_a_request_that_crosses_the_end_of_its_connection_meets_an_end_and_no_reset,
    ),
    (
        answer_dropped_while_pending,
        partial(test_crossings.test_an_answer_that_is_half_out_leaves_whole, True),
    ),
    (
        deadline_not_cut_at_sigterm,
        test_crossings.test_a_request_taken_before_sigterm_has_its_answer_before_the_kill,
    ),
    (
        deadline_not_cut_at_sigterm,
        test_crossings.test_the_driver_wakes_itself_for_the_last_steps_of_a_shutdown,
    ),
    (stale_list_accepted, test_discovery.test_a_whole_list_that_comes_late_does_not_undo_a_newer_change),
    (
        watch_never_times_out,
        test_discovery.test_a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told,
    ),
    (
        open_watch_closed_by_subscribing,
        test_discovery.test_a_watch_that_is_open_stays_when_one_is_asked_for,
    ),
    (
        list_of_the_old_address_accepted,
        test_discovery.test_a_list_asked_for_at_the_old_address_is_asked_for_at_the_new_one,
    ),
    (
        retry_after_the_client_left,
        test_crossings.test_a_client_that_left_in_the_round_of_its_members_reset_is_not_tried_again,
    ),
    (
        client_disconnect_read_after_its_request,
        test_crossings.test_a_request_read_together_with_its_clients_end_is_not_sent_on,
    ),
    (
        client_not_looked_at_before_a_write,
        partial(
            test_crossings.test_a_client_that_has_left_gets_no_attempt_on_a_connection_that_comes_up,
            "before the client left",
        ),
    ),
    (
        window_not_asked_when_written,
        routing_crossings.test_send_of_a_keyed_repeat_is_confirmed_only_within_the_window_of_its_key,
    ),
    (
        ramp_forgotten_at_restart,
        routing_crossings.test_endpoint_that_restarted_while_others_serve_warms_up_again,
    ),
    (
        fitness_not_asked_when_written,
        test_crossings.test_a_read_is_not_written_once_its_session_was_answered_a_newer_write,
    ),
    (
        lost_writes_forgotten,
        partial(
            routing_crossings.test_session_read_after_a_write_that_may_have_been_executed_needs_its_commit,
            Outcome.RESET,
        ),
    ),
    (
        one_burst_accepted_before_the_listener_closes,
        test_crossings.test_connections_that_the_kernel_holds_when_the_door_closes_are_ended_in_order,
    ),
    (
        busy_connections_end_with_the_answer,
        test_crossings.test_a_last_command_of_a_busy_connection_is_answered_before_its_end,
    ),
    (
        idle_clients_never_evicted,
        test_crossings.test_idle_clients_that_fill_the_descriptors_make_room_for_one_that_asks,
    ),
]


def play(test: Callable[..., Any]) -> None:
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
    "plant, test",
    PLANTED,
    ids=[f"{plant.__name__}-{number}" for number, (plant, _) in enumerate(PLANTED)],
)
def test_a_planted_bug_is_found(
    plant: Callable[[Patch], None], test: Callable[..., Any], monkeypatch: Patch
) -> None:
    plant(monkeypatch)
    for module in (socket_harness, test_discovery):
        monkeypatch.setattr(module, "TIMEOUT_S", BRIEF_S)
    with pytest.raises((AssertionError, trio.TooSlowError, ExceptionGroup, ConnectionError, BrokenPipeError)):
        play(test)


def test_unplanted_they_pass() -> None:
    """The harness itself does not fail them."""
    for _, test in PLANTED:
        play(test)
    assert test_layout.POLICY
