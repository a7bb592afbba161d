"""Reads the inventory of stores, a CSV or YAML file that a configuration management tool may write. Errors
name the line.

The columns (CSV) or keys (YAML) of a store are name, address, zone and kind, and optionally size (default 1),
cell (default none) and state (default ready).
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

from olivecourse.config.address import parse_address

REQUIRED_COLUMNS, OPTIONAL_COLUMNS = ("name", "address", "zone", "kind"), ("size", "cell", "state")
STATES = {"ready": "Ready", "draining": "Terminating", "gone": "Gone"}


class InvalidInventory(Exception):
    """Raised for an inventory that cannot be used; the message contains the path of the file and, for an
    invalid entry, its line.
    """


def read_inventory(path: str, zones: list[str], kinds: list[str]) -> dict[str, Any]:
    """Reads the inventory file and returns it in the form of a discovery event with a complete list of
    stores. `zones` and `kinds` are the names that its entries may use. Raises InvalidInventory.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInventory(f"{path}: {getattr(error, 'strerror', None) or 'not UTF-8'}") from None
    rows = _yaml_rows(path, text) if path.endswith((".yaml", ".yml")) else _csv_rows(path, text)
    members, names, addresses = [], dict[str, int](), dict[str, int]()
    for line, row in rows:
        member = _member(f"{path}:{line}", row, zones, kinds)
        for field, seen in (("id", names), ("host_port", addresses)):
            if member[field] in seen:
                raise InvalidInventory(
                    f"{path}:{line}: {member[field]} stands at line {seen[member[field]]} already"
                )
            seen[member[field]] = line
        members.append(member)
    if not members:
        raise InvalidInventory(f"{path}: no store")
    return {"rev": 0, "pool": {"revision": 0, "complete": True, "members": members}}


def _csv_rows(path: str, text: str) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yields the line number and the values by column of each row of a CSV inventory. `path` is used in
    errors.
    """
    reader = csv.DictReader(io.StringIO(text), strict=True)
    try:
        columns = reader.fieldnames or []
        if set(REQUIRED_COLUMNS) - set(columns):
            raise InvalidInventory(
                f"{path}:1: columns missing: {', '.join(sorted(set(REQUIRED_COLUMNS) - set(columns)))}"
            )
        for row in reader:
            if None in row or None in row.values():
                raise InvalidInventory(f"{path}:{reader.line_num}: as many values as columns are needed")
            yield reader.line_num, row
    except csv.Error as error:
        raise InvalidInventory(f"{path}:{reader.line_num}: {error}") from None


def _yaml_rows(path: str, text: str) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yields the line number and the mapping of each store of a YAML inventory. `path` is used in errors."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise InvalidInventory(f"{path}:{line}: {error.problem}") from None
    except yaml.YAMLError as error:
        raise InvalidInventory(f"{path}:1: {error}") from None
    if not isinstance(root, yaml.SequenceNode):
        raise InvalidInventory(f"{path}:1: a list of stores is needed")
    for node, row in zip(root.value, value, strict=True):
        line = node.start_mark.line + 1
        if not isinstance(row, dict):
            raise InvalidInventory(f"{path}:{line}: a store is a mapping")
        yield line, row


def _member(where: str, row: dict[str, Any], zones: list[str], kinds: list[str]) -> dict[str, Any]:
    """Checks one entry of the inventory and returns it as a member of a discovery event's server list.
    `where` is PATH:LINE, for the error message.
    """
    unknown = set(map(str, row)) - {*REQUIRED_COLUMNS, *OPTIONAL_COLUMNS}
    if unknown:
        raise InvalidInventory(f"{where}: unknown: {', '.join(sorted(unknown))}")
    text = {key: "" if value is None else str(value).strip() for key, value in row.items()}
    for name in REQUIRED_COLUMNS:
        if not text.get(name):
            raise InvalidInventory(f"{where}: {name} is missing")
    if not all(character.isalnum() or character in "-_." for character in text["name"]):
        raise InvalidInventory(f"{where}: name {text['name']!r}: letters, digits, '-', '_' and '.' only")
    for name, choices in (("zone", zones), ("kind", kinds)):
        if text[name] not in choices:
            raise InvalidInventory(f"{where}: {name} {text[name]!r} is none of {', '.join(choices)}")
    state = text.get("state") or "ready"
    if state not in STATES:
        raise InvalidInventory(f"{where}: state {state!r} is none of {', '.join(STATES)}")
    try:
        parse_address(text["address"])
        size = float(text.get("size") or 1)
        cell = int(text["cell"]) if text.get("cell") else None
        if not 0 < size < 1e6:
            raise ValueError(f"size {size} is out of range")
    except ValueError as error:
        raise InvalidInventory(f"{where}: {error}") from None
    return {
        "id": text["name"],
        "host_port": text["address"],
        "locality": text["zone"],
        "flavor": text["kind"],
        "cell": cell,
        "phase": STATES[state],
        "size": size,
        "up_since_ms": 0,
    }
