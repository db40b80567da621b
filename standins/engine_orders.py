"""Execute orders to a model engine to load and unload models and adapters."""

from dataclasses import dataclass, field
from typing import Any

import anyio

# Rate at which weights are read from the store if the order sets no rate.
STORE_BYTES_PER_S = 1e9


@dataclass(slots=True)
class LoadedModel:
    """A loaded model and the time at which it becomes ready."""

    ready_s: float
    weight_bytes: int
    adapters: set[str] = field(default_factory=set)


@dataclass(slots=True)
class OrderExecutor:
    """Executes an engine's orders and tracks its models and the accepted orders."""

    checks_fencing: bool = True
    # Limit on the weights loaded at the same time; a load beyond it is refused.
    weight_limit_bytes: int = 10**15
    # Size in bytes of the weights in the store, by model name, for every version.
    weights: dict[str, int] = field(default_factory=dict)
    role: str = "mixed"
    fencing: int = 0
    models: dict[tuple[str, int], LoadedModel] = field(default_factory=dict)
    accepted: list[dict[str, Any]] = field(default_factory=list)

    def describe(self) -> dict[str, Any]:
        """Return the answer to `GET /orders`."""
        now_s = anyio.current_time()
        return {
            "role": self.role,
            "fencing": self.fencing,
            "models": [
                {
                    "name": name,
                    "version": version,
                    "state": "ready" if now_s >= loaded.ready_s else "loading",
                    "adapters": sorted(loaded.adapters),
                }
                for (name, version), loaded in sorted(self.models.items())
            ],
        }

    def list_ready(self) -> list[str]:
        """Return the models and adapters that can serve."""
        now_s = anyio.current_time()
        ready = {
            name
            for (model, _), loaded in self.models.items()
            if now_s >= loaded.ready_s
            for name in (model, *loaded.adapters)
        }
        return sorted(ready)

    def execute(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Execute an order; return the HTTP status and the answer."""
        if self.checks_fencing and order["fencing"] < self.fencing:
            return 409, {"error": "old fencing number", "fencing": self.fencing}
        self.fencing = max(self.fencing, order["fencing"])
        handlers = {
            "set_role": self._set_role,
            "load_model": self._load,
            "unload_model": self._unload,
            "load_adapter": self._load_adapter,
            "unload_adapter": self._unload_adapter,
        }
        if order["kind"] not in handlers:
            return 400, {"error": "unknown order kind"}
        status = handlers[order["kind"]](order)
        if status < 300:
            self.accepted.append(order | {"at_s": anyio.current_time()})
        return status, self.describe()

    def _set_role(self, order: dict[str, Any]) -> int:
        self.role = order["role"]
        return 200

    def _load(self, order: dict[str, Any]) -> int:
        key = order["model"], order["version"]
        if key in self.models:
            return 200
        weight_bytes = self.weights.get(order["model"], 0)
        held_bytes = sum(model.weight_bytes for model in self.models.values())
        if held_bytes + weight_bytes > self.weight_limit_bytes:
            return 507
        rate = order.get("max_bytes_per_s") or STORE_BYTES_PER_S
        ready_s = anyio.current_time() + weight_bytes / rate
        self.models[key] = LoadedModel(ready_s, weight_bytes)
        return 202

    def _unload(self, order: dict[str, Any]) -> int:
        self.models.pop((order["model"], order["version"]), None)
        return 200

    def _load_adapter(self, order: dict[str, Any]) -> int:
        loaded = self.models.get((order["model"], order["version"]))
        if loaded is None:
            return 404
        loaded.adapters.add(order["adapter"])
        return 200

    def _unload_adapter(self, order: dict[str, Any]) -> int:
        loaded = self.models.get((order["model"], order["version"]))
        if loaded is not None:
            loaded.adapters.discard(order["adapter"])
        return 200
