"""The program as users start it: subcommands, exit codes, signals, and forwarder and planner as processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest
from harness import OBJECT, SETTINGS, Client, ScriptedServer, member
from test_signed import jwk

from olivecourse.fronts import codec

ROOT = Path(__file__).resolve().parent.parent


def run(*words, **env):
    """Runs the program with these arguments until it ends."""
    return subprocess.run(
        [sys.executable, "-m", "olivecourse", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **env},
    )


class StartedProgram:
    """A running program, whose port is read from its log."""

    def __init__(self, *words, **env):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "olivecourse", *words],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, **env},
        )

    def event(self, name):
        """Returns the next log entry with this event name."""
        for line in self.process.stderr:
            if line.startswith("{") and (log_entry := json.loads(line))["event"] == name:
                return log_entry
        raise AssertionError(f"{name} was never logged")

    def port(self):
        """Waits until the program is ready and returns the port on which it listens for clients."""
        return int(self.event("ready")["listen"].rpartition(":")[2])

    def client(self):
        """Waits until the program is ready and connects a client to it."""
        return Client(self.port())

    def end(self, number=signal.SIGTERM):
        """Sends a signal and returns the exit code."""
        self.process.send_signal(number)
        return self.process.wait(30)


@pytest.fixture
def world(tmp_path):
    """Provides a folder with configuration files, a cache, and a function that starts programs, which are
    killed at the end.
    """
    cache, programs = ScriptedServer(), []
    members = [
        member("s-00000001", cache.address),
        member("s-00000008", "127.0.0.1:9", "parent", "hub-nord"),
        member("s-00000009", "127.0.0.1:9", "origin", "hub-nord"),
    ]
    (tmp_path / "config.json").write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "0f",
                "settings": SETTINGS,
                "known": {
                    "rev": 1,
                    "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}],
                },
            }
        )
    )
    (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
    (tmp_path / "stores.csv").write_text(
        "name,address,zone,kind\n"
        + "".join(f"{m['id']},{m['host_port']},{m['locality']},{m['flavor']}\n" for m in members[:2])
    )
    (tmp_path / "operator.yaml").write_text(
        "name: n0\nlisten: 127.0.0.1:0\nsettings: settings.json\n"
        "inventory: stores.csv\nplanner: planner.sock\n"
    )

    def start(*words, **env):
        programs.append(StartedProgram(*words, **env))
        return programs[-1]

    yield tmp_path, cache, start
    cache.close()
    for program in programs:
        if program.process.poll() is None:
            program.process.kill()
        program.process.wait()
        program.process.stderr.close()


def until(condition, seconds=30):
    """Waits until the condition returns a true value, and returns this value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if result := condition():
            return result
        time.sleep(0.005)
    raise AssertionError("the condition was not met in time")


def test_gateway_started_as_by_the_platform_answers_open_requests_before_ending_on_sigterm(world):
    folder, cache, start = world
    program = start(EDGE_CONFIG=str(folder / "config.json"))
    client = program.client()
    client.call(1)
    request = until(cache.line).split(" ")[1]
    program.process.send_signal(signal.SIGTERM)
    client.call(2, "isWell", 1, codec.IsWellArgs(unused=True))
    until(client.answers)
    cache.send(f"{request} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode())
    until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == (1, "success", {}, b"hello")
    assert program.process.wait(30) == 0


def test_sighup_reloads_the_configuration_and_an_invalid_one_changes_nothing(world):
    folder, cache, start = world
    path, boards = folder / "config.json", [ScriptedServer(), ScriptedServer()]
    config = json.loads(path.read_text())
    path.write_text(json.dumps({**config, "board": boards[0].address}))
    program = start(EDGE_CONFIG=str(path))
    client = program.client()
    until(lambda: b"watch=1&" in boards[0].poll())
    client.call(1)
    request = until(cache.line).split(" ")[1]
    path.write_text("{")
    program.process.send_signal(signal.SIGHUP)
    assert "not JSON" in program.event("reload_refused")["why"]
    path.write_text(json.dumps({**config, "board": boards[1].address, "listen": "127.0.0.1:1"}))
    program.process.send_signal(signal.SIGHUP)
    reloaded = program.event("reloaded")
    assert (reloaded["moved"], reloaded["needs_restart"]) == (["board"], ["listen"])
    until(lambda: b"watch=1&" in boards[1].poll())
    cache.send(f"{request} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode())
    assert until(client.answers) == [(1, "success", {}, b"hello")]
    assert program.end() == 0
    for board in boards:
        board.close()


def test_restart_listens_on_the_same_address_despite_connections_left_over(world):
    folder, cache, start = world
    first = start(EDGE_CONFIG=str(folder / "config.json"))
    client = first.client()
    address = f"127.0.0.1:{client.sock.getpeername()[1]}"
    first.end(signal.SIGKILL)
    second = start(EDGE_CONFIG=str(folder / "config.json"), EDGE_LISTEN=address)
    assert second.event("ready")["listen"] == address


def test_invalid_configurations_exit_with_status_2_and_one_line(world):
    folder, _, _ = world
    (folder / "broken.json").write_text("{")
    (folder / "taken.json").write_text('{"listen": "127.0.0.1:0", "settings": {"profiles": "none"}}')
    for env in (
        {},
        {"EDGE_CONFIG": "/nowhere"},
        {"EDGE_CONFIG": str(folder / "broken.json")},
        {"EDGE_CONFIG": str(folder / "taken.json")},
        {"EDGE_CONFIG": str(folder / "config.json"), "EDGE_LISTEN": "here"},
    ):
        result = run("serve", **{"EDGE_CONFIG": "", **env})
        assert result.returncode == 2 and result.stderr.count("\n") == 1, result.stderr
        assert result.stderr.startswith("olivecourse: ")


def test_address_in_use_is_reported(world):
    folder, cache, _ = world
    result = run("serve", EDGE_CONFIG=str(folder / "config.json"), EDGE_LISTEN=cache.address)
    assert result.returncode == 2 and "cannot start" in result.stderr


def test_version_and_check_config(world):
    folder, _, _ = world
    assert run("version").stdout.startswith("olivecourse ")
    assert "good" in run("check-config", "--config", str(folder / "config.json")).stdout
    assert "good" in run("check-config", "--operator", str(folder / "operator.yaml")).stdout
    # The file under deploy/ is valid except for the key file, which is not part of the repository.
    result = run("check-config", "--operator", str(ROOT / "deploy" / "operator.yaml"))
    assert result.returncode == 2 and "keys.json: No such file" in result.stderr


def test_sign_prints_a_link_that_the_signed_listener_accepts(world):
    from olivecourse.fronts import tokens

    folder, _, _ = world
    (folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk("k1")]}}))
    uri = f"https://calendriers.example/fichiers/{OBJECT}/0?shard=17"
    result = run("sign", uri, "--keys", str(folder / "keys.json"), "--kid", "k1")
    checker = tokens.Tokens("n0", tokens.read_keys(str(folder / "keys.json")), 3)
    assert checker.check_link(result.stdout.strip()) == uri
    assert run("sign", uri, "--keys", str(folder / "keys.json"), "--kid", "k9").returncode == 2


def test_forwarder_answers_open_requests_and_reconnects_after_its_planner_is_killed(world):
    folder, cache, start = world
    operator = str(folder / "operator.yaml")
    planner = start("serve", "--operator", operator, "--role", "planner")
    planner.event("ready")
    forwarder = start("serve", "--operator", operator, "--role", "forwarder")
    client = forwarder.client()
    client.call(1)
    request = until(cache.line).split(" ")[1]
    cache.send(f"{request} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode())
    assert until(client.answers) == [(1, "success", {}, b"hello")]
    # After the planner is lost, a read is refused with a time to retry. An order that was sent may have run,
    # so it fails.
    client.call(2, i="00000000000000aa")
    client.call(3, i="00000000000000bb", c="commande")
    until(lambda: b"00000000000000bb" in cache.poll() and b"00000000000000aa" in cache.poll())
    planner.end(signal.SIGKILL)
    until(lambda: len(client.answers()) == 3)
    assert sorted(a[:3] for a in client.answers()[1:]) == [(2, "refused", {"w": "1000"}), (3, "failed", {})]
    client.call(4, i="00000000000000cc")
    until(lambda: len(client.answers()) == 4)
    assert client.answers()[3][:3] == (4, "refused", {"w": "1000"})
    cache.data.clear()
    start("serve", "--operator", operator, "--role", "planner").event("ready")

    def served():  # the forwarder reconnects to the new planner by itself
        number = len(client.answers()) + 1
        client.call(number, i=f"{number:016x}")
        until(lambda: (line := cache.line()) and line.startswith("fetch") or len(client.answers()) == number)
        return len(client.answers()) < number

    until(served)
    assert forwarder.end() == 0


def test_demo_serves_its_link_from_a_box_and_accepts_its_order_once():
    demo = subprocess.Popen(
        [sys.executable, "-u", "-m", "olivecourse", "demo", "--seconds", "60"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    lines = []

    def until_printed(expected_text):
        for line in demo.stdout:
            lines.append(line)
            if expected_text in line:
                return line
        raise AssertionError(lines)

    def fetch(url, **options):
        try:
            with urllib.request.urlopen(urllib.request.Request(url, **options), timeout=20) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()

    link = until_printed("curl -i 'http").split("'")[1]
    order = until_printed("curl -i -X POST").split("'")
    until_printed("Ctrl-C")
    for message in ("filled it from hub-1", "held it"):
        status, body = fetch(link)
        assert status == 200 and body.startswith(b"calendar 7f3a9c21e0b4d655")
        until_printed(message)
    token = order[3].partition(": ")[2]
    assert fetch(order[5], data=b"12", headers={"Authorization": token})[0] == 200
    until_printed("passed the order")
    assert fetch(order[5], data=b"12", headers={"Authorization": token}) == (401, b"used already\n")
    demo.send_signal(signal.SIGINT)
    until_printed("ended")
    assert demo.wait(20) == 0
    demo.stdout.close()


def free_address():
    """Returns a loopback address that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_operators_commands_and_an_upgrade_as_documented(world):
    folder, cache, start = world
    config, address, new_address = str(folder / "config.json"), free_address(), free_address()
    assert run("ops", "ready", EDGE_MGMT=address).returncode == 3
    assert run("ops", "ready", EDGE_MGMT="nowhere").returncode == 2
    assert run("serve", "--config", config, EDGE_MGMT="nowhere").returncode == 2
    old = start("serve", "--config", config, EDGE_MGMT=address, TMPDIR=str(folder))
    port = old.port()
    results = [
        run("ops", *words, "--address", address)
        for words in (["ready"], ["stats"], ["down", "s-00000008"], ["down", "s-0000000f"])
    ]
    assert [result.returncode for result in results] == [0, 0, 0, 1], [result.stderr for result in results]
    assert "app_cluster_size 3.0" in results[1].stdout and "no list has named" in results[3].stderr
    client = Client(port)  # not before the commands: a client that sends nothing for 2.3 s is closed
    client.call(1)
    request = until(cache.line).split(" ")[1]
    new = start("serve", "--config", config, EDGE_MGMT=new_address, TMPDIR=str(folder))
    until(lambda: run("ops", "ready", "--address", new_address).returncode == 0)
    old.process.send_signal(signal.SIGTERM)
    assert old.event("handed_over")["clients"] == 1
    client.call(2, i="22" * 8)  # from here on the new process reads the connection
    assert f"fetch {'22' * 8}" in until(cache.line)
    cache.send(f"{request} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode(), 0)
    assert until(client.answers) == [(1, "success", {}, b"hello")]
    assert old.process.wait(30) == 0 and not client.closed
    stats = run("ops", "stats", "--address", new_address).stdout
    assert "app_cluster_unhealthy 1.0" in stats, "the new process still avoids the store"
    assert run("ops", "up", "s-00000008", "--address", new_address).returncode == 0
    assert new.end() == 0


def test_process_that_was_suspended_logs_the_stall_and_its_low_cpu_time(world):
    folder, _, start = world
    program = start(EDGE_CONFIG=str(folder / "config.json"))
    program.event("ready")
    time.sleep(0.3)
    program.process.send_signal(signal.SIGSTOP)
    time.sleep(1.0)
    program.process.send_signal(signal.SIGCONT)
    log_entry = program.event("loop_stalled")
    assert log_entry["ms"] >= 900 and log_entry["cpu_ms"] < log_entry["ms"] / 2
    assert program.end() == 0
