"""Mutual authentication: both ends of a link prove that they hold the fleet secret."""

import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from banyanseam.peers.const import NONCE_BYTES, PROTOCOL_VERSION
from banyanseam.peers.errors import (
    InvalidPeerMessage,
    PeerProtocolMismatch,
    PeerRefused,
    PeerSuperseded,
)
from banyanseam.peers.messages import Envelope, Message, PeerIdentity, decode, encode


class Challenge(Message):
    """The listener's first message: its protocol version and a nonce to sign."""

    kind = "link.challenge"

    version: int
    nonce: bytes


class Hello(Message):
    """The dialler's reply: its identity, the dialled seat and its proof."""

    kind = "link.hello"

    version: int
    seat: str
    incarnation: int
    dialled_seat: str
    nonce: bytes
    proof: bytes


class Welcome(Message):
    """The listener's proof, which completes the handshake."""

    kind = "link.welcome"

    seat: str
    incarnation: int
    proof: bytes


class Refusal(Message):
    """The listener's last message on a link that it refuses."""

    kind = "link.refusal"

    code: str
    detail: str
    newest_incarnation: int = 0


Expected = TypeVar("Expected", bound=Message)
Send = Callable[[bytes], Awaitable[None]]
Receive = Callable[[], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class Handshake:
    """The identity, secret and admission check that a process uses in handshakes."""

    me: PeerIdentity
    secret: bytes
    # Raises PeerRefused or PeerSuperseded when the peer may not link.
    admit: Callable[[PeerIdentity], None]

    def sign(
        self, role: str, nonces: bytes, peer: PeerIdentity, other_seat: str
    ) -> bytes:
        """Return the proof, an HMAC, that `peer`, in its role, holds the secret."""
        claim = f"{role}|{peer.seat}|{peer.incarnation}|{other_seat}".encode()
        return hmac.digest(self.secret, nonces + claim, hashlib.sha256)


async def _send_message(send: Send, message: Message) -> None:
    await send(encode(Envelope(0, False, message)))


async def _receive_message(receive: Receive, expected: type[Expected]) -> Expected:
    message = decode(await receive()).message
    if isinstance(message, Refusal):
        raise _refusal_to_error(message)
    if not isinstance(message, expected):
        raise InvalidPeerMessage(f"expected {expected.kind}, received {message.kind}")
    return message


def _refusal_to_error(refusal: Refusal) -> PeerRefused:
    if refusal.code == PeerSuperseded.code:
        return PeerSuperseded(refusal.detail, refusal.newest_incarnation)
    if refusal.code == PeerProtocolMismatch.code:
        return PeerProtocolMismatch(refusal.detail)
    return PeerRefused(refusal.detail)


def _error_to_refusal(error: PeerRefused) -> Refusal:
    newest = error.newest_incarnation if isinstance(error, PeerSuperseded) else 0
    return Refusal(code=error.code, detail=error.detail, newest_incarnation=newest)


async def dial_handshake(
    handshake: Handshake, seat: str, send: Send, receive: Receive
) -> PeerIdentity:
    """Run the dialler's side; return the authenticated peer or raise PeerRefused."""
    challenge = await _receive_message(receive, Challenge)
    if challenge.version != PROTOCOL_VERSION:
        raise PeerProtocolMismatch(
            f"protocol version {challenge.version} of {seat} is not supported"
        )
    nonce = secrets.token_bytes(NONCE_BYTES)
    nonces = challenge.nonce + nonce
    hello = Hello(
        version=PROTOCOL_VERSION,
        seat=handshake.me.seat,
        incarnation=handshake.me.incarnation,
        dialled_seat=seat,
        nonce=nonce,
        proof=handshake.sign("dial", nonces, handshake.me, seat),
    )
    await _send_message(send, hello)
    welcome = await _receive_message(receive, Welcome)
    peer = PeerIdentity(welcome.seat, welcome.incarnation)
    proof = handshake.sign("listen", nonces, peer, handshake.me.seat)
    if seat not in ("", welcome.seat) or not hmac.compare_digest(proof, welcome.proof):
        raise PeerRefused(f"{seat} failed to authenticate")
    handshake.admit(peer)
    return peer


async def listen_handshake(
    handshake: Handshake, send: Send, receive: Receive
) -> PeerIdentity:
    """Run the listener's side; return the authenticated peer or raise PeerRefused."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send_message(send, Challenge(version=PROTOCOL_VERSION, nonce=nonce))
    try:
        hello = await _receive_message(receive, Hello)
        peer = _check_hello(handshake, hello, nonce)
        handshake.admit(peer)
    except PeerRefused as error:
        await _send_message(send, _error_to_refusal(error))
        raise
    proof = handshake.sign("listen", nonce + hello.nonce, handshake.me, peer.seat)
    welcome = Welcome(
        seat=handshake.me.seat, incarnation=handshake.me.incarnation, proof=proof
    )
    await _send_message(send, welcome)
    return peer


def _check_hello(handshake: Handshake, hello: Hello, nonce: bytes) -> PeerIdentity:
    if hello.version != PROTOCOL_VERSION:
        raise PeerProtocolMismatch(
            f"this daemon uses protocol version {PROTOCOL_VERSION}, not {hello.version}"
        )
    peer = PeerIdentity(hello.seat, hello.incarnation)
    proof = handshake.sign("dial", nonce + hello.nonce, peer, hello.dialled_seat)
    # A dialler without a configuration does not know the seat and leaves it empty.
    wrong_seat = hello.dialled_seat not in ("", handshake.me.seat)
    if wrong_seat or not hmac.compare_digest(proof, hello.proof):
        raise PeerRefused("the proof does not hold")
    return peer
