import re
import shlex
import shutil
import tempfile
import unittest
from contextlib import chdir
from pathlib import Path

from click.testing import CliRunner

from banyanseam.cli.const import EXIT_UNREACHABLE
from banyanseam.cli.main import main
from banyanseam.settings import read_settings

DOCS = Path(__file__).resolve().parent.parent.parent / "docs"
# No process listens on this address.
CLOSED_ADDRESS = "127.0.0.1:1"


class OperationsPageTests(unittest.TestCase):
    def test_its_commands_run_as_written_on_the_examples(self):
        page = (DOCS / "OPERATIONS.md").read_text()
        lines = re.findall(r"^    banyanseam ([^#\n]+)", page, re.MULTILINE)
        self.assertGreater(len(lines), 10)
        with tempfile.TemporaryDirectory() as folder, chdir(folder):
            shutil.copytree(DOCS / "examples", folder, dirs_exist_ok=True)
            read_settings(Path("settings.json"))
            for line in lines:
                line = re.sub(r"--operators \S+", f"--operators {CLOSED_ADDRESS}", line)
                expected = EXIT_UNREACHABLE if CLOSED_ADDRESS in line else 0
                with self.subTest(line):
                    result = CliRunner().invoke(main, shlex.split(line))
                    self.assertEqual(result.exit_code, expected, result.output)
                if "split" in line:
                    # Later commands compare with the previously published version.
                    shutil.copytree("new", "old")


if __name__ == "__main__":
    unittest.main()
