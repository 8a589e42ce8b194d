"""Engines that crash when they begin to write an answer on one part of a prompt, and the check of it."""

import asyncio

import rig as standins

PREFILL_S = 0.03
EVENTS, EVENT_GAP_S = 5, 0.06
DOWN_S = 2.0
# `stable_window_ms`, and how many requests may reach servers later than it after the fifth crash.
STABLE_S, ALLOWED = 3.0, 3
FIELDS = {"X-Model": "m", "X-Deadline-Ms": "10000"}


class Engines:
    """What reached the engines, and their crashes."""

    def __init__(self, rig, count, part, is_crashing):
        self.rig, self.part, self.is_crashing = rig, part, is_crashing
        self.arrivals, self.crashes, self.clients = [], [], {}
        for number in range(count):
            rig.add_server("engines", ["zone-a", "zone-b", "zone-c"][number % 3], 16, self.answer)

    async def answer(self, server, request, writer):
        record, ident = self.rig.record, request.field("x-request-id")
        parts = [one.split(":")[0] for one in request.field("x-prompt-prefix", "").split(",")]
        has_part = self.part in parts[:-1]
        if has_part:
            self.arrivals.append((record.now(), ident))
        record.line("server runs", id=ident, server=server.name, has_part=int(has_part))
        await asyncio.sleep(PREFILL_S)
        writer.write(standins.stream_head(server.signed(request)))
        await writer.drain()
        if has_part and self.is_crashing:
            if server.is_up:
                self.crashes.append(record.now())
            return server.crash(DOWN_S)
        number = int(request.field("last-event-id", "0"))
        for _ in range(EVENTS - number):
            await asyncio.sleep(EVENT_GAP_S)
            number += 1
            writer.write(standins.chunk(standins.event(number)))
            await writer.drain()
        writer.write(standins.LAST_CHUNK)

    def violations(self):
        record = self.rig.record
        record.line("crashes", count=len(self.crashes), at=",".join(f"{at:.2f}" for at in self.crashes))
        if len(self.crashes) < 5:
            return []
        fifth = self.crashes[4]
        late = [(at, ident) for at, ident in self.arrivals if at > fifth + STABLE_S]
        record.line("arrivals after the fifth crash and the window", fifth=f"{fifth:.3f}", count=len(late))
        if len(late) <= ALLOWED:
            return []
        return [
            f"{len(late)} requests with the part reached servers later than {STABLE_S} s after the fifth crash "
            f"at {fifth:.2f} s; {ALLOWED} may"
        ]


def send(rig, host, parts, number, tokens=4000, key=standins.KEY):
    """Sends a prompt with these parts and a last one of its own; all parts but the last have 40 tokens."""
    own = f"{0xbb000000 + number:x}:{tokens - 40 * len(parts)}"
    prefix = ",".join([f"{part}:40" for part in parts] + [own])
    fields = {**FIELDS, "X-Token-Usage": f"{tokens},300", "X-Prompt-Prefix": prefix}
    return asyncio.ensure_future(rig.request(host, "/draft/1", fields, b"x" * 1000, key=key, timeout_s=10.0))


def draft_route():
    return standins.route("draft", "streaming", "engines", 10000, 300, 2, sticky=True, resumable=True,
                          gap_aim_ms=200)
