"""Failures of giving orders to engines."""

from banyanseam.errors import BanyanseamError


class OrderRefused(BanyanseamError):
    """The engine has an order of a newer configuration."""

    code = "orders.refused"
    event = 1950
    status = 409
    title = "The engine refuses the order, for it knows a newer one"


class EngineFull(BanyanseamError):
    """The engine has no room for what it should load."""

    code = "orders.engine_full"
    event = 1951
    status = 507
    title = "The engine has no room for what it should load"


class OrderFailed(BanyanseamError):
    """The engine did not take the order, or does not say what it has loaded."""

    code = "orders.failed"
    event = 1952
    status = 502
    title = "The engine did not take the order"
