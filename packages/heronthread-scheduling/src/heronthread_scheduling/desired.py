"""Models that validate the desired-state file."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, field_validator

from .policy import EstimateName, OrderName, PlacementName, Policy, QueueLimits

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9 ._-]{0,79}$")]
MAX_FILE_BYTES = 1_000_000
MAX_GANG_MEMBERS = 64
MAX_PAYLOAD_LENGTH = 16_384


class Model(BaseModel):
    """Base of all models: unknown fields are rejected and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class WorkersModel(Model):
    """A group of identical workers in a rack, named `prefix` followed by a number from 1."""

    prefix: Name
    count: int = Field(ge=1, le=512)
    accelerators: int = Field(ge=0, le=16)
    slots: int = Field(default=8, ge=0, le=64)
    cores: int = Field(default=64, ge=1)
    memory_gb: int = Field(default=256, ge=1)


class RackModel(Model):
    """A rack and its workers."""

    name: Name
    workers: tuple[WorkersModel, ...]


class DomainModel(Model):
    """A failure domain and its racks."""

    name: Name
    racks: tuple[RackModel, ...]


class RegionModel(Model):
    """A region and its failure domains."""

    name: Name
    domains: tuple[DomainModel, ...]


class CellModel(Model):
    """Failure domains whose workers are scheduled together, by one owner."""

    name: Name
    domains: tuple[Name, ...] = Field(min_length=1)


class TopologyModel(Model):
    """All regions, and the cells into which their failure domains are divided."""

    regions: tuple[RegionModel, ...] = Field(min_length=1)
    cells: tuple[CellModel, ...] = Field(min_length=1)


class ShapeModel(Model):
    """A gang: `members` tasks, each with accelerators or with executor slots."""

    members: int = Field(default=1, ge=1, le=MAX_GANG_MEMBERS)
    accelerators: int = Field(default=0, ge=0, le=16)
    slots: int = Field(default=0, ge=0, le=64)
    cores: int = Field(default=0, ge=0)
    memory_gb: int = Field(default=0, ge=0)
    adjacency: Literal["worker", "rack", "domain", "cell"] = "rack"


class GuaranteeModel(Model):
    """`count` gangs of `shape` that the customer may start at any moment."""

    shape: ShapeModel
    count: int = Field(default=1, ge=1, le=512)
    cell: Name | None = None


class TeamModel(Model):
    """A team of a customer; `quota` limits the units that it holds at a time."""

    name: Name
    quota: int | None = Field(default=None, ge=1)


class CustomerModel(Model):
    """A customer, its relative share, its teams and its guarantees."""

    name: Name
    share: float = Field(default=1.0, gt=0)
    cell: Name | None = None
    teams: tuple[TeamModel, ...] = ()
    guarantees: tuple[GuaranteeModel, ...] = ()


class ClassModel(Model):
    """A job class; jobs of a larger weight run earlier, urgent ones before all others."""

    name: Name
    weight: float = Field(default=1.0, gt=0)
    urgent: bool = False


class JobModel(Model):
    """`count` identical jobs of an event; run times and the deadline are in seconds."""

    name: Name
    count: int = Field(default=1, ge=1, le=100_000)
    customer: Name
    team: Name | None = None
    job_class: Name = Field(alias="class")
    shape: ShapeModel
    repeatable: bool = True
    checkpointable: bool = False
    expected_s: float = Field(gt=0)
    p95_s: float = Field(gt=0)
    deadline_s: float | None = Field(default=None, gt=0)
    payload: str = Field(default="", max_length=MAX_PAYLOAD_LENGTH)

    @field_validator("p95_s")
    @classmethod
    def _check_p95(cls, value: float, info: object) -> float:
        expected = getattr(info, "data", {}).get("expected_s")
        if expected is not None and value < expected:
            raise ValueError(f"p95_s is below expected_s ({expected:g})")
        return value


class EventModel(Model):
    """Jobs that are released together at a fixed start time."""

    name: Name
    start: datetime
    time_zone: str = "UTC"
    jobs: tuple[JobModel, ...] = Field(min_length=1)

    @field_validator("start")
    @classmethod
    def _check_local_time(cls, value: datetime) -> datetime:
        if value.tzinfo is not None:
            raise ValueError("start is local time; name the zone in time_zone instead")
        return value

    @field_validator("time_zone")
    @classmethod
    def _check_time_zone(cls, value: str) -> str:
        try:
            ZoneInfo(value)
        except (ZoneInfoNotFoundError, ValueError) as error:
            raise ValueError(f"no time zone {value!r}") from error
        return value

    def start_time(self) -> float:
        """Return the start in seconds since the epoch."""
        return self.start.replace(tzinfo=ZoneInfo(self.time_zone)).timestamp()


class PolicyModel(Model):
    """Weights and limits of the scheduler; see `heronthread_scheduling.policy`."""

    placement: PlacementName = PlacementName.LEAST_LOSS
    order: OrderName = OrderName.COMPLETION
    estimate: EstimateName = EstimateName.P95
    hold_for_large: bool = True
    compaction: bool = True
    completion_weight: float = Field(default=1.0, ge=0)
    fragmentation_weight: float = Field(default=1.0, ge=0)
    starvation_s: float = Field(default=4 * 3600.0, gt=0)
    urgent_stop_s: float = Field(default=2.0, gt=0)
    reclaim_stop_s: float = Field(default=10.0, gt=0)
    max_waiting_per_customer: int = Field(default=20_000, ge=1)
    max_waiting_per_class: int = Field(default=10_000, ge=1)

    def to_policy(self) -> Policy:
        """Return the policy for the scheduler."""
        fields = self.model_dump(exclude={"max_waiting_per_customer", "max_waiting_per_class"})
        limits = QueueLimits(self.max_waiting_per_customer, self.max_waiting_per_class)
        return Policy(limits=limits, **fields)


class DesiredState(Model):
    """The desired state of one deployment."""

    version: Literal[1]
    deployment: Name
    topology: TopologyModel
    classes: tuple[ClassModel, ...] = Field(min_length=1)
    customers: tuple[CustomerModel, ...] = Field(min_length=1)
    events: tuple[EventModel, ...] = ()
    policy: PolicyModel = PolicyModel()
    retention_s: float = Field(default=7 * 86400.0, gt=0)
