"""Orders over signed HTTP in a class with effect `deduplicated`: the answer to some orders never arrives."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import ROOT, TROUBLE, Case, Process, Store, free_port, http, run_case, settings, unix_ms  # noqa: E402

sys.path.insert(0, str(ROOT))

from olivecourse.fronts import tokens  # noqa: E402

ORDERS, LOST_EVERY = 20, 10  # the answer to the first attempt of every tenth order never arrives
CLASSES = [("fichiers", 6000, "idempotent", False), ("commande", 3000, "deduplicated", True)]


async def play(case: Case) -> list[str]:
    record, port = case.record, free_port()
    effects: dict[str, list[str]] = {}  # by order (its body): the requests that took effect
    seen: set[str] = set()  # keys and request ids of orders that ran: the archive runs none of them again
    lose: set[str] = set()  # orders whose next answer never arrives

    async def box(store: Store, request, writer):
        if request.fields.get("sort") != "commande":
            return "data", {"version": "v1", "stamp": str(unix_ms()), "n": "HIT"}, b"x"
        order, key = request.body.decode(), request.fields.get("op") or request.id
        record(f"{store.name}: request {request.id} order {order} key {request.fields.get('op', '-')}")
        if key in seen:
            record(f"archive-1: order {order}: a repeat by its key {key}, not run again")
        else:
            seen.add(key)
            effects.setdefault(order, []).append(request.id)
            record(f"archive-1: order {order} RUN as request {request.id}")
        await asyncio.sleep(0.02)
        if order in lose:
            lose.discard(order)
            record(f"{store.name}: the answer to order {order} never arrives")
            return None
        return "data", {"n": "MISS_ORIGIN"}, b"order taken\n"

    stores = [await Store(name, record, box).start() for name in ("box-1", "box-2", "hub-1", "archive-1")]
    kinds = {"box": ("praia", "petit"), "hub": ("hub-nord", "parent"), "archive": ("hub-nord", "origin")}
    rows = [f"{s.name},{s.address},{','.join(kinds[s.name.split('-')[0]])},8" for s in stores]
    (case.folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
    (case.folder / "settings.json").write_text(json.dumps(settings(CLASSES)))
    jwk = {"kty": "oct", "kid": "k1", "alg": "HS256", "k": secrets.token_urlsafe(32)}
    (case.folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk]}}))
    public = f"http://127.0.0.1:{port}"
    operator = case.folder / "operator.yaml"
    operator.write_text(
        f"name: praia-1\nlisten: 127.0.0.1:{port}\ninventory: stores.csv\nsettings: settings.json\n"
        f"signed: {{public: '{public}', keys: keys.json, leeway_s: 3}}\n"
    )
    gateway = Process(case, "gateway", {}, f"serve --operator {operator}")
    await gateway.until_listening(port)
    await asyncio.sleep(4.2)  # an order token issued within the leeway after the start is turned away
    key = tokens.read_keys(str(case.folder / "keys.json"))["k1"]

    async def order(number: int) -> str:
        """A client: orders, and after a refusal (503) comes back when told, with the same token, twice."""
        text, object_id = f"order-{number}", secrets.token_hex(8)
        target = f"/commande/{object_id}/0?shard=17"
        token = tokens.issue(key, public + target, 600, time.time(), aud="praia-1", jti=secrets.token_hex(16))
        if TROUBLE and number % LOST_EVERY == 0:
            lose.add(text)
        for attempt in range(3):
            record(f"client: {text} try {attempt + 1}")
            status, headers, _ = await http(
                port, "POST", target, text.encode(), f"Authorization: Bearer {token}\r\n"
            )
            record(
                f"client: {text} try {attempt + 1}: {status} retry-after {headers.get('retry-after', '-')}"
            )
            if status != 503:
                return str(status)
            await asyncio.sleep(float(headers.get("retry-after", 1)))
        return "503"

    orders = []
    for number in range(ORDERS):
        orders.append(asyncio.ensure_future(order(number)))
        await asyncio.sleep(0.3)
    answers = await asyncio.gather(*orders)
    record(f"answers: {answers}")
    return [f"{text} ran {len(ran)} times, as {ran}" for text, ran in effects.items() if len(ran) > 1]


run_case(str(HERE), play)
