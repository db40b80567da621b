"""Notice that a caller has closed a connection that is not being read."""

import asyncio
import select


def has_hung_up(transport: asyncio.Transport) -> bool:
    """Return whether the other side has closed or reset the connection.

    The end of a connection is not read before the bytes ahead of it, but the kernel
    knows of it. Source: POLLRDHUP of Linux's poll(2).
    """
    socket = transport.get_extra_info("socket")
    if socket is None:
        return False
    poller = select.poll()
    poller.register(socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
