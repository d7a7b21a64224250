"""The settings of a daemon and their validation."""

from __future__ import annotations

from typing import Annotated

from heronthread_scheduling import Problem, Refused, problems_of
from heronthread_scheduling.desired import Model, Name
from pydantic import Field, StringConstraints, ValidationError

Address = Annotated[
    str, StringConstraints(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]


class LimitsModel(Model):
    """Limits on requests and on calls to the platform."""

    requests_per_customer: int = Field(default=256, ge=1)
    requests_total: int = Field(default=1024, ge=1)
    request_bytes: int = Field(default=1_100_000, ge=1024)
    request_read_s: float = Field(default=10.0, gt=0)
    longest_wait_s: float = Field(default=60.0, gt=0)
    connections_per_worker: int = Field(default=4, ge=2)
    store_reads_per_s: float = Field(default=50.0, gt=0)
    store_writes_per_s: float = Field(default=10.0, gt=0)


class TimesModel(Model):
    """Periods and leases, in seconds."""

    owner_lease_s: float = Field(default=5.0, gt=0)
    heartbeat_s: float = Field(default=1.0, gt=0)
    host_list_s: float = Field(default=1.0, gt=0)
    worker_poll_s: float = Field(default=10.0, gt=0)
    task_lease_s: float = Field(default=30.0, gt=0)
    commit_interval_s: float = Field(default=1.0, gt=0)
    drain_deadline_s: float = Field(default=90.0, gt=0)


class Settings(Model):
    """The settings of one daemon."""

    host: Name
    region: Name
    domain: Name
    http_address: Address
    peer_address: Address
    store_url: str
    platform_url: str
    statsd: Address | None = None
    fan_out: int = Field(default=3, ge=1)
    configuration_readers: int = Field(default=2, ge=1)
    contenders: int = Field(default=3, ge=1)
    limits: LimitsModel = LimitsModel()
    times: TimesModel = TimesModel()


def load_settings(text: str) -> Settings | Refused:
    """Parse a settings file and return the settings or all problems found."""
    try:
        settings = Settings.model_validate_json(text)
    except ValidationError as error:
        return problems_of(error)
    times = settings.times
    if times.worker_poll_s * 2 > times.task_lease_s:
        what = "worker_poll_s is more than half of task_lease_s"
        problem = Problem("$.times.worker_poll_s", what, "shorten it or lengthen the lease")
        return Refused((problem,))
    return settings
