"""Derive samples of an upstream's speed from one answered request.

Pure functions. They are designed for loads in which most requests wait for others that
this process doesn't know of: only requests count that found little to wait for.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE
from banyanseam.entry.placing import (
    Placement,
    estimate_prefill_ms,
    estimate_slowdown,
    estimate_step_ms,
)

# A prompt with less prefill time shows how long an engine takes apart from it.
SHORT_PREFILL_MS: Final = 12.0
# By the initial performance, a prompt with more shows how fast an engine prefills.
SAMPLED_PREFILL_MS: Final = 60.0
# Known backlog at which a prompt is a sample, as a share of its own prefill time.
SAMPLED_BACKLOG_SHARE: Final = 0.25

# A stream with fewer events doesn't show the time between two of them.
MIN_PACE_EVENTS: Final = 3


class Measure(IntEnum):
    """What a sample shows of an upstream."""

    # Time to the first token apart from the prefill, in ms.
    START = 0
    # Prefill or call, in percent of the initial performance.
    WORK = 1
    # Time between two events of a stream, in percent of an initial step. Streams differ
    # in tokens an event, so it only compares the upstreams of a service.
    PACE = 2


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an upstream has answered, and when."""

    placement: Placement
    prompt: Prompt | None
    sent_s: float
    # The first event of a stream, or the answer's first byte.
    first_s: float
    # The last event of a stream so far, and the number of its events.
    last_s: float
    events: int = 0

    @property
    def first_ms(self) -> float:
        """Return the time from the write to the first token."""
        return (self.first_s - self.sent_s) * 1000

    @property
    def output_ms(self) -> float:
        """Return the time from the first token to the last."""
        return (self.last_s - self.first_s) * 1000


def measure_first(run: Run, start_ms: float) -> tuple[Measure, float] | None:
    """Return the sample that a run's first token or whole call gives, if any.

    `start_ms` is the upstream's time to the first token apart from the prefill.
    """
    candidate = run.placement.candidate
    is_full = candidate.requests >= candidate.slots
    if candidate.is_reserve:
        return None
    if run.prompt is None and is_full:
        return None
    if run.prompt is None:
        return Measure.WORK, 100 * run.first_ms / INITIAL_PERFORMANCE.call_ms
    is_cached = run.placement.is_cached
    initial_ms = estimate_prefill_ms(
        run.prompt, INITIAL_PERFORMANCE, is_cached=is_cached
    )
    own_ms = estimate_prefill_ms(run.prompt, candidate.performance, is_cached=is_cached)
    if initial_ms < SAMPLED_PREFILL_MS:
        if initial_ms > SHORT_PREFILL_MS or candidate.prefill_ms > SHORT_PREFILL_MS:
            return None
        if is_full:
            return None
        return Measure.START, max(0.0, run.first_ms - own_ms - candidate.prefill_ms)
    prefill_ms = run.first_ms - start_ms
    if is_full or candidate.prefill_ms > SAMPLED_BACKLOG_SHARE * own_ms:
        # Whatever else the engine had to do, the prefill took no longer than this.
        if prefill_ms > own_ms:
            return None
        return Measure.WORK, max(0.0, 100 * prefill_ms / initial_ms)
    # The backlog was estimated by the same performance as the prompt itself.
    prefill_ms /= (1 + candidate.prefill_ms / own_ms) * estimate_slowdown(candidate)
    return Measure.WORK, max(0.0, 100 * prefill_ms / initial_ms)


def measure_pace(run: Run) -> tuple[Measure, float] | None:
    """Return the sample that a whole stream gives, if any."""
    candidate = run.placement.candidate
    if candidate.is_reserve or run.prompt is None or run.events < MIN_PACE_EVENTS:
        return None
    work = candidate.performance.step_ms / INITIAL_PERFORMANCE.step_ms
    initial_step_ms = estimate_step_ms(candidate) / work
    event_ms = run.output_ms / (run.events - 1)
    return Measure.PACE, 100 * event_ms / initial_step_ms
