"""Reads the settings of a gateway, from the path=value pairs of the simulator's start message or from nested
JSON.

The table SETTINGS maps each setting to its path, such as "limits.max_attempts". Nested JSON is converted to
path=value pairs first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import fields
from typing import Any

from olivecourse import interface

Convert = Callable[[str], Any]


class Malformed(Exception):
    """Raised for a line of the simulator's protocol or a setting that does not follow the expected format, or
    has a value that a gateway cannot serve with.
    """


def read_flag(text: str) -> bool:
    """Returns whether the text is "1" or "true". Raises ValueError unless it is one of these, "0" or
    "false".
    """
    if text not in ("0", "1", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def read_list(parse: Convert) -> Convert:
    """Returns a function that parses a comma-separated list into a tuple, each element with `parse`."""
    return lambda text: tuple(parse(item) for item in text.split(",")) if text else ()


# For each field of `Settings`, its path in the simulator's start message or the nested JSON, and its parser.
SETTINGS: dict[str, tuple[str, Convert]] = {
    "me": ("me", int),
    "routers": ("instances", int),
    "zone": ("az", int),
    "zones": ("zones", read_list(str)),
    "zone_hub": ("family_info.zone_hub", read_list(int)),
    "zone_routers": ("family_info.seats_by_zone", read_list(int)),
    "zone_link_kb_per_s": ("family_info.pipe_kb_per_s", read_list(float)),
    "ask_discovery": ("discovery", lambda v: v == "ask"),
    "ask_every_ns": ("contract.ask_every_ns", int),
    "tick_ns": ("period_ns", int),
    "parent_kind": ("family_info.mid_kind", int),
    "origin_kind": ("family_info.source_kind", int),
    "direct": ("family_info.may_pass_by", read_flag),
    "joins": ("family_info.joins", read_flag),
    "siblings": ("family_info.siblings", str),
    "notes": ("family_info.notes_given", str),
    "client_kb_per_s": ("family_info.client_kb_per_s", float),
    "weights": ("weight_kind", str),
    "report_fields": ("stats.fields", read_list(str)),
    "report_how": ("stats.how", str),
    "cancel": ("limits.cancel", read_flag),
    "probes": ("limits.probes", read_flag),
    "second_copies": ("limits.second_copies", read_flag),
    "retry_after": ("limits.retry_after", read_flag),
    "max_retry_after_ns": ("limits.max_retry_after_ns", int),
    "max_attempts": ("limits.max_attempts", int),
    "answer_slack_ns": ("contract.grace_to_answer_ns", int),
    "drain_grace_ns": ("contract.stop_sending_within_ns", int),
    "cold_from": ("contract.cold_from", float),
    "cold_ns": ("contract.cold_ns", int),
    "fall_multiple": ("contract.tip_multiple", float),
    "fall_ns": ("contract.overload_for_ns", int),
    "parent_cold_from": ("family_info.parent_floor", float),
    "parent_cold_ns": ("family_info.parent_ramp_ns", int),
    "parent_fall_multiple": ("family_info.parent_limit_factor", float),
    "origin_fall_multiple": ("family_info.origin_fall_multiple", float),
    "origin_fall_ns": ("family_info.root_fall_ns", int),
    "purge_grace_ns": ("family_info.purge_grace_ns", int),
    "purge_settles_ns": ("family_info.purge_settles_ns", int),
    "marks_retry": ("client_habits.marks_retry", read_flag),
    "price_fill": ("family_info.transit_price", float),
    "price_origin": ("fees.origin", float),
    "price_waste": ("fees.waste", float),
    "price_probe": ("fees.probe", float),
    "price_late_fail": ("fees.late_fail", float),
}
# For each field of a request class, its path below `profiles.INDEX.`, and its parser.
CLASS_SETTINGS: dict[str, tuple[str, Convert]] = {
    "name": ("name", str),
    "aim_ns": ("on_time_ns", int),
    "aim_stretch": ("aim_stretch", float),
    "deadline_ns": ("deadline_ns", int),
    "worth": ("worth", float),
    "late_worth": ("late_worth", float),
    "effect": ("effect", interface.Effect),
    "key_scope": ("key_scope", interface.Scope),
    "key_memory_ns": ("memory_span_ns", int),
    "streamed": ("streamed", read_flag),
}
# Further fields of a request class. The start message has a list for each, outside `profiles`, with one
# element for each class; this is the path of the list and the parser of an element.
CLASS_LISTS: dict[str, tuple[str, Convert]] = {
    "fresh_ns": ("family_info.max_age_ns", int),
    "stale_grace_ns": ("family_info.grace_for_ns", int),
    "stale_worth": ("family_info.stale_earns", float),
    "write": ("family_info.never_kept", read_flag),
}


def _parse_fields(
    text_by_path: dict[str, str], table: dict[str, tuple[str, Convert]], prefix: str = ""
) -> dict[str, Any]:
    """Returns the parsed values of those fields of `table` whose path, after `prefix`, is in `text_by_path`.
    The text "-" means no value. Raises Malformed.
    """
    values: dict[str, Any] = {}
    for field, (path, convert) in table.items():
        text = text_by_path.get(prefix + path)
        if text is not None and text != "-":
            try:
                values[field] = convert(text)
            except ValueError:
                raise Malformed(f"conf {prefix}{path}: cannot read {text!r}") from None
    return values


def read_settings(seed: int, pairs: Iterable[str]) -> interface.Settings:
    """Returns the settings that path=value pairs, as in the simulator's start message, contain. Unknown paths
    are ignored. Raises Malformed.
    """
    values = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
    count = _parse_fields(values, {"count": ("profiles.count", int)}).get("count", 0)
    classes = []
    for index in range(count):
        class_values = _parse_fields(values, CLASS_SETTINGS, f"profiles.{index}.")
        for field, (path, convert) in CLASS_LISTS.items():
            column = _parse_fields(values, {field: (path, read_list(convert))}).get(field, ())
            if index < len(column):
                class_values[field] = column[index]
        # For a class without a target time `aim_ns`, any answer within the deadline counts as on time.
        class_values["aim_ns"] = class_values.get("aim_ns") or class_values.get("deadline_ns", 0)
        classes.append(interface.RequestClass(**class_values))
    return interface.Settings(seed=seed, classes=tuple(classes), **_parse_fields(values, SETTINGS))


# Paths of settings that other functions than `_parse_fields` with the tables above read.
PATHS_READ_ELSEWHERE = {
    "kinds",
    "profiles.count",
    "limits.connect_timeout_ns",
    "limits.conn_idle_ns",
    "limits.streams_per_conn",
}
MAX_REPORTED_PATHS = 40  # Maximum number of paths of unused settings that `unused_paths` returns.


def unused_paths(pairs: Iterable[str]) -> tuple[str, ...]:
    """Returns the sorted paths of the settings that this program does not use, at most MAX_REPORTED_PATHS, to
    be logged at the start. The paths of a request class appear under `profiles.*`. Such settings may stay in
    the file and have no effect.
    """
    known_paths = PATHS_READ_ELSEWHERE | {path for path, _ in (*SETTINGS.values(), *CLASS_LISTS.values())}
    known_paths |= {f"profiles.*.{path}" for path, _ in CLASS_SETTINGS.values()}
    paths = (pair.partition("=")[0] for pair in pairs)
    normalized_paths = (
        "profiles.*." + setting_path.split(".", 2)[2]
        if setting_path.startswith("profiles.") and setting_path.count(".") > 1
        else setting_path
        for setting_path in paths
    )
    return tuple(sorted(set(normalized_paths) - known_paths))[:MAX_REPORTED_PATHS]


# Fields of `Settings` that are the index of a kind of servers, where -1 means that there is no such kind. All
# other numbers must not be negative.
MAY_BE_MINUS_ONE = ("parent_kind", "origin_kind")


def check_settings(settings: interface.Settings) -> None:
    """Raises Malformed if a gateway could not serve with these settings. Called for a configuration file, at
    the start and at a reload.

    Unlike the simulator's start message, which is not checked, a file may have been written by hand.
    """
    if not settings.classes:
        raise Malformed("profiles: no class of requests")
    names = [request_class.name for request_class in settings.classes]
    for name in names:
        if not name or names.count(name) > 1:
            raise Malformed(f"profiles: a class {'listed twice: ' + name if name else 'without a name'}")
    sections: list[tuple[str, Any]] = [
        ("", settings),
        *((f"class {request_class.name}: ", request_class) for request_class in settings.classes),
    ]
    for prefix, section in sections:
        for field in fields(section):
            value = getattr(section, field.name)
            for number in value if isinstance(value, tuple) else (value,):
                if isinstance(number, int | float) and not (
                    math.isfinite(number) and (number >= 0 or field.name in MAY_BE_MINUS_ONE)
                ):
                    raise Malformed(f"{prefix}{field.name} is {number}")
    for request_class in settings.classes:
        if not request_class.deadline_ns:
            raise Malformed(f"class {request_class.name}: no deadline")
    if not settings.max_attempts:
        raise Malformed("max_attempts is 0")


def nested_pairs(value: Any, path: str = "") -> Iterator[str]:
    """Yields a parsed JSON object as path=value pairs, as in the simulator's start message. Names are joined
    by dots, and a list of objects also yields its length as PATH.count.
    """
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from nested_pairs(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for index, inner in enumerate(value):
            yield from nested_pairs(inner, f"{path}.{index}")
    else:
        yield f"{path}={','.join(map(_plain_text, value)) if isinstance(value, list) else _plain_text(value)}"


def _plain_text(value: Any) -> str:
    """Returns a JSON value other than an object or list as the simulator's start message writes it: None as
    "-", whole floats as integers, and spaces and commas in a text as underscores.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "-"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")
