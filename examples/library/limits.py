"""Limits per customer, a retry budget and a graceful shutdown."""

import trio
from heronthread_coordination import CustomerLimits, Drain, RetryBudget


async def main() -> None:
    limits = CustomerLimits(per_customer=1)
    print(limits.enter("till"), limits.enter("till"))
    budget = RetryBudget(fraction=0.1, reserve=1)
    budget.record_call()
    print("retries allowed:", budget.try_retry(), budget.try_retry())
    drain = Drain()
    with drain.request():
        drain.start()
        print("in progress:", drain.in_progress)
    await drain.wait_idle()
    print("idle")


if __name__ == "__main__":
    trio.run(main)
