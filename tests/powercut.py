"""A simulated disk that records its operations, and all states of its files that a power cut may leave.

Until a file is synced, any subset of its writes may be lost, and one may be torn. Until the folder is synced,
any subset of the creations, renamings and removals of files may be lost. The power may fail after each
recorded operation.
"""

from itertools import combinations, product


class RecordingDisk:
    """Implements `memory.disk.Disk` in memory, and records every change and sync in `ops`, in order."""

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
    """The files that a restarted machine finds after the power cut, as a read-only `memory.disk.Disk`."""

    def __init__(self, files):
        self.files = files

    def names(self):
        return list(self.files)

    def read(self, name, max_bytes):
        return self.files[name]


def _contents(synced, writes):
    """Yields every content that a file may have after a power cut.

    It consists of the `synced` bytes and any subset of the `writes` since, of which the last may be torn.
    """
    indices = list(range(len(writes)))
    subsets = [c for n in range(len(writes) + 1) for c in combinations(indices, n)]
    for survivors in subsets:
        data, length = bytearray(synced), len(synced)
        for i, part in enumerate(writes):
            if i in survivors:  # a lost write before one that survived leaves a hole of zeros
                data.extend(bytes(length - len(data)))
                data += part
            length += len(part)
        yield bytes(data)
        if survivors and len(writes[survivors[-1]]) > 1:  # torn: half of the last write
            yield bytes(data[: len(data) - len(writes[survivors[-1]]) // 2])


def _named(durable, pending):
    """Yields every folder listing that a power cut may leave, as a dict from file names to file handles.

    It is the `durable` listing, changed by any subset of the `pending` operations in their order.
    """
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
    """Yields every state of the disk that a power cut may leave after each number of operations in `ops`.

    A state is the number of operations before the power cut, and a dict from file names to contents.
    """
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
