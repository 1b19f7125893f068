"""The nodes beside targets are stopped with SIGTERM and started again, one after the other."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

KITCHENS = (21, 22, 23)
# "After a short delay, a process that is killed or ends is started again".
RESTART_DELAY_S = 1.0
# Pause between two stops; the site file has gap_s 2.0 for its roll_term of all machines.
GAP_S = 4.0
PLAYED_S = 3.0 + len(KITCHENS) * GAP_S + 2.0


async def case(site, trouble):
    route = (f"{site.base}.200", 443)
    config = stand_ins.configuration(7, [("r-kitchen", route[0], route[1], "kitchen", "non_idempotent")])
    targets = {machine: "kitchen" for machine in KITCHENS} | {24: "print"}
    await site.start([11, 12], targets, config)
    site.reset_hooks.append(lambda key, sender: judge(site, key, sender))
    client = stand_ins.Client(site, 41)
    await client.start()
    began = time.monotonic()
    flows = [asyncio.ensure_future(use_flow(site, client, route, index, began)) for index in range(12)]
    await asyncio.sleep(3.0)
    if trouble:
        for machine in KITCHENS:
            stopped = time.monotonic()
            await site.stop_process(machine)
            await asyncio.sleep(RESTART_DELAY_S)
            site.start_process(machine, "agent")
            await asyncio.sleep(max(0.0, stopped + GAP_S - time.monotonic()))
    results = await asyncio.gather(*flows)
    site.record.add(f"flows that were answered until the end: {sum(results)} of {len(results)}")
    if not trouble and not all(results):
        raise stand_ins.CannotRun("requests failed without trouble")


async def use_flow(site, client, route, index, began):
    """A client that keeps one flow for many requests, with pauses of 0.4 s."""
    await asyncio.sleep(0.05 * index)
    flow = client.flow(route)
    if not await flow.open():
        return False
    number = 0
    while time.monotonic() < began + PLAYED_S:
        number += 1
        result = await flow.ask(f"q-{index}-{number}", method="POST", deadline_s=3.0)
        if result != 200:
            site.record.add(f"client: q-{index}-{number} ended with {result}")
            return False
        await asyncio.sleep(0.4)
    await flow.close()
    return True


def judge(site, key, sender):
    """FLOW (a) under planned work: the target lives, and neither it nor its links had disruption."""
    target, flow = site.holder(key)
    if target is not None and not site.is_excused(flow):
        idle_ms = (time.monotonic() - flow.touched_at) * 1000
        site.break_rule("FLOW", f"{stand_ins.show(key)} is open at {target.name} (idle for {idle_ms:.0f} ms) "
                                f"and was reset by {sender}")


stand_ins.play(FOLDER, case)
