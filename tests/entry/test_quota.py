import random
import unittest
from dataclasses import replace
from unittest import mock
from weakref import WeakKeyDictionary

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.spending import SpendingReport, SpendingTotals
from tests.entry.common import make_organisation

TOLERANCE = 1.25
SLACK = 190_000.0
WINDOW_S = 8.0
# The reports that each process under test has received.
RECEIVED: WeakKeyDictionary[FleetQuota, SpendingTotals] = WeakKeyDictionary()


def receive(quota: FleetQuota, spending: SpendingReport, now_s: float) -> None:
    """Apply a report as heartbeats do."""
    spendings = RECEIVED.setdefault(quota, SpendingTotals())
    quota.receive(spendings.merge(spending, now_s) or [], now_s)


class SimulatedFleet:
    """Processes that charge and report to each other, with delays and partitions."""

    def __init__(self, count: int, rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.organisation = make_organisation(rate_per_s=rate, burst=rate)
        self.quotas = [self.start() for _ in range(count)]
        self.incarnations = [1] * count
        self.partitioned: set[int] = set()
        self.spent: list[tuple[float, float]] = []
        self.now_s = 0.0
        self.heartbeat_count = 0

    def start(self, *, is_first_start: bool = True) -> FleetQuota:
        excess_share = TOLERANCE - 1
        quota = FleetQuota(SLACK, WINDOW_S, excess_share, is_first_start=is_first_start)
        quota.configure({"acme": self.organisation}, getattr(self, "now_s", 0.0))
        return quota

    def charge_once(self, index: int, cost: float) -> None:
        if self.quotas[index].charge(self.organisation, cost, self.now_s) == 0.0:
            self.spent.append((self.now_s, cost))

    def gossip(self) -> None:
        self.heartbeat_count += 1
        reports = [dict(quota.own_spent) for quota in self.quotas]
        count = len(self.quotas)
        for to, quota in enumerate(self.quotas):
            reachable = 1
            for of, report in enumerate(reports):
                if of == to or (of in self.partitioned) != (to in self.partitioned):
                    continue
                reachable += 1
                receive(
                    quota,
                    SpendingReport(
                        f"10.0.0.{of}",
                        self.incarnations[of],
                        self.heartbeat_count,
                        report,
                    ),
                    self.now_s,
                )
            quota.heard_share = reachable / count
            quota.record_unused_refill(self.now_s)

    def max_spent_in_window(self, window_s: float) -> float:
        most = spent = 0.0
        first = 0
        for at_s, cost in self.spent:
            spent += cost
            while at_s - self.spent[first][0] >= window_s:
                spent -= self.spent[first][1]
                first += 1
            most = max(most, spent)
        return most


SHORT, LONG = 400.0, 17_000.0


def flood_with_short_requests(
    rate: float, seed: int
) -> tuple[dict[float, float], SimulatedFleet]:
    """Return the share of requests that passed, by their cost, and the fleet."""
    fleet = SimulatedFleet(40, rate, seed)
    asked = {SHORT: 0, LONG: 0}
    for step in range(120):
        fleet.now_s = step * 0.1
        for cost, count in ((LONG, 27), (SHORT, 100)):
            for _ in range(count):
                fleet.charge_once(fleet.rng.randrange(40), cost)
                asked[cost] += 1
        if step % 5 == 0:
            fleet.gossip()
    passed = {
        cost: sum(spent == cost for _, spent in fleet.spent) / count
        for cost, count in asked.items()
    }
    return passed, fleet


class QuotaTests(unittest.TestCase):
    def test_a_burst_passes_and_then_the_rate(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        self.assertEqual(quota.charge(organisation, 1000, 0.0), 0.0)
        self.assertAlmostEqual(quota.charge(organisation, 500, 0.0), 0.5)
        self.assertEqual(quota.charge(organisation, 500, 0.5), 0.0)

    def test_requests_that_have_not_run_are_refunded(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        quota.charge(organisation, 1000, 0.0)
        quota.refund(organisation, 1000)
        self.assertEqual(quota.charge(organisation, 1000, 0.0), 0.0)
        self.assertEqual(quota.own_spent["acme"], 1000)

    def test_zero_rate_and_burst_mean_no_limit(self):
        quota = FleetQuota()
        organisation = make_organisation(rate_per_s=0, burst=0)
        self.assertEqual(quota.charge(organisation, 10**9, 0.0), 0.0)

    def test_a_cost_beyond_the_burst_passes_a_full_bucket(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        self.assertEqual(quota.charge(organisation, 5000, 0.0), 0.0)
        self.assertGreater(quota.charge(organisation, 1, 1.0), 0.0)

    def test_a_lower_limit_holds_at_once(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        lower = replace(organisation, rate_per_s=10.0, burst=10.0)
        quota.configure({"acme": lower}, 1.0)
        self.assertEqual(quota.charge(lower, 10, 1.0), 0.0)
        self.assertAlmostEqual(quota.charge(lower, 10, 1.0), 1.0)

    def test_a_restarted_peer_is_not_charged_twice(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for incarnation, heartbeat_count, total in (
            (1, 1, 0),
            (1, 2, 400),
            (1, 3, 400),
            (2, 1, 0),
        ):
            receive(
                quota,
                SpendingReport(
                    "10.0.0.1", incarnation, heartbeat_count, {"acme": total}
                ),
                0.0,
            )
        self.assertEqual(quota.list_levels(), {"acme": 600})

    def test_a_report_out_of_order_does_not_empty_a_bucket(self):
        # Under heavy load, relayed reports were older than the direct ones, and each
        # full bucket lost what had been charged between the two.
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for heartbeat_count, total in ((1, 0), (2, 400), (3, 400)):
            receive(
                quota,
                SpendingReport("10.0.0.1", 1, heartbeat_count, {"acme": total}),
                0.0,
            )
        quota.charge(organisation, 0, 1.0)
        self.assertEqual(quota.list_levels(), {"acme": 1000})
        for heartbeat_count, total in ((1, 0), (4, 400), (2, 0), (5, 400)):
            receive(
                quota,
                SpendingReport("10.0.0.1", 1, heartbeat_count, {"acme": total}),
                1.0,
            )
        self.assertEqual(quota.list_levels(), {"acme": 1000})

    def test_a_new_process_starts_from_its_peers_levels(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        quota.adopt_levels({"acme": 50.0}, 0.0)
        self.assertGreater(quota.charge(organisation, 100, 0.0), 0.0)

    def test_a_flood_stays_within_the_bound_through_partitions_and_restarts(self):
        # The operators' bound: 1.25 x (rate x window + burst) + slack.
        rate, window_s = 47_000.0, 8.0
        bound = (rate * window_s + rate) * TOLERANCE + SLACK
        for seed in range(20):
            fleet = SimulatedFleet(9, rate, seed)
            with self.subTest(seed=seed):
                for step in range(400):
                    fleet.now_s = step * 0.1
                    if step == 100:
                        fleet.partitioned = {0, 1, 2}
                    if step == 200:
                        fleet.partitioned = set()
                    if step == 260:
                        for index in (3, 4):
                            levels = fleet.quotas[0].list_levels()
                            fleet.quotas[index] = fleet.start()
                            fleet.quotas[index].adopt_levels(levels, fleet.now_s)
                            fleet.incarnations[index] += 1
                    # Four times the rate, as an overloading organisation sends it.
                    for _ in range(11):
                        fleet.charge_once(fleet.rng.randrange(9), 1700.0)
                    if step % 10 == 0:
                        fleet.gossip()
                self.assertLessEqual(fleet.max_spent_in_window(window_s), bound)

    # Each loss of all VMs allowed the whole fleet one more burst.
    def test_a_flood_stays_within_the_bound_though_all_processes_die_twice(self):
        rate = 128_000.0
        bound = (rate * WINDOW_S + rate) * TOLERANCE + SLACK
        for seed in range(20):
            fleet = SimulatedFleet(9, rate, seed)
            with self.subTest(seed=seed):
                for step in range(300):
                    fleet.now_s = step * 0.1
                    if step in (100, 140):
                        fleet.quotas = [
                            fleet.start(is_first_start=False) for _ in range(9)
                        ]
                        fleet.incarnations = [step] * 9
                    # 7.5 times the rate.
                    for _ in range(56):
                        fleet.charge_once(fleet.rng.randrange(9), 1700.0)
                    if step % 5 == 0:
                        fleet.gossip()
                self.assertLessEqual(fleet.max_spent_in_window(WINDOW_S), bound)

    def test_a_process_that_starts_again_beside_others_adopts_their_levels(self):
        quota = FleetQuota(is_first_start=False)
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        self.assertGreater(quota.charge(organisation, 100, 0.0), 0.0)
        quota.adopt_levels({"acme": 800.0}, 0.0)
        self.assertEqual(quota.charge(organisation, 700, 0.0), 0.0)
        # Later levels only lower its own, which it knows.
        quota.adopt_levels({"acme": 800.0}, 0.0)
        self.assertEqual(quota.list_levels(), {"acme": 100})
        # An organisation that is added later has spent nothing.
        later = make_organisation("weavers")
        quota.configure({"acme": organisation, "weavers": later}, 0.0)
        self.assertEqual(quota.charge(later, 1000, 0.0), 0.0)

    def test_levels_that_arrive_before_the_configuration_are_adopted(self):
        for is_first_start in (True, False):
            quota = FleetQuota(is_first_start=is_first_start)
            quota.adopt_levels({"acme": 300.0}, 0.0)
            quota.configure({"acme": make_organisation()}, 0.0)
            self.assertEqual(quota.list_levels(), {"acme": 300})

    def test_demand_is_served_soon_after_all_processes_have_died(self):
        rate = 128_000.0
        fleet = SimulatedFleet(9, rate, 1)
        fleet.quotas = [fleet.start(is_first_start=False) for _ in range(9)]
        asked = 0
        for step in range(1, 40):
            fleet.now_s = step * 0.1
            # 40% of the rate.
            for _ in range(3):
                asked += 1
                fleet.charge_once(fleet.rng.randrange(9), 1700.0)
            if step % 5 == 0:
                fleet.gossip()
        self.assertEqual(len(fleet.spent), asked)

    def test_short_requests_pass_while_long_ones_flood_the_rate(self):
        # Three times the rate, most of it in long prompts, on as many processes as a
        # large fleet has, whose reports take up to half a second.
        rate = 1_600_000.0
        bound = (rate * WINDOW_S + rate) * TOLERANCE + SLACK
        for seed in (1, 2):
            served, spent = flood_with_short_requests(rate, seed)
            with mock.patch("banyanseam.entry.quota.choose_overdraft", lambda *_: 0.0):
                before, _ = flood_with_short_requests(rate, seed)
            with self.subTest(seed=seed):
                self.assertLess(before[SHORT], 0.75)
                self.assertGreater(served[SHORT], 0.98)
                # Long prompts pay for it, and are still served.
                self.assertGreater(served[LONG], 0.8 * before[LONG])
                self.assertLessEqual(spent.max_spent_in_window(WINDOW_S), bound)

    def test_a_flood_of_short_requests_stays_within_the_bound(self):
        rate = 47_000.0
        bound = (rate * WINDOW_S + rate) * TOLERANCE + SLACK
        for seed in range(10):
            fleet = SimulatedFleet(24, rate, seed)
            with self.subTest(seed=seed):
                for step in range(300):
                    fleet.now_s = step * 0.1
                    if step == 100:
                        fleet.partitioned = set(range(8))
                    if step == 200:
                        fleet.partitioned = set()
                    fleet.charge_once(fleet.rng.randrange(24), 17_000.0)
                    for _ in range(40):
                        fleet.charge_once(fleet.rng.randrange(24), 300.0)
                    if step % 10 == 0:
                        fleet.gossip()
                self.assertLessEqual(fleet.max_spent_in_window(WINDOW_S), bound)

    def test_demand_below_the_rate_is_never_refused(self):
        fleet = SimulatedFleet(9, 47_000.0, 1)
        charged = 0
        for step in range(400):
            fleet.now_s = step * 0.1
            fleet.charge_once(step % 2, 3000.0)
            charged += 1
            if step % 10 == 0:
                fleet.gossip()
        self.assertEqual(len(fleet.spent), charged)

    def test_demand_below_the_rate_is_not_refused_when_a_partition_heals(self):
        # After a partition between regions, the first report contained all that had
        # been spent meanwhile, and the refill of that time was lost.
        for partition_s in (3, 6, 15):
            for seed in range(5):
                fleet = SimulatedFleet(9, 47_000.0, seed)
                charged = 0
                for step in range(400):
                    fleet.now_s = step * 0.1
                    if step == 100:
                        fleet.partitioned = {0, 1, 2}
                    if step == 100 + 10 * partition_s:
                        fleet.partitioned = set()
                    # Each side of the partition charges 0.3 of the rate.
                    fleet.charge_once(step % 3, 1410.0)
                    fleet.charge_once(3 + step % 6, 1410.0)
                    charged += 2
                    if step % 3 == 0:
                        fleet.gossip()
                with self.subTest(partition_s=partition_s, seed=seed):
                    self.assertEqual(len(fleet.spent), charged)

    def test_a_suspended_process_resumes_at_the_level_of_the_fleet(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for step in range(8):
            now_s = step * 0.25
            receive(quota, SpendingReport("10.0.0.1", 1, step, {"acme": 0}), now_s)
            quota.record_unused_refill(now_s)
        # Suspended from 2 s to 7 s. A request arrives before the peer's report, and the
        # peer has spent 0.8 of the rate.
        self.assertEqual(quota.charge(organisation, 100, 7.0), 0.0)
        receive(quota, SpendingReport("10.0.0.1", 1, 30, {"acme": 4200}), 7.0)
        self.assertEqual(quota.charge(organisation, 500, 7.0), 0.0)

    def test_spending_above_the_rate_in_a_partition_becomes_debt(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for step in range(8):
            now_s = step * 0.25
            receive(quota, SpendingReport("10.0.0.1", 1, step, {"acme": 0}), now_s)
            quota.record_unused_refill(now_s)
        receive(quota, SpendingReport("10.0.0.1", 1, 30, {"acme": 7000}), 7.0)
        self.assertGreater(quota.charge(organisation, 500, 7.0), 0.0)

    def test_refill_between_two_reports_covers_their_charges(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for step in range(20):
            # A peer spends the whole rate, and this process nothing.
            now_s = step * 0.25
            receive(
                quota, SpendingReport("10.0.0.1", 1, step, {"acme": 250 * step}), now_s
            )
            quota.record_unused_refill(now_s)
        self.assertEqual(quota.charge(organisation, 1000, now_s), 0.0)

    def test_two_reports_do_not_use_the_same_refill(self):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        for step in range(8):
            now_s = step * 0.25
            for peer in (1, 2):
                receive(
                    quota, SpendingReport(f"10.0.0.{peer}", 1, step, {"acme": 0}), now_s
                )
            quota.record_unused_refill(now_s)
        for peer in (1, 2):
            receive(quota, SpendingReport(f"10.0.0.{peer}", 1, 30, {"acme": 4200}), 7.0)
        self.assertGreater(quota.charge(organisation, 500, 7.0), 0.0)

    @given(st.lists(st.tuples(st.floats(0, 2), st.floats(1, 2000)), max_size=60))
    def test_one_process_alone_admits_at_most_rate_and_burst(self, charges):
        quota = FleetQuota()
        organisation = make_organisation()
        quota.configure({"acme": organisation}, 0.0)
        now_s, admitted = 0.0, 0.0
        for pause_s, cost in charges:
            now_s += pause_s
            cost = min(cost, 1000.0)
            if quota.charge(organisation, cost, now_s) == 0.0:
                admitted += cost
        self.assertLessEqual(admitted, 1000.0 + 1000.0 * now_s + 1e-6)


if __name__ == "__main__":
    unittest.main()
