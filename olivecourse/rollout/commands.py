"""`olivecourse rollout`, `drain` and `undrain`: releases and places, at any gateway's operators' door."""

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

REQUEST_TIMEOUT_S = 5.0  # the door owes its answer within one second
TICKET_TIMEOUT_S = 6.0  # a word that no majority has answered by then may still come true: look at the status
POLL_INTERVAL_S = 0.2
ADDRESS = click.option(
    "--address",
    envvar=["EDGE_MGMT", "EDGE_ADMIN"],
    required=True,
    metavar="HOST:PORT",
    help="Any gateway's operators' door; without it $EDGE_MGMT or $EDGE_ADMIN.",
)
JSON = click.option("--json", "plain", is_flag=True, help="Print JSON.")


def call(address: str, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """The reply's object; ends the program with 3 where nobody answers, with 1 where the answer is a no."""
    try:
        host, port = parse_address(address)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--address") from None
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        reply = connection.getresponse()
        found = json.loads(reply.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(f"olivecourse: no answer from {address}: {str(error) or type(error).__name__}", err=True)
        sys.exit(3)
    finally:
        connection.close()
    if not 200 <= reply.status < 300:
        click.echo(f"olivecourse: no: {found.get('why', 'rollouts are off there')}", err=True)
        sys.exit(1)
    return dict(found)


def send_command(address: str, do: str, **more: Any) -> None:
    """One word on the release; waits for what a majority makes of it."""
    ticket = call(address, "POST", "/rollout/ask", {"do": do, **more})["ticket"]
    end = time.monotonic() + TICKET_TIMEOUT_S
    while time.monotonic() < end:
        found = call(address, "GET", f"/rollout/ticket/{ticket}")
        if not found["pending"]:
            if found["ok"]:
                click.echo(f"{do}: done, term {found['term']}")
                return
            click.echo(f"{do}: no: {found['why']}", err=True)
            sys.exit(1)
        time.sleep(0.05)
    click.echo(f"{do}: no majority has answered; look at `olivecourse rollout status`", err=True)
    sys.exit(4)


def since(unix_s: int) -> str:
    return datetime.fromtimestamp(unix_s, UTC).strftime("%H:%M:%S UTC") if unix_s else "unknown"


def lines(status: dict[str, Any]) -> list[str]:
    """The status in words, one line a fact."""
    release = status["release"]
    found = [
        f"release: {release['state']} (term {release['term']})"
        + (
            f", version {release['version']}, wave {release['wave'] + 1}/{len(release['waves'])}"
            if release["version"]
            else ""
        )
        + (f": {release['why']}" if release["why"] else "")
        + (", held here" if release["held_here"] else "")
    ]
    found += [
        f"gateway {g['name']}: {g['service'] if g['heard'] else 'silent'} {g['version']}".rstrip()
        for g in status["gateways"]
    ]
    for key, group in status["groups"].items():
        found.append(f"{key}: {len(group['out'])} of {group['of']} out, {group['may']} may be")
        found += [
            f"  {p['item']}: {p['phase']} since {since(p['since'])}, {p['why']} by {p['holder']}"
            for p in group["places"]
        ]
        placed = {p["item"] for p in group["places"]}
        found += [f"  {name}: out without a place" for name in group["out"] if name not in placed]
        found += [
            f"  {x['item']}: waits since {since(x['since'])}, for {x['holder']}" for x in group["waiting"]
        ]
    return found + [f"work {x['item']}: {x['stage']} {x['said']}".rstrip() for x in status["works"]]


def table(status: dict[str, Any]) -> None:
    from rich.console import Console
    from rich.table import Table

    grid = Table("group", "out", "may be", "place", "phase", "for", "since", title=lines(status)[0])
    for key, group in status["groups"].items():
        rows = [
            (p["item"], p["phase"], f"{p['why']} by {p['holder']}", since(p["since"]))
            for p in group["places"]
        ]
        rows += [(x["item"], "waits", x["holder"], since(x["since"])) for x in group["waiting"]]
        for i, row in enumerate(rows or [("", "", "", "")]):
            head = (key, f"{len(group['out'])} of {group['of']}", str(group["may"]))
            grid.add_row(*(("", "", "") if i else head), *row)
    Console().print(grid)
    for line in lines(status)[1:]:
        if line.startswith(("gateway", "work")):
            click.echo(line)


@click.group()
def rollout() -> None:
    """Releases and drains that the whole fleet agrees on.

    Exit codes: 0 done, 1 no (the reason is printed), 2 wrong words, 3 nobody answers, 4 no majority answered.
    """


@rollout.command()
@click.option("--operator", required=True, type=click.Path(), help="The operator's file with `rollout:`.")
@click.option("--name", required=True, help="This gateway's name.")
def init(operator: str, name: str) -> None:
    """Mark the folder as a member's of a fleet that starts now. Once for each member, and never for one that
    takes another's place: that one catches up by itself."""
    from olivecourse.config.sections import BadSection
    from olivecourse.rollout.section import read_rollout
    from olivecourse.rollout.store import Disk, FolderUnusable

    try:
        config = read_rollout(operator)
        if config is None or config.folder is None:
            raise BadSection(f"{operator}: no rollout section with a folder")
        disk = Disk(str(config.folder), name, config.read_keys()[1])
        disk.init(int(time.time()))
        disk.close()
    except (BadSection, FolderUnusable) as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)
    click.echo(f"{config.folder}: {name} is a member from the start")


@rollout.command()
@click.argument("file", type=click.Path())
@ADDRESS
def plan(file: str, address: str) -> None:
    """Read a release's plan from a YAML FILE and propose it; nothing starts yet."""
    import msgspec

    from olivecourse.config.sections import BadSection, read_section
    from olivecourse.rollout.section import PlanText

    try:
        found = read_section(file, "release", PlanText)
        if found is None:
            raise BadSection(f"{file}: no release section")
    except BadSection as error:
        click.echo(f"olivecourse: {error}", err=True)
        sys.exit(2)
    send_command(address, "plan", plan=msgspec.to_builtins(found))


def _add_command(name: str, text: str) -> None:
    @rollout.command(name, help=text)
    @ADDRESS
    @click.option("--why", default="", help="A few words for the others; 40 characters are kept.")
    @click.option("--term", type=int, default=None, help="Refused if the release stands at another by now.")
    def command(address: str, why: str, term: int | None) -> None:
        send_command(address, name, why=why, **({} if term is None else {"term": term}))


for _name, _text in (
    ("start", "Start the planned release."),
    ("pause", "Let nobody more go; resume goes on."),
    ("halt", "Stop the release everywhere; only a resume or a rollback ends that."),
    ("resume", "Go on with a paused or halted release."),
    ("rollback", "Bring the version before back, within the same budgets."),
):
    _add_command(_name, _text)


@rollout.command()
@ADDRESS
@JSON
@click.option("--watch", is_flag=True, help="Print it again with every change, until Ctrl-C.")
def status(address: str, plain: bool, watch: bool) -> None:
    """What is out, who waits, and how the release stands, as this gateway knows it."""
    before: dict[str, Any] = {}
    while True:
        found = call(address, "GET", "/rollout/status")
        if found != before:
            click.echo(json.dumps(found)) if plain else table(found)
        before = found
        if not watch:
            return
        time.sleep(POLL_INTERVAL_S)


@rollout.command()
@click.argument("log", type=click.Path())
@JSON
def explain(log: str, plain: bool) -> None:
    """From a gateway's LOG: when places were given and taken back, and how the release went."""
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
    help="Wait for the place, 600 s without a number; else only ask.",
)
@click.option("--force", is_flag=True, help="Pass the budget and the queue; never the last one of a group.")
def drain(item: str, address: str, seconds: float | None, force: bool) -> None:
    """Take a store or a gateway out, as soon as the fleet's budget lets it."""
    call(address, "POST", "/rollout/ask", {"do": "drain", "item": item, "force": force})
    end, last = time.monotonic() + (seconds or 0.0), ""
    while True:
        found = call(address, "GET", "/rollout/status")
        work = next((x for x in found["works"] if x["item"] == item), None)
        if work is not None and work["stage"] == "out":
            click.echo(f"{item} is out")
            return
        now = f"{item}: " + (f"{work['stage']} {work['said']}".rstrip() if work else "nobody asks for it now")
        if now != last:
            click.echo(now)
            last = now
        if time.monotonic() >= end:
            sys.exit(0 if seconds is None else 1)
        time.sleep(POLL_INTERVAL_S)


@click.command()
@click.argument("item")
@ADDRESS
@click.option("--force", is_flag=True, help="Give the place back now, also one of a gateway that is gone.")
def undrain(item: str, address: str, force: bool) -> None:
    """Use it again; its place is given back once it is warm."""
    call(address, "POST", "/rollout/ask", {"do": "undrain", "item": item, "force": force})
    click.echo(f"{item} is asked again")
