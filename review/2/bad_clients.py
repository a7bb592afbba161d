"""Bad clients, as a process of their own: `bad_clients.py PORT CLIENTS REQUESTS`.

They connect, print `connected`, wait for a line on standard input, then send many requests of a class that
does not exist on each connection, at full speed, and read all that they are sent until standard input ends.
"""

import os
import selectors
import socket
import sys

from olivecourse.fronts import codec


def frames(count):
    def fields():
        return {
            "c": "x",
            "i": os.urandom(8).hex(),
            "o": os.urandom(8).hex(),
            "n": "0",
            "d": "2500",
            "shard": "9",
        }

    return b"".join(
        codec.encode("serve", 1, number, codec.ServeArgs(fields=fields(), body=b""))
        for number in range(1, count + 1)
    )


def main(port, clients, requests):
    data = frames(requests)
    selector = selectors.DefaultSelector()
    unsent = {}
    for _ in range(clients):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        unsent[sock] = data
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
    print("connected", flush=True)
    sys.stdin.readline()
    selector.register(sys.stdin, selectors.EVENT_READ)
    while True:
        for key, mask in selector.select():
            if key.fileobj is sys.stdin:
                return
            sock = key.fileobj
            try:
                if mask & selectors.EVENT_WRITE:
                    unsent[sock] = unsent[sock][sock.send(unsent[sock]) :]
                    if not unsent[sock]:
                        selector.modify(sock, selectors.EVENT_READ)
                elif not sock.recv(65536):
                    selector.unregister(sock)
            except BlockingIOError:
                pass
            except ConnectionError:
                selector.unregister(sock)


main(*map(int, sys.argv[1:]))
