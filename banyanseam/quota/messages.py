"""Messages between entries and homes, and between homes."""

from typing import Annotated, Literal

from pydantic import Field

from banyanseam.peers.messages import Message
from banyanseam.quota.const import WHOLE_UNITS

Id = Annotated[str, Field(min_length=1, max_length=64)]
LoanId = Annotated[bytes, Field(min_length=1, max_length=64)]
Units = Annotated[int, Field(ge=0, le=WHOLE_UNITS)]
Tokens = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Milliseconds = Annotated[int, Field(ge=0)]
ChargeStatus = Literal["granted", "waiting", "refused", "withheld", "not_home"]


class ChargeRequest(Message):
    """Ask a home for tokens; a repeat of the id is the same charge."""

    kind = "quota.charge"

    charge_id: Id
    organisation: str
    cost_tokens: int = Field(ge=0)
    # How long the request may wait in all; the home answers earlier at times.
    patience_ms: Milliseconds


class ChargeReply(Message):
    """What became of a charge."""

    kind = "quota.charge_reply"

    status: ChargeStatus
    # When a repeat of this charge may succeed.
    retry_after_ms: Milliseconds = 0
    # How long the queue is that any new charge would have to wait for.
    queue_ms: Milliseconds = 0


class LookAtQuota(Message):
    """Ask a home what a charge would get; nothing is taken or counted."""

    kind = "quota.look"

    organisation: str
    cost_tokens: int = Field(ge=0)
    patience_ms: Milliseconds


class QuotaSeen(Message):
    """What a new charge would get at a home, and what the home holds."""

    kind = "quota.seen"

    status: ChargeStatus
    # How long the charge would wait were the whole rate lent to this home.
    wait_ms: Milliseconds = 0
    # Below zero while a debt is paid off.
    held_tokens: float = 0
    cap_tokens: Tokens = 0
    rate_tokens_per_s: Tokens = 0
    waiting: int = Field(default=0, ge=0)


class SettleNotice(Message):
    """Tell a home the true cost of a charge; 0 cancels it."""

    kind = "quota.settle"

    charge_id: Id
    organisation: str
    used_tokens: int = Field(ge=0)


class LoanRequest(Message):
    """Ask another home for a part of rate and burst, with tokens."""

    kind = "quota.loan"

    loan_id: LoanId
    organisation: str
    rate_units: Units
    burst_units: Units
    tokens: Tokens
    # Burst that the borrower keeps free for tokens that come without any.
    room_tokens: Tokens


class LoanReply(Message):
    """What the lender goes without from now on; nothing is a refusal."""

    kind = "quota.loan_reply"

    rate_units: Units = 0
    burst_units: Units = 0
    tokens: Tokens = 0


class RenewRequest(Message):
    """Ask a lender to prolong loans, all that one borrower has there."""

    kind = "quota.renew"

    # The loans of each organisation.
    loans: dict[str, list[LoanId]] = Field(max_length=10_000)


class RenewReply(Message):
    """The ids of the few loans that the lender did not prolong."""

    kind = "quota.renew_reply"

    refused: list[LoanId] = Field(default_factory=list)


class ReturnNotice(Message):
    """Give a loan back before its end, with the tokens left over."""

    kind = "quota.return"

    organisation: str
    loan_id: LoanId
    tokens: Tokens
