"""Names and numbers of the files in a memory folder: which file is read, written and removed.

NAME.NUMBER.mem       a complete snapshot; the highest number is the newest
NAME.NUMBER.REASON    set aside: damaged, newer (of a later program), other (another gateway's), key
NAME.tmp              being written; a remainder of it after a power cut is never read
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MAX_DAMAGED = 4  # damaged files kept for inspection; the oldest are removed


class Reason(Enum):
    """Why a file is not restored; the file name's ending once the file is set aside."""

    DAMAGED = "damaged"
    NEWER = "newer"
    OTHER = "other"
    KEY = "key"


@dataclass(frozen=True, slots=True)
class Generation:
    """A numbered file; `ending` is "mem" or the value of a Reason."""

    name: str
    number: int
    ending: str

    @property
    def readable(self) -> bool:
        """Whether the file is a snapshot that has not been set aside."""
        return self.ending == "mem"


def parse(part: str, names: Iterable[str]) -> list[Generation]:
    """The generations of `part` among the file names of a folder, the newest first."""
    form = re.compile(rf"{re.escape(part)}\.([0-9]{{1,18}})\.(mem|{'|'.join(r.value for r in Reason)})")
    found = [Generation(n, int(m[1]), m[2]) for n in names if (m := form.fullmatch(n))]
    return sorted(found, key=lambda g: (-g.number, g.ending))


def next_number(generations: list[Generation]) -> int:
    """The number of the next file: above all others, including files set aside, so none is overwritten."""
    return max((g.number for g in generations), default=0) + 1


def file_name(part: str, number: int, reason: Reason | None = None) -> str:
    """The name of a snapshot, or of a file that is set aside for `reason`."""
    return f"{part}.{number:08d}.{reason.value if reason else 'mem'}"


def surplus(generations: list[Generation], keep: int) -> list[Generation]:
    """The files to remove once a newer one is durable: snapshots beyond `keep`, and old damaged files.

    Files of a later program version, another gateway or another key are never removed.
    """
    intact = [g for g in generations if g.readable]
    damaged = [g for g in generations if g.ending == Reason.DAMAGED.value]
    return intact[keep:] + damaged[MAX_DAMAGED:]
