import unittest

from banyanseam.config.compile import compile_config
from banyanseam.config.errors import InvalidConfig
from tests.common import make_config, make_documents


class CompileTests(unittest.TestCase):
    def test_sites_are_merged_over_defaults(self):
        base, overlays = make_documents()
        base["site"] = {"policy": {"remote_margin_ms": 7}}
        overlays["delta"]["policy"] = {"queue_patience_ms": 9}
        config = compile_config(4, base, overlays)
        self.assertEqual(config.policies["delta"].remote_margin_ms, 7)
        self.assertEqual(config.policies["delta"].queue_patience_ms, 9)
        self.assertEqual(config.policies["gulf"].remote_margin_ms, 7)

    def test_a_daemon_address_is_rejected_for_an_upstream(self):
        base, overlays = make_documents()
        seat = overlays["gulf"]["seats"]["gulf-1"]
        engine = overlays["delta"]["upstreams"]["delta-engine-1"]
        engine["address"] = seat["callers_address"]
        with self.assertRaises(InvalidConfig) as caught:
            compile_config(1, base, overlays)
        self.assertEqual(
            caught.exception.json_path,
            "$.sites.delta.upstreams.delta-engine-1.address",
        )

    def test_compiled_config_has_the_given_version(self):
        self.assertEqual(make_config(version=12).version, 12)
