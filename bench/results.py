"""Store the figures of all benches as one list in build/bench.json."""

import fcntl
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

RESULTS_PATH = Path(__file__).resolve().parent.parent / "build" / "bench.json"
LOCK_PATH = RESULTS_PATH.with_suffix(".lock")


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value beside its baseline, taken in the same run."""

    name: str
    value: float
    unit: str
    baseline: str | None = None
    baseline_value: float | None = None
    seed: int | None = None

    @property
    def ratio(self) -> float | None:
        """Return value over baseline, or None if the baseline is missing or zero."""
        return self.value / self.baseline_value if self.baseline_value else None

    def describe(self) -> dict[str, object]:
        """Return the figure as a record of the JSON list."""
        return {**asdict(self), "ratio": self.ratio}


def append(figures: Iterable[Figure | dict[str, object]]) -> None:
    """Print the figures and append them to the list."""
    records = [
        figure.describe() if isinstance(figure, Figure) else figure
        for figure in figures
    ]
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    with LOCK_PATH.open("w") as lock:
        # Concurrent benches append to the same list.
        fcntl.flock(lock, fcntl.LOCK_EX)
        existing = json.loads(RESULTS_PATH.read_text()) if RESULTS_PATH.exists() else []
        RESULTS_PATH.write_text(json.dumps(existing + records, indent=1) + "\n")
    for record in records:
        baseline = ""
        if record.get("baseline"):
            baseline = f" ({record['baseline']}: {record['baseline_value']:.6g})"
        print(f"{record['name']}: {record['value']:.6g} {record['unit']}{baseline}")
