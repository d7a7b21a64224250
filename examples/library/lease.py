"""Two hosts contend for a cell; the first releases its lease and the second takes over."""

import trio
from heronthread_coordination import CellLease, LeaseState, MemoryStore


async def main() -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        async with CellLease(store, "cell", "first", "10.0.0.1:1", duration_s=1.0) as first:
            nursery.start_soon(first.run)
            while first.state is not LeaseState.OWNER:
                await first.changed.wait()
            print("first owns the cell in epoch", first.epoch)
            second = CellLease(store, "cell", "second", "10.0.0.2:1", duration_s=1.0)
            nursery.start_soon(second.run)
            await trio.sleep(0.5)
        while second.state is not LeaseState.OWNER:
            await trio.sleep(0.05)
        print("second owns the cell in epoch", second.epoch)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
