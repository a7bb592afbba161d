"""Reads sections of an operator's YAML file and checks them against a msgspec type. Every error message
contains the path of the file, and that of an invalid value also its line.

The type of a section defines the names of its values, their types, bounds and defaults. A new section needs
only such a type.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

T = TypeVar("T")
VALIDATION_MESSAGE = re.compile(r"^(.*?)(?: - at `\$(.*)`)?$", re.S)
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")
PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")


class InvalidSection(Exception):
    """Raised for a section that cannot be used. The message contains the path of the file and, for an invalid
    value, its line and its path within the section.
    """


def _find(node: yaml.Node, name: str) -> tuple[yaml.Node, yaml.Node] | None:
    """Returns the key node and the value node of the entry `name` of a YAML mapping, or None if `node` is not
    a mapping or lacks the entry.
    """
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == name:
                return key, value
    return None


def _line(node: yaml.Node, path: str, text: str) -> int:
    """Returns the line number of the value that a msgspec error refers to, or of the nearest enclosing value
    that is found. `node` is the section, `path` the path of the value and `text` the message, both as msgspec
    reports them.
    """
    line = node.start_mark.line
    for name, index in PATH_STEP.findall(path):
        if index and isinstance(node, yaml.SequenceNode) and int(index) < len(node.value):
            node = node.value[int(index)]
            line = node.start_mark.line
        elif found := _find(node, name):
            line, node = found[0].start_mark.line, found[1]
        else:
            break
    if (unknown := UNKNOWN_FIELD.search(text)) and (found := _find(node, unknown[1])):
        line = found[0].start_mark.line
    return int(line) + 1


def read_section(path: str, name: str, kind: type[T]) -> T | None:
    """Returns the section `name` of the YAML file at `path`, converted to the msgspec type `kind`, or None if
    the file does not contain it.

    Raises InvalidSection, whose message is one line.
    """
    try:
        text = Path(path).read_text("utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise InvalidSection(f"{path}: {type(error).__name__}") from None
    found = None if root is None else _find(root, name)
    if found is None or found[1].tag == "tag:yaml.org,2002:null":
        return None
    key, node = found
    value: Any = yaml.safe_load(text)[name]
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        match = VALIDATION_MESSAGE.match(str(error))
        reason, value_path = (match[1], match[2] or "") if match else (str(error), "")
        line = (
            _line(node, value_path, reason)
            if value_path or UNKNOWN_FIELD.search(reason)
            else key.start_mark.line + 1
        )
        raise InvalidSection(f"{path}:{line}: {name}{value_path}: {reason}") from None
