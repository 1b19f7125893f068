"""A target deregisters first and serves on. All processes are killed at the same moment, the store
turns the target's machine away for some seconds, and a heartbeat that the target had sent before comes
late. The agent takes the target for ready and hands it new flows."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import (  # noqa: E402
    Client, Platform, Record, Target, call, configuration, http_answer, read_message)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 3.0
TURNED_AWAY_S = 9.0
SERVES_ON_S = 12.0
CONTACT_S, DRAIN_S = 4.0, 3.0
SERVICE = "kitchen1a"


class Gate:
    """The store as one machine reaches it: it may turn that machine away (503)."""

    def __init__(self, store):
        self.store, self.turns_away = store, False

    async def serve(self, reader, writer):
        if not self.turns_away:
            return await self.store.serve(reader, writer)
        try:
            while await read_message(reader) is not None:
                writer.write(http_answer(503, {}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def play(record, platform):
    net = platform.net
    await platform.start()
    side, other = platform.side("side-1", SERVICE), platform.side("side-2", SERVICE)
    gate, gate_address = Gate(platform.store), net.address()
    server = await asyncio.start_server(gate.serve, gate_address, net.store)
    plain = side.settings
    side.settings = lambda: plain().replace(
        f'address = "{platform.store_address}:{net.store}"', f'address = "{gate_address}:{net.store}"')
    for node in (side, other):
        await node.start()
    route = (net.address(), 8443)
    platform.store.operator_writes("op/config", configuration(7, route, SERVICE))
    leaving = Target("T", SERVICE, side.address, net, record)
    neighbour = Target("N", SERVICE, other.address, net, record)
    await leaving.start()
    await neighbour.start()
    await platform.wait_until_in()
    await asyncio.sleep(3)

    # The last heartbeat before the deregistration comes late.
    held_up = asyncio.Event()

    def lateness(_seq):
        held_up.set()
        return LATE_S
    leaving.lateness = lateness
    await held_up.wait()
    await asyncio.sleep(0.1)
    leaving.beats.cancel()
    status = await call(leaving.address, net.control, "DELETE", f"/instances/{leaving.id}")
    record(f"target T deregisters: answered {status}")
    if status != 200:
        return 2
    acknowledged = record.now()
    await asyncio.sleep(0.3)

    nodes = platform.edges + platform.sides
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
    record("all processes are killed")
    gate.turns_away = TROUBLE
    if TROUBLE:
        record("the store turns side-1 away")
    await asyncio.sleep(0.5)
    for node in nodes:
        await node.start()
    started = record.now()

    client = Client(net, route, platform.edges, record)
    await client.start()
    counted_from = max(acknowledged + DRAIN_S, started + CONTACT_S)
    late_openings = []
    while record.now() < acknowledged + SERVES_ON_S:
        if record.now() > started + TURNED_AWAY_S and gate.turns_away:
            gate.turns_away = False
            record("the store serves side-1 again")
        sent = record.now()
        flows = await asyncio.gather(*(client.open_flow() for _ in range(4)))
        for flow in flows:
            if sent > counted_from and leaving.holds((flow.source, route)):
                late_openings.append(flow)
        await asyncio.gather(*(flow.request() for flow in flows if flow.state == "open"))
        await asyncio.sleep(0.1)
    leaving.crash()
    server.close()
    for line in platform.events(side, ["target_state", "opening_after_leaving"])[-6:]:
        record(f"log of side-1: {line}")
    record(f"flows that target T took more than {DRAIN_S} s after its deregistration was acknowledged, by edge "
           f"nodes in touch: {len(late_openings)} of {client.count}")
    return 1 if late_openings else 0


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
