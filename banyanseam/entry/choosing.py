"""Where a request goes: each place that may serve it, its turn, or why it has none."""

import random
from dataclasses import dataclass

import anyio

from banyanseam.entry.const import (
    MAX_RETRY_AFTER_MS,
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER_MS,
    OUTAGE_S,
    QUEUE_PERIOD_S,
    ROOM_PATIENCE_SHARE,
)
from banyanseam.entry.errors import NoUpstreamKnown, RegionsFull
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Member, Members
from banyanseam.entry.placing import (
    Ask,
    Candidate,
    Place,
    choose,
    is_admitted,
    is_its_turn,
)
from banyanseam.entry.reach import PeerReach
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import Loads, list_local, queue
from banyanseam.observe.events import UPSTREAM_CHOSEN, log


@dataclass(frozen=True, slots=True)
class Chooser:
    """What is known of places here and in other regions."""

    members: Members
    upstreams: UpstreamList
    loads: Loads
    reach: PeerReach

    def list_candidates(self, exchange: Exchange, now_s: float) -> list[Candidate]:
        """Return every place that may serve the request, here and elsewhere."""
        here = self.members.me.region
        allowed = exchange.allowed_regions(set(self.members.regions.values()))
        found = []
        if here in allowed:
            found += list_local(
                exchange.catalogue,
                exchange.service,
                self.upstreams,
                self.loads,
                self.members,
                now_s,
            )
        if exchange.forwarding is None:
            for region in allowed - {here}:
                if self.list_peers(exchange, region, now_s):
                    found += self.loads.list_remote(region, exchange.service, now_s)
        return [each for each in found if each.upstream_id not in exchange.unreachable]

    async def find_place(self, exchange: Exchange) -> Place:
        """Return where to send, once it is the request's turn there.

        Raise NoUpstreamKnown or RegionsFull as soon as it cannot be served in time.
        """
        began_s = anyio.current_time()
        patience_s = ROOM_PATIENCE_SHARE * exchange.left_ms(began_s) / 1000
        while True:
            now_s = anyio.current_time()
            left_ms = exchange.left_ms(now_s)
            waited_ms = (now_s - began_s) * 1000
            candidates = self.list_candidates(exchange, now_s)
            place = self._choose(exchange, candidates)
            if place is None:
                if not candidates and self._is_none_registered(exchange, now_s):
                    # Until the operators change that, so as late as a caller comes.
                    retry_after_ms = choose_retry_after_ms(left_ms, left_ms)
                    raise NoUpstreamKnown(retry_after_ms=retry_after_ms)
                if now_s - began_s >= patience_s:
                    kind = RegionsFull if candidates else NoUpstreamKnown
                    raise kind(retry_after_ms=choose_retry_after_ms(500.0, left_ms))
                await anyio.sleep(QUEUE_PERIOD_S)
                continue
            if not self._is_admitted(exchange, place, left_ms):
                retry_after_ms = choose_retry_after_ms(2 * place.wait_ms, left_ms)
                raise RegionsFull(
                    f"it would wait for {place.wait_ms:.0f} ms",
                    retry_after_ms=retry_after_ms,
                )
            if self._is_turn(exchange, place, waited_ms):
                self._log_choice(exchange, place, len(candidates), waited_ms)
                return place
            tracked = self.upstreams.find(place.candidate.upstream_id)
            with queue(tracked, exchange.head.prompt, is_kept=place.is_kept):
                await anyio.sleep(QUEUE_PERIOD_S * random.uniform(0.7, 1.3))

    def _is_none_registered(self, exchange: Exchange, now_s: float) -> bool:
        """Say whether surely no upstream may serve the request, cold ones included."""
        if now_s - self.upstreams.fresh_s > OUTAGE_S:
            return False
        regions = self.members.regions
        allowed = exchange.allowed_regions(set(regions.values()))
        return not any(
            regions.get(tracked.upstream.data_centre) in allowed
            for tracked in self.upstreams.list_usable(exchange.service, now_s)
        )

    def _choose(self, exchange: Exchange, candidates: list[Candidate]) -> Place | None:
        ask = Ask(exchange.head.prompt, len(exchange.body), self.members.me.region)
        untried = _prefer_untried(candidates, exchange.tried)
        return choose(untried, ask, self.loads.is_kept, random.random)

    def _is_admitted(self, exchange: Exchange, place: Place, left_ms: float) -> bool:
        if exchange.is_resumed:
            # What has begun is not cut off for a wait that its caller can bear.
            return place.wait_ms <= MAX_WAIT_SHARE * left_ms
        target_ms = exchange.route.target_ms
        return is_admitted(place, exchange.head.prompt, target_ms, left_ms)

    def _is_turn(self, exchange: Exchange, place: Place, waited_ms: float) -> bool:
        if place.candidate.region != self.members.me.region:
            # The other region holds it back where it has to.
            return True
        return is_its_turn(place, exchange.head.prompt, waited_ms)

    def _log_choice(
        self, exchange: Exchange, place: Place, candidates: int, waited_ms: float
    ) -> None:
        now_s = anyio.current_time()
        prompt = exchange.head.prompt
        log(
            UPSTREAM_CHOSEN,
            request_id=exchange.head.request_id,
            route=exchange.route.name,
            prompt_tokens=0 if prompt is None else prompt.prompt_tokens,
            max_output_tokens=0 if prompt is None else prompt.max_output_tokens,
            upstream=place.candidate.upstream_id,
            region=place.candidate.region,
            requests=place.candidate.requests,
            prefill_ms=round(place.candidate.prefill_ms),
            wait_ms=round(place.wait_ms),
            is_kept=place.is_kept,
            candidates=candidates,
            waited_ms=round(waited_ms),
            version=exchange.catalogue.version,
            list_age_ms=round((now_s - self.upstreams.fresh_s) * 1000),
        )

    def list_peers(self, exchange: Exchange, region: str, now_s: float) -> list[Member]:
        """Return who of another region may be handed the request."""
        serving = self.members.list_serving(now_s, region)
        return [
            peer
            for peer in self.reach.filter_reachable(serving, now_s)
            if peer.ip not in exchange.unreachable
        ]


def choose_retry_after_ms(base_ms: float, left_ms: float) -> int:
    """Return when to come back: spread, so that not all return at once.

    A caller waits for at most a third of what it has left, so it is told no more.
    """
    spread_ms = base_ms * random.uniform(1.0, 1.6)
    bounded_ms = min(max(spread_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return int(min(bounded_ms, max(left_ms / 3, MIN_RETRY_AFTER_MS)))


def _prefer_untried(candidates: list[Candidate], tried: list[str]) -> list[Candidate]:
    untried = [each for each in candidates if each.upstream_id not in tried]
    return untried or candidates
