"""Flows rest for less than the configured idle_timeout_ms, and are then used again."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

IDLE_TIMEOUT_MS = 50_000
REST_S = 45.0
# Moments at which clients open their flows, in seconds after the site serves.
OPENED_AT_S = [2 + 3 * index for index in range(11)]
USED_EVERY_S = 5.0


async def case(site, trouble):
    route = (f"{site.base}.200", 443)
    site_config = stand_ins.configuration(
        7, [("r-kitchen", route[0], route[1], "kitchen", "non_idempotent")], IDLE_TIMEOUT_MS)
    await site.start([11, 12], {21: "kitchen", 22: "kitchen", 23: "kitchen"}, site_config)
    site.reset_hooks.append(lambda key, sender: judge(site, key, sender))
    client = stand_ins.Client(site, 41)
    await client.start()
    began = time.monotonic()
    results = await asyncio.gather(*(
        use_flow(site, client, route, index, began + at, trouble) for index, at in enumerate(OPENED_AT_S)))
    answered = sum(result == 200 for result in results)
    site.record.add(f"second requests answered: {answered} of {len(results)}")
    if not trouble and answered != len(results):
        raise stand_ins.CannotRun("requests failed without any pause")


async def use_flow(site, client, route, index, at, trouble):
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    flow = client.flow(route)
    if not await flow.open() or await flow.ask(f"first-{index}", method="POST") != 200:
        raise stand_ins.CannotRun("a flow did not open")
    ends = time.monotonic() + REST_S
    while not trouble and time.monotonic() + USED_EVERY_S < ends:
        await asyncio.sleep(USED_EVERY_S)
        await flow.ask(f"between-{index}", method="POST")
    await asyncio.sleep(max(0.0, ends - time.monotonic()))
    result = await flow.ask(f"second-{index}", method="POST")
    site.record.add(f"client: second-{index} ended with {result}")
    await flow.close()
    return result


def judge(site, key, sender):
    """FLOW (a), with its exclusions: idle for longer than idle_timeout_ms, older than flow_ttl_s."""
    target, flow = site.holder(key)
    if target is None:
        return
    now = time.monotonic()
    idle_ms, age_s = (now - flow.touched_at) * 1000, now - flow.opened_at
    if idle_ms <= IDLE_TIMEOUT_MS and age_s <= stand_ins.FLOW_TTL_S:
        site.break_rule("FLOW", f"{stand_ins.show(key)} is open at {target.name} (idle for {idle_ms:.0f} ms, "
                                f"{age_s:.1f} s old) and was reset by {sender}")


stand_ins.play(FOLDER, case)
