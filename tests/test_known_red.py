"""CI passes over exactly the tests that KNOWN-RED.txt lists: `known_red` on small test suites of its own."""

import re
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import read_entries

ROOT = Path(__file__).resolve().parent.parent
CONFTEST = """
from known_red import add_option, enable

def pytest_addoption(parser):
    add_option(parser)

def pytest_configure(config):
    enable(config)
"""
TESTS = """
import pytest

def test_good(): pass

def test_red(): assert False

@pytest.mark.parametrize("number", [1, 2])
def test_many(number): assert number == 1

def test_not_for_this_machine(): pytest.skip("decided by the test itself")
"""


@pytest.fixture
def suite(tmp_path):
    """Returns a function that runs the suite above with a list of entries and further tests."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "conftest.py").write_text(CONFTEST)

    def run(entries, more="", *options):
        (tmp_path / "tests" / "test_it.py").write_text(TESTS + more)
        (tmp_path / "list.txt").write_text("\n".join(entries) + "\n")
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--known-red", "list.txt"]
        return subprocess.run(
            [*command, "-o", f"pythonpath={ROOT / 'tests'}", *options],
            cwd=tmp_path,
            capture_output=True,
            text=True,
        )

    return run


RED = "tests/test_it.py::test_red (issue 7; no seed): fails always"
SECOND = "tests/test_it.py::test_many[2] (issue 7; no seed): fails for 2"
CASE = "review/1/run.sh (issue 7; no seed): not a test"


def test_listed_tests_are_passed_over_and_printed(suite):
    result = suite([RED, SECOND, CASE])
    assert result.returncode == 0, result.stdout
    assert RED in result.stdout and SECOND in result.stdout and CASE not in result.stdout
    assert "2 passed, 1 skipped, 2 deselected" in result.stdout


@pytest.mark.parametrize("entries", [[], [RED], [SECOND]])
def test_a_failing_test_that_is_not_listed_fails_the_run(suite, entries):
    result = suite(entries)
    assert result.returncode == 1 and f"{2 - len(entries)} failed" in result.stdout


@pytest.mark.parametrize(
    "more",
    [
        "\n@pytest.mark.skip\ndef test_other(): assert False",
        "\n@pytest.mark.skipif(True, reason='x')\ndef test_other(): assert False",
        "\n@pytest.mark.xfail\ndef test_other(): assert False",
        "\n@pytest.mark.xfail\ndef test_other(): pass",
    ],
)
def test_a_test_that_is_passed_over_in_another_way_fails_the_run(suite, more):
    result = suite([RED, SECOND], more)
    assert result.returncode == 1
    assert "NOT LISTED, but passed over: tests/test_it.py::test_other" in result.stdout


@pytest.mark.parametrize("options", [("-k", "red"), ("--deselect", "tests/test_it.py::test_good")])
def test_tests_that_another_option_deselects_fail_the_run(suite, options):
    result = suite([RED, SECOND], "", *options)
    assert (
        result.returncode != 0 and "NOT LISTED, but passed over: tests/test_it.py::test_good" in result.stdout
    )


@pytest.mark.parametrize(
    "entries",
    [
        ["tests/test_it.py::test_gone (issue 7; no seed): no such test"],
        ["tests/test_it.py::test_many (issue 7; no seed): not the id of a test"],
        ["tests/test_it.py (issue 7; no seed): a whole file"],
        ["tests/test_it.py::test_red: no issue"],
        [RED, RED],
    ],
)
def test_an_entry_that_names_no_test_or_no_issue_fails_the_run(suite, entries):
    assert suite(entries).returncode == pytest.ExitCode.USAGE_ERROR


def test_the_projects_list_is_valid_and_ci_uses_it():
    read_entries(ROOT / "KNOWN-RED.txt")
    (command,) = re.findall(r"^exec (.*)$", (ROOT / ".ci" / "run").read_text(), re.M)
    # With a space in place of "=", pytest takes the file for a test path and never loads the option.
    assert command == ".venv/bin/python -m pytest -q --known-red=KNOWN-RED.txt"
