import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanseam.upstreams.const import LEARNING_S, NO_CONFLICT_TERM_S
from banyanseam.upstreams.lease_ledger import LeaseLedger
from banyanseam.upstreams.models import LeaseKey, LoadReport
from banyanseam.upstreams.terms import LARGE_REGION, SMALL_REGION, Terms

MEMORY_TOKENS = 100_000
STEP_S = 0.1
SEATS = frozenset({"one", "two", "three"})
# How long the membership takes on average to drop a seat that cannot be reached.
DETECTION_S = {SMALL_REGION: 1.5, LARGE_REGION: 9.0}
# After this an entry repeats an announcement that was not delivered.
RETRY_S = 0.8


@dataclass
class Process:
    """An entry that may also be the keeper; `runs` are its requests at the upstream."""

    seat: str
    incarnation: int
    suspended_until_s: float = 0.0
    dead: bool = False
    views: dict[str, bool] = field(default_factory=lambda: dict.fromkeys(SEATS, True))
    ledger: LeaseLedger | None = None
    runs: dict[int, int] = field(default_factory=dict)
    reserve_count: int = 0
    renewed_at: str = ""
    next_renewal_s: float = 0.0


class Region:
    """Three seats and one upstream, with loss, crashes, suspensions and partitions."""

    def __init__(
        self, seed: int, loss: float, load: float, terms: Terms = SMALL_REGION
    ) -> None:
        self.terms = terms
        self.rng = random.Random(seed)
        self.loss = loss
        self.load = load
        self.now_s = 100.0
        self.processes = {seat: Process(seat, 1) for seat in SEATS}
        # Requests sent to the upstream, each with its tokens and its end for the entry;
        # one that the upstream lost in a restart has no tokens.
        self.runs: dict[LeaseKey, tuple[int, float]] = {}
        self.restarts = 0
        self.history: list[tuple[float, int, int, int]] = []
        self.partitions: set[frozenset[str]] = set()
        self.granted = 0
        self.most_held = 0

    def is_reachable(self, first: str, second: str) -> bool:
        if first == second:
            return True
        ends = self.processes[first], self.processes[second]
        up = not any(end.dead or end.suspended_until_s > self.now_s for end in ends)
        return up and frozenset((first, second)) not in self.partitions

    def is_delivered(self, first: str, second: str) -> bool:
        if first == second:
            return True
        return self.is_reachable(first, second) and self.rng.random() >= self.loss

    def keeper_of(self, process: Process) -> str:
        return min(seat for seat in SEATS if process.views[seat])

    def step(self) -> None:
        self.now_s += STEP_S
        for process in self.processes.values():
            if not process.dead and process.suspended_until_s <= self.now_s:
                self.run(process)
        for key, (_, ends_s) in list(self.runs.items()):
            if ends_s <= self.now_s:
                self.end(key)
        held = [tokens for tokens, _ in self.runs.values() if tokens]
        self.history.append((self.now_s, sum(held), len(held), self.restarts))
        self.most_held = max(self.most_held, sum(held))

    def end(self, key: LeaseKey) -> None:
        del self.runs[key]
        process = self.processes[key.seat]
        if process.incarnation != key.incarnation or process.dead:
            return
        process.runs.pop(key.number, None)
        keeper = self.keeper_of(process)
        ledger = self.processes[keeper].ledger
        if ledger is not None and self.is_delivered(key.seat, keeper):
            ledger.release(key, self.now_s, lingers=False)

    def run(self, process: Process) -> None:
        for seat in SEATS:
            # A seat is assumed dead some time after it was last reachable.
            if self.is_reachable(process.seat, seat):
                process.views[seat] = True
            elif self.rng.random() < STEP_S / DETECTION_S[self.terms]:
                process.views[seat] = False
        keeper = self.keeper_of(process)
        if keeper != process.seat:
            self.hand_over(process, keeper)
        elif process.ledger is None:
            process.ledger = LeaseLedger(
                MEMORY_TOKENS, 1000, self.now_s, terms=self.terms
            )
        if process.ledger is not None:
            self.update_ledger(process.ledger)
        is_due = keeper != process.renewed_at or self.now_s >= process.next_renewal_s
        if is_due or self.rng.random() < STEP_S / self.terms.renew_period_s:
            self.announce(process, keeper)
        if self.rng.random() < self.load * STEP_S:
            self.reserve(process, keeper)

    def hand_over(self, process: Process, keeper: str) -> None:
        ledger, process.ledger = process.ledger, None
        successor = self.processes[keeper].ledger
        if ledger is None or successor is None:
            return
        if self.is_delivered(process.seat, keeper):
            leases = {key: lease.tokens for key, lease in ledger.leases.items()}
            successor.take_over(leases, self.now_s)

    def update_ledger(self, ledger: LeaseLedger) -> None:
        ledger.expire(SEATS, self.now_s)
        if self.history and self.rng.random() < STEP_S / 0.5:
            lag = self.rng.randint(1, min(7, len(self.history)))
            as_of_s, tokens, running, restarts = self.history[-lag]
            report = LoadReport(
                tokens, 0, running, False, as_of_s, incarnation=str(restarts)
            )
            ledger.observe(report, self.now_s)

    def announce(self, process: Process, keeper: str) -> None:
        ledger = self.processes[keeper].ledger
        process.renewed_at = keeper
        process.next_renewal_s = self.now_s + RETRY_S
        if ledger is None or not self.is_delivered(process.seat, keeper):
            return
        process.next_renewal_s = self.now_s + self.terms.renew_period_s
        me = (process.seat, process.incarnation)
        if set(ledger.list_numbers(*me)) == process.runs.keys():
            ledger.renew(*me, self.now_s, self.terms)
        else:
            ledger.announce(*me, process.runs, self.now_s, self.terms)

    def reserve(self, process: Process, keeper: str) -> None:
        ledger = self.processes[keeper].ledger
        if ledger is None or not self.is_delivered(process.seat, keeper):
            return
        process.reserve_count += 1
        tokens = int(self.rng.choice((500, 5_000, 30_000)))
        key = LeaseKey(process.seat, process.incarnation, process.reserve_count)
        if not ledger.reserve(key, tokens, SEATS, self.now_s):
            return
        if not self.is_delivered(process.seat, keeper):
            return
        self.granted += 1
        process.runs[process.reserve_count] = tokens
        self.runs[key] = (tokens, self.now_s + self.rng.uniform(0.5, 20))

    def kill(self, seat: str) -> None:
        self.processes[seat].dead = True
        for key, (tokens, ends_s) in self.runs.items():
            if key.seat == seat:
                # The upstream cancels requests whose caller has disconnected.
                self.runs[key] = (tokens, min(ends_s, self.now_s + 1))

    def restart(self, seat: str) -> None:
        if self.processes[seat].dead:
            incarnation = self.processes[seat].incarnation + 1
            self.processes[seat] = Process(seat, incarnation)

    def restart_upstream(self) -> None:
        self.restarts += 1
        for key, (_, ends_s) in self.runs.items():
            self.runs[key] = (0, ends_s)

    def inject_fault(self, kind: str, seat: str) -> None:
        if kind == "kill":
            self.kill(seat)
        elif kind == "restart upstream":
            self.restart_upstream()
        elif kind == "restart":
            self.restart(seat)
        elif kind == "freeze":
            self.processes[seat].suspended_until_s = self.now_s + 6
        elif kind == "cut":
            self.partitions |= {frozenset((seat, other)) for other in SEATS - {seat}}
        else:
            self.partitions.clear()


FAULTS = st.lists(
    st.tuples(
        st.integers(1, 60),
        st.sampled_from(
            ("kill", "restart", "freeze", "cut", "join", "restart upstream")
        ),
        st.sampled_from(sorted(SEATS)),
    ),
    max_size=10,
)


class LeaseLedgerTests(unittest.TestCase):
    @settings(max_examples=150)
    @given(
        faults=FAULTS,
        seed=st.integers(0, 10_000),
        loss=st.sampled_from((0.0, 0.05, 0.3)),
        load=st.sampled_from((1.0, 5.0, 20.0)),
        terms=st.sampled_from((SMALL_REGION, LARGE_REGION)),
    )
    def test_granted_tokens_never_exceed_memory(self, faults, seed, loss, load, terms):
        region = Region(seed, loss, load, terms)
        for pause, kind, seat in [*faults, (60, "join", "one")]:
            for _ in range(pause * 2):
                region.step()
            region.inject_fault(kind, seat)
        self.assertLessEqual(region.most_held, MEMORY_TOKENS)

    def test_most_memory_is_used_without_faults(self):
        for terms in (SMALL_REGION, LARGE_REGION):
            region = Region(seed=5, loss=0.0, load=20.0, terms=terms)
            for _ in range(600):
                region.step()
            with self.subTest(terms):
                self.assertGreater(region.most_held, 0.8 * MEMORY_TOKENS)

    def test_new_keeper_counts_leases_of_others(self):
        ledger = LeaseLedger(MEMORY_TOKENS, 100, 0.0)
        ledger.announce("two", 1, {7: 60_000}, 0.1)
        ledger.observe(LoadReport(10_000, 0, 1, False, 0.1), 0.2)
        self.assertEqual(ledger.count_free_tokens(SEATS, 0.2), 5_000)
        for seat in SEATS:
            ledger.announce(seat, 1, {7: 60_000} if seat == "two" else {}, LEARNING_S)
        self.assertEqual(ledger.count_free_tokens(SEATS, LEARNING_S), 30_000)

    def test_handover_ends_the_learning_period(self):
        ledger = LeaseLedger(MEMORY_TOKENS, 100, 0.0)
        ledger.observe(LoadReport(0, 0, 0, False, 0.5), 0.5)
        for seat in SEATS:
            ledger.announce(seat, 1, {}, 0.5)
        self.assertEqual(ledger.count_free_tokens(SEATS, 0.5), 5_000)
        ledger.take_over({LeaseKey("two", 1, 7): 60_000}, 0.5)
        self.assertEqual(ledger.count_free_tokens(SEATS, 0.5), 30_000)

    def test_unknown_run_in_a_report_indicates_another_keeper(self):
        ledger = LeaseLedger(MEMORY_TOKENS, 100, 0.0)
        now_s = NO_CONFLICT_TERM_S + 1
        ledger.expire(SEATS, now_s)
        ledger.no_conflict_since_s = 0.0
        ledger.learning_until_s = 0.0
        ledger.observe(LoadReport(0, 0, 0, False, now_s), now_s)
        self.assertEqual(ledger.count_free_tokens(SEATS, now_s), 90_000)
        ledger.observe(LoadReport(40_000, 0, 1, False, now_s), now_s)
        self.assertEqual(ledger.count_free_tokens(SEATS, now_s), 12_500)

    def test_a_restart_that_ends_foreign_runs_is_no_sign_of_a_single_keeper(self):
        for are_all_announcing in (False, True):
            with self.subTest(are_all_announcing=are_all_announcing):
                ledger = LeaseLedger(MEMORY_TOKENS, 100, 0.0)
                ledger.observe(LoadReport(0, 0, 0, False, 0.0, None, "1"), 0.0)
                now_s = NO_CONFLICT_TERM_S
                self.assertTrue(ledger.is_undisputed(SEATS, now_s))
                for seat in SEATS if are_all_announcing else ():
                    ledger.announce(seat, 1, {}, now_s)
                ledger.observe(LoadReport(0, 0, 0, False, now_s, None, "2"), now_s)
                self.assertEqual(ledger.is_undisputed(SEATS, now_s), are_all_announcing)

    def test_leases_without_renewal_expire(self):
        ledger = LeaseLedger(MEMORY_TOKENS, 100, 0.0)
        ledger.announce("two", 1, {7: 60_000}, 1.0)
        ledger.expire(SEATS, 2.0)
        self.assertEqual(ledger.count_held_tokens(), 60_000)
        for tenth in range(20, 46):
            ledger.expire(SEATS, tenth / 10)
        self.assertEqual(ledger.count_held_tokens(), 0)


if __name__ == "__main__":
    unittest.main()
