"""The commands `olivecourse rollout`, `drain` and `undrain`, which call the management address of a gateway
over HTTP."""

from __future__ import annotations

import http.client
import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from olivecourse.config.address import parse_address

REQUEST_TIMEOUT_S = 5.0  # of one HTTP call; a gateway answers management calls within one second
# Time after which a release command counts as unanswered; it may take effect later (see `rollout status`).
TICKET_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.2  # between two requests for `/rollout/status` by `status --watch` and `drain --wait`
ADDRESS = click.option(
    "--address",
    envvar=["EDGE_MGMT", "EDGE_ADMIN"],
    required=True,
    metavar="HOST:PORT",
    help="Management address of any gateway; the default is $EDGE_MGMT or $EDGE_ADMIN.",
)
JSON = click.option("--json", "plain", is_flag=True, help="Print JSON.")


def call(address: str, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """Calls the management address of a gateway and returns the JSON object of its reply. Exits with code 3
    if the gateway does not answer, and with code 1 if it refuses the call."""
    try:
        host, port = parse_address(address)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--address") from None
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        reply = connection.getresponse()
        reply_body = json.loads(reply.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(f"olivecourse: no answer from {address}: {str(error) or type(error).__name__}", err=True)
        sys.exit(3)
    finally:
        connection.close()
    if not 200 <= reply.status < 300:
        click.echo(
            f"olivecourse: no: {reply_body.get('why', 'rollouts are disabled at this gateway')}", err=True
        )
        sys.exit(1)
    return dict(reply_body)


def send_command(address: str, do: str, **arguments: Any) -> None:
    """Sends the release command `do`, and waits until its outcome is known. Exits with code 1 if it was
    refused, and with code 4 if no majority of the voting members has answered within TICKET_TIMEOUT_S."""
    ticket = call(address, "POST", "/rollout/ask", {"do": do, **arguments})["ticket"]
    end = time.monotonic() + TICKET_TIMEOUT_S
    while time.monotonic() < end:
        ticket_status = call(address, "GET", f"/rollout/ticket/{ticket}")
        if not ticket_status["pending"]:
            if ticket_status["ok"]:
                click.echo(f"{do}: done, term {ticket_status['term']}")
                return
            click.echo(f"{do}: no: {ticket_status['why']}", err=True)
            sys.exit(1)
        time.sleep(0.05)
    click.echo(f"{do}: no majority has answered; look at `olivecourse rollout status`", err=True)
    sys.exit(4)


def since(unix_s: int) -> str:
    """Formats a Unix time in seconds as the time of day in UTC; 0 stands for an unknown time."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%H:%M:%S UTC") if unix_s else "unknown"


def lines(status: dict[str, Any]) -> list[str]:
    """Formats the reply of `/rollout/status` as text, with one fact on each line; the first line is the
    release."""
    release = status["release"]
    text = [
        f"release: {release['state']} (term {release['term']})"
        + (
            f", version {release['version']}, wave {release['wave'] + 1}/{len(release['waves'])}"
            if release["version"]
            else ""
        )
        + (f": {release['why']}" if release["why"] else "")
        + (", held here" if release["held_here"] else "")
    ]
    text += [
        f"gateway {g['name']}: {g['service'] if g['heard'] else 'silent'} {g['version']}".rstrip()
        for g in status["gateways"]
    ]
    for key, group in status["groups"].items():
        text.append(f"{key}: {len(group['out'])} of {group['of']} out, {group['may']} may be")
        text += [
            f"  {p['item']}: {p['phase']} since {since(p['since'])}, {p['why']} by {p['holder']}"
            for p in group["places"]
        ]
        placed = {p["item"] for p in group["places"]}
        text += [f"  {name}: out without a place" for name in group["out"] if name not in placed]
        text += [
            f"  {queued['item']}: waits since {since(queued['since'])}, for {queued['holder']}"
            for queued in group["waiting"]
        ]
    return text + [
        f"work {work['item']}: {work['stage']} {work['said']}".rstrip() for work in status["works"]
    ]


def table(status: dict[str, Any]) -> None:
    """Prints the reply of `/rollout/status` as a table of groups with their leases and queued requests,
    followed by one line for each gateway and each item that this gateway works on."""
    from rich.console import Console
    from rich.table import Table

    grid = Table("group", "out", "may be", "place", "phase", "for", "since", title=lines(status)[0])
    for key, group in status["groups"].items():
        rows = [
            (p["item"], p["phase"], f"{p['why']} by {p['holder']}", since(p["since"]))
            for p in group["places"]
        ]
        rows += [
            (queued["item"], "waits", queued["holder"], since(queued["since"])) for queued in group["waiting"]
        ]
        for i, row in enumerate(rows or [("", "", "", "")]):
            head = (key, f"{len(group['out'])} of {group['of']}", str(group["may"]))
            grid.add_row(*(("", "", "") if i else head), *row)
    Console().print(grid)
    for line in lines(status)[1:]:
        if line.startswith(("gateway", "work")):
            click.echo(line)


@click.group()
def rollout() -> None:
    """Releases and drains on which the whole fleet agrees.

    Exit codes: 0 done, 1 refused (the reason is printed), 2 invalid usage or file, 3 the gateway does not
    answer, 4 no majority answered.
    """


@rollout.command()
@click.option("--operator", required=True, type=click.Path(), help="The operator's file with `rollout:`.")
@click.option("--name", required=True, help="This gateway's name.")
def init(operator: str, name: str) -> None:
    """Initialize the folder of a voting member of a new fleet. Run this once for each member, and never for a
    member that replaces another one: a replacement recovers the state of the others by itself."""
    from olivecourse.config.sections import InvalidSection
    from olivecourse.rollout.disk import Disk, FolderUnusable
    from olivecourse.rollout.section import read_rollout

    try:
        config = read_rollout(operator)
        if config is None or config.folder is None:
            raise InvalidSection(f"{operator}: no rollout section with a folder")
        disk = Disk(str(config.folder), name, config.read_keys()[1])
        disk.init(int(time.time()))
        disk.close()
    except (InvalidSection, FolderUnusable) as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)
    click.echo(f"{config.folder}: {name} is a member from the start")


@rollout.command()
@click.argument("file", type=click.Path())
@ADDRESS
def plan(file: str, address: str) -> None:
    """Read a release plan from a YAML FILE and propose it; this does not start the release."""
    import msgspec

    from olivecourse.config.sections import InvalidSection, read_section
    from olivecourse.rollout.section import PlanText

    try:
        plan_text = read_section(file, "release", PlanText)
        if plan_text is None:
            raise InvalidSection(f"{file}: no release section")
    except InvalidSection as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)
    send_command(address, "plan", plan=msgspec.to_builtins(plan_text))


def _add_command(name: str, text: str) -> None:
    """Adds the subcommand `rollout NAME` that sends the release command of that name; `text` is its help
    text."""

    @rollout.command(name, help=text)
    @ADDRESS
    @click.option("--why", default="", help="Reason shown to other operators; cut off after 40 characters.")
    @click.option(
        "--term", type=int, default=None, help="Refuse the command if the release has another term by now."
    )
    def command(address: str, why: str, term: int | None) -> None:
        send_command(address, name, why=why, **({} if term is None else {"term": term}))


for _name, _text in (
    ("start", "Start the planned release."),
    ("pause", "Let no further gateway restart until a resume."),
    ("halt", "Stop the release everywhere; only a resume or a rollback ends the halt."),
    ("resume", "Continue a paused or halted release."),
    ("rollback", "Return all gateways to the previous version, within the same budgets."),
):
    _add_command(_name, _text)


@rollout.command()
@ADDRESS
@JSON
@click.option("--watch", is_flag=True, help="Print the status again after every change, until Ctrl-C.")
def status(address: str, plain: bool, watch: bool) -> None:
    """Show what is out of service, which requests wait, and the state of the release, as known to the
    gateway."""
    before: dict[str, Any] = {}
    while True:
        current = call(address, "GET", "/rollout/status")
        if current != before:
            click.echo(json.dumps(current)) if plain else table(current)
        before = current
        if not watch:
            return
        time.sleep(POLL_INTERVAL_S)


@rollout.command()
@click.argument("log", type=click.Path())
@JSON
def explain(log: str, plain: bool) -> None:
    """Show from a gateway's LOG when leases were granted and ended, and how the release progressed."""
    try:
        text = Path(log).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"olivecourse: {log}: {error}", err=True)
        sys.exit(2)
    for line in text.splitlines():
        try:
            record = json.loads(line)
        except ValueError:
            continue
        if isinstance(record, dict) and str(record.get("event", "")).startswith("rollout_"):
            if plain:
                click.echo(json.dumps(record))
                continue
            rest = " ".join(
                f"{k}={v}"
                for k, v in record.items()
                if k not in ("event", "timestamp", "level", "gateway") and v != ""
            )
            click.echo(
                f"{record.get('timestamp', '?')} {record.get('gateway', '?')}: "
                f"{record['event'].removeprefix('rollout_')} {rest}"
            )


@click.command()
@click.argument("item")
@ADDRESS
@click.option(
    "--wait",
    "seconds",
    type=click.FloatRange(0),
    default=None,
    is_flag=False,
    flag_value=600.0,
    help="Wait until the item is out, 600 s if no number is given; without --wait only request it.",
)
@click.option(
    "--force",
    is_flag=True,
    help="Bypass the budget and the queue; the last item of a group still stays in service.",
)
def drain(item: str, address: str, seconds: float | None, force: bool) -> None:
    """Take a store or a gateway out of service as soon as the disruption budget of its group allows it."""
    call(address, "POST", "/rollout/ask", {"do": "drain", "item": item, "force": force})
    end, last = time.monotonic() + (seconds or 0.0), ""
    while True:
        current = call(address, "GET", "/rollout/status")
        work = next((x for x in current["works"] if x["item"] == item), None)
        if work is not None and work["stage"] == "out":
            click.echo(f"{item} is out")
            return
        now = f"{item}: " + (
            f"{work['stage']} {work['said']}".rstrip() if work else "no request for it is open"
        )
        if now != last:
            click.echo(now)
            last = now
        if time.monotonic() >= end:
            sys.exit(0 if seconds is None else 1)
        time.sleep(POLL_INTERVAL_S)


@click.command()
@click.argument("item")
@ADDRESS
@click.option("--force", is_flag=True, help="End the lease now, even if its holder has failed.")
def undrain(item: str, address: str, force: bool) -> None:
    """Return a store or a gateway to service; its lease ends once it is warm."""
    call(address, "POST", "/rollout/ask", {"do": "undrain", "item": item, "force": force})
    click.echo(f"{item} is asked again")
