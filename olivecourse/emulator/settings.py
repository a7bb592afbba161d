"""Gateway settings of a small installation, for demonstrations, benchmarks and tests."""

from __future__ import annotations

from typing import Any

S = 1_000_000_000


def settings(classes: list[tuple[str, int, str, bool]], **limits: Any) -> dict[str, Any]:
    """Returns gateway settings with a class for each (name, deadline in ms, effect, whether it writes).

    The effect is "idempotent" or "at_most_once". `limits` override entries of the section `limits`.
    """
    count = len(classes)
    return {
        "me": 0,
        "instances": 1,
        "az": 1,
        "zones": ["hub-nord", "praia"],
        "kinds": ["petit", "parent", "origin"],
        "discovery": "push",
        "period_ns": 2_000_000,
        "weight_kind": "rough",
        "family_info": {
            "zone_hub": [0, 0],
            "seats_by_zone": [0, 1],
            "mid_kind": 1,
            "source_kind": 2,
            "joins": True,
            "may_pass_by": False,
            "siblings": "location",
            "notes_given": "all",
            "client_kb_per_s": 5000.0,
            "max_age_ns": [0] * count,
            "grace_for_ns": [0] * count,
            "stale_earns": [0.7] * count,
            "never_kept": [writes for *_, writes in classes],
            "purge_grace_ns": 300_000_000,
            "purge_settles_ns": 6 * S,
            "parent_floor": 0.064,
            "parent_ramp_ns": 18 * S,
            "parent_limit_factor": 2.0,
        },
        "limits": {
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": S,
            "max_attempts": 8,
            "connect_timeout_ns": 400_000_000,
            "conn_idle_ns": 15 * S,
            "streams_per_conn": 100,
            "peers": False,
            **limits,
        },
        "contract": {
            "grace_to_answer_ns": 8_000_000,
            "stop_sending_within_ns": 250_000_000,
            "cold_from": 0.16,
            "cold_ns": 15 * S,
            "tip_multiple": 2.5,
            "overload_for_ns": 3 * S,
        },
        "profiles": [
            {
                "name": name,
                "on_time_ns": 600_000_000,
                "aim_stretch": 2.0,
                "deadline_ns": deadline_ms * 1_000_000,
                "worth": 1.0,
                "late_worth": 0.1,
                "effect": effect,
                "key_scope": "all",
                "memory_span_ns": 5 * S,
                "streamed": False,
            }
            for name, deadline_ms, effect, _ in classes
        ],
    }
