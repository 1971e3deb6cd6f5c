"""`juniperreel pool show`: the pools of an edge, live, from its metrics."""

from __future__ import annotations

import sys
import time
import urllib.error
import urllib.request
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

import click
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample
from rich.console import Console
from rich.live import Live
from rich.table import Table

STATES = ("leased", "idle", "opening")
GAUGES = (*STATES, "most", "waiting")
TIMEOUT_S = 5.0
MIN_WATCH_S = 0.1


@dataclass(slots=True)
class PoolMetrics:
    """The pools of an edge at one time: gauges by member, and counters by reason."""

    members: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))
    no_connection: dict[str, float] = field(default_factory=dict)
    closed: dict[str, float] = field(default_factory=dict)
    others: dict[str, float] = field(default_factory=lambda: {"replays": 0.0, "kills": 0.0})

    def counters(self) -> Iterator[tuple[str, float]]:
        """Each counter with its title, in the order in which they are shown."""
        for reason, count in sorted(self.no_connection.items()):
            yield f"no connection, {reason}", count
        for reason, count in sorted(self.closed.items()):
            yield f"closed after a lease, {reason}", count
        yield from sorted(self.others.items())

    def add(self, sample: Sample) -> None:
        """Take in one sample of the edge's metrics; those of other parts are ignored."""
        match sample.name:
            case "juniperreel_pool_connections":
                self.members[sample.labels["member"]][sample.labels["state"]] = sample.value
            case "juniperreel_pool_waiting":
                self.members[sample.labels["member"]]["waiting"] = sample.value
            case "juniperreel_pool_most":
                self.members[sample.labels["member"]]["most"] = sample.value
            case "juniperreel_pool_turned_total":
                self.no_connection[sample.labels["reason"]] = sample.value
            case "juniperreel_pool_spent_total":
                self.closed[sample.labels["reason"]] = sample.value
            case "juniperreel_pool_replays_total":
                self.others["replays"] = sample.value
            case "juniperreel_pool_kills_total":
                self.others["kills"] = sample.value


def parse_metrics(text: str) -> PoolMetrics:
    """Read a page of metrics. Raises ValueError for what is none."""
    metrics = PoolMetrics()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            metrics.add(sample)
    return metrics


def fetch_metrics(address: str) -> PoolMetrics:
    """Read the metrics of the edge at this address. Raises OSError or ValueError."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=TIMEOUT_S) as response:
        return parse_metrics(response.read().decode())


def pool_table(metrics: PoolMetrics, previous: PoolMetrics | None, elapsed_s: float) -> Table:
    """A row a member, with the counters below; with `previous`, also their rates over `elapsed_s`."""
    table = Table("member", *GAUGES, title="connections")
    for name in sorted(metrics.members):
        gauges = metrics.members[name]
        cells = [f"{gauges.get(gauge, 0):.0f}" for gauge in GAUGES]
        table.add_row(name, *cells, style="bold" if gauges.get("waiting") else "")
    previous_counts = dict(previous.counters()) if previous is not None else {}
    lines = []
    for title, count in metrics.counters():
        if not count:
            continue
        line = f"{title}: {count:.0f}"
        if previous is not None:
            line += f" ({(count - previous_counts.get(title, 0.0)) / elapsed_s:.1f}/s)"
        lines.append(line)
    table.caption = "\n".join(lines)
    return table


@click.group()
def pool() -> None:
    """Look at the pools of an edge whose members speak MySQL."""


@pool.command()
@click.argument("address")
@click.option("--watch", type=float, help="Look again every so many seconds, until interrupted.")
def show(address: str, watch: float | None) -> None:
    """Show connections, waiting and reasons from the metrics at ADDRESS."""
    try:
        metrics = fetch_metrics(address)
        if not metrics.members:
            click.echo(f"{address}: no pools; its members speak gRPC, or none is known yet", err=True)
            sys.exit(1)
        if watch is None:
            Console().print(pool_table(metrics, None, 0.0))
            return
        watch_pools(address, metrics, max(watch, MIN_WATCH_S))
    except (OSError, ValueError, urllib.error.URLError) as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        return


def watch_pools(address: str, metrics: PoolMetrics, interval_s: float) -> None:
    """Show the pools again and again, beginning with `metrics`.

    Raises OSError, ValueError, KeyboardInterrupt.
    """
    with Live(pool_table(metrics, None, 0.0)) as live:
        while True:
            start = time.monotonic()
            time.sleep(interval_s)
            newest = fetch_metrics(address)
            live.update(pool_table(newest, metrics, time.monotonic() - start), refresh=True)
            metrics = newest
