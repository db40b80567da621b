"""Which seats have a live process, by heartbeats heard directly or passed on.

Seats come from the configuration alone. A process is alive while its counter rises.
The approach is that of a gossiped heartbeat counter (van Renesse, Minsky and Hayden,
1998); the platform's list only ever adds doubt.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from banyanseam.config.compiled import Config, Seat
from banyanseam.peers.const import DELAY_WEIGHT, DOUBT_FACTOR, GONE_FACTOR, MAX_ROWS
from banyanseam.peers.incarnation import Incarnation
from banyanseam.peers.neighbours import Pace, choose_pace
from banyanseam.peers.rows import Flags, Row, hash_seat


class State(StrEnum):
    """What is believed of a seat."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(slots=True)
class Member:
    """What is known of the process at a seat."""

    seat: Seat
    # Silence counts from here until the first heartbeat.
    known_s: float
    seat_hash: int
    state: State = State.SUSPECT
    incarnation: int = 0
    counter: int = 0
    flags: int = Flags.NONE
    heard_s: float | None = None
    delay_s: float | None = None
    # The process that the platform's list doubts; 0 for none.
    doubted_incarnation: int = 0
    platform_says_leaving: bool = False

    @property
    def is_doubted(self) -> bool:
        """Say whether the platform's list speaks of this very process."""
        return 0 < self.incarnation <= self.doubted_incarnation


_PRESENT: Final = (State.ALIVE, State.LEAVING)


class Membership:
    """The seats, the processes believed at them, and this process among them."""

    def __init__(self, seat: str, region: str, incarnation: Incarnation) -> None:
        """Start alone; `set_config` brings the seats."""
        self.seat = seat
        self.region = region
        self.incarnation = incarnation
        self.superseded_by: int | None = None
        # When a peer last said that no newer process has this seat.
        self.confirmed_s: float | None = None
        self.pace: Pace = choose_pace(1, 1)
        self._members: dict[str, Member] = {}
        self._regions: dict[str, list[Member]] = {}
        self._names: dict[int, str] = {}
        self._counter = 0
        self._flags: int = Flags.NONE
        self._on_superseded: list[Callable[[int], None]] = []
        self._on_new_process: list[Callable[[str, int], None]] = []

    def on_superseded(self, callback: Callable[[int], None]) -> None:
        """Call back when a newer process has this seat: serve and spend no more."""
        self._on_superseded.append(callback)

    def on_new_process(self, callback: Callable[[str, int], None]) -> None:
        """Call back with seat and incarnation when a seat has a new process."""
        self._on_new_process.append(callback)

    def set_config(self, config: Config, now_s: float) -> None:
        """Take over the seats of a configuration, keeping what is known of them."""
        self._members = {
            name: self._take_over(seat, now_s)
            for name, seat in config.seats.items()
            if name != self.seat
        }
        self._regions = {}
        for member in self._members.values():
            self._regions.setdefault(member.seat.region, []).append(member)
        self._names = {hash_seat(name): name for name in config.seats}
        self.pace = choose_pace(len(config.seats_of(self.region)), len(config.seats))
        self.advance(now_s)

    def set_flag(self, flag: int, *, on: bool) -> None:
        """Say something of this process in its next heartbeat."""
        self._flags = self._flags | flag if on else self._flags & ~flag

    def set_platform_list(self, live: set[str], leaving: set[str]) -> None:
        """Note the platform's list, which lags and so only adds doubt."""
        for name, member in self._members.items():
            if name in live and name not in leaving:
                member.doubted_incarnation = 0
                member.platform_says_leaving = False
                continue
            # A process that started since the list first doubted its seat is not meant.
            if not member.doubted_incarnation:
                member.doubted_incarnation = member.incarnation
            member.platform_says_leaving = name in leaving

    def beat(self, now_s: float) -> None:
        """Count one period of this process and reconsider the others."""
        self._counter += 1
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Reconsider the state of every seat."""
        for member in self._members.values():
            member.state = self._judge(member, now_s)

    def own_row(self) -> Row:
        """Return what this process says of itself."""
        return Row(
            hash_seat(self.seat), self.incarnation.number, self._counter, self._flags
        )

    def hear(self, row: Row, now_s: float) -> None:
        """Take in what a heartbeat says of one seat."""
        name = self._names.get(row.seat_hash)
        if name == self.seat:
            self.hear_of_own_seat(row.incarnation)
            return
        member = self._members.get(name) if name is not None else None
        if member is None or row.incarnation < member.incarnation:
            return
        if row.incarnation > member.incarnation:
            self._start_process(member, row.incarnation)
        if row.counter > member.counter:
            member.counter = row.counter
            member.flags = row.flags
            member.heard_s = now_s
        member.state = self._judge(member, now_s)

    def hear_of_own_seat(self, incarnation: int) -> None:
        """Stand down for a newer process, unless this one has not served yet."""
        if incarnation <= self.incarnation.number:
            return
        if self.incarnation.outbid(incarnation):
            return
        if self.superseded_by is None:
            self.superseded_by = incarnation
            for callback in self._on_superseded:
                callback(incarnation)

    def hear_verdict(self, newest_incarnation: int, now_s: float) -> None:
        """Take in which process a peer holds to be the newest at this seat."""
        if newest_incarnation > self.incarnation.number:
            self.hear_of_own_seat(newest_incarnation)
        else:
            self.confirmed_s = now_s

    def measure_delay(self, seat: str, round_trip_s: float) -> None:
        """Take in one round trip to a seat."""
        member = self._members.get(seat)
        if member is None:
            return
        sample_s = round_trip_s / 2
        known_s = member.delay_s if member.delay_s is not None else sample_s
        member.delay_s = known_s + DELAY_WEIGHT * (sample_s - known_s)

    def is_alive(self, seat: str) -> bool:
        """Say whether a process is believed to run at a seat."""
        return self.state_of(seat) in (State.ALIVE, State.LEAVING)

    def is_leaving(self, seat: str) -> bool:
        """Say whether the process at a seat is about to stop."""
        if seat == self.seat:
            return bool(self._flags & Flags.LEAVING)
        return self.state_of(seat) is State.LEAVING

    def state_of(self, seat: str) -> State:
        """Return what is believed of a seat; one not configured is gone."""
        if seat == self.seat:
            is_leaving = self._flags & Flags.LEAVING
            return State.LEAVING if is_leaving else State.ALIVE
        member = self._members.get(seat)
        return member.state if member is not None else State.GONE

    def alive_seats(self, region: str) -> list[str]:
        """Return the seats of a region with a live process, in order of name."""
        own = [self.seat] if region == self.region else []
        return sorted([*own, *self.seats_in_state(region, *_PRESENT)])

    def seats_in_state(self, region: str, *states: State) -> list[str]:
        """Return the other seats of a region in any of the states."""
        return [
            member.seat.name
            for member in self._regions.get(region, ())
            if member.state in states
        ]

    def reaches_service(self, seat: str) -> bool:
        """Say whether a seat's process last said that it reaches the service."""
        if seat == self.seat:
            return bool(self._flags & Flags.REACHES_SERVICE)
        member = self._members.get(seat)
        return member is not None and bool(member.flags & Flags.REACHES_SERVICE)

    def incarnation_of(self, seat: str) -> int:
        """Return the newest incarnation known at a seat, 0 if none is."""
        if seat == self.seat:
            return self.incarnation.number
        member = self._members.get(seat)
        return member.incarnation if member is not None else 0

    def heard_s_of(self, seat: str) -> float | None:
        """Return when the last heartbeat of a seat's process was heard, if ever."""
        member = self._members.get(seat)
        return member.heard_s if member is not None else None

    def measured_delay_s(self, seat: str) -> float | None:
        """Return the one-way delay to a seat, or else the least to its region."""
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

    def list_news(self, target: str, told: dict[int, Row]) -> list[Row]:
        """Return the rows to pass on to a peer, given those that it has already.

        Another region is told of this region only: who is cut off from a region
        should not believe its seats within reach.
        """
        receiver = self._members[target]
        steps = {self.region: self.pace.own_region_step}
        if receiver.seat.region == self.region:
            steps = dict.fromkeys(self._regions, self.pace.other_region_step) | steps
        rows = [
            Row(member.seat_hash, member.incarnation, member.counter, member.flags)
            for region, step in steps.items()
            for member in self._regions.get(region, ())
            if _is_news(member, told.get(member.seat_hash), step)
            and member is not receiver
            and member.state in _PRESENT
        ]
        return rows[: MAX_ROWS - 1]

    def _take_over(self, seat: Seat, now_s: float) -> Member:
        member = self._members.get(seat.name)
        if member is None:
            return Member(seat, now_s, hash_seat(seat.name))
        member.seat = seat
        return member

    def _start_process(self, member: Member, incarnation: int) -> None:
        member.incarnation = incarnation
        member.counter = 0
        member.flags = Flags.NONE
        member.heard_s = None
        for callback in self._on_new_process:
            callback(member.seat.name, incarnation)

    def _judge(self, member: Member, now_s: float) -> State:
        is_own = member.seat.region == self.region
        suspect_s = self.pace.suspect_s(is_own_region=is_own)
        # Nearly all seats, at each beat and for each row: nothing speaks against them.
        is_plain = not (member.flags & Flags.LEAVING or member.doubted_incarnation)
        is_heard = member.heard_s is not None and now_s - member.heard_s < suspect_s
        if is_plain and is_heard:
            return State.ALIVE
        if member.is_doubted:
            # Doubt shortens the silence that is borne and overrides no heartbeat.
            suspect_s *= DOUBT_FACTOR
        since_s = member.heard_s if member.heard_s is not None else member.known_s
        silence_s = now_s - since_s
        if silence_s >= suspect_s * GONE_FACTOR:
            return State.GONE
        if silence_s >= suspect_s or member.heard_s is None:
            return State.SUSPECT
        if member.flags & Flags.LEAVING or (
            member.platform_says_leaving and member.is_doubted
        ):
            return State.LEAVING
        return State.ALIVE


def _is_news(member: Member, told: Row | None, step: int) -> bool:
    """Say whether a peer that was told a row should be told of its member again."""
    if told is None or told.incarnation < member.incarnation:
        return True
    if told.incarnation > member.incarnation or told.counter >= member.counter:
        return False
    return told.flags != member.flags or member.counter >= told.counter + step
