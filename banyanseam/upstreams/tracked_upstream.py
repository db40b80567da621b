"""State of one upstream at its keeper: held tokens, health and prefill backlog."""

from banyanseam.config.compiled import Upstream
from banyanseam.upstreams.choose import Candidate
from banyanseam.upstreams.const import UNREPORTED_PREFILL_TERM_S
from banyanseam.upstreams.health import Health
from banyanseam.upstreams.lease_ledger import LeaseLedger
from banyanseam.upstreams.models import Demand, LoadReport, UpstreamState
from banyanseam.upstreams.terms import Terms


class TrackedUpstream:
    """Tracks one upstream for its keeper; times are on the keeper's clock."""

    def __init__(self, upstream: Upstream, terms: Terms, now_s: float) -> None:
        """Start as a new keeper, with no known leases and no report."""
        self.upstream = upstream
        self.health = Health()
        self.ledger = LeaseLedger(
            upstream.memory_tokens,
            upstream.max_in_flight,
            now_s,
            is_reported=upstream.is_model,
            terms=terms,
        )
        # Prompts sent since the last report: send time and uncached tokens.
        self._recent_prompts: list[tuple[float, int]] = []
        # Prompt tokens still to be prefilled, as of `_queued_as_of_s`.
        self._queued_tokens = 0.0
        self._queued_as_of_s = now_s

    def update(self, upstream: Upstream, terms: Terms) -> bool:
        """Apply the published upstream and the lease terms of its region.

        Return whether it has another address, and so is another process.
        """
        has_moved = upstream.address != self.upstream.address
        if has_moved:
            self.health = Health()
        self.ledger.terms = terms
        self.upstream = upstream
        self.ledger.memory_tokens = upstream.memory_tokens
        self.ledger.max_in_flight = upstream.max_in_flight
        return has_moved

    @property
    def is_leaving(self) -> bool:
        """Return whether the configuration or the load report marks it as leaving."""
        report = self.ledger.report
        return self.upstream.leaving or (report is not None and report.leaving)

    @property
    def is_loaded(self) -> bool:
        """Return whether all that the upstream serves is loaded; true if unreported."""
        report = self.ledger.report
        if report is None or report.ready is None:
            return True
        return self.upstream.serves <= report.ready

    def is_usable(self, now_s: float) -> bool:
        """Return whether new requests may be sent, whatever the free capacity."""
        return not self.is_leaving and self.is_loaded and self.health.may_send(now_s)

    def describe_state(
        self, seats: frozenset[str], now_s: float, *, is_vm_leaving: bool
    ) -> UpstreamState:
        """Return the upstream's state; `is_vm_leaving` is from the list of VMs."""
        ledger, report = self.ledger, self.ledger.report
        state = "ready"
        if self.is_leaving or is_vm_leaving:
            state = "leaving"
        elif not self.is_loaded:
            state = "unloaded"
        elif not self.health.may_send(now_s):
            state = "ejected"
        return UpstreamState(
            name=self.upstream.name,
            state=state,
            in_flight=ledger.in_flight,
            held_tokens=ledger.count_held_tokens(),
            free_tokens=(
                ledger.count_free_tokens(seats, now_s) if state == "ready" else 0
            ),
            reported_ms_ago=(
                None if report is None else round(1000 * (now_s - report.as_of_s))
            ),
        )

    def observe(self, report: LoadReport | None, now_s: float) -> bool:
        """Apply a polled load report, or None if the poll failed.

        Return whether the report is the first of a new process of the upstream.
        """
        self.health.record_poll(is_answered=report is not None)
        if report is None:
            return False
        is_restarted = self.ledger.observe(report, now_s)
        if is_restarted:
            # The outcome of a probe of the old process would not count.
            self.health.record_unused()
        if self.ledger.report is not report:
            return False
        self._recent_prompts = [
            prompt for prompt in self._recent_prompts if prompt[0] > report.as_of_s
        ]
        # The report lags, so the prompts sent after it are added again.
        self._queued_tokens = float(report.queued_tokens)
        self._queued_as_of_s = report.as_of_s
        for sent_s, tokens in self._recent_prompts:
            self._add_queued(tokens, sent_s)
        return is_restarted

    def expire(self, seats: frozenset[str], now_s: float) -> None:
        """Expire leases, and prompts old enough to be assumed prefilled."""
        self.ledger.expire(seats, now_s)
        self._recent_prompts = [
            prompt
            for prompt in self._recent_prompts
            if now_s - prompt[0] < UNREPORTED_PREFILL_TERM_S
        ]

    def record_sent(self, uncached_tokens: int, now_s: float) -> None:
        """Record a request that is about to be sent to the upstream."""
        self.health.record_sent(now_s)
        self._recent_prompts.append((now_s, uncached_tokens))
        self._add_queued(uncached_tokens, now_s)

    def count_queued_tokens(self, now_s: float) -> int:
        """Return the tokens still to be prefilled, corrected for the report's lag."""
        rate = self.upstream.prefill_tokens_per_s
        prefilled_tokens = max(0.0, now_s - self._queued_as_of_s) * rate
        return int(max(0.0, self._queued_tokens - prefilled_tokens))

    def describe(self, demand: Demand, cached_tokens: int, now_s: float) -> Candidate:
        """Return the upstream as a candidate for a request."""
        return Candidate(
            name=self.upstream.name,
            memory_tokens=self.upstream.memory_tokens,
            held_tokens=self.ledger.count_held_tokens(),
            queued_tokens=self.count_queued_tokens(now_s),
            running=self.ledger.in_flight,
            decode_tokens_per_s=self.upstream.decode_tokens_per_s,
            prefill_tokens_per_s=self.upstream.prefill_tokens_per_s,
            cached_tokens=min(cached_tokens, demand.prompt_tokens),
        )

    def _add_queued(self, tokens: int, now_s: float) -> None:
        self._queued_tokens = self.count_queued_tokens(now_s) + tokens
        self._queued_as_of_s = now_s
