"""Read the processor time and memory of a process from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise ProcessLookupError(pid)
