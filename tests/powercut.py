"""A disk in memory that records its operations, and all states that a power cut may leave.

Until a file is synced, its writes may be lost, torn or out of order. Until the folder is synced, any subset
of the operations on names may be lost. The power may fail after each prefix of the history.
"""

from itertools import combinations, product


class RecordingDisk:
    """Implements the disk interface in memory, and records every operation in `ops`."""

    def __init__(self):
        self.files, self.open, self.ops, self.count = {}, {}, [], 0

    def names(self):
        return list(self.files)

    def read(self, name, max_bytes):
        return bytes(self.files[name][1])

    def create(self, name):
        if name in self.files:
            self.unlink(name)
        self.count += 1
        self.files[name] = (self.count, bytearray())
        self.open[self.count] = self.files[name]
        self.ops.append(("create", name, self.count))
        return self.count

    def write(self, handle, data):
        self.open[handle][1].extend(data)
        self.ops.append(("write", handle, bytes(data)))

    def sync(self, handle):
        self.ops.append(("sync", handle))

    def close(self, handle):
        pass

    def rename(self, old, new):
        self.files[new] = self.files.pop(old)
        self.ops.append(("rename", old, new))

    def unlink(self, name):
        del self.files[name]
        self.ops.append(("unlink", name))

    def sync_folder(self):
        self.ops.append(("sync_folder",))


class StillDisk:
    """The files that a machine finds after the power cut; read only."""

    def __init__(self, files):
        self.files = files

    def names(self):
        return list(self.files)

    def read(self, name, max_bytes):
        return self.files[name]


def _contents(synced, writes):
    """Yields every content that a file may have: `synced`, and any subset of the `writes` since."""
    indices = list(range(len(writes)))
    subsets = [c for n in range(len(writes) + 1) for c in combinations(indices, n)]
    for survivors in subsets:
        data, length = bytearray(synced), len(synced)
        for i, part in enumerate(writes):
            if i in survivors:  # a write that survives without the writes before it leaves a hole of zeros
                data.extend(bytes(length - len(data)))
                data += part
            length += len(part)
        yield bytes(data)
        if survivors and len(writes[survivors[-1]]) > 1:  # torn: half of the last write
            yield bytes(data[: len(data) - len(writes[survivors[-1]]) // 2])


def _named(durable, pending):
    """Yields every set of names that may be found: `durable` after any subset of `pending`, in order."""
    for n in range(len(pending) + 1):
        for survivors in combinations(pending, n):
            names = dict(durable)
            for op in survivors:
                if op[0] == "create":
                    names[op[1]] = op[2]
                elif op[0] == "rename" and op[1] in names:
                    names[op[2]] = names.pop(op[1])
                elif op[0] == "unlink":
                    names.pop(op[1], None)
            yield names


def states(ops):
    """Yields (number of completed operations, files) for every possible state after each prefix of `ops`."""
    durable, pending, synced, writes = {}, [], {}, {}
    for done in range(len(ops) + 1):
        if done:
            op = ops[done - 1]
            if op[0] == "write":
                writes.setdefault(op[1], []).append(op[2])
            elif op[0] == "sync":
                synced[op[1]] = synced.get(op[1], b"") + b"".join(writes.pop(op[1], []))
            elif op[0] == "sync_folder":
                for name in _named(durable, pending):
                    durable_next = name  # the last set includes all pending operations
                durable, pending = durable_next, []
            else:
                pending.append(op)
        seen = set()
        for names in _named(durable, pending):
            choices = [list(_contents(synced.get(i, b""), writes.get(i, []))) for i in names.values()]
            for picked in product(*choices):
                files = dict(zip(names, picked, strict=True))
                fingerprint = hash(tuple(sorted(files.items())))
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    yield done, files
