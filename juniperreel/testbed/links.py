"""The links of a trial, identified by source and target, and the script's faults on them."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import trio

from juniperreel.fakes.script import Step
from juniperreel.net import Network
from juniperreel.net.clock import US
from juniperreel.testbed.relay import Dial, Relay


class LinkName(NamedTuple):
    """A directed link: `source` opens its connections to `target`."""

    source: str
    target: str


class Links:
    """The relays of a trial, each started on first use; they run in `nursery`."""

    def __init__(self, network: Network, nursery: trio.Nursery, seed: int) -> None:
        self._network = network
        self._nursery = nursery
        self._rng = random.Random(seed)
        self.relays: dict[LinkName, Relay] = {}

    async def open(self, source: str, target: str, dial: Dial) -> Relay:
        """Return the relay of a link, creating it if needed; it connects to the target with `dial`."""
        name = LinkName(source, target)
        relay = self.relays.get(name)
        if relay is None:
            relay = Relay(self._network, dial, self._rng.getrandbits(32))
            self.relays[name] = relay
            await self._nursery.start(relay.run)
        relay.dial = dial
        return relay

    def select(self, sources: Iterable[str], targets: Iterable[str]) -> list[Relay]:
        """Return the relays from any of the sources to any of the targets, in order of creation."""
        wanted_sources = set(sources)
        wanted_targets = set(targets)
        return [
            relay
            for name, relay in self.relays.items()
            if name.source in wanted_sources and name.target in wanted_targets
        ]

    def cut(self, sources: Iterable[str], targets: Iterable[str], *, one_way: bool = False) -> None:
        """Cut the links from the sources to the targets; with `one_way`, answers still pass."""
        for relay in self.select(sources, targets):
            relay.cut(reverse=not one_way)

    def heal(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Heal the links from the sources to the targets."""
        for relay in self.select(sources, targets):
            relay.heal()


async def run_link_fault(relays: Sequence[Relay], step: Step) -> None:
    """Inject a step's fault into these links and clear it after the duration of the step."""
    inject_link_fault(relays, step)
    await trio.sleep(step.for_us / US)
    clear_link_faults(relays)


def inject_link_fault(relays: Sequence[Relay], step: Step) -> None:
    """Inject a fault: a reset, a delay split over both directions, or a cut of both or of the answers."""
    for relay in relays:
        if step.fault == "link-reset":
            relay.reset()
        elif step.fault == "link-slow":
            _set_delay(relay, int(step.value) // 2)
        else:
            relay.cut(forward=step.fault == "link-cut")


def clear_link_faults(relays: Sequence[Relay]) -> None:
    """Clear cuts and delays, including those of other steps."""
    for relay in relays:
        relay.heal()
        _set_delay(relay, 0)


def _set_delay(relay: Relay, delay_us: int) -> None:
    relay.forward.delay_us = delay_us
    relay.reverse.delay_us = delay_us
