"""The operator takes away the last keys; requests with them, with foreign keys and without any are sent on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import rig as standins  # noqa: E402

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_HELD = "zz0never0held0by0any0"
REVOKE_S = standins.BOUNDS["revoke_ms"] / 1000
# `revoke` of the site file: count 2, gap_s 1.5.
GAP_S = 1.5
WATCHED_S = 4.0


async def scenario(rig):
    record, runs = rig.record, {}

    async def answer(server, request, writer):
        ident = request.field("x-request-id")
        runs[ident] = request.field("x-tenant")
        record.line("server runs", id=ident, server=server.name, tenant=request.field("x-tenant"))
        await asyncio.sleep(0.03)
        writer.write(standins.plain_answer(200, "OK", server.signed(request), b"reserved"))

    for zone in ("zone-a", "zone-b", "zone-c"):
        rig.add_server("app", zone, 6, answer)
    reserve = standins.route("reserve", "non_idempotent", "app", 1000, 150, 1)
    tenant = {"name": "hule930", "priority": 1}
    configuration = standins.config([reserve], [{**tenant, "api_keys": KEYS}], services=("app",))
    await rig.start(2, configuration)
    sent = []

    async def send(key):
        at = record.now()
        host = rig.hosts[len(sent) % 2]
        task = rig.request(host, "/reserve/1", {"X-Deadline-Ms": "1000"}, b"seats=2", key=key, timeout_s=2.0)
        sent.append((at, key, asyncio.ensure_future(task)))
        await asyncio.sleep(0.08)

    async def send_all(span_s):
        end = record.now() + span_s
        while record.now() < end:
            for key in KEYS + [NEVER_HELD, None]:
                await send(key)

    await send_all(2.0)
    confirmed = {}
    for number, key in enumerate(KEYS, 1):
        if standins.TROUBLE:
            left = KEYS[number:]
            rig.store.put("op/config", {**configuration, "version": 7 + number,
                                        "tenants": [{**tenant, "api_keys": left}]})
            confirmed[key] = record.now()
            record.line("operator took a key away", key=key, keys_left=len(left))
        await send_all(GAP_S)
    await send_all(REVOKE_S + WATCHED_S)
    violations = []
    for at, key, task in sent:
        got = await task
        if got.id not in runs:
            continue
        if key in confirmed and at > confirmed[key] + REVOKE_S:
            violations.append(f"CONFIG: {got.id} ran {at - confirmed[key]:.2f} s after its key was taken away")
        elif key == NEVER_HELD:
            violations.append(f"ROUTE: {got.id} ran with a key that no configuration ever held")
        elif key is None:
            violations.append(f"ROUTE: {got.id} ran without a key, on a route that is not public")
        elif runs[got.id] != tenant["name"] and key not in confirmed:
            violations.append(f"UNASKED: {got.id} ran for the tenant {runs[got.id]}")
    return violations


standins.main(scenario, HERE)
