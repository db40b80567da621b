import re
import unittest
from collections import Counter

from tests.observe.catalogues import (
    ERRORS,
    EVENTS,
    find_errors,
    find_events,
    read_hand_written,
    render_errors,
    render_events,
)


def find_repeated(values):
    return [value for value, count in Counter(values).items() if count > 1]


class CatalogueTests(unittest.TestCase):
    def test_codes_and_numbers_are_unique(self):
        errors = find_errors()
        self.assertEqual(find_repeated(kind.code for kind in errors), [])
        numbers = [kind.event for kind in errors]
        numbers += [event.number for event in find_events()]
        self.assertEqual(find_repeated(numbers), [])

    def test_every_class_names_its_own_code_event_and_title(self):
        for kind in find_errors():
            with self.subTest(kind.__name__):
                for name in ("code", "event", "title"):
                    self.assertIn(name, vars(kind))
                self.assertRegex(kind.code, r"^[a-z0-9_]+(\.[a-z0-9_]+)*$")
                self.assertTrue(1000 <= kind.event < 2000)
                self.assertTrue(400 <= kind.status < 600)

    def test_pages_match_the_code(self):
        pages = ((ERRORS, render_errors), (EVENTS, render_events))
        for path, render in pages:
            with self.subTest(path.name):
                written = path.read_text()
                self.assertEqual(
                    written,
                    render(read_hand_written(path)),
                    "run: python -m tests.observe.catalogues",
                )
                empty = [
                    first for first, last in read_hand_written(path).items() if not last
                ]
                self.assertEqual(empty, [], "write the remedy in the last column")

    def test_operations_page_names_existing_codes_and_events(self):
        page = (ERRORS.parent / "OPERATIONS.md").read_text()
        codes = {kind.code for kind in find_errors()}
        families = {code.split(".")[0] for code in codes if "." in code}
        named = re.findall(r"`([a-z_]+\.[a-z_]+)`", page)
        named_codes = [one for one in named if one.split(".")[0] in families]
        self.assertTrue(named_codes)
        self.assertEqual([one for one in named_codes if one not in codes], [])
        numbers = {str(event.number) for event in find_events()}
        events = re.findall(r"event (\d{4})", page)
        self.assertTrue(events)
        self.assertEqual([one for one in events if one not in numbers], [])


if __name__ == "__main__":
    unittest.main()
