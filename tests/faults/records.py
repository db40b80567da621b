"""Records of one run by callers, the fault injector and upstreams, for the checks."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Attempt:
    """One request that a caller sent, and its outcome."""

    purpose: str
    region: str
    seat: str
    sent_s: float
    body: str
    status: int = 0
    ended_s: float = 0.0
    code: str | None = None
    not_run: bool = False
    is_whole: bool = False
    is_broken: bool = False
    request_id: str | None = None
    chunk_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Fault:
    """One injected fault and its time span on the shared monotonic clock."""

    kind: str
    target: str
    start_s: float
    end_s: float = float("inf")


@dataclass(slots=True)
class Observation:
    """The configuration version that a process had in force at one time."""

    seat: str
    pid: int
    at_s: float
    version: int


@dataclass(slots=True)
class Records:
    """All records of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    key_withdrawn_s: float | None = None
    # By upstream name: when it was marked as leaving.
    leaving_since_s: dict[str, float] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)
    # By upstream name: the runs that the upstream recorded itself.
    engine_runs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    service_runs: dict[str, dict[str, Any]] = field(default_factory=dict)

    def has_active_fault(
        self, kind: str, target: str, at_s: float, grace_s: float
    ) -> bool:
        """Return whether a fault was active and had been for the grace period."""
        return any(
            fault.kind == kind
            and fault.target == target
            and fault.start_s + grace_s <= at_s <= fault.end_s
            for fault in self.faults
        )

    def has_fault_between(self, kinds: set[str], start_s: float, end_s: float) -> bool:
        """Return whether any fault of these kinds overlaps a time span."""
        return any(
            fault.kind in kinds and fault.start_s <= end_s and start_s <= fault.end_s
            for fault in self.faults
        )
