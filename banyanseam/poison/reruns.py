"""Who runs a suspect again, and on which upstream; pure.

A suspect runs in one place at a time, so that it crashes at most one more upstream,
and no two suspects share an upstream, so that a crash names its cause.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rerun:
    """A run of a suspect under way; `upstream` is None where nobody chose it here."""

    fingerprint: bytes
    # The request's id and, after a space, the number of the try.
    holder: str
    upstream: str | None
    until_s: float


class Reruns:
    """The runs of suspects that this seat permitted or was told of."""

    def __init__(self) -> None:
        """Begin without any."""
        self._runs: dict[tuple[bytes, str], Rerun] = {}

    def ask(
        self,
        fingerprint: bytes,
        holder: str,
        upstreams: Sequence[str],
        now_s: float,
        until_s: float,
    ) -> Rerun | None:
        """Permit a run on the first upstream without a suspect, or return None.

        Without `upstreams` it may run on any: its crashes are explained. A request
        that asks again, perhaps from the daemon it was forwarded to, gets what it
        has while that is among its upstreams.
        """
        self._expire(now_s)
        own, others = [], []
        for run in self._runs.values():
            same = _request_of(run.holder) == _request_of(holder)
            (own if same else others).append(run)
        for run in own:
            if run.upstream in upstreams or not upstreams:
                return run
        if any(run.fingerprint == fingerprint for run in others):
            return None
        taken = {run.upstream for run in others}
        free = next((name for name in upstreams if name not in taken), None)
        if upstreams and free is None:
            return None
        run = Rerun(fingerprint, holder, free, until_s)
        self._runs[fingerprint, holder] = run
        return run

    def note(self, fingerprint: bytes, holder: str, until_s: float) -> None:
        """Note a run that began before the request was known as a suspect."""
        run = Rerun(fingerprint, holder, None, until_s)
        self._runs.setdefault((fingerprint, holder), run)

    def end(self, fingerprint: bytes, holder: str) -> None:
        """Forget a run that has ended."""
        self._runs.pop((fingerprint, holder), None)

    def _expire(self, now_s: float) -> None:
        for key, run in list(self._runs.items()):
            if now_s >= run.until_s:
                del self._runs[key]


def _request_of(holder: str) -> str:
    return holder.partition(" ")[0]
