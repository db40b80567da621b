"""Draw one SVG plot for each comparison in build/bench.json.

A plot shows the latest record of each deployment and seed, and puts figures that were
measured in memory beside those of daemon processes.
"""

import json
from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from bench.deployments import SHAPES  # noqa: E402
from bench.results import RESULTS_PATH  # noqa: E402

PLOTS_PATH = Path(__file__).resolve().parent.parent / "docs" / "plots"
BAR_WIDTH = 0.4
IN_MEMORY = "memory"

Key = tuple[str, str]
Bars = dict[str, dict]


def split_name(name: str) -> tuple[str, str]:
    """Return a figure's name without its deployment, and the deployment."""
    stem, _, last = name.rpartition(".")
    return (stem, last) if last in SHAPES else (name, IN_MEMORY)


def group_records(records: list[dict]) -> dict[Key, Bars]:
    """Return the latest records of each comparison by the label of their bars."""
    groups: dict[Key, Bars] = defaultdict(dict)
    for record in records:
        if record.get("baseline_value") is None:
            continue
        name, deployment = split_name(record["name"])
        baseline = record["baseline"].replace("_", " ")
        groups[name, baseline][f"{deployment}\n{record.get('seed') or ''}"] = record
    return groups


def draw(name: str, baseline: str, bars: Bars) -> None:
    """Draw measured values beside their baselines."""
    labels = sorted(bars)
    records = [bars[label] for label in labels]
    width = 2.5 + 0.7 * len(labels)
    figure, axes = pyplot.subplots(figsize=(width, 3), layout="constrained")
    for offset, field, legend in (
        (-BAR_WIDTH / 2, "value", "banyanseam"),
        (BAR_WIDTH / 2, "baseline_value", baseline),
    ):
        positions = [position + offset for position in range(len(labels))]
        values = [record[field] for record in records]
        axes.bar(positions, values, BAR_WIDTH, label=legend)
    axes.set_xticks(range(len(labels)), labels, fontsize=7)
    axes.set_ylabel(records[0]["unit"].partition(" (")[0])
    axes.set_title(name, fontsize=9)
    axes.legend(fontsize=7)
    file_name = f"{name}-{baseline}".replace(".", "-").replace(" ", "-")
    path = PLOTS_PATH / f"{file_name}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    lines = path.read_text().splitlines()
    path.write_text("\n".join(line.rstrip() for line in lines) + "\n")


def main() -> None:
    """Draw every comparison of the last runs that has a non-zero value."""
    PLOTS_PATH.mkdir(parents=True, exist_ok=True)
    matplotlib.rcParams["svg.hashsalt"] = "banyanseam"
    matplotlib.rcParams["svg.fonttype"] = "none"
    groups = group_records(json.loads(RESULTS_PATH.read_text()))
    for (name, baseline), bars in groups.items():
        records = bars.values()
        if any(record["value"] or record["baseline_value"] for record in records):
            draw(name, baseline, bars)


if __name__ == "__main__":
    main()
