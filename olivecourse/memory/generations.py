"""Names and numbers of the snapshot files in a memory folder, each of which is called a generation.

NAME.NUMBER.mem       a complete snapshot; the highest number is the newest
NAME.NUMBER.REASON    set aside because it cannot be restored; REASON is a value of `Reason`
NAME.tmp              a snapshot being written; what a power cut leaves of it is never read
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MAX_DAMAGED = 4  # damaged snapshot files kept for inspection; older ones are removed


class Reason(Enum):
    """Why a snapshot file cannot be restored; the value is the ending of its name once it is set aside."""

    DAMAGED = "damaged"
    NEWER = "newer"  # written by a later version of the program
    OTHER = "other"  # written by a gateway of another name
    KEY = "key"  # the MAC does not fit the operator's key, or only one of file and operator has a key


@dataclass(frozen=True, slots=True)
class Generation:
    """A numbered file of a memory folder: a snapshot, or one set aside because it cannot be restored.

    `ending` is "mem" for a snapshot, or the value of the Reason for which the file was set aside.
    """

    name: str
    number: int
    ending: str

    @property
    def readable(self) -> bool:
        """Whether the file is a snapshot that has not been set aside."""
        return self.ending == "mem"


def parse(part: str, names: Iterable[str]) -> list[Generation]:
    """The numbered files of `part` (the NAME of the file names) among `names`, the newest first."""
    form = re.compile(rf"{re.escape(part)}\.([0-9]{{1,18}})\.(mem|{'|'.join(r.value for r in Reason)})")
    found = [Generation(n, int(m[1]), m[2]) for n in names if (m := form.fullmatch(n))]
    return sorted(found, key=lambda g: (-g.number, g.ending))


def next_number(generations: list[Generation]) -> int:
    """The number of the next snapshot file: above all others, also of those set aside, to overwrite none."""
    return max((g.number for g in generations), default=0) + 1


def file_name(part: str, number: int, reason: Reason | None = None) -> str:
    """The name of snapshot file `number` of `part`, or, with a `reason`, of one that is set aside for it."""
    return f"{part}.{number:08d}.{reason.value if reason else 'mem'}"


def surplus(generations: list[Generation], keep: int) -> list[Generation]:
    """The snapshot files to remove once a newer one is durable.

    These are snapshots beyond the newest `keep`, and damaged files beyond the newest MAX_DAMAGED.
    Files set aside for another reason than damage are never removed.
    """
    intact = [g for g in generations if g.readable]
    damaged = [g for g in generations if g.ending == Reason.DAMAGED.value]
    return intact[keep:] + damaged[MAX_DAMAGED:]
