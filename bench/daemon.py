"""Run the daemon with baselines that the bench can switch on during a run."""

import sys
from pathlib import Path

from banyanseam.daemon.main import main
from bench.baselines import PolicySwitch, install_baselines

POLICY_FILE = "policy"


def find_policy_path(settings_path: Path) -> Path:
    """Return the path of the file in which the bench names the policy in force."""
    return settings_path.parent / POLICY_FILE


if __name__ == "__main__":
    install_baselines(PolicySwitch(find_policy_path(Path(sys.argv[-1]))))
    main()
