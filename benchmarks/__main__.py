"""Finds a benchmark by its name and runs it."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys

import click

import benchmarks

NAMES = sorted(m.name for m in pkgutil.iter_modules(benchmarks.__path__) if not m.name.startswith("_"))


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--short", is_flag=True, help="The form that ends within the time its page states.")
@click.option("--seed", default=1, show_default=True)
@click.option("--trials", default=0, help="Where a benchmark counts trials: how many.")
def main(name: str, short: bool, seed: int, trials: int) -> None:
    """Run the benchmark NAME; the last line is JSON with what was measured."""
    found = importlib.import_module(f"benchmarks.{name}").run(short=short, seed=seed, trials=trials)
    print(json.dumps(found))
    sys.stdout.flush()


main()
