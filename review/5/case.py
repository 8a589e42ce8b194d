"""Prompts with a part that crashes engines come a few at a time, several at the same moment."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import crashing  # noqa: E402
import rig as standins  # noqa: E402

CRASHING = "dead01"
SECONDS = 24.0
SOUND_GAP_S = 0.25
AT_ONCE, BATCH_GAP_S = int(os.environ.get("AT_ONCE", "4")), float(os.environ.get("BATCH_GAP_S", "4"))


async def scenario(rig):
    engines = crashing.Engines(rig, 8, CRASHING)
    await rig.start(2, standins.config([crashing.draft_route()]))
    common = ["aa0001", "aa0002"]
    begun, number, asked, next_batch = rig.record.now(), 0, [], 2.0
    while (at := rig.record.now() - begun) < SECONDS:
        number += 1
        asked.append(crashing.send(rig, rig.hosts[number % 2], common, number))
        if at >= next_batch:
            next_batch += BATCH_GAP_S
            for one in range(AT_ONCE):
                crashing.send(rig, rig.hosts[one % 2], common + [CRASHING], 100000 + 10 * number + one)
        await asyncio.sleep(SOUND_GAP_S)
    answers = await asyncio.gather(*asked)
    served = sum(answer.end == "whole" and answer.status == 200 for answer in answers)
    rig.record.line("sound requests", sent=len(answers), served=served)
    return engines.violations()


standins.main(scenario, HERE)
