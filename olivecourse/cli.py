"""The command line. Without a sub-command it serves, as the platform starts it."""

from __future__ import annotations

import os
import signal
import socket
import sys
from importlib import metadata

import click

from olivecourse import logs
from olivecourse.config import BadConfig, Config, load_config

VERSION = "0.2.0"


def _load(path: str | None) -> Config:
    try:
        return load_config(os.environ, path)
    except BadConfig as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """The gateway for cache boxes that fill from hub caches and an archive."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


@main.command()
@click.option("--config", "path", type=click.Path(), help="JSON as in EDGE_CONFIG, in its place.")
def serve(path: str | None = None) -> None:
    """Run one gateway until SIGTERM."""
    config = _load(path)
    logs.set_up()
    from olivecourse.gateway import Gateway  # only here: the other commands start faster without it

    log = logs.logger(gateway=config.name)
    try:
        gateway = Gateway(config, log)
    except OSError as error:
        click.echo(f"olivecourse: cannot start: {error}", err=True)
        sys.exit(2)
    # The signal only wakes the loop: a handler that did more could run in the midst of a decision.
    waker, woken = socket.socketpair()
    waker.setblocking(False)
    woken.setblocking(False)
    signal.set_wakeup_fd(waker.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)

    def wake(mask: int) -> None:
        woken.recv(64)
        gateway.stop()

    gateway.loop.watch(woken, 1, wake)
    gateway.run()


@main.command()
def version() -> None:
    """Print the versions of the program and of the libraries it stands on."""
    click.echo(f"olivecourse {VERSION}")
    for name in ("thrift", "httptools", "structlog", "click"):
        click.echo(f"{name} {metadata.version(name)}")


@main.command("check-config")
@click.option("--config", "path", type=click.Path(), help="JSON as in EDGE_CONFIG, in its place.")
def check_config(path: str | None) -> None:
    """Read the configuration and say what is wrong with it, if anything."""
    config = _load(path)
    click.echo(f"{config.name}: {len(config.settings.classes)} classes, {len(config.notices)} notices, good")
