"""What callers and the fault driver saw, for the checks to judge."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Attempt:
    """One request that a caller sent, and how it ended."""

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
    """One fault with its span on the shared monotonic clock."""

    kind: str
    target: str
    start_s: float
    end_s: float = float("inf")


@dataclass(slots=True)
class Observation:
    """A configuration version that one process had in force at a time."""

    seat: str
    pid: int
    at_s: float
    version: int


@dataclass(slots=True)
class Records:
    """Everything of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    withdrawn_s: float | None = None
    left_s: dict[str, float] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)
    # Upstream name to what it recorded of its runs.
    engine_runs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    service_runs: dict[str, dict[str, Any]] = field(default_factory=dict)

    def during(self, kind: str, target: str, at_s: float, grace_s: float) -> bool:
        """Say whether a fault was on, and had been for the grace, at a time."""
        return any(
            fault.kind == kind
            and fault.target == target
            and fault.start_s + grace_s <= at_s <= fault.end_s
            for fault in self.faults
        )

    def near(self, kinds: set[str], start_s: float, end_s: float) -> bool:
        """Say whether any fault of these kinds overlaps a span."""
        return any(
            fault.kind in kinds and fault.start_s <= end_s and start_s <= fault.end_s
            for fault in self.faults
        )
