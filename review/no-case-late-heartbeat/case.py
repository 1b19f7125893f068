"""A heartbeat of a target that has crashed comes seconds late, as the first one that the agent
hears after a planned restart. The agent takes the crashed start for the present one; the
balancers reset the open flows of the target that runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Client, Platform, Record, Target, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 5.0
SERVICE = "kitchen1a"
CONTACT_S = 4.0


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
    first = Target("A", SERVICE, side.address, net, record)
    neighbour = Target("N", SERVICE, other.address, net, record)
    await first.start()
    await neighbour.start()
    await platform.wait_until_in()
    await asyncio.sleep(3)

    # Disruption: the last heartbeat of A comes late. A crashes, and B starts in its place.
    last = first.seq + 1
    first.lateness = lambda seq: LATE_S if TROUBLE and seq == last else 0
    while first.seq < last:
        await asyncio.sleep(0.01)
    sent_at = record.now()
    await asyncio.sleep(0.1)
    began = record.now()
    first.crash()
    await asyncio.sleep(0.8)
    second = Target("B", SERVICE, side.address, net, record)
    await second.start()
    while not second.is_accepted:
        await asyncio.sleep(0.05)

    client = Client(net, route, platform.edges, record)
    await client.start()
    flows = [await client.open_flow() for _ in range(24)]
    stop = asyncio.Event()
    users = [asyncio.create_task(keep_using(flow, stop)) for flow in flows]
    # The new process of the agent starts some 0.2 s before the heartbeat comes.
    await asyncio.sleep(sent_at + LATE_S - 1.1 - record.now())
    held = [flow for flow in flows
            if second.holds((flow.source, route)) and flow.state == "open"]
    record(f"{len(held)} flows are open at target B")
    if len(held) < 3:
        return 2
    await side.restart_as_planned()
    await asyncio.sleep(12)
    stop.set()
    await asyncio.gather(*users)
    # Resets within `contact_ms` of the crash are not counted.
    broken = [reset for reset in client.resets
              if reset[0] in held and reset[1] == "open" and reset[2]
              and reset[5] - began > CONTACT_S]
    alive = second.state == "ready"
    for node in platform.edges:
        for line in platform.events(node, ["target_replaced"]):
            record(f"log of {node.name}: {line}")
    for line in platform.events(side, ["target_state", "heartbeat_refused"])[-8:]:
        record(f"log of side-1: {line}")
    record(f"resets of the system on open flows of target B, which runs, later than "
           f"{began + CONTACT_S:.3f} s: {len(broken)} of {len(held)} flows")
    return 1 if broken and alive else 0


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
