"""Compiles the hot modules with mypyc into .native/, a whole copy of the package beside the sources.

The sources stay what tests and the simulator's adapter run. Where a compiler is missing, .native/ holds the
plain modules: slower, and the same behaviour. Runs again only when a source has changed.
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
# Where the time goes. The rest is small, or holds what mypyc does not take (slotted dataclasses).
HOT = (
    "choice",
    "ring",
    "purge_table",
    "config/discovery_events",
    "control_plane",
    "gateway",
    "core/ledger",
    "core/planner",
    "discovery/event_stream",
    "discovery/pacing",
    "net/loop",
    "net/wheel",
    "net/ringbuf",
    "net/stream",
    "net/stores",
    "net/discovery_client",
    "net/peers",
    "fronts/thrift",
    "fronts/listener",
    "fronts/signed",
    "ops/door",
    "net/seam",
)  # the last three extend compiled ones
RELAY = (
    "relay/event_log",
    "relay/history",
    "relay/watermarks",
    "relay/requests",
    "relay/deadlines",
    "relay/server",
    "relay/connection",
)


def digest() -> str:
    total = hashlib.sha256(sys.version.encode())
    for path in [Path(__file__), *sorted((ROOT / "olivecourse").rglob("*.py"))]:
        total.update(str(path.relative_to(ROOT)).encode() + path.read_bytes())
    return total.hexdigest()


def copy() -> None:
    shutil.rmtree(WORK, ignore_errors=True)
    shutil.copytree(ROOT / "olivecourse", WORK / "olivecourse", ignore=shutil.ignore_patterns("__pycache__"))


def compile_in_place() -> None:
    """Runs in .native.new, in a process of its own."""
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
    if sys.argv[1:] == ["compile"]:
        compile_in_place()
        return 0
    stamp, now = TARGET / "stamp", digest()
    if stamp.exists() and stamp.read_text() == now:
        return 0
    copy()
    # Each module's C file is compiled by itself: a few at once, as a build machine may have few cores.
    done = subprocess.run(
        [sys.executable, str(Path(__file__)), "compile"],
        cwd=WORK,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(WORK)},
    )
    if not done.returncode:  # guards against modules that compile and then do not load
        done = subprocess.run(
            [sys.executable, "-P", "-c", "import olivecourse.gateway, olivecourse.cli"],
            cwd=WORK,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": str(WORK)},
        )
    if done.returncode:
        print("build_native: plain modules, as compiling failed:", file=sys.stderr)
        print(done.stdout[-2000:], done.stderr[-2000:], file=sys.stderr)
        copy()
    shutil.rmtree(WORK / "build", ignore_errors=True)
    (WORK / "stamp").write_text(now)
    shutil.rmtree(TARGET, ignore_errors=True)
    WORK.rename(TARGET)
    return 0


if __name__ == "__main__":
    sys.exit(main())
