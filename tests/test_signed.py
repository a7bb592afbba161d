"""The HTTP server: signed links that are valid, forged, expired, altered or replayed, and order tokens."""

import json
import time

import jwt
import pytest
from harness import OBJECT, SETTINGS, Client, GatewayHarness

from olivecourse.components import WatchedFilesComponent
from olivecourse.config.gateway_config import InvalidConfig, load_operator
from olivecourse.fronts import tokens

PUBLIC = "https://calendriers.example"
PATH = f"/fichiers/{OBJECT}/0?shard=17&kb=41.5"
ORDER = f"/commande/{OBJECT}/0?shard=17"


def jwk(kid, secret=b"0123456789abcdef0123456789abcdef", **extra_claims):
    """Returns a symmetric JSON Web Key with the key id `kid`, as in a key file."""
    key = jwt.utils.base64url_encode(secret).decode()
    return {"kty": "oct", "kid": kid, "alg": "HS256", "k": key, **extra_claims}


class SignedGatewayHarness(GatewayHarness):
    """A gateway with the HTTP server, whose stores come from a CSV inventory."""

    def __init__(self, folder, **extra_claims):
        self.folder = folder
        super().__init__(**extra_claims)
        self.tokens = self.gateway.tokens
        self.key = self.tokens.keys["k1"]

    def config(self, raw):
        """Writes the operator's file and the inventory, keys and settings files that it names; loads it."""
        members = raw["known"]["notices"][0]["pool"]["members"]
        rows = [f"{m['id']},{m['host_port']},{m['locality']},{m['flavor']},8" for m in members]
        (self.folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
        (self.folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk("k1"), jwk("k2")]}}))
        (self.folder / "settings.json").write_text(json.dumps(SETTINGS))
        (self.folder / "operator.yaml").write_text(
            "name: n0\nlisten: 127.0.0.1:0\nseed: '05'\ninventory: stores.csv\nsettings: settings.json\n"
            f"signed: {{public: '{PUBLIC}', keys: keys.json, leeway_s: 3}}\n"
        )
        return load_operator(str(self.folder / "operator.yaml"), {})

    def link(self, path=PATH, ttl=60, **extra_claims):
        """Returns a signed link to a path, valid for `ttl` seconds."""
        token = tokens.issue(
            self.key, PUBLIC + path, ttl, extra_claims.pop("now", time.time()), **extra_claims
        )
        return tokens.signed_uri(path, token)

    def order(self, **extra_claims):
        """Returns an order token, issued 4 s from now by default.

        A gateway without a stored record accepts none that is issued within the leeway of 3 s after its
        start.
        """
        claims = {"aud": "n0", "jti": "abcdefgh1234", **extra_claims}
        ttl, now = claims.pop("ttl", 60), claims.pop("now", time.time() + 4)
        return tokens.issue(self.key, PUBLIC + ORDER, ttl, now, **claims)

    def ask(self, target, method="GET", body=b"", **headers):
        """Connects a new client, sends one HTTP request and returns the client; `headers` have _ for -."""
        self.clients.append(Client(self.gateway.front.port))
        head = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
        self.clients[-1].sock.sendall(
            f"{method} {target} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return self.clients[-1]

    def status(self, client):
        """Waits for the client's first response and returns its HTTP status code."""
        data = self.until(lambda: b"\r\n\r\n" in client.poll() and client.data)
        return int(data.split(b" ")[1])

    def serve(self, status_word="data", body=b"hi"):
        """Waits for a request at the store and answers it with this status word and body."""
        request = self.until(self.cache.line).split(" ")[1]
        self.cache.send(
            f"{request} {status_word} version=v1,stamp=1,n=HIT {len(body)}\r\n".encode() + body + b"\r\n"
        )


@pytest.fixture
def harness(tmp_path):
    created = SignedGatewayHarness(tmp_path)
    yield created
    created.close()


def test_a_valid_link_is_served_and_an_unchanged_copy_is_a_304(harness):
    client = harness.ask(harness.link())
    harness.serve(body=b"calendar")
    assert harness.status(client) == 200 and client.data.endswith(b"\r\n\r\ncalendar")
    assert b'ETag: "v1"' in client.data
    client = harness.ask(harness.link(), If_None_Match='"v1"')
    line = harness.until(harness.cache.line)
    assert "holds=v1" in line
    harness.cache.send(f"{line.split(' ')[1]} unchanged version=v1,stamp=1,n=HIT 0\r\n\r\n".encode())
    assert harness.status(client) == 304


def test_links_that_do_not_permit_the_request_are_rejected(harness):
    now, good = time.time(), harness.link()
    package = f"{tokens.PACKAGE}="
    token = good.split(package)[1]
    head, claims, signature = token.split(".")
    altered_signature = ("A" if signature[5] != "A" else "B").join((signature[:5], signature[6:]))
    foreign_key = tokens.Key("union", "k1", "HS256", b"another key, another key, another")
    other_issuer_key = tokens.Key("somebody", "k2", "HS256", harness.key.key)
    rejected = {
        "no token": (PATH, 401),
        "forged": (tokens.signed_uri(PATH, tokens.issue(foreign_key, PUBLIC + PATH, 60, now)), 403),
        "altered signature": (good.replace(signature, altered_signature), 403),
        "altered claims": (good.replace(claims, jwt.utils.base64url_encode(b'{"iss":"x"}').decode()), 403),
        "altered target": (good.replace("shard=17", "shard=18"), 403),
        "unsigned": (
            tokens.signed_uri(
                PATH, jwt.encode({"iss": "union", "exp": now + 60}, None, "none", {"kid": "k1"})
            ),
            403,
        ),
        "wrong issuer": (
            tokens.signed_uri(PATH, tokens.issue(other_issuer_key, PUBLIC + PATH, 60, now)),
            403,
        ),
        "expired": (harness.link(now=now - 70), 403),
        "early": (harness.link(not_before=now + 30), 403),
        "for another object": (harness.link(container="regex:https://[^/]*/pages/.*"), 403),
        "unknown critical claim": (harness.link(cdnicrit="cdnix"), 403),
        "two packages": (f"{good}&{package}{token}", 403),
        "no json": (f"{PATH}&{package}a.b.c", 403),
    }
    for case, (target, status) in rejected.items():
        assert harness.status(harness.ask(target)) == status, case
    assert harness.cache.line() is None and harness.gateway.tracker.open == 0
    assert not any(part in str(harness.logged) for part in (claims, signature))


def test_clock_skew_of_a_few_seconds_is_within_the_leeway(harness):
    now = time.time()
    for link in (harness.link(now=now + 2.5), harness.link(now=now - 61.5), harness.link(not_before=now + 2)):
        client = harness.ask(link)
        harness.serve()
        assert harness.status(client) == 200


def test_a_regex_container_permits_only_the_uris_that_it_matches(harness):
    link = harness.link(
        container=r"regex:https://calendriers\.example/fichiers/[[:xdigit:]]{16}/[0-9]+\?shard=17"
    )
    token = link.split(f"{tokens.PACKAGE}=")[1]
    client = harness.ask(tokens.signed_uri(f"/fichiers/{OBJECT}/4?shard=17", token))
    harness.serve()
    assert harness.status(client) == 200
    assert harness.status(harness.ask(tokens.signed_uri(f"/fichiers/{OBJECT}/4?shard=17&kb=1", token))) == 403


def test_a_link_that_expires_during_a_fill_is_still_answered(harness):
    clock = [time.time()]
    harness.tokens._clock = lambda: clock[0]
    link = harness.link(ttl=10)
    client = harness.ask(link)
    request = harness.until(harness.cache.line).split(" ")[1]
    clock[0] += 14  # past the link's expiry (10 s) and the leeway (3 s)
    harness.cache.send(f"{request} data version=v1,stamp=1,n=MISS 2\r\nhi\r\n".encode())
    assert harness.status(client) == 200
    assert harness.status(harness.ask(link)) == 403


def test_links_signed_with_a_removed_key_are_rejected(harness):
    link = harness.link()
    keys = harness.folder / "keys.json"
    keys.write_text(json.dumps({"union": {"keys": [jwk("k2"), jwk("k3")]}}))
    harness.gateway.component(WatchedFilesComponent).keys_seen = 0
    harness.until(lambda: "keys_read" in harness.event_names())
    assert harness.status(harness.ask(link)) == 403
    keys.write_text("{")
    harness.gateway.component(WatchedFilesComponent).keys_seen = 0
    harness.until(lambda: "file_unusable" in harness.event_names())
    assert set(harness.tokens.keys) == {"k2", "k3"}


def test_an_order_token_permits_one_write_only(harness):
    harness.tokens._clock = lambda: time.time() + 5
    token = harness.order()
    client = harness.ask(ORDER, "POST", b"a dozen", Authorization=f"Bearer {token}")
    request = harness.until(lambda: (line := harness.cache.line()) and line.split(" ")[1])
    # The order token is used again while its write runs, and once more after the write has ended.
    assert harness.status(harness.ask(ORDER, "POST", b"again", Authorization=f"Bearer {token}")) == 401
    harness.cache.send(f"{request} data n=MISS_ORIGIN 2\r\nok\r\n".encode())
    assert harness.status(client) == 200
    assert harness.status(harness.ask(ORDER, "POST", b"again", Authorization=f"Bearer {token}")) == 401
    assert b"again" not in harness.cache.poll()


def test_order_tokens_that_could_run_a_write_twice_are_rejected(harness):
    clock_time = time.time() + 5
    harness.tokens._clock = lambda: clock_time
    for case, extra_claims, status in (
        ("another gateway", {"aud": "n1"}, 403),
        ("several", {"aud": ["n0", "n1"]}, 401),
        ("before the start", {"now": time.time() - 1}, 401),
        ("no id", {"jti": 5}, 401),
        ("a long life", {"ttl": 86_400}, 401),
        ("a link's", {"container": "hash:x"}, 403),
    ):
        answer = harness.status(
            harness.ask(ORDER, "POST", b"x", Authorization=f"Bearer {harness.order(**extra_claims)}")
        )
        assert answer == status, case
    assert harness.status(harness.ask(ORDER, "POST", b"x")) == 401
    link = tokens.signed_uri(ORDER, tokens.issue(harness.key, PUBLIC + ORDER, 60, time.time()))
    assert harness.status(harness.ask(link, "POST", b"x")) == 401


def test_a_refused_write_may_be_repeated_with_its_token(harness):
    harness.tokens._clock = lambda: time.time() + 5
    token = harness.order()
    harness.cache.sock.close()  # the store is gone, so the write cannot run
    client = harness.ask(ORDER, "POST", b"x", Authorization=f"Bearer {token}")
    assert harness.status(client) == 503 and b"Retry-After: 1\r\n" in client.data
    assert harness.status(harness.ask(ORDER, "POST", b"x", Authorization=f"Bearer {token}")) == 503


def test_a_write_with_unknown_outcome_fails_and_its_token_is_used_up(harness):
    harness.tokens._clock = lambda: time.time() + 5
    token = harness.order()
    client = harness.ask(ORDER, "POST", b"x", Authorization=f"Bearer {token}")
    harness.until(harness.cache.line)
    harness.cache.conns.pop().close()
    assert harness.status(client) == 502
    assert harness.status(harness.ask(ORDER, "POST", b"x", Authorization=f"Bearer {token}")) == 401


def test_a_late_read_is_refused_and_a_late_write_is_a_504(harness):
    client = harness.ask(harness.link(), Request_Timeout_Ms="100")
    assert harness.status(client) == 503
    harness.tokens._clock = lambda: time.time() + 5
    client = harness.ask(
        ORDER, "POST", b"x", Authorization=f"Bearer {harness.order()}", Request_Timeout_Ms="100"
    )
    assert harness.status(client) == 504


def test_a_disconnected_client_cancels_its_request(harness):
    client = harness.ask(harness.link())
    request = harness.until(harness.cache.line).split(" ")[1]
    client.sock.close()
    assert harness.until(harness.cache.line) == f"abort {request}"


@pytest.mark.parametrize(
    "head",
    [
        "GARBAGE\r\n\r\n",
        "GET /fichiers HTTP/1.1\r\n\r\n",
        f"GET /nosuch/{OBJECT}/0?shard=1 HTTP/1.1\r\n\r\n",
        f"GET /fichiers/{OBJECT}/0 HTTP/1.1\r\n\r\n",
        f"POST {PATH} HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        f"GET {PATH} HTTP/1.1\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
        f"GET /{'x' * 20_000} HTTP/1.1\r\n\r\n",
        "GET /a?" + "&".join("abcdefghijklmnopqrst") + " HTTP/1.1\r\n\r\n",
        "GET //x/y HTTP/1.1\r\n\r\n",
    ],
)
def test_malformed_requests_get_a_400(harness, head):
    harness.clients.append(Client(harness.gateway.front.port))
    harness.clients[-1].sock.sendall(head.encode())
    assert harness.status(harness.clients[-1]) == 400


def test_requests_on_one_connection_are_answered_in_order(harness):
    client = harness.ask(harness.link())
    client.sock.sendall(f"GET {harness.link()} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    harness.serve(body=b"one")
    harness.serve(body=b"two")
    harness.until(lambda: client.poll().count(b"HTTP/1.1 200") == 2)
    assert client.data.index(b"one") < client.data.index(b"two")


def test_a_store_removed_from_the_inventory_gets_no_requests(harness):
    path = harness.folder / "stores.csv"
    path.write_text("".join(x for x in path.read_text().splitlines(True) if "s-00000001" not in x))
    harness.gateway.component(WatchedFilesComponent).inventory_seen = 0
    harness.until(lambda: "inventory_read" in harness.event_names())
    assert harness.status(harness.ask(harness.link())) == 503
    assert harness.cache.line() is None


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name: n0\n  listen: x", "operator.yaml:2"),
        ("- a", "not a mapping"),
        ("settings: {}\nlisten: nowhere", "listen: not an address"),
        ("listen: 127.0.0.1:0\nsettings: none.json", "cannot read"),
        ("listen: 127.0.0.1:0\nsettings: {zones: [a]}", "no class"),
        ("listen: 127.0.0.1:0\nsettings: settings.json", "inventory: missing"),
        ("listen: 127.0.0.1:0\nsettings: settings.json\nsigned: {public: x}\ninventory: stores.csv", "keys"),
    ],
)
def test_an_invalid_operators_file_is_reported_in_one_line(tmp_path, text, expected):
    (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
    (tmp_path / "operator.yaml").write_text(text)
    with pytest.raises(InvalidConfig) as error:
        load_operator(str(tmp_path / "operator.yaml"), {})
    assert expected in str(error.value) and "\n" not in str(error.value)


def test_a_reload_applies_new_keys_and_keeps_the_record_of_used_order_tokens(harness):
    harness.tokens._clock = lambda: time.time() + 5
    token = harness.order()
    harness.ask(ORDER, "POST", b"a dozen", authorization=f"Bearer {token}")
    harness.until(harness.cache.line)
    (harness.folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk("k1"), jwk("k3")]}}))
    operator = harness.folder / "operator.yaml"
    operator.write_text(operator.read_text().replace("leeway_s: 3", "leeway_s: 30"))
    harness.gateway.reload(load_operator(str(operator), {}))
    assert set(harness.tokens.keys) == {"k1", "k3"} and harness.tokens.leeway_s == 3
    assert ("reloaded", {"moved": [], "needs_restart": ["signed"]}) in harness.logged
    assert harness.status(harness.ask(ORDER, "POST", b"a dozen", authorization=f"Bearer {token}")) == 401
    assert ("token_rejected", {"status": 401, "why": "used already"}) in harness.logged
    (harness.folder / "keys.json").write_text("{")
    with pytest.raises(ValueError):
        harness.gateway.reload(load_operator(str(operator), {}))
    assert set(harness.tokens.keys) == {"k1", "k3"}
