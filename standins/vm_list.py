"""The platform's list of live and leaving VMs, served with a lag."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Literal

import anyio
import click

from standins.serving import Request, run_process, serve_forever

State = Literal["live", "leaving"]
STATES = ("live", "leaving")
VMS_PREFIX = "/control/vms/"


@dataclass(slots=True)
class VmList:
    """History of the VMs' states; readers get the states as of `lag_ms` ago."""

    lag_ms: float = 1000
    # Each version of the list, with the time from which it was valid.
    history: deque[tuple[float, dict[str, State]]] = field(
        default_factory=lambda: deque([(0.0, {})])
    )

    def set_state(self, name: str, state: State | None) -> None:
        """Change one VM's state; None removes it from the list."""
        if state not in (None, *STATES):
            raise ValueError(f"the state must be null or one of {STATES}")
        vms = dict(self.history[-1][1])
        vms.pop(name, None)
        if state is not None:
            vms[name] = state
        self.history.append((anyio.current_time(), vms))

    def list_visible(self, now_s: float) -> dict[str, State]:
        """Return the list as of `lag_ms` ago."""
        as_of_s = now_s - self.lag_ms / 1000
        while len(self.history) > 1 and self.history[1][0] <= as_of_s:
            self.history.popleft()
        return self.history[0][1]

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path == "/v1/vms" and request.method == "GET":
            await request.answer(200, self._describe())
        elif request.path.startswith(VMS_PREFIX) and request.method == "PUT":
            name = request.path.removeprefix(VMS_PREFIX)
            self.set_state(name, request.read_json()["state"])
            await request.answer(200, {"vms": self.history[-1][1]})
        elif request.path == "/control" and request.method == "PUT":
            self.lag_ms = float(request.read_json()["lag_ms"])
            await request.answer(200, {"lag_ms": self.lag_ms})
        else:
            await request.answer(404, {"error": "no such path"})

    def _describe(self) -> dict[str, Any]:
        shown = self.list_visible(anyio.current_time())
        vms = [{"name": name, "state": state} for name, state in sorted(shown.items())]
        return {"vms": vms, "as_of_ms_ago": round(self.lag_ms)}


@click.command()
@click.option("--port", default=0)
@click.option("--name", default="vm-list")
@click.option("--lag-ms", default=1000.0)
def main(port: int, name: str, lag_ms: float) -> None:
    """Run the VM list."""
    run_process(serve_forever, name, VmList(lag_ms=lag_ms).handle, port)


if __name__ == "__main__":
    main()
