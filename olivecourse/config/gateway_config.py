"""The configuration of a gateway, read from the JSON file that EDGE_CONFIG names or from an operator's YAML
file. Every error message is one line.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from importlib import import_module
from pathlib import Path
from typing import Any

import yaml

from olivecourse import interface
from olivecourse.config.address import Address, parse_address
from olivecourse.config.inventory import InvalidInventory, read_inventory
from olivecourse.config.settings import Malformed, check_settings, nested_pairs, read_settings, unused_paths
from olivecourse.config.vocabulary import DOORS

# Optional sections of an operator's YAML file. Each is read by the function given as module:name, which takes
# the path of the file.
SECTIONS = {
    "memory": "olivecourse.memory.section:read_memory",
    "rollout": "olivecourse.rollout.section:read_rollout",
    "storms": "olivecourse.storm.section:read_storms",
}


class InvalidConfig(Exception):
    """A configuration that a gateway cannot start with."""


@dataclass(frozen=True)
class SignedListenerConfig:
    """Configuration of the client listener that accepts signed links and order tokens over HTTP: `public` is
    the public URL of this gateway, `keys` the path of the file with the keys that check the signatures, and
    `leeway_s` the accepted difference between the clocks of signer and gateway, in seconds.
    """

    public: str
    keys: str
    leeway_s: float


@dataclass(frozen=True)
class Config:
    """The checked configuration of one gateway process."""

    name: str
    listen: Address
    settings: interface.Settings
    zones: list[str]
    kinds: list[str]
    connect_ns: int
    idle_ns: int
    streams: int
    rev: int = 0
    notices: list[Any] = field(default_factory=list)
    sockets: int = 1024
    memory_mb: int = 192
    board: Address | None = None
    # Further discovery addresses, used when `board`, the first one, fails; from an operator's file only.
    boards: tuple[Address, ...] = ()
    doors: tuple[Address, ...] = ()  # Listening addresses of the operators' HTTP endpoints.
    # Directory for the files by which an old and a new process of this gateway find each other during an
    # upgrade; used only with an operators' endpoint.
    tmpdir: str | None = None
    peer_listen: Address | None = None
    peers: list[Address] = field(default_factory=list)
    peers_all: Address | None = None
    signed: SignedListenerConfig | None = None
    inventory: str | None = None
    planner: str | None = None  # Path of the Unix socket of a planner in a separate process.
    unused_paths: tuple[
        str, ...
    ] = ()  # Paths of settings in the file that this program does not use; logged.
    # The optional sections that the operator's file contains, as read by the functions in SECTIONS, by name.
    sections: Mapping[str, Any] = field(default_factory=dict)


def _address(raw: Mapping[str, Any], name: str) -> Address | None:
    """Returns the HOST:PORT address that the configuration `raw` contains under `name`, or None if it is
    absent or empty. Raises InvalidConfig if it is invalid.
    """
    text = raw.get(name)
    if text in (None, ""):
        return None
    try:
        return parse_address(str(text))
    except ValueError as error:
        raise InvalidConfig(f"{name}: {error}") from None


def _doors(raw: Mapping[str, Any], env: Mapping[str, str]) -> tuple[Address, ...]:
    """Returns the listening addresses of the operators' HTTP endpoints, without duplicates. DOORS lists the
    names under which the configuration `raw` or an environment variable, which takes precedence, may give
    one.
    """
    found = [_address({name: env.get(variable) or raw.get(name)}, name) for name, variable in DOORS]
    return tuple(dict.fromkeys(address for address in found if address is not None))


def read_config(raw: Any, env: Mapping[str, str]) -> Config:
    """Checks a parsed configuration file and returns it as a Config. Environment variables take precedence
    for the name, the client listener's address and the operators' endpoints. Raises InvalidConfig.
    """
    if not isinstance(raw, dict):
        raise InvalidConfig("the configuration is not a JSON object")
    nested = raw.get("settings")
    if not isinstance(nested, dict):
        raise InvalidConfig("settings: missing or not an object")
    listen = _address({"listen": env.get("EDGE_LISTEN") or raw.get("listen")}, "listen")
    if listen is None:
        raise InvalidConfig("listen: missing, and EDGE_LISTEN is not set")
    try:
        seed = int(str(raw.get("seed", "0")), 16)
        settings = read_settings(seed, nested_pairs(nested))
        setting_limits, known, process_limits = (
            nested.get("limits", {}),
            raw.get("known", {}),
            raw.get("limits", {}),
        )
        check_settings(settings)
        return Config(
            name=env.get("EDGE_NAME") or str(raw.get("name", "gateway")),
            listen=listen,
            settings=settings,
            zones=list(nested.get("zones", ())),
            kinds=list(nested.get("kinds", ())),
            connect_ns=int(setting_limits.get("connect_timeout_ns", 400_000_000)),
            idle_ns=int(setting_limits.get("conn_idle_ns", 15_000_000_000)),
            streams=max(int(setting_limits.get("streams_per_conn", 100)), 1),
            rev=int(known.get("rev", 0)),
            notices=list(known.get("notices", ())),
            sockets=int(process_limits.get("sockets", 1024)),
            memory_mb=int(process_limits.get("memory_mb", 192)),
            board=_address(raw, "board"),
            doors=_doors(raw, env),
            unused_paths=unused_paths(nested_pairs(nested)),
            tmpdir=env.get("TMPDIR"),
            peer_listen=_address(raw, "peer_listen"),
            peers=[parse_address(peer) for peer in raw.get("peers", ())],
            peers_all=_address(raw, "peers_all"),
        )
    except Malformed as error:
        raise InvalidConfig(f"settings: {error}") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise InvalidConfig(f"cannot read a value: {error}") from None


def load_config(env: Mapping[str, str], path: str | None = None) -> Config:
    """Reads the JSON configuration file at `path`, or without a path the one that EDGE_CONFIG names. Raises
    InvalidConfig.
    """
    path = path or env.get("EDGE_CONFIG")
    if not path:
        raise InvalidConfig("no configuration: set EDGE_CONFIG or give --config")
    try:
        raw = json.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise InvalidConfig(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise InvalidConfig(f"{path}: not JSON: {error}") from None
    try:
        return read_config(raw, env)
    except InvalidConfig as error:
        raise InvalidConfig(f"{path}: {error}") from None


def _sections(path: str, raw: dict[str, Any]) -> dict[str, Any]:
    """Returns the optional sections that the operator's file contains, by name. `path` is the path of the
    file and `raw` its content. The package that reads a section is imported only if the file contains it.
    """
    from olivecourse.config.sections import InvalidSection

    found = {}
    for name, reader in SECTIONS.items():
        if raw.get(name) is not None:
            module, _, function = reader.partition(":")
            try:
                found[name] = getattr(import_module(module), function)(path)
            except InvalidSection as error:
                raise InvalidConfig(str(error)) from None
    return found


def load_operator(path: str, env: Mapping[str, str]) -> Config:
    """Reads an operator's YAML file. It names a file with the inventory of stores and contains the settings
    or names a file with them; the signed listener and the sections in SECTIONS are optional. Raises
    InvalidConfig.
    """
    try:
        raw = yaml.safe_load(Path(path).read_text("utf-8"))
    except OSError as error:
        raise InvalidConfig(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        mark = getattr(error, "problem_mark", None)
        raise InvalidConfig(f"{path}:{mark.line + 1 if mark else 1}: not YAML") from None
    if not isinstance(raw, dict):
        raise InvalidConfig(f"{path}: not a mapping")
    folder = Path(path).parent
    try:
        if isinstance(raw.get("settings"), str):
            raw["settings"] = json.loads((folder / raw["settings"]).read_text("utf-8"))
        config = read_config({"limits": {"sockets": raw.get("sockets", 1024)}, **raw}, env)
        signed_listener = raw.get("signed")
        if signed_listener is not None:
            if not isinstance(signed_listener, dict) or not {"public", "keys"} <= set(signed_listener):
                raise InvalidConfig("signed: public and keys are needed")
            leeway_s = float(signed_listener.get("leeway_s", 3))
            if not 0 <= leeway_s <= 60:
                raise InvalidConfig("signed: leeway_s is 0 to 60 seconds")
            signed_listener = SignedListenerConfig(
                str(signed_listener["public"]), str(folder / signed_listener["keys"]), leeway_s
            )
        if not raw.get("inventory"):
            raise InvalidConfig("inventory: missing")
        inventory = str(folder / raw["inventory"])
        notice = read_inventory(inventory, config.zones, config.kinds)
        planner = raw.get("planner")
        boards = raw.get("boards") or []
        if boards and config.board is None:
            raise InvalidConfig("boards: alternatives to `board`, which is missing")
        return replace(
            config,
            signed=signed_listener,
            inventory=inventory,
            notices=[notice, *config.notices],
            planner=str(folder / planner) if planner else None,
            boards=tuple(parse_address(str(text)) for text in boards),
            sections=_sections(path, raw),
        )
    except (InvalidConfig, InvalidInventory) as error:
        # The message of an error in a section may already start with the path of this file.
        text = str(error)
        raise InvalidConfig(text if text.startswith(f"{path}:") else f"{path}: {text}") from None
    except (OSError, ValueError, TypeError) as error:
        raise InvalidConfig(f"{path}: cannot read a value: {error}") from None
