"""Failures of reading or accepting a configuration."""

from banyanseam.errors import BanyanseamError


class InvalidConfig(BanyanseamError):
    """A document breaks a rule; `json_path` names where, the detail what to change."""

    code = "config.invalid"
    event = 1100
    status = 422
    title = "The configuration is not valid"
    not_run = True

    def __init__(self, json_path: str, detail: str) -> None:
        """Keep the path of the offending value beside the advice."""
        super().__init__(f"{json_path}: {detail}")
        self.json_path = json_path


class ConfigServiceUnavailable(BanyanseamError):
    """The configuration service did not answer."""

    code = "config.service_unavailable"
    event = 1101
    status = 503
    title = "The configuration service does not answer"
    not_run = True


class NotReady(BanyanseamError):
    """No configuration is in force yet, so no key can be checked."""

    code = "config.not_ready"
    event = 1102
    status = 503
    title = "This daemon has no configuration yet"
    not_run = True


class ConfigServiceOverLimit(ConfigServiceUnavailable):
    """The configuration service refuses more calls for now."""

    code = "config.service_over_limit"
    event = 1103
    title = "The configuration service is over its call limit"


class InconsistentValues(ConfigServiceUnavailable):
    """The values read do not belong to one version; reading again mends it."""

    code = "config.inconsistent_values"
    event = 1104
    title = "The values read are not of one version"
