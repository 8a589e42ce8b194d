"""A part that crashes engines stands behind more than sixteen parts that sound prompts have as well."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import crashing  # noqa: E402
import rig as standins  # noqa: E402

# How many parts the prompts have in common before the one that crashes engines.
COMMON = int(os.environ.get("PARTS", "17"))
CRASHING = "dead01"
SECONDS = 24.0
SOUND_GAP_S, CRASHING_GAP_S = 0.25, float(os.environ.get("GAP", "1.0"))


async def scenario(rig):
    # With TROUBLE=0 the same prompts are sent, and no engine crashes on the part.
    engines = crashing.Engines(rig, 8, CRASHING, is_crashing=standins.TROUBLE)
    await rig.start(2, standins.config([crashing.draft_route()]))
    common = [f"aa{number:04x}" for number in range(COMMON)]
    begun, number, asked, next_crashing = rig.record.now(), 0, [], 2.0
    while (at := rig.record.now() - begun) < SECONDS:
        number += 1
        host = rig.hosts[number % 2]
        asked.append((at, crashing.send(rig, host, common, number)))
        if at >= next_crashing:
            next_crashing += CRASHING_GAP_S
            crashing.send(rig, rig.hosts[int(next_crashing) % 2], common + [CRASHING], 100000 + number)
        await asyncio.sleep(SOUND_GAP_S)
    answers = [(at, await task) for at, task in asked]
    served = sum(answer.end == "whole" and answer.status == 200 for _, answer in answers)
    rig.record.line("sound requests", sent=len(answers), served=served)
    return engines.violations()


standins.main(scenario, HERE)
