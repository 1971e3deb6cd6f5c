"""An adaptive limit on requests in hand, from how long answers take beside what they aim at.

Additive increase and multiplicative decrease (Chiu and Jain, 1989) on response time over a class's aim,
doubling from below as TCP's slow start does (RFC 5681, 3.1). What it was weighed against, with the curves of
the losers: docs/design/admission.md.
"""

from __future__ import annotations

TARGET = 0.25  # of the aim: long enough to keep members busy, short enough that the module sheds nothing yet
MEMORY = 0.9  # weight of the old mean ratio, at each answer
LEAST_STEP = 0.7  # of the limit is left by one decrease, whatever was measured
USED = 0.7  # of the limit must have been in hand for an answer to tell that more would be well, too
STARTING = 0.6  # of the target: as long as answers take less, a limit that was never reached doubles
LOST = 2.0  # what an attempt without an answer counts for, as the module's own pressure has it
START, LEAST, MOST = 16.0, 2.0, 100_000.0


class Limit:
    """How many requests may be in hand at once. Times are microseconds."""

    def __init__(self, least: float = LEAST, start: float = START) -> None:
        self.least = least
        self.value = max(start, least)
        self.ratio = 0.0  # smoothed response time over the aim; 0 until something was answered
        self.starting = True  # no congestion seen yet
        self._decrease_us = 0  # not again before: what is measured until then was sent under the old limit
        self._peak = 0  # of requests in hand since the last answer

    def taken(self, in_hand: int) -> None:
        """One more is in hand."""
        self._peak = max(self._peak, in_hand)

    def answered(self, now: int, took_us: int, aim_us: int, in_hand: int) -> None:
        """A served request, by the time its members took. Danger: quick errors look like idle members;
        they must never come here."""
        self._sample(now, took_us / max(aim_us, 1), took_us, in_hand)

    def lost(self, now: int, waited_us: int, in_hand: int) -> None:
        """A request that nobody answered in time, or that members had no room for."""
        self._sample(now, LOST, waited_us, in_hand)

    def _sample(self, now: int, ratio: float, took_us: int, in_hand: int) -> None:
        self.ratio = MEMORY * self.ratio + (1 - MEMORY) * ratio if self.ratio else ratio
        peak = max(self._peak, in_hand)
        used = peak >= USED * self.value
        self._peak = in_hand
        if self.ratio > TARGET:
            if now >= self._decrease_us:
                self.starting = False
                # What was never in hand cannot have been too much (RFC 7661): go down from what was.
                held = min(self.value, float(peak + 1))
                self.value = max(self.least, held * max(LEAST_STEP, TARGET / self.ratio))
                # Danger: answers to what was sent before still tell of the old limit; acting on each of
                # them would throw the limit to its floor.
                self._decrease_us = now + max(took_us, 1)
        elif used:
            doubling = self.starting and self.ratio < STARTING * TARGET
            self.value = min(MOST, self.value + (1.0 if doubling else 1.0 / self.value))

    def fade(self) -> None:
        """Called after a time in which nothing was answered: what is remembered is worth less."""
        self.value = max(self.value, min(START, 2 * self.value))
        self.ratio = 0.0
        self.starting = True
