import hashlib
import json
import tempfile
import threading
import unittest
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from click.testing import CliRunner

from banyanseam.cli.main import main
from tests.common import make_documents

STATUS = {
    "seat": "gulf-1",
    "region": "gulf",
    "data_centre": "gulf-dc1",
    "incarnation": 7,
    "state": "serving",
    "up_ms": 5,
    "config": {
        "version": 4,
        "era": 1,
        "rejected": {"version": 5, "json_path": "$.x", "detail": "$.x: bad"},
    },
    "load": {"failures": {"quota.exhausted": 3}},
    "peers": [{"seat": "gulf-2", "region": "gulf", "state": "alive"}],
    "upstreams": [{"upstream": "e", "region": "gulf", "state": "ready"}],
    "from_a_newer_daemon": True,
}
SERIES = {
    "organisation": None,
    "request_class": "quick",
    "measure": "first_token_ms",
    "count": 3,
    "mean": 4.0,
    "percentiles": {"50.0": 5, "99.0": 50, "100.0": 100},
}
STEP = {
    "filter": "residency",
    "verdict": "refuse",
    "reason": "no region",
    "code": "residency.excluded",
}
DIGEST = {"version": 4, "sha256_hex": "ab", "values": {}}
DIAGNOSTICS = {
    "release": {"version": "1", "protocol": 2, "python": "3", "platform": "linux"},
    "settings": {},
    "status": STATUS,
    "in_force": DIGEST,
    "newest": DIGEST,
    "events": [],
}
REPLIES = {
    "/diagnostics": DIAGNOSTICS,
    "/status": STATUS,
    "/entries": {
        "entries": [{"seat": "gulf-1", "region": "gulf", "address": "10.0.0.1:80"}],
        "validity_ms": 5000,
    },
    "/histograms": {"window_ms": 1000, "series": [SERIES]},
    "/explain": {"config_version": 4, "verdict": "refuse", "steps": [STEP]},
    "/drain": {"state": "draining", "validity_ms": 5, "in_flight": 1, "queued": 0},
}
COMMANDS = {
    "/status": (
        ["status"],
        ["gulf-1", "4 of era 1", "REJECTED version 5", "quota.exhausted  3"],
    ),
    "/entries": (["entries"], ["10.0.0.1:80", "5000 ms"]),
    "/histograms": (["histograms", "--class", "quick"], ["first_token_ms", "####"]),
    "/explain": (["explain", "/v1/x"], ["residency.excluded", "no region"]),
    "/drain": (["drain"], ["draining", "1 in flight"]),
    "/diagnostics": (["diagnostics"], ['"seat": "gulf-1"', '"sha256_hex": "ab"']),
}


def run(*arguments):
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


@contextmanager
def serve(status, replies):
    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            body = json.dumps(replies[self.path]).encode()
            self.rfile.read(int(self.headers.get("content-length", 0)))
            self.send_response(status)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_POST = do_GET  # noqa: N815

        def log_message(self, *arguments):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        server.server_close()


class DaemonCommandTests(unittest.TestCase):
    def test_each_shows_the_answer_as_text_and_json(self):
        with serve(200, REPLIES) as address:
            for path, (command, expected) in COMMANDS.items():
                with self.subTest(path):
                    text = run(*command, "--operators", address)
                    self.assertEqual(text.exit_code, 0, text.output)
                    for part in expected:
                        self.assertIn(part, text.output)
                    value = run(*command, "--operators", address, "--json")
                    self.assertIsInstance(json.loads(value.output), dict)

    def test_failures_are_one_line_with_their_code(self):
        problem = {"code": "config.not_ready", "detail": "none yet"}
        with serve(503, {"/status": problem}) as address:
            refused = run("status", "--operators", address, "--json")
        cases = [
            (refused, 1, '{"code": "cli.daemon_refused", "detail": "config.not_ready'),
            (run("status", "--operators", "127.0.0.1:1"), 3, "cli.daemon_unreachable:"),
            (run("status"), 2, "Usage"),
            (run("status", "--operators", "127.0.0.1:99999"), 2, "Usage"),
            (run("status", "--operators", "10.0.0.1:http"), 2, "Usage"),
            (run("status", "--operators", "http://10.0.0.1:80"), 2, "Usage"),
            (run("status", "--operators", "localhost:1"), 3, "cli.daemon_unreachable"),
            (run("explain", "v1", "--operators", "127.0.0.1:1"), 2, "Usage"),
            (run("config", "check", "/none.json"), 1, "cli.unreadable_file: /none"),
            (run("key", "new", "Not A Name"), 2, "Usage"),
        ]
        with serve(200, {"/status": {"seat": 1}}) as address:
            broken = run("status", "--operators", address)
            cases.append((broken, 1, "cli.invalid_reply"))
        for result, exit_code, start in cases:
            with self.subTest(start):
                self.assertEqual(result.exit_code, exit_code)
                self.assertTrue(result.output.startswith(start), result.output)
                if exit_code != 2:
                    self.assertEqual(result.output.count("\n"), 1)


class ConfigCommandTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        base, overlays = make_documents()
        base["site"] = {"policy": {"remote_margin_ms": 7}}
        self.files = (
            self.write("base", base),
            *(self.write(region, overlay) for region, overlay in overlays.items()),
        )

    def write(self, name, value):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(value))
        return path

    def test_check_names_what_is_wrong(self):
        self.assertIn("9 seats", run("config", "check", *self.files).output)
        self.write("gulf", {"seets": {}})
        result = run("config", "check", *self.files)
        self.assertEqual(result.exit_code, 1)
        self.assertRegex(result.output, r"^config.invalid: \$.sites.gulf.seets: .*\n$")

    def test_render_merges_the_defaults(self):
        rendered = json.loads(run("config", "render", *self.files).output)
        self.assertEqual(rendered["sites"]["gulf"]["policy"]["remote_margin_ms"], 7)

    def test_split_is_a_folder_that_the_other_commands_read(self):
        rendered = run("config", "render", *self.files).output
        before, after = self.folder / "before", self.folder / "after"
        self.assertEqual(
            run("config", "split", *self.files, "--out", before).exit_code, 0
        )
        base = json.loads(self.files[0].read_text())
        base["organisations"]["acme"]["weight"] = 2
        base["routes"]["chat"]["deadline_ms"] = 40
        self.write("base", base)
        run("config", "split", *self.files, "--out", after)
        self.assertEqual(run("config", "check", after).exit_code, 0)
        result = run("config", "split", *self.files, "--out", "/dev/null/folder")
        self.assertEqual(result.exit_code, 1)
        self.assertRegex(result.output, r"^cli.unwritable_file: /dev/null/.*\n$")
        self.assertEqual(run("config", "render", before).output, rendered)
        result = run("config", "diff", before, after, "--exit-code")
        self.assertEqual(result.exit_code, 4)
        self.assertEqual(
            result.output.splitlines(),
            [
                "+ $.organisations.acme.weight: 2",
                "+ $.routes.chat.deadline_ms: 40",
            ],
        )
        same = run("config", "diff", before, before, "--exit-code", "--json")
        self.assertEqual((same.exit_code, json.loads(same.output)), (0, []))

    def test_schema_is_json(self):
        for name in ("base", "site", "settings"):
            with self.subTest(name):
                schema = json.loads(run("config", "schema", name).output)
                self.assertEqual(schema["type"], "object")


class KeyTests(unittest.TestCase):
    def test_entry_holds_the_digest_only(self):
        first, second = (
            json.loads(run("key", "new", "acme", "--json").output) for _ in range(2)
        )
        self.assertNotEqual(first["key"], second["key"])
        digest = hashlib.sha256(first["key"].encode()).hexdigest()
        self.assertEqual(first["entry"]["sha256_hex"], digest)
        self.assertNotIn(first["key"], json.dumps(first["entry"]))


if __name__ == "__main__":
    unittest.main()
