"""Tickets: idempotency keys that name the process that issued them.

The issuer records the use of its tickets itself, so at-most-once execution needs no
shared clock, store or consensus. An expiry is a time on the issuer's own clock;
another process can only read it with the offset of that clock.
"""

import base64
import binascii
import hmac
import secrets
from dataclasses import dataclass
from hashlib import sha256

import cbor2

from banyanseam.idempotency.const import (
    TICKET_ID_BYTES,
    TICKET_LIFE_S,
    TICKET_MAC_BYTES,
    TICKET_PREFIX,
)
from banyanseam.idempotency.errors import TicketInvalid


@dataclass(frozen=True, slots=True)
class Ticket:
    """Content of a ticket; `expires_ms` is on the clock of the issuing process."""

    seat: str
    incarnation: int
    organisation: str
    ticket_id: bytes
    expires_ms: int


def derive_ticket_key(fleet_secret: bytes) -> bytes:
    """Return the key that signs tickets, derived so that each key has one purpose."""
    return hmac.digest(fleet_secret, b"banyanseam ticket 1", sha256)


def is_ticket(key: str) -> bool:
    """Return whether an idempotency key has the form of a ticket."""
    return key.startswith(TICKET_PREFIX)


class TicketIssuer:
    """Issues this process's tickets and reads those of any process of the fleet."""

    def __init__(self, seat: str, incarnation: int, fleet_secret: bytes) -> None:
        """Set the issuing process and derive the signing key."""
        self.seat = seat
        self.incarnation = incarnation
        self._key = derive_ticket_key(fleet_secret)

    def issue(self, organisation: str, now_s: float) -> str:
        """Return a new ticket for an organisation, valid for TICKET_LIFE_S."""
        ticket = Ticket(
            self.seat,
            self.incarnation,
            organisation,
            secrets.token_bytes(TICKET_ID_BYTES),
            int((now_s + TICKET_LIFE_S) * 1000),
        )
        return self._encode(ticket)

    def read(self, text: str, organisation: str) -> Ticket:
        """Return a ticket; raise TicketInvalid unless issued to this organisation."""
        try:
            data = base64.b64decode(
                text.removeprefix(TICKET_PREFIX), altchars=b"-_", validate=True
            )
        except (binascii.Error, ValueError) as error:
            raise TicketInvalid from error
        payload, mac = data[:-TICKET_MAC_BYTES], data[-TICKET_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._sign(payload)):
            raise TicketInvalid
        ticket = Ticket(*cbor2.loads(payload))
        if ticket.organisation != organisation:
            raise TicketInvalid
        return ticket

    def _encode(self, ticket: Ticket) -> str:
        payload = cbor2.dumps(
            [
                ticket.seat,
                ticket.incarnation,
                ticket.organisation,
                ticket.ticket_id,
                ticket.expires_ms,
            ]
        )
        signed = base64.urlsafe_b64encode(payload + self._sign(payload))
        return TICKET_PREFIX + signed.decode()

    def _sign(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, sha256)[:TICKET_MAC_BYTES]
