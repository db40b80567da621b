import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.scarcity.ranks import RANKS, rank_urgencies

URGENCIES = st.sets(st.integers(0, 30), min_size=1, max_size=8)


class RankTests(unittest.TestCase):
    def test_without_urgencies_of_organisations_ranks_are_the_routes(self):
        ranks = rank_urgencies({None}, {0, 2, 5})
        self.assertEqual([ranks[None, route] for route in (0, 2, 5)], [0, 2, 5])

    def test_the_route_decides_among_organisations_of_one_urgency(self):
        # All requests of such organisations had the same rank.
        ranks = rank_urgencies({1}, {0, 2})
        self.assertLess(ranks[1, 0], ranks[1, 2])

    def test_the_organisation_precedes_the_route(self):
        ranks = rank_urgencies({0, 1}, {0, 2})
        self.assertLess(ranks[0, 2], ranks[1, 0])

    def test_a_public_route_has_a_rank_beside_organisations(self):
        ranks = rank_urgencies({1}, {0, 2})
        self.assertLess(ranks[None, 0], ranks[1, 0])

    @given(URGENCIES, URGENCIES)
    def test_ranks_are_bounded_and_keep_the_order(self, organisations, routes):
        ranks = rank_urgencies(organisations, routes)
        pairs = sorted((o, r) for o in organisations for r in routes)
        found = [ranks[pair] for pair in pairs]
        self.assertEqual(found, sorted(found))
        self.assertTrue(all(0 <= rank < RANKS for rank in found))


if __name__ == "__main__":
    unittest.main()
