"""`olivecourse ops`: commands that make the operators' HTTP calls to a gateway, for use without curl."""

from __future__ import annotations

import http.client
import json
import sys

import click

from olivecourse.config.address import parse_address

TIMEOUT_S = 5.0  # for connecting and for each read; the gateway's admin server must answer within one second

ADDRESS = click.option(
    "--address",
    envvar="EDGE_MGMT",
    required=True,
    metavar="HOST:PORT",
    help="Admin address of the gateway; default: $EDGE_MGMT.",
)


def _call(address: str, method: str, path: str, fields: dict[str, str] | None = None) -> tuple[int, str]:
    """Makes one HTTP call to the gateway's admin server and returns the status code and the body.

    `fields` is sent as a JSON body. If there is no answer, prints why and exits with code 3.
    """
    try:
        host, port = parse_address(address)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--address") from None
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        body = None if fields is None else json.dumps(fields)
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        reply = connection.getresponse()
        return reply.status, reply.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        click.echo(f"olivecourse: no answer from {address}: {str(error) or type(error).__name__}", err=True)
        sys.exit(3)
    finally:
        connection.close()


def _reason(text: str) -> str:
    try:
        return str(json.loads(text)["why"])
    except (ValueError, KeyError, TypeError):
        return text.strip()


@click.group()
def ops() -> None:
    """Query a running gateway, or drain and restore stores by hand.

    Exit codes: 0 success, 1 refused or not ready (the reason is printed), 2 usage error, 3 no answer.
    """


@ops.command()
@ADDRESS
def ready(address: str) -> None:
    """Report whether the gateway is ready to serve."""
    status, text = _call(address, "GET", "/ops/readiness")
    click.echo("ready" if status == 200 else f"not ready: {_reason(text)}")
    sys.exit(0 if status == 200 else 1)


@ops.command()
@ADDRESS
def stats(address: str) -> None:
    """Print the metrics in the Prometheus text format."""
    status, text = _call(address, "GET", "/ops/stats")
    click.echo(text, nl=False, err=status != 200)
    sys.exit(0 if status == 200 else 1)


def _set_store_state(address: str, store: str, action: str, done: str) -> None:
    status, text = _call(address, "PUT", f"/ops/stores/{action}", {"id": store})
    click.echo(f"{store} {done}" if status == 200 else f"{store}: no: {_reason(text)}", err=status != 200)
    sys.exit(0 if status == 200 else 1)


@ops.command()
@click.argument("store")
@ADDRESS
def down(address: str, store: str) -> None:
    """Drain STORE: it gets no new requests, whatever the server list says."""
    _set_store_state(address, store, "down", "is out")


@ops.command()
@click.argument("store")
@ADDRESS
def up(address: str, store: str) -> None:
    """End the drain of STORE."""
    _set_store_state(address, store, "up", "is used again")
