"""End a model's stream when the key that it runs for is withdrawn.

A plain service's answer goes on to its end; docs/design/keys.md says why.
"""

from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.pipe.authenticate import check_key
from banyanseam.pipe.errors import KeyUnknown, KeyWithdrawn
from banyanseam.pipe.models import Exchange, Filter, Headers, Next, ReplySink


class KeyCheckedReply:
    """A reply that passes a part on only while the key is published."""

    def __init__(self, reply: ReplySink, check: Callable[[], None]) -> None:
        """Stand before a reply; `check` raises once the key is withdrawn."""
        self._reply = reply
        self._check = check

    @property
    def started(self) -> bool:
        """Say whether the status was handed to the reply."""
        return self._reply.started

    @property
    def first_sent_s(self) -> float | None:
        """Return when the first part was handed to the reply."""
        return self._reply.first_sent_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers; raise KeyWithdrawn."""
        self._check()
        await self._reply.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body; raise KeyWithdrawn."""
        self._check()
        await self._reply.send(data)


def end_withdrawn_streams(get_config: Callable[[], Config]) -> Filter:
    """Return the filter; it holds each part of a model's answer to the key."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        if exchange.route is None or not exchange.route.is_model:
            await next_(exchange)
            return

        checked: Config | None = None

        def check() -> None:
            nonlocal checked
            config = get_config()
            # A configuration never changes; only another one can withdraw a key.
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
