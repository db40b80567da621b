"""Counts and latencies of requests, by route and organisation, in bounded memory."""

from collections import Counter
from collections.abc import Iterator, Mapping

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.observe.histograms import Histograms, Series


class Metrics:
    """Counters and latency histograms of the requests of this process."""

    def __init__(self, closed_connections: Mapping[str, int]) -> None:
        """Count from zero; render the counts of closed connections by cause too."""
        self.histograms = Histograms(anyio.current_time())
        self.closed_connections = closed_connections
        self.ends: Counter[tuple[str, str]] = Counter()

    def record_end(
        self,
        route: str,
        organisation: str,
        received_s: float,
        now_s: float,
        first_s: float | None,
        error: BanyanseamError | None,
    ) -> None:
        """Count a request that has ended, and record its latencies if it succeeded."""
        self.ends[route, "ok" if error is None else error.code] += 1
        if error is not None:
            return
        self.histograms.record(
            organisation, route, "duration_ms", (now_s - received_s) * 1000, now_s
        )
        if first_s is not None:
            self.histograms.record(
                organisation,
                route,
                "first_token_ms",
                (first_s - received_s) * 1000,
                now_s,
            )

    def _iterate(self) -> Iterator[Series]:
        for organisation in (None, *self.histograms.list_organisations()):
            yield from self.histograms.iterate(organisation, None)

    def render(self) -> str:
        """Return all counters and percentiles in the Prometheus text format."""
        lines = ["# TYPE banyanseam_requests_total counter"]
        for (route, end), count in sorted(self.ends.items()):
            lines.append(
                f'banyanseam_requests_total{{route="{route}",end="{end}"}} {count}'
            )
        lines.append("# TYPE banyanseam_connections_closed_total counter")
        for cause, count in sorted(self.closed_connections.items()):
            lines.append(
                f'banyanseam_connections_closed_total{{cause="{cause}"}} {count}'
            )
        for series in self._iterate():
            labels = f'route="{series.request_class}"'
            if series.organisation is not None:
                labels += f',organisation="{series.organisation}"'
            name = f"banyanseam_{series.measure}"
            for percentile, value in series.percentiles.items():
                quantile = percentile / 100
                lines.append(f'{name}{{{labels},quantile="{quantile:g}"}} {value}')
            lines.append(f"{name}_count{{{labels}}} {series.count}")
        return "\n".join(lines) + "\n"
