"""Selection of the urgent jobs covered by their customers' guarantees."""

from __future__ import annotations

from .model import URGENT, DesiredState
from .progress import JobState


def find_guaranteed(jobs: list[JobState], desired: DesiredState, wall_now: float) -> set[str]:
    """Return the urgent jobs covered by their customers' guarantees, oldest jobs first."""
    left = {tenant.name: tenant.guaranteed for tenant in desired.tenants}
    found = set()
    urgent = [
        job
        for job in jobs
        if desired.current_queue(job.spec).priority == URGENT
        and job.is_active
        and job.is_due(wall_now)
    ]
    for job in sorted(urgent, key=lambda j: j.spec.accepted_at):
        wanted = max(s.spec.count * s.spec.need.accelerators for s in job.steps)
        room = left.get(job.spec.tenant, 0)
        if wanted <= room:
            left[job.spec.tenant] = room - wanted
            found.add(job.spec.id)
    return found
