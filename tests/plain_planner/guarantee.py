"""Which urgent jobs lie within their tenants' guarantees."""

from __future__ import annotations

from heronthread_dispatch.model import URGENT, DesiredState
from heronthread_dispatch.progress import JobState


def find_guaranteed(jobs: list[JobState], desired: DesiredState, wall_now: float) -> set[str]:
    """Return the urgent jobs that lie within their tenants' guarantees, oldest first."""
    left = {tenant.name: tenant.guaranteed for tenant in desired.tenants}
    found = set()
    for job in sorted(jobs, key=lambda j: j.spec.accepted_at):
        if desired.current_queue(job.spec).priority != URGENT or not job.is_active:
            continue
        if not job.is_due(wall_now):
            continue
        wanted = max(s.spec.count * s.spec.need.accelerators for s in job.steps)
        room = left.get(job.spec.tenant, 0)
        if wanted <= room:
            left[job.spec.tenant] = room - wanted
            found.add(job.spec.id)
    return found
