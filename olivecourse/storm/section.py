"""The `storms:` section of an operator's configuration file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from olivecourse.config.sections import read_section
from olivecourse.storm.budgets import BudgetPolicy
from olivecourse.storm.controller import MS, Policy

Level = Annotated[float, msgspec.Meta(ge=0, le=1)]


class StormSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of storm detection, admission control and the budgets of the gateway's retry attempts."""

    # A storm begins when the detector's level has reached this: the root of (share of client retries among
    # arrivals x share of arrivals that were not served in time).
    notice_on: Level = 0.3
    notice_off: Level = 0.15  # detector's level, from 0 to 1, at or below which a storm ends
    # Limits the open requests: "aimd" is `admission.Aimd`, "gradient" is `admission.Gradient`.
    limiter: Literal["aimd", "gradient"] = "aimd"
    # "aimd" lowers its limit of open requests when one takes longer than this beyond its sending time.
    target_wait_ms: Annotated[int, msgspec.Meta(ge=5, le=10_000)] = 150
    retry_share: Level = 0.1  # retry attempts that the gateway may make for each successful attempt
    retry_burst: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 10.0  # most retry attempts saved up
    # Retry attempts a second that the gateway may make for each request class, store and fill source even if
    # no attempt succeeds.
    retry_floor_per_s: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.5

    def __post_init__(self) -> None:
        if self.notice_off >= self.notice_on:
            raise ValueError("notice_off is to be below notice_on")

    def policy(self) -> Policy:
        """These settings in the form that `controller.StormController` takes."""
        return Policy(
            self.notice_on,
            self.notice_off,
            self.limiter,
            self.target_wait_ms * MS,
            BudgetPolicy(self.retry_share, self.retry_burst, self.retry_floor_per_s),
        )


def read_storms(path: str) -> StormSection | None:
    """Reads the `storms:` section of the file at `path`; None if there is none. Raises InvalidSection."""
    return read_section(path, "storms", StormSection)
