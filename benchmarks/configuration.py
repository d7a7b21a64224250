"""What a configuration of many routes costs a host: reading, a small change, finding a route.

Run with `make bench-configuration`. Times are processor time in milliseconds, the least of
several rounds; `packed` is what a peer sends, `stored` what the store holds, in bytes.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path

import orjson
from heronthread_dispatch.configuring import ConfigurationInForce

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from heronthread_platform.configuration import make_configuration_format

SIZES = (100, 1_300, 5_000)
ROUNDS = 5
LOOKUPS = 200


def make_configuration(version: int, routes: int, target_ms: int = 1_000) -> bytes:
    """Return a stored configuration; the first route's target is `target_ms`."""
    rows = [
        {
            "name": f"r-{number:06x}",
            "host": f"h{number % 7}.example",
            "path-prefix": f"/p{number:06d}/",
            "service": "service-a",
            "priority": number % 3,
            "max-attempts": 3,
            "stretch": 3.0,
            "target-latency-ms": target_ms if number == 0 else 1_000,
        }
        for number in range(routes)
    ]
    tenants = [{"name": f"t{number}", "api-keys": [f"key-{number}"]} for number in range(10)]
    return orjson.dumps({"version": version, "routes": rows, "tenants": tenants})


def measure(call: Callable[[], object]) -> float:
    """Return the processor time of one call, in ms."""
    started = time.process_time()
    call()
    return (time.process_time() - started) * 1000


def describe(routes: int) -> str:
    """Return one row of the table."""
    first, second = make_configuration(1, routes), make_configuration(2, routes, 2_000)
    reads, changes, packs = [], [], []
    for _ in range(ROUNDS):
        host = ConfigurationInForce(make_configuration_format())
        reads.append(measure(partial(host.offer, first, "store")))
        changes.append(measure(partial(host.offer, second, "store")))
        packs.append(measure(host.pack))
    path = f"/p{routes - 1:06d}/0123456789abcdef"
    name = f"h{(routes - 1) % 7}.example"
    finding = measure(lambda: [host.state.find_queue(name, path) for _ in range(LOOKUPS)])
    tracemalloc.start()
    kept = ConfigurationInForce(make_configuration_format())
    kept.offer(first, "store")
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return (
        f"{routes:6d}  {len(first):9,d}  {len(host.pack()):9,d}  {min(reads):7.2f}  "
        f"{min(changes):9.2f}  {min(packs):7.2f}  {finding / LOOKUPS * 1000:8.1f}  {memory_mb:9.1f}"
    )


def main() -> None:
    """Print the table."""
    print("routes     stored     packed  read ms  change ms  pack ms  find us  memory MB")
    for routes in SIZES:
        print(describe(routes))


if __name__ == "__main__":
    main()
