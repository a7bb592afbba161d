"""Issues and checks signed links (RFC 9246, URI Signing) and Bearer tokens (RFC 6750).

A token is checked once, when its request is accepted. An error names the kind of fault only: no content of a
token or a key appears in a log line or a response.
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

PACKAGE = "URISigningPackage"
ALGORITHMS = ("ES256", "ES384", "EdDSA", "HS256")  # the allowed ones; each key is bound to one of them
MAX_TOKEN_LENGTH, MAX_CONTAINER_LENGTH = 4096, 1024
MAX_ORDER_TOKEN_LIFETIME_S = 900  # a used order token must be remembered for at least this long
MOST_SPENT = 65_536
KNOWN_CRITICAL = {"cdniv", "cdniuc", "exp", "nbf", "iat", "iss", "jti", "aud", "sub"}


class Rejected(Exception):
    """A token does not permit the request; holds the HTTP status to respond with and a short reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class BadKeys(ValueError):
    """A key file cannot be used."""


@dataclass(frozen=True)
class Key:
    """A key with its id, its issuer and its only permitted algorithm."""

    issuer: str
    kid: str
    algorithm: str
    key: Any


def read_keys(path: str) -> dict[str, Key]:
    """Reads keys by key id from a file {issuer: {"keys": [JWK, ...]}}; raises BadKeys.

    Each JWK must have a `kid` and an `alg`.
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
    """Splits a signed URI into the URI before signing and its token, if any; Rejected if there are two."""
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
    """Returns the URI container in hash form that matches exactly this URI."""
    digest = base64.urlsafe_b64encode(hashlib.sha256(uri.encode()).digest()).rstrip(b"=").decode()
    return f"hash:sha-256;{digest}"


def contains(container: str, uri: str) -> bool:
    """Returns whether a URI container (RFC 9246) in hash or regex form matches the URI."""
    form, _, value = container.partition(":")
    if form == "hash":
        return container == hash_container(uri)
    if form != "regex" or len(value) > MAX_CONTAINER_LENGTH:
        return False
    options = re2.Options()
    options.posix_syntax, options.log_errors, options.never_capture = True, False, True
    try:  # RE2 runs in linear time, so a costly expression in a valid token cannot block the loop
        return re2.compile(value, options).fullmatch(uri) is not None
    except re2.error:
        return False


class SpentTokens(Protocol):
    """A record of the order tokens that have been used."""

    covered_since: float  # Unix time in seconds; tokens used before it may be forgotten

    def spend(self, name: str, exp: float, now_s: float) -> None:
        """Marks a token as used; raises Rejected if it was used before or cannot be recorded."""

    def release(self, name: str) -> None:
        """Makes a token usable again, as its write has not run."""

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        """Returns whether the token is recorded durably, so that the write may be sent.

        Otherwise `call` is called later, with whether the token could be recorded.
        """


class InMemorySpentTokens:
    """A record in memory for one run of a gateway, which accepts only tokens issued after its start."""

    def __init__(self, started: float, leeway_s: float) -> None:
        self.covered_since, self._leeway_s = started, leeway_s
        self._spent: dict[str, float] = {}  # used tokens, with the Unix time at which each has expired

    def spend(self, name: str, exp: float, now_s: float) -> None:
        if name in self._spent:
            raise Rejected(401, "used already")
        if len(self._spent) >= MOST_SPENT:
            self._spent = {k: until for k, until in self._spent.items() if until > now_s}
            if len(self._spent) >= MOST_SPENT:  # a forgotten token could be used again
                raise Rejected(503, "too many orders")
        self._spent[name] = exp + self._leeway_s + 1

    def release(self, name: str) -> None:
        self._spent.pop(name, None)

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        return True


class Tokens:
    """Checks tokens for one gateway, by its keys and its record of used order tokens."""

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
        """Checks the times of a token by the gateway's own clock; the library knows only the system clock.

        Tests move this clock, also to simulate gateways with clock skew.
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
        """Returns the URI without its token if the token permits a read of it; else raises Rejected."""
        unsigned_uri, token = split_package(uri)
        if token is None:
            raise Rejected(401, "no token")
        self._check_container(self._claims(token, 403, ["cdniuc", "exp"], None), unsigned_uri)
        return unsigned_uri

    def check_bearer(self, token: str, uri: str) -> None:
        """Raises Rejected unless the token from the Authorization header permits a read of this URI."""
        self._check_container(self._claims(token, 401, ["cdniuc", "exp"], None), uri)

    @staticmethod
    def _check_container(claims: dict[str, Any], uri: str) -> None:
        if claims.get("cdniv", 1) != 1:
            raise Rejected(403, "unknown version")
        critical = claims.get("cdnicrit", "")
        if not isinstance(critical, str) or set(critical.split(",")) - KNOWN_CRITICAL - {""}:
            raise Rejected(403, "unknown critical claim")
        # Neither claim is implemented, and to ignore them would permit more than the issuer intended.
        if claims.get("cdniip") is not None or claims.get("cdnistt", 0) != 0:
            raise Rejected(403, "claim not supported")
        if not isinstance(claims["cdniuc"], str) or not contains(claims["cdniuc"], uri):
            raise Rejected(403, "not for this URI")

    def check_order(self, token: str, uri: str) -> str:
        """Uses up an order token and returns its mark; the same token never permits a second write."""
        claims = self._claims(token, 401, ["exp", "iat", "jti", "aud", "cdniuc"], self.gateway)
        self._check_container(claims, uri)
        now, jti = self._clock(), claims["jti"]
        if not isinstance(jti, str) or not 8 <= len(jti) <= 128 or not isinstance(claims["aud"], str):
            raise Rejected(401, "jti or aud not usable")
        # Tokens used before `covered_since` are unknown, so no token that could have been used then is valid.
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
    """Returns a signed JWT for a URI, or for all URIs that `container` matches."""
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
    """Appends the token to the query of the URI."""
    return f"{uri}{'&' if urlsplit(uri).query else '?'}{PACKAGE}={token}"
