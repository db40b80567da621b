"""Record durations and failures of requests, in histograms and counters."""

from collections import Counter

import anyio

from banyanseam.daemon.lifecycle import Lifecycle
from banyanseam.errors import BanyanseamError
from banyanseam.observe.histograms import Histograms, Measure
from banyanseam.pipe.models import Exchange


class RequestRecorder:
    """Statistics of the requests that this process received from callers."""

    def __init__(self, histograms: Histograms, lifecycle: Lifecycle) -> None:
        """Begin with empty counters; the life cycle counts the requests in flight."""
        self.histograms = histograms
        self._lifecycle = lifecycle
        self.failures: Counter[str] = Counter()

    def begin(self) -> None:
        """Count a request that has arrived."""
        self._lifecycle.request_started()

    def end(self, exchange: Exchange, error: BanyanseamError | None) -> None:
        """Count a request that has ended, with or without an error."""
        self._lifecycle.request_ended()
        if error is not None:
            self.failures[error.code] += 1
        if exchange.route is None:
            return
        now_s = anyio.current_time()
        organisation = exchange.organisation.name if exchange.organisation else None
        request_class = exchange.route.request_class
        end_times_s: dict[Measure, float | None] = {
            "duration_ms": now_s,
            "queue_wait_ms": exchange.granted_s,
            "first_token_ms": exchange.reply.first_sent_s,
        }
        for measure, end_s in end_times_s.items():
            if end_s is not None:
                elapsed_ms = (end_s - exchange.received_s) * 1000
                self.histograms.record(
                    organisation, request_class, measure, elapsed_ms, now_s
                )
