"""Choose an upstream for a request, queue the request, or refuse it."""

import random
from dataclasses import dataclass

import anyio

from banyanseam.entry.const import (
    MAX_REST_SHARE,
    MAX_RETRY_AFTER_MS,
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER_MS,
    NO_CAPACITY_WAIT_SHARE,
    OUTAGE_S,
    QUEUE_PERIOD_S,
    UNREACHED_RETRY_MS,
    VERSION_CAPACITY_WAIT_SHARE,
)
from banyanseam.entry.errors import (
    NoUpstreamKnown,
    RegionsFull,
    StreamVersionGone,
    UpstreamsUnreached,
)
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.local_candidates import find_next_send_s, list_local_candidates
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.placing import (
    Candidate,
    Placement,
    PlacementRequest,
    choose,
    estimate_own_prefill_ms,
    is_admitted,
    may_be_sent,
)
from banyanseam.entry.reach import PeerReachability
from banyanseam.entry.unreached.const import MAX_RUNNING_TO_RELAY
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.usage_counts import count_waiting_prompt
from banyanseam.observe.events import UPSTREAM_CHOSEN, log
from banyanseam.upstreams.errors import UpstreamUnreachable


@dataclass(frozen=True, slots=True)
class Chooser:
    """Chooses from the upstreams of this region and of reachable other regions."""

    members: Members
    upstreams: UpstreamList
    loads: UpstreamLoads
    reachability: PeerReachability
    unreached: UnreachedUpstreams

    def list_candidates(self, exchange: Exchange, now_s: float) -> list[Candidate]:
        """Return every upstream that may serve the request, in all allowed regions.

        A forwarded request is served in this region only, and over no other VM.
        """
        # After a suspension, requests may be handled before any other task.
        self.upstreams.record_running(now_s)
        here = self.members.me.region
        allowed = exchange.allowed_regions(set(self.members.regions.values()))
        found = []
        if here in allowed and not self.loads.brittle.is_full(exchange.service, now_s):
            found += list_local_candidates(
                exchange.catalogue,
                exchange.service,
                self.upstreams,
                self.loads,
                self.members,
                now_s,
                self.unreached,
            )
        if exchange.forwarding is not None:
            found = [each for each in found if not each.is_relayed]
        if exchange.forwarding is None:
            relayed = self.loads.relay_to_senders(
                found, exchange.service, self.members, now_s
            )
            if relayed is not found and self._list_relays(exchange, now_s):
                found = relayed
            for region in allowed - {here}:
                if self.list_peers(exchange, region, now_s):
                    found += self.loads.list_remote_candidates(
                        region, exchange.service, now_s
                    )
        if any(each.is_relayed for each in found):
            found = self._filter_relayed(exchange, found, now_s)
        return [
            each
            for each in self.loads.filter_room(
                found, exchange.service, self.members, now_s
            )
            if (each.is_relayed or each.upstream_id not in exchange.unreachable)
            and exchange.may_run_at(each.software)
        ]

    def _filter_relayed(
        self, exchange: Exchange, candidates: list[Candidate], now_s: float
    ) -> list[Candidate]:
        """Leave out relayed candidates that no peer may be asked for now."""
        relays = self._list_relays(exchange, now_s)
        unreached = self.members.unreached.list_unreached_by_all(relays)
        return [
            each
            for each in candidates
            if not each.is_relayed
            or (relays and make_upstream_tag(each.upstream_id) not in unreached)
        ]

    async def wait_for_placement(self, exchange: Exchange) -> Placement:
        """Wait until the request may be sent, and return the chosen placement.

        Raise NoUpstreamKnown or RegionsFull as soon as it cannot be served in time.
        """
        started_s = anyio.current_time()
        share = self.choose_wait_share(exchange, started_s)
        max_wait_s = share * exchange.left_ms(started_s) / 1000
        while True:
            now_s = anyio.current_time()
            left_ms = exchange.left_ms(now_s)
            waited_ms = (now_s - started_s) * 1000
            candidates = self.list_candidates(exchange, now_s)
            placement = self._choose(exchange, candidates)
            if placement is None:
                self._refuse_if_unservable(exchange, candidates, started_s, max_wait_s)
                with self.loads.brittle.count_waiting(exchange.service):
                    await anyio.sleep(QUEUE_PERIOD_S)
                continue
            if self._would_be_cut(exchange, placement, left_ms):
                # Less time is left for each repeat, so use the longest delay.
                raise RegionsFull(
                    "the answer would not end before the deadline",
                    retry_after_ms=choose_retry_after_ms(left_ms, left_ms),
                )
            if not self._is_admitted(exchange, placement, left_ms):
                retry_after_ms = choose_retry_after_ms(2 * placement.wait_ms, left_ms)
                raise RegionsFull(
                    f"the estimated wait is {placement.wait_ms:.0f} ms",
                    retry_after_ms=retry_after_ms,
                )
            if self._may_be_sent(exchange, placement, waited_ms):
                self._log_choice(exchange, placement, len(candidates), waited_ms)
                return placement
            listed = self.upstreams.find(placement.candidate.upstream_id)
            queued_ms = estimate_own_prefill_ms(placement, exchange.head.prompt)
            with count_waiting_prompt(listed, queued_ms):
                await anyio.sleep(QUEUE_PERIOD_S * random.uniform(0.7, 1.3))

    def may_be_placed(self, exchange: Exchange) -> bool:
        """Return whether an upstream would take the request now."""
        now_s = anyio.current_time()
        left_ms = exchange.left_ms(now_s)
        placement = self._choose(exchange, self.list_candidates(exchange, now_s))
        return (
            placement is not None
            and not self._would_be_cut(exchange, placement, left_ms)
            and self._is_admitted(exchange, placement, left_ms)
        )

    def choose_wait_share(self, exchange: Exchange, now_s: float) -> float:
        """Return how long a request waits for a place, as a share of its time left.

        A stream that has begun waits longer if it competes with new requests for a part
        of the upstreams only, those of its software version.
        """
        usable = []
        if exchange.origin is not None:
            usable = self.upstreams.list_usable(exchange.service, now_s)
        if all(exchange.may_run_at(listed.upstream.software) for listed in usable):
            return NO_CAPACITY_WAIT_SHARE
        return VERSION_CAPACITY_WAIT_SHARE

    def _refuse_if_unservable(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        started_s: float,
        max_wait_s: float,
    ) -> None:
        """Raise NoUpstreamKnown or RegionsFull if waiting longer is of no use."""
        now_s = anyio.current_time()
        left_ms = exchange.left_ms(now_s)
        if not candidates and self._is_none_registered(exchange, now_s):
            # The operators must provide an upstream first, so use the longest delay.
            retry_after_ms = choose_retry_after_ms(left_ms, left_ms)
            if exchange.origin is not None:
                raise StreamVersionGone(
                    f"version {exchange.origin.software}", retry_after_ms=retry_after_ms
                )
            raise NoUpstreamKnown(retry_after_ms=retry_after_ms)
        if not candidates and self._is_unreached(exchange, now_s):
            retry_after_ms = choose_retry_after_ms(UNREACHED_RETRY_MS, left_ms)
            if exchange.forwarding is not None:
                # After this refusal VMs of earlier builds too take another VM, without
                # a charge to their retry budget.
                raise UpstreamUnreachable(
                    exchange.service, retry_after_ms=retry_after_ms
                )
            raise UpstreamsUnreached(retry_after_ms=retry_after_ms)
        waited_s = now_s - started_s
        if waited_s >= max_wait_s:
            is_full = candidates or self.loads.brittle.is_full(exchange.service, now_s)
            kind = RegionsFull if is_full else NoUpstreamKnown
            raise kind(retry_after_ms=choose_retry_after_ms(500.0, left_ms))
        is_queue_long = self.loads.has_long_queue(exchange.service, now_s)
        if not candidates and is_queue_long and not exchange.is_resumed:
            raise RegionsFull(
                "all upstreams are brittle and full",
                retry_after_ms=choose_retry_after_ms(500.0, left_ms),
            )
        paced_s = None
        if not candidates and self._is_allowed_here(exchange):
            paced_s = find_next_send_s(
                exchange.service, self.upstreams, self.members, now_s
            )
        if paced_s is not None and waited_s + paced_s > max_wait_s:
            raise RegionsFull(
                f"all upstreams have named limits; the next turn is in {paced_s:.2f} s",
                retry_after_ms=choose_retry_after_ms(1000 * paced_s, left_ms),
            )

    def _is_allowed_here(self, exchange: Exchange) -> bool:
        region = self.members.me.region
        return region in exchange.allowed_regions({region})

    def _is_unreached(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether no VM that may serve the request reaches an upstream of it."""
        me, service = self.members.me, exchange.service
        if exchange.forwarding is not None:
            return not self.members.has_way(me, service)
        regions = exchange.allowed_regions(set(self.members.regions.values()))
        return all(
            self.members.list_serving(now_s, region)
            and not self.members.list_with_way(now_s, region, service)
            for region in regions
        )

    def _is_none_registered(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether no usable upstream is registered, not even a cold one.

        For a stream that is to go on, one that could not be reached does not count.
        False if the list of upstreams is too old to be certain.
        """
        if now_s - self.upstreams.confirmed_s > OUTAGE_S:
            return False
        regions = self.members.regions
        allowed = exchange.allowed_regions(set(regions.values()))
        return not any(
            regions.get(listed.upstream.data_centre) in allowed
            and exchange.may_run_at(listed.upstream.software)
            and not (
                exchange.origin is not None
                and listed.upstream.upstream_id in exchange.unreachable
            )
            for listed in self.upstreams.list_usable(exchange.service, now_s)
        )

    def _choose(
        self, exchange: Exchange, candidates: list[Candidate]
    ) -> Placement | None:
        request = PlacementRequest(
            exchange.head.prompt,
            len(exchange.body),
            self.members.me.region,
            exchange.hold_rule,
        )
        untried = _prefer_untried(candidates, exchange.tried)
        return choose(untried, request, self.loads.is_cached, random.random)

    def _would_be_cut(
        self, exchange: Exchange, placement: Placement, left_ms: float
    ) -> bool:
        """Return whether a stream would more likely be cut by its deadline than end."""
        if not exchange.route.is_stream or exchange.is_resumed:
            return False
        now_s = anyio.current_time()
        rest_ms = self.loads.answer_times.find_ms(exchange.route.name, now_s)
        # Callers that leave enough time are admitted even if all others were cut.
        rest_ms = min(rest_ms, MAX_REST_SHARE * exchange.route.timeout_ms)
        return placement.wait_ms + rest_ms > left_ms

    def _is_admitted(
        self, exchange: Exchange, placement: Placement, left_ms: float
    ) -> bool:
        if exchange.is_resumed:
            # A stream that has begun is not refused if the deadline allows the wait.
            return placement.wait_ms <= MAX_WAIT_SHARE * left_ms
        return is_admitted(
            placement,
            exchange.head.prompt,
            exchange.route.target_ms,
            left_ms,
            exchange.hold_rule,
            waited_ms=(anyio.current_time() - exchange.received_s) * 1000,
        )

    def _may_be_sent(
        self, exchange: Exchange, placement: Placement, waited_ms: float
    ) -> bool:
        if self.is_forwarded(placement.candidate):
            # The other VM queues the request if necessary.
            return True
        return may_be_sent(
            placement,
            exchange.head.prompt,
            waited_ms,
            exchange.hold_rule,
            random.random(),
        )

    def _log_choice(
        self,
        exchange: Exchange,
        placement: Placement,
        candidates: int,
        waited_ms: float,
    ) -> None:
        now_s = anyio.current_time()
        prompt = exchange.head.prompt
        log(
            UPSTREAM_CHOSEN,
            request_id=exchange.head.request_id,
            route=exchange.route.name,
            prompt_tokens=0 if prompt is None else prompt.prompt_tokens,
            max_output_tokens=0 if prompt is None else prompt.max_output_tokens,
            upstream=placement.candidate.upstream_id,
            region=placement.candidate.region,
            requests=placement.candidate.requests,
            prefill_ms=round(placement.candidate.prefill_ms),
            wait_ms=round(placement.wait_ms),
            is_kept=placement.is_cached,
            candidates=candidates,
            waited_ms=round(waited_ms),
            version=exchange.catalogue.version,
            list_age_ms=round((now_s - self.upstreams.confirmed_s) * 1000),
        )

    def is_forwarded(self, candidate: Candidate) -> bool:
        """Return whether requests for a candidate go to another VM."""
        return candidate.is_relayed or candidate.region != self.members.me.region

    def list_peers(self, exchange: Exchange, region: str, now_s: float) -> list[Member]:
        """Return the processes of another region that may be sent the request.

        Those without a way to its service would refuse it.
        """
        serving = self.members.list_with_way(now_s, region, exchange.service)
        peers = self._filter_peers(exchange, serving, now_s)
        return self._keep_senders(exchange, peers, region, now_s) or peers

    def list_relays(
        self, exchange: Exchange, candidate: Candidate, now_s: float
    ) -> list[Member]:
        """Return the processes of this region over which a candidate is reached."""
        tag = make_upstream_tag(candidate.upstream_id)
        return [
            peer
            for peer in self._list_relays(exchange, now_s)
            if self.members.unreached.reaches(peer, tag)
        ]

    def _list_relays(self, exchange: Exchange, now_s: float) -> list[Member]:
        peers = [
            peer
            for peer in self.members.list_relays(now_s, exchange.service)
            if peer.running <= MAX_RUNNING_TO_RELAY
        ]
        peers = self._keep_senders(exchange, peers, self.members.me.region, now_s)
        return self._filter_peers(exchange, peers, now_s)

    def _keep_senders(
        self, exchange: Exchange, peers: list[Member], region: str, now_s: float
    ) -> list[Member]:
        """Leave out VMs that have no places at a brittle service."""
        senders = self.loads.find_senders(exchange.service, self.members, region, now_s)
        if senders is None:
            return peers
        return [peer for peer in peers if peer.ip in senders.ips]

    def _filter_peers(
        self, exchange: Exchange, peers: list[Member], now_s: float
    ) -> list[Member]:
        return [
            peer
            for peer in self.reachability.filter_reachable(peers, now_s)
            if peer.ip not in exchange.unreachable
        ]


def choose_retry_after_ms(base_ms: float, left_ms: float) -> int:
    """Return a retry delay with jitter, so that callers do not all retry at once.

    The delay is limited to a third of the caller's remaining time, since callers wait
    no longer than that before a retry.
    """
    spread_ms = base_ms * random.uniform(1.0, 1.6)
    bounded_ms = min(max(spread_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return int(min(bounded_ms, max(left_ms / 3, MIN_RETRY_AFTER_MS)))


def _prefer_untried(candidates: list[Candidate], tried: list[str]) -> list[Candidate]:
    untried = [each for each in candidates if each.upstream_id not in tried]
    return untried or candidates
