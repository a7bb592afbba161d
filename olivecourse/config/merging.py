"""Decides which settings of a reloaded configuration take effect while requests run. No I/O.

A request class keeps its index for the life of the process, because open requests, counters and learned
values refer to classes by index. A known class keeps its index with its new settings, a new class gets the
next index, and a class that is no longer listed keeps its index without receiving requests.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from olivecourse.interface import Settings

# Maximum number of request class names in the life of a process. Each name keeps its counters and averages
# until the process ends, also after a reload has removed it from the configuration.
MAX_CLASSES = 256
# Settings that a reload does not apply: they define what a gateway is and where it is located, and data
# structures are sized and arranged by them at the start.
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
# Settings that are not compared to find what a reload changed: the seed differs at every start, and the
# request classes are merged one by one.
NOT_COMPARED = ("seed", "classes")


class SettingsNotApplicable(ValueError):
    """Raised for reloaded settings that cannot be applied; the settings in use stay as they are."""


@dataclass(frozen=True)
class MergeResult:
    """The result of merging a reloaded configuration.

    `settings` are the settings to use from now on. `current_indexes` maps the name of each request class that
    the reloaded configuration lists to its index. `applied` names the changed settings that take effect now,
    and `needs_restart` those that take effect only at a restart.
    """

    settings: Settings
    current_indexes: dict[str, int]
    applied: list[str]
    needs_restart: list[str]


def merge(old: Settings, new: Settings) -> MergeResult:
    """Merges the reloaded settings `new` into the current ones, `old`, and changes neither.

    Raises SettingsNotApplicable if there would be more than MAX_CLASSES names of request classes since the
    start.
    """
    indexes = {listed_class.name: index for index, listed_class in enumerate(old.classes)}
    classes = list(old.classes)
    for request_class in new.classes:
        if request_class.name in indexes:
            classes[indexes[request_class.name]] = request_class
        else:
            indexes[request_class.name] = len(classes)
            classes.append(request_class)
    if len(classes) > MAX_CLASSES:
        raise SettingsNotApplicable(
            f"more than {MAX_CLASSES} names of classes since the start: restart the gateway"
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
