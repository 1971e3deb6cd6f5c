"""Plots a trial from its records: load of each replica per second, fraction served, and faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from juniperreel.net.clock import US
from juniperreel.verification import records as rec
from juniperreel.verification import spread

WIDTH_INCHES = 14.0
ROW_INCHES = 0.16
MIN_GROUP_INCHES = 1.0
SERVED_PLOT_INCHES = 2.5  # the plot of served requests, with titles
DOTS_PER_INCH = 110
MAX_SHARE = 2.0  # upper end of the colour scale, in multiples of the fair share
LABEL_ROWS = 5  # number of heights between which fault labels alternate
NOT_ELIGIBLE = float("nan")


class GroupShares:
    """The load of each replica of a group per second, relative to its fair share.

    Seconds in which a replica is not eligible for work are NOT_ELIGIBLE. Times are in microseconds.
    """

    def __init__(
        self,
        records: list[rec.Record],
        eligibility: spread.EligibilityWeight,
        group: int,
        since: int,
        until: int,
    ) -> None:
        self.group = group
        self.members = eligibility.replicas(group)
        self.seconds = max((until - since) // US, 1)
        self.rows = [[NOT_ELIGIBLE] * self.seconds for _ in self.members]
        row_of = dict(zip(self.members, self.rows, strict=True))
        arrivals = spread.arrivals(records, self.members)
        for cell in spread.count_by_bin(arrivals, self.members, since, until, US, eligibility):
            row_of[cell.endpoint][(cell.start - since) // US] = cell.share if cell.fair else 1.0

    @property
    def height_inches(self) -> float:
        """Height of the group's plot."""
        return max(len(self.members) * ROW_INCHES, MIN_GROUP_INCHES)


def served_fractions(records: list[rec.Record], since: int, until: int) -> list[float]:
    """For each full second, the fraction of its requests that were served; 1 if there were none."""
    final_answers = {
        (r.request_id, r.client_attempt): r for r in records if isinstance(r, rec.ResponseReceived)
    }
    requests: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for record in records:
        if isinstance(record, rec.RequestSent):
            second = (record.at - since) // US
            answer = final_answers.get((record.request_id, record.client_attempt))
            requests[second] += 1
            served[second] += answer is not None and answer.status == 0
    seconds = range((until - since) // US)
    return [served[s] / requests[s] if requests[s] else 1.0 for s in seconds] or [1.0]


def draw_picture(records: list[rec.Record], out: Path) -> None:
    """Write the plot to `out` as PNG. Raises ValueError if the recording contains no request."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    times = [r.at for r in records if isinstance(r, rec.RequestSent)]
    if not times:
        raise ValueError("nothing was asked")
    since = min(times)
    until = max(times) + 1
    eligibility = spread.EligibilityWeight(records)
    groups = [
        GroupShares(records, eligibility, n, since, until) for n in sorted(set(eligibility.groups.values()))
    ]
    heights = [shares.height_inches for shares in groups]
    figure, axes = pyplot.subplots(
        len(groups) + 1,
        1,
        figsize=(WIDTH_INCHES, sum(heights) + SERVED_PLOT_INCHES),
        sharex=True,
        squeeze=False,
        gridspec_kw={"height_ratios": [*heights, 1.5]},
        layout="constrained",
    )
    *group_axes, last_axis = axes.flat
    for shares, axis in zip(groups, group_axes, strict=True):
        _draw_group(figure, axis, shares)
    _draw_served(last_axis, served_fractions(records, since, until))
    faults = [r for r in records if isinstance(r, rec.Fault) and r.active]
    _draw_faults([*group_axes, last_axis], faults, since)
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_group(figure: Any, axis: Any, shares: GroupShares) -> None:
    if shares.rows:
        extent = (0, shares.seconds, len(shares.members) - 0.5, -0.5)
        image = axis.imshow(
            shares.rows, aspect="auto", cmap="coolwarm", vmin=0, vmax=MAX_SHARE, extent=extent
        )
        axis.set_yticks(range(len(shares.members)), shares.members, fontsize=6)
        figure.colorbar(image, ax=axis, label="load / fair share")
    axis.set_title(f"group {shares.group}: replica load (white: fair share, grey: not eligible)", fontsize=9)
    axis.set_facecolor("lightgrey")


def _draw_served(axis: Any, fractions: Sequence[float]) -> None:
    axis.step(range(len(fractions)), fractions, where="post")
    axis.set_ylim(0, 1.05)
    axis.set_ylabel("served")
    axis.set_xlabel("seconds")


def _draw_faults(axes: Sequence[Any], faults: Sequence[rec.Fault], since: int) -> None:
    """Draw a dotted line through all axes for each fault, with its text in the last one."""
    for number, fault in enumerate(faults):
        second = (fault.at - since) / US
        for axis in axes:
            axis.axvline(second, color="black", lw=0.6, ls=":")
        height = 0.08 + 0.16 * (number % LABEL_ROWS)
        axes[-1].text(second, height, fault.text, fontsize=6)
