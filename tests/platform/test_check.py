import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from banyanseam.daemon.const import EXIT_SETTINGS
from banyanseam.entry.main import main
from standins.platform_fleet import make_config

SETTINGS = """
node = "gulf-1"
ip = "10.1.0.25"
zone = "gulf-a"
region = "gulf"
port_range = [7600, 7615]
seeds = ["10.1.0.25:8229"]
colour = "green"
[zones]
gulf-a = "gulf"
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
control = "10.1.0.25:8229"
directory = "10.1.0.25:8220"
[limits]
memory_mb = 300
cores = 2
[platform]
address = "10.200.1.7:8225"
"""


class CheckPlatformTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def check(self, name: str, text: str):
        path = self.folder / name
        path.write_text(text)
        return CliRunner().invoke(main, ["--check", str(path)])

    def test_settings_that_are_valid(self):
        result = self.check("boot.toml", SETTINGS)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("valid settings: vm gulf-1, region gulf", result.stdout)
        self.assertIn("ignored fields: colour, limits.cores", result.stdout)
        self.assertNotIn("warning", result.stdout)

    def test_settings_that_are_wrong_are_refused_by_name(self):
        for old, new, name in (
            ("memory_mb = 300", "memory_mb = 0", "limits.memory_mb"),
            ("memory_mb = 300", "memory_mb = 300\nmax_fds = 200", "limits.max_fds"),
            ('ip = "10.1.0.25"\n', "", "ip"),
            ("[7600, 7615]", '"many"', "port_range"),
            ("node =", "node", "boot.toml"),
        ):
            with self.subTest(name):
                result = self.check("boot.toml", SETTINGS.replace(old, new))
                self.assertEqual(result.exit_code, EXIT_SETTINGS)
                self.assertIn(name, result.stderr)

    def test_a_configuration_that_is_valid(self):
        config = make_config() | {"version": 3, "season": "dry"}
        config["routes"][0]["colour"] = "green"
        result = self.check("config.json", json.dumps(config))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("valid configuration: version 3, routes 6", result.stdout)
        self.assertIn("ignored fields: routes[].colour, season", result.stdout)
        self.assertNotIn("warning", result.stdout)

    def test_a_valid_configuration_with_warnings(self):
        config = make_config()
        config["routes"][0]["service"] = "nothing"
        config["routes"][1]["service"] = None
        config["tenants"].append(config["tenants"][0] | {"name": "birch"})
        result = self.check("config.json", json.dumps(config))
        self.assertEqual(result.exit_code, 0)
        for warning in (
            "unknown service nothing",
            "no service",
            "a key is given twice",
        ):
            self.assertIn(warning, result.stdout)

    def test_a_configuration_that_is_wrong_is_refused_by_name(self):
        config = make_config()
        config["routes"][2]["timeout_ms"] = 0
        result = self.check("config.json", json.dumps(config))
        self.assertEqual(result.exit_code, EXIT_SETTINGS)
        self.assertIn("routes.2.timeout_ms", result.stderr)

    def test_what_changes_against_the_configuration_in_force(self):
        in_force = self.folder / "in-force.json"
        in_force.write_text(json.dumps(make_config()))
        config = make_config() | {"version": 4}
        config["routes"][0]["timeout_ms"] = 4000
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        arguments = ["--check", str(path), "--against", str(in_force)]
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("change: route query: timeout_ms 3000 becomes", result.stdout)
        result = CliRunner().invoke(main, [*arguments, "--json"])
        report = json.loads(result.stdout)[str(path)]
        self.assertEqual(report["errors"], [])
        self.assertEqual(len(report["changes"]), 1)

    def test_an_invalid_configuration_in_force_is_named(self):
        in_force = self.folder / "in-force.json"
        in_force.write_text(json.dumps(make_config() | {"version": "old"}))
        path = self.folder / "config.json"
        path.write_text(json.dumps(make_config()))
        arguments = ["--check", str(path), "--against", str(in_force)]
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, EXIT_SETTINGS)
        self.assertIn(str(in_force), result.stderr)
        self.assertNotIn(str(path), result.stderr)

    def test_names_of_services_and_organisations_may_be_equal(self):
        config = make_config()
        config["tenants"][0]["name"] = config["services"][0]["name"]
        result = self.check("config.json", json.dumps(config))
        self.assertNotIn("warning", result.stdout)

    def test_warnings_fail_a_strict_check(self):
        config = make_config()
        config["routes"][0]["service"] = "nothing"
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        for arguments, code in (([], 0), (["--strict"], 1)):
            result = CliRunner().invoke(main, ["--check", str(path), *arguments])
            self.assertEqual(result.exit_code, code, result.output)

    def test_a_file_that_is_missing(self):
        for name in ("none.json", "none.toml"):
            path = str(self.folder / name)
            result = CliRunner().invoke(main, ["--check", path])
            self.assertEqual(result.exit_code, EXIT_SETTINGS)
            self.assertIn(path, result.stderr)


if __name__ == "__main__":
    unittest.main()
