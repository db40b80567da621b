import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from banyanseam.cli.main import main
from tests.observe.test_timeline import FORWARDED_LINES, ID


class ExplainLogTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, lines: list[bytes]) -> str:
        path = self.folder / name
        path.write_bytes(b"\n".join(lines) + b"\n")
        return str(path)

    def run_command(self, *arguments: str):
        return CliRunner().invoke(main, ["explain-log", *arguments])

    def test_timeline_combines_the_files_of_all_vms(self):
        files = [
            self.write("p1.log", FORWARDED_LINES[:4]),
            self.write("g1.log", FORWARDED_LINES[4:]),
        ]
        result = self.run_command(*files, "--request", ID)
        self.assertEqual(result.exit_code, 0, result.stderr)
        steps = [line for line in result.stdout.splitlines() if "event 30" in line]
        self.assertEqual(len(steps), 6)
        self.assertTrue(steps[2].startswith("  "), steps[2])
        self.assertIn("known for 10.300 s: event 2007", result.stdout)

    def test_timeline_as_json(self):
        path = self.write("all.log", FORWARDED_LINES)
        result = self.run_command(path, "--request", ID, "--json")
        value = json.loads(result.stdout)
        self.assertEqual(value["request_id"], ID)
        self.assertEqual([step["depth"] for step in value["steps"]], [0, 0, 1, 1, 1, 0])

    def test_request_in_none_of_the_files(self):
        path = self.write("all.log", FORWARDED_LINES)
        result = self.run_command(path, "--request", "nobody")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("cli.request_not_in_logs", result.stderr)

    def test_a_file_that_is_missing(self):
        result = self.run_command(str(self.folder / "none.log"), "--request", ID)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("cli.unreadable_file", result.stderr)


if __name__ == "__main__":
    unittest.main()
