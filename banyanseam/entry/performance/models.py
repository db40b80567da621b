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


@dataclass(frozen=True, slots=True)
class Factors:
    """Durations relative to INITIAL_PERFORMANCE, in percent.

    `work` is the prefill of an engine, with its steps, or the calls of a service
    without engines, `output` the output of a usual request.
    """

    work_percent: int = 100
    output_percent: int = 100


INITIAL_FACTORS: Final = Factors()


def find_factors(performance: Performance) -> Factors:
    """Return the durations of a performance that `scale_performance` returned."""
    initial = INITIAL_PERFORMANCE
    work = initial.prefill_tokens_per_ms / performance.prefill_tokens_per_ms
    output = performance.output_tokens / initial.output_tokens
    return Factors(round(100 * work), round(100 * output))


def scale_performance(factors: Factors) -> Performance:
    """Return the performance that has these durations."""
    if factors == INITIAL_FACTORS:
        return INITIAL_PERFORMANCE
    work = factors.work_percent / 100
    initial = INITIAL_PERFORMANCE
    return replace(
        initial,
        prefill_tokens_per_ms=initial.prefill_tokens_per_ms / work,
        attention_ms_per_million_pairs=initial.attention_ms_per_million_pairs * work,
        step_ms=initial.step_ms * work,
        step_ms_per_running=initial.step_ms_per_running * work,
        chunk_ms=initial.chunk_ms * work,
        output_tokens=initial.output_tokens * factors.output_percent / 100,
        call_ms=initial.call_ms * work,
    )
