"""`olivecourse memory`: operators' commands on a memory folder (a gateway's snapshots and used order tokens).

Exit codes: 0 success; 1 no snapshot found, or a damaged file; 2 wrong configuration or usage; 3 the folder is
in use by a running gateway.
"""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NoReturn

import click
import lmdb
from rich.console import Console
from rich.table import Table

from olivecourse.config.gateway_config import InvalidConfig, load_operator
from olivecourse.memory import codec, container
from olivecourse.memory.container import UnusableFile, derive_key
from olivecourse.memory.decay import Elapsed, Kind, Policy, elapsed
from olivecourse.memory.disk import FolderDisk, FolderLocked, stamp_now
from olivecourse.memory.folder import Folder, LoadResult
from olivecourse.memory.generations import parse
from olivecourse.memory.records import Record, Snapshot
from olivecourse.memory.section import MemoryConfig, MemorySection
from olivecourse.memory.snapshotter import PART, PROGRAM
from olivecourse.memory.tokenstore import PART as TOKENS
from olivecourse.memory.tokenstore import BadStore, StoreMetadata, TokenStore, probe

# Exit codes: nothing found or a damaged file; wrong configuration or usage; folder in use by a gateway.
EMPTY, WRONG, IN_USE = 1, 2, 3


def stop(text: str, code: int) -> NoReturn:
    """Prints the error `text` and ends the command's process with the exit code `code`."""
    click.echo(f"olivecourse: {text}", err=True)
    sys.exit(code)


def _config(operator: str | None, folder: str | None, key: str | None) -> tuple[MemoryConfig, str | None]:
    """The `memory:` section and the gateway's name, from the command's options.

    With --folder, the settings are the defaults and the name is None, which permits any gateway's files.
    """
    if (operator is None) == (folder is None):
        stop("give --operator FILE or --folder DIR", WRONG)
    if operator is not None:
        try:
            config = load_operator(operator, {})
        except InvalidConfig as error:
            stop(str(error), WRONG)
        memory: MemoryConfig | None = config.sections.get("memory")
        if memory is None:
            stop(f"{operator}: no memory section", WRONG)
        return memory, config.name
    config_of_folder = MemoryConfig(
        Path(folder or ""), Path(key) if key else None, MemorySection(str(folder))
    )
    try:
        if key:
            derive_key(Path(key).read_bytes())
    except (OSError, ValueError) as error:
        stop(f"{key}: {getattr(error, 'strerror', None) or error}", WRONG)
    return config_of_folder, None


class OpenFolder:
    """A memory folder that a command has opened; if that fails, the command ends with an error.

    `gateway` is the name of the gateway whose files are read, or None for any.
    """

    def __init__(self, config: MemoryConfig, gateway: str | None) -> None:
        self.config, self.gateway = config, gateway
        self.disk = FolderDisk(config.folder)
        try:
            self.disk.open(make=False)
        except OSError as error:
            stop(f"{config.folder}: {error.strerror}", EMPTY)
        section = config.section
        self.folder = Folder(self.disk, PART, section.keep, section.max_kb * 1024, config.key())

    def load(self) -> LoadResult:
        """Loads the newest intact snapshot that `gateway` wrote (any gateway if None), whatever its age."""
        return self.folder.load(self.gateway)

    def lock(self) -> None:
        """Locks the memory folder, so that no gateway can start on it; ends the command if one is running."""
        try:
            self.disk.lock(f"{PART}.lock")
        except FolderLocked as locked:
            stop(str(locked), IN_USE)
        except OSError as error:
            stop(f"{self.config.folder}: {error.strerror}", EMPTY)

    def tokens(self) -> tuple[StoreMetadata | None, dict[bytes, float], str]:
        """Reads the store of used order tokens without a lock, so that it works beside a running gateway.

        Returns the store's metadata (None if it is missing or faulty), the tokens' expiry times by digest,
        and a description of the fault, empty if there is none.
        """
        path, section = self.config.folder / TOKENS, self.config.section
        if not (path / "data.mdb").exists():
            return None, {}, ""
        map_mb = section.tokens.map_mb if section.tokens is not None else 64
        fault = probe(path, map_mb)
        if fault is not None:
            return None, {}, fault
        store = TokenStore(path, map_mb, self.config.key())
        try:
            store.open(write=False)
            metadata, known = store.read(self.gateway)
            return metadata, known, ""
        except (lmdb.Error, OSError, BadStore) as error:
            return None, {}, str(error)
        finally:
            store.close()


def _age(passed: Elapsed) -> str:
    if not passed.known:
        return "from the future"
    return f"{passed.ns / 1e9:.1f} s old" + ("" if passed.certain else ", by a clock that can be set")


def _ms(value: float | None) -> str:
    return "" if value is None else f"{value / 1e6:.0f}"


def tables(snapshot: Snapshot, passed: Elapsed, policy: Policy) -> list[Table]:
    """The tables that `show` prints: stores, request classes, counting intervals and purges.

    `passed` is the age of the snapshot. By it and `policy`, the weight of each record is shown: how much,
    from 0 to 1, it would count in a restore now.
    """

    def weight(kind: Kind, extra_ns: int = 0) -> float:
        return policy.weight(kind, passed.ns + extra_ns) if passed.known else 0.0

    stores = Table(
        "store",
        "life (address@start)",
        "pain",
        "counts now",
        "wait ms",
        "limit",
        "cold credit ms",
        title="Stores",
    )
    for s in sorted(snapshot.stores, key=lambda s: (-s.pain, s.cache)):
        error_score = f"{s.pain:.2f}{' fails' if s.failing else ''}"
        counts = f"{s.pain * weight(Kind.PAIN, s.pain_age_ns):.2f}"
        stores.add_row(
            f"{s.cache:08x}", s.life, error_score, counts, _ms(s.wait_ns), f"{s.limit:.1f}", _ms(s.credit_ns)
        )
    classes = Table("class", "sending ms", "may fill", "weight of times", "weight of fills", title="Classes")
    for c in snapshot.classes:
        classes.add_row(
            c.name,
            _ms(c.size_ns),
            f"{c.fill_part:.2f}",
            f"{weight(Kind.TIMES):.2f}",
            f"{weight(Kind.FILLS):.2f}",
        )
    hot = Table("ended", "hot objects", "distinct", "T", "weight", title="Counting intervals")
    for i in snapshot.intervals:
        hot.add_row(
            f"{i.age_ns / 1e9:.1f} s before",
            str(len(i.counts)),
            f"{i.distinct:.0f}",
            f"{i.t:.3g}",
            f"{weight(Kind.HOT, i.age_ns):.2f}",
        )
    purges = Table("purge of", "age s", "still binds s", title="Purges")
    for p in snapshot.purges:
        left = max(p.left_ns - passed.at_least_ns, 0) / 1e9
        purges.add_row(str(p.key), f"{(p.age_ns + passed.ns) / 1e9:.1f}", f"{left:.1f}")
    return [stores, classes, hot, purges]


def _options(command: Any) -> Any:
    for option in (
        click.option("--key", type=click.Path(), help="The key file, with --folder."),
        click.option("--folder", type=click.Path(), help="A memory folder, of any gateway."),
        click.option("--operator", type=click.Path(), help="An operator's file."),
    ):
        command = option(command)
    return command


@click.group()
def memory() -> None:
    """State kept across restarts: show, verify, forget, export."""


@memory.command()
@_options
def show(operator: str | None, folder: str | None, key: str | None) -> None:
    """Print what would be restored from the memory folder if the gateway started now."""
    opened = OpenFolder(*_config(operator, folder, key))
    found = opened.load()
    console = Console(width=None if sys.stdout.isatty() else 120)
    for name, reason, why in found.skipped:
        console.print(f"skipped: {name}: {reason.value}: {why}", markup=False)
    if found.snapshot is not None:
        passed = elapsed(found.snapshot.stamp, stamp_now())
        console.print(
            f"{found.name}: of {found.snapshot.gateway}, version {found.version}, {_age(passed)}",
            markup=False,
        )
        for table in tables(found.snapshot, passed, opened.config.section.policy()):
            console.print(table)
    metadata, known, fault = opened.tokens()
    if metadata is not None:
        since = datetime.fromtimestamp(metadata.covered_since, UTC).isoformat(timespec="seconds")
        console.print(f"spent order tokens: {len(known)}, none missing since {since}", markup=False)
    elif fault:
        console.print(f"spent order tokens: {fault}", markup=False)
    if found.snapshot is None:
        stop(f"{opened.config.folder}: nothing to restore", EMPTY)


@memory.command()
@_options
def verify(operator: str | None, folder: str | None, key: str | None) -> None:
    """Check every snapshot file and the store of used order tokens; exit 1 if any is damaged."""
    opened = OpenFolder(*_config(operator, folder, key))
    damaged = 0
    generations = parse(PART, opened.disk.names())
    for generation in generations:
        try:
            contents = container.unseal(
                opened.disk.read(generation.name, opened.config.section.max_kb * 1024), opened.config.key()
            )
            snapshot = codec.read(contents, opened.gateway)
            click.echo(
                f"{generation.name}: intact, version {contents.version}, {len(snapshot.stores)} stores"
            )
        except (UnusableFile, OSError) as error:
            damaged += 1
            click.echo(f"{generation.name}: {error}")
    metadata, known, fault = opened.tokens()
    if metadata is not None:
        click.echo(f"{TOKENS}: intact, {len(known)} spent")
    elif fault:
        damaged += 1
        click.echo(f"{TOKENS}: {fault}")
    if damaged or not generations:
        sys.exit(EMPTY)


@memory.command()
@click.argument("store", required=False)
@_options
def forget(store: str | None, operator: str | None, folder: str | None, key: str | None) -> None:
    """Forget the records of STORE (its number as `show` prints it, or its address), or all records.

    Purges and spent order tokens are never forgotten: purged objects could be served, and orders repeated.
    """
    opened = OpenFolder(*_config(operator, folder, key))
    opened.lock()
    found = opened.load()
    snapshot = found.snapshot
    if snapshot is None:
        stop(f"{opened.config.folder}: nothing to forget", EMPTY)
    if store is None:
        dropped = len(snapshot.stores)
        snapshot.stores, snapshot.classes, snapshot.intervals, snapshot.density = [], [], [], 0.0
    else:
        remaining = [
            s for s in snapshot.stores if f"{s.cache:08x}" != store and s.life.partition("@")[0] != store
        ]
        dropped = len(snapshot.stores) - len(remaining)
        if not dropped:
            stop(f"{store}: no such store is remembered", EMPTY)
        snapshot.stores = remaining
    rows: list[Record] = [*snapshot.stores, *snapshot.classes, *snapshot.intervals, *snapshot.purges]
    header = codec.write_header(snapshot.gateway, snapshot.stamp, PROGRAM)
    older = [g for g in parse(PART, opened.disk.names()) if g.readable]
    name = opened.folder.save(header, [codec.write_part((), snapshot.density), codec.write_part(rows)])
    # The older files are removed: if the new one were damaged, a restart would restore the forgotten records.
    for generation in older:
        if generation.name in opened.disk.names():
            opened.disk.unlink(generation.name)
    click.echo(f"{name}: {dropped} stores forgotten")


@memory.command()
@_options
@click.option("--json", "as_json", is_flag=True, required=True, help="The only output format so far.")
def export(operator: str | None, folder: str | None, key: str | None, as_json: bool) -> None:
    """Print all records of the newest intact snapshot as JSON; ages and times are in nanoseconds."""
    opened = OpenFolder(*_config(operator, folder, key))
    found = opened.load()
    if found.snapshot is None:
        stop(f"{opened.config.folder}: nothing to export", EMPTY)
    metadata, known, _ = opened.tokens()
    click.echo(
        json.dumps(
            {
                "file": found.name,
                "version": found.version,
                **asdict(found.snapshot),
                "tokens": None
                if metadata is None
                else {"spent": len(known), "covered_since": metadata.covered_since},
            },
            default=str,
        )
    )
