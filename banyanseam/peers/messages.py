"""Messages between daemons: CBOR maps that are validated on receipt.

Each feature defines its messages next to its code; a subclass registers itself under
its `kind`.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

import cbor2
from pydantic import BaseModel, ConfigDict, ValidationError

from banyanseam.peers.errors import InvalidPeerMessage

_TYPES_BY_KIND: dict[str, type["Message"]] = {}


class Message(BaseModel):
    """Base class of all messages; subclasses set their `kind`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: ClassVar[str] = ""

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Register the subclass so that its kind can be decoded."""
        super().__init_subclass__(**kwargs)
        if cls.kind:
            registered = _TYPES_BY_KIND.setdefault(cls.kind, cls)
            if registered.__qualname__ != cls.__qualname__:
                raise TypeError(
                    f"kind {cls.kind} is registered by {registered.__qualname__}"
                )


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """A process, identified by its seat and incarnation."""

    seat: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the number of the call that it opens or answers, 0 for neither."""

    call: int
    is_reply: bool
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as CBOR."""
    message = envelope.message
    return cbor2.dumps(
        [message.kind, envelope.call, envelope.is_reply, message.model_dump()]
    )


def decode(data: bytes) -> Envelope:
    """Decode and validate an envelope; raise InvalidPeerMessage."""
    try:
        kind, call, is_reply, body = cbor2.loads(data)
        message = _TYPES_BY_KIND[kind].model_validate(body)
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        if isinstance(error, ValidationError):
            first = error.errors(include_input=False, include_url=False)[0]
            raise InvalidPeerMessage(f"{first['loc']}: {first['msg']}") from error
        raise InvalidPeerMessage(type(error).__name__) from error
    if not isinstance(call, int) or not isinstance(is_reply, bool):
        raise InvalidPeerMessage(
            "the envelope's call number or reply flag is not valid"
        )
    return Envelope(call, is_reply, message)


class Failure(Message):
    """The reply to a call that was rejected or failed, with the error's stable code."""

    kind = "failure"

    code: str
    detail: str
    not_run: bool
    retry_after_ms: int | None = None
