import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.const import RECENT_SPENDING_S
from banyanseam.entry.messages import pack_ip, unpack_ip
from banyanseam.entry.spending import (
    SpendingReport,
    SpendingTotals,
    from_table,
    to_table,
)
from banyanseam.peers.errors import InvalidPeerMessage

NAMES = st.sampled_from(["acme", "birch", "cedar"])
SPENDINGS = st.lists(
    st.builds(
        SpendingReport,
        st.sampled_from(["10.0.0.1", "10.0.0.2"]),
        st.integers(1, 3),
        st.integers(1, 50),
        st.dictionaries(NAMES, st.integers(0, 10**9)),
        st.booleans(),
    ),
    max_size=8,
)


class SpendingTests(unittest.TestCase):
    @given(SPENDINGS)
    def test_a_table_round_trips(self, spendings):
        table = to_table(spendings, pack_ip)
        self.assertEqual(from_table(*table, unpack_ip), spendings)

    def test_a_total_without_a_name_or_a_name_without_total_is_refused(self):
        for totals in ([1, 5], [-1, 5], [0, 5, 1, 6], [0], [0, 5, 0]):
            with self.subTest(totals=totals), self.assertRaises(InvalidPeerMessage):
                from_table(["acme"], [(1, 1, 1, True, totals)], unpack_ip)

    def test_only_newer_reports_are_merged_and_relayed(self):
        spendings = SpendingTotals()
        self.assertEqual(spendings.merge(make_report(5, acme=50), 0.0), [])
        self.assertIsNone(spendings.merge(make_report(4, acme=40), 0.0))
        self.assertIsNone(spendings.merge(make_report(5, acme=50), 0.0))
        (charge,) = spendings.merge(make_report(6, acme=70), 0.5)
        self.assertEqual((charge.cost, charge.since_s), (20, 0.0))
        restarted = SpendingReport("10.0.0.1", 2, 1, {"acme": 0})
        self.assertEqual(spendings.merge(restarted, 0.5), [])
        self.assertEqual(spendings.list_recent(["10.0.0.1"], 0.5), [restarted])

    def test_only_recent_changes_are_reported(self):
        spendings = SpendingTotals()
        spendings.merge(make_report(1, acme=1, birch=1), 0.0)
        later_s = RECENT_SPENDING_S + 0.1
        spendings.merge(make_report(2, acme=1, birch=2), later_s)
        (reported,) = spendings.list_recent(["10.0.0.1"], later_s)
        self.assertEqual((reported.totals, reported.is_complete), ({"birch": 2}, False))

    def test_a_new_name_starts_at_its_first_reported_total(self):
        spendings = SpendingTotals()
        spendings.merge(make_report(1, is_complete=False, acme=10), 0.0)
        (charge,) = spendings.merge(make_report(2, is_complete=False, birch=500), 0.3)
        self.assertEqual(charge.cost, 0)
        # After a complete report, a new name is charged in full.
        spendings.merge(make_report(3, acme=10, birch=500), 0.6)
        (charge,) = spendings.merge(make_report(4, is_complete=False, cedar=7), 0.9)
        self.assertEqual(charge.cost, 7)

    def test_changes_during_a_silence_are_dated_before_it(self):
        spendings = SpendingTotals()
        spendings.merge(make_report(1, acme=10, birch=10), 1.0)
        (charge,) = spendings.merge(make_report(9, is_complete=False, birch=90), 9.0)
        self.assertEqual(charge.since_s, 1.0)
        # It changed during the silence and not since.
        (charge,) = spendings.merge(make_report(20, is_complete=False, acme=80), 11.0)
        self.assertEqual((charge.cost, charge.since_s), (70, 1.0))
        (charge,) = spendings.merge(make_report(21, is_complete=False, acme=90), 11.2)
        self.assertEqual((charge.cost, charge.since_s), (10, 11.0))

    @given(
        st.lists(
            st.tuples(NAMES, st.integers(0, 100), st.floats(0.05, 1.0), st.booleans()),
            max_size=60,
        )
    )
    def test_all_spending_is_charged_although_reports_are_lost(self, steps):
        """Some reports of a charging process are lost, but the last one arrives."""
        sender, receiver = SpendingTotals(), SpendingTotals()
        totals: dict[str, float] = {}
        charged: dict[str, float] = {}
        now_s = 0.0

        def send_report(heartbeat_count: int) -> None:
            sender.merge(SpendingReport("10.0.0.1", 1, heartbeat_count, totals), now_s)
            recent = sender.list_recent(["10.0.0.1"], now_s)
            for report in from_table(*to_table(recent, pack_ip), unpack_ip):
                for charge in receiver.merge(report, now_s) or []:
                    name = charge.organisation
                    charged[name] = charged.get(name, 0) + charge.cost

        send_report(0)
        for heartbeat_count, (name, cost, pause_s, is_lost) in enumerate(
            steps, start=1
        ):
            now_s += pause_s
            totals[name] = totals.get(name, 0) + cost
            if not is_lost:
                send_report(heartbeat_count)
        # Lost totals are reported with the next charge of the same organisation.
        for name in totals:
            totals[name] += 1
        send_report(len(steps) + 1)
        self.assertEqual(charged, totals)


def make_report(
    heartbeat_count: int, *, is_complete: bool = True, **totals: int
) -> SpendingReport:
    return SpendingReport("10.0.0.1", 1, heartbeat_count, totals, is_complete)


if __name__ == "__main__":
    unittest.main()
