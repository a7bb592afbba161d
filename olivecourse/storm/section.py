"""The `storms:` section of an operator's file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from olivecourse.config.sections import read_section
from olivecourse.storm.budgets import BudgetPolicy
from olivecourse.storm.guard import MS, Policy

Level = Annotated[float, msgspec.Meta(ge=0, le=1)]


class StormSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of storm detection, admission control and retry budgets."""

    notice_on: Level = 0.3  # level at which a storm begins: root of (retries among arrivals x wasted work)
    notice_off: Level = 0.15  # level at which a storm ends
    limiter: Literal["aimd", "gradient"] = "aimd"
    target_wait_ms: Annotated[int, msgspec.Meta(ge=5, le=10_000)] = 150  # aimd: wait beyond a request's work
    retry_share: Level = 0.1  # retry attempts for each successful attempt
    retry_burst: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 10.0  # most retry attempts saved up
    retry_floor_per_s: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.5  # attempts earned without success

    def __post_init__(self) -> None:
        if self.notice_off >= self.notice_on:
            raise ValueError("notice_off is to be below notice_on")

    def policy(self) -> Policy:
        """The section as the controller's policy."""
        return Policy(
            self.notice_on,
            self.notice_off,
            self.limiter,
            self.target_wait_ms * MS,
            BudgetPolicy(self.retry_share, self.retry_burst, self.retry_floor_per_s),
        )


def read_storms(path: str) -> StormSection | None:
    """Reads the section of the operator's file at `path`; None if there is none. Raises BadSection."""
    return read_section(path, "storms", StormSection)
