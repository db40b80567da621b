"""Failure detector: which seats have a live process, from gossiped heartbeats.

Seats come from the configuration alone. A process is alive while its heartbeat
counter rises (the gossip protocol of van Renesse, Minsky and Hayden, 1998). The
platform's VM list can only make a process suspect sooner.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from banyanseam.config.compiled import Config, Seat
from banyanseam.peers.const import (
    DELAY_WEIGHT,
    GONE_FACTOR,
    MAX_ROWS,
    PLATFORM_SUSPECT_FACTOR,
)
from banyanseam.peers.incarnation import Incarnation
from banyanseam.peers.neighbours import GossipTiming, choose_gossip_timing
from banyanseam.peers.rows import Flags, Row, hash_seat


class SeatState(StrEnum):
    """The estimated state of the process at a seat."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(slots=True)
class Member:
    """The latest heartbeat data of the newest process at a seat."""

    seat: Seat
    # When the seat was added; until the first heartbeat its silence counts from then.
    added_s: float
    seat_hash: int
    state: SeatState = SeatState.SUSPECT
    incarnation: int = 0
    counter: int = 0
    flags: int = Flags.NONE
    last_heartbeat_s: float | None = None
    delay_s: float | None = None
    # Newest incarnation that the platform's list makes suspect; 0 for none.
    suspected_incarnation: int = 0
    is_leaving_on_platform: bool = False

    @property
    def is_suspected_by_platform(self) -> bool:
        """Return whether the platform's list makes the current process suspect."""
        return 0 < self.incarnation <= self.suspected_incarnation


_RUNNING_STATES: Final = (SeatState.ALIVE, SeatState.LEAVING)


class Membership:
    """Tracks the processes at all configured seats, including its own."""

    def __init__(self, seat: str, region: str, incarnation: Incarnation) -> None:
        """Start without other seats; `set_config` adds them."""
        self.seat = seat
        self.region = region
        self.incarnation = incarnation
        self.superseded_by: int | None = None
        # When a peer last confirmed that no newer process holds this seat.
        self.confirmed_s: float | None = None
        self.gossip_timing: GossipTiming = choose_gossip_timing(1, 1)
        self._members: dict[str, Member] = {}
        self._regions: dict[str, list[Member]] = {}
        self._seats_by_hash: dict[int, str] = {}
        self._counter = 0
        self._flags: int = Flags.NONE
        self._on_superseded: list[Callable[[int], None]] = []
        self._on_new_process: list[Callable[[str, int], None]] = []

    def on_superseded(self, callback: Callable[[int], None]) -> None:
        """Register a callback that receives the incarnation of a newer process here.

        The callback must stop serving and the spending of leases.
        """
        self._on_superseded.append(callback)

    def on_new_process(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback for the seat and incarnation of each new process."""
        self._on_new_process.append(callback)

    def set_config(self, config: Config, now_s: float) -> None:
        """Apply the seats of a configuration; remaining ones retain their state."""
        self._members = {
            name: self._member_for(seat, now_s)
            for name, seat in config.seats.items()
            if name != self.seat
        }
        self._regions = {}
        for member in self._members.values():
            self._regions.setdefault(member.seat.region, []).append(member)
        self._seats_by_hash = {hash_seat(name): name for name in config.seats}
        self.gossip_timing = choose_gossip_timing(
            len(config.seats_of(self.region)), len(config.seats)
        )
        self.advance(now_s)

    def set_flag(self, flag: int, *, on: bool) -> None:
        """Set or clear a flag that this process sends in its heartbeats."""
        self._flags = self._flags | flag if on else self._flags & ~flag

    def set_platform_list(self, live: set[str], leaving: set[str]) -> None:
        """Apply the platform's list, which lags and so only makes processes suspect."""
        for name, member in self._members.items():
            if name in live and name not in leaving:
                member.suspected_incarnation = 0
                member.is_leaving_on_platform = False
                continue
            # The list lags, so it can't refer to a process that started after the list
            # first omitted the seat or marked it as leaving.
            if not member.suspected_incarnation:
                member.suspected_incarnation = member.incarnation
            member.is_leaving_on_platform = name in leaving

    def increment_counter(self, now_s: float) -> None:
        """Increment the heartbeat counter of this process and update all states."""
        self._counter += 1
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Update the state of every seat."""
        for member in self._members.values():
            member.state = self._evaluate_state(member, now_s)

    def own_row(self) -> Row:
        """Return the heartbeat row of this process."""
        return Row(
            hash_seat(self.seat), self.incarnation.number, self._counter, self._flags
        )

    def merge_row(self, row: Row, now_s: float) -> None:
        """Merge a row that was received in a heartbeat; older data is ignored."""
        name = self._seats_by_hash.get(row.seat_hash)
        if name == self.seat:
            self.handle_own_seat_incarnation(row.incarnation)
            return
        member = self._members.get(name) if name is not None else None
        if member is None or row.incarnation < member.incarnation:
            return
        if row.incarnation > member.incarnation:
            self._record_new_process(member, row.incarnation)
        if row.counter > member.counter:
            member.counter = row.counter
            member.flags = row.flags
            member.last_heartbeat_s = now_s
        member.state = self._evaluate_state(member, now_s)

    def handle_own_seat_incarnation(self, incarnation: int) -> None:
        """Handle an incarnation reported for the seat of this process.

        If it is newer and this process has not served yet, its own number is raised
        above it; a process that has served is superseded.
        """
        if incarnation <= self.incarnation.number:
            return
        if self.incarnation.raise_above(incarnation):
            return
        if self.superseded_by is None:
            self.superseded_by = incarnation
            for callback in self._on_superseded:
                callback(incarnation)

    def handle_newest_incarnation(self, newest_incarnation: int, now_s: float) -> None:
        """Handle the newest incarnation that a peer has recorded for this seat."""
        if newest_incarnation > self.incarnation.number:
            self.handle_own_seat_incarnation(newest_incarnation)
        else:
            self.confirmed_s = now_s

    def record_round_trip(self, seat: str, round_trip_s: float) -> None:
        """Update the average one-way delay to a seat from one round trip."""
        member = self._members.get(seat)
        if member is None:
            return
        sample_s = round_trip_s / 2
        previous_s = member.delay_s if member.delay_s is not None else sample_s
        member.delay_s = previous_s + DELAY_WEIGHT * (sample_s - previous_s)

    def is_alive(self, seat: str) -> bool:
        """Return whether a seat is estimated to have a live or leaving process."""
        return self.state_of(seat) in (SeatState.ALIVE, SeatState.LEAVING)

    def is_leaving(self, seat: str) -> bool:
        """Return whether the process at a seat is about to stop."""
        if seat == self.seat:
            return bool(self._flags & Flags.LEAVING)
        return self.state_of(seat) is SeatState.LEAVING

    def state_of(self, seat: str) -> SeatState:
        """Return the estimated state of a seat; one that is not configured is gone."""
        if seat == self.seat:
            is_leaving = self._flags & Flags.LEAVING
            return SeatState.LEAVING if is_leaving else SeatState.ALIVE
        member = self._members.get(seat)
        return member.state if member is not None else SeatState.GONE

    def alive_seats(self, region: str) -> list[str]:
        """Return a region's seats with a live or leaving process, sorted by name."""
        own = [self.seat] if region == self.region else []
        return sorted([*own, *self.seats_in_state(region, *_RUNNING_STATES)])

    def seats_in_state(self, region: str, *states: SeatState) -> list[str]:
        """Return a region's seats in any of the states, except that of this process."""
        return [
            member.seat.name
            for member in self._regions.get(region, ())
            if member.state in states
        ]

    def reaches_service(self, seat: str) -> bool:
        """Return whether a process last reported that it reaches the config service."""
        if seat == self.seat:
            return bool(self._flags & Flags.REACHES_SERVICE)
        member = self._members.get(seat)
        return member is not None and bool(member.flags & Flags.REACHES_SERVICE)

    def incarnation_of(self, seat: str) -> int:
        """Return the newest incarnation recorded for a seat, 0 if none is."""
        if seat == self.seat:
            return self.incarnation.number
        member = self._members.get(seat)
        return member.incarnation if member is not None else 0

    def last_heartbeat_s_of(self, seat: str) -> float | None:
        """Return when the last heartbeat of a seat's process was received, if ever."""
        member = self._members.get(seat)
        return member.last_heartbeat_s if member is not None else None

    def measured_delay_s(self, seat: str) -> float | None:
        """Return the one-way delay to a seat, or if unmeasured the least in its region.

        Return None if no seat of the region has been measured.
        """
        member = self._members.get(seat)
        if member is None:
            return 0.0 if seat == self.seat else None
        if member.delay_s is not None:
            return member.delay_s
        measured = (
            other.delay_s
            for other in self._members.values()
            if other.seat.region == member.seat.region and other.delay_s is not None
        )
        return min(measured, default=None)

    def regions(self) -> list[str]:
        """Return the regions of the other seats and of this one."""
        return sorted(self._regions.keys() | {self.region})

    def list_rows_to_forward(self, target: str, peer_rows: dict[int, Row]) -> list[Row]:
        """Return the rows to forward to a peer, given those that it has already.

        Other regions are sent rows of this region only: a seat that is partitioned
        from a region must not take that region's seats for reachable.
        """
        receiver = self._members[target]
        steps = {self.region: self.gossip_timing.own_region_counter_step}
        if receiver.seat.region == self.region:
            steps = (
                dict.fromkeys(
                    self._regions, self.gossip_timing.other_region_counter_step
                )
                | steps
            )
        rows = [
            Row(member.seat_hash, member.incarnation, member.counter, member.flags)
            for region, step in steps.items()
            for member in self._regions.get(region, ())
            if _is_due(member, peer_rows.get(member.seat_hash), step)
            and member is not receiver
            and member.state in _RUNNING_STATES
        ]
        return rows[: MAX_ROWS - 1]

    def _member_for(self, seat: Seat, now_s: float) -> Member:
        member = self._members.get(seat.name)
        if member is None:
            return Member(seat, now_s, hash_seat(seat.name))
        member.seat = seat
        return member

    def _record_new_process(self, member: Member, incarnation: int) -> None:
        member.incarnation = incarnation
        member.counter = 0
        member.flags = Flags.NONE
        member.last_heartbeat_s = None
        for callback in self._on_new_process:
            callback(member.seat.name, incarnation)

    def _evaluate_state(self, member: Member, now_s: float) -> SeatState:
        is_own = member.seat.region == self.region
        suspect_s = self.gossip_timing.suspect_s(is_own_region=is_own)
        # Fast path for nearly all seats; this runs on each heartbeat and each row.
        is_unsuspected = not (
            member.flags & Flags.LEAVING or member.suspected_incarnation
        )
        is_recent = (
            member.last_heartbeat_s is not None
            and now_s - member.last_heartbeat_s < suspect_s
        )
        if is_unsuspected and is_recent:
            return SeatState.ALIVE
        if member.is_suspected_by_platform:
            # The platform's list only shortens the timeout: a process that still sends
            # heartbeats in time doesn't become suspect.
            suspect_s *= PLATFORM_SUSPECT_FACTOR
        since_s = (
            member.last_heartbeat_s
            if member.last_heartbeat_s is not None
            else member.added_s
        )
        silence_s = now_s - since_s
        if silence_s >= suspect_s * GONE_FACTOR:
            return SeatState.GONE
        if silence_s >= suspect_s or member.last_heartbeat_s is None:
            return SeatState.SUSPECT
        if member.flags & Flags.LEAVING or (
            member.is_leaving_on_platform and member.is_suspected_by_platform
        ):
            return SeatState.LEAVING
        return SeatState.ALIVE


def _is_due(member: Member, peer_row: Row | None, step: int) -> bool:
    """Return whether to send a member's row to a peer that already has `peer_row`."""
    if peer_row is None or peer_row.incarnation < member.incarnation:
        return True
    if peer_row.incarnation > member.incarnation or peer_row.counter >= member.counter:
        return False
    return peer_row.flags != member.flags or member.counter >= peer_row.counter + step
