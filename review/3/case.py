"""A configuration moves a route to another service; then the nodes are restarted as planned, one
after the other, while flows that were opened before are at rest."""
import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

BALANCERS, KITCHENS, PRINT = (11, 12), (21, 22), 23
# "After a short delay, a process that is killed or ends is started again".
RESTART_DELAY_S = 0.1
# Pause between two stops: gap_s of the site file's roll_term is 1.1 to 2.0.
GAP_S = 2.0
FLOWS = 12
# Below the configured idle_timeout_ms of 15,000.
REST_S = 13.0


async def case(site, trouble):
    route = (f"{site.base}.200", 443)
    await site.start(list(BALANCERS), {machine: "kitchen" for machine in KITCHENS} | {PRINT: "print"},
                     configuration(7, route, "kitchen"))
    site.reset_hooks.append(lambda key, sender: judge(site, key, sender))
    client = stand_ins.Client(site, 41)
    await client.start()
    flows = [asyncio.ensure_future(use_flow(site, client, route, index)) for index in range(FLOWS)]
    await asyncio.sleep(1.0)
    if trouble and os.environ.get("MOVE", "1") != "0":
        await site.store.configure(configuration(9, route, "print"))
    await asyncio.sleep(1.0)
    if trouble:
        for machine in KITCHENS + BALANCERS:
            stopped = time.monotonic()
            await site.stop_process(machine)
            await asyncio.sleep(RESTART_DELAY_S)
            site.start_process(machine, "balancer" if machine in BALANCERS else "agent")
            await asyncio.sleep(max(0.0, stopped + GAP_S - time.monotonic()))
    results = await asyncio.gather(*flows)
    site.record.add(f"flows that served both requests: {sum(results)} of {len(results)}")
    if not trouble and not all(results):
        raise stand_ins.CannotRun("requests failed without trouble")


def configuration(version, route, service):
    return stand_ins.configuration(version, [("r-kitchen", route[0], route[1], service, "non_idempotent")])


async def use_flow(site, client, route, index):
    """A client that keeps one flow for two requests, with a pause between them."""
    await asyncio.sleep(0.05 * index)
    flow = client.flow(route)
    if not await flow.open() or await flow.ask(f"first-{index}", method="POST") != 200:
        raise stand_ins.CannotRun("a flow did not open")
    await asyncio.sleep(REST_S)
    result = await flow.ask(f"second-{index}", method="POST")
    site.record.add(f"client: second-{index} ended with {result}")
    await flow.close()
    return result == 200


def judge(site, key, sender):
    """FLOW (a) under planned work: the target lives, and the flow is neither idle for too long nor
    too old; its route is not dropped."""
    target, flow = site.holder(key)
    if target is not None and not site.is_excused(flow):
        idle_ms = (time.monotonic() - flow.touched_at) * 1000
        site.break_rule("FLOW", f"{stand_ins.show(key)} is open at {target.name} (idle for {idle_ms:.0f} ms) "
                                f"and was reset by {sender}")


stand_ins.play(FOLDER, case)
