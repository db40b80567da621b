import hashlib
import unittest

from banyanseam.config.compile import compile_config
from banyanseam.config.snapshot import (
    Snapshot,
    Value,
    compile_snapshot,
    encode_content,
)
from banyanseam.config.split import split_documents
from tests.common import make_documents

MAX_VALUE_BYTES = 1_000_000
ORGANISATIONS = 670


def make_large_documents():
    base, overlays = make_documents()
    for number in range(ORGANISATIONS):
        digests = (
            hashlib.sha256(f"{number}-{key}".encode()).hexdigest() for key in range(16)
        )
        base["organisations"][f"organisation-{number}"] = {
            "keys": [
                {"sha256_hex": digest, "label": f"key-{digest[:8]}"}
                for digest in digests
            ],
            "rate_tokens_per_s": 10,
            "burst_tokens": 10,
        }
    return base, overlays


class SplitTests(unittest.TestCase):
    def test_split_values_compile_like_the_documents(self):
        base, overlays = make_large_documents()
        values = split_documents(base, overlays)
        contents = {key: encode_content(value) for key, value in values.items()}
        snapshot = Snapshot(
            3, {key: Value(key, 3, content) for key, content in contents.items()}
        )
        self.assertEqual(compile_snapshot(snapshot), compile_config(3, base, overlays))
        largest = max(map(len, contents.values()))
        self.assertLess(largest, MAX_VALUE_BYTES / 10)

    def test_a_changed_key_changes_one_value(self):
        base, overlays = make_large_documents()
        before = split_documents(base, overlays)
        changed = dict(base["organisations"])
        changed["organisation-7"] = changed["organisation-7"] | {"keys": []}
        after = split_documents(base | {"organisations": changed}, overlays)
        self.assertEqual(sum(before[key] != after[key] for key in before), 1)
        self.assertEqual(set(before), set(after))


if __name__ == "__main__":
    unittest.main()
