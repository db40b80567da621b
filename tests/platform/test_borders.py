"""The platform package makes no decisions, and its wire names stay inside it."""

import ast
import re
import unittest
from pathlib import Path

import banyanseam
from banyanseam.platform import wire

ROOT = Path(banyanseam.__file__).parent
# Only the code that composes the daemon may import the package, not code that decides.
COMPOSITION = {"entry/main.py"}
ALLOWED_INSIDE = {
    "banyanseam.config.errors",
    "banyanseam.entry.errors",
    "banyanseam.entry.models",
    "banyanseam.errors",
    "banyanseam.config.addresses",
    "banyanseam.pipe.errors",
    "banyanseam.settings",
    "banyanseam.upstreams.connections",
}


def list_sources():
    for path in sorted(ROOT.rglob("*.py")):
        yield path.relative_to(ROOT).as_posix(), path.read_text()


def list_imports(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def list_wire_names():
    for value in vars(wire).values():
        if isinstance(value, bytes):
            yield value.decode()
        elif isinstance(value, str) and "/" in value:
            yield value
        elif isinstance(value, frozenset):
            yield from (each.decode() for each in value)


class BorderTests(unittest.TestCase):
    def test_code_that_decides_imports_nothing_of_the_platform(self):
        for name, source in list_sources():
            if name.startswith("platform/") or name in COMPOSITION:
                continue
            found = [
                each
                for each in list_imports(source)
                if each.startswith("banyanseam.platform")
            ]
            with self.subTest(name):
                self.assertEqual(found, [])

    def test_the_package_imports_only_types_errors_and_utilities(self):
        for name, source in list_sources():
            if not name.startswith("platform/"):
                continue
            found = {
                each
                for each in list_imports(source)
                if each.startswith("banyanseam.")
                and not each.startswith("banyanseam.platform")
            }
            with self.subTest(name):
                self.assertEqual(found - ALLOWED_INSIDE, set())

    def test_no_wire_name_is_used_outside_the_package(self):
        common = {"authorization", "model", "hold"}
        names_on_wire = [word for word in list_wire_names() if word not in common]
        pattern = re.compile("|".join(map(re.escape, names_on_wire)), re.IGNORECASE)
        for name, source in list_sources():
            if name.startswith("platform/"):
                continue
            with self.subTest(name):
                strings = [
                    node.value if isinstance(node.value, str) else node.value.decode()
                    for node in ast.walk(ast.parse(source))
                    if isinstance(node, ast.Constant)
                    and isinstance(node.value, str | bytes)
                ]
                found = [text for text in strings if pattern.fullmatch(text)]
                self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
