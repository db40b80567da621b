"""The gateway's own paths on the callers' port."""

import hashlib
from collections.abc import Awaitable, Callable

from pydantic import BaseModel

from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.tickets import TicketIssuer
from banyanseam.peers.entries import Entries
from banyanseam.pipe.authenticate import find_key
from banyanseam.pipe.models import Exchange, Headers
from banyanseam.pipe.tickets import issue_ticket
from banyanseam.server.reply import AsgiSend, send_body

OwnRoute = Callable[[Exchange, AsgiSend], Awaitable[None]]
_JSON: Headers = [(b"content-type", b"application/json")]
_JSON_NO_STORE: Headers = [*_JSON, (b"cache-control", b"no-store")]


class MethodNotAllowed(BanyanseamError):
    """The path belongs to the gateway and does not support the method."""

    code = "request.method_not_allowed"
    event = 1321
    status = 405
    title = "This path does not support the method"
    not_run = True


class HealthReply(BaseModel):
    """Result of a health check."""

    status: str


async def send_json(send: AsgiSend, status: int, reply: BaseModel) -> None:
    """Send a model as JSON that must not be cached."""
    await send_body(send, status, reply.model_dump_json().encode(), _JSON_NO_STORE)


def make_entries_route(list_entries: Callable[[str], Entries]) -> OwnRoute:
    """Return `GET /v1/entries`; the API key only spreads callers over the daemons."""

    async def answer(exchange: Exchange, send: AsgiSend) -> None:
        if exchange.method not in ("GET", "HEAD"):
            raise MethodNotAllowed(exchange.method)
        key = find_key(exchange.headers) or exchange.request_id.encode()
        # A digest, so that no list or log can reveal the key.
        caller = hashlib.sha256(key).hexdigest()
        await send_json(send, 200, list_entries(caller))

    return answer


def make_tickets_route(
    get_config: Callable[[], Config], ticket_issuer: TicketIssuer
) -> OwnRoute:
    """Return `POST /v1/tickets`, which issues a ticket to the API key's organisation.

    A ticket is an idempotency key that the daemon makes.
    """

    async def answer(exchange: Exchange, send: AsgiSend) -> None:
        if exchange.method != "POST":
            raise MethodNotAllowed(exchange.method)
        ticket = await issue_ticket(get_config(), ticket_issuer, exchange)
        await send_json(send, 200, ticket)

    return answer


def make_health_route(is_healthy: Callable[[], bool]) -> OwnRoute:
    """Return a route that answers 200 while `is_healthy` returns true, else 503."""

    async def answer(exchange: Exchange, send: AsgiSend) -> None:
        is_ok = is_healthy()
        reply = HealthReply(status="ready" if is_ok else "not ready")
        await send_json(send, 200 if is_ok else 503, reply)

    return answer
