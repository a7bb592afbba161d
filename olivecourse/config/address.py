"""Network addresses in the form HOST:PORT."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parses HOST:PORT. Raises ValueError if the text is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)
