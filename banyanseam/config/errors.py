"""Errors of reading or validating a configuration."""

from banyanseam.errors import BanyanseamError


class InvalidConfig(BanyanseamError):
    """A document is invalid at `json_path`; the detail says what to change."""

    code = "config.invalid"
    event = 1100
    status = 422
    title = "The configuration is not valid"
    not_run = True

    def __init__(self, json_path: str, detail: str) -> None:
        """Store the path of the invalid value and the advice."""
        super().__init__(f"{json_path}: {detail}")
        self.json_path = json_path


class ConfigServiceUnavailable(BanyanseamError):
    """The configuration service gave no usable reply."""

    code = "config.service_unavailable"
    event = 1101
    status = 503
    title = "The configuration service gave no usable reply"
    not_run = True


class NotReady(BanyanseamError):
    """No configuration that is new enough for the request is in force yet."""

    code = "config.not_ready"
    event = 1102
    status = 503
    title = "This daemon has no configuration yet"
    not_run = True


class ConfigServiceOverLimit(ConfigServiceUnavailable):
    """The configuration service rejects calls above its rate limit."""

    code = "config.service_over_limit"
    event = 1103
    title = "The calls to the configuration service exceed its limit"


class InconsistentValues(ConfigServiceUnavailable):
    """The values read aren't of the same version; a retry reads them again."""

    code = "config.inconsistent_values"
    event = 1104
    title = "The values read are not of the same version"
