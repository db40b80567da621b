"""Limits the requests to upstreams that fall over if they refuse too many.

Such an upstream names how many refusals a second it just survives, over all VMs. A VM
sends it only what finds room: it keeps the places that it uses there, and takes its
part of the others in rounds that are longer than reports of other VMs are old. This
answers overloads in which many VMs see the same free place at the same moment.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from banyanseam.entry.const import MAX_MESH_PEERS
from banyanseam.entry.members import Members
from banyanseam.peers.rendezvous import rank_first

# A word of other upstreams of the service holds for so long.
BRITTLE_MEMORY_S: Final = 5.0
# Longer than a report of another VM is old when it arrives; they are passed on in a
# region whose VMs don't all send to each other.
ROUND_S: Final = 0.35
LARGE_REGION_ROUND_S: Final = 0.75
# Part of the free places that the VMs take together in a round.
FREE_SHARE: Final = 0.8
# What they take if few are free, as a part of the refusals that an upstream survives:
# requests of a VM that has just ended may still run there.
REST_SHARE: Final = 0.25
# How likely a VM with more than its part of a full upstream gives up one in a round.
RELEASE_SHARE: Final = 0.2
# Part of the refusals that an upstream survives.
REFUSAL_SHARE: Final = 0.5
# Part of them that a sudden load on all VMs may cause.
IDLE_SHARE: Final = 0.25
MIN_BRITTLE_PER_S: Final = 1
MAX_PAUSE_S: Final = 30.0
# A VM that has been silent for longer is gone.
SILENT_S: Final = 6.0
FULL_VIEW_S: Final = 0.015
# How long a comparison of the VMs is used.
VIEW_S: Final = ROUND_S / 4
# So many requests may wait for a place whatever runs.
MIN_WAITING: Final = 8
# A region with more VMs than this allows sends over some of them; the others relay, so
# that each sender has several places.
SLOTS_PER_SENDER: Final = 8
# The others serve while one that has just ended still counts as alive.
MIN_SENDERS: Final = 2
# So many requests of a VM may be with the senders whatever runs there.
MIN_RELAYED: Final = 2
# Answers that were on their way together may differ in what they say.
WORD_SLACK_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Contention:
    """The requests of this VM and of the others of its region."""

    own: int = 1
    others: int = 0
    # Other VMs without a request, which may have some by the time of their next report.
    idle_vms: int = 0
    # Requests of VMs whose reports have stopped, and that may still send.
    silent: int = 0
    vms: int = 1

    def find_share(self, requests: int, idle_weight: float) -> float:
        """Return the part of so many of the region's requests."""
        return requests / (self.own + self.others + self.idle_vms * idle_weight)


@dataclass(frozen=True, slots=True)
class Senders:
    """The VMs of a region that send to a brittle service, and its slots there."""

    ips: frozenset[str]
    slots: int


@dataclass(frozen=True, slots=True)
class Demand:
    """The requests at an upstream, as far as known, against what it runs at a time."""

    slots: int
    own_requests: int
    peer_requests: int
    # Refusals a second that the upstream survives.
    brittle_per_s: int


def count_senders(slots: int) -> int:
    """Return how many VMs of a region send to a brittle service with so many slots."""
    return max(MIN_SENDERS, math.ceil(slots / SLOTS_PER_SENDER))


def choose_senders(ips: Collection[str], service: str, slots: int) -> Senders | None:
    """Return which of a region's VMs send to a brittle service, None if all do.

    All VMs choose the same ones if they know the same VMs and upstreams.
    """
    count = count_senders(slots)
    if count >= len(ips):
        return None
    return Senders(frozenset(rank_first(ips, service, count)), slots)


def count_relayed(slots: int, contention: Contention) -> int:
    """Return how many requests a VM may have with the senders if they look full.

    That is its part of the slots, so that callers of all VMs are served alike.
    """
    return max(MIN_RELAYED, math.ceil(contention.find_share(slots * contention.own, 0)))


class BrittlePlaces:
    """The places that this VM may take at a brittle upstream."""

    def __init__(self) -> None:
        """Start without a place."""
        # The last word of this incarnation, and when it came.
        self.brittle_per_s: int | None = None
        self.heard_s = -math.inf
        self.places = 0
        self._peak = 0
        self._next_round_s = -math.inf
        self._paused_until_s = -math.inf

    def record_word(self, brittle_per_s: int | None, now_s: float) -> bool:
        """Record what an answer says; return whether that is new."""
        is_new = brittle_per_s != self.brittle_per_s
        self.brittle_per_s, self.heard_s = brittle_per_s, now_s
        return is_new

    def record_requests(self, own_requests: int) -> None:
        """Record how many requests of this VM are in progress after a send."""
        self._peak = max(self._peak, own_requests)

    def count_held(self, own_requests: int, now_s: float) -> int:
        """Return the places to report: one that is free for a moment is used again."""
        if now_s >= self._next_round_s:
            return own_requests
        return max(own_requests, self._peak)

    def may_send(
        self,
        demand: Demand,
        contention: Contention,
        now_s: float,
        draw: Callable[[], float],
    ) -> bool:
        """Return whether a request finds room; `draw` returns numbers from 0 to 1."""
        if now_s >= self._next_round_s:
            self._begin_round(demand, contention, now_s, draw())
        return demand.own_requests < self.places

    def record_refusal(
        self, own_requests: int, brittle_per_s: int, vms: int, now_s: float
    ) -> None:
        """Keep only what runs, and take no other place for a while.

        The pause keeps the refusals of all VMs well below what the upstream survives.
        """
        self.places = min(self.places, own_requests)
        self._peak = own_requests
        allowed_per_s = REFUSAL_SHARE * max(brittle_per_s, MIN_BRITTLE_PER_S)
        self._paused_until_s = now_s + min(vms / allowed_per_s, MAX_PAUSE_S)

    def _begin_round(
        self, demand: Demand, contention: Contention, now_s: float, drawn: float
    ) -> None:
        is_large = contention.vms > MAX_MESH_PEERS
        round_s = LARGE_REGION_ROUND_S if is_large else ROUND_S
        used = demand.own_requests
        if now_s < self._next_round_s + round_s:
            used = max(used, self._peak)
        self._next_round_s = now_s + round_s
        self._peak = demand.own_requests
        survived = max(demand.brittle_per_s, MIN_BRITTLE_PER_S)
        # So that VMs which all get requests in the same moment take what fits.
        idle_weight = FREE_SHARE * demand.slots / (demand.slots + IDLE_SHARE * survived)
        share = contention.find_share(contention.own, idle_weight)
        silent_share = contention.find_share(contention.silent, idle_weight)
        own_part = demand.slots * share
        free = demand.slots * (1 - silent_share) - demand.peer_requests - used
        self.places = used
        if free > 0 and now_s >= self._paused_until_s:
            if contention.vms > 1:
                free *= FREE_SHARE
            if free < demand.slots / 2:
                free = min(free, max(REST_SHARE * survived, 1.0))
            self.places += math.floor(free * share + drawn)
        elif free < 0:
            # More run there than fit; each VM gives up its part of the excess.
            excess = -free * used / max(used + demand.peer_requests, 1)
            self.places = max(0, used - math.floor(excess + drawn))
        elif used > own_part and drawn < RELEASE_SHARE:
            self.places -= 1


class BrittleServices:
    """What upstreams have said of their services: a word of one holds for all."""

    def __init__(self) -> None:
        """Start without a word."""
        # When a number was named last, by service and number.
        self._heard_s: dict[str, dict[int, float]] = {}
        # The last number that an answer named, and when, by service.
        self._own_words: dict[str, tuple[int, float]] = {}
        # When an upstream last said that it is not brittle, by service.
        self._calm_s: dict[str, float] = {}
        # Requests that wait at this VM for a place, by service.
        self.waiting: Counter[str] = Counter()
        # Requests of this VM that are with the senders, by service.
        self.relayed: Counter[str] = Counter()
        self._full_until_s: dict[str, float] = {}
        # The last comparisons and when they were made, by service whose senders count;
        # "" if all VMs do.
        self._compared: dict[str, tuple[float, Contention]] = {}

    def record_word(self, service: str, brittle_per_s: int, now_s: float) -> None:
        """Record that an upstream's answer says that it is brittle."""
        self._own_words[service] = brittle_per_s, now_s
        self.record_told(service, brittle_per_s, now_s)

    def record_told(self, service: str, brittle_per_s: int, heard_s: float) -> None:
        """Record what a peer reports about a service."""
        numbers = {
            number: before_s
            for number, before_s in self._heard_s.get(service, {}).items()
            if heard_s - before_s < BRITTLE_MEMORY_S
        }
        numbers[brittle_per_s] = max(heard_s, numbers.get(brittle_per_s, heard_s))
        self._heard_s[service] = numbers

    def record_calm(self, service: str, now_s: float) -> None:
        """Record an answer of a service's upstream that does not say so."""
        self._calm_s[service] = now_s

    def find(
        self, service: str, places: BrittlePlaces | None, now_s: float
    ) -> int | None:
        """Return the refusals a second that an upstream survives, None if not brittle.

        Its own word counts until it says otherwise, or for a while if others do. That
        of others counts for a while, unless it or others have said otherwise since.
        `places` is None for one of another region.
        """
        own = None
        if places is not None:
            calm_s = self._calm_s.get(service, -math.inf)
            if calm_s <= places.heard_s + BRITTLE_MEMORY_S:
                own = places.brittle_per_s
        if service not in self._heard_s:
            return own
        since_s = self._find_since_s(service, now_s)
        if places is not None:
            since_s = max(since_s, places.heard_s)
        heard = [
            number
            for number, heard_s in self._heard_s[service].items()
            if heard_s > since_s
        ]
        return min(heard if own is None else [*heard, own], default=None)

    @contextmanager
    def count_waiting(self, service: str) -> Iterator[None]:
        """Count a request as waiting for a place while the context is open."""
        self.waiting[service] += 1
        try:
            yield
        finally:
            self.waiting[service] -= 1

    def record_full(self, service: str, now_s: float) -> None:
        """Record that no upstream of this region has a place, which holds a moment.

        Else every waiting request would look at all of them.
        """
        self._full_until_s[service] = now_s + FULL_VIEW_S

    def is_full(self, service: str, now_s: float) -> bool:
        """Return whether no upstream of this region had a place a moment ago."""
        return now_s < self._full_until_s.get(service, -math.inf)

    def list_words(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return the last number that an answer named, and its age, by service.

        What peers have told is not passed on, so that it does not go round.
        """
        return {
            service: (number, round(1000 * (now_s - heard_s)))
            for service, (number, heard_s) in self._own_words.items()
            if heard_s > self._find_since_s(service, now_s)
        }

    def _find_since_s(self, service: str, now_s: float) -> float:
        """Return from when words about a service count."""
        calm_s = self._calm_s.get(service, -math.inf)
        return max(now_s - BRITTLE_MEMORY_S, calm_s - WORD_SLACK_S)

    def compare(
        self,
        members: Members,
        now_s: float,
        service: str = "",
        senders: Senders | None = None,
    ) -> Contention:
        """Return how this VM's load compares with those of its region.

        A peer whose reports have stopped counts with its last load. Of the others, only
        the senders of the service count if they are given.
        """
        key = "" if senders is None else service
        compared_s, contention = self._compared.get(key, (-math.inf, Contention()))
        if 0 <= now_s - compared_s < VIEW_S:
            return contention
        me = members.me
        recent = members.list_recent(now_s, me.region, SILENT_S)
        alive = {peer.ip for peer in members.list_alive(now_s, me.region)}
        rivals = recent
        if senders is not None:
            rivals = [
                peer
                for peer in recent
                if peer.ip in senders.ips or peer.ip not in alive
            ]
        contention = Contention(
            own=max(me.running, 1),
            others=sum(peer.running for peer in rivals),
            idle_vms=sum(peer.running == 0 for peer in rivals),
            silent=sum(peer.running for peer in recent if peer.ip not in alive),
            vms=1 + len(recent),
        )
        self._compared[key] = now_s, contention
        return contention
