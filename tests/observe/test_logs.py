import io
import json
import logging
import unittest
from contextlib import redirect_stderr

from loguru import logger

from banyanseam.observe.events import LINK_REFUSED, REQUEST_ENDED, log
from banyanseam.observe.logs import set_up_logs
from banyanseam.observe.recent import LINES_PER_EVENT
from banyanseam.observe.redact import make_redact, make_to_json

SECRET = 'a "quoted" fleet secret'
KEY = "by-" + "Zk3_-" * 9
OTHER_KEY = "c2VjcmV0Zm9ydHk"


class RedactTests(unittest.TestCase):
    def test_secrets_are_redacted_in_every_form(self):
        redact, to_json = make_redact([SECRET]), make_to_json([SECRET])
        for text in (
            SECRET,
            json.dumps({"detail": SECRET}),
            json.dumps({"detail": json.dumps({"again": KEY})}),
            f"presented {KEY}.",
            f"Authorization: Bearer {OTHER_KEY}",
            f"(b'authorization', b'Bearer {OTHER_KEY}')",
            json.dumps({"x-api-key": OTHER_KEY}),
            {"fields": [{"X-Api-Key": OTHER_KEY}], "error": ValueError(SECRET)},
            f"cookie={OTHER_KEY}; path=/",
            f"bearer  {OTHER_KEY}",
        ):
            with self.subTest(text):
                redacted = f"{redact(text)} {to_json(text)}"
                for secret in (SECRET, json.dumps(SECRET)[1:-1], KEY, OTHER_KEY):
                    self.assertNotIn(secret, redacted)

    def test_similar_names_are_not_redacted(self):
        text = {"no authorization": "by-pass bearer-1 cookie-shop, authorization-desk"}
        self.assertEqual(make_redact([SECRET])(text), text)


class LogTests(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logger.remove)
        self.addCleanup(logging.captureWarnings, False)
        self.addCleanup(logging.root.handlers.clear)

    def test_libraries_write_numbered_events_without_secrets(self):
        with redirect_stderr(io.StringIO()) as written:
            logs = set_up_logs("INFO", seat="gulf-1", secrets=[SECRET])
            logging.getLogger("uvicorn.error").warning("odd header %s", KEY)
            try:
                raise ValueError(SECRET)
            except ValueError:
                logging.getLogger("websockets.server").exception("handler failed")
            logging.getLogger("websockets.client").info("> frame %s", OTHER_KEY)
            log(LINK_REFUSED, peer="no cookie", error=SECRET)
            for _ in range(3 * LINES_PER_EVENT):
                log(REQUEST_ENDED, organisation="acme")
        lines = [json.loads(line) for line in written.getvalue().splitlines()]
        first = [line["event"] for line in lines[:4]]
        self.assertEqual(first, [2011, 2010, 4003, 3001])
        self.assertIn("ValueError", lines[1]["error"])
        recent = logs.recent.list_lines()
        self.assertEqual(len(recent), 3 + LINES_PER_EVENT)
        for text in (written.getvalue(), *recent):
            for secret in (SECRET, json.dumps(SECRET)[1:-1], KEY, OTHER_KEY):
                self.assertNotIn(secret, text)


if __name__ == "__main__":
    unittest.main()
