"""Deployments with different field names, request fields and settings than the default ones."""

import json
import math

import hypothesis
import pytest
from harness import OBJECT, REQUEST, SETTINGS, GatewayHarness, S, member
from hypothesis import given
from hypothesis import strategies as st
from test_ops import call, read_metrics, total

from benchmarks.deployments import run as run_deployments
from olivecourse.components import AdminServerComponent
from olivecourse.config.gateway_config import InvalidConfig, read_config
from olivecourse.config.merging import MAX_CLASSES
from olivecourse.fronts import codec

FIELDS = {"c": "fichiers", "i": REQUEST, "o": OBJECT, "d": "5000", "n": "0", "shard": "17"}
HIT = f"{REQUEST} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode()


@pytest.fixture
def harness():
    """A gateway with an administration address and default settings."""
    made = GatewayHarness(admin="127.0.0.1:0")
    yield made
    made.close()


def send_read(client, number=1, **request_fields):
    """Sends a read without a stated size; `request_fields` adds or replaces request fields."""
    client.call(number, args=codec.ServeArgs(fields=FIELDS | request_fields))


def accepts_work(harness):
    """Whether the gateway accepts work, as a client asks on a new connection."""
    client = harness.client()
    client.call(1, "isWell", 1, codec.IsWellArgs(unused=True))
    frame = harness.until(lambda: client.poll() if client.answers() else b"")
    return codec.decode(frame[4:], {"isWell": codec.Result})[3].success.good


def test_a_request_without_a_stated_size_is_served_and_its_size_stays_unknown(harness):
    client = harness.client()
    send_read(client)
    harness.until(harness.cache.line)
    assert harness.gateway.local.router.pending_requests[REQUEST].request.size_kb is None
    harness.cache.send(HIT)
    assert harness.until(client.answers) == [(1, "success", {}, b"hello")]
    send_read(client, 2, i="00" * 8, m="3.5")
    harness.until(harness.cache.line)
    assert harness.gateway.local.router.pending_requests["00" * 8].request.size_kb == 3.5, (
        "the client states a size for some requests only"
    )


def test_both_admin_addresses_accept_the_calls_of_both_deployments():
    harness = GatewayHarness(admin="127.0.0.1:0", env={"EDGE_MGMT": "localhost:0"})
    try:
        admin_servers = harness.gateway.component(AdminServerComponent).admin_servers
        assert len(admin_servers) == 2
        for _ in range(2):
            admin_servers.reverse()  # `call` uses the first address
            for path in ("/ready", "/ops/readiness", "/metrics", "/ops/stats"):
                assert call(harness, f"GET {path}")[0] == 200
            for request_parts in (
                ("POST /servers/out/s-00000001",),
                ("PUT /ops/stores/down", b'{"id":"s-00000001"}'),
            ):
                assert call(harness, *request_parts)[0] == 200 and not harness.gateway.directory.ready(1)
                assert call(harness, "POST /servers/in/s-00000001")[
                    0
                ] == 200 and harness.gateway.directory.ready(1)
            for request_parts, status in (
                ("POST /servers/out/s-0000000f", 404),
                ("POST /servers/out/", 404),
                ("GET /servers/out/s-00000001", 405),
                ("POST /servers/out", 404),
                ("GET /drain", 405),
                (f"POST /servers/out/{'x' * 300}", 400),
            ):
                assert call(harness, request_parts)[0] == status, request_parts
        refused = [v for e, v in harness.logged if e == "ops_call_refused"]
        assert refused[0] == {"call": "POST /servers/out/s-0000000f", "status": 404, "body": "b''"}
    finally:
        harness.close()


def test_a_draining_gateway_reports_not_ready_closes_idle_clients_and_answers_open_requests(harness):
    idle, busy = harness.client(), harness.client()
    assert accepts_work(harness)
    send_read(busy)
    harness.until(harness.cache.line)
    assert call(harness, "POST /drain") == (200, b'{"ok": true, "draining": true}\n')
    assert json.loads(call(harness, "GET /ready")[1]) == {"ready": False, "why": "draining"}
    assert not accepts_work(harness)
    harness.until(lambda: idle.poll() is not None and idle.closed)
    assert not busy.closed
    # A client that does not know of the drain yet gets an answer and is then disconnected.
    late = harness.client()
    send_read(late, i="00" * 8)
    harness.until(harness.cache.line)
    harness.cache.send(HIT, 0)
    harness.cache.send(HIT.replace(REQUEST.encode(), b"00" * 8))
    for client in (busy, late):
        assert harness.until(client.answers) == [(1, "success", {}, b"hello")]
        harness.until(lambda client=client: client.poll() is not None and client.closed)
    assert (
        call(harness, "POST /undrain")[0] == 200
        and call(harness, "GET /ready")[0] == 200
        and accepts_work(harness)
    )
    send_read(harness.client(), i="11" * 8)
    assert harness.until(harness.cache.line)
    assert read_metrics(harness)[total("answered")] == 2
    assert [e for e in harness.event_names() if e.startswith("drain_")] == ["drain_begins", "drain_ends"]


def class_profile(name, effect="idempotent", **overrides):
    """The settings of a class, with the given overrides."""
    return {
        "name": name,
        "on_time_ns": S // 2,
        "aim_stretch": 2.0,
        "deadline_ns": 3 * S,
        "worth": 1.0,
        "effect": effect,
        "key_scope": "all",
    } | overrides


def settings(*profiles, **limits):
    """The settings of `GatewayHarness` with other classes; the lists with one value per class are adapted."""
    family_info = SETTINGS["family_info"] | {
        name: [value] * len(profiles)
        for name, value in (("max_age_ns", 0), ("grace_for_ns", 0), ("stale_earns", 0.7))
    }
    family_info["never_kept"] = [p["effect"] == "at_most_once" for p in profiles]
    return SETTINGS | {
        "profiles": list(profiles),
        "family_info": family_info,
        "limits": SETTINGS["limits"] | limits,
    }


def reload(harness, **overrides):
    """Reloads the gateway with changed configuration keys."""
    harness.gateway.reload(harness.config(harness.raw | overrides))


def outcome_of(harness, client, number, cls):
    """Sends a read of a class and returns the kind of its answer; a store that is asked holds the object."""
    send_read(client, number, i=f"{number:016x}", c=cls)

    def ended():
        while line := harness.cache.line():
            if line.startswith("fetch"):
                assert f"sort={cls}," in line
                harness.cache.send(f"{line.split()[1]} data version=aa,stamp=1,n=HIT 1\r\nx\r\n".encode())
        return [a[1] for a in client.answers() if a[0] == number]

    return harness.until(ended)[0]


def test_a_reload_takes_new_settings_and_classes_keep_their_counts_and_open_requests(harness):
    client = harness.client()
    send_read(client)
    assert "fetch" in harness.until(harness.cache.line)
    orders, files, pages = (
        class_profile("commande", "at_most_once"),
        class_profile("fichiers"),
        class_profile("pages"),
    )
    reload(harness, settings=settings(orders, pages, class_profile("videos"), max_attempts=2))
    reload(harness, settings=settings(pages, orders, class_profile("videos"), max_attempts=2))
    assert harness.gateway.local.router.settings.max_attempts == 2
    harness.cache.send(HIT)
    assert harness.until(client.answers) == [(1, "success", {}, b"hello")], (
        "the request was accepted under the old settings"
    )
    assert [outcome_of(harness, client, n, c) for n, c in ((2, "videos"), (3, "fichiers"), (4, "pages"))] == [
        "success"
    ] * 3, "clients that still use a removed class are served for a while"
    harness.until(lambda: "fichiers" not in harness.gateway.front.classes)
    assert [outcome_of(harness, client, n, c) for n, c in ((5, "fichiers"), (6, "videos"))] == [
        "fault",
        "success",
    ]
    reload(harness, settings=settings(files, orders, max_attempts=2))
    assert outcome_of(harness, client, 7, "fichiers") == "success", "the class is back at its old index"
    metrics = read_metrics(harness)
    assert [metrics[total("answered", c)] for c in ("fichiers", "commande", "pages", "videos")] == [
        3,
        0,
        1,
        2,
    ]
    reload_events = [v for e, v in harness.logged if e == "reloaded"]
    assert reload_events[0] == {"moved": ["max_attempts", "classes"], "needs_restart": []}
    assert "router_fault" not in harness.event_names()


def test_a_request_whose_class_becomes_at_most_once_before_its_answer_is_lost_is_not_repeated(harness):
    client = harness.client()
    send_read(client)
    assert "fetch" in harness.until(harness.cache.line)
    reload(
        harness,
        settings=settings(
            class_profile("fichiers", "at_most_once"), class_profile("commande", "at_most_once")
        ),
    )
    harness.cache.conns[-1].close()
    harness.cache.conns.pop()
    assert harness.until(client.answers)[0][1] == "failed"
    assert harness.cache.line() is None


def test_reloads_limit_class_names_and_report_settings_that_need_a_restart(harness):
    old_config = harness.gateway.config
    with pytest.raises(ValueError, match="names of classes"):
        reload(harness, settings=settings(*(class_profile(f"c{i}") for i in range(MAX_CLASSES))))
    assert harness.gateway.config is old_config
    reload(harness, settings=SETTINGS | {"az": 0, "zones": ["hub-nord", "edge-1", "edge-2"]})
    assert [v for e, v in harness.logged if e == "reloaded"][0]["needs_restart"] == ["zones", "zone"]
    assert harness.gateway.local.router.settings.zone == 1


UNUSABLE = st.one_of(
    st.tuples(
        st.sampled_from(["deadline_ns", "on_time_ns", "worth", "aim_stretch"]),
        st.sampled_from([-5, -0.1, math.nan, math.inf, "x", "", []]),
    ),
    st.tuples(st.just("deadline_ns"), st.just(0)),
    st.tuples(st.just("name"), st.sampled_from(["", "commande"])),
    st.tuples(st.just("effect"), st.sampled_from(["", "safe", 3])),
)


@given(UNUSABLE)
@hypothesis.settings(max_examples=60)
def test_unusable_settings_are_rejected_at_the_start_and_at_a_reload(field_and_value):
    """A deadline of -5 was once accepted, together with the address of a missing discovery server."""
    field, value = field_and_value
    raw = {
        "listen": "127.0.0.1:0",
        "board": "127.0.0.1:9",
        "settings": settings(
            class_profile("fichiers") | {field: value}, class_profile("commande", "at_most_once")
        ),
    }
    with pytest.raises(InvalidConfig):
        read_config(raw, {})


def test_load_reports_are_read_under_both_field_names_and_malformed_ones_are_ignored():
    report_settings = SETTINGS | {"stats": {"how": "piggyback", "fields": ["active", "cpu", "x0"]}}
    harness = GatewayHarness(settings=report_settings)
    try:
        client = harness.client()
        for number, report in enumerate(
            (
                "inflight:8;util:0.5;x0:1",
                "cpu:0.5;other:3;active:8",
                "active:",
                "x",
                "cpu:nan;active:8",
                "cpu:0.5",
            ),
            1,
        ):
            send_read(client, number, i=f"{number:016x}")
            harness.until(harness.cache.line)
            node = harness.gateway.local.router.nodes[1]
            node.reported_capacity = 0.0
            answer = f"{number:016x} data version=aa,stamp=1,n=HIT,l={report} 1\r\nx\r\n"
            harness.cache.send(answer.encode())
            harness.until(lambda n=number: [a for a in client.answers() if a[0] == n])
            harness.turn()
            assert node.reported_capacity == (8.0 if number < 3 else 0.0), report
        assert [a[1] for a in client.answers()] == ["success"] * 6
    finally:
        harness.close()


def test_a_store_is_assigned_to_a_zone_by_its_kind_when_a_hub_has_the_name_of_an_office():
    """Every store of the office was once assigned to the zone of the hub with the same name."""
    harness = GatewayHarness(settings=SETTINGS | {"zones": ["edge-1", "edge-1"]})
    try:
        members = harness.gateway.directory.members
        assert [members[n].zone for n in (1, 8, 9)] == [1, None, None], "no zone is named hub-nord"
        harness.gateway.on_events(
            [{"pool": {"members": [member("s-00000008", harness.parent.address, "parent", "edge-1")]}}]
        )
        assert members[8].zone == 0
        client = harness.client()
        send_read(client)
        assert harness.until(harness.cache.line)
    finally:
        harness.close()


def test_metrics_are_published_under_the_names_of_both_deployments(harness):
    client = harness.client()
    for number in (1, 2):
        assert outcome_of(harness, client, number, "fichiers") == "success"
    reload(
        harness,
        settings=settings(
            class_profile("fichiers"), class_profile("commande", "at_most_once"), max_attempts=3
        ),
    )
    text = call(harness, "GET /metrics")[1].decode()
    values = dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    for name, other_name in (
        (total("answered"), 'lb_served_total{class="fichiers"}'),
        (total("deferred", "commande"), 'lb_refused_total{class="commande"}'),
        (total("errored"), 'lb_failed_total{class="fichiers"}'),
        ("app_sends_total", "lb_attempts_total"),
        ("app_current", "lb_in_flight"),
        ("app_cluster_size", "lb_servers_known"),
        ("app_cluster_unhealthy", "lb_servers_out"),
        ("app_conf_invalid_total", "lb_reloads_refused_total"),
    ):
        assert values[name] == values[other_name], other_name
    assert float(values[total("answered")]) == 2.0 and float(values["lb_attempts_total"]) == 2.0
    assert (float(values["app_conf_loaded_total"]), float(values["lb_reloads_total"])) == (2.0, 1.0)


def test_unused_settings_are_listed_and_ignored():
    settings_with_unused_keys = SETTINGS | {
        "extras": {"x_new": [1, {"b": None}]},
        "profiles": [p | {"flavour": 1} for p in SETTINGS["profiles"]],
    }
    config = read_config({"listen": "127.0.0.1:0", "settings": settings_with_unused_keys}, {})
    default_config = read_config({"listen": "127.0.0.1:0", "settings": SETTINGS}, {})
    assert (
        set(config.unused_paths) - set(default_config.unused_paths) >= {"profiles.*.flavour"}
        and config.settings == default_config.settings
    )
    assert any(name.startswith("extras.x_new") for name in config.unused_paths)


def test_random_deployments_are_served_by_the_rules():
    """Runs 16 of the 300 cases of `python -m benchmarks deployments`, each with a gateway process."""
    result = run_deployments(short=True, seed=1, trials=16)
    assert result["failed"] == 0, result
