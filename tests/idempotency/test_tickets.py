import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.idempotency.errors import TicketInvalid
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.tickets import TICKET_PREFIX, TicketIssuer, is_ticket
from banyanseam.peers.messages import PeerIdentity

SECRET = b"a secret of the fleet"


class TicketTests(unittest.TestCase):
    def setUp(self):
        self.ticket_issuer = TicketIssuer("gulf-1", 7, SECRET)

    def test_any_daemon_reads_the_issuer(self):
        text = self.ticket_issuer.issue("acme", now_s=10.0)
        ticket = TicketIssuer("delta-2", 1, SECRET).read(text, "acme")
        self.assertTrue(is_ticket(text))
        self.assertEqual((ticket.seat, ticket.incarnation), ("gulf-1", 7))
        self.assertTrue(Homes(PeerIdentity("gulf-1", 7)).covers(ticket))
        for seat, incarnation in (("gulf-1", 8), ("gulf-2", 7)):
            other = Homes(PeerIdentity(seat, incarnation))
            self.assertFalse(other.covers(ticket))

    def test_a_ticket_serves_only_its_organisation(self):
        with self.assertRaises(TicketInvalid):
            self.ticket_issuer.read(self.ticket_issuer.issue("acme", 0.0), "rival")

    def test_only_the_fleet_signs(self):
        forged = TicketIssuer("gulf-1", 7, b"another secret").issue("acme", 0.0)
        with self.assertRaises(TicketInvalid):
            self.ticket_issuer.read(forged, "acme")

    @given(st.text(max_size=200) | st.binary(max_size=200).map(lambda b: b.hex()))
    def test_malformed_tickets_are_refused(self, text):
        with self.assertRaises(TicketInvalid):
            TicketIssuer("gulf-1", 7, SECRET).read(TICKET_PREFIX + text, "acme")
