"""Selection of the urgent jobs covered by their customers' guarantees."""

from __future__ import annotations

from heronthread_dispatch.model import URGENT, DesiredState
from heronthread_dispatch.progress import JobState


def find_guaranteed(jobs: list[JobState], desired: DesiredState, wall_now: float) -> set[str]:
    """Return the urgent jobs covered by their customers' guarantees, oldest jobs first."""
    remaining_by_customer = {tenant.name: tenant.guaranteed for tenant in desired.tenants}
    found = set()
    for job in sorted(jobs, key=lambda j: j.spec.accepted_at):
        if desired.current_queue(job.spec).priority != URGENT or not job.is_active:
            continue
        if not job.is_due(wall_now):
            continue
        required = max(s.spec.count * s.spec.need.accelerators for s in job.steps)
        offer = remaining_by_customer.get(job.spec.tenant, 0)
        if required <= offer:
            remaining_by_customer[job.spec.tenant] = offer - required
            found.add(job.spec.id)
    return found
