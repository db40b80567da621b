import unittest

from banyanseam.config.compile import compile_config
from banyanseam.config.keys import (
    digest_key,
    find_organisation,
    is_still_valid,
    make_key,
    redact_digest,
)
from tests.common import KEY, make_config, make_documents


class KeyTests(unittest.TestCase):
    def test_key_finds_its_organisation_only(self):
        config = make_config()
        self.assertEqual(find_organisation(config, KEY.encode()).name, "acme")
        for wrong in (b"", KEY.encode()[:-1], digest_key(KEY.encode()), b"\xff"):
            with self.subTest(wrong=wrong):
                self.assertIsNone(find_organisation(config, wrong))

    def test_withdrawn_or_moved_key_is_no_longer_valid(self):
        digest = digest_key(KEY.encode())
        self.assertTrue(is_still_valid(make_config(), digest, "acme"))
        base, overlays = make_documents()
        base["organisations"]["other"] = base["organisations"].pop("acme")
        moved = compile_config(2, base, overlays)
        self.assertFalse(is_still_valid(moved, digest, "acme"))
        base["organisations"]["other"]["keys"] = []
        withdrawn = compile_config(3, base, overlays)
        self.assertFalse(is_still_valid(withdrawn, digest, "other"))

    def test_keys_differ_and_logs_show_a_part_of_the_digest(self):
        first, second = make_key(), make_key()
        self.assertNotEqual(first, second)
        self.assertGreaterEqual(len(first), 40)
        digest = digest_key(first.encode())
        self.assertEqual(redact_digest(digest), f"sha256:{digest.hex()[:8]}")
