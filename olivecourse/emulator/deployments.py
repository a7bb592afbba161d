"""Random deployments for tests: gateway settings, stores and faults that the protocol allows.

All are drawn from a seed; the same seed always gives the same deployment.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from olivecourse.emulator.clients import TrafficClass

MS, S = 1_000_000, 1_000_000_000  # nanoseconds in a millisecond, in a second
HUB_ZONES = ("north", "central", "south", "hub-nord", "hub-sud", "east", "coast")
EDGE_ZONES = ("praia", "edge-1", "office-7", "north-2", "da-nang")
CLASS_NAMES = (
    "fichiers",
    "pages",
    "commande",
    "bid-submit",
    "notice-page",
    "a",
    "x.y_z",
    "briefing-video",
    "k9",
)
REPORT_FIELDS = ("active", "cpu", "x0", "x1", "avg_ms", "rps", "waiting")
# Names of load report fields: the settings use the one on the left; stores may report the field under the
# one on the right instead.
REPORT_FIELD_ALIASES = {"active": "inflight", "cpu": "util"}
ADMIN_ADDRESS_KEYS = {"mgmt": "EDGE_MGMT", "admin": "EDGE_ADMIN"}
FAULTS = ("none", "board refuses", "drain by hand", "file replaced", "file spoilt", "store resets")


@dataclass(frozen=True)
class RandomDeployment:
    """A randomly drawn deployment of one gateway.

    `stores` holds the name, kind and zone of each store, `reports` the load report fields in their answers,
    `at_most_once_classes` the classes whose requests must not run twice, and `fresh_ms` by class the greatest
    age in ms of a copy that may be served (0: any age). `doors` are the keys of ADMIN_ADDRESS_KEYS whose
    administration ports are open, `troubles` the faults of FAULTS to inject, in this order, and `replaced`
    the complete settings that a configuration reload brings. `drain_s` is the time in seconds within which
    the gateway must stop sending requests to a draining store, and `purge_s` that within which it must stop
    using purged copies. With `changes_at_start` the first server list from discovery has only one
    store, and a list of changes adds the others. `office` is the edge zone of the gateway.
    """

    seed: int
    settings: dict[str, Any]
    traffic_classes: tuple[TrafficClass, ...]
    at_most_once_classes: frozenset[str]
    fresh_ms: dict[str, int]
    stores: tuple[tuple[str, str, str], ...]
    reports: tuple[str, ...]
    doors: tuple[str, ...]
    troubles: tuple[str, ...]
    drain_s: float
    purge_s: float
    changes_at_start: bool
    office: str
    replaced: dict[str, Any] = field(default_factory=dict)


def draw_deployment(seed: int) -> RandomDeployment:
    """Draws a deployment at random; the same `seed` always gives the same one."""
    rng = random.Random(seed)
    hubs = rng.sample(HUB_ZONES, rng.randint(1, 5))
    offices = rng.sample(EDGE_ZONES, rng.randint(1, 2))
    if rng.random() < 0.1:
        hubs[0] = offices[0]  # settings may use one name for both a hub zone and an edge zone
    traffic_classes, profiles, per_class = _classes(rng)
    parents = rng.randint(0, len(hubs))
    direct = rng.random() < 0.6
    drain_grace_ms, purge_grace_ms = rng.choice([100, 250, 500, 1000]), rng.choice([250, 300, 600])
    fields = tuple(rng.sample(REPORT_FIELDS, rng.randint(1, 4))) if rng.random() < 0.5 else ()
    sized_per_ten = rng.choice([0, 4, 10])
    settings: dict[str, Any] = {
        "me": 0,
        "instances": rng.randint(1, 6),
        "az": len(hubs),
        "zones": [*hubs, *offices],
        "kinds": ["small", "parent", "origin"],
        "discovery": "push",
        "period_ns": 2 * MS,
        "weight_kind": rng.choice(["rough", "exact", "silent"]),
        "family_info": {
            "zone_hub": [*range(len(hubs)), *(0 for _ in offices)],
            "seats_by_zone": [*(0 for _ in hubs), *(rng.randint(1, 3) for _ in offices)],
            "mid_kind": 1 if parents else -1,
            "source_kind": 2,
            "joins": rng.random() < 0.8,
            "may_pass_by": direct,
            "siblings": rng.choice(["none", "location"]),
            "notes_given": rng.choice(["all", "all", "hit"]),
            **per_class,
            "purge_grace_ns": purge_grace_ms * MS,
            "purge_settles_ns": 6 * S,
            "parent_floor": 0.06,
            "parent_ramp_ns": 18 * S,
            "parent_limit_factor": 2.0,
        },
        "limits": {
            "cancel": rng.random() < 0.8,
            "second_copies": rng.random() < 0.5,
            "retry_after": rng.random() < 0.7,
            "max_retry_after_ns": rng.choice([0, S, 2 * S]),
            "max_attempts": rng.randint(1, 8),
            "connect_timeout_ns": 400 * MS,
            "conn_idle_ns": rng.choice([4, 15, 30]) * S,
            "streams_per_conn": rng.choice([1, 32, 100]),
            "probes": rng.random() < 0.5,
            "peers": False,
        },
        "contract": {
            "grace_to_answer_ns": 8 * MS,
            "stop_sending_within_ns": drain_grace_ms * MS,
            "cold_from": 0.16,
            "cold_ns": rng.choice([0, 5, 15]) * S,
            "tip_multiple": 2.5,
            "overload_for_ns": 2 * S,
        },
        "profiles": profiles,
    }
    if sized_per_ten:
        settings["family_info"]["client_kb_per_s"] = rng.choice([2200.0, 5000.0, 12000.0])
    if fields:
        settings["stats"] = {"how": "piggyback", "fields": list(fields)}
    if rng.random() < 0.5:
        settings["fees"] = {"origin": 0.045, "waste": 0.03, "probe": 0.013, "late_fail": 0.03}
    if rng.random() < 0.4:  # settings unknown to the gateway, which it must ignore
        settings["extras"] = {"x_new": [1, {"b": None}], "note": "a, b=c"}
        settings["limits"]["x_limit"] = {"deep": [True, 1.5]}
    stores = [(f"s-{n:08x}", "small", offices[0]) for n in range(1, rng.randint(3, 4) + 1)]
    stores += [(f"s-{0x20 + n:08x}", "small", office) for n, office in enumerate(offices[1:])]
    stores += [(f"s-{0x40 + n:08x}", "parent", hubs[n]) for n in range(parents)]
    stores.append(("s-00000099", "origin", hubs[0]))
    troubles = tuple(rng.sample(FAULTS[1:], rng.randint(0, 3)))
    doors = tuple(rng.sample(sorted(ADMIN_ADDRESS_KEYS), rng.choice([0, 1, 1, 2])))
    if not doors:
        troubles = tuple(t for t in troubles if t != "drain by hand")
    settings["settings_of"] = seed  # another setting unknown to the gateway, which it must ignore
    return RandomDeployment(
        seed,
        settings,
        tuple(
            TrafficClass(traffic.name, traffic.share, traffic.deadline_ms, traffic.write, sized_per_ten)
            for traffic in traffic_classes
        ),
        frozenset(p["name"] for p in profiles if p["effect"] == "at_most_once"),
        {p["name"]: per_class["max_age_ns"][i] // MS for i, p in enumerate(profiles)},
        tuple(stores),
        tuple(REPORT_FIELD_ALIASES.get(f, f) if rng.random() < 0.7 else f for f in fields),
        doors,
        troubles,
        drain_grace_ms / 1000,
        purge_grace_ms / 1000,
        rng.random() < 0.3,
        offices[0],
        _replacement_settings(rng, settings),
    )


def _classes(rng: random.Random) -> tuple[list[TrafficClass], list[dict[str, Any]], dict[str, list[Any]]]:
    """Draws one to five request classes.

    Returns the client traffic of each class, the `profiles` of the gateway's settings, and the `family_info`
    settings that list one value per class, by name.
    """
    names = rng.sample(CLASS_NAMES, rng.randint(1, 5))
    write_safety = rng.choice(["mixed", "mixed", "mixed", "all safe", "none safe"])
    traffic_classes, profiles = [], []
    per_class: dict[str, list[Any]] = {
        "max_age_ns": [],
        "grace_for_ns": [],
        "stale_earns": [],
        "never_kept": [],
    }
    for name in names:
        at_most_once = write_safety == "none safe" or write_safety == "mixed" and rng.random() < 0.4
        write = at_most_once and rng.random() < 0.8 or rng.random() < 0.05
        deadline_ms = rng.choice([800, 1200, 1800])
        profile = {
            "name": name,
            "on_time_ns": rng.choice([200, 400, 600]) * MS,
            "deadline_ns": deadline_ms * MS,
            "worth": rng.choice([0.5, 1.0, 3.0]),
            "late_worth": 0.1,
            "aim_stretch": 2.0,
            "effect": "at_most_once" if at_most_once else "idempotent",
            "key_scope": "all",
            "memory_span_ns": 5 * S,
            "streamed": False,
        }
        for omitted in rng.sample(
            ["on_time_ns", "late_worth", "aim_stretch", "key_scope", "streamed"], rng.choice([0, 0, 1, 3])
        ):
            del profile[omitted]
        profiles.append(profile)
        traffic_classes.append(TrafficClass(name, rng.uniform(0.2, 1.0), deadline_ms, write))
        max_age_ns = 0 if write else rng.choice([0, 0, 3, 8]) * S
        for key, value in (
            ("max_age_ns", max_age_ns),
            ("grace_for_ns", max_age_ns // 4),
            ("stale_earns", 0.7),
            ("never_kept", write),
        ):
            per_class[key].append(value)
    return traffic_classes, profiles, per_class


def _replacement_settings(rng: random.Random, settings: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings that a configuration reload brings.

    Compared with `settings`, the classes are in another order, one may be added, and max_attempts is drawn
    again.
    """
    classes = [*settings["profiles"]]
    rng.shuffle(classes)
    order = [settings["profiles"].index(c) for c in classes]
    per_class = {
        key: [settings["family_info"][key][i] for i in order]
        for key in ("max_age_ns", "grace_for_ns", "stale_earns", "never_kept")
    }
    if rng.random() < 0.7:
        classes.append({**classes[0], "name": "added"})
        for key, values in per_class.items():
            per_class[key] = [*values, values[0]]
    return {
        **settings,
        "profiles": classes,
        "family_info": {**settings["family_info"], **per_class},
        "limits": {**settings["limits"], "max_attempts": rng.randint(1, 8)},
    }
