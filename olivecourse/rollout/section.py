"""The `rollout:` section of an operator's file, the file with the datagram keys, and the release plan file;
all are checked as they are read."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from olivecourse.config.address import Address, parse_address
from olivecourse.config.sections import InvalidSection, read_section
from olivecourse.rollout.budgets import Budget
from olivecourse.rollout.releases import Plan, plan_error
from olivecourse.rollout.wire import Keys

MAX_GATEWAYS, MAX_MEMBERS = 512, 7
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Disruption budget of one kind of group: the largest number of items, and the largest share of the
    group's capacity, that may be out of service at once."""

    number: Annotated[int, msgspec.Meta(ge=1, le=6)] = 1
    share: Share = 0.34

    def budget(self) -> Budget:
        """The same limit as the `Budget` that leases are checked against."""
        return Budget(self.number, self.share)


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Disruption budgets of each group of stores, of each hub's caches, and of each office's gateways."""

    stores: Limit = Limit()
    hubs: Limit = Limit()
    gateways: Limit = Limit()


class GatewayEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One gateway of the fleet: its name, the HOST:PORT address of its datagram socket, its office, and its
    capacity relative to the other gateways of the office."""

    name: str
    address: str
    office: str
    capacity: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class RolloutSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `rollout:` section. `gateways` must be in the same order on all gateways, since datagrams carry
    positions in this list. `members` names the gateways that vote on leases and releases; `keys` is the path
    of the key file, and `folder` that of the folder in which a voting gateway keeps its acceptor state.
    Without a `folder` this gateway starts without the right to vote. `warm_s` is the time in seconds for
    which a gateway still counts as cold after it is ready."""

    keys: str
    gateways: Annotated[list[GatewayEntry], msgspec.Meta(min_length=1, max_length=MAX_GATEWAYS)]
    members: Annotated[list[str], msgspec.Meta(min_length=1, max_length=MAX_MEMBERS)]
    folder: str | None = None
    agreement: Literal["majority", "planner"] = "majority"
    budgets: Limits = Limits()
    version: str = ""
    warm_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 5.0

    def __post_init__(self) -> None:
        names = [g.name for g in self.gateways]
        if len(set(names)) != len(names):
            raise ValueError("gateways: the names must be unique")
        if not set(self.members) <= set(names) or len(set(self.members)) != len(self.members):
            raise ValueError("members: each must be the name of one of the gateways, and be listed once")
        if self.agreement == "planner" and len(self.members) != 1:
            raise ValueError("members: the planner must be the only member")
        for gateway in self.gateways:
            parse_address(gateway.address)


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file with the keys that authenticate datagrams: `{"current": 1, "keys": {"1": "64 hex digits"}}`.
    Datagrams are sent under the key with the number `current`."""

    current: int
    keys: dict[str, str]


@dataclass(frozen=True)
class RolloutConfig:
    """The `rollout:` section with its paths resolved against the folder of the operator's file."""

    section: RolloutSection
    folder: Path | None
    key_file: Path

    def read_keys(self) -> tuple[Keys, bytes]:
        """Returns the datagram keys, and the key for the MACs of the records in the folder with the acceptor
        state (`disk.Disk`). The latter is the key with the lowest number, so that the folder stays readable
        while keys with higher numbers are added and removed. Raises InvalidSection."""
        try:
            contents = msgspec.convert(json.loads(self.key_file.read_text("utf-8")), KeyFile)
            keys = {int(number): bytes.fromhex(text) for number, text in contents.keys.items()}
            return Keys(keys, contents.current), keys[min(keys)]
        except (OSError, ValueError) as error:
            cause = getattr(error, "strerror", None) or error
            raise InvalidSection(f"{self.key_file}: {cause}") from None

    def addresses(self) -> list[Address]:
        """The datagram addresses of all gateways, in the order of the `rollout:` section; the position of a
        gateway is its number."""
        return [parse_address(g.address) for g in self.section.gateways]


def read_rollout(path: str) -> RolloutConfig | None:
    """Reads the `rollout:` section of the operator's file at `path`, and checks that the key file is
    readable; returns None if there is no section. Raises InvalidSection."""
    section = read_section(path, "rollout", RolloutSection)
    if section is None:
        return None
    base_folder = Path(path).parent
    config = RolloutConfig(
        section, base_folder / section.folder if section.folder else None, base_folder / section.keys
    )
    config.read_keys()
    return config


class PlanText(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A release plan as operators write it; `releases.Plan` explains the fields."""

    version: str
    before: str
    waves: tuple[int, ...] = (10, 50, 100)
    soak_s: float = 10.0
    gates: bool = True
    alpha: float = 0.01
    worse: float = 1.0

    def __post_init__(self) -> None:
        if why := plan_error(self.plan()):
            raise ValueError(why)

    def plan(self) -> Plan:
        """The same plan as the `releases.Plan` that the release register holds."""
        return Plan(self.version, self.before, self.waves, self.soak_s, self.gates, self.alpha, self.worse)
