"""End a model's stream when the API key of its request is withdrawn.

A plain service's answer continues to its end; docs/design/keys.md gives the reason.
"""

from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.pipe.authenticate import check_key
from banyanseam.pipe.errors import KeyUnknown, KeyWithdrawn
from banyanseam.pipe.models import Exchange, Filter, Headers, Next, ReplySink


class KeyCheckedReply:
    """A reply that sends data only while the key is published."""

    def __init__(self, reply: ReplySink, check: Callable[[], None]) -> None:
        """Wrap a reply; `check` raises once the key is withdrawn."""
        self._reply = reply
        self._check = check

    @property
    def started(self) -> bool:
        """Return whether the status was passed to the reply."""
        return self._reply.started

    @property
    def first_sent_s(self) -> float | None:
        """Return when the first chunk was passed to the reply."""
        return self._reply.first_sent_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers; raise KeyWithdrawn."""
        self._check()
        await self._reply.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; raise KeyWithdrawn."""
        self._check()
        await self._reply.send(data)


def end_withdrawn_streams(get_config: Callable[[], Config]) -> Filter:
    """Return the filter; it checks the key before each chunk of a model's answer."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        if exchange.route is None or not exchange.route.is_model:
            await next_(exchange)
            return

        checked: Config | None = None

        def check() -> None:
            nonlocal checked
            config = get_config()
            # Configurations are immutable, so only a new one can withdraw a key.
            if config is checked:
                return
            try:
                check_key(config, exchange)
            except KeyUnknown as error:
                raise KeyWithdrawn from error
            checked = config

        reply = exchange.reply
        exchange.reply = KeyCheckedReply(reply, check)
        try:
            await next_(exchange)
        finally:
            exchange.reply = reply

    return filter_
