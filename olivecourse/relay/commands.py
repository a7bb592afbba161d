"""`olivecourse relay`: operators' queries to a running relay. Also raises a relay process's limit on open
file descriptors.
"""

from __future__ import annotations

import http.client
import json
import resource
import sys
from typing import Any

import click

from olivecourse.config.address import parse_address

TIMEOUT_S = 5.0  # for connecting to the relay, and for each read of its answer


def raise_descriptor_limit() -> int:
    """Raises this process's soft limit on open file descriptors to the hard limit; returns the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _fetch(address: str, path: str) -> Any:
    """Returns the decoded JSON body that the relay at `address` answers to a GET of `path`.

    If the relay does not answer, or not with status 200 and valid JSON, prints why and exits with code 3.
    """
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
    """Query a running relay.

    Exit codes: 0 yes, 1 no (the lagging watchers are printed), 2 usage error, 3 no answer.
    """


@relay.command()
@click.argument("address", metavar="HOST:PORT")
@click.option(
    "--number", type=click.IntRange(0), help="Number of an event, e.g. of a purge; default: the newest."
)
@click.option("--json", "as_json", is_flag=True, help="Print the whole status as JSON.")
def status(address: str, number: int | None, as_json: bool) -> None:
    """Report whether every watcher of the relay has taken event NUMBER, and which ones have not."""
    report = _fetch(address, "/relay/status" if number is None else f"/relay/status?behind={number}")
    if as_json:
        click.echo(json.dumps(report, indent=2))
    else:
        _print_status(report)
    sys.exit(0 if report["passed"] else 1)


def _print_status(report: dict[str, Any]) -> None:
    """Prints the decoded status that `encode_status` produced as lines of text for an operator."""
    upstream, watchers = report["upstream"], report["watchers"]
    mark = "none yet" if report["mark"] is None else report["mark"]
    click.echo(f"{report['name']}: newest event {report['revision']}, low-water mark {mark}")
    click.echo(f"upstream {upstream['address']} for {upstream['seconds']:.0f} s")
    click.echo(
        f"{watchers['connections']} connections, {watchers['waiting']} polls waiting, "
        f"{watchers['counted']} gateways counted"
    )
    click.echo(
        f"event {report['asked']}: {'in force everywhere below' if report['passed'] else 'not proven'}"
    )
    for entry in report["behind"]:
        lapsed = ", lease over" if entry["lapsed"] else ""
        click.echo(f"  {entry['watcher']} at {entry['number']} for {entry['seconds']:.1f} s{lapsed}")
    if more := report["behind_total"] - len(report["behind"]):
        click.echo(f"  and {more} more")
