import os
import time
import unittest

from banyanseam.observe.line_writer import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_S,
    MAX_URGENT_LINES_PER_S,
    LineWriter,
)


class LineWriterTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.pipe = os.pipe()
        self.addCleanup(self.close, self.reader)
        self.addCleanup(self.close, self.pipe)
        # The rate limit resets every second, so start early in one for stable counts.
        while time.monotonic() % 1 > 0.2:
            time.sleep(0.01)

    def close(self, descriptor):
        try:
            os.close(descriptor)
        except OSError:
            return

    def read_all(self):
        os.set_blocking(self.reader, False)
        data = bytearray()
        while True:
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return bytes(data)
            if not chunk:
                return bytes(data)
            data += chunk

    def test_writes_do_not_block_without_a_reader(self):
        writer = LineWriter(self.pipe)
        started_s = time.monotonic()
        for number in range(600):
            writer.write(f"{number} " + "x" * 1000, is_urgent=True)
        self.assertLess(time.monotonic() - started_s, 0.5)
        self.assertGreater(writer.left_out, 0)
        self.assertLessEqual(len(writer._buffer), MAX_BUFFER_BYTES)
        left_out = writer.left_out
        # A reader that resumes gets whole lines and the number of dropped lines.
        text = self.read_all()
        while writer._buffer:
            writer.write("again", is_urgent=True)
            text += self.read_all()
        writer.write("last", is_urgent=True)
        text += self.read_all()
        lines = text.decode().splitlines()
        self.assertEqual(lines[-1], "last")
        notices = [line for line in lines if "lines_left_out" in line]
        self.assertEqual(len(notices), 1)
        self.assertIn(str(left_out), notices[0])
        for number, line in enumerate(lines[: 600 - left_out]):
            self.assertTrue(line.startswith(f"{number} x"))

    def test_closed_reader_only_drops_lines(self):
        writer = LineWriter(self.pipe)
        os.close(self.reader)
        for _ in range(10):
            writer.write("line", is_urgent=True)
        self.assertEqual(writer.left_out, 10)

    def test_closed_descriptor_only_drops_lines(self):
        os.close(self.pipe)
        writer = LineWriter(self.pipe)
        writer.write("line", is_urgent=True)
        self.assertEqual(writer.left_out, 1)

    def test_failures_have_a_higher_rate_limit(self):
        writer = LineWriter(self.pipe)
        for _ in range(MAX_LINES_PER_S + 50):
            writer.write("ok", is_urgent=False)
        for _ in range(100):
            writer.write("failed", is_urgent=True)
        text = self.read_all().decode()
        self.assertEqual(text.count("ok\n"), MAX_LINES_PER_S)
        self.assertEqual(text.count("failed\n"), 100)
        for _ in range(MAX_URGENT_LINES_PER_S):
            writer.write("failed", is_urgent=True)
        self.assertGreater(writer.left_out, 0)


if __name__ == "__main__":
    unittest.main()
