"""Checks that gone upstreams stay so when the store comes back from a copy."""

import unittest

from banyanseam.entry.const import COPIED_ENTRY_S
from banyanseam.entry.upstream_list import UpstreamList
from tests.entry.common import make_upstream


class GoneUpstreamTests(unittest.TestCase):
    def setUp(self):
        self.upstreams = UpstreamList()
        self.copied = [make_upstream("e1"), make_upstream("e2")]
        self.upstreams.adopt(self.copied, 10, 0.0)
        self.upstreams.adopt([make_upstream("e2")], 11, 1.0)

    def list_usable(self, now_s):
        found = self.upstreams.list_usable("pool", now_s)
        return sorted(each.upstream.upstream_id for each in found)

    def test_a_gone_upstream_is_not_used_after_a_second_return(self):
        # A copied entry expires 3.6 s after the return.
        for second_s in (7.0, 3.0 + COPIED_ENTRY_S + 1):
            with self.subTest(second_s=second_s):
                self.setUp()
                self.upstreams.adopt(self.copied, 10, 3.0, era=1)
                self.upstreams.adopt(self.copied, 10, second_s, era=2)
                self.assertEqual(self.list_usable(second_s + 3.5), ["e2"])

    def test_a_gone_upstream_is_not_used_while_the_store_is_away_again(self):
        self.upstreams.adopt(self.copied, 10, 3.0, era=1)
        self.assertEqual(self.list_usable(3.0 + COPIED_ENTRY_S + 2), ["e2"])


if __name__ == "__main__":
    unittest.main()
