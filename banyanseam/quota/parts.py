"""Assign an organisation's quota to home seats, as a pure function of the config."""

from banyanseam.config.compiled import Config, Organisation
from banyanseam.peers.rendezvous import rank
from banyanseam.quota.const import HOMES_PER_REGION, WHOLE_UNITS


def divide_over_regions(organisation: Organisation) -> dict[str, int]:
    """Return the units of each region; they sum to at most `WHOLE_UNITS`."""
    # Rounding the running sum instead of each part loses no units.
    scale = WHOLE_UNITS / max(1.0, sum(organisation.regional_parts.values()))
    units: dict[str, int] = {}
    running_sum, low = 0.0, 0
    for region, part in sorted(organisation.regional_parts.items()):
        running_sum += part
        high = min(round(running_sum * scale), WHOLE_UNITS)
        units[region] = high - low
        low = high
    return units


def divide_over_homes(units: int, homes: list[str]) -> dict[str, int]:
    """Return the units of each home of a region; they sum to the region's."""
    bounds = [units * index // len(homes) for index in range(len(homes))] + [units]
    return {seat: bounds[index + 1] - bounds[index] for index, seat in enumerate(homes)}


class HomeAssignment:
    """Home seats and their units; rankings are cached until the seats change."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._config: Config | None = None
        self._seats: dict[str, list[str]] = {}
        self._homes: dict[tuple[str, str], list[str]] = {}

    def _update_seats(self, config: Config) -> None:
        if config is self._config:
            return
        seats: dict[str, list[str]] = {}
        for seat in config.seats.values():
            seats.setdefault(seat.region, []).append(seat.name)
        if seats != self._seats:
            self._seats = seats
            self._homes.clear()
        self._config = config

    def rank_homes(self, config: Config, organisation: str, region: str) -> list[str]:
        """Return a region's home seats of an organisation, first choice first.

        With rendezvous hashing, adding or removing a seat moves only the parts that it
        gains or held.
        """
        self._update_seats(config)
        key = (organisation, region)
        if key not in self._homes:
            ranked = rank(self._seats.get(region, ()), f"quota\0{organisation}")
            self._homes[key] = ranked[:HOMES_PER_REGION]
        return self._homes[key]

    def other_homes(self, config: Config, organisation: str, region: str) -> list[str]:
        """Return the home seats in the other regions that hold a part."""
        organisation_parts = config.organisations[organisation].regional_parts
        return [
            seat
            for other, part in sorted(organisation_parts.items())
            if other != region and part > 0
            for seat in self.rank_homes(config, organisation, other)
        ]

    def units_of(self, config: Config, organisation: Organisation, seat: str) -> int:
        """Return a seat's units of an organisation; 0 if it is not a home."""
        configured = config.seats.get(seat)
        if configured is None:
            return 0
        homes = self.rank_homes(config, organisation.name, configured.region)
        if seat not in homes:
            return 0
        units = divide_over_regions(organisation).get(configured.region, 0)
        return divide_over_homes(units, homes)[seat]

    def usable_burst_tokens(self, config: Config, organisation: Organisation) -> float:
        """Return the largest cost that all homes together can cover."""
        self._update_seats(config)
        parts = divide_over_regions(organisation)
        held = sum(units for region, units in parts.items() if region in self._seats)
        return organisation.burst_tokens * held / WHOLE_UNITS
