"""What it costs to notice changes that watches miss: store calls, processor time and the delay.

Run with `make bench-missed-changes`. An emulated site has no jobs; the counts are of one simulated
minute each: calm, and from a compaction that watches are told of late. The delay is from a change's
storing to its being in force at the last host, while watches are silent or skip changes.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from dataclasses import replace

import trio
import trio.testing
from heronthread_emulator import EmulatedSite
from heronthread_emulator.site import SITE_TIMING
from heronthread_emulator.store import WatchFault

SIZES = ((8, 2.0), (45, 3.0))
"""Hosts, and the time (s) within which a configuration has to be in force."""
PERIOD_S = 60.0
CHANGES = 12
LONGEST_S = 10.0


def count_calls(site: EmulatedSite) -> Counter[str]:
    """Return the calls of all hosts by kind."""
    return sum((host.store.calls for host in site.hosts.values()), Counter[str]())


async def measure_period(site: EmulatedSite) -> tuple[Counter[str], float]:
    """Return the calls of one period, and its processor time in seconds."""
    before, began = count_calls(site), time.process_time()
    await trio.sleep(PERIOD_S)
    return count_calls(site) - before, time.process_time() - began


async def measure_delay(site: EmulatedSite, version: int) -> float:
    """Return how long (s) a change takes until it is in force at every host."""
    began = trio.current_time()
    site.configure(version)
    with trio.move_on_after(LONGEST_S):
        while any(h.configuration.state.version < version for h in site.hosts.values()):
            await trio.sleep(0.005)
    return trio.current_time() - began


async def measure_delays(site: EmulatedSite, fault: WatchFault | None) -> list[float]:
    """Return the delays of changes at several moments."""
    site.store.watch_fault = fault
    delays = []
    for _ in range(CHANGES):
        await trio.sleep(1.37)
        version = max(h.configuration.state.version for h in site.hosts.values()) + 1
        delays.append(await measure_delay(site, version))
    site.store.watch_fault = None
    return delays


def describe_calls(calls: Counter[str], processor_s: float, hosts: int) -> str:
    """Return one period's figures by second."""
    kinds = ", ".join(f"{kind} {n / PERIOD_S:.2f}" for kind, n in sorted(calls.items()))
    total = calls.total() / PERIOD_S
    return (
        f"{total:.2f} calls/s, {total / hosts:.3f} a host ({kinds}); "
        f"{processor_s / PERIOD_S / hosts * 100:.3f}% of a core a host"
    )


async def measure(hosts: int, apply_s: float) -> None:
    """Print the figures of one size."""
    timing = replace(SITE_TIMING, configuration_apply_s=apply_s)
    async with EmulatedSite.open(hosts=hosts, executors=24, timing=timing) as site:
        await site.wait_for_owner()
        await trio.sleep(10.0)
        print(f"{hosts} hosts, calm: {describe_calls(*await measure_period(site), hosts)}")
        site.store.compacts_unnoticed = True
        site.store.forget_history()
        site.store.cut_watches()
        print(f"{hosts} hosts, compacted: {describe_calls(*await measure_period(site), hosts)}")
        for fault in (None, *WatchFault):
            delays = await measure_delays(site, fault)
            name = fault.value if fault is not None else "sound"
            print(
                f"{hosts} hosts, watches {name}: in force after {statistics.mean(delays):.2f} s "
                f"on average, {max(delays):.2f} s at most"
            )


def main() -> None:
    """Print the figures of all sizes."""
    for hosts, apply_s in SIZES:
        trio.run(measure, hosts, apply_s, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    main()
