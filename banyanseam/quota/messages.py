"""Messages between entry daemons and home seats, and between home seats."""

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
    """Request tokens from a home; a repeated id means the same charge."""

    kind = "quota.charge"

    charge_id: Id
    organisation: str
    cost_tokens: int = Field(ge=0)
    # How long the request may wait in total; the home may reply earlier.
    patience_ms: Milliseconds


class ChargeReply(Message):
    """The result of a charge."""

    kind = "quota.charge_reply"

    status: ChargeStatus
    # After this time a repeat of this charge may succeed.
    retry_after_ms: Milliseconds = 0
    # How long any new charge would wait for the charges queued before it.
    queue_ms: Milliseconds = 0


class PreviewQuota(Message):
    """Ask a home how it would answer a charge; nothing is charged or counted."""

    kind = "quota.look"

    organisation: str
    cost_tokens: int = Field(ge=0)
    patience_ms: Milliseconds


class QuotaPreview(Message):
    """How a home would answer a new charge, and the state of its bucket."""

    kind = "quota.seen"

    status: ChargeStatus
    # The charge's estimated wait, as if the whole rate were lent to this home.
    wait_ms: Milliseconds = 0
    # The tokens in the bucket; negative while a debt is paid off.
    held_tokens: float = 0
    cap_tokens: Tokens = 0
    rate_tokens_per_s: Tokens = 0
    waiting: int = Field(default=0, ge=0)


class SettleNotice(Message):
    """Report the true cost of a charge to its home; 0 cancels the charge."""

    kind = "quota.settle"

    charge_id: Id
    organisation: str
    used_tokens: int = Field(ge=0)


class LoanRequest(Message):
    """Request a loan of rate, burst and tokens from another home."""

    kind = "quota.loan"

    loan_id: LoanId
    organisation: str
    rate_units: Units
    burst_units: Units
    tokens: Tokens
    # Burst that the borrower reserved for tokens sent without burst.
    room_tokens: Tokens


class LoanReply(Message):
    """What the lender lent and stops using itself; all zero is a refusal."""

    kind = "quota.loan_reply"

    rate_units: Units = 0
    burst_units: Units = 0
    tokens: Tokens = 0


class RenewRequest(Message):
    """Ask a lender to extend several loans that it made to the sender."""

    kind = "quota.renew"

    # Loan ids by organisation.
    loans: dict[str, list[LoanId]] = Field(max_length=10_000)


class RenewReply(Message):
    """The ids of the loans that the lender did not extend."""

    kind = "quota.renew_reply"

    refused: list[LoanId] = Field(default_factory=list)


class ReturnNotice(Message):
    """Return a loan before its expiry, with the tokens left over."""

    kind = "quota.return"

    organisation: str
    loan_id: LoanId
    tokens: Tokens
