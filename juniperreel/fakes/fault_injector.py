"""Injects the faults of a script into a fleet, and clears them when they expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from juniperreel.fakes.replication_group import STEP_DOWN_DELAY_S
from juniperreel.fakes.script import Step
from juniperreel.net.clock import US
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import Fault

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint
    from juniperreel.fakes.fleet import EdgeFaultHandler, Fleet

PRIMARY_HANDOVER_S = 0.4  # from the start of draining until a primary is replaced
DRAIN_S = 5.0  # from then until the process of a draining endpoint ends
FLAP_INTERVAL_S = 0.5
FLAP_DIVISOR = 4  # one in this many of the listed endpoints is hidden
EXTERNAL_FAULT_PREFIXES = ("edge-", "instance-", "link-")
LIST_FAULTS = ("freeze", "empty", "flap")


class FaultInjector:
    """Executes the steps of a fleet's script. Random choices use the fleet's generator."""

    def __init__(self, fleet: Fleet, on_edge_fault: EdgeFaultHandler) -> None:
        self._fleet = fleet
        self._on_edge_fault = on_edge_fault

    async def play(self) -> None:
        """Execute every step of the script at its time, counted from now."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in self._fleet.script.steps:
                await trio.sleep_until(start + step.at_us / US)
                nursery.start_soon(self.carry_out, step)

    async def carry_out(self, step: Step) -> None:
        """Inject one fault and, if it is limited in time, clear it. Raises UnknownTargetError."""
        self._record(step, active=True)
        if step.fault.startswith(EXTERNAL_FAULT_PREFIXES):
            await self._on_edge_fault(step)
        elif step.fault in LIST_FAULTS:
            await self._inject_list_fault(step)
        elif step.fault == "roll":
            await self._roll(step)
        elif step.fault == "kill":
            async with trio.open_nursery() as nursery:
                for endpoint in self._fleet.targets(step.target):
                    nursery.start_soon(self._kill, endpoint, step.value)
        elif step.fault == "drain":
            async with trio.open_nursery() as nursery:
                for endpoint in self._fleet.targets(step.target):
                    nursery.start_soon(self._drain, endpoint)
        elif step.fault == "two-primaries":
            await self._elect_second_primary(step)
        else:
            await self._inject_endpoint_fault(step)
        self._record(step, active=False)

    def _record(self, step: Step, active: bool) -> None:
        self._fleet.record(Fault(self._fleet.clock.now_us(), step.text, active))

    async def _inject_endpoint_fault(self, step: Step) -> None:
        endpoints = self._fleet.targets(step.target)
        for endpoint in endpoints:
            _set_fault(endpoint, step.fault, True, step.value)
        await trio.sleep(step.for_us / US)
        for endpoint in endpoints:
            _set_fault(endpoint, step.fault, False, 0.0)

    async def _kill(self, endpoint: FakeEndpoint, restart_after_us: float) -> None:
        endpoint.kill()
        if not restart_after_us:
            return
        await trio.sleep(restart_after_us / US)
        if not endpoint.alive and not endpoint.overloaded:
            await self._fleet.start_endpoint(endpoint, warming_up=True)
            self._fleet.publish(endpoint, hosts_pb2.READINESS_UP)

    async def _drain(self, endpoint: FakeEndpoint) -> None:
        """Shut an endpoint down gracefully, after replacing it as primary."""
        group = endpoint.group
        endpoint.draining = True
        self._fleet.publish(endpoint, hosts_pb2.READINESS_DRAINING)
        if group.primary is endpoint:
            await trio.sleep(PRIMARY_HANDOVER_S)
            if group.primary is endpoint:
                await group.elect(avoid=endpoint)
        await trio.sleep(DRAIN_S)
        endpoint.kill("drained")
        self._fleet.publish(endpoint, hosts_pb2.READINESS_GONE)

    async def _roll(self, step: Step) -> None:
        """Rolling replacement: start a successor of each endpoint in turn, then drain the old one."""
        async with trio.open_nursery() as nursery:
            for endpoint in self._fleet.targets(step.target):
                successor = await self._fleet.add_endpoint(endpoint.group, warming_up=True)
                self._fleet.publish(successor, hosts_pb2.READINESS_UP)
                await trio.sleep(step.value / US)
                nursery.start_soon(self._drain, endpoint)

    async def _elect_second_primary(self, step: Step) -> None:
        """Elect a new primary while the old one is alive and continues to claim the role."""
        for group in self._fleet.groups:
            if step.target == f"g{group.number}" and group.primary is not None:
                former = group.primary
                group.step_down_delay_s = step.for_us / US
                await group.elect(avoid=former)
                former.claims_primary = True
                await trio.sleep(step.for_us / US)
                former.claims_primary = former is group.primary
                group.step_down_delay_s = STEP_DOWN_DELAY_S

    async def _inject_list_fault(self, step: Step) -> None:
        endpoint_list = self._fleet.endpoint_list
        if step.fault == "freeze":
            endpoint_list.frozen = True
            await trio.sleep(step.for_us / US)
            endpoint_list.frozen = False
        elif step.fault == "empty":
            endpoint_list.set_empty(True)
            await trio.sleep(step.for_us / US)
            endpoint_list.set_empty(False)
        else:
            await self._flap_list(step.for_us)

    async def _flap_list(self, for_us: int) -> None:
        """Repeatedly hide some endpoints from the list and show them again."""
        endpoint_list = self._fleet.endpoint_list
        end = trio.current_time() + for_us / US
        while trio.current_time() < end:
            names = endpoint_list.endpoint_names()
            endpoint_list.hide(set(self._fleet.rng.sample(names, len(names) // FLAP_DIVISOR)))
            await trio.sleep(FLAP_INTERVAL_S)
            endpoint_list.hide(set())
            await trio.sleep(FLAP_INTERVAL_S)


def _set_fault(endpoint: FakeEndpoint, fault: str, active: bool, value: float) -> None:
    """Inject a fault into an endpoint, or clear it, with a `value` of 0."""
    match fault:
        case "hang":
            _set_hung(endpoint, active)
        case "refuse":
            endpoint.faults.rejecting = active
        case "lose":
            endpoint.faults.lost_responses = value
        case "break":
            endpoint.faults.broken_connections = value
        case "fail":
            endpoint.faults.failed_requests = value
        case "slow":
            endpoint.capacity.speed = value or 1.0
        case "lag":
            endpoint.replica.apply_slowdown = value or 1.0
        case "cut":
            endpoint.faults.partitioned = active
        case "skew":
            endpoint.faults.clock_skew_us = int(value)


def _set_hung(endpoint: FakeEndpoint, hung: bool) -> None:
    if hung:
        endpoint.faults.hung = True
    else:
        endpoint.resume()
