"""Measure what brittle upstreams serve, and how often they fall over, in a model.

The VMs share the upstreams by the daemon's rules; the upstreams are modelled.

    python -m bench.brittle [LOAD ...]
"""

import sys
from typing import Final

from tests.entry.test_brittle import LENGTH_S, Fleet, share_equally

SEEDS: Final = (1, 2, 3)
BRITTLE_PER_S: Final = 4
# The load of each VM, upstreams, their slots, the time of a call.
CASES: Final = (
    (share_equally(6), 4, 4, 0.2),
    (share_equally(23), 4, 4, 0.05),
    (share_equally(23), 4, 4, 0.3),
    (share_equally(23), 4, 4, 1.0),
    ([0.8, *[0.2 / 22] * 22], 4, 4, 0.3),
    (share_equally(23), 4, 16, 0.3),
    (share_equally(65), 10, 4, 0.5),
    (share_equally(114), 4, 4, 0.3),
    (share_equally(114), 60, 4, 0.3),
)


def main(loads: list[float]) -> None:
    """Print the served share and the falls for each load, case and seed."""
    for load in loads:
        for shares, upstreams, slots, call_s in CASES:
            per_s = load * upstreams * slots / call_s
            fleets = [
                Fleet(seed, shares, upstreams, slots, call_s, per_s, BRITTLE_PER_S).run(
                    LENGTH_S
                )
                for seed in SEEDS
            ]
            served = sum(fleet.served for fleet in fleets)
            asked = sum(fleet.asked for fleet in fleets)
            worst = min(fleet.served / fleet.asked for fleet in fleets)
            print(
                f"load {load} vms {len(shares)} largest part {shares[0]:.2f} "
                f"upstreams {upstreams} slots {slots} call_s {call_s} "
                f"served {served / asked:.3f} worst {worst:.3f} "
                f"falls {[fleet.falls for fleet in fleets]}"
            )


if __name__ == "__main__":
    main([float(each) for each in sys.argv[1:]] or [0.3, 0.6, 1.0, 2.5])
