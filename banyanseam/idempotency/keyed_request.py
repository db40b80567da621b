"""A received request with a key, and the claim that it makes."""

import secrets
from dataclasses import dataclass

import anyio

from banyanseam.idempotency.const import CLAIM_ID_BYTES
from banyanseam.idempotency.messages import ClaimKey, ClaimTicket
from banyanseam.idempotency.models import Claim, Scope
from banyanseam.idempotency.tickets import Ticket
from banyanseam.peers.messages import PeerIdentity


@dataclass(slots=True)
class KeyedRequest:
    """One receipt of a request that has a key; each resend is a separate receipt."""

    scope: Scope
    route: str
    fingerprint: str
    claim_id: bytes
    received_s: float
    deadline_s: float
    # The ticket, if the key is one.
    ticket: Ticket | None = None
    # The home seat that was asked last; the outcome of the run is reported to it.
    home_seat: str = ""
    # True while a claim may have been granted without a reply having arrived.
    may_be_granted: bool = False


def make_keyed_request(
    scope: Scope,
    route: str,
    fingerprint: str,
    received_s: float,
    deadline_s: float,
    ticket: Ticket | None = None,
) -> KeyedRequest:
    """Return a keyed request with a new claim id, unique to this receipt."""
    claim_id = secrets.token_bytes(CLAIM_ID_BYTES)
    return KeyedRequest(
        scope, route, fingerprint, claim_id, received_s, deadline_s, ticket
    )


def make_claim(keyed: KeyedRequest, me: PeerIdentity) -> Claim:
    """Return the claim that this process makes now."""
    now_s = anyio.current_time()
    return Claim(
        keyed.scope,
        keyed.fingerprint,
        keyed.claim_id,
        me.seat,
        me.incarnation,
        run_s=max(0.0, keyed.deadline_s - now_s),
        age_s=max(0.0, now_s - keyed.received_s),
    )


def pack_claim(claim: Claim, keyed: KeyedRequest) -> ClaimKey:
    """Return the message that sends a claim to the home."""
    fields = {
        "home": keyed.home_seat,
        "organisation": claim.scope.organisation,
        "key": claim.scope.key,
        "claim_id": claim.claim_id,
        "route": keyed.route,
        "fingerprint": claim.fingerprint,
        "run_ms": int(claim.run_s * 1000) + 1,
        "age_ms": int(claim.age_s * 1000),
    }
    if keyed.ticket is None:
        return ClaimKey(**fields)
    return ClaimTicket(
        incarnation=keyed.ticket.incarnation,
        expires_ms=keyed.ticket.expires_ms,
        **fields,
    )
