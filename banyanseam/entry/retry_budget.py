"""A retry budget for each service over all VMs, divided between them."""

from dataclasses import dataclass

from banyanseam.entry.const import RETRY_BUDGET_SHARE
from banyanseam.entry.models import Bounds


@dataclass(slots=True)
class _Account:
    level: float
    updated_s: float


class RetryBudget:
    """This process's part of the retry budgets of all services.

    Its requests earn retries, and it has a share of the extra retries of the fleet. An
    account holds at most half of that share and refills the other half over a window,
    so that no sliding window contains more extra retries than the share.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Start without accounts; each opens with half of its share."""
        self.bounds = bounds
        self._accounts: dict[str, _Account] = {}

    def record_request(self, service: str, vms: int, now_s: float) -> None:
        """Count a first attempt, which earns a fraction of a retry."""
        account = self._get(service, vms, now_s)
        earned = self.bounds.retry_ratio * RETRY_BUDGET_SHARE
        account.level = min(account.level + earned, self._cap(vms) + 1)

    def try_spend(self, service: str, vms: int, now_s: float) -> bool:
        """Spend one retry if there is one; return whether it may be made."""
        account = self._get(service, vms, now_s)
        if account.level < 1:
            return False
        account.level -= 1
        return True

    def has_retry(self, service: str, vms: int, now_s: float) -> bool:
        """Return whether a retry could be made now."""
        return self._get(service, vms, now_s).level >= 1

    def _cap(self, vms: int) -> float:
        return self.bounds.retry_extra * RETRY_BUDGET_SHARE / 2 / max(vms, 1)

    def _get(self, service: str, vms: int, now_s: float) -> _Account:
        cap = self._cap(vms)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(cap, now_s)
        elapsed_s = now_s - account.updated_s
        account.updated_s = now_s
        refilled = account.level + elapsed_s * cap / self.bounds.retry_window_s
        # An account that opened before this process knew its peers holds no more than
        # its share of those that it knows now, with what the last request has earned.
        account.level = min(max(account.level, min(refilled, cap)), cap + 1)
        return account
