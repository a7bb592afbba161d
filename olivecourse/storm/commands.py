"""`olivecourse storms`: reports the retry storms in a gateway's log.

Exit codes: 0 the log was read, 2 the log is not readable.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from olivecourse.storm.explain import read


@click.group()
def storms() -> None:
    """Retry storms: explain."""


@storms.command()
@click.argument("file", type=click.Path())
def explain(file: str) -> None:
    """Print, from the structured log FILE, when storms were detected, what was limited, what came before."""
    try:
        with Path(file).open(encoding="utf-8", errors="replace") as lines:
            found = read(lines)
    except OSError as error:
        click.echo(f"olivecourse: {file}: {error.strerror}", err=True)
        sys.exit(2)
    console = Console(width=None if sys.stdout.isatty() else 140)
    table = Table(
        "gateway",
        "noticed",
        "ended",
        "level",
        "limit",
        "room/s",
        "too late",
        "crowded",
        "over budget",
        title=f"{len(found.storms)} storms",
    )
    for storm in found.storms:
        rejected = [str(storm.rejected.get(n, "")) for n in ("late", "crowded", "budget")]
        table.add_row(
            storm.gateway,
            storm.began,
            storm.ended or "still on",
            f"{storm.level:.2f}",
            f"{storm.figures.get('limit', 0):.0f}",
            f"{storm.figures.get('room', 0):.0f}",
            *rejected,
        )
    console.print(table)
    for storm in found.storms:
        if storm.preceding:
            console.print(f"before the one of {storm.began}:", markup=False)
            for line in storm.preceding:
                console.print(f"  {line}", markup=False)
    if found.unread:
        console.print(f"{found.unread} lines were none of the log's")
