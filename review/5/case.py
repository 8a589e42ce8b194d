"""The first prompts of a new form crash engines; the sound ones that follow share their other parts."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import crashing  # noqa: E402
import rig as standins  # noqa: E402

CRASHING = "dead01"
OLD, NEW = ["aa0001", "aa0002"], ["cc0001", "cc0002"]
# Where the part stands that crashes engines: `mid`, `first` or `last` of the parts that prompts share.
FORMS = {
    "mid": [NEW[0], CRASHING, NEW[1]],
    "first": [CRASHING, *NEW],
    "last": [*NEW, CRASHING],
}
FORM = FORMS[os.environ.get("POSITION", "mid")]
BEFORE_S, LEAD_S, AFTER_S = 7.0, 3.0, 22.0
SOUND_GAP_S, LEAD_GAP_S, CRASHING_GAP_S = 0.25, 0.5, 1.0
# The rule counts from 2 x `stable_window_ms` after the fifth crash, and from 20 requests on.
COUNTED_AFTER_S, ENOUGH = 2 * crashing.STABLE_S, 20


async def scenario(rig):
    record = rig.record
    engines = crashing.Engines(rig, 8, CRASHING)
    await rig.start(2, standins.config([crashing.draft_route()]))
    sent = []

    async def send(span_s, parts, crashing_gap_s):
        end, next_crashing = record.now() + span_s, record.now()
        while record.now() < end:
            number = len(sent) + 1
            task = crashing.send(rig, rig.hosts[number % 2], parts, number)
            sent.append((record.now(), task))
            if crashing_gap_s is not None and record.now() >= next_crashing:
                next_crashing += crashing_gap_s
                crashing.send(rig, rig.hosts[(number // 2) % 2], FORM, 100000 + number)
            await asyncio.sleep(SOUND_GAP_S)

    await send(BEFORE_S, OLD, None)
    calm_until = record.now()
    await send(LEAD_S, OLD, LEAD_GAP_S)
    await send(AFTER_S, NEW, CRASHING_GAP_S)
    answers = [(at, await task) for at, task in sent]

    def begun(chosen):
        # An answer that began at the first attempt: each client here makes one.
        return sum(answer.status == 200 and bool(answer.events) for answer in chosen), len(chosen)

    before = begun([answer for at, answer in answers if at < calm_until])
    crashes = engines.crashes
    record.line("crashes", count=len(crashes), at=",".join(f"{at:.2f}" for at in crashes))
    counted_from = (crashes[min(4, len(crashes) - 1)] if crashes else calm_until) + COUNTED_AFTER_S
    after = begun([answer for at, answer in answers if at > counted_from])
    record.line("sound requests", before=before, after=after, counted_from=f"{counted_from:.2f}")
    if min(before[1], after[1]) < ENOUGH:
        raise standins.CannotRun("too few requests")
    if after[0] / after[1] < before[0] / before[1] / 2:
        return [f"{after[0]} of {after[1]} sound requests with the same key and first part began, "
                f"{before[0]} of {before[1]} before"]
    return []


standins.main(scenario, HERE)
