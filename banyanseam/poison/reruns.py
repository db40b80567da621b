"""Permits to rerun a suspect on a given upstream; no I/O.

A suspect has one run at a time, so that it crashes at most one more upstream, and no
two suspects share an upstream, so that a crash identifies its cause.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rerun:
    """A suspect's run in progress; `upstream` is None if this seat assigned none."""

    fingerprint: bytes
    # The request id and, after a space, the number of the attempt.
    holder: str
    upstream: str | None
    until_s: float


class Reruns:
    """The runs of suspects that this seat permitted or received reports of."""

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: dict[tuple[bytes, str], Rerun] = {}

    def request(
        self,
        fingerprint: bytes,
        holder: str,
        upstreams: Sequence[str],
        now_s: float,
        until_s: float,
    ) -> Rerun | None:
        """Permit a run on the first upstream without a suspect, or return None.

        An empty `upstreams` permits any, as condemned requests explain the suspect's
        crashes. A repeat by the same request, perhaps from the daemon it was forwarded
        to, gets its existing permit while that upstream is among `upstreams`.
        """
        self._expire(now_s)
        own_runs, other_runs = [], []
        for run in self._runs.values():
            is_own = _request_of(run.holder) == _request_of(holder)
            (own_runs if is_own else other_runs).append(run)
        for run in own_runs:
            if run.upstream in upstreams or not upstreams:
                return run
        if any(run.fingerprint == fingerprint for run in other_runs):
            return None
        busy = {run.upstream for run in other_runs}
        free = next((name for name in upstreams if name not in busy), None)
        if upstreams and free is None:
            return None
        run = Rerun(fingerprint, holder, free, until_s)
        self._runs[fingerprint, holder] = run
        return run

    def record(self, fingerprint: bytes, holder: str, until_s: float) -> None:
        """Record a run that began before its request became a suspect."""
        run = Rerun(fingerprint, holder, None, until_s)
        self._runs.setdefault((fingerprint, holder), run)

    def end(self, fingerprint: bytes, holder: str) -> None:
        """Remove a run that has ended."""
        self._runs.pop((fingerprint, holder), None)

    def _expire(self, now_s: float) -> None:
        for key, run in list(self._runs.items()):
            if now_s >= run.until_s:
                del self._runs[key]


def _request_of(holder: str) -> str:
    return holder.partition(" ")[0]
