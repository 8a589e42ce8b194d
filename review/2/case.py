"""A planned stop of a host at which requests wait for a free place at the engines."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import rig as standins  # noqa: E402

# Answers that fill the engines: 28 is what a host sends to two engines of 16 places on this route.
RUNNING, WAITING = 28, 6
# The engines finish the long answers at this time after their first request.
BUSY_UNTIL_S = 14.3
EVENT_GAP_S = 0.6
STOP_AT_S = 5.7
TIMEOUT_S = 15.0


async def scenario(rig):
    record = rig.record
    runs = {}

    async def answer(server, request, writer):
        ident = request.field("x-request-id")
        runs.setdefault(ident, []).append(record.now())
        record.line("server runs", id=ident, server=server.name)
        writer.write(standins.stream_head(server.signed(request)))
        number = int(request.field("last-event-id", "0"))
        left = 3 if request.path.endswith("/short") else max(3, int((busy_until - record.now()) / EVENT_GAP_S))
        for _ in range(left):
            number += 1
            writer.write(standins.chunk(standins.event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(standins.LAST_CHUNK)
        record.line("server finished", id=ident, server=server.name)

    for zone in ("zone-a", "zone-b"):
        rig.add_server("engines", zone, 16, answer)
    review = standins.route("digest", "streaming", "engines", int(TIMEOUT_S * 1000), 3000, 2, sticky=True,
                            resumable=True, gap_aim_ms=800)
    await rig.start(2, standins.config([review]))
    begun = record.now()
    busy_until = begun + BUSY_UNTIL_S
    fields = {"X-Model": "m", "X-Token-Usage": "4000,800", "X-Deadline-Ms": str(int(TIMEOUT_S * 1000))}

    def send(path, number):
        own = {**fields, "X-Prompt-Prefix": f"aa01:40,{0xbb0000 + number:x}:3960"}
        return asyncio.ensure_future(rig.request(rig.hosts[0], path, own, b"x" * 1000))

    running = []
    for number in range(RUNNING):
        running.append(send("/digest/long", number))
        await asyncio.sleep(0.18)
    await asyncio.sleep(max(0.0, begun + 5.3 - record.now()))
    waiting = [send("/digest/short", 1000 + number) for number in range(WAITING)]
    await asyncio.sleep(max(0.0, begun + STOP_AT_S - record.now()))
    stopped = None
    if standins.TROUBLE:
        stopped = record.now()
        rig.hosts[0].send_signal(signal.SIGTERM)
    answers = await asyncio.gather(*waiting)
    await asyncio.gather(*running)
    if stopped is not None:
        status = rig.hosts[0].process.wait(timeout=5)
        record.line("host ended", host=rig.hosts[0].name, status=status, after=f"{record.now() - stopped:.2f}")
    violations = []
    for got in answers:
        if got.end == "whole":
            continue
        # Nothing excuses the loss: no server had it, and neither the deadline nor the time-out was reached.
        waited = got.ended_at - got.sent_at
        if got.id not in runs and waited < TIMEOUT_S - 0.5 and (stopped is None or got.ended_at < stopped + 9.0):
            violations.append(
                f"request {got.id} was read, waited {waited:.2f} s and its channel ended without an answer; "
                f"no server got it"
            )
        else:
            record.line("not counted", id=got.id, end=got.end)
    return violations


standins.main(scenario, HERE)
