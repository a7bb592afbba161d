"""Faults that show in the compiled copy alone, which `run` of the deploy file starts: scripts that run in it.

mypyc gives an attribute the narrowed type that a check for None has established, also after a call that sets
the attribute; reading it then raises TypeError. The sources have no such fault.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(scope="module")
def run_compiled():
    """Returns a function that runs a script of this folder in the compiled copy, built if needed."""
    build = [sys.executable, "build_native.py"]
    subprocess.run(build, cwd=ROOT, check=True, capture_output=True, timeout=600)

    def run(script, *arguments):
        paths = os.pathsep.join(str(ROOT / name) for name in (".native", "tests"))
        return subprocess.run(
            [sys.executable, "-P", str(ROOT / "tests" / script), *map(str, arguments)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "PYTHONPATH": paths},
        )

    return run


def test_a_forwarder_survives_a_write_to_a_planner_that_has_just_ended(run_compiled, tmp_path):
    """Guards against the end of a forwarder, and of its open requests, when its planner is killed."""
    result = run_compiled("compiled_planner_loss.py", tmp_path / "planner.sock")
    assert result.returncode == 0, result.stderr


def test_an_event_without_a_number_is_logged_as_an_invalid_response(run_compiled):
    """Guards against a TypeError in the HTTP parser's callback, which the log then calls broken HTTP."""
    result = run_compiled("compiled_unnumbered_event.py")
    assert result.returncode == 0, result.stderr


def test_no_turn_is_long_when_one_poll_replaces_most_stores_of_a_large_fleet(run_compiled):
    """Guards against a gateway that stands still, and answers nothing, while a large fleet is replaced."""
    result = run_compiled("compiled_fleet_change.py")
    assert result.returncode == 0, result.stdout + result.stderr
