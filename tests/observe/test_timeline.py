import json
import unittest

from banyanseam.observe.log_files import MAX_LINE_BYTES, decode_line
from banyanseam.observe.timeline import (
    MAX_KNOWN_STATES,
    MAX_TIMELINE_STEPS,
    RequestTimeline,
)

ID = "86a0e449cc3e3422"


def make_line(vm: str, at_s: float, event: int, **fields) -> bytes:
    base_fields = {
        "time": f"2026-12-04T10:{int(at_s // 60):02}:{at_s % 60:06.3f}+00:00",
        "level": "INFO",
        "message": f"event {event}",
        "seat": vm,
        "event": event,
    }
    return json.dumps(base_fields | fields).encode()


def list_steps(*lines: bytes) -> list[tuple[str, int, int]]:
    timeline = RequestTimeline(ID)
    for line in lines:
        timeline.add_line(line)
    return [
        (step.line.vm, step.line.event, step.depth) for step in timeline.list_steps()
    ]


# A request that g1 forwarded to p1, whose clock is three seconds ahead.
FORWARDED_LINES = [
    make_line("p1", 13.0, 2007, ip="10.2.0.1"),
    make_line("p1", 23.3, 3010, request_id=ID, upstream="e1"),
    make_line("p1", 23.5, 3011, request_id=ID, upstream="e1"),
    make_line("p1", 23.6, 3002, request_id=ID, forwarded=True),
    make_line("g1", 20.2, 3010, request_id=ID, upstream="e1"),
    make_line("g1", 20.3, 3012, request_id=ID, peer="10.2.0.1"),
    make_line("g1", 20.7, 3002, request_id=ID, forwarded=False),
]


class RequestTimelineTests(unittest.TestCase):
    def test_steps_of_another_vm_follow_the_forwarding_step(self):
        expected = [
            ("g1", 3010, 0),
            ("g1", 3012, 0),
            ("p1", 3010, 1),
            ("p1", 3011, 1),
            ("p1", 3002, 1),
            ("g1", 3002, 0),
        ]
        self.assertEqual(list_steps(*FORWARDED_LINES), expected)
        self.assertEqual(
            list_steps(*FORWARDED_LINES[4:], *FORWARDED_LINES[:4]), expected
        )

    def test_steps_of_a_vm_without_start_line_come_last(self):
        steps = list_steps(*FORWARDED_LINES[1:])
        self.assertEqual([vm for vm, _, _ in steps], ["g1"] * 3 + ["p1"] * 3)

    def test_known_states_have_an_age_and_are_reset_at_restart(self):
        timeline = RequestTimeline(ID)
        for line in (
            make_line("g1", 1.0, 5001, version=3),
            make_line("g1", 2.0, 4021, peer="10.2.0.1"),
            make_line("g1", 3.0, 4021, peer="10.2.0.2"),
            make_line("g1", 3.5, 4020, peer="10.2.0.2"),
            make_line("g1", 4.0, 6020, upstream="e1"),
            make_line("g1", 5.0, 3010, request_id=ID, upstream="e1"),
            make_line("g1", 6.0, 2007, ip="10.1.0.1"),
            make_line("g1", 7.0, 3002, request_id=ID),
        ):
            timeline.add_line(line)
        chosen, ended = timeline.list_steps()
        self.assertEqual(
            [(each.message, each.age_ms) for each in chosen.known_states],
            [("event 5001", 4000), ("event 4021", 3000), ("event 6020", 1000)],
        )
        self.assertEqual([each.message for each in ended.known_states], ["event 2007"])

    def test_other_requests_and_invalid_lines_are_ignored(self):
        self.assertEqual(
            list_steps(
                make_line("g1", 1.0, 3001, request_id="another", detail=ID),
                b"",
                b"no line",
                b'{"event": 3001, "request_id": "' + ID.encode() + b'"',
                b'["event": 3001]',
                b"\xff\xfe" + ID.encode(),
                b"{" * MAX_LINE_BYTES,
                make_line("g1", 2.0, 3001, request_id=ID)[:-9],
            ),
            [],
        )

    def test_prefix_of_a_log_collector_is_ignored(self):
        line = decode_line(b"  12.5 front-a-1 " + make_line("g1", 1.0, 3001))
        self.assertEqual((line.vm, line.event), ("g1", 3001))

    def test_memory_is_bounded(self):
        timeline = RequestTimeline(ID)
        for number in range(MAX_KNOWN_STATES + 100):
            timeline.add_line(make_line("g1", 1.0, 6020, upstream=f"e{number}"))
        for _ in range(MAX_TIMELINE_STEPS + 7):
            timeline.add_line(make_line("g1", 2.0, 3011, request_id=ID))
        self.assertEqual(len(timeline._vms["g1"].known_states), MAX_KNOWN_STATES)
        self.assertEqual(len(timeline.list_steps()), MAX_TIMELINE_STEPS)
        self.assertEqual(timeline.left_out, 7)


if __name__ == "__main__":
    unittest.main()
