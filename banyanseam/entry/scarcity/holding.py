"""Hold back prompts that would delay more urgent requests.

Pure functions. They answer bursts of long, less urgent prompts beside many urgent short
ones: an engine prefills the prompts that it has got in turn, so urgent requests wait
behind all that was sent before them. What is held back waits at its VM. A short prompt
never is, since that would free next to nothing.
"""

from dataclasses import dataclass
from typing import Final

from banyanseam.entry.const import (
    GOSSIP_PERIOD_S,
    LONG_PREFILL_BACKLOG_GROWTH,
    LONG_PREFILL_BACKLOG_MS,
    LONG_PREFILL_MS,
    QUEUE_PERIOD_S,
)

# Prompts that take a smaller share of the urgent requests' target are not held back.
MIN_PREFILL_SHARE: Final = 0.05
# Share of that target that the prompts before an urgent request may take.
BACKLOG_SHARE: Final = 0.4
# What a prompt that is held back for long may add to it for each millisecond, so that
# none waits for ever.
BACKLOG_GROWTH: Final = 0.05


@dataclass(frozen=True, slots=True)
class HoldRule:
    """Which prompts are held back, and while an engine has how much to prefill."""

    min_prefill_ms: float
    max_backlog_ms: float
    backlog_growth: float
    # Whether several VMs share what an engine may still get.
    is_shared: bool


# For a service without more urgent requests.
USUAL_RULE: Final = HoldRule(
    LONG_PREFILL_MS,
    LONG_PREFILL_BACKLOG_MS,
    LONG_PREFILL_BACKLOG_GROWTH,
    is_shared=False,
)


def choose_hold_rule(urgent_target_ms: float | None) -> HoldRule:
    """Return the rule for requests beside more urgent ones with this target, if any."""
    if urgent_target_ms is None:
        return USUAL_RULE
    return HoldRule(
        min(LONG_PREFILL_MS, max(1.0, MIN_PREFILL_SHARE * urgent_target_ms)),
        max(LONG_PREFILL_BACKLOG_MS, BACKLOG_SHARE * urgent_target_ms),
        BACKLOG_GROWTH,
        is_shared=True,
    )


def find_send_share(
    rule: HoldRule,
    own_prefill_ms: float,
    backlog_ms: float,
    held_ms: float,
    waited_ms: float,
) -> float:
    """Return the chance with which a prompt is sent to its engine now.

    `backlog_ms` is what the engine has to prefill, `held_ms` what others hold back for
    it. By their chances the VMs together send about what the engine has room for until
    reports tell them of it.
    """
    if own_prefill_ms < rule.min_prefill_ms:
        return 1.0
    room_ms = rule.max_backlog_ms + rule.backlog_growth * waited_ms - backlog_ms
    if room_ms < 0:
        return 0.0
    if not rule.is_shared or held_ms <= own_prefill_ms:
        return 1.0
    return min(1.0, room_ms * QUEUE_PERIOD_S / GOSSIP_PERIOD_S / held_ms)
