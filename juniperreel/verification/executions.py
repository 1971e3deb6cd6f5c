"""Whether each statement ran with its own text, values and session: what members say they ran beside what
clients say they meant, number by number. Judges records alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from juniperreel.verification import records as rec

FORGOTTEN = ("1243", "1615")  # errors that clients must never see of statements they prepared


@dataclass(slots=True)
class Count:
    """What the verdict rests on."""

    meant: int = 0
    served: int = 0
    ran: int = 0
    texts: int = 0
    connections: int = 0


def check_executions(records: Iterable[rec.Record], count: Count | None = None) -> list[str]:
    """What is wrong, in words; nothing if all ran as meant."""
    count = count or Count()
    meant: dict[str, rec.Meant] = {}
    ran: dict[str, list[rec.Ran]] = defaultdict(list)
    found: list[str] = []
    for r in records:
        if isinstance(r, rec.Meant):
            if r.serial in meant:
                found.append(f"{r.serial} was asked twice")
            meant[r.serial] = r
        elif isinstance(r, rec.Ran):
            ran[r.serial].append(r)
    count.meant, count.ran = len(meant), sum(map(len, ran.values()))
    count.served = sum(m.served for m in meant.values())
    count.texts = len({m.text for m in meant.values()})
    count.connections = len({(r.member, r.thread) for runs in ran.values() for r in runs})
    for serial, runs in ran.items():
        m = meant.get(serial)
        if m is None:
            found.append(f"{serial} ran and nobody asked it")
            continue
        for r in runs:
            if r.text != m.text:
                found.append(f"{serial} ran as {r.text[:80]!r} and was meant as {m.text[:80]!r}")
            if r.values != m.values:
                found.append(f"{serial} ran with {r.values!r:.80} and was meant with {m.values!r:.80}")
            if r.variables != m.variables:
                found.append(f"{serial} ran with {r.variables} set and its session has {m.variables}")
    for m in meant.values():
        if m.served and m.serial not in ran:
            found.append(f"{m.serial} was served and never ran")
        if m.error in FORGOTTEN:
            found.append(f"{m.serial} was told {m.error}")
    return found
