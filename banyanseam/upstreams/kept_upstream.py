"""One upstream as its keeper sees it: what it holds, its health and its prefill."""

from banyanseam.config.compiled import Upstream
from banyanseam.upstreams.choose import Candidate
from banyanseam.upstreams.const import SENT_TERM_S
from banyanseam.upstreams.health import Health
from banyanseam.upstreams.held import HeldTokens
from banyanseam.upstreams.models import Demand, LoadReport, UpstreamState
from banyanseam.upstreams.terms import Terms


class KeptUpstream:
    """The state of one upstream; times are on the keeper's clock."""

    def __init__(self, upstream: Upstream, terms: Terms, now_s: float) -> None:
        """Start as a new keeper."""
        self.upstream = upstream
        self.health = Health()
        self.held = HeldTokens(
            upstream.memory_tokens,
            upstream.max_in_flight,
            now_s,
            is_reported=upstream.is_model,
            terms=terms,
        )
        # When a prompt was sent and how much of it was not cached.
        self._sent: list[tuple[float, int]] = []
        # Prompt tokens not yet computed, as of a time.
        self._queued_tokens = 0.0
        self._queued_s = now_s

    def update(self, upstream: Upstream, terms: Terms) -> None:
        """Take the published upstream and the terms of its region."""
        self.held.terms = terms
        self.upstream = upstream
        self.held.memory_tokens = upstream.memory_tokens
        self.held.max_in_flight = upstream.max_in_flight

    @property
    def is_leaving(self) -> bool:
        """Say whether the configuration or its own report says that it leaves."""
        report = self.held.report
        return self.upstream.leaving or (report is not None and report.leaving)

    @property
    def is_loaded(self) -> bool:
        """Say whether it has all that it serves, as far as its report says."""
        report = self.held.report
        if report is None or report.ready is None:
            return True
        return self.upstream.serves <= report.ready

    def is_usable(self, now_s: float) -> bool:
        """Say whether new requests may go there, room or not."""
        return not self.is_leaving and self.is_loaded and self.health.may_send(now_s)

    def describe_state(
        self, seats: frozenset[str], now_s: float, *, is_doubted: bool
    ) -> UpstreamState:
        """Return how it stands; `is_doubted` when the list of VMs says it leaves."""
        held, report = self.held, self.held.report
        state = "ready"
        if self.is_leaving or is_doubted:
            state = "leaving"
        elif not self.is_loaded:
            state = "unloaded"
        elif not self.health.may_send(now_s):
            state = "ejected"
        return UpstreamState(
            name=self.upstream.name,
            state=state,
            in_flight=len(held.leases),
            held_tokens=held.count_held_tokens(),
            free_tokens=(
                held.count_free_tokens(seats, now_s) if state == "ready" else 0
            ),
            reported_ms_ago=(
                None if report is None else round(1000 * (now_s - report.as_of_s))
            ),
        )

    def observe(self, report: LoadReport | None, now_s: float) -> None:
        """Take a polled report, or None when the poll failed."""
        self.health.note_poll(is_answered=report is not None)
        if report is None:
            return
        self.held.observe(report, now_s)
        self._sent = [sent for sent in self._sent if sent[0] > report.as_of_s]
        # The report lags, so what was sent since is added to it again.
        self._queued_tokens = float(report.queued_tokens)
        self._queued_s = report.as_of_s
        for sent_s, tokens in self._sent:
            self._queue(tokens, sent_s)

    def expire(self, seats: frozenset[str], now_s: float) -> None:
        """Forget silent entries, and prompts that must be computed by now."""
        self.held.expire(seats, now_s)
        self._sent = [sent for sent in self._sent if now_s - sent[0] < SENT_TERM_S]

    def note_sent(self, uncached_tokens: int, now_s: float) -> None:
        """Count a request that is about to go there."""
        self.health.note_sent(now_s)
        self._sent.append((now_s, uncached_tokens))
        self._queue(uncached_tokens, now_s)

    def count_queued_tokens(self, now_s: float) -> int:
        """Return the prompt tokens not yet computed, the report's lag made good."""
        rate = self.upstream.prefill_tokens_per_s
        done_tokens = max(0.0, now_s - self._queued_s) * rate
        return int(max(0.0, self._queued_tokens - done_tokens))

    def describe(self, demand: Demand, cached_tokens: int, now_s: float) -> Candidate:
        """Return it as a candidate for a request."""
        return Candidate(
            name=self.upstream.name,
            memory_tokens=self.upstream.memory_tokens,
            held_tokens=self.held.count_held_tokens(),
            queued_tokens=self.count_queued_tokens(now_s),
            running=len(self.held.leases),
            decode_tokens_per_s=self.upstream.decode_tokens_per_s,
            prefill_tokens_per_s=self.upstream.prefill_tokens_per_s,
            cached_tokens=min(cached_tokens, demand.prompt_tokens),
        )

    def _queue(self, tokens: int, now_s: float) -> None:
        self._queued_tokens = self.count_queued_tokens(now_s) + tokens
        self._queued_s = now_s
