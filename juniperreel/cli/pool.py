"""`juniperreel pool show`: displays an edge's connection pools from its metrics."""

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
COLUMNS = (*STATES, "most", "waiting")
FETCH_TIMEOUT_S = 5.0
MIN_REFRESH_INTERVAL_S = 0.1


@dataclass(slots=True)
class PoolMetrics:
    """A snapshot of an edge's pools: gauges by endpoint, and counters by reason."""

    members: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))
    no_connection: dict[str, float] = field(default_factory=dict)
    closed: dict[str, float] = field(default_factory=dict)
    other_counters: dict[str, float] = field(default_factory=lambda: {"replays": 0.0, "kills": 0.0})

    def counters(self) -> Iterator[tuple[str, float]]:
        """Yield each counter with its title, in display order."""
        for reason, count in sorted(self.no_connection.items()):
            yield f"no connection, {reason}", count
        for reason, count in sorted(self.closed.items()):
            yield f"closed after a lease, {reason}", count
        yield from sorted(self.other_counters.items())

    def add(self, sample: Sample) -> None:
        """Add one sample of the edge's metrics; samples that are not about pools are ignored."""
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
                self.other_counters["replays"] = sample.value
            case "juniperreel_pool_kills_total":
                self.other_counters["kills"] = sample.value


def parse_metrics(text: str) -> PoolMetrics:
    """Parse a metrics page. Raises ValueError if it is malformed."""
    metrics = PoolMetrics()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            metrics.add(sample)
    return metrics


def fetch_metrics(address: str) -> PoolMetrics:
    """Fetch the metrics of the edge at `address`. Raises OSError or ValueError."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=FETCH_TIMEOUT_S) as response:
        return parse_metrics(response.read().decode())


def pool_table(metrics: PoolMetrics, previous: PoolMetrics | None, elapsed_s: float) -> Table:
    """Build a table with one row per endpoint, and the counters as its caption.

    With `previous`, the caption also has the rates of the counters over `elapsed_s`.
    """
    table = Table("member", *COLUMNS, title="connections")
    for name in sorted(metrics.members):
        gauges = metrics.members[name]
        cells = [f"{gauges.get(gauge, 0):.0f}" for gauge in COLUMNS]
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
    """Show the connection pools of an edge whose endpoints speak MySQL."""


@pool.command()
@click.argument("address")
@click.option("--watch", type=float, help="Refresh at this interval, in seconds, until interrupted.")
def show(address: str, watch: float | None) -> None:
    """Show connections, waiting requests and counters from the metrics of the edge at ADDRESS."""
    try:
        metrics = fetch_metrics(address)
        if not metrics.members:
            click.echo(
                f"{address}: no connection pools: endpoints speak gRPC, or none has been discovered yet",
                err=True,
            )
            sys.exit(1)
        if watch is None:
            Console().print(pool_table(metrics, None, 0.0))
            return
        watch_pools(address, metrics, max(watch, MIN_REFRESH_INTERVAL_S))
    except (OSError, ValueError, urllib.error.URLError) as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        return


def watch_pools(address: str, metrics: PoolMetrics, interval_s: float) -> None:
    """Refresh the display every `interval_s`, starting with `metrics`.

    Raises OSError, ValueError or KeyboardInterrupt.
    """
    with Live(pool_table(metrics, None, 0.0)) as live:
        while True:
            start = time.monotonic()
            time.sleep(interval_s)
            current = fetch_metrics(address)
            live.update(pool_table(current, metrics, time.monotonic() - start), refresh=True)
            metrics = current
