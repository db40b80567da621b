"""Pass an upstream's answer on."""

from banyanseam.pipe.models import Exchange, Headers
from banyanseam.upstreams.client import UpstreamResponse


async def relay_plain(
    exchange: Exchange, response: UpstreamResponse, headers: Headers
) -> None:
    """Pass on the answer of a plain service, or an error of an engine, unread."""
    await exchange.reply.start(response.status, headers)
    async for chunk in response.body:
        await exchange.reply.send(chunk)
