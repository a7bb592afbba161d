"""`olivecourse serve --role relay` and `olivecourse relay`: a relay's process, and what operators ask it."""

from __future__ import annotations

import http.client
import json
import resource
import sys
from typing import Any

import click

from olivecourse.config.address import parse_address

TIMEOUT_S = 5.0


def most_descriptors() -> int:
    """Raises this process's soft limit to its hard one, and returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _ask(address: str, path: str) -> Any:
    """The relay's answer; ends the program with 3 where there is none."""
    try:
        host, port = parse_address(address)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="ADDRESS") from None
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return json.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as error:
        click.echo(f"olivecourse: no answer from {address}: {str(error) or type(error).__name__}", err=True)
        sys.exit(3)
    finally:
        connection.close()


@click.group()
def relay() -> None:
    """Ask a running relay.

    Exit codes: 0 yes, 1 no (who is behind is printed), 2 wrong words, 3 nobody answers.
    """


@relay.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--number", type=click.IntRange(0), help="An event, e.g. a purge; without it the newest.")
@click.option("--json", "as_json", is_flag=True, help="Print all that the relay tells, as JSON.")
def status(address: str, number: int | None, as_json: bool) -> None:
    """Whether event NUMBER is in force at every watcher below, and who is behind if not."""
    told = _ask(address, "/relay/status" if number is None else f"/relay/status?behind={number}")
    if as_json:
        click.echo(json.dumps(told, indent=2))
    else:
        _print_status(told)
    sys.exit(0 if told["passed"] else 1)


def _print_status(told: dict[str, Any]) -> None:
    upstream, watchers = told["upstream"], told["watchers"]
    mark = "none yet" if told["mark"] is None else told["mark"]
    click.echo(f"{told['name']}: newest event {told['revision']}, low-water mark {mark}")
    click.echo(f"upstream {upstream['address']} for {upstream['seconds']:.0f} s")
    click.echo(
        f"{watchers['connections']} connections, {watchers['waiting']} polls waiting, "
        f"{watchers['counted']} gateways counted"
    )
    click.echo(f"event {told['asked']}: {'in force everywhere below' if told['passed'] else 'not proven'}")
    for entry in told["behind"]:
        lapsed = ", lease over" if entry["lapsed"] else ""
        click.echo(f"  {entry['watcher']} at {entry['number']} for {entry['seconds']:.1f} s{lapsed}")
    if more := told["behind_total"] - len(told["behind"]):
        click.echo(f"  and {more} more")
