"""Both ends of a new link prove that they hold the fleet secret."""

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
    """The listener's first message: its version and a nonce to sign."""

    kind = "link.challenge"

    version: int
    nonce: bytes


class Hello(Message):
    """The dialler's answer: who it is, whom it dials, and its proof."""

    kind = "link.hello"

    version: int
    seat: str
    incarnation: int
    dialled_seat: str
    nonce: bytes
    proof: bytes


class Welcome(Message):
    """The listener's proof; the link is open from here on."""

    kind = "link.welcome"

    seat: str
    incarnation: int
    proof: bytes


class Refusal(Message):
    """The listener's last message on a link that it does not accept."""

    kind = "link.refusal"

    code: str
    detail: str
    newest_incarnation: int = 0


Expected = TypeVar("Expected", bound=Message)
Send = Callable[[bytes], Awaitable[None]]
Receive = Callable[[], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class Handshake:
    """What a process brings to each handshake."""

    me: PeerIdentity
    secret: bytes
    # Raise PeerRefused or PeerSuperseded when the peer may not link.
    admit: Callable[[PeerIdentity], None]

    def sign(self, role: str, nonces: bytes, peer: PeerIdentity, other: str) -> bytes:
        """Return the proof that `peer` in its role holds the secret."""
        claim = f"{role}|{peer.seat}|{peer.incarnation}|{other}".encode()
        return hmac.digest(self.secret, nonces + claim, hashlib.sha256)


async def _say(send: Send, message: Message) -> None:
    await send(encode(Envelope(0, False, message)))


async def _hear(receive: Receive, expected: type[Expected]) -> Expected:
    message = decode(await receive()).message
    if isinstance(message, Refusal):
        raise _explain(message)
    if not isinstance(message, expected):
        raise InvalidPeerMessage(f"{expected.kind} was due, not {message.kind}")
    return message


def _explain(refusal: Refusal) -> PeerRefused:
    if refusal.code == PeerSuperseded.code:
        return PeerSuperseded(refusal.detail, refusal.newest_incarnation)
    if refusal.code == PeerProtocolMismatch.code:
        return PeerProtocolMismatch(refusal.detail)
    return PeerRefused(refusal.detail)


def _refuse(error: PeerRefused) -> Refusal:
    newest = error.newest_incarnation if isinstance(error, PeerSuperseded) else 0
    return Refusal(code=error.code, detail=error.detail, newest_incarnation=newest)


async def dial_handshake(
    shake: Handshake, seat: str, send: Send, receive: Receive
) -> PeerIdentity:
    """Prove oneself to a listener and check its proof; raise PeerRefused."""
    challenge = await _hear(receive, Challenge)
    if challenge.version != PROTOCOL_VERSION:
        raise PeerProtocolMismatch(f"version {challenge.version} of {seat}")
    nonce = secrets.token_bytes(NONCE_BYTES)
    nonces = challenge.nonce + nonce
    hello = Hello(
        version=PROTOCOL_VERSION,
        seat=shake.me.seat,
        incarnation=shake.me.incarnation,
        dialled_seat=seat,
        nonce=nonce,
        proof=shake.sign("dial", nonces, shake.me, seat),
    )
    await _say(send, hello)
    welcome = await _hear(receive, Welcome)
    peer = PeerIdentity(welcome.seat, welcome.incarnation)
    proof = shake.sign("listen", nonces, peer, shake.me.seat)
    if seat not in ("", welcome.seat) or not hmac.compare_digest(proof, welcome.proof):
        raise PeerRefused(f"{seat} did not prove itself")
    shake.admit(peer)
    return peer


async def listen_handshake(
    shake: Handshake, send: Send, receive: Receive
) -> PeerIdentity:
    """Check a dialler's proof and give one's own; raise PeerRefused."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _say(send, Challenge(version=PROTOCOL_VERSION, nonce=nonce))
    try:
        hello = await _hear(receive, Hello)
        peer = _check_hello(shake, hello, nonce)
        shake.admit(peer)
    except PeerRefused as error:
        await _say(send, _refuse(error))
        raise
    proof = shake.sign("listen", nonce + hello.nonce, shake.me, peer.seat)
    welcome = Welcome(seat=shake.me.seat, incarnation=shake.me.incarnation, proof=proof)
    await _say(send, welcome)
    return peer


def _check_hello(shake: Handshake, hello: Hello, nonce: bytes) -> PeerIdentity:
    if hello.version != PROTOCOL_VERSION:
        raise PeerProtocolMismatch(
            f"this daemon speaks version {PROTOCOL_VERSION}, not {hello.version}"
        )
    peer = PeerIdentity(hello.seat, hello.incarnation)
    proof = shake.sign("dial", nonce + hello.nonce, peer, hello.dialled_seat)
    # A dialler that has no configuration yet names no seat.
    wrong_seat = hello.dialled_seat not in ("", shake.me.seat)
    if wrong_seat or not hmac.compare_digest(proof, hello.proof):
        raise PeerRefused("the proof does not hold")
    return peer
