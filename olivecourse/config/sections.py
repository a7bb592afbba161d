"""Sections of an operator's file, checked against a msgspec type; every error names file and line.

A section's type says what may stand there: names, types, bounds, defaults. Each new section is one more
type; nothing else is written for it.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

T = TypeVar("T")
PLACE = re.compile(r"^(.*?)(?: - at `\$(.*)`)?$", re.S)
UNKNOWN = re.compile(r"unknown field `([^`]+)`")
STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")


class BadSection(Exception):
    """A section that can't be used; the text names file, line and place."""


def _find(node: yaml.Node, name: str) -> tuple[yaml.Node, yaml.Node] | None:
    """The key and the value of a mapping's entry."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == name:
                return key, value
    return None


def _line(node: yaml.Node, path: str, text: str) -> int:
    """The line that an error is about, from the place that msgspec names; the nearest one that there is."""
    line = node.start_mark.line
    for name, index in STEP.findall(path):
        if index and isinstance(node, yaml.SequenceNode) and int(index) < len(node.value):
            node = node.value[int(index)]
            line = node.start_mark.line
        elif found := _find(node, name):
            line, node = found[0].start_mark.line, found[1]
        else:
            break
    if (unknown := UNKNOWN.search(text)) and (found := _find(node, unknown[1])):
        line = found[0].start_mark.line
    return int(line) + 1


def read_section(path: str, name: str, kind: type[T]) -> T | None:
    """The section `name` of the YAML file at `path` as a `kind`, or None where it is absent.

    Raises BadSection with one line of text.
    """
    try:
        text = Path(path).read_text("utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise BadSection(f"{path}: {type(error).__name__}") from None
    found = None if root is None else _find(root, name)
    if found is None or found[1].tag == "tag:yaml.org,2002:null":
        return None
    key, node = found
    value: Any = yaml.safe_load(text)[name]
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        match = PLACE.match(str(error))
        what, place = (match[1], match[2] or "") if match else (str(error), "")
        line = _line(node, place, what) if place or UNKNOWN.search(what) else key.start_mark.line + 1
        raise BadSection(f"{path}:{line}: {name}{place}: {what}") from None
