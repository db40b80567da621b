import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.event_stream import MAX_EVENT_BYTES, EventSplitter
from banyanseam.pipe.errors import AnswerMalformed

STREAM = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 9))


class EventStreamTests(unittest.TestCase):
    @given(st.lists(st.integers(1, len(STREAM) - 1), max_size=8))
    def test_any_chunking_gives_the_same_events(self, cuts):
        splitter = EventSplitter()
        ends = [0, *sorted(cuts), len(STREAM)]
        events = [
            event
            for begin, end in zip(ends, ends[1:], strict=False)
            for event in splitter.feed(STREAM[begin:end])
        ]
        self.assertEqual([event.number for event in events], list(range(1, 9)))
        self.assertEqual(b"".join(event.data for event in events), STREAM)
        self.assertFalse(splitter.has_partial_event)

    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), [])
        self.assertTrue(splitter.has_partial_event)

    def test_event_without_number_is_returned(self):
        self.assertIsNone(EventSplitter().feed(b"data: x\n\n")[0].number)

    def test_oversized_event_raises(self):
        with self.assertRaises(AnswerMalformed):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
