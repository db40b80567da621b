"""Failures of giving orders to engines."""

from banyanseam.errors import BanyanseamError


class OrderRefused(BanyanseamError):
    """The engine has received an order of a newer configuration."""

    code = "orders.refused"
    event = 1950
    status = 409
    title = "The engine refused the order as outdated"


class EngineFull(BanyanseamError):
    """The engine has not enough free memory for the model that it should load."""

    code = "orders.engine_full"
    event = 1951
    status = 507
    title = "The engine has not enough free memory for the model"


class OrderFailed(BanyanseamError):
    """The engine did not accept the order, or did not report its state."""

    code = "orders.failed"
    event = 1952
    status = 502
    title = "The engine did not accept the order"
