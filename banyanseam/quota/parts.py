"""Who holds which part of an organisation's quota: a pure function of the config."""

import xxhash

from banyanseam.config.compiled import Config, Organisation
from banyanseam.quota.const import HOMES_PER_REGION, WHOLE_UNITS


def rank_homes(config: Config, organisation: str, region: str) -> list[str]:
    """Return a region's home seats of an organisation, first choice first.

    The order is rendezvous hashing (Thaler and Ravishankar, 1996): a seat that comes
    or goes moves only the parts that it gains or held.
    """
    seats = [seat.name for seat in config.seats_of(region)]
    seats.sort(key=lambda seat: xxhash.xxh64_intdigest(f"{organisation}\n{seat}"))
    return seats[-HOMES_PER_REGION:][::-1]


def divide(config: Config, organisation: Organisation) -> dict[str, int]:
    """Return the units of each home seat; they sum to at most `WHOLE_UNITS`."""
    units: dict[str, int] = {}
    # Rounding the running sum, not each part, loses no unit to the division.
    scale = WHOLE_UNITS / max(1.0, sum(organisation.regional_parts.values()))
    passed = 0.0
    for region, part in sorted(organisation.regional_parts.items()):
        low = round(passed * scale)
        passed += part
        high = min(round(passed * scale), WHOLE_UNITS)
        homes = rank_homes(config, organisation.name, region)
        for index, seat in enumerate(homes):
            start = (high - low) * index // len(homes)
            units[seat] = (high - low) * (index + 1) // len(homes) - start
    return units


def usable_burst_tokens(config: Config, organisation: Organisation) -> float:
    """Return the largest cost that the homes together can ever hold."""
    held = sum(divide(config, organisation).values())
    return organisation.burst_tokens * held / WHOLE_UNITS
