"""How fast an upstream works, in the terms that placement estimates waits with."""

from dataclasses import dataclass, replace
from typing import Final


@dataclass(frozen=True, slots=True)
class Performance:
    """Speed of an upstream: an engine's prefill and decoding, or a service's calls."""

    prefill_tokens_per_ms: float
    # Each prefilled token attends to all tokens before it.
    attention_ms_per_million_pairs: float
    # Duration of a decode step, and what each running request adds to it.
    step_ms: float
    step_ms_per_running: float
    # Time to prefill one chunk of prompts, which an engine does between two steps.
    chunk_ms: float
    # Output tokens of a usual request.
    output_tokens: float
    # Duration of a call to a service without engines.
    call_ms: float

    @property
    def slowness(self) -> float:
        """Return how many times longer all of it takes than initially assumed."""
        return self.call_ms / INITIAL_PERFORMANCE.call_ms


# Assumed until answers have been observed. Source: the operators' sheets.
INITIAL_PERFORMANCE: Final = Performance(
    prefill_tokens_per_ms=37.9,
    attention_ms_per_million_pairs=0.248,
    step_ms=4.63,
    step_ms_per_running=0.153,
    chunk_ms=27.0,
    output_tokens=45.0,
    call_ms=45.0,
)


INITIAL_PERCENT: Final = 100


def scale_performance(work_percent: int) -> Performance:
    """Return the performance whose durations are that share of the initial ones."""
    if work_percent == INITIAL_PERCENT:
        return INITIAL_PERFORMANCE
    work = work_percent / INITIAL_PERCENT
    initial = INITIAL_PERFORMANCE
    return replace(
        initial,
        prefill_tokens_per_ms=initial.prefill_tokens_per_ms / work,
        attention_ms_per_million_pairs=initial.attention_ms_per_million_pairs * work,
        step_ms=initial.step_ms * work,
        step_ms_per_running=initial.step_ms_per_running * work,
        chunk_ms=initial.chunk_ms * work,
        call_ms=initial.call_ms * work,
    )


def find_work_percent(performance: Performance) -> int:
    """Return the durations of a performance, in percent of the initial ones."""
    return round(INITIAL_PERCENT * performance.slowness)
