"""Two operators apply a file concurrently; one wins, and a host that is behind catches up."""

import trio
from heronthread_coordination import Configuration, ConfigurationLog, MemoryStore


async def main() -> None:
    log = ConfigurationLog(MemoryStore())
    ana, luis, late = Configuration(), Configuration(), Configuration()
    print("ana:", await log.apply(ana, {"quota": b"10"}, "apply-1", "ana"))
    print("luis:", await log.apply(luis, {"quota": b"99"}, "apply-2", "luis"))
    delta = ana.delta_since(late.generation)
    assert delta is not None
    late.adopt_delta(delta)
    print("in force:", late.generation, late.sections)


if __name__ == "__main__":
    trio.run(main)
