"""Request loans from other homes, renew them while needed and return them."""

import math
from collections.abc import Callable, Iterator
from contextlib import suppress

import anyio
from uuid6 import uuid7

from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.quota.account import Account
from banyanseam.quota.accounts import Accounts
from banyanseam.quota.const import PEER_TIMEOUT_S, RENEW_BEFORE_S, RETURN_BEFORE_S
from banyanseam.quota.loans import Amount, Loan
from banyanseam.quota.messages import (
    LoanReply,
    LoanRequest,
    RenewReply,
    RenewRequest,
    ReturnNotice,
)
from banyanseam.quota.parts import HomeAssignment


class Borrower:
    """Borrows rate, burst and tokens from other homes on behalf of one home."""

    def __init__(
        self,
        seat: str,
        region: str,
        network: Network,
        accounts: Accounts,
        parts: HomeAssignment,
        get_config: Callable[[], Config],
        is_alive: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        """Store the dependencies; nothing is sent yet."""
        self._seat = seat
        self._region = region
        self._network = network
        self._accounts = accounts
        self._parts = parts
        self._get_config = get_config
        self._is_alive = is_alive
        self._clock = clock

    async def borrow(self, account: Account) -> None:
        """Borrow from this region's homes, then from other regions if it needs more."""
        account.is_borrowing = True
        try:
            config = self._get_config()
            if account.organisation not in config.organisations:
                return
            name, region = account.organisation, self._region
            siblings = self._parts.rank_homes(config, name, region)
            others = self._parts.other_homes(config, name, region)
            await self._borrow_from(account, siblings)
            if account.needs_other_regions(self._clock()):
                await self._borrow_from(account, others)
            now_s = self._clock()
            reachable = [seat for seat in (*siblings, *others) if self._is_lender(seat)]
            account.record_round(reachable, now_s)
        finally:
            account.is_borrowing = False

    async def _borrow_from(self, account: Account, homes: list[str]) -> None:
        """Request equal amounts from all homes, then more from those that lent it."""
        now_s = self._clock()
        lenders = [
            seat
            for seat in homes
            if self._is_lender(seat) and not account.is_paused(seat, now_s)
        ]
        while lenders:
            wanted = account.find_wanted(self._clock())
            if wanted.is_nothing:
                return
            if not account.waiting:
                # No charge waits: a few large loans cost less to renew than many small.
                await self._request_loan(account, lenders.pop(0), wanted, [])
                continue
            each = _split_evenly(wanted, len(lenders))
            full_lenders: list[str] = []
            async with anyio.create_task_group() as tasks:
                for lender in lenders:
                    tasks.start_soon(
                        self._request_loan, account, lender, each, full_lenders
                    )
            lenders = full_lenders

    def _is_lender(self, seat: str) -> bool:
        return seat != self._seat and self._is_alive(seat)

    async def _request_loan(
        self, account: Account, lender: str, wanted: Amount, full_lenders: list[str]
    ) -> None:
        loan_id = uuid7().bytes
        share = account.share
        reserved_tokens = share.request_loan(
            loan_id, lender, self._clock(), wanted.tokens
        )
        request = LoanRequest(
            loan_id=loan_id,
            organisation=account.organisation,
            rate_units=wanted.rate_units,
            burst_units=wanted.burst_units,
            tokens=wanted.tokens,
            room_tokens=reserved_tokens,
        )
        try:
            reply = await self._network.call(lender, request, LoanReply, PEER_TIMEOUT_S)
        except BanyanseamError:
            share.cancel_request(loan_id)
            account.pause_lender(lender, self._clock())
            return
        now_s = self._clock()
        amount = Amount(reply.rate_units, reply.burst_units, reply.tokens)
        is_full_grant = amount.tokens >= wanted.tokens
        is_full_grant = is_full_grant and amount.rate_units >= wanted.rate_units
        if is_full_grant and amount.burst_units >= wanted.burst_units:
            full_lenders.append(lender)
        else:
            account.pause_lender(lender, now_s)
        share.accept(loan_id, amount, now_s)

    async def renew_or_return_loans(self) -> None:
        """Renew the loans that expire soon, or return those no longer needed."""
        now_s = self._clock()
        renewable: dict[str, dict[str, list[bytes]]] = {}
        due_lenders: set[str] = set()
        async with anyio.create_task_group() as tasks:
            for account, loan_id, loan in self._list_loans(now_s):
                left_s = loan.expires_s - now_s
                is_due = left_s <= RENEW_BEFORE_S
                is_needed = account.is_loan_needed(loan_id, now_s)
                if is_due and (not is_needed or left_s <= RETURN_BEFORE_S):
                    tasks.start_soon(self._return_loan, account, loan_id)
                elif is_needed and loan.renew_after_s <= now_s:
                    loans = renewable.setdefault(loan.peer, {})
                    loans.setdefault(account.organisation, []).append(loan_id)
                    if is_due:
                        due_lenders.add(loan.peer)
            # One message renews all loans of a lender, so that they expire together.
            for lender in due_lenders:
                tasks.start_soon(self._renew, lender, renewable[lender])

    def _list_loans(self, now_s: float) -> Iterator[tuple[Account, bytes, Loan]]:
        for account in self._accounts.list_busy():
            account.share.advance(now_s)
            for loan_id, loan in list(account.share.ledger.borrowed.items()):
                yield account, loan_id, loan

    async def _renew(self, lender: str, loans: dict[str, list[bytes]]) -> None:
        sent_s = self._clock()
        for account, loan_id in self._resolve_loans(loans):
            loan = account.share.ledger.borrowed.get(loan_id)
            if loan:
                loan.renew_after_s = sent_s + PEER_TIMEOUT_S
        request = RenewRequest(loans=loans)
        try:
            reply = await self._network.call(
                lender, request, RenewReply, PEER_TIMEOUT_S
            )
        except BanyanseamError:
            return
        for account, loan_id in self._resolve_loans(loans):
            if loan_id not in reply.refused:
                account.share.extend(loan_id, sent_s, self._clock())
            else:
                # The lender did not renew it, so return it with the tokens left over.
                await self._return_loan(account, loan_id)

    def _resolve_loans(
        self, loans: dict[str, list[bytes]]
    ) -> Iterator[tuple[Account, bytes]]:
        for organisation, loan_ids in loans.items():
            account = self._accounts.find(organisation)
            if account is not None:
                for loan_id in loan_ids:
                    yield account, loan_id

    async def _return_loan(self, account: Account, loan_id: bytes) -> None:
        loan = account.share.ledger.borrowed.get(loan_id)
        if loan is None:
            return
        tokens = account.share.return_loan(loan_id, self._clock())
        notice = ReturnNotice(
            organisation=account.organisation, loan_id=loan_id, tokens=tokens
        )
        with anyio.move_on_after(PEER_TIMEOUT_S), suppress(BanyanseamError):
            await self._network.cast(loan.peer, notice)

    async def return_all(self) -> None:
        """Return every loan, before a planned stop."""
        async with anyio.create_task_group() as tasks:
            for account in self._accounts:
                for loan_id in list(account.share.ledger.borrowed):
                    tasks.start_soon(self._return_loan, account, loan_id)


def _split_evenly(amount: Amount, count: int) -> Amount:
    return Amount(
        math.ceil(amount.rate_units / count),
        math.ceil(amount.burst_units / count),
        amount.tokens / count,
    )
