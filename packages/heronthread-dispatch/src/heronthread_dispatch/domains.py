"""The failure domains of a cell: their executors, evacuation requests and remaining capacity."""

from __future__ import annotations

from typing import Any

from .evacuation import list_unknown_domains
from .events import log_event
from .fleet import ExecutorState
from .owned_cell import OwnedCell


def list_domains(cell: OwnedCell) -> list[str]:
    """Return the domains that have known executors."""
    zones = {state.executor.zone for state in cell.executors.values() if not state.dead}
    return sorted(zones - {""})


def describe_domains(cell: OwnedCell) -> list[dict[str, Any]]:
    """Return a row for each domain that has executors or is to be evacuated."""
    evacuations = cell.parts.evacuations
    rows = []
    for domain in sorted({*list_domains(cell), *evacuations.domains}):
        there = [s for s in cell.executors.values() if s.executor.zone == domain and not s.dead]
        rows.append(
            {
                "domain": domain,
                "evacuated": domain in evacuations.domains,
                "asked by": " ".join(evacuations.list_requesters(domain)),
                "known for s": evacuations.find_age_s(domain),
                "executors": len(there),
                "runs": sum(len(state.list_held()) for state in there),
                "accelerators": sum(s.executor.capacity.accelerators for s in there),
            }
        )
    return rows


def count_remaining(cell: OwnedCell) -> int:
    """Return the accelerators, used or free, of executors that may take new work."""
    return sum(s.executor.capacity.accelerators for s in _list_available(cell))


def find_shortfall(cell: OwnedCell) -> int:
    """Return by how many accelerators the sum of guarantees exceeds the remaining capacity."""
    promised = sum(tenant.guaranteed for tenant in cell.parts.desired().tenants)
    return max(0, promised - count_remaining(cell))


def _list_available(cell: OwnedCell) -> list[ExecutorState]:
    """Return the executors that may take new work, including those that back off briefly."""
    return [
        state
        for state in cell.executors.values()
        if state.listed and not state.dead and not state.evacuated and state.leaves_at is None
    ]


def log_evacuation_limits(cell: OwnedCell) -> None:
    """Log evacuations of unknown domains or of all, and guarantees that exceed what is left."""
    domains = cell.parts.evacuations.domains
    if not domains:
        return
    known = list_domains(cell)
    for domain in list_unknown_domains(domains, known):
        log_event("evacuation.unknown", domain=domain, known=known)
    if known and domains.issuperset(known):
        log_event("evacuation.all", domains=known, active=len(cell.active))
    short = find_shortfall(cell)
    if short:
        log_event("guarantee.short", accelerators=short, left=count_remaining(cell))
