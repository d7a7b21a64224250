"""Release of the jobs of events at their start times."""

from __future__ import annotations

import trio
from heronthread_coordination import Deposed, Record
from heronthread_scheduling import Accepted, EventJob, EventModel, JobModel, NotRun, event_jobs
from heronthread_scheduling.cell import event_id

from .job_record import JobState, OwnedJob
from .owned_cell import OwnedCell

CHECK_PERIOD_S = 1.0
EVENT_PREFIX = "event:"


async def release_events(owner: OwnedCell) -> None:
    """Release the jobs of each event at its start time, including overdue events."""
    while True:
        now = owner.parts.clock()
        for event in owner.state.events:
            if _is_due(owner, event, now):
                await _release(owner, event)
        await trio.sleep(_next_event_in(owner, now))


def _is_due(owner: OwnedCell, event: EventModel, now: float) -> bool:
    """Return whether an event has started, is unreleased and is within the retention period."""
    start = event.start_time()
    released = EVENT_PREFIX + event_id(event) in owner.parts.ledger.records
    return start <= now and not released and start > now - owner.state.retention_s


def _next_event_in(owner: OwnedCell, now: float) -> float:
    starts = [e.start_time() - now for e in owner.state.events if e.start_time() > now]
    return max(0.001, min([CHECK_PERIOD_S, *starts]))


async def _release(owner: OwnedCell, event: EventModel) -> None:
    """Queue the jobs of an event, then record them and the event in one ledger group."""
    name = event_id(event)
    items = [item for item in event_jobs(owner.state, event.name) if item.cell == owner.cell]
    owner.log("event.fired", event=name, jobs=len(items))
    now = owner.parts.clock()
    models = {f"{name}/{model.name}": model for model in event.jobs}
    records = []
    for item in items:
        if item.job.id not in owner.jobs:
            model = models[item.job.id.rsplit("/", 1)[0]]
            records.append(_accept(owner, item, model, now))
    owner.wake()
    marker = Record(EVENT_PREFIX + name, now, True, {"event": name, "jobs": len(items)})
    outcomes = await owner.parts.ledger.append_all([*records, marker])
    for record, outcome in zip(records, outcomes, strict=False):
        if not isinstance(outcome, Deposed):
            owned = owner.jobs[record.key]
            owned.durable = owned.durable or not owned.is_final


def _accept(owner: OwnedCell, item: EventJob, model: JobModel, now: float) -> Record:
    owned = OwnedJob(item.job, model, "", now)
    owner.jobs[item.job.id] = owned
    outcome = owner.scheduler.submit(item.job, now)
    if isinstance(outcome, NotRun):
        reason = outcome.reason
        owned.set_state(JobState.NOT_RUN, cause=reason.cause.value, reason=reason.text)
    else:
        assert isinstance(outcome, Accepted), "a new job id is never a duplicate"
    owner.log_state(owned)
    return owned.to_record(now)
