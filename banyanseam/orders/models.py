"""State of engines and orders: pydantic models for messages, internal dataclasses."""

from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

# "held back": this seat may not give orders to the engine, as it is not the leader or,
# for an engine that ignores fencing numbers, an earlier leader may still give them.
Progress = Literal[
    "not seen", "held back", "as desired", "changing", "waiting", "failed"
]
OrderKind = Literal[
    "set_role", "load_model", "unload_model", "load_adapter", "unload_adapter"
]


class ModelDocument(BaseModel):
    """A model in an engine's answer to `GET /orders`."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    version: int
    state: Literal["loading", "ready"]
    adapters: list[str] = Field(default_factory=list)


class StateDocument(BaseModel):
    """An engine's answer to `GET /orders`; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    role: str
    models: list[ModelDocument]


class OrderDocument(BaseModel):
    """The body of `POST /orders`."""

    fencing: int
    kind: OrderKind
    role: str | None = None
    model: str | None = None
    version: int | None = None
    adapter: str | None = None
    max_bytes_per_s: int | None = None


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that an engine has loaded or is loading."""

    name: str
    version: int
    is_ready: bool
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports."""

    role: str
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True)
class Order:
    """One step towards the desired state; idempotent."""

    kind: OrderKind
    role: str | None = None
    model: str | None = None
    version: int | None = None
    adapter: str | None = None
    # Size of the weights that a load fetches from the weight store.
    weight_bytes: int = 0
