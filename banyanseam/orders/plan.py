"""The next step from what an engine has to what it should have; pure.

Any two daemons that hold the same configuration and see the same state of an engine
come to the same step.
"""

from banyanseam.config.compiled import Desired, DesiredModel
from banyanseam.orders.models import EngineState, LoadedModel, Order


def plan_next(desired: Desired, state: EngineState, *, is_full: bool) -> Order | None:
    """Return the next order, or None while the engine loads or is as desired.

    New weights are loaded before old ones are dropped, so that the engine serves
    meanwhile; only where they don't fit (`is_full`) the old ones go first.
    """
    if state.role != desired.role:
        return Order("set_role", role=desired.role)
    if is_loading(state):
        return None
    order = None if is_full else _load_next(desired, state)
    order = order or _unload_next(desired, state) or _load_next(desired, state)
    return order or _adapt_next(desired, state)


def is_loading(state: EngineState) -> bool:
    """Say whether the engine is fetching weights."""
    return any(not model.is_ready for model in state.models)


def _load_next(desired: Desired, state: EngineState) -> Order | None:
    loaded = {(model.name, model.version) for model in state.models}
    for name, model in sorted(desired.models.items()):
        if (name, model.version) not in loaded:
            return Order(
                "load_model",
                model=name,
                version=model.version,
                weight_bytes=model.weight_bytes,
            )
    return None


def _unload_next(desired: Desired, state: EngineState) -> Order | None:
    for model in sorted(state.models, key=lambda one: (one.name, one.version)):
        if _find_desired(desired, model) is None:
            return Order("unload_model", model=model.name, version=model.version)
    return None


def _adapt_next(desired: Desired, state: EngineState) -> Order | None:
    for model in sorted(state.models, key=lambda one: (one.name, one.version)):
        wanted = _find_desired(desired, model)
        if wanted is None:
            continue
        for adapter in sorted(wanted.adapters - model.adapters):
            return _adapt("load_adapter", model, adapter)
        for adapter in sorted(model.adapters - wanted.adapters):
            return _adapt("unload_adapter", model, adapter)
    return None


def _adapt(kind: str, model: LoadedModel, adapter: str) -> Order:
    return Order(kind, model=model.name, version=model.version, adapter=adapter)


def _find_desired(desired: Desired, model: LoadedModel) -> DesiredModel | None:
    wanted = desired.models.get(model.name)
    if wanted is None or wanted.version != model.version:
        return None
    return wanted
