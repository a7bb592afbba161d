"""Decides which settings of a reloaded configuration take effect while requests run. No I/O.

A class keeps its index for the life of the process, because open requests, counters and learned values refer
to classes by index. A known class keeps its index with its new settings, a new class gets the next index, and
a class that is no longer listed keeps its index without receiving requests.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from olivecourse.interface import Settings

# maximum number of class names in the life of a process, because each keeps its counters and averages until
# the end
MOST_CLASSES = 256
# Settings that define what a gateway is and where it stands. Data structures are sized and arranged by them
# at the start.
NEEDS_RESTART = (
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
NOT_COMPARED = ("seed", "classes")  # the seed differs at every start, and the classes are merged separately


class Unfit(ValueError):
    """Settings that cannot be applied; nothing has changed."""


@dataclass(frozen=True)
class Merged:
    """The result of a reload.

    `settings` are the settings to use from now on, and `live` maps the classes in use to their indexes.
    `taken` names the changed settings that take effect now, `waits` those that take effect at a restart.
    """

    settings: Settings
    live: dict[str, int]
    taken: list[str]
    waits: list[str]


def merge(old: Settings, new: Settings) -> Merged:
    """Merges reloaded settings into the current ones. Raises Unfit if there would be more than MOST_CLASSES
    class names since the start.
    """
    indexes = {listed_class.name: index for index, listed_class in enumerate(old.classes)}
    classes = list(old.classes)
    for request_class in new.classes:
        if request_class.name in indexes:
            classes[indexes[request_class.name]] = request_class
        else:
            indexes[request_class.name] = len(classes)
            classes.append(request_class)
    if len(classes) > MOST_CLASSES:
        raise Unfit(f"more than {MOST_CLASSES} names of classes since the start: restart the gateway")
    changed = [
        setting.name
        for setting in fields(Settings)
        if setting.name not in NOT_COMPARED and getattr(old, setting.name) != getattr(new, setting.name)
    ]
    waits = [name for name in changed if name in NEEDS_RESTART]
    unchanged = {name: getattr(old, name) for name in (*waits, "seed")}
    merged = replace(new, **unchanged, classes=tuple(classes))
    taken = [name for name in changed if name not in NEEDS_RESTART]
    if merged.classes != old.classes:
        taken.append("classes")
    return Merged(
        merged,
        {listed_class.name: indexes[listed_class.name] for listed_class in new.classes},
        taken,
        waits,
    )
