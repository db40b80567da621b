"""Refuse a request that already passed one of our daemons."""

from banyanseam.pipe.const import VIA_NAME
from banyanseam.pipe.errors import LoopDetected
from banyanseam.pipe.models import Exchange, Next

_VIA_NAME = VIA_NAME.encode()


async def refuse_loops(exchange: Exchange, next_: Next) -> None:
    """Pass on only what no daemon of ours has sent; see Via in RFC 9110."""
    via = (value for name, value in exchange.headers if name == b"via")
    if any(_VIA_NAME in value.lower() for value in via):
        raise LoopDetected
    await next_(exchange)
