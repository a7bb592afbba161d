"""The `memory:` section of an operator's configuration file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from olivecourse.config.sections import InvalidSection, read_section
from olivecourse.memory.container import derive_key
from olivecourse.memory.decay import DEFAULTS, Decay, Kind, Policy, S

Seconds = Annotated[float, msgspec.Meta(gt=0, le=30 * 86_400)]


class HalfLives(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time in seconds in which the weight of a saved record in a restore halves, by kind (`decay.Kind`)."""

    pain: Seconds = DEFAULTS[Kind.PAIN].half_life_ns / S
    wait: Seconds = DEFAULTS[Kind.WAIT].half_life_ns / S
    limit: Seconds = DEFAULTS[Kind.LIMIT].half_life_ns / S
    times: Seconds = DEFAULTS[Kind.TIMES].half_life_ns / S
    fills: Seconds = DEFAULTS[Kind.FILLS].half_life_ns / S
    hot: Seconds = DEFAULTS[Kind.HOT].half_life_ns / S


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Age from which a saved record is not restored, in seconds, by kind; see `decay.Kind`."""

    pain: Seconds = DEFAULTS[Kind.PAIN].drop_after_ns / S
    wait: Seconds = DEFAULTS[Kind.WAIT].drop_after_ns / S
    limit: Seconds = DEFAULTS[Kind.LIMIT].drop_after_ns / S
    times: Seconds = DEFAULTS[Kind.TIMES].drop_after_ns / S
    fills: Seconds = DEFAULTS[Kind.FILLS].drop_after_ns / S
    hot: Seconds = DEFAULTS[Kind.HOT].drop_after_ns / S


class TokensSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the on-disk store of used order tokens, each of which permits one write request (order)."""

    most_wait_ms: Annotated[int, msgspec.Meta(ge=10, le=2500)] = (
        1000  # longest wait of a write request (order) until its token is on disk
    )
    map_mb: Annotated[int, msgspec.Meta(ge=16, le=1024)] = 64  # largest size of the token store in MiB


class MemorySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the state kept across restarts; relative paths start at the operator's file."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]  # path for snapshots and used order tokens
    interval_s: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 2.0  # time between snapshots
    keep: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3  # number of newest snapshots kept
    max_kb: Annotated[int, msgspec.Meta(ge=64, le=65_536)] = 1024  # greatest size of a snapshot, in KiB
    # Path of the file with the operator's key. With one, snapshots and the token store have a MAC instead of
    # a plain checksum.
    key_file: str | None = None
    half_life_s: HalfLives = HalfLives()
    drop_after_s: Limits = Limits()
    # A restored error score leaves a store, beside a healthy one, at least this share of its normal traffic.
    trust_floor: Annotated[float, msgspec.Meta(ge=0.02, le=1)] = 0.03
    tokens: TokensSection | None = TokensSection()  # None: used order tokens are not kept on disk

    def __post_init__(self) -> None:
        for kind in Kind:
            if getattr(self.drop_after_s, kind.value) < getattr(self.half_life_s, kind.value):
                raise ValueError(f"drop_after_s.{kind.value} is below its half-life")

    def policy(self) -> Policy:
        """These settings as the policy by which saved records count less in a restore the older they are."""
        return Policy(
            {
                kind: Decay(
                    int(getattr(self.half_life_s, kind.value) * S),
                    int(getattr(self.drop_after_s, kind.value) * S),
                )
                for kind in Kind
            },
            self.trust_floor,
        )


@dataclass(frozen=True)
class MemoryConfig:
    """The `memory:` section, with its paths resolved against the folder of the operator's file."""

    folder: Path
    key_file: Path | None
    section: MemorySection

    def key(self) -> bytes | None:
        """The MAC key from the key file, None if no file is set; raises InvalidSection if it is not usable.

        It is not usable if it cannot be read or has fewer than MIN_KEY bytes.
        """
        if self.key_file is None:
            return None
        try:
            return derive_key(self.key_file.read_bytes())
        except (OSError, ValueError) as error:
            raise InvalidSection(f"{self.key_file}: {getattr(error, 'strerror', None) or error}") from None


def read_memory(path: str) -> MemoryConfig | None:
    """Reads the `memory:` section of the file at `path`, and its key file; None if there is no such section.

    Raises InvalidSection.
    """
    section = read_section(path, "memory", MemorySection)
    if section is None:
        return None
    base = Path(path).parent
    key_file = base / section.key_file if section.key_file else None
    config = MemoryConfig(base / section.folder, key_file, section)
    config.key()
    return config
