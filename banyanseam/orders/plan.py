"""Plans the next step from an engine's state to the desired one; does no I/O.

Any two daemons with the same configuration plan the same step for the same state.
"""

from banyanseam.config.compiled import Desired, DesiredModel
from banyanseam.orders.models import EngineState, LoadedModel, Order


def plan_next(desired: Desired, state: EngineState, *, is_full: bool) -> Order | None:
    """Return the next order, or None if the engine is loading or needs no change.

    A role that differs is changed first, even while the engine is loading.
    New weights are loaded before old ones are unloaded, so that the engine keeps
    serving. Only if they don't fit (`is_full`), the old ones are unloaded first.
    """
    if state.role != desired.role:
        return Order("set_role", role=desired.role)
    if is_loading(state):
        return None
    order = None if is_full else _plan_load(desired, state)
    order = order or _plan_unload(desired, state) or _plan_load(desired, state)
    return order or _plan_adapter(desired, state)


def is_loading(state: EngineState) -> bool:
    """Return whether the engine is fetching weights."""
    return any(not model.is_ready for model in state.models)


def _plan_load(desired: Desired, state: EngineState) -> Order | None:
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


def _plan_unload(desired: Desired, state: EngineState) -> Order | None:
    for model in sorted(state.models, key=lambda loaded: (loaded.name, loaded.version)):
        if _find_desired(desired, model) is None:
            return Order("unload_model", model=model.name, version=model.version)
    return None


def _plan_adapter(desired: Desired, state: EngineState) -> Order | None:
    for model in sorted(state.models, key=lambda loaded: (loaded.name, loaded.version)):
        target = _find_desired(desired, model)
        if target is None:
            continue
        for adapter in sorted(target.adapters - model.adapters):
            return _make_adapter_order("load_adapter", model, adapter)
        for adapter in sorted(model.adapters - target.adapters):
            return _make_adapter_order("unload_adapter", model, adapter)
    return None


def _make_adapter_order(kind: str, model: LoadedModel, adapter: str) -> Order:
    return Order(kind, model=model.name, version=model.version, adapter=adapter)


def _find_desired(desired: Desired, model: LoadedModel) -> DesiredModel | None:
    target = desired.models.get(model.name)
    if target is None or target.version != model.version:
        return None
    return target
