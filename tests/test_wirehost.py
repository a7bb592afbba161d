"""Tests of the wire adapter through its text lines."""

import io

import pytest
from test_library import CONFIG, MEMBERS

from olivecourse import interface, wirehost
from olivecourse.wirehost import read_settings, serve


def run(*lines):
    output = io.StringIO()
    return serve(io.StringIO("\n".join(lines) + "\n"), output), output.getvalue().splitlines()


START = (
    "CLOCK 1000",
    f"INIT gateway/3 5 {CONFIG}",
    *MEMBERS.split("\n"),
    "ENDPOINTS gateway/3 1 warm_copy 0",
)
REQUEST_LINE = "INGRESS gateway/3 06365a895d3a91c4 0 0 c/a 240000000 640 11 3 1"


def test_an_empty_batch_gets_an_empty_reply():
    assert run("CLOCK 5", "FLUSH", "", "CLOCK 6", "FLUSH") == (0, ["YIELD", "YIELD"])


def test_a_request_becomes_a_read_through():
    code, reply = run(*START, REQUEST_LINE, "FLUSH")
    assert code == 0
    (sent,) = [x.split() for x in reply if x.startswith("READ_THROUGH")]
    assert sent[1:3] == ["gateway/3", "06365a895d3a91c4"] and sent[3][0] == "1" and sent[5] == "21"
    assert any(x.startswith("AFTER gateway/3 ") for x in reply)


def test_list_numbers_may_be_reused_within_a_batch():
    code, reply = run(
        "CLOCK 1000",
        f"INIT gateway/3 5 {CONFIG}",
        *MEMBERS.split("\n"),
        "ENDPOINTS gateway/3 1 total 0",
        "REGISTER 0 1",
        "CACHE 11 1 0 1 gone 0 0",
        "ENDPOINTS gateway/3 2 incr 0",
        "REGISTER 0 1",
        "CACHE 12 1 0 1 gone 0 0",
        "ENDPOINTS gateway/3 3 incr 0",
        REQUEST_LINE,
        "FLUSH",
    )
    assert code == 0 and any(x.startswith("READ_THROUGH gateway/3 06365a895d3a91c4 13 ") for x in reply)


def test_restart_within_a_batch_discards_all_state():
    code, reply = run(
        *START,
        REQUEST_LINE,
        "CRASH_NOW gateway/3",
        f"INIT gateway/3 6 {CONFIG}",
        "ATTEMPT_END gateway/3 06365a895d3a91c4 0 11 server_error 5 0 - - -",
        "FLUSH",
    )
    assert code == 0 and sum(x.startswith("READ_THROUGH") for x in reply) == 1


def test_unknown_events_settings_and_ids_are_ignored():
    code, reply = run(
        "CLOCK 1",
        f"INIT gateway/3 5 {CONFIG} shoe.size=9",
        "SUNRISE gateway/3 7",
        "LEFT gateway/3 0ffedf960e6f2b19",
        "RING gateway/3 991",
        "MEMO gateway/3 2 aGkgNw==",
        "PONG gateway/3 4 served 5 7,-",
        "BEGUN gateway/3 0ffedf960e6f2b19 5 4 0",
        "FLUSH",
    )
    assert code == 0 and reply[-1] == "YIELD"


@pytest.mark.parametrize(
    "line, field",
    [
        ("RING gateway/3 soon", "handle"),
        ("LEFT gateway/3 xyz", "msg_id"),
        ("RING gateway/3", "token"),
        ("ATTEMPT_END gateway/3 06365a895d3a91c4 0 11 vanished 5 0 - - -", "reason"),
        ("ENDPOINTS gateway/3 1 sideways 0", "form"),
        ("REGISTER 0", "members"),
        ("INIT gateway/3 5 period_ns=x", "period_ns"),
        ("INIT gateway/3 5 profiles.count=1 profiles.0.effect=maybe", "effect"),
    ],
)
def test_malformed_line_ends_the_run_with_one_line_naming_the_field(line, field, capsys):
    code, _ = run("CLOCK 1", line, "FLUSH")
    err = capsys.readouterr().err
    assert code == 2 and err.startswith("line 2: ") and field in err and err.count("\n") == 1


def test_exception_in_one_instance_is_reported_and_does_not_affect_the_others(monkeypatch):
    original_handle = wirehost.Router.handle

    def fail(self, event, now):
        if isinstance(event, interface.TimerFired):
            raise RuntimeError("broken\nbadly")
        return original_handle(self, event, now)

    monkeypatch.setattr(wirehost.Router, "handle", fail)
    code, reply = run(
        *START,
        f"INIT gateway/4 5 {CONFIG}",
        "ENDPOINTS gateway/4 1 warm_copy 0",
        "RING gateway/3 0",
        REQUEST_LINE.replace("/3", "/4"),
        "FLUSH",
    )
    assert code == 0 and "DIE gateway/3 RuntimeError: broken badly" in reply
    assert any(x.startswith("READ_THROUGH gateway/4") for x in reply)


def test_settings_are_converted_and_absent_ones_keep_their_defaults():
    settings = read_settings(
        9,
        [
            "az=4",
            "contract.cold_from=0.19",
            "family_info.never_kept=false,true",
            "profiles.count=2",
            "profiles.1.effect=deduplicated",
            "profiles.1.key_scope=zone",
        ],
    )
    assert (settings.seed, settings.zone, settings.cold_from, settings.parent_kind) == (9, 4, 0.19, -1)
    assert [request_class.write for request_class in settings.classes] == [False, True]
    assert (
        settings.classes[1].key_scope is interface.Scope.ZONE
        and settings.classes[0].effect is interface.Effect.AT_MOST_ONCE
    )
