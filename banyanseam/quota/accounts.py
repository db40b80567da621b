"""The accounts of one home, updated from the configuration; no I/O."""

import math
from collections.abc import Iterator

from banyanseam.config.compiled import Config, Organisation
from banyanseam.quota.account import Account
from banyanseam.quota.const import Timing
from banyanseam.quota.parts import HomeAssignment
from banyanseam.quota.share import Quota, Share


class Accounts:
    """The accounts of the organisations that a seat is a home of."""

    def __init__(self, seat: str, parts: HomeAssignment, timing: Timing) -> None:
        """Start without a configuration."""
        self._seat = seat
        self._parts = parts
        self._timing = timing
        self._config: Config | None = None
        self._by_name: dict[str, Account] = {}
        # Accounts that may have pending work; the others are skipped until marked busy.
        self._busy: set[str] = set()

    def __iter__(self) -> Iterator[Account]:
        """Iterate over a copy of the current accounts."""
        return iter(list(self._by_name.values()))

    def list_busy(self) -> list[Account]:
        """Return the accounts that may have time-driven work."""
        return [self._by_name[name] for name in self._busy if name in self._by_name]

    def mark_busy(self, organisation: str) -> bool:
        """Mark an account as busy; return whether it was idle."""
        is_new = organisation in self._by_name and organisation not in self._busy
        if is_new:
            self._busy.add(organisation)
        return is_new

    def drop_idle(self, now_s: float) -> None:
        """Unmark the busy accounts that have become idle."""
        self._busy = {
            account.organisation
            for account in self.list_busy()
            if not account.is_idle(now_s)
        }

    def find(self, organisation: str) -> Account | None:
        """Return an organisation's account, or None if this seat is no home of it."""
        return self._by_name.get(organisation)

    def apply_config(self, config: Config, now_s: float) -> None:
        """Apply a configuration: lower parts at once, raise them after `withhold_s`."""
        if config is self._config:
            return
        last, self._config = self._config, config
        skipped = last is not None and config.version > last.version + 1
        for organisation in config.organisations.values():
            units = self._parts.units_of(config, organisation, self._seat)
            account = self._by_name.get(organisation.name)
            if account is None and not units:
                continue
            if account is None:
                account = self._open(organisation, now_s)
                # No home can hold a part of an organisation that was just added.
                is_new = last is not None and not skipped
                if is_new and organisation.name not in last.organisations:
                    account.share.open_full(units, now_s)
            self._apply(account, organisation, units, skipped, now_s)
        for name, account in self._by_name.items():
            if name not in config.organisations:
                account.share.set_own_units(0, now_s)
                self._retire(account, now_s)
        self._busy = set(self._by_name)

    def _open(self, organisation: Organisation, now_s: float) -> Account:
        quota = Quota(organisation.rate_tokens_per_s, organisation.burst_tokens)
        share = Share(quota, self._timing, now_s)
        account = Account(organisation.name, share)
        self._by_name[organisation.name] = account
        return account

    def _apply(
        self,
        account: Account,
        organisation: Organisation,
        units: int,
        skipped: bool,
        now_s: float,
    ) -> None:
        quota = Quota(organisation.rate_tokens_per_s, organisation.burst_tokens)
        if quota != account.share.quota:
            account.share.set_quota(quota, now_s)
        account.share.set_own_units(units, now_s, skipped=skipped)
        if units:
            account.remove_at_s = math.inf
        else:
            self._retire(account, now_s)

    def _retire(self, account: Account, now_s: float) -> None:
        """Schedule an account's removal, not before its bucket would be full again."""
        quota = account.share.quota
        fill_s = quota.burst_tokens / quota.rate_tokens_per_s
        removal_delay_s = max(fill_s, self._timing.withhold_s)
        account.remove_at_s = min(account.remove_at_s, now_s + removal_delay_s)

    def restart(self, now_s: float) -> None:
        """Reset every account's share to the state of a new process."""
        self._busy = set(self._by_name)
        for account in self._by_name.values():
            account.share.restart(now_s)

    def forget_old(self, now_s: float) -> None:
        """Drop old results and the accounts that are due for removal."""
        for name, account in list(self._by_name.items()):
            account.forget_old(now_s)
            if account.remove_at_s <= now_s:
                del self._by_name[name]
