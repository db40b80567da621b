"""The base class of all errors; each package defines its own in its errors module."""

from typing import ClassVar

from pydantic import BaseModel


class Problem(BaseModel):
    """A refusal or failure as sent to callers (RFC 9457 problem details)."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    not_run: bool
    request_id: str
    retry_after_ms: int | None = None


class BanyanseamError(Exception):
    """An unexpected internal failure; the base class of all errors.

    `code` is stable and catalogued in docs/ERRORS.md, `event` is the number that
    the log uses, `status` the HTTP status, and `not_run` whether a refusal of this
    class may claim that nothing ran.
    """

    code: ClassVar[str] = "internal"
    event: ClassVar[int] = 1000
    status: ClassVar[int] = 500
    title: ClassVar[str] = "Internal failure"
    not_run: ClassVar[bool] = False

    def __init__(self, detail: str = "", *, retry_after_ms: int | None = None) -> None:
        """Store the detail for the caller and the advised delay before a retry."""
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.retry_after_ms = retry_after_ms

    def to_problem(self, request_id: str, *, is_surely_not_run: bool) -> Problem:
        """Return the problem details.

        Their `not_run` requires both the class's `not_run` and `is_surely_not_run`.
        """
        return Problem(
            type=f"urn:banyanseam:error:{self.code}",
            title=self.title,
            status=self.status,
            detail=self.detail,
            code=self.code,
            not_run=self.not_run and is_surely_not_run,
            request_id=request_id,
            retry_after_ms=self.retry_after_ms,
        )
