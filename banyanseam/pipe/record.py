"""Record each exchange when it ends, with or without an error."""

from typing import Protocol

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import REQUEST_ENDED, REQUEST_FAILED, log
from banyanseam.pipe.models import Exchange, Filter, Next


class Recorder(Protocol):
    """Counts exchanges; see `banyanseam.daemon.recorder`."""

    def begin(self) -> None:
        """Count an exchange that has come in."""
        ...

    def end(self, exchange: Exchange, error: BanyanseamError | None) -> None:
        """Count an exchange that has ended."""
        ...


def record(recorder: Recorder) -> Filter:
    """Return the filter that counts and logs exchanges; it must be the outermost."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        sink = exchange.reply
        failure: BanyanseamError | None = None
        recorder.begin()
        try:
            await next_(exchange)
        except BanyanseamError as error:
            failure = error
            raise
        finally:
            # Filters may have replaced the sink by a wrapper; the original one holds
            # the time of the first byte.
            exchange.reply = sink
            recorder.end(exchange, failure)
            _log(exchange, failure)

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
