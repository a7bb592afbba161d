"""Decides which settings of a reloaded configuration take effect while requests run. No I/O.

A class keeps its index for the life of the process, because open requests, counters and learned values refer
to classes by index. A known class keeps its index with its new settings, a new class gets the next index, and
a class that is no longer listed keeps its index without receiving requests.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from olivecourse.interface import Settings

# Maximum number of class names in the life of a process, because each name keeps its counters and averages
# until the process ends.
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
NOT_COMPARED = ("seed", "classes")  # The seed differs at every start, and the classes are merged separately.


class SettingsNotApplicable(ValueError):
    """Settings that cannot be applied; nothing has changed."""


@dataclass(frozen=True)
class MergeResult:
    """The result of merging a reloaded configuration.

    `settings` are the settings to use from now on, and `current_indexes` maps the classes in use to their
    indexes. `applied` names the changed settings that take effect now, and `needs_restart` those that take
    effect at a restart.
    """

    settings: Settings
    current_indexes: dict[str, int]
    applied: list[str]
    needs_restart: list[str]


def merge(old: Settings, new: Settings) -> MergeResult:
    """Merges reloaded settings into the current ones.

    Raises SettingsNotApplicable if there would be more than MOST_CLASSES class names since the start.
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
        raise SettingsNotApplicable(
            f"more than {MOST_CLASSES} names of classes since the start: restart the gateway"
        )
    changed = [
        setting.name
        for setting in fields(Settings)
        if setting.name not in NOT_COMPARED and getattr(old, setting.name) != getattr(new, setting.name)
    ]
    needs_restart = [name for name in changed if name in NEEDS_RESTART]
    unchanged = {name: getattr(old, name) for name in (*needs_restart, "seed")}
    merged = replace(new, **unchanged, classes=tuple(classes))
    applied = [name for name in changed if name not in NEEDS_RESTART]
    if merged.classes != old.classes:
        applied.append("classes")
    return MergeResult(
        merged,
        {listed_class.name: indexes[listed_class.name] for listed_class in new.classes},
        applied,
        needs_restart,
    )
