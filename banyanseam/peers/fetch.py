"""Read an answer of the platform, bounded in bytes and in time."""

from dataclasses import dataclass

import anyio
import httpcore

from banyanseam.peers.errors import PlatformUnreadable


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A whole answer."""

    status: int
    content: bytes


async def fetch(
    pool: httpcore.AsyncConnectionPool, url: str, timeout_s: float, max_bytes: int
) -> PlatformAnswer:
    """Return what a GET answers; raise PlatformUnreadable.

    The time holds for the whole answer: a service that sends a byte now and then must
    not hold the reader up.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with pool.stream("GET", url) as response:
                content = await _read(response, max_bytes)
                return PlatformAnswer(response.status, content)
    except (TimeoutError, httpcore.TimeoutException) as error:
        raise PlatformUnreadable("no whole answer in time") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise PlatformUnreadable(type(error).__name__) from error


async def _read(response: httpcore.Response, max_bytes: int) -> bytes:
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > max_bytes:
            raise PlatformUnreadable(f"an answer of more than {max_bytes} bytes")
    return bytes(content)
