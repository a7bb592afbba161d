"""What of a new configuration's settings is taken while requests run. No I/O.

A class keeps its number for the life of the process, as open requests, counts and all that was learned go by
it: a known name keeps its place with its new terms, a new name gets the next place, and one that is no longer
told keeps its place and is asked for no more.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from olivecourse.interface import Settings

MOST_CLASSES = 256  # names of classes in the life of a process: each has its counts and means for good
# What a gateway is, and where: parts of it were laid out by these.
FIXED = (
    "me",
    "routers",
    "zone",
    "zones",
    "zone_hub",
    "zone_routers",
    "ask_discovery",
    "parent_kind",
    "origin_kind",
)
OWN = ("seed", "classes")  # the first is another at every start, the second is merged


class Unfit(ValueError):
    """Settings that can't be taken as they stand; nothing has changed."""


@dataclass(frozen=True)
class Merged:
    """`settings` to go on with; `live` the places of the classes that are told now; `taken` the names of what
    differs and holds from now on, `waits` of what differs and waits for a restart."""

    settings: Settings
    live: dict[str, int]
    taken: list[str]
    waits: list[str]


def merge(old: Settings, fresh: Settings) -> Merged:
    """Raises Unfit where more than MOST_CLASSES names of classes would have been told."""
    places = {c.name: i for i, c in enumerate(old.classes)}
    classes = list(old.classes)
    for cls in fresh.classes:
        if cls.name in places:
            classes[places[cls.name]] = cls
        else:
            places[cls.name] = len(classes)
            classes.append(cls)
    if len(classes) > MOST_CLASSES:
        raise Unfit(f"more than {MOST_CLASSES} names of classes since the start: restart")
    differs = [
        f.name
        for f in fields(Settings)
        if f.name not in OWN and getattr(old, f.name) != getattr(fresh, f.name)
    ]
    waits = [name for name in differs if name in FIXED]
    kept = {name: getattr(old, name) for name in (*waits, "seed")}
    merged = replace(fresh, **kept, classes=tuple(classes))
    taken = [name for name in differs if name not in FIXED]
    if merged.classes != old.classes:
        taken.append("classes")
    return Merged(merged, {c.name: places[c.name] for c in fresh.classes}, taken, waits)
