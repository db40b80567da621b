import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.config.compiled import Desired, DesiredModel
from banyanseam.orders.models import EngineState, LoadedModel, Order
from banyanseam.orders.plan import plan_next

NAMES = st.sampled_from(("oak", "elm"))
ADAPTERS = st.frozensets(st.sampled_from(("a", "b")))
VERSIONS = st.integers(1, 2)


def make_desired(*models, role="mixed"):
    """Return a desired state; each model is given by name, version and adapters."""
    found = {
        name: DesiredModel(name, version, 100, frozenset(adapters))
        for name, version, adapters in models
    }
    return Desired(found, role)


def make_state(*models, role="mixed"):
    """Return a state; a model whose adapters are None is still loading."""
    return EngineState(
        role,
        tuple(
            LoadedModel(name, version, adapters is not None, frozenset(adapters or ()))
            for name, version, adapters in models
        ),
    )


def apply(order: Order, state: EngineState) -> EngineState:
    """Return the state after the engine has carried out an order."""
    models = {(one.name, one.version): one.adapters for one in state.models}
    key = order.model, order.version
    if order.kind == "set_role":
        return EngineState(order.role, state.models)
    if order.kind == "load_model":
        models[key] = frozenset()
    elif order.kind == "unload_model":
        del models[key]
    elif order.kind == "load_adapter":
        models[key] |= {order.adapter}
    else:
        models[key] -= {order.adapter}
    return make_state(*((*name, held) for name, held in models.items()))


class PlanTests(unittest.TestCase):
    def test_next_steps(self):
        desired = make_desired(("oak", 2, "a"))
        for state, is_full, expected in (
            (make_state(role="decode"), False, ("set_role", None, None)),
            (make_state(), False, ("load_model", 2, None)),
            (make_state(("oak", 2, None)), False, None),
            (make_state(("oak", 1, "a")), False, ("load_model", 2, None)),
            (make_state(("oak", 1, "a")), True, ("unload_model", 1, None)),
            (make_state(("oak", 1, "a"), ("oak", 2, None)), False, None),
            (make_state(("oak", 1, ""), ("oak", 2, "")), 0, ("unload_model", 1, None)),
            (make_state(("oak", 2, "")), False, ("load_adapter", 2, "a")),
            (make_state(("oak", 2, "ab")), False, ("unload_adapter", 2, "b")),
            (make_state(("oak", 2, "a")), False, None),
        ):
            with self.subTest(state=state, is_full=is_full):
                order = plan_next(desired, state, is_full=is_full)
                found = order and (order.kind, order.version, order.adapter)
                self.assertEqual(found, expected)

    @given(
        st.lists(st.tuples(NAMES, VERSIONS, ADAPTERS), unique_by=lambda one: one[0]),
        st.lists(st.tuples(NAMES, VERSIONS, ADAPTERS), unique_by=lambda one: one[:2]),
        st.sampled_from(("mixed", "decode")),
        st.booleans(),
    )
    def test_every_state_converges_to_the_desired_one(
        self, wanted, held, role, is_full
    ):
        desired, state = make_desired(*wanted, role=role), make_state(*held)
        for _ in range(30):
            order = plan_next(desired, state, is_full=is_full)
            if order is None:
                break
            after = apply(order, state)
            if not is_full:
                self.assert_keeps_serving(desired, state, after)
            state = after
        self.assertEqual(state.role, role)
        found = {(one.name, one.version, one.adapters) for one in state.models}
        self.assertEqual(found, set(wanted))

    def assert_keeps_serving(self, desired, before, after):
        """Check that each desired model keeps at least one loaded version."""
        names = {one.name for one in before.models} & set(desired.models)
        self.assertLessEqual(names, {one.name for one in after.models})
