"""An owner writes records; a newer epoch opens the ledger and fences the old one."""

import trio
from heronthread_coordination import Ledger, MemoryStore, Record


async def main() -> None:
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        async with Ledger(store, "cell", epoch=1, commit_interval_s=0.1) as old:
            await old.open()
            nursery.start_soon(old.run)
            print(await old.append(Record("payout-1", 0.0, True, {"state": "done"})))
            new = Ledger(store, "cell", epoch=2)
            await new.open()
            print("epoch 2 reads", [record.key for record in new.records])
            print(await old.append(Record("payout-2", 0.0, True, {"state": "done"})))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
