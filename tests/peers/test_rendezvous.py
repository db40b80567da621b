"""Checks that the first names of a ranking are those that the whole one begins with."""

import unittest

from banyanseam.peers.rendezvous import rank, rank_first

NAMES = [f"10.1.0.{number}" for number in range(57)]


class RendezvousTests(unittest.TestCase):
    def test_first_names_are_those_of_the_whole_ranking(self):
        for key in ("", "7", "17293822569102704640", b"segment"):
            for count in (0, 1, 3, len(NAMES), len(NAMES) + 1):
                with self.subTest(key=key, count=count):
                    first = rank_first(NAMES, key, count)
                    self.assertEqual(first, rank(NAMES, key)[:count])


if __name__ == "__main__":
    unittest.main()
