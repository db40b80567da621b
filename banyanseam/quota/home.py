"""The home's side of quota: handles charges, settlements and loan requests."""

import math
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import QUOTA_WITHHELD, log
from banyanseam.peers.contract import Network
from banyanseam.peers.messages import PeerIdentity
from banyanseam.quota.account import Account, ChargeOutcome
from banyanseam.quota.accounts import Accounts
from banyanseam.quota.borrower import Borrower
from banyanseam.quota.const import (
    CHARGE_REPEAT_S,
    DEFAULT_TIMING,
    IDLE_TICK_S,
    TICK_S,
    Timing,
)
from banyanseam.quota.loans import Amount
from banyanseam.quota.messages import (
    ChargeReply,
    ChargeRequest,
    LoanReply,
    LoanRequest,
    PreviewQuota,
    QuotaPreview,
    RenewReply,
    RenewRequest,
    ReturnNotice,
    SettleNotice,
)
from banyanseam.quota.parts import HomeAssignment


class QuotaHome:
    """Manages this seat's parts of the organisations that it is a home of."""

    def __init__(
        self,
        seat: str,
        region: str,
        network: Network,
        get_config: Callable[[], Config],
        is_alive: Callable[[str], bool],
        *,
        timing: Timing = DEFAULT_TIMING,
        clock: Callable[[], float] = anyio.current_time,
        check_suspension: Callable[[], object] | None = None,
    ) -> None:
        """Register the message handlers; `run` does the periodic work.

        `clock` should include the time that the VM was suspended. `check_suspension`
        calls `restart` if the process was suspended; it is called before anything is
        spent. Create the home right after process start: parts are withheld for a time
        that begins with the first configuration seen here.
        """
        self.seat = seat
        self._check_suspension = check_suspension
        self._get_config = get_config
        self._clock = clock
        self.parts = HomeAssignment()
        self.accounts = Accounts(seat, self.parts, timing)
        self._borrower = Borrower(
            seat,
            region,
            network,
            self.accounts,
            self.parts,
            get_config,
            is_alive,
            clock,
        )
        self._events: dict[str, anyio.Event] = {}
        self._wake = anyio.Event()
        self._last_sweep_s = -math.inf
        network.handle_call(ChargeRequest, self._on_charge)
        network.handle_cast(SettleNotice, self._on_settle)
        network.handle_call(PreviewQuota, self._on_preview)
        network.handle_call(LoanRequest, self._on_loan)
        network.handle_call(RenewRequest, self._on_renew)
        network.handle_cast(ReturnNotice, self._on_return)

    def restart(self, now_s: float) -> None:
        """Discard all tokens and loans held before a detected suspension.

        Call it before any other work of the resumed process, and also when a newer
        process was seen at this seat.
        """
        log(QUOTA_WITHHELD, seat=self.seat)
        self.accounts.restart(now_s)

    def _find_account(self, organisation: str) -> Account | None:
        if self._check_suspension is not None:
            self._check_suspension()
        self.accounts.apply_config(self._get_config(), self._clock())
        if self.accounts.mark_busy(organisation):
            self._wake.set()
        return self.accounts.find(organisation)

    async def charge(
        self, charge_id: str, organisation: str, cost_tokens: int, patience_s: float
    ) -> ChargeReply:
        """Reply to a charge, after `CHARGE_REPEAT_S` at the latest."""
        account = self._find_account(organisation)
        if account is None or account.is_retired:
            return ChargeReply(status="not_home")
        now_s = self._clock()
        outcome = account.charge(charge_id, cost_tokens, patience_s, now_s)
        if outcome.status != "waiting":
            return _make_reply(outcome)
        self._wake.set()
        wait_s = min(patience_s, CHARGE_REPEAT_S)
        return await self._wait(account, charge_id, cost_tokens, now_s + wait_s)

    async def _wait(
        self, account: Account, charge_id: str, cost_tokens: int, until_s: float
    ) -> ChargeReply:
        event = self._events.setdefault(charge_id, anyio.Event())
        try:
            while True:
                self._serve(account)
                if charge_id in account.granted:
                    return ChargeReply(status="granted")
                now_s = self._clock()
                if now_s >= until_s:
                    return _make_reply(account.estimate(charge_id, cost_tokens))
                next_s = account.next_grant_s(charge_id, cost_tokens)
                # A shorter wait may end before the clock advances: the loop would spin.
                wait_s = max(0.001, min(until_s, next_s) - now_s)
                with anyio.move_on_after(wait_s):
                    await event.wait()
        finally:
            self._events.pop(charge_id, None)
            account.waiting.detach(charge_id, self._clock())

    def _serve(self, account: Account) -> None:
        if self._check_suspension is not None:
            self._check_suspension()
        for charge_id in account.serve(self._clock()):
            event = self._events.get(charge_id)
            if event is not None:
                event.set()

    def settle(self, charge_id: str, organisation: str, used_tokens: int) -> None:
        """Replace a charge's estimate by its true cost; 0 cancels it."""
        account = self._find_account(organisation)
        if account is None:
            return
        account.settle(charge_id, used_tokens, self._clock())
        self._serve(account)

    def preview(
        self, organisation: str, cost_tokens: int, patience_s: float
    ) -> QuotaPreview:
        """Return how a charge would be answered here; nothing is charged or counted."""
        account = self._find_account(organisation)
        if account is None or account.is_retired:
            return QuotaPreview(status="not_home")
        outcome = account.preview(cost_tokens, patience_s, self._clock())
        return QuotaPreview(
            status=outcome.status,
            wait_ms=round(outcome.retry_after_s * 1000),
            held_tokens=account.share.tokens,
            cap_tokens=max(0.0, account.share.cap_tokens),
            rate_tokens_per_s=max(0.0, account.share.rate_tokens_per_s),
            waiting=len(account.waiting),
        )

    async def _on_preview(
        self, peer: PeerIdentity, message: PreviewQuota
    ) -> QuotaPreview:
        return self.preview(
            message.organisation, message.cost_tokens, message.patience_ms / 1000
        )

    async def _on_charge(
        self, peer: PeerIdentity, message: ChargeRequest
    ) -> ChargeReply:
        return await self.charge(
            message.charge_id,
            message.organisation,
            message.cost_tokens,
            message.patience_ms / 1000,
        )

    def _on_settle(self, peer: PeerIdentity, message: SettleNotice) -> None:
        self.settle(message.charge_id, message.organisation, message.used_tokens)

    async def _on_loan(self, peer: PeerIdentity, message: LoanRequest) -> LoanReply:
        account = self._find_account(message.organisation)
        if account is None:
            return LoanReply()
        wanted = Amount(message.rate_units, message.burst_units, message.tokens)
        amount = account.lend(
            message.loan_id, peer.seat, wanted, message.room_tokens, self._clock()
        )
        return LoanReply(
            rate_units=amount.rate_units,
            burst_units=amount.burst_units,
            tokens=amount.tokens,
        )

    async def _on_renew(self, peer: PeerIdentity, message: RenewRequest) -> RenewReply:
        refused = []
        for organisation, loan_ids in message.loans.items():
            account = self._find_account(organisation)
            for loan_id in loan_ids:
                if account is None or not account.renew(loan_id, self._clock()):
                    refused.append(loan_id)
        return RenewReply(refused=refused)

    def _on_return(self, peer: PeerIdentity, message: ReturnNotice) -> None:
        account = self._find_account(message.organisation)
        if account is None:
            return
        account.share.reclaim(message.loan_id, message.tokens, self._clock())
        self._serve(account)

    async def return_loans(self) -> None:
        """Return all borrowed parts, before a planned stop."""
        await self._borrower.return_all()

    async def run(self) -> None:
        """Apply configurations, serve waiting charges and borrow until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._tick(tasks)
                self._wake = anyio.Event()
                is_idle = not self.accounts.list_busy()
                with anyio.move_on_after(IDLE_TICK_S if is_idle else TICK_S):
                    await self._wake.wait()

    def _tick(self, tasks: TaskGroup) -> None:
        now_s = self._clock()
        try:
            self.accounts.apply_config(self._get_config(), now_s)
        except BanyanseamError:
            # Without a configuration this home has no parts yet.
            return
        if now_s >= self._last_sweep_s + IDLE_TICK_S:
            self._last_sweep_s = now_s
            self.accounts.forget_old(now_s)
            self.accounts.drop_idle(now_s)
        busy = self.accounts.list_busy()
        if not busy:
            return
        for account in busy:
            self._serve(account)
            wanted = account.find_wanted(now_s)
            if not account.is_borrowing and not wanted.is_nothing:
                tasks.start_soon(self._borrow, account)
        tasks.start_soon(self._borrower.renew_or_return_loans)

    async def _borrow(self, account: Account) -> None:
        await self._borrower.borrow(account)
        self._serve(account)


def _make_reply(outcome: ChargeOutcome) -> ChargeReply:
    return ChargeReply(
        status=outcome.status,
        retry_after_ms=round(outcome.retry_after_s * 1000),
        queue_ms=round(outcome.queue_s * 1000),
    )
