"""Run a non-idempotent request with an idempotency key at most once."""

from collections.abc import Awaitable, Callable

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.client import HomeClient
from banyanseam.idempotency.const import KEY_HEADER, MAX_KEY_LENGTH, TICKET_PREFIX
from banyanseam.idempotency.errors import (
    GrantTooLate,
    HomeUnreachable,
    IssuerGone,
    KeyMalformed,
    KeyRegionExcluded,
    OutcomeUnknown,
)
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.keyed_request import (
    KeyedRequest,
    make_claim,
    make_keyed_request,
)
from banyanseam.idempotency.models import RunOutcome, Scope, State, Verdict
from banyanseam.idempotency.tickets import Ticket, TicketIssuer, is_ticket
from banyanseam.peers.errors import PeerCallLost, PeerUnreachable
from banyanseam.peers.messages import PeerIdentity
from banyanseam.pipe.errors import ForwardLost
from banyanseam.pipe.models import Exchange, Filter, Next
from banyanseam.pipe.replay import RecordingSink, replay

# Forwards the exchange to the daemon at a seat.
RunAtSeat = Callable[[Exchange, str], Awaitable[None]]
# Returns the region of a published seat; None for a seat that is not published.
FindRegion = Callable[[str], str | None]


class LocalTicketHome:
    """Claims this process's own tickets in its own memory."""

    def __init__(self, me: PeerIdentity, home: Home, ticket: Ticket) -> None:
        """Use `home`, this process's own memory, to claim one ticket."""
        self._me = me
        self._home = home
        self._ticket = ticket

    async def acquire(self, keyed: KeyedRequest) -> Verdict:
        """Return a grant or the answer of the first run."""
        while True:
            claim = make_claim(keyed, self._me)
            verdict = await self._home.claim_ticket(claim, self._ticket)
            if verdict.granted or verdict.state is State.DONE:
                return verdict

    def finish(self, keyed: KeyedRequest, outcome: RunOutcome) -> None:
        """Record the outcome of the run."""
        self._home.finish(keyed.scope, keyed.claim_id, outcome)

    async def release(self, keyed: KeyedRequest) -> bool:
        """Release an unused ticket; return whether no other request claimed it."""
        return self._home.release(keyed.scope, keyed.claim_id)


KeyHome = HomeClient | LocalTicketHome


def read_key(exchange: Exchange) -> str | None:
    """Return the idempotency key of an exchange; raise KeyMalformed."""
    value = exchange.find_header(KEY_HEADER)
    if value is None:
        return None
    key = value.strip().removeprefix(b'"').removesuffix(b'"')
    if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isascii():
        raise KeyMalformed
    text = key.decode("ascii")
    if not text.isprintable():
        raise KeyMalformed
    return text


def run_at_most_once(
    me: PeerIdentity,
    ticket_issuer: TicketIssuer,
    homes: Homes,
    client: HomeClient,
    run_at_seat: RunAtSeat,
    find_region: FindRegion,
) -> Filter:
    """Return the filter; it passes on idempotent, granted and keyless requests as is.

    Without a key, a resend cannot be told from a new request.
    """

    async def filter_(exchange: Exchange, next_: Next) -> None:
        key = None if exchange.is_idempotent else read_key(exchange)
        if key is None or exchange.is_granted:
            await next_(exchange)
        elif is_ticket(key):
            await use_ticket(exchange, next_, key)
        else:
            await run_claimed(exchange, next_, client, key)

    async def use_ticket(exchange: Exchange, next_: Next, key: str) -> None:
        ticket = ticket_issuer.read(key, get_organisation_name(exchange))
        if homes.covers(ticket):
            home = LocalTicketHome(me, homes.own, ticket)
            await run_claimed(exchange, next_, home, make_ticket_key(ticket))
        elif exchange.forwarder is not None or ticket.seat == me.seat:
            raise IssuerGone
        else:
            await forward_to_issuer(exchange, next_, ticket)

    async def forward_to_issuer(
        exchange: Exchange, next_: Next, ticket: Ticket
    ) -> None:
        region = find_region(ticket.seat)
        if region is None:
            raise IssuerGone
        if exchange.regions is not None and region not in exchange.regions:
            raise KeyRegionExcluded(region)
        try:
            await run_at_seat(exchange, ticket.seat)
        except PeerUnreachable:
            await run_by_standby(exchange, next_, ticket)
        except (PeerCallLost, ForwardLost) as error:
            if exchange.reply.started:
                raise
            # An earlier send may have reached the issuer, so `not_run` cannot be
            # claimed even for a request that never left this daemon.
            raise IssuerGone from error

    async def run_by_standby(exchange: Exchange, next_: Next, ticket: Ticket) -> None:
        """Run the request here if a standby of the issuer's seat grants its ticket."""
        try:
            await run_claimed(exchange, next_, client, make_ticket_key(ticket), ticket)
        except HomeUnreachable as error:
            raise IssuerGone from error

    return filter_


def make_ticket_key(ticket: Ticket) -> str:
    """Return the key under which a ticket is stored."""
    return TICKET_PREFIX + ticket.ticket_id.hex()


def get_organisation_name(exchange: Exchange) -> str:
    """Return the organisation's name, or "" on a route open to all."""
    return exchange.organisation.name if exchange.organisation else ""


async def run_claimed(
    exchange: Exchange,
    next_: Next,
    home: KeyHome,
    key: str,
    ticket: Ticket | None = None,
) -> None:
    """Run the exchange if its key is granted, or replay the first run's answer."""
    keyed = make_keyed_request(
        Scope(get_organisation_name(exchange), key),
        exchange.route.name,
        exchange.fingerprint,
        exchange.received_s,
        exchange.deadline_s,
        ticket,
    )
    verdict = await _acquire(exchange, home, keyed)
    if verdict.answer is not None:
        await replay(verdict.answer, exchange.reply)
        return
    # The home confirmed that no earlier send of this key ran.
    exchange.may_have_run = False
    exchange.is_granted = True
    # A process that was suspended may hold an expired grant.
    if anyio.current_time() >= exchange.deadline_s:
        await _release(home, keyed, GrantTooLate())
        raise GrantTooLate
    await _run(exchange, next_, home, keyed)


async def _acquire(exchange: Exchange, home: KeyHome, keyed: KeyedRequest) -> Verdict:
    try:
        return await home.acquire(keyed)
    except BanyanseamError as error:
        # A refusal by the home with `not_run` covers earlier sends too.
        exchange.may_have_run = not error.not_run
        raise
    except anyio.get_cancelled_exc_class() as error:
        if anyio.current_time() < exchange.deadline_s:
            raise
        # DeadlineExceeded would claim `not_run`, while another send of this key may
        # be running.
        raise OutcomeUnknown from error


async def _run(
    exchange: Exchange, next_: Next, home: KeyHome, keyed: KeyedRequest
) -> None:
    reply = exchange.reply
    sink = exchange.reply = RecordingSink(reply)
    try:
        await next_(exchange)
    except BaseException as error:
        if exchange.upstream_started or sink.started:
            home.finish(keyed, RunOutcome(is_known=False))
            raise
        await _release(home, keyed, error)
        raise
    finally:
        exchange.reply = reply
    home.finish(keyed, sink.make_outcome())
    if sink.failure is not None:
        raise sink.failure


async def _release(home: KeyHome, keyed: KeyedRequest, error: BaseException) -> None:
    """Release a key that did not run; raise OutcomeUnknown if it may still run."""
    is_exclusive = await home.release(keyed)
    if not is_exclusive and getattr(error, "not_run", True):
        raise OutcomeUnknown from error
