"""The settings that an instance is given, from the simulator's path=value pairs or from nested JSON.

One table names where each setting stands; nested JSON is first written as the same pairs.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import fields
from typing import Any

from olivecourse import interface as w

Convert = Callable[[str], Any]


class Malformed(Exception):
    """A line or a setting that does not follow the wire."""


def read_flag(text: str) -> bool:
    if text not in ("0", "1", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def read_list(of: Convert) -> Convert:
    return lambda text: tuple(of(v) for v in text.split(",")) if text else ()


# Where each setting stands in the start message.
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
CLASS: dict[str, tuple[str, Convert]] = {
    "name": ("name", str),
    "aim_ns": ("on_time_ns", int),
    "aim_stretch": ("aim_stretch", float),
    "deadline_ns": ("deadline_ns", int),
    "worth": ("worth", float),
    "late_worth": ("late_worth", float),
    "effect": ("effect", w.Effect),
    "key_scope": ("key_scope", w.Scope),
    "key_memory_ns": ("memory_span_ns", int),
    "streamed": ("streamed", read_flag),
}
# Per-class lists that the start message keeps apart from the classes.
CLASS_LISTS: dict[str, tuple[str, Convert]] = {
    "fresh_ns": ("family_info.max_age_ns", int),
    "stale_grace_ns": ("family_info.grace_for_ns", int),
    "stale_worth": ("family_info.stale_earns", float),
    "write": ("family_info.never_kept", read_flag),
}


def _pick(conf: dict[str, str], table: dict[str, tuple[str, Convert]], prefix: str = "") -> dict[str, Any]:
    found: dict[str, Any] = {}
    for field, (path, convert) in table.items():
        text = conf.get(prefix + path)
        if text is not None and text != "-":
            try:
                found[field] = convert(text)
            except ValueError:
                raise Malformed(f"conf {prefix}{path}: cannot read {text!r}") from None
    return found


def read_settings(seed: int, pairs: Iterable[str]) -> w.Settings:
    """The typed settings of a start message's path=value pairs; unknown paths are passed over."""
    conf = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
    count = _pick(conf, {"count": ("profiles.count", int)}).get("count", 0)
    classes = []
    for i in range(count):
        own = _pick(conf, CLASS, f"profiles.{i}.")
        for field, (path, convert) in CLASS_LISTS.items():
            row = _pick(conf, {field: (path, read_list(convert))}).get(field, ())
            if i < len(row):
                own[field] = row[i]
        own["aim_ns"] = own.get("aim_ns") or own.get("deadline_ns", 0)  # not told: any time will do
        classes.append(w.RequestClass(**own))
    return w.Settings(seed=seed, classes=tuple(classes), **_pick(conf, SETTINGS))


READ_ELSEWHERE = {
    "kinds",
    "profiles.count",
    "limits.connect_timeout_ns",
    "limits.conn_idle_ns",
    "limits.streams_per_conn",
}
MOST_UNREAD = 40  # names that are told of


def unread(pairs: Iterable[str]) -> tuple[str, ...]:
    """The paths that nothing here reads, a class's under `profiles.*`: kept in the file, without effect."""
    known = READ_ELSEWHERE | {path for path, _ in (*SETTINGS.values(), *CLASS_LISTS.values())}
    known |= {f"profiles.*.{path}" for path, _ in CLASS.values()}
    paths = (pair.partition("=")[0] for pair in pairs)
    plain = (
        "profiles.*." + p.split(".", 2)[2] if p.startswith("profiles.") and p.count(".") > 1 else p
        for p in paths
    )
    return tuple(sorted(set(plain) - known))[:MOST_UNREAD]


NONE_OF_THE_KIND = ("parent_kind", "origin_kind")  # -1 tells that there is none


def check(settings: w.Settings) -> None:
    """Raises Malformed where a gateway could not serve by these settings: for a start and for a reload.

    Unlike the simulator's start message, a file may have been written by hand.
    """
    if not settings.classes:
        raise Malformed("profiles: no class of requests")
    names = [c.name for c in settings.classes]
    for name in names:
        if not name or names.count(name) > 1:
            raise Malformed(f"profiles: a class {'told twice: ' + name if name else 'without a name'}")
    parts: list[tuple[str, Any]] = [("", settings), *((f"class {c.name}: ", c) for c in settings.classes)]
    for place, told in parts:
        for field in fields(told):
            value = getattr(told, field.name)
            for one in value if isinstance(value, tuple) else (value,):
                if isinstance(one, int | float) and not (
                    math.isfinite(one) and (one >= 0 or field.name in NONE_OF_THE_KIND)
                ):
                    raise Malformed(f"{place}{field.name} is {one}")
    for c in settings.classes:
        if not c.deadline_ns:
            raise Malformed(f"class {c.name}: no deadline")
    if not settings.max_attempts:
        raise Malformed("max_attempts is 0")


def nested_pairs(value: Any, path: str = "") -> Iterator[str]:
    """The pairs of a nested object, as the simulator's start message writes them."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from nested_pairs(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        yield f"{path}.count={len(value)}"
        for i, inner in enumerate(value):
            yield from nested_pairs(inner, f"{path}.{i}")
    else:
        yield f"{path}={','.join(map(_plain, value)) if isinstance(value, list) else _plain(value)}"


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "-"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")
