"""Records the times of one request at an upstream for the performance observer."""

from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.observer import PerformanceObserver
from banyanseam.entry.performance.samples import Run
from banyanseam.entry.placing import Placement


class RunRecorder:
    """The times of one request, from its write to the end of its answer."""

    def __init__(
        self,
        observer: PerformanceObserver,
        tag: int,
        placement: Placement,
        prompt: Prompt | None,
    ) -> None:
        """Start before the request is written to the upstream with this tag."""
        self._observer = observer
        self._tag = tag
        self._placement = placement
        self._prompt = prompt
        self._sent_s: float | None = None
        self._first_s: float | None = None

    def record_write(self, now_s: float) -> None:
        """Record that the request is being written."""
        self._sent_s = now_s

    def record_first(self, now_s: float) -> None:
        """Record the first event, or the answer of a service without engines."""
        if self._sent_s is None:
            return
        self._first_s = now_s
        self._observer.record_first(self._tag, self._make_run(now_s))

    def record_end(self, last_s: float, events: int) -> None:
        """Record that the answer is whole; `last_s`: the time of its last event."""
        if self._first_s is not None:
            self._observer.record_stream(self._tag, self._make_run(last_s, events))

    def _make_run(self, last_s: float, events: int = 0) -> Run:
        return Run(
            self._placement,
            self._prompt,
            self._sent_s,
            self._first_s,
            last_s,
            events,
        )
