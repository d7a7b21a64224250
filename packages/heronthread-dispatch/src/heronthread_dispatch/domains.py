"""The failure domains of a cell: what is there, who asked to evacuate them, and what is left."""

from __future__ import annotations

from typing import Any

from .evacuation import list_unknown
from .events import log_event
from .fleet import ExecutorState
from .owned import OwnedCell


def list_domains(cell: OwnedCell) -> list[str]:
    """Return the domains in which the owner knows executors."""
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
                "asked by": " ".join(evacuations.describe_askers(domain)),
                "known for s": evacuations.find_age_s(domain),
                "executors": len(there),
                "runs": sum(len(state.list_held()) for state in there),
                "accelerators": sum(s.executor.capacity.accelerators for s in there),
            }
        )
    return rows


def count_left(cell: OwnedCell) -> int:
    """Return the accelerators at executors that take new work, whatever uses them now."""
    return sum(s.executor.capacity.accelerators for s in _takers(cell))


def find_shortfall(cell: OwnedCell) -> int:
    """Return by how many accelerators all guarantees together exceed what is left."""
    promised = sum(tenant.guaranteed for tenant in cell.parts.desired().tenants)
    return max(0, promised - count_left(cell))


def _takers(cell: OwnedCell) -> list[ExecutorState]:
    """Return the executors that are there to be used, though one may rest for a moment."""
    return [
        state
        for state in cell.executors.values()
        if state.listed and not state.dead and not state.evacuated and state.leaves_at is None
    ]


def tell_of_limits(cell: OwnedCell) -> None:
    """Log what the evacuated domains leave undone: unknown ones, guarantees, everything."""
    domains = cell.parts.evacuations.domains
    if not domains:
        return
    known = list_domains(cell)
    for domain in list_unknown(domains, known):
        log_event("evacuation.unknown", domain=domain, known=known)
    if known and domains.issuperset(known):
        log_event("evacuation.all", domains=known, active=len(cell.active))
    short = find_shortfall(cell)
    if short:
        log_event("guarantee.short", accelerators=short, left=count_left(cell))
