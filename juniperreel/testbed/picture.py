"""One picture of a trial: who was sent what, second by second, with its faults drawn in. From its records."""

from __future__ import annotations

from pathlib import Path

from juniperreel.net.clock import US
from juniperreel.verification import records as rec
from juniperreel.verification import spread

WIDE, ROW = 14.0, 0.16  # inches
MOST = 2.0  # times the fair part, where the colours end


class Shares:
    """A group's replicas by second: what each got beside its fair part; NaN while it is not able to work."""

    def __init__(
        self, records: list[rec.Record], able: spread.EligibilityWeight, group: int, since: int, until: int
    ) -> None:
        self.members = able.replicas(group)
        came = spread.arrivals(records, self.members)
        seconds = max((until - since) // US, 1)
        self.rows = [[float("nan")] * seconds for _ in self.members]
        at = {member: i for i, member in enumerate(self.members)}
        for cell in spread.count_by_bin(came, self.members, since, until, US, able):
            self.rows[at[cell.endpoint]][(cell.start - since) // US] = cell.share if cell.fair else 1.0


def served(records: list[rec.Record], since: int, until: int) -> list[float]:
    """The part of what was asked in each second that was served."""
    told = {(r.request_id, r.client_attempt): r for r in records if isinstance(r, rec.ResponseReceived)}
    asked, good = [0] * ((until - since) // US + 1), [0] * ((until - since) // US + 1)
    for r in records:
        if isinstance(r, rec.RequestSent):
            second = (r.at - since) // US
            answer = told.get((r.request_id, r.client_attempt))
            asked[second] += 1
            good[second] += answer is not None and answer.status == 0
    return [g / a if a else 1.0 for g, a in zip(good, asked, strict=True)][:-1] or [1.0]


def picture(records: list[rec.Record], out: Path) -> None:
    """Raises ValueError where nothing was asked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    times = [r.at for r in records if isinstance(r, rec.RequestSent)]
    if not times:
        raise ValueError("nothing was asked")
    since, until = min(times), max(times) + 1
    able = spread.EligibilityWeight(records)
    groups = sorted(set(able.groups.values()))
    shares = [Shares(records, able, group, since, until) for group in groups]
    heights = [max(len(s.members) * ROW, 1.0) for s in shares]
    figure, axes = pyplot.subplots(
        len(groups) + 1,
        1,
        figsize=(WIDE, sum(heights) + 2.5),
        sharex=True,
        squeeze=False,
        gridspec_kw={"height_ratios": [*heights, 1.5]},
        layout="constrained",
    )
    for group, got, axis in zip(groups, shares, axes.flat, strict=False):
        seconds = len(got.rows[0]) if got.rows else 1
        if got.rows:
            extent = (0, seconds, len(got.members) - 0.5, -0.5)
            image = axis.imshow(got.rows, aspect="auto", cmap="coolwarm", vmin=0, vmax=MOST, extent=extent)
            axis.set_yticks(range(len(got.members)), got.members, fontsize=6)
            figure.colorbar(image, ax=axis, label="of the fair part")
        axis.set_title(f"group {group}: work of replicas; white is even, grey not able", fontsize=9)
        axis.set_facecolor("lightgrey")
    last = axes.flat[-1]
    last.step(range(len(line := served(records, since, until))), line, where="post")
    last.set_ylim(0, 1.05)
    last.set_ylabel("served")
    last.set_xlabel("seconds")
    for n, fault in enumerate(r for r in records if isinstance(r, rec.Fault) and r.active):
        second = (fault.at - since) / US
        for axis in axes.flat:
            axis.axvline(second, color="black", lw=0.6, ls=":")
        last.text(second, 0.08 + 0.16 * (n % 5), fault.text, fontsize=6)
    figure.savefig(out, dpi=110)
    pyplot.close(figure)
