"""A growing ring buffer of bytes; each stream connection has one for received and one for unsent bytes."""

from __future__ import annotations

import socket

INITIAL_CAPACITY = 4096  # bytes allocated for a new buffer, unless its limit is lower
# A buffer that becomes empty while its allocation is larger than this (in bytes) is replaced by one of
# INITIAL_CAPACITY, since the buffers of hundreds of idle connections must fit in memory.
MAX_IDLE_CAPACITY = 65536


class BufferFull(Exception):
    """Raised when bytes do not fit into a `RingBuffer` because it would exceed its limit."""


class RingBuffer:
    """A first-in, first-out byte buffer, allocated small and grown up to `limit` bytes when needed."""

    __slots__ = ("_data", "_head", "_size", "limit")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._data = bytearray(min(INITIAL_CAPACITY, limit))
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def capacity(self) -> int:
        """The number of bytes allocated, which the buffer can hold without growing."""
        return len(self._data)

    def _grow(self, required: int) -> None:
        if required > self.limit:
            raise BufferFull(f"{required} bytes in a buffer of {self.limit}")
        new_capacity = len(self._data)
        while new_capacity < required:
            new_capacity *= 2
        data = bytearray(min(new_capacity, self.limit))
        data[: self._size] = self.peek(self._size)
        self._data, self._head = data, 0

    def write(self, data: bytes) -> None:
        """Appends all of `data`, or raises BufferFull and appends nothing."""
        if self._size + len(data) > len(self._data):
            self._grow(self._size + len(data))
        start = (self._head + self._size) % len(self._data)
        first = min(len(data), len(self._data) - start)
        self._data[start : start + first] = data[:first]
        self._data[: len(data) - first] = data[first:]
        self._size += len(data)

    def receive(self, sock: socket.socket) -> int:
        """Reads once from the socket, appends the bytes and returns their number, possibly negated.

        0 means that the peer has closed. A negative result -n means that n bytes were read and that the read
        was shorter than the free space, so that the socket is empty now. Raises BufferFull if no space is
        left.
        """
        if len(self._data) - self._size < INITIAL_CAPACITY // 2 and len(self._data) < self.limit:
            self._grow(min(2 * len(self._data), self.limit))
        if self._size == len(self._data):
            raise BufferFull(f"{self._size} bytes that could not be parsed")
        start = (self._head + self._size) % len(self._data)
        end = self._head if start < self._head else len(self._data)
        with memoryview(self._data) as view, view[start:end] as free_space:
            free_bytes = len(free_space)
            received = sock.recv_into(free_space)
        self._size += received
        return received if received == free_bytes else -received

    def send(self, sock: socket.socket) -> int:
        """Sends from the buffer by one system call; removes the bytes accepted and returns their number."""
        end = min(self._head + self._size, len(self._data))
        with memoryview(self._data) as view, view[self._head : end] as pending:
            sent = sock.send(pending)
        self.skip(sent)
        return sent

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Returns up to `count` bytes without removing them, starting `offset` bytes after the oldest."""
        count = max(min(count, self._size - offset), 0)
        start = (self._head + offset) % len(self._data)
        first = min(count, len(self._data) - start)
        return bytes(self._data[start : start + first]) + bytes(self._data[: count - first])

    def shrink(self) -> None:
        """Reduces the allocation to INITIAL_CAPACITY if the buffer is empty; called for idle connections."""
        if not self._size and len(self._data) > INITIAL_CAPACITY:
            self._data, self._head = bytearray(INITIAL_CAPACITY), 0

    def release(self) -> None:
        """Drops all bytes and frees the memory; nothing may be appended afterwards."""
        self._data, self._head, self._size, self.limit = bytearray(), 0, 0, 0

    def skip(self, count: int) -> None:
        """Removes the first `count` bytes; `count` must not exceed the number of bytes in the buffer."""
        self._size -= count
        self._head = (self._head + count) % len(self._data) if self._size else 0
        if not self._size and len(self._data) > MAX_IDLE_CAPACITY:
            self._data = bytearray(INITIAL_CAPACITY)

    def take(self, count: int) -> bytes:
        """Removes up to `count` bytes from the front and returns them."""
        data = self.peek(count)
        self.skip(len(data))
        return data
