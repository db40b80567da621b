import dataclasses
import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.daemon.const import SUSPENSION_TERM_S
from banyanseam.quota.const import HOMES_PER_REGION, MAX_SUSPENSION_S, WHOLE_UNITS
from banyanseam.quota.parts import HomeAssignment
from tests.common import make_config

CONFIG = make_config(seats=5)
REGIONS = sorted(CONFIG.regions)


def units_of_all(organisation):
    parts = HomeAssignment()
    return [parts.units_of(CONFIG, organisation, seat) for seat in CONFIG.seats]


class PartsTests(unittest.TestCase):
    def test_withholding_covers_any_undetected_suspension(self):
        self.assertLessEqual(SUSPENSION_TERM_S, MAX_SUSPENSION_S)

    @given(st.lists(st.floats(0, 1), min_size=3, max_size=3))
    def test_units_never_exceed_the_whole(self, weights):
        scale = max(1.0, sum(weights))
        parts = dict(zip(REGIONS, [weight / scale for weight in weights], strict=True))
        organisation = dataclasses.replace(
            CONFIG.organisations["acme"], regional_parts=parts
        )
        self.assertLessEqual(sum(units_of_all(organisation)), WHOLE_UNITS)

    def test_even_parts_lose_no_unit(self):
        units = units_of_all(CONFIG.organisations["acme"])
        self.assertEqual(sum(units), WHOLE_UNITS)
        self.assertEqual(sum(unit > 0 for unit in units), 3 * HOMES_PER_REGION)

    def test_removing_a_seat_that_is_no_home_moves_no_parts(self):
        parts = HomeAssignment()
        homes = parts.rank_homes(CONFIG, "acme", "gulf")
        spare = next(
            seat.name for seat in CONFIG.seats_of("gulf") if seat.name not in homes
        )
        seats = {name: seat for name, seat in CONFIG.seats.items() if name != spare}
        smaller = dataclasses.replace(CONFIG, seats=seats)
        self.assertEqual(parts.rank_homes(smaller, "acme", "gulf"), homes)
