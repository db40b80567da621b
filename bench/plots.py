"""One plot for each comparison in build/bench.json, as SVG."""

import json
from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from bench.results import RESULTS_PATH  # noqa: E402

PLOTS_PATH = Path(__file__).resolve().parent.parent / "docs" / "plots"


def draw(name: str, records: list[dict]) -> None:
    """Draw a measured value beside its baseline for each seed."""
    figure, axes = pyplot.subplots(figsize=(5, 3), layout="constrained")
    places = range(len(records))
    baseline = records[0]["baseline"]
    axes.bar([x - 0.2 for x in places], [r["value"] for r in records], 0.4)
    axes.bar([x + 0.2 for x in places], [r["baseline_value"] for r in records], 0.4)
    axes.set_xticks(list(places), [f"seed {r['seed']}" for r in records])
    axes.set_ylabel(records[0]["unit"])
    axes.set_title(name)
    axes.legend(["banyanseam", baseline])
    file_name = name.replace(".", "-").replace(" ", "-")
    figure.savefig(PLOTS_PATH / f"{file_name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main() -> None:
    """Draw every comparison of the last runs."""
    PLOTS_PATH.mkdir(parents=True, exist_ok=True)
    matplotlib.rcParams["svg.hashsalt"] = "banyanseam"
    groups: dict[tuple[str, str], dict[int, dict]] = defaultdict(dict)
    for record in json.loads(RESULTS_PATH.read_text()):
        if record.get("baseline_value") is not None:
            key = (record["name"], record["baseline"])
            groups[key][record.get("seed") or 0] = record
    for (name, baseline), by_seed in groups.items():
        records = [by_seed[seed] for seed in sorted(by_seed)]
        draw(f"{name} against {baseline}", records)


if __name__ == "__main__":
    main()
