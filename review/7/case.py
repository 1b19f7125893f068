"""A write of the leaving record whose answer was lost is done seconds later, after the record
was removed again. The next planned restart of the agent reads it and takes the present target
for one that has ended; the balancers reset the open flows of a target that runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Client, Platform, Record, Target, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 5.5
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
    first = Target("A", SERVICE, side.address, net, record)
    neighbour = Target("N", SERVICE, other.address, net, record)
    await first.start()
    await neighbour.start()
    await platform.wait_until_in()
    await asyncio.sleep(3)

    # Disruption: the answer of one write is lost; the write is done later.
    lost = []
    def lose(transaction):
        keys = [put["tls_key"] for put in transaction["put"]]
        if TROUBLE and not lost and "woodladder/leavings/side-1" in keys:
            lost.append(keys)
            return LATE_S
        return None
    platform.store.lose = lose

    record("target A announces that it leaves")
    first.state = "draining"
    await asyncio.wait_for(first.acknowledged_leaving.wait(), 8)
    await asyncio.sleep(0.6)
    first.crash()
    await asyncio.sleep(1.0)
    second = Target("B", SERVICE, side.address, net, record)
    await second.start()
    await asyncio.sleep(7)

    client = Client(net, route, platform.edges, record)
    await client.start()
    flows = [await client.open_flow() for _ in range(24)]
    stop = asyncio.Event()
    users = [asyncio.create_task(keep_using(flow, stop)) for flow in flows]
    await asyncio.sleep(8)
    held = [flow for flow in flows
            if second.holds((flow.source, route)) and flow.state == "open"]
    record(f"{len(held)} flows are open at target B")
    if len(held) < 3:
        return 2
    await side.restart_as_planned()
    await asyncio.sleep(12)
    stop.set()
    await asyncio.gather(*users)
    broken = [reset for reset in client.resets
              if reset[0] in held and reset[1] == "open" and reset[2]]
    alive = second.state == "ready"
    for node in platform.edges:
        for line in platform.events(node, ["target_replaced"]):
            record(f"log of {node.name}: {line}")
    for line in platform.events(side, ["target_state", "heartbeat_refused"])[-8:]:
        record(f"log of side-1: {line}")
    record(f"resets of the system on open flows of target B, which runs: {len(broken)} "
           f"of {len(held)} flows")
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
