"""Metrics sent to statsd; docs/operators/metrics.md lists their names."""

from __future__ import annotations

import trio
from heronthread_dispatch.peer import split_address
from statsd import StatsClient

from .host import Host

PERIOD_S = 10.0
PREFIX = "heronthread"


async def report_statistics(host: Host, address: str | None) -> None:
    """Send metrics every `PERIOD_S` seconds, unless no address is configured."""
    if address is None:
        return
    ip, port = split_address(address)
    client = StatsClient(ip, port, prefix=f"{PREFIX}.{host.name}")
    while True:
        await trio.sleep(PERIOD_S)
        _send_gauges(host, client)


def _send_gauges(host: Host, client: StatsClient) -> None:
    counts = host.store.counts
    client.gauge("store.reads", counts.reads)
    client.gauge("store.writes", counts.writes)
    client.gauge("store.refused", counts.refused)
    client.gauge("configuration.generation", host.configuration.generation)
    client.gauge("requests.in_progress", host.drain.in_progress)
    client.gauge("requests.refused", host.limits.refused)
    client.gauge("retries", host.retries.retries)
    for cell, owner in host.owners.items():
        client.gauge(f"cell.{cell}.waiting", owner.waiting)
        client.gauge(f"cell.{cell}.running", len(owner.attempts))
        client.gauge(f"cell.{cell}.commits", owner.parts.ledger.commits)
        for drop, count in owner.answers.dropped.items():
            client.gauge(f"cell.{cell}.answers_dropped.{drop.value}", count)
    for key in host.histograms.by_key:
        summary = host.histograms.summarise(key)
        name = f"{key.customer}.{key.job_class}.{key.measure.value}".replace(" ", "_")
        client.timing(f"{name}.p95", summary.p95)
