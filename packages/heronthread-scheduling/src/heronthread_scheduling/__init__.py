"""Scheduling logic of heronthread: gangs, guarantees, reclaim, queue order and placement.

The package does no I/O, reads no clock and needs no event loop.
"""

from .audit import RunningGang, Violation, find_violations
from .cell import CellSpec, EventJob, build_cells, event_jobs, make_job, team_key
from .check import check_job, load_desired
from .decision import Accepted, Cause, Decision, Duplicate, NotRun, Reason, Reclaim, Start
from .desired import DesiredState, EventModel, JobModel, ShapeModel
from .guarantee import Block, Guarantee
from .job import Gang, Job, JobClass, Shape
from .plan import Plan, PlannedJob, Snapshot, plan_event
from .policy import DEFAULT_POLICY, NAMED_POLICIES, Policy
from .problem import Problem, Refused, json_path, problems_of
from .scheduler import CellScheduler
from .topology import Level, Pool, Topology, Worker

__all__ = [
    "DEFAULT_POLICY",
    "NAMED_POLICIES",
    "Accepted",
    "Block",
    "Cause",
    "CellScheduler",
    "CellSpec",
    "Decision",
    "DesiredState",
    "Duplicate",
    "EventJob",
    "EventModel",
    "Gang",
    "Guarantee",
    "Job",
    "JobClass",
    "JobModel",
    "Level",
    "NotRun",
    "Plan",
    "PlannedJob",
    "Policy",
    "Pool",
    "Problem",
    "Reason",
    "Reclaim",
    "Refused",
    "RunningGang",
    "Shape",
    "ShapeModel",
    "Snapshot",
    "Start",
    "Topology",
    "Violation",
    "Worker",
    "build_cells",
    "check_job",
    "event_jobs",
    "find_violations",
    "json_path",
    "load_desired",
    "make_job",
    "plan_event",
    "problems_of",
    "team_key",
]
