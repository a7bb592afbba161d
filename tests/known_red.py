"""A pytest plugin for CI: passes over the tests that KNOWN-RED.txt lists, prints them, and runs all others.

The option `--known-red FILE` names the list and enables the plugin. Each line of the list is one entry, which
begins with the test's id or with the path of another command and names an open issue. Only entries whose id
begins with `tests/` are passed over.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

TEST_PREFIX = "tests/"
ENTRY = re.compile(r"(\S+) \(issue \d+[;)].*")


@dataclass(frozen=True)
class KnownRedEntry:
    """A test that is known to fail because of an unfixed fault, and the whole entry for the report."""

    test: str
    text: str


def read_entries(path: Path) -> list[KnownRedEntry]:
    """Returns the entries of the list that are tests.

    Raises pytest.UsageError if a line is not an entry, or if a test is listed twice.
    """
    entries = []
    for line in filter(str.strip, path.read_text(encoding="utf-8").splitlines()):
        match = ENTRY.fullmatch(line)
        if match is None:
            raise pytest.UsageError(f"{path.name}: not an entry with an issue: {line[:80]}")
        if match[1].startswith(TEST_PREFIX):
            entries.append(KnownRedEntry(match[1], line))
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{path.name} lists a test twice")
    return entries


class KnownRedPlugin:
    """Deselects the listed tests, and makes the session fail if any other collected test did not run.

    A test counts as run if its function was called and its failure would have failed the session. So tests
    that are deselected by other options, skipped by a mark, or expected to fail don't count.
    """

    def __init__(self, list_name: str, entries: list[KnownRedEntry]) -> None:
        self._list_name, self._entries = list_name, entries
        self._listed = {entry.test for entry in entries}
        self._collected: set[str] = set()
        self._run: set[str] = set()
        self._not_run: list[str] = []

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Deselects the listed tests; an entry that names no collected test is an error."""
        self._collected = {item.nodeid for item in items}
        if unknown := sorted(self._listed - self._collected):
            raise pytest.UsageError(f"{self._list_name} names tests that do not exist: {', '.join(unknown)}")
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid in self._listed])
        items[:] = [item for item in items if item.nodeid not in self._listed]

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Notes the tests whose result counts."""
        if report.failed or report.when == "call" and not hasattr(report, "wasxfail"):
            self._run.add(report.nodeid)

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Makes a session fail that has passed over a test that is not listed."""
        self._not_run = sorted(self._collected - self._run - self._listed)
        if self._not_run and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints the listed tests, and those that were passed over without being listed."""
        terminalreporter.section(f"{self._list_name}: {len(self._entries)} tests passed over")
        for entry in self._entries:
            terminalreporter.line(entry.text)
        for test in self._not_run:
            terminalreporter.line(f"NOT LISTED, but passed over: {test}")


def add_option(parser: pytest.Parser) -> None:
    """Adds the option `--known-red` to pytest."""
    parser.addoption("--known-red", metavar="FILE", help="pass over the tests listed in this file")


def enable(config: pytest.Config) -> None:
    """Registers the plugin if the option was given."""
    name = config.getoption("--known-red")
    if name is not None:
        path = Path(name)
        config.pluginmanager.register(KnownRedPlugin(path.name, read_entries(path)))
