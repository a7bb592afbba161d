"""Command line that runs a benchmark by its name."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys

import click

import benchmarks

NAMES = sorted(
    module.name for module in pkgutil.iter_modules(benchmarks.__path__) if not module.name.startswith("_")
)


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option(
    "--short",
    is_flag=True,
    help="Run the short form, which ends within the time that the benchmark's page states.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--trials", default=0, help="Number of trials, for benchmarks that count them; 0 is the default number."
)
def main(name: str, short: bool, seed: int, trials: int) -> None:
    """Run the benchmark NAME; the last line printed is its results as JSON."""
    results = importlib.import_module(f"benchmarks.{name}").run(short=short, seed=seed, trials=trials)
    print(json.dumps(results))
    sys.stdout.flush()


main()
