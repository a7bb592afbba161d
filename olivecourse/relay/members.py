"""The server list that results from all events so far; it is encoded only when a watcher needs all of it."""

from __future__ import annotations

from typing import Any

from olivecourse.relay.event_log import encode_json
from olivecourse.relay.events import MemberChange, PoolChange


class FoldedMembers:
    """The newest complete entry of each store, by id. A store that is gone leaves no entry.

    Only changed entries are encoded again; the encoded list is cached until the next change.
    """

    def __init__(self, most_members: int) -> None:
        self._most_members = most_members
        self._members: dict[str, dict[str, Any]] = {}
        self._encoded_members: dict[str, bytes] = {}
        self._encoded_pool: bytes | None = None
        self._extra: dict[str, Any] = {}  # the newest change without its members
        self.number = 0  # number of the newest folded change
        self.complete = False  # whether a complete list has been folded and all members fit
        self.refused = 0  # count of members refused because of the limit

    def __len__(self) -> int:
        return len(self._members)

    def fold(self, number: int, change: PoolChange) -> None:
        """Applies a change, or a complete list as of `number`; calls must follow the order of events.

        A change that an already folded list includes is ignored: a relay whose answer was cut off may get it
        again from another upstream.

        Above the limit on members the list is incomplete until the next complete one that fits, because a
        list that lacks stores must never be served as complete.
        """
        if number <= self.number:
            return
        if change.complete:
            self._members.clear()
            self._encoded_members.clear()
            self.complete = True
        for member in change.members:
            self._fold_member(member)
        self._extra = change.raw
        self._encoded_pool = None
        self.number = number

    def _fold_member(self, member: MemberChange) -> None:
        name = member.name
        self._encoded_members.pop(name, None)
        if member.gone:
            self._members.pop(name, None)
        elif name in self._members or len(self._members) < self._most_members:
            self._members[name] = member.raw
        else:
            self.refused += 1
            self.complete = False

    def encoded_pool(self) -> bytes:
        """Returns the complete list, encoded as the `pool` part of an event."""
        if self._encoded_pool is None:
            self._encoded_pool = self._encode_pool()
        return self._encoded_pool

    def _encode_pool(self) -> bytes:
        parts: list[bytes] = []
        for name, raw in self._members.items():
            encoded = self._encoded_members.get(name)
            if encoded is None:
                encoded = encode_json(raw)
                self._encoded_members[name] = encoded
            parts.append(encoded)
        extra = dict(self._extra)
        extra.pop("members", None)
        extra["complete"] = True
        head = encode_json(extra)[:-1]  # without its closing brace
        return b'%b,"members":[%b]}' % (head, b",".join(parts))
