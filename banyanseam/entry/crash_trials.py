"""Spread the trials of suspected requests over the VMs of a fleet."""

from collections.abc import Callable, Iterable

import xxhash

from banyanseam.entry.const import TRIAL_REGION_STEP_S, TRIAL_SPREAD_S

# Returns how much later than the first VM this one may try a request, by the request's
# fingerprint and the number of earlier trials.
ChooseTrialDelay = Callable[[int, int], float]


def make_choose_trial_delay(
    ip: str, region: str, regions: Iterable[str]
) -> ChooseTrialDelay:
    """Return a function that spreads the trials of a request over the VMs.

    The VMs of a region learn of a trial at once, others a second later. So the regions
    have their turns one after the other, in an order that depends on the request.
    """
    all_regions = {region, *regions}

    def choose(suspect: int, trials: int) -> float:
        def place(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{suspect:x} {trials} {name}".encode())

        earlier = sum(1 for each in all_regions if place(each) < place(region))
        return earlier * TRIAL_REGION_STEP_S + place(ip) / 2**64 * TRIAL_SPREAD_S

    return choose
