"""The command line. Without a subcommand the program runs a gateway (`serve`), which is how the platform
starts it.
"""

from __future__ import annotations

import os
import secrets
import signal
import socket
import sys
import time
from contextlib import suppress
from dataclasses import replace
from importlib import import_module, metadata

import click

from olivecourse import logs
from olivecourse.config.gateway_config import Config, InvalidConfig, load_config, load_operator

VERSION = "0.3.0"


def _load(path: str | None, operator: str | None) -> Config:
    """Loads the configuration from the operator's YAML file `operator`, or else from the JSON file `path` or
    the one that EDGE_CONFIG names. If it is invalid, exits with status 2 and one line on standard error.
    """
    try:
        return load_operator(operator, os.environ) if operator else load_config(os.environ, path)
    except InvalidConfig as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)


class Signals:
    """Collects SIGTERM, SIGINT and SIGHUP for the event loop, because a signal handler that did more could
    interrupt the planner in the middle of a decision. The socket `readable` becomes readable once a signal
    has arrived, which wakes the event loop.
    """

    def __init__(self) -> None:
        self._arrived: set[int] = set()
        self._waker, self.readable = socket.socketpair()
        self._waker.setblocking(False)
        self.readable.setblocking(False)
        # Python need not warn when the waker socket's buffer is full: the event loop has been woken already,
        # and which signals arrived is recorded in `_arrived` alone.
        signal.set_wakeup_fd(self._waker.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda came, frame: self._arrived.add(came))

    def take(self) -> set[int]:
        """Returns the numbers of the signals that arrived since the last call, each once."""
        with suppress(BlockingIOError):
            while self.readable.recv(4096):
                pass
        arrived, self._arrived = self._arrived, set()
        return arrived


class LazyGroup(click.Group):
    """A command group that imports the operators' commands only when they are called, so that a gateway's
    start does not load their libraries.
    """

    COMMAND_MODULES = {
        "memory": "olivecourse.memory.commands",
        "storms": "olivecourse.storm.commands",
        "ops": "olivecourse.ops.commands",
        "rollout": "olivecourse.rollout.commands",
        "drain": "olivecourse.rollout.commands",
        "undrain": "olivecourse.rollout.commands",
        "relay": "olivecourse.relay.commands",
        "demo": "olivecourse.demo",
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, without importing the modules in COMMAND_MODULES."""
        return sorted([*super().list_commands(ctx), *self.COMMAND_MODULES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command with a name, after importing its module if it is in COMMAND_MODULES; None if
        there is no such command.
        """
        if cmd_name in self.COMMAND_MODULES:
            found: click.Command = getattr(import_module(self.COMMAND_MODULES[cmd_name]), cmd_name)
            return found
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Gateway in front of cache boxes, which fill from hub caches and an archive."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


CONFIG = click.option(
    "--config", "path", type=click.Path(), help="JSON configuration file, used instead of EDGE_CONFIG."
)
OPERATOR = click.option(
    "--operator", type=click.Path(), help="Operator's file (YAML), used instead of a JSON file."
)


@main.command()
@CONFIG
@OPERATOR
@click.option(
    "--role",
    type=click.Choice(["gateway", "forwarder", "planner", "relay"]),
    default="gateway",
    help="gateway: everything in one process; forwarder and planner need `planner` in the operator's file,"
    " relay needs `relay`.",
)
def serve(path: str | None = None, operator: str | None = None, role: str = "gateway") -> None:
    """Run a gateway, its forwarder, its planner or a relay until SIGTERM. SIGHUP reloads the
    configuration.
    """
    # Signals are handled from the start, because a signal that arrives during startup must neither end this
    # process nor be lost.
    signals = Signals()
    if role == "relay":
        _serve_relay(operator, signals)
        return
    config = _load(path, operator)
    logs.set_up()
    # Imported here and not at the top, because the other commands start faster without these modules.
    from olivecourse.gateway import Gateway
    from olivecourse.service import PlannerService

    log = logs.logger(gateway=config.name)
    try:
        if role != "gateway" and config.planner is None:
            raise ValueError("the operator's file names no planner socket")
        if role == "planner":
            gateway: Gateway | PlannerService = PlannerService(config, log)
        else:
            gateway = Gateway(config if role == "forwarder" else replace(config, planner=None), log)
    except (OSError, ValueError) as error:
        click.echo(f"olivecourse: cannot start: {error}", err=True)
        sys.exit(2)

    def wake(mask: int) -> None:
        """Called by the event loop when signals have arrived: reloads at SIGHUP, stops at SIGTERM or
        SIGINT.
        """
        arrived = signals.take()
        # The configuration is reloaded even if SIGTERM has arrived together with SIGHUP, because the stop may
        # take seconds, in which discovery still announces drains.
        if signal.SIGHUP in arrived:
            reload()
        if arrived & {signal.SIGTERM, signal.SIGINT}:
            gateway.stop()

    def reload() -> None:
        """Reads the configuration again, from the same file as at the start, and applies it. An invalid one
        is logged and changes nothing.
        """
        try:
            new_config = load_operator(operator, os.environ) if operator else load_config(os.environ, path)
            gateway.reload(new_config if role == "forwarder" else replace(new_config, planner=None))
        except (InvalidConfig, OSError, ValueError) as error:
            if not isinstance(gateway, PlannerService):
                gateway.conf_invalid += 1
            log("reload_refused", why=str(error))

    gateway.loop.watch(signals.readable, 1, wake)
    gateway.run()


def _serve_relay(operator: str | None, signals: Signals) -> None:
    """Runs a relay, a process that receives discovery events and distributes them to many gateways, as
    configured by the operator's file `operator`, until SIGTERM or SIGINT.
    """
    from olivecourse.config.sections import InvalidSection
    from olivecourse.relay.commands import raise_descriptor_limit
    from olivecourse.relay.section import read_relay
    from olivecourse.relay.service import RelayService

    if operator is None:
        click.echo("olivecourse: --role relay needs --operator", err=True)
        sys.exit(2)
    try:
        config = read_relay(operator)
        logs.set_up()
        log = logs.logger(relay=config.name)
        relay = RelayService(config, log, raise_descriptor_limit())
    except (InvalidSection, OSError, ValueError) as error:
        click.echo(f"olivecourse: cannot start: {error}", err=True)
        sys.exit(2)

    def wake(mask: int) -> None:
        """Called by the event loop when signals have arrived: reloads at SIGHUP, stops at SIGTERM or
        SIGINT.
        """
        arrived = signals.take()
        if signal.SIGHUP in arrived:
            try:
                relay.reload(read_relay(operator))
            except (InvalidSection, ValueError) as error:
                log("reload_refused", why=str(error))
        if arrived & {signal.SIGTERM, signal.SIGINT}:
            relay.stop()

    relay.loop.watch(signals.readable, 1, wake)
    relay.run()


@main.command()
def version() -> None:
    """Print the versions of the program and of the libraries it uses."""
    click.echo(f"olivecourse {VERSION}")
    for name in (
        "thrift",
        "httptools",
        "structlog",
        "click",
        "PyJWT",
        "cryptography",
        "msgspec",
        "protobuf",
        "lmdb",
        "blake3",
    ):
        click.echo(f"{name} {metadata.version(name)}")


@main.command("check-config")
@CONFIG
@OPERATOR
def check_config(path: str | None, operator: str | None) -> None:
    """Check the configuration and report what is wrong with it, if anything."""
    config = _load(path, operator)
    if config.signed is not None:
        from olivecourse.fronts import tokens

        try:
            tokens.read_keys(config.signed.keys)
        except tokens.BadKeys as error:
            click.echo(f"olivecourse: {error}", err=True)
            sys.exit(2)
    click.echo(f"{config.name}: {len(config.settings.classes)} classes, {len(config.notices)} notices, good")


@main.command()
@click.argument("uri")
@click.option("--keys", required=True, type=click.Path(), help="The key file.")
@click.option("--kid", required=True, help="The key to sign with.")
@click.option(
    "--ttl", default=300, show_default=True, type=click.IntRange(1), help="Validity of the token in seconds."
)
@click.option("--container", help="hash:... or regex:..., used instead of the hash of URI.")
@click.option("--order", "gateway", help="Issue a Bearer token for one order at the gateway of this name.")
def sign(uri: str, keys: str, kid: str, ttl: int, container: str | None, gateway: str | None) -> None:
    """Sign the link URI, or issue an order token for it, and print the result."""
    from olivecourse.fronts import tokens

    try:
        known_keys = tokens.read_keys(keys)
    except tokens.BadKeys as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)
    if kid not in known_keys:
        click.echo(f"olivecourse: {keys}: no key {kid}", err=True)
        sys.exit(2)
    if gateway is not None:
        click.echo(
            tokens.issue(
                known_keys[kid],
                uri,
                ttl,
                time.time(),
                container=container,
                aud=gateway,
                jti=secrets.token_hex(16),
            )
        )
    else:
        token = tokens.issue(known_keys[kid], uri, ttl, time.time(), container=container)
        click.echo(tokens.signed_uri(uri, token))
