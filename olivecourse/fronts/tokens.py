"""Issues and checks signed links (RFC 9246, URI Signing) and Bearer tokens (RFC 6750).

A signed link carries a token that permits reads. A write needs an order token: a Bearer token that permits
one write and is recorded as used. A token is checked once, when its request is accepted. An error names the
kind of fault only: no content of a token or a key appears in a log line or a response.
"""

from __future__ import annotations

import base64
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit, urlunsplit

import jwt
import re2

PACKAGE = "URISigningPackage"  # the query parameter of a signed link that holds the token
ALGORITHMS = ("ES256", "ES384", "EdDSA", "HS256")  # permitted signatures; each key names one of them
MAX_TOKEN_LENGTH, MAX_CONTAINER_LENGTH = 4096, 1024  # characters; the second is for a regex container
# Longest time from issue to expiry of an order token, since a used one must be remembered until it has
# expired.
MAX_ORDER_TOKEN_LIFETIME_S = 900
MAX_SPENT_TOKENS = 65_536  # used order tokens that are remembered; above it, writes get a 503
# The claims that a token may list as critical (`cdnicrit`); one that lists any other is rejected.
KNOWN_CRITICAL = {"cdniv", "cdniuc", "exp", "nbf", "iat", "iss", "jti", "aud", "sub"}


class Rejected(Exception):
    """Raised if a request is not permitted by its token; holds the HTTP status to send and a short reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class BadKeys(ValueError):
    """Raised if the file with the keys cannot be read or has an invalid key; the message names the file."""


@dataclass(frozen=True)
class Key:
    """A key that verifies or signs tokens, with its id, issuer and only permitted algorithm."""

    issuer: str
    kid: str
    algorithm: str
    key: Any


def read_keys(path: str) -> dict[str, Key]:
    """Reads keys from a JSON file {issuer: {"keys": [JWK, ...]}} and returns them by key id; raises BadKeys.

    Each JWK (JSON Web Key) must have a `kid`, unique in the file, and an `alg` from ALGORITHMS.
    """
    keys_by_id: dict[str, Key] = {}
    try:
        raw = json.loads(Path(path).read_text("utf-8"))
        for issuer, entry in raw.items():
            for jwk in entry["keys"]:
                kid, algorithm = str(jwk["kid"]), str(jwk["alg"])
                if algorithm not in ALGORITHMS:
                    raise BadKeys(f"{path}: key {kid}: algorithm not allowed")
                if kid in keys_by_id:
                    raise BadKeys(f"{path}: two keys named {kid}")
                keys_by_id[kid] = Key(issuer, kid, algorithm, jwt.PyJWK.from_dict(jwk, algorithm).key)
    except OSError as error:
        raise BadKeys(f"{path}: {error.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError, jwt.PyJWTError) as error:
        if isinstance(error, BadKeys):
            raise
        raise BadKeys(f"{path}: not a key file ({type(error).__name__})") from None
    if not keys_by_id:
        raise BadKeys(f"{path}: no key")
    return keys_by_id


def split_package(uri: str) -> tuple[str, str | None]:
    """Splits a signed URI into the URI without the token, and the token, or None if it has none.

    Raises Rejected if it has several.
    """
    parts = urlsplit(uri)
    remaining, tokens = [], []
    for pair in parts.query.split("&") if parts.query else ():
        name, _, value = pair.partition("=")
        if name == PACKAGE:
            tokens.append(value)
        else:
            remaining.append(pair)
    if len(tokens) > 1:
        raise Rejected(403, "more than one package")
    return urlunsplit(parts._replace(query="&".join(remaining))), tokens[0] if tokens else None


def hash_container(uri: str) -> str:
    """Returns a URI container (RFC 9246: the claim for the URIs that a token permits) for just this URI."""
    digest = base64.urlsafe_b64encode(hashlib.sha256(uri.encode()).digest()).rstrip(b"=").decode()
    return f"hash:sha-256;{digest}"


def contains(container: str, uri: str) -> bool:
    """Returns whether a token's URI container (RFC 9246), in hash or regex form, matches the URI."""
    form, _, value = container.partition(":")
    if form == "hash":
        return container == hash_container(uri)
    if form != "regex" or len(value) > MAX_CONTAINER_LENGTH:
        return False
    options = re2.Options()
    options.posix_syntax, options.log_errors, options.never_capture = True, False, True
    try:  # RE2 runs in linear time, so no expression in a valid token can block the event loop
        return re2.compile(value, options).fullmatch(uri) is not None
    except re2.error:
        return False


class SpentTokens(Protocol):
    """The record of used order tokens, each identified by its issuer and token id (`jti`) in one string."""

    covered_since: float  # Unix time in seconds; the record may lack tokens that were used before it

    def spend(self, name: str, exp: float, now_s: float) -> None:
        """Records the order token `name` as used; raises Rejected if it was already, or cannot be recorded.

        `name` is the string of issuer and token id that `Tokens.check_order` returns, `exp` the
        token's expiry and `now_s` the present time, both in Unix seconds.
        """

    def release(self, name: str) -> None:
        """Removes a token from the record, so that it permits a write again, since its write has not run."""

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        """Returns whether the token's use is already recorded durably, so that its write may be sent at once.

        If not, `call` is called later with True if the use has been recorded, or False if that has failed.
        """


class InMemorySpentTokens:
    """A record of used order tokens in memory, which is lost at the end of the process.

    `started` is therefore the time from which it covers: only order tokens issued after it are accepted.
    """

    def __init__(self, started: float, leeway_s: float) -> None:
        self.covered_since, self._leeway_s = started, leeway_s
        # For each used token, by its issuer and token id in one string: the Unix time in seconds after which
        # it has expired and may be forgotten.
        self._spent: dict[str, float] = {}

    def spend(self, name: str, exp: float, now_s: float) -> None:
        if name in self._spent:
            raise Rejected(401, "used already")
        if len(self._spent) >= MAX_SPENT_TOKENS:
            self._spent = {k: until for k, until in self._spent.items() if until > now_s}
            if len(self._spent) >= MAX_SPENT_TOKENS:  # none is forgotten early, or it could be used again
                raise Rejected(503, "too many orders")
        self._spent[name] = exp + self._leeway_s + 1

    def release(self, name: str) -> None:
        self._spent.pop(name, None)

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        return True


class Tokens:
    """Checks tokens for the gateway named `gateway`, by its keys and its record of used order tokens.

    `leeway_s` is the clock difference in seconds that is allowed between the issuer and this gateway.
    """

    def __init__(
        self,
        gateway: str,
        keys: dict[str, Key],
        leeway_s: float,
        clock: Callable[[], float] = time.time,
        spent: SpentTokens | None = None,
    ) -> None:
        self.gateway, self.keys, self.leeway_s, self._clock = gateway, keys, leeway_s, clock
        self.spent: SpentTokens = spent or InMemorySpentTokens(clock(), leeway_s)

    def _claims(
        self, token: str, status: int, required_claims: list[str], audience: str | None
    ) -> dict[str, Any]:
        if not token or len(token) > MAX_TOKEN_LENGTH:
            raise Rejected(status, "no token that can be read")
        try:
            kid = jwt.get_unverified_header(token).get("kid")
            key = self.keys.get(kid) if isinstance(kid, str) else None
            if key is None:
                raise Rejected(status, "unknown key")
            claims: dict[str, Any] = jwt.decode(
                token,
                key.key,
                algorithms=[key.algorithm],
                issuer=key.issuer,
                audience=audience,
                options={
                    "require": ["iss", *required_claims],
                    "verify_aud": audience is not None,
                    "verify_exp": False,
                    "verify_nbf": False,
                    "verify_iat": False,
                },
            )
        except jwt.InvalidSignatureError:
            raise Rejected(status, "bad signature") from None
        except jwt.InvalidAudienceError:
            raise Rejected(403, "for another gateway") from None
        except jwt.InvalidIssuerError:
            raise Rejected(status, "wrong issuer") from None
        except (jwt.PyJWTError, ValueError, TypeError) as error:
            raise Rejected(status, f"invalid token ({type(error).__name__})") from None
        self._check_times(claims, status)
        return claims

    def _check_times(self, claims: dict[str, Any], status: int) -> None:
        """Checks the expiry, start and issue time of a token by `clock`; raises Rejected with this status.

        The JWT library would use the system clock only. Tests move `clock`, also to simulate gateways with
        clock skew.
        """
        now = self._clock()
        times = {n: claims[n] for n in ("exp", "nbf", "iat") if claims.get(n) is not None}
        if any(isinstance(t, bool) or not isinstance(t, int | float) for t in times.values()):
            raise Rejected(status, "a time is not a number")
        if "exp" in times and not now < times["exp"] + self.leeway_s:
            raise Rejected(status, "expired")
        if any(now < times[n] - self.leeway_s for n in ("nbf", "iat") if n in times):
            raise Rejected(status, "not yet valid")

    def check_link(self, uri: str) -> str:
        """Returns a signed link's URI without the token; raises Rejected if the token does not permit it."""
        unsigned_uri, token = split_package(uri)
        if token is None:
            raise Rejected(401, "no token")
        self._check_container(self._claims(token, 403, ["cdniuc", "exp"], None), unsigned_uri)
        return unsigned_uri

    def check_bearer(self, token: str, uri: str) -> None:
        """Raises Rejected unless the Bearer token `token` of a request permits a read of this URI."""
        self._check_container(self._claims(token, 401, ["cdniuc", "exp"], None), uri)

    @staticmethod
    def _check_container(claims: dict[str, Any], uri: str) -> None:
        if claims.get("cdniv", 1) != 1:
            raise Rejected(403, "unknown version")
        critical = claims.get("cdnicrit", "")
        if not isinstance(critical, str) or set(critical.split(",")) - KNOWN_CRITICAL - {""}:
            raise Rejected(403, "unknown critical claim")
        # The claims cdniip (the client's IP address) and cdnistt (a token renewed with each response) are not
        # implemented, and to ignore them would permit more than the issuer intended.
        if claims.get("cdniip") is not None or claims.get("cdnistt", 0) != 0:
            raise Rejected(403, "claim not supported")
        if not isinstance(claims["cdniuc"], str) or not contains(claims["cdniuc"], uri):
            raise Rejected(403, "not for this URI")

    def check_order(self, token: str, uri: str) -> str:
        """Checks an order token for a write of this URI and records it as used; raises Rejected.

        Returns the string that identifies the token in the record: its issuer, a line feed and its token id.
        The token permits another write only after `SpentTokens.release` with that string.
        """
        claims = self._claims(token, 401, ["exp", "iat", "jti", "aud", "cdniuc"], self.gateway)
        self._check_container(claims, uri)
        now, jti = self._clock(), claims["jti"]
        if not isinstance(jti, str) or not 8 <= len(jti) <= 128 or not isinstance(claims["aud"], str):
            raise Rejected(401, "jti or aud not usable")
        # A use before `covered_since` may be missing from the record, so a token that was issued before that
        # time (plus the leeway) is not accepted.
        if claims["iat"] < self.spent.covered_since + self.leeway_s:
            raise Rejected(401, "issued before the start")
        if claims["exp"] - claims["iat"] > MAX_ORDER_TOKEN_LIFETIME_S:
            raise Rejected(401, "lives too long")
        mark = f"{claims['iss']}\n{jti}"
        self.spent.spend(mark, float(claims["exp"]), now)
        return mark


def issue(
    key: Key,
    uri: str,
    ttl_s: int,
    now: float,
    not_before: float | None = None,
    container: str | None = None,
    **extra_claims: Any,
) -> str:
    """Returns a signed JWT that permits one URI, or all URIs that `container` (RFC 9246) matches.

    It expires `ttl_s` seconds after the Unix time `now` and, if `not_before` is given, is not valid before
    that Unix time.
    """
    claims: dict[str, Any] = {
        "iss": key.issuer,
        "exp": int(now + ttl_s),
        "iat": int(now),
        "cdniv": 1,
        "cdniuc": container or hash_container(uri),
        **extra_claims,
    }
    if not_before is not None:
        claims["nbf"] = int(not_before)
    return jwt.encode(claims, key.key, algorithm=key.algorithm, headers={"kid": key.kid})


def signed_uri(uri: str, token: str) -> str:
    """Returns a signed link: the URI with the token as the last parameter of its query."""
    return f"{uri}{'&' if urlsplit(uri).query else '?'}{PACKAGE}={token}"
