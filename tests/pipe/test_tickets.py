import unittest

from banyanseam.idempotency.tickets import TicketIssuer
from banyanseam.pipe.errors import KeyMissing, KeyUnknown
from banyanseam.pipe.tickets import issue_ticket
from tests.common import KEY, make_config, make_exchange, run_with_mock_clock


class IssueTests(unittest.TestCase):
    def test_only_a_caller_with_a_key_gets_a_ticket(self):
        ticket_issuer = TicketIssuer("gulf-1", 1, b"a secret of the fleet")
        for headers, expected in (
            ([(b"authorization", f"Bearer {KEY}".encode())], None),
            ([], KeyMissing),
            ([(b"x-api-key", b"other")], KeyUnknown),
        ):
            exchange = make_exchange(headers=headers)
            call = (issue_ticket, make_config(), ticket_issuer, exchange)
            with self.subTest(headers=headers):
                if expected:
                    self.assertRaises(expected, run_with_mock_clock, *call)
                    continue
                ticket = run_with_mock_clock(*call).ticket
                self.assertEqual(ticket_issuer.read(ticket, "acme").seat, "gulf-1")
