"""The server list that results from a relay's folded events: applied to the list, then dropped from the log.

It is encoded as JSON only when a watcher needs the complete list.
"""

from __future__ import annotations

from typing import Any

from olivecourse.relay.event_log import encode_json
from olivecourse.relay.events import MemberChange, PoolChange


class FoldedMembers:
    """The newest server list entry of each store, by store id. A store that has left the list has no entry.

    Only changed entries are encoded as JSON again; the encoded list is cached until the next change.
    """

    def __init__(self, most_members: int) -> None:
        self._most_members = most_members
        self._members: dict[str, dict[str, Any]] = {}
        self._encoded_members: dict[str, bytes] = {}
        self._encoded_pool: bytes | None = None
        self._extra: dict[str, Any] = {}  # the newest folded `pool` part, for its fields other than `members`
        self.number = 0  # event number up to which the changes of the list have been folded
        self.complete = False  # whether a complete list was folded and no member was refused since
        self.refused = 0  # counts the members left out because the list already had `most_members`

    def __len__(self) -> int:
        return len(self._members)

    def fold(self, number: int, change: PoolChange) -> None:
        """Applies changes to members, or a complete list that includes all changes up to event `number`.

        Calls must follow the order of events. A change that an already folded complete list includes is
        ignored: a relay whose answer from upstream was cut off may get it again from another upstream.

        If there are more than `most_members`, the list counts as incomplete until the next complete one that
        fits, because a list that lacks stores must never be served as complete.
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
        """Returns the whole folded server list as the JSON value of an event's `pool` part."""
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
        head = encode_json(extra)[:-1]  # cuts off the closing brace, so that `members` can follow
        return b'%b,"members":[%b]}' % (head, b",".join(parts))
