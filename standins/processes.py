"""Start, signal and stop child processes, each by its own process id."""

import atexit
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
POLL_S = 0.02


@dataclass(slots=True)
class Child:
    """One child process that was started here."""

    name: str
    command: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes]
    address: str = ""

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited yet."""
        return self.popen.poll() is None

    @property
    def survives_hangup(self) -> bool:
        """Return whether the process ignores or handles SIGHUP.

        A Python process cannot before its first line: SIGHUP ends the interpreter.
        """
        if not self.is_running:
            return False
        status = Path(f"/proc/{self.pid}/status").read_text()
        masks = dict(line.split(":\t") for line in status.splitlines() if ":\t" in line)
        return any(int(masks.get(name, "0"), 16) & 1 for name in ("SigIgn", "SigCgt"))

    def read_root(self) -> Path:
        """Return the folder that the running process imports our packages from.

        Raise RuntimeError if its working folder isn't the one of its PYTHONPATH, or if
        it has ended.
        """
        process = Path("/proc") / str(self.pid)
        # The kernel shows it only some time after `Popen` returned.
        variables = b""
        while self.is_running and not variables:
            variables = process.joinpath("environ").read_bytes()
            time.sleep(0.001)
        if not self.is_running:
            raise RuntimeError(f"{self.name} has ended")
        root = process.joinpath("cwd").readlink()
        if f"PYTHONPATH={root}".encode() not in variables.split(b"\0"):
            raise RuntimeError(f"{self.name} has another PYTHONPATH than {root}")
        return root

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.is_running:
            os.kill(self.pid, number)

    async def wait(self, timeout_s: float = START_TIMEOUT_S) -> int:
        """Wait for the exit and return the exit code; raise TimeoutError."""
        with anyio.fail_after(timeout_s):
            while True:
                if not self.is_running:
                    return self.popen.returncode
                await anyio.sleep(POLL_S)

    async def read_announcement(self) -> dict[str, Any]:
        """Return the line that a stand-in prints once it listens."""
        with anyio.fail_after(START_TIMEOUT_S):
            line = await anyio.to_thread.run_sync(
                self.popen.stdout.readline, abandon_on_cancel=True
            )
        if not line:
            raise RuntimeError(f"{self.name} ended: {self.read_log()[-2000:]}")
        announcement = json.loads(line)
        self.address = announcement["address"]
        return announcement

    def read_log(self) -> str:
        """Return the content of the process's log file."""
        return self.log_path.read_text(errors="replace")


@dataclass(slots=True)
class Children:
    """All child processes started here; `close` kills those still running."""

    folder: Path
    running: list[Child] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Kill the processes also if the program exits without calling `close`."""
        atexit.register(self.close)

    def start(
        self, name: str, *command: str, log_output: bool = False, root: Path = ROOT
    ) -> Child:
        """Start a Python module; its standard error goes to a log file in the folder.

        Standard output goes there as well if `log_output`, otherwise to a pipe. The
        module and all of our packages are those below `root`.
        """
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdin=subprocess.DEVNULL,
                stdout=log if log_output else subprocess.PIPE,
                stderr=log,
                cwd=root,
                env=os.environ | {"PYTHONPATH": str(root)},
            )
        child = Child(name, list(command), log_path, popen)
        self.running.append(child)
        return child

    def close(self) -> None:
        """Kill the processes that still run and reap all of them."""
        atexit.unregister(self.close)
        for child in self.running:
            child.signal(signal.SIGKILL)
        for child in self.running:
            child.popen.wait()
            if child.popen.stdout is not None:
                child.popen.stdout.close()
        self.running.clear()
