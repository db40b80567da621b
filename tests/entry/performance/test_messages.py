"""Speeds and samples in heartbeats: sizes, and beside VMs of the release before."""

import unittest

import cbor2

from banyanseam.entry.messages import (
    Gossip,
    decode_gossip,
    encode_gossip,
    from_candidate_rows,
    make_upstream_tag,
    to_candidate_rows,
    to_speed_table,
)
from banyanseam.entry.performance.models import (
    INITIAL_PERFORMANCE,
    scale_performance,
)
from banyanseam.entry.performance.observer import (
    MAX_PENDING_SAMPLES,
    PerformanceObserver,
    SampleRow,
)
from banyanseam.entry.performance.samples import Measure
from banyanseam.entry.relay_log import Direction, RelayLog
from tests.entry.common import make_candidate

NEW_FIELDS = {"speeds", "relayed_speeds", "samples"}
# VMs and upstreams of a fleet of three regions.
FLEETS = ((74, 51), (195, 136), (342, 238))


def list_rows(count: int) -> list[SampleRow]:
    return [
        (make_upstream_tag(f"engine-{number}"), 1 + number % 2, 40 + number)
        for number in range(count)
    ]


def make_report(count: int, percent: int):
    performance = scale_performance(percent)
    return {
        "pool": [
            make_candidate(f"engine-{number}", performance=performance)
            for number in range(count)
        ]
    }


class MessageTests(unittest.TestCase):
    def test_speeds_arrive_with_their_candidates(self):
        report = make_report(3, 40)
        gossip = Gossip(
            sender="10.1.0.1",
            candidates=to_candidate_rows(report),
            speeds=to_speed_table(report),
            samples=list_rows(2),
        )
        received = decode_gossip(encode_gossip(gossip))
        self.assertEqual(received, gossip)
        found = from_candidate_rows(received.candidates, "gulf", received.speeds, {})
        self.assertEqual(found, report)

    def test_a_vm_of_the_release_before_reads_and_sends_the_rows_as_before(self):
        report = make_report(2, 40)
        gossip = Gossip(
            sender="10.1.0.1",
            candidates=to_candidate_rows(report),
            speeds=to_speed_table(report),
            samples=list_rows(2),
        )
        fields = cbor2.loads(encode_gossip(gossip))
        old = {name: value for name, value in fields.items() if name not in NEW_FIELDS}
        self.assertEqual(set(fields) - set(old), {"speeds", "samples"})
        self.assertEqual([len(row) for row in old["candidates"]["pool"]], [8, 8])
        received = decode_gossip(cbor2.dumps(old))
        found = from_candidate_rows(received.candidates, "gulf", received.speeds, {})
        for candidate in found["pool"]:
            self.assertIs(candidate.performance, INITIAL_PERFORMANCE)

    def test_a_report_with_fewer_speeds_than_candidates_is_accepted(self):
        rows = to_candidate_rows(make_report(3, 40))
        found = from_candidate_rows(rows, "gulf", {"pool": [40]}, {})["pool"]
        self.assertEqual(found[0].performance, scale_performance(40))
        self.assertIs(found[2].performance, INITIAL_PERFORMANCE)

    def test_nothing_is_sent_while_all_have_the_initial_performance(self):
        self.assertEqual(to_speed_table(make_report(3, 100)), {})

    def test_sizes_stay_small_at_all_sizes_of_a_fleet(self):
        empty = len(encode_gossip(Gossip(sender="10.1.0.1")))
        for vms, upstreams in FLEETS:
            of_region = -(-upstreams // 3)
            speeds = to_speed_table(make_report(of_region, 40))
            report = len(encode_gossip(Gossip(sender="10.1.0.1", speeds=speeds)))
            # A process passes on what its row has sent.
            row_vms = round((vms / 3) ** 0.5)
            rows = list_rows(min(64, MAX_PENDING_SAMPLES * row_vms))
            passed_on = len(encode_gossip(Gossip(sender="10.1.0.1", samples=rows)))
            observer = PerformanceObserver()
            for measure in list(Measure) * 30:
                every = [(row[0], measure, 140) for row in list_rows(of_region)]
                observer.record_peer_samples(every, 0.0)
            full = observer.list_samples()
            start = len(encode_gossip(Gossip(sender="10.1.0.1", samples=full)))
            with self.subTest(vms=vms):
                self.assertLess(report - empty, 4 * of_region + 20)
                self.assertLess(passed_on - empty, 700)
                self.assertLess(start - empty, 220 * of_region)

    def test_samples_reach_each_direction_once_and_stay_bounded(self):
        relay_log = RelayLog()
        own = [(1, int(Measure.WORK), 40)]
        relay_log.record_own_samples(own)
        for direction in (Direction.ROW, Direction.COLUMN, Direction.ACROSS):
            self.assertEqual(relay_log.take(direction).samples, own)
            self.assertEqual(relay_log.take(direction).samples, [])
        relay_log.record_samples(list_rows(300), Direction.ROW)
        self.assertLessEqual(len(relay_log.take(Direction.COLUMN).samples), 64)
        self.assertEqual(relay_log.take(Direction.ROW).samples, [])


if __name__ == "__main__":
    unittest.main()
