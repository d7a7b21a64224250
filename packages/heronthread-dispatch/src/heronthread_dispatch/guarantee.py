"""Selection of the urgent jobs covered by their customers' guarantees."""

from __future__ import annotations

from .model import URGENT, DesiredState
from .progress import JobState


def find_guaranteed(jobs: list[JobState], desired: DesiredState, wall_now: float) -> set[str]:
    """Return the urgent jobs covered by their customers' guarantees, oldest jobs first."""
    remaining_by_customer = {tenant.name: tenant.guaranteed for tenant in desired.tenants}
    found = set()
    urgent = [
        job
        for job in jobs
        if desired.current_queue(job.spec).priority == URGENT
        and job.is_active
        and job.is_due(wall_now)
    ]
    for job in sorted(urgent, key=lambda j: j.spec.accepted_at):
        required = max(s.count * s.need.accelerators for s in job.spec.steps)
        remaining = remaining_by_customer.get(job.spec.tenant, 0)
        if required <= remaining:
            remaining_by_customer[job.spec.tenant] = remaining - required
            found.add(job.spec.id)
    return found
