"""Checks what the private headers between entry daemons are read as."""

import unittest

from banyanseam.entry.models import StreamOrigin
from banyanseam.entry.peer_headers import ORIGIN, read_served_by, write_progress

ORIGINS = (
    StreamOrigin("pool", "v1", "engine-1", 1_700_000_000_000),
    StreamOrigin("pool", None, "engine-1", 1),
    StreamOrigin("pool", "", "engine-1", 1),
    StreamOrigin("a pool", "v 1%\r\n\u20ac", "", 0),
)


class OriginHeaderTests(unittest.TestCase):
    def test_an_origin_is_read_as_it_was_written(self):
        for origin in ORIGINS:
            with self.subTest(origin):
                self.assertEqual(read_served_by(write_progress(1, origin)), origin)

    def test_what_is_no_origin_is_left_out(self):
        for value in (
            b"",
            b"pool =v1 engine-1",
            b"pool =v1 engine-1 -1",
            b"pool =v1 engine-1 1 1",
            # Digits to str.isdigit, but not to int.
            b"pool =v1 engine-1 \xb2",
            b"pool =v1 engine-1 " + 5000 * b"9",
        ):
            with self.subTest(value[:30]):
                self.assertIsNone(read_served_by([(ORIGIN, value)]))


if __name__ == "__main__":
    unittest.main()
