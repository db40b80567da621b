"""Refuse a request that already passed through a daemon of this gateway."""

from banyanseam.pipe.const import VIA_NAME
from banyanseam.pipe.errors import LoopDetected
from banyanseam.pipe.models import Exchange, Next

_VIA_NAME = VIA_NAME.encode()


async def refuse_loops(exchange: Exchange, next_: Next) -> None:
    """Raise LoopDetected if the Via header (RFC 9110) names this gateway."""
    via = (value for name, value in exchange.headers if name == b"via")
    if any(_VIA_NAME in value.lower() for value in via):
        raise LoopDetected
    await next_(exchange)
