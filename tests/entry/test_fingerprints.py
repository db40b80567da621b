import unittest

from banyanseam.entry.fingerprints import make_fingerprint
from banyanseam.entry.models import RequestHead


def digest(
    organisation: str | None, host: str, method: str, target: bytes, body: bytes
) -> int:
    """Return the fingerprint of a request."""
    head = RequestHead("r1", method, host, "/a", target, None, None, None, None)
    return make_fingerprint(organisation, head, body)


class FingerprintTests(unittest.TestCase):
    def test_a_fingerprint_tells_requests_apart(self):
        base = ("acme", "a.example", "GET", b"/a", b"")
        for place, other in enumerate(("other", "b.example", "POST", b"/b", b"x")):
            changed = (*base[:place], other, *base[place + 1 :])
            with self.subTest(changed=changed):
                self.assertNotEqual(digest(*base), digest(*changed))
        self.assertEqual(digest(*base), digest(*base))
        self.assertNotEqual(digest(*base), digest(None, *base[1:]))
        self.assertNotEqual(digest(*base), 0)


if __name__ == "__main__":
    unittest.main()
