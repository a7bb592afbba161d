"""Compiles the performance-critical modules of olivecourse with mypyc, in a copy of the package, .native/.

Tests and the simulator's adapter run the sources themselves. If the compilation fails, for example because a
compiler is missing, .native/ holds the uncompiled modules, which are slower and behave the same. The script
compiles again only when a source file has changed.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
TARGET, WORK = ROOT / ".native", ROOT / ".native.new"
# Modules of the gateway that use the most CPU time, as paths below olivecourse/ without ".py". The others use
# little CPU time, or hold slotted dataclasses, which mypyc does not compile.
HOT = (
    "choice",
    "ring",
    "weighted_ring",
    "node_groups",
    "purge_table",
    "config/discovery_events",
    "control_plane",
    "gateway",
    "core/requests",
    "core/planner",
    "discovery/event_stream",
    "discovery/pacing",
    "net/loop",
    "net/timers",
    "net/ring_buffer",
    "net/stream",
    "net/server_pool",
    "net/discovery_client",
    "net/peers",
    "fronts/thrift",
    "fronts/listener",
    "fronts/signed",
    "ops/admin_server",
    "net/planner_link",
)  # fronts/signed, ops/admin_server, net/planner_link: compiled because they subclass compiled classes
RELAY = (
    "relay/event_log",
    "relay/history",
    "relay/watermarks",
    "relay/requests",
    "relay/deadlines",
    "relay/server",
    "relay/connection",
)


def source_digest() -> str:
    """The SHA-256 of the Python version, this script and all sources; a change of it requires a new build."""
    total = hashlib.sha256(sys.version.encode())
    for path in [Path(__file__), *sorted((ROOT / "olivecourse").rglob("*.py"))]:
        total.update(str(path.relative_to(ROOT)).encode() + path.read_bytes())
    return total.hexdigest()


def copy_sources() -> None:
    """Replaces the work directory, .native.new, by an uncompiled copy of the package."""
    shutil.rmtree(WORK, ignore_errors=True)
    shutil.copytree(ROOT / "olivecourse", WORK / "olivecourse", ignore=shutil.ignore_patterns("__pycache__"))


def compile_in_place() -> None:
    """Compiles HOT and RELAY of the package copy in the process's current directory, beside their sources.

    It starts no process itself: main() runs this script as a child process, with the argument `compile` and
    .native.new as the current directory.
    """
    from mypyc.build import mypycify
    from setuptools import setup

    Path("mypy.ini").write_text("[mypy]\n[mypy-thrift.*,re2]\nignore_missing_imports = True\n")
    setup(
        name="olivecourse-native",
        packages=[],
        script_args=["-q", "build_ext", "--inplace"],
        ext_modules=mypycify(
            [f"olivecourse/{name}.py" for name in (*HOT, *RELAY)], opt_level="2", debug_level="0"
        ),
    )


def main() -> int:
    """Builds .native/ if a source has changed since the last build; returns 0 even if only copies remain.

    With the command line argument `compile` it only compiles the package copy in the current directory.
    """
    if sys.argv[1:] == ["compile"]:
        compile_in_place()
        return 0
    stamp, current_digest = TARGET / "stamp", source_digest()
    if stamp.exists() and stamp.read_text() == current_digest:
        return 0
    copy_sources()
    # Compiles in a child process, each module's C file by itself and a few at a time, since a build machine
    # may have few cores.
    result = subprocess.run(
        [sys.executable, str(Path(__file__)), "compile"],
        cwd=WORK,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(WORK)},
    )
    if not result.returncode:  # imports the result: a module may compile and still fail to load
        result = subprocess.run(
            [sys.executable, "-P", "-c", "import olivecourse.gateway, olivecourse.cli"],
            cwd=WORK,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": str(WORK)},
        )
    if result.returncode:
        print("build_native: plain modules, as compiling failed:", file=sys.stderr)
        print(result.stdout[-2000:], result.stderr[-2000:], file=sys.stderr)
        copy_sources()
    shutil.rmtree(WORK / "build", ignore_errors=True)
    (WORK / "stamp").write_text(current_digest)
    shutil.rmtree(TARGET, ignore_errors=True)
    WORK.rename(TARGET)
    return 0


if __name__ == "__main__":
    sys.exit(main())
