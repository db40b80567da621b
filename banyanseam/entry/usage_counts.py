"""Count the requests of this process at an upstream while they run or wait."""

from collections.abc import Iterator
from contextlib import contextmanager

from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.models import Prompt
from banyanseam.entry.placing import count_memory_tokens


@contextmanager
def count_request(
    listed: ListedUpstream, prompt: Prompt | None, prefill_ms: float
) -> Iterator[list[float]]:
    """Count a request and its prefill time at an upstream while it runs there.

    Yield a one-element list with the prefill time that is still counted, which
    `mark_prefilled` sets to 0.
    """
    usage = listed.usage
    memory_tokens = count_memory_tokens(prompt)
    usage.requests += 1
    usage.prefill_ms += prefill_ms
    usage.memory_tokens += memory_tokens
    pending_prefill_ms = [prefill_ms]
    try:
        yield pending_prefill_ms
    finally:
        usage.requests -= 1
        usage.prefill_ms -= pending_prefill_ms[0]
        usage.memory_tokens -= memory_tokens


@contextmanager
def count_waiting_prompt(listed: ListedUpstream, queued_ms: float) -> Iterator[None]:
    """Count a long prompt's prefill time as waiting while the context is open."""
    listed.usage.queued_ms += queued_ms
    try:
        yield
    finally:
        listed.usage.queued_ms -= queued_ms


def mark_prefilled(listed: ListedUpstream, pending_prefill_ms: list[float]) -> None:
    """Stop counting a prompt's prefill time, once its first token has arrived."""
    listed.usage.prefill_ms -= pending_prefill_ms[0]
    pending_prefill_ms[0] = 0.0
