"""Write the two example files of desired state.

Run from the root of the repository: `python examples/make_examples.py`.
"""

from __future__ import annotations

import json
from pathlib import Path

Part = dict[str, object]


def topology(region: str, cores: int, memory_gb: int) -> Part:
    """Return three failure domains with one rack of 8 workers each, in one cell."""
    domains = []
    for letter in "abc":
        name = f"{region}-{letter}"
        workers = {
            "prefix": f"{name}-w",
            "count": 8,
            "accelerators": 8,
            "slots": 8,
            "cores": cores,
            "memory_gb": memory_gb,
        }
        domains.append({"name": name, "racks": [{"name": "r1", "workers": [workers]}]})
    return {
        "regions": [{"name": region, "domains": domains}],
        "cells": [{"name": region, "domains": [d["name"] for d in domains]}],
    }


def gang(members: int, accelerators: int, adjacency: str = "rack") -> Part:
    """Return the shape of a gang that uses accelerators."""
    return {"members": members, "accelerators": accelerators, "adjacency": adjacency}


def slot() -> Part:
    """Return the shape of a single executor slot."""
    return {"members": 1, "slots": 1, "adjacency": "worker"}


def job(
    name: str,
    count: int,
    customer: str,
    job_class: str,
    shape: Part,
    expected_s: float,
    p95_s: float,
    **more: object,
) -> Part:
    """Return `count` identical jobs."""
    return {
        "name": name,
        "count": count,
        "customer": customer,
        "class": job_class,
        "shape": shape,
        "expected_s": expected_s,
        "p95_s": p95_s,
        **more,
    }


def customer(name: str, share: float, team: str, *guarantees: tuple[Part, int]) -> Part:
    """Return a customer with one team and its guarantees."""
    listed = [{"shape": shape, "count": count} for shape, count in guarantees]
    return {"name": name, "share": share, "teams": [{"name": team}], "guarantees": listed}


def community_solar_billing() -> Part:
    """Return an example with settlement, reconciliation and recalculation at month-end."""
    coop = "cooperativas-del-interior"
    roof = "azoteas-compartidas"
    small = "medidores-sur"
    office = "tarifas"
    jobs = [
        job("settlement-large", 6, coop, "settlement", gang(8, 4), 5400, 7200, checkpointable=True),
        job("settlement", 18, coop, "settlement", gang(4, 4), 3600, 5000, checkpointable=True),
        job("settlement-roof", 24, roof, "settlement", gang(2, 4), 2700, 3900, checkpointable=True),
        job("credit", 40, coop, "settlement", gang(1, 2, "worker"), 600, 900, repeatable=False),
        job("recalculation", 120, office, "recalculation", gang(1, 1, "worker"), 900, 1500),
        job("recalculation-wide", 20, roof, "recalculation", gang(2, 2), 1200, 1800),
        job("reconciliation", 80, small, "reconciliation", slot(), 20, 40),
        job("reconciliation-roof", 60, roof, "reconciliation", slot(), 20, 40, repeatable=False),
    ]
    return {
        "version": 1,
        "deployment": "Community Solar Billing",
        "topology": topology("uruguay", 60, 250),
        "classes": [
            {"name": "reconciliation", "weight": 8, "urgent": True},
            {"name": "settlement", "weight": 4},
            {"name": "recalculation", "weight": 1},
        ],
        "customers": [
            customer(coop, 4, "tesoreria", (gang(8, 4), 1), (gang(4, 4), 1)),
            customer(roof, 3, "hogares", (gang(4, 4), 1), (slot(), 8)),
            customer(small, 1, "ventanilla", (slot(), 16)),
            customer(office, 1, "tarifas", (gang(1, 4, "worker"), 1)),
        ],
        "events": [
            {
                "name": "month-end",
                "start": "2030-01-31T20:00:00",
                "time_zone": "America/Montevideo",
                "jobs": jobs,
            }
        ],
        "policy": {"completion_weight": 1.0, "fragmentation_weight": 2.0},
    }


def fopgap_lima() -> Part:
    """Return an example with tills, bank reconciliation and payouts at a nightly close."""
    tills = "cajas-restaurantes"
    bank = "conciliacion-bancaria"
    payout = "oficina-de-pagos"
    report = "reportes"
    jobs = [
        job("close-large", 4, bank, "settlement", gang(8, 8), 3000, 3900, checkpointable=True),
        job("close", 12, bank, "settlement", gang(4, 8), 2400, 3300, checkpointable=True),
        job("till-batch", 60, tills, "till", gang(1, 4, "worker"), 900, 1300),
        job("till-small", 300, tills, "till", gang(1, 1, "worker"), 300, 500),
        job("bank-match", 40, bank, "bank", gang(2, 4), 1200, 1700, checkpointable=True),
        job("payout", 60, payout, "payout", gang(1, 2, "worker"), 600, 900, repeatable=False),
        job("payout-check", 80, payout, "till-urgent", slot(), 15, 30),
        job("till-answer", 100, tills, "till-urgent", slot(), 15, 30, repeatable=False),
        job("report", 60, report, "report", gang(1, 1, "worker"), 1200, 2000),
    ]
    return {
        "version": 1,
        "deployment": "FOPGAP Lima",
        "topology": topology("lima", 130, 500),
        "classes": [
            {"name": "till-urgent", "weight": 8, "urgent": True},
            {"name": "payout", "weight": 6},
            {"name": "settlement", "weight": 4},
            {"name": "bank", "weight": 3},
            {"name": "till", "weight": 3},
            {"name": "report", "weight": 1},
        ],
        "customers": [
            customer(tills, 3, "cajas", (gang(1, 4, "worker"), 4), (slot(), 24)),
            customer(bank, 4, "banco", (gang(4, 8), 1)),
            customer(payout, 3, "pagos", (gang(1, 2, "worker"), 8), (slot(), 16)),
            customer(report, 1, "reportes"),
        ],
        "events": [
            {
                "name": "nightly-close",
                "start": "2030-01-15T23:00:00",
                "time_zone": "America/Lima",
                "jobs": jobs,
            }
        ],
        "policy": {"completion_weight": 2.0, "fragmentation_weight": 1.0},
    }


def main() -> None:
    """Write both files into the directory of this script."""
    here = Path(__file__).parent
    for name, state in (
        ("community-solar-billing", community_solar_billing()),
        ("fopgap-lima", fopgap_lima()),
    ):
        text = json.dumps(state, indent=2) + "\n"
        (here / f"{name}.json").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
