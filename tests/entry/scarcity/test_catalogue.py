import unittest
from dataclasses import replace

from banyanseam.entry.models import EngineLimits
from tests.entry.common import make_catalogue, make_organisation, make_route

URGENT = make_route(name="query", urgency=0, target_ms=500)
LONG = make_route(name="summary", urgency=2, target_ms=1500)
FEW_SLOTS = EngineLimits(16, 357_000)
MANY_SLOTS = EngineLimits(64, 295_000)


def make(engine):
    catalogue = make_catalogue()
    pool = replace(catalogue.services["pool"], engine=engine)
    return replace(
        catalogue,
        routes={"a.example": (URGENT, LONG)},
        services=catalogue.services | {"pool": pool},
        organisations={"acme": make_organisation(urgency=1)},
    )


class CatalogueTests(unittest.TestCase):
    def test_routes_decide_where_memory_holds_a_full_batch(self):
        acme = make_organisation(urgency=1)
        for engine, is_by_route in ((FEW_SLOTS, True), (MANY_SLOTS, False)):
            catalogue = make(engine)
            ranks = [
                catalogue.find_rank(acme, route, "pool") for route in (URGENT, LONG)
            ]
            target_ms = catalogue.find_urgent_target_ms("pool", LONG)
            with self.subTest(engine=engine):
                self.assertEqual(ranks[0] < ranks[1], is_by_route)
                self.assertEqual(target_ms, 500 if is_by_route else None)

    def test_elsewhere_the_organisation_goes_before_the_route(self):
        catalogue = make(MANY_SLOTS)
        self.assertEqual(catalogue.find_rank(None, LONG, "pool"), 2)
        for urgency, expected in ((1, 1), (None, 2)):
            organisation = make_organisation(urgency=urgency)
            self.assertEqual(catalogue.find_rank(organisation, LONG, "pool"), expected)

    def test_nobody_is_held_back_for_less_urgent_or_plain_requests(self):
        catalogue = make(FEW_SLOTS)
        self.assertIsNone(catalogue.find_urgent_target_ms("pool", URGENT))
        self.assertIsNone(catalogue.find_urgent_target_ms("desk", LONG))


if __name__ == "__main__":
    unittest.main()
