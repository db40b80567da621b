"""What engines say and are told; pydantic at the border, data classes inside."""

from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

# "held back" is an engine that ignores fencing numbers, while another seat may order.
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
    """An engine's answer to `GET /orders`; fields unknown here are passed over."""

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
    """A model that an engine has or is loading."""

    name: str
    version: int
    is_ready: bool
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself."""

    role: str
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True)
class Order:
    """One step towards what is desired; giving it twice does no more than once."""

    kind: OrderKind
    role: str | None = None
    model: str | None = None
    version: int | None = None
    adapter: str | None = None
    # What a load fetches from the weight store.
    weight_bytes: int = 0
