"""Encoding of a relay's HTTP responses; without I/O."""

from __future__ import annotations

from http import HTTPStatus

CLOSING = b"Connection: close\r\n"


def answer_head(length: int, keep_alive: bool) -> bytes:
    """Returns the status line and headers of a 200 response with a JSON body of `length` bytes.

    Unless `keep_alive`, the head announces that the relay will close the connection.
    """
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%b\r\n" % (
        length,
        b"" if keep_alive else CLOSING,
    )


def refusal(status: HTTPStatus, why: str) -> bytes:
    """Returns a complete error response with the text `why` as its body; it announces that the relay will
    close the connection.
    """
    body = f"{why}\n".encode()
    allow = b"Allow: GET\r\n" if status is HTTPStatus.METHOD_NOT_ALLOWED else b""
    return b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
        status.value,
        status.phrase.encode(),
        len(body),
        allow,
        CLOSING,
        body,
    )
