"""An entry daemon's side of quota: charge before a request runs, settle afterwards."""

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from uuid6 import uuid7

from banyanseam.config.compiled import Config, Organisation
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.quota.const import (
    CANCEL_TIMEOUT_S,
    CHARGE_MARGIN_S,
    CHARGE_REPEAT_S,
    HOME_PAUSE_S,
    MAX_HOME_PAUSE_S,
    NO_HOME_PATIENCE_S,
    NO_HOME_PAUSE_S,
    REFUSAL_CACHE_S,
    SETTLE_TIMEOUT_S,
)
from banyanseam.quota.errors import CostExceedsBurst, QuotaExceeded, QuotaUnavailable
from banyanseam.quota.home import QuotaHome
from banyanseam.quota.messages import (
    ChargeReply,
    ChargeRequest,
    PreviewQuota,
    QuotaPreview,
    SettleNotice,
)


@dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that a home has deducted for a request."""

    charge_id: str
    organisation: str
    home: str
    cost_tokens: int


@dataclass(slots=True)
class _Attempt:
    """A charge in progress, and the home that it was sent to last."""

    organisation: str
    cost_tokens: int
    deadline_s: float
    charge_id: str = field(default_factory=lambda: uuid7().hex)
    seat: str = ""


@dataclass(slots=True)
class _Pause:
    """How long a home is skipped, and how often in a row it failed."""

    until_s: float = -math.inf
    failures: int = 0


@dataclass(frozen=True, slots=True)
class _CachedRefusal:
    """Until `until_s`, refuse charges whose deadline is before `ready_s`."""

    until_s: float
    ready_s: float


class QuotaClient:
    """Charges the homes of an organisation on behalf of this entry."""

    def __init__(
        self,
        region: str,
        network: Network,
        home: QuotaHome,
        get_config: Callable[[], Config],
        is_alive: Callable[[str], bool],
        *,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Store the dependencies; this seat's own `home` is called in this process."""
        self._region = region
        self._network = network
        self._home = home
        self._parts = home.parts
        self._get_config = get_config
        self._is_alive = is_alive
        self._clock = clock
        # By organisation and seat: a home may withhold one part and serve another.
        self._pauses: dict[str, dict[str, _Pause]] = {}
        self._cached_refusals: dict[str, _CachedRefusal] = {}

    async def charge(
        self, organisation: str, cost_tokens: int, deadline_s: float
    ) -> Charge:
        """Charge tokens, waiting for refill or a loan while the deadline allows.

        Raise CostExceedsBurst, QuotaExceeded or QuotaUnavailable before anything runs.
        """
        config = self._get_config()
        published = self._validate(config, organisation, cost_tokens, deadline_s)
        attempt = _Attempt(organisation, cost_tokens, deadline_s)
        try:
            return await self._charge_first_home(attempt, config, published)
        except anyio.get_cancelled_exc_class():
            # Cancelled, as when the caller disconnects: free its queue place or tokens.
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await self._cancel(attempt)
            raise

    async def preview(
        self, organisation: str, cost_tokens: int, deadline_s: float
    ) -> tuple[str, QuotaPreview]:
        """Return the home that would answer a charge, and a preview of its reply.

        Query the homes in the order of a charge; if none serves the organisation now,
        return the first that replied. Nothing is charged or counted. Raise
        CostExceedsBurst, QuotaExceeded or QuotaUnavailable as a charge would.
        """
        config = self._get_config()
        self._validate(config, organisation, cost_tokens, deadline_s)
        message = PreviewQuota(
            organisation=organisation,
            cost_tokens=cost_tokens,
            patience_ms=round(max(0.0, deadline_s - self._clock()) * 1000),
        )
        skipped: list[tuple[str, QuotaPreview]] = []
        for seat in self._list_homes(config, organisation):
            if seat != self._home.seat and not self._is_alive(seat):
                continue
            try:
                preview = await self._preview_at(seat, message)
            except BanyanseamError:
                continue
            if preview.status not in ("withheld", "not_home"):
                return seat, preview
            skipped.append((seat, preview))
        if not skipped:
            raise QuotaUnavailable(
                f"no quota home of organisation {organisation} answers"
            )
        return skipped[0]

    async def _preview_at(self, seat: str, message: PreviewQuota) -> QuotaPreview:
        if seat == self._home.seat:
            patience_s = message.patience_ms / 1000
            return self._home.preview(
                message.organisation, message.cost_tokens, patience_s
            )
        return await self._network.call(seat, message, QuotaPreview, CHARGE_MARGIN_S)

    def _list_homes(self, config: Config, organisation: str) -> list[str]:
        """Return the homes, those of this region first."""
        return [
            *self._parts.rank_homes(config, organisation, self._region),
            *self._parts.other_homes(config, organisation, self._region),
        ]

    def _validate(
        self, config: Config, organisation: str, cost_tokens: int, deadline_s: float
    ) -> Organisation:
        """Return the published organisation; raise refusals that need no home."""
        published = config.organisations.get(organisation)
        if published is None:
            raise QuotaUnavailable(f"organisation {organisation} is not configured")
        burst_tokens = self._parts.usable_burst_tokens(config, published)
        if cost_tokens > burst_tokens:
            raise CostExceedsBurst(cost_tokens, burst_tokens)
        self._apply_cached_refusal(organisation, deadline_s)
        return published

    async def _charge_first_home(
        self, attempt: _Attempt, config: Config, published: Organisation
    ) -> Charge:
        """Try one home after another until a grant, a refusal or the deadline."""
        name = attempt.organisation
        no_home_deadline_s = self._clock() + NO_HOME_PATIENCE_S
        while True:
            now_s = self._clock()
            seat = self._choose_home(config, published, now_s)
            if seat is None:
                await self._wait_for_home(attempt, no_home_deadline_s)
                continue
            attempt.seat = seat
            reply = await self._request_charge(
                attempt, max(0.0, attempt.deadline_s - now_s)
            )
            if reply is None:
                # The home may have charged tokens under the old id; if the cancellation
                # was lost too, they stay spent.
                attempt.charge_id = uuid7().hex
                continue
            if reply.status == "granted":
                return Charge(attempt.charge_id, name, seat, attempt.cost_tokens)
            if reply.status in ("withheld", "not_home"):
                self._skip_home(seat, name, reply)
                continue
            if reply.status == "refused" or self._clock() >= attempt.deadline_s:
                await self._cancel(attempt)
                self._cache_refusal(name, reply)
                raise QuotaExceeded(retry_after_ms=max(1, reply.retry_after_ms))

    def _apply_cached_refusal(self, organisation: str, deadline_s: float) -> None:
        refusal = self._cached_refusals.get(organisation)
        if refusal is None:
            return
        if refusal.until_s <= self._clock():
            del self._cached_refusals[organisation]
            return
        if deadline_s < refusal.ready_s:
            late_ms = round((refusal.ready_s - deadline_s) * 1000)
            raise QuotaExceeded(retry_after_ms=max(1, late_ms))

    def _cache_refusal(self, organisation: str, reply: ChargeReply) -> None:
        now_s = self._clock()
        queue_s = reply.queue_ms / 1000
        until_s = now_s + min(queue_s, REFUSAL_CACHE_S)
        self._cached_refusals[organisation] = _CachedRefusal(until_s, now_s + queue_s)

    def _choose_home(
        self, config: Config, organisation: Organisation, now_s: float
    ) -> str | None:
        """Return the first home that is alive and not skipped, own region first."""
        name = organisation.name
        pauses = self._pauses.get(name, {})
        for seat in self._list_homes(config, name):
            pause = pauses.get(seat)
            if pause is not None and pause.until_s > now_s:
                continue
            if seat == self._home.seat or self._is_alive(seat):
                return seat
        return None

    async def _wait_for_home(
        self, attempt: _Attempt, no_home_deadline_s: float
    ) -> None:
        """Sleep briefly; raise once no home is expected to answer in time."""
        now_s = self._clock()
        name = attempt.organisation
        # A pause without failures was set by a home's reply, usually one that says when
        # its withheld part may be spent.
        withheld_s = [
            pause.until_s
            for pause in self._pauses.get(name, {}).values()
            if pause.until_s > now_s and not pause.failures
        ]
        expected_s = min(withheld_s, default=math.inf)
        gives_up = now_s >= no_home_deadline_s and expected_s > attempt.deadline_s
        if gives_up or now_s >= attempt.deadline_s:
            wait_s = min(withheld_s, default=now_s + HOME_PAUSE_S) - now_s
            raise QuotaUnavailable(
                f"no quota home of organisation {name} answers",
                retry_after_ms=round(wait_s * 1000),
            )
        await anyio.sleep(NO_HOME_PAUSE_S)

    def _skip_home(self, seat: str, organisation: str, reply: ChargeReply) -> None:
        pause_s = reply.retry_after_ms / 1000 or HOME_PAUSE_S
        pauses = self._pauses.setdefault(organisation, {})
        pauses[seat] = _Pause(self._clock() + pause_s)

    def _record_failure(self, seat: str, organisation: str) -> None:
        pauses = self._pauses.setdefault(organisation, {})
        pause = pauses.setdefault(seat, _Pause())
        pause_s = min(MAX_HOME_PAUSE_S, HOME_PAUSE_S * 2**pause.failures)
        pause.failures += 1
        pause.until_s = self._clock() + pause_s

    async def _request_charge(
        self, attempt: _Attempt, patience_s: float
    ) -> ChargeReply | None:
        """Send the charge to a home; None if it failed and is now skipped."""
        seat, name = attempt.seat, attempt.organisation
        if seat == self._home.seat:
            return await self._home.charge(
                attempt.charge_id, name, attempt.cost_tokens, patience_s
            )
        request = ChargeRequest(
            charge_id=attempt.charge_id,
            organisation=name,
            cost_tokens=attempt.cost_tokens,
            patience_ms=round(patience_s * 1000),
        )
        timeout_s = min(patience_s, CHARGE_REPEAT_S) + CHARGE_MARGIN_S
        try:
            reply = await self._network.call(seat, request, ChargeReply, timeout_s)
        except PeerUnreachable:
            self._record_failure(seat, name)
            return None
        except BanyanseamError:
            self._record_failure(seat, name)
            await self._cancel(attempt)
            return None
        self._pauses.get(name, {}).pop(seat, None)
        return reply

    async def _cancel(self, attempt: _Attempt) -> None:
        """Cancel the charge at the home that it was sent to last; tried once."""
        if not attempt.seat:
            return
        charge = Charge(attempt.charge_id, attempt.organisation, attempt.seat, 0)
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            await self.settle(charge, 0)

    async def settle(self, charge: Charge, used_tokens: int) -> None:
        """Replace the estimate by the true cost; 0 refunds the whole charge."""
        if charge.home == self._home.seat:
            self._home.settle(charge.charge_id, charge.organisation, used_tokens)
            return
        notice = SettleNotice(
            charge_id=charge.charge_id,
            organisation=charge.organisation,
            used_tokens=used_tokens,
        )
        # If the notice is lost, the estimated tokens stay spent.
        with anyio.move_on_after(SETTLE_TIMEOUT_S), suppress(BanyanseamError):
            await self._network.cast(charge.home, notice)
