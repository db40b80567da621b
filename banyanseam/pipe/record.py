"""Record each exchange once it has ended, however it ended."""

from collections.abc import Callable

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import REQUEST_ENDED, REQUEST_FAILED, log
from banyanseam.pipe.models import Exchange, Filter, Next

Recorder = Callable[[Exchange, float], None]


def record(recorder: Recorder) -> Filter:
    """Return the outermost filter; `recorder` gets the exchange and seconds taken."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        try:
            await next_(exchange)
        except BanyanseamError as error:
            _log(exchange, error)
            raise
        finally:
            recorder(exchange, anyio.current_time() - exchange.received_s)
        _log(exchange, None)

    return filter_


def _log(exchange: Exchange, error: BanyanseamError | None) -> None:
    duration_s = anyio.current_time() - exchange.received_s
    log(
        REQUEST_FAILED if error else REQUEST_ENDED,
        request_id=exchange.request_id,
        organisation=exchange.organisation.name if exchange.organisation else None,
        route=exchange.route.name if exchange.route else None,
        upstream=exchange.upstream,
        duration_ms=round(duration_s * 1000, 1),
        code=error.code if error else None,
        upstream_started=exchange.upstream_started,
    )
