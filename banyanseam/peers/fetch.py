"""Fetch a response of a platform service, bounded in size and time."""

from dataclasses import dataclass

import anyio
import httpcore

from banyanseam.peers.errors import PlatformUnreadable


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A complete HTTP response."""

    status: int
    content: bytes


async def fetch(
    pool: httpcore.AsyncConnectionPool, url: str, timeout_s: float, max_bytes: int
) -> PlatformResponse:
    """Return the response to a GET request; raise PlatformUnreadable.

    The timeout covers the complete response: a service that trickles single bytes
    must not block the calling task.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with pool.stream("GET", url) as response:
                content = await _read(response, max_bytes)
                return PlatformResponse(response.status, content)
    except (TimeoutError, httpcore.TimeoutException) as error:
        raise PlatformUnreadable("no complete response in time") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise PlatformUnreadable(type(error).__name__) from error


async def _read(response: httpcore.Response, max_bytes: int) -> bytes:
    content = bytearray()
    async for chunk in response.aiter_stream():
        content += chunk
        if len(content) > max_bytes:
            raise PlatformUnreadable(f"the response exceeds {max_bytes} bytes")
    return bytes(content)
