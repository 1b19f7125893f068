"""The first heartbeat of a target comes seconds late, as the first one that the agent hears after
a planned restart. The agent takes the target for younger than itself, claims to know all of its
flows and denies them; the balancers reset open flows of a target that runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Client, Platform, Record, Target, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 3.0
SERVICE = "kitchen1a"


async def keep_using(flow, stop):
    while not stop.is_set() and flow.state == "open":
        await flow.request()
        await asyncio.sleep(0.6)


async def play(record, platform):
    net = platform.net
    await platform.start()
    side = platform.side("side-1", SERVICE)
    other = platform.side("side-2", SERVICE)
    for node in (side, other):
        await node.start()
    route = (net.address(), 8443)
    platform.store.operator_writes("op/config", configuration(7, route, SERVICE))
    neighbour = Target("N", SERVICE, other.address, net, record)
    await neighbour.start()
    await platform.wait_until_in()
    await asyncio.sleep(3)

    # Disruption: the first heartbeat of T comes late. The later ones come in time.
    target = Target("T", SERVICE, side.address, net, record)
    target.lateness = lambda seq: LATE_S if TROUBLE and seq == 1 else 0
    began = record.now()
    await target.start()
    while not target.is_accepted:
        await asyncio.sleep(0.02)

    client = Client(net, route, platform.edges, record)
    await client.start()
    flows = [await client.open_flow() for _ in range(24)]
    stop = asyncio.Event()
    users = [asyncio.create_task(keep_using(flow, stop)) for flow in flows]
    # The new process of the agent starts some 0.2 s before the heartbeat comes.
    await asyncio.sleep(began + LATE_S - 1.1 - record.now())
    held = [flow for flow in flows
            if target.holds((flow.source, route)) and flow.state == "open"]
    record(f"{len(held)} flows are open at target T")
    if len(held) < 3:
        return 2
    await side.restart_as_planned()
    await asyncio.sleep(12)
    stop.set()
    await asyncio.gather(*users)
    broken = {reset[0].port for reset in client.resets
              if reset[0] in held and reset[1] == "open" and reset[2]}
    for node in platform.edges:
        for line in platform.events(node, ["flow_reset"])[:3]:
            record(f"log of {node.name}: {line}")
    record(f"resets of the system on open flows of target T, which runs: {len(broken)} "
           f"of {len(held)} flows")
    return 1 if broken and target.state == "ready" else 0


async def main():
    record = Record(FOLDER)
    record(f"TROUBLE={int(TROUBLE)}")
    platform = Platform(record)
    try:
        result = await asyncio.wait_for(play(record, platform), 100)
    except Exception as error:  # the case could not run
        record(f"could not run: {error!r}")
        result = 2
    finally:
        await platform.stop()
    record(f"exit {result}")
    return result


sys.exit(asyncio.run(main()))
