"""Issue a ticket to a caller who presents an API key."""

import anyio
from pydantic import BaseModel

from banyanseam.config.compiled import Config
from banyanseam.idempotency.const import TICKET_LIFE_S
from banyanseam.idempotency.tickets import TicketIssuer
from banyanseam.pipe.authenticate import authenticate
from banyanseam.pipe.errors import KeyMissing
from banyanseam.pipe.models import Exchange


class TicketDocument(BaseModel):
    """The answer of `POST /v1/tickets`."""

    ticket: str
    seat: str
    expires_in_ms: int


async def issue_ticket(
    config: Config, ticket_issuer: TicketIssuer, exchange: Exchange
) -> TicketDocument:
    """Return a new ticket; raise KeyMissing or KeyUnknown."""

    async def done(_: Exchange) -> None:
        return

    await authenticate(lambda: config)(exchange, done)
    if exchange.organisation is None:
        raise KeyMissing
    text = ticket_issuer.issue(exchange.organisation.name, anyio.current_time())
    return TicketDocument(
        ticket=text, seat=ticket_issuer.seat, expires_in_ms=int(TICKET_LIFE_S * 1000)
    )
