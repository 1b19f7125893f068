"""Stand-ins for the cases of the second review: the platform's store, targets, clients, and
the platform itself, which starts and stops the project's processes. They follow PROTOCOL.md
and DEPLOY.md. All of them run in one event loop, on loopback addresses only."""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import zlib

SYN, ACK, FIN, RST, BOUNCED = 32, 2, 128, 4, 64
HEAD = struct.Struct(">BB4sHH4sIIIIH")
KEY = b"sum of the stand-ins"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Net:
    """A part of the loopback network: one address for each machine, the same free ports on
    all of them."""

    def __init__(self):
        draw = random.SystemRandom()
        for _ in range(50):
            self.prefix = f"127.{draw.randint(16, 240)}.{draw.randint(1, 250)}"
            base = draw.randint(11000, 29000)
            ports = [base + i for i in range(8)]
            if self.is_free(ports):
                break
        else:
            raise RuntimeError("no free ports")
        (self.peer, _, self.datagram, self.ready, self.control, self.outbound, self.app,
         self.store) = ports
        self.last = 1

    def is_free(self, ports):
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((self.prefix + ".2", port))
            return True
        except OSError:
            return False

    def address(self):
        self.last += 1
        return f"{self.prefix}.{self.last}"


# ---- HTTP

async def read_message(reader):
    line = await reader.readline()
    if not line:
        return None
    length = 0
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b""):
            break
        name, _, value = header.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return line.decode().split(" ", 2), body


def http_answer(status, document):
    body = json.dumps(document).encode() if document is not None else b""
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def call(address, port, method, path, document=None, limit=1.0):
    """One HTTP call; returns the status, or None without an answer within the limit."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            body = json.dumps(document).encode() if document is not None else b""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            answer = await read_message(reader)
            return int(answer[0][1]) if answer else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# ---- the platform's store

class Store:
    def __init__(self, record):
        self.record = record
        self.items, self.leases, self.history = {}, {}, []
        self.revision = 10
        self.changed = asyncio.Event()
        # Returns the delay in seconds after which a write is done whose answer is lost, or None.
        self.lose = lambda transaction: None

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    def put(self, key, value, lease=0):
        made = self.items.get(key, {}).get("made", self.revision)
        self.items[key] = {"tls_key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "made": made, "lease": lease}
        self.history.append((self.revision, dict(self.items[key])))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision,
                                 {"tls_key": key, "revision": self.revision, "gone": True}))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def operator_writes(self, key, document):
        self.revision += 1
        self.put(key, json.dumps(document).encode())
        self.wake()

    def expire(self):
        now = time.monotonic()
        for lease in [it for it, (_, end) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()

    def transact(self, body):
        for row in body.get("expected_rev", []):
            item = self.items.get(row["tls_key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[row["tls_key"]] for row in body["expected_rev"]
                        if row["tls_key"] in self.items]
                return 412, {"items": rows}
        if any(put.get("lease") and put["lease"] not in self.leases for put in body["put"]):
            return 404, {}
        self.revision += 1
        for put in body["put"]:
            self.put(put["tls_key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        self.wake()
        return 200, {"revision": self.revision}

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, path, _), body = message
                await asyncio.sleep(0.004)
                self.expire()
                answer = await self.handle(method, path, body)
                if answer is None:
                    await reader.read()  # this connection says nothing more
                    return
                writer.write(http_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/kv-key":
            item = self.items.get(query["tls_key"])
            if query["tls_key"].startswith("woodladder/leavings/"):
                self.record(f"store: read {query['tls_key']}: "
                            f"{'revision %d' % item['revision'] if item else 'nothing'}")
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["path_prefix"])
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys], "more": False,
                         "at": self.revision}
        if path == "/kv-watch":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [event for at, event in self.history if at > int(query["after"])
                          and event["tls_key"].startswith(query["path_prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = self.revision * 1000 + random.randint(1, 999)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            return await self.handle_transaction(json.loads(body))
        return 404, {}

    async def handle_transaction(self, body):
        keys = [row["tls_key"] for row in body.get("expected_rev", [])]
        is_leaving = any(key.startswith("woodladder/leavings/") for key in keys)
        what = (f"{'put' if body['put'] else 'remove'} {keys[0]} if its revision is "
                f"{body['expected_rev'][0]['revision']}") if is_leaving else ""
        late = self.lose(body)
        if late is not None:
            self.record(f"store: {what}: not answered; done {late} s later if its condition holds")
            asyncio.get_running_loop().call_later(late, self.do_late, body, what)
            return None
        status, document = self.transact(body)
        if is_leaving:
            self.record(f"store: {what}: answered {status} {document.get('revision', '')}")
        return status, document

    def do_late(self, body, what):
        status, document = self.transact(body)
        self.record(f"store: late: {what}: "
                    + (f"done, revision {document['revision']}" if status == 200 else
                       "its condition no longer holds"))


# ---- packets

def encode(flags, source, destination, seq, ack, data=b"", echo=0):
    head = HEAD.pack(flags, 0, socket.inet_aton(destination[0]), source[1], destination[1],
                     socket.inet_aton(source[0]), echo, 0, seq, ack, len(data))
    total = zlib.crc32(KEY + head[:14] + head[22:] + data) or 1
    return head[:18] + struct.pack(">I", total) + head[22:] + data


class Packet:
    def __init__(self, data):
        (self.flags, _, destination, sport, dport, source, self.echo, self.sum, self.seq,
         self.ack, self.length) = HEAD.unpack(data[:32])
        self.source = (socket.inet_ntoa(source), sport)
        self.destination = (socket.inet_ntoa(destination), dport)
        self.data = data[32:]
        self.raw = data


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, sender):
        self.handle(data, sender)


async def open_udp(address, port, handle):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Udp(handle), local_addr=(address, port))
    return transport


# ---- targets

class Target:
    """One start of a target beside an agent."""

    def __init__(self, name, service, address, net, record, capacity=7, work=0.05,
                 zone="zone-a"):
        self.name, self.service, self.address, self.net = name, service, address, net
        self.zone = zone
        self.record, self.capacity, self.work = record, capacity, work
        self.id = "i-%010x" % random.SystemRandom().getrandbits(40)
        self.state, self.seq, self.flows = "ready", 0, {}
        self.acknowledged_leaving = asyncio.Event()
        self.ran, self.is_accepted = [], False
        # Returns by how many seconds the heartbeat with this number comes late.
        self.lateness = lambda seq: 0

    async def start(self):
        self.connections = set()
        self.udp = await open_udp(self.address, self.net.app, self.receive)
        self.tcp = await asyncio.start_server(self.health, self.address, self.net.app)
        self.beats = asyncio.create_task(self.beat())
        self.record(f"target {self.name} ({self.id}) starts at {self.address}")

    async def health(self, reader, writer):
        self.connections.add(writer)
        try:
            while await read_message(reader) is not None:
                writer.write(http_answer(200 if self.state == "ready" else 503, None))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def beat(self):
        while True:
            began = time.monotonic()
            await self.beat_once()
            await asyncio.sleep(max(0, 1.1 - (time.monotonic() - began)))

    async def beat_once(self):
        self.seq += 1
        state = self.state
        document = {
            "service": self.service, "address": f"{self.address}:{self.net.app}",
            "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": state,
            "warmup_left_ms": 0, "seq": self.seq}
        lateness = self.lateness(self.seq)
        if lateness:
            self.record(f"target {self.name}: heartbeat {self.seq} ({state}): sent; it comes "
                        f"{lateness} s late")
            self.late = asyncio.create_task(self.arrive_late(lateness, document))
            await asyncio.sleep(1)
            return
        status = await call(self.address, self.net.control, "PUT", f"/instances/{self.id}",
                            document)
        self.record(f"target {self.name}: heartbeat {self.seq} ({state}): answered {status}")
        if status is not None and 200 <= status < 300:
            self.is_accepted = True
            if state == "draining":
                self.acknowledged_leaving.set()

    async def arrive_late(self, lateness, document):
        """What a proxy on the way to the agent does with a heartbeat that it holds up."""
        await asyncio.sleep(lateness)
        status = await call(self.address, self.net.control, "PUT", f"/instances/{self.id}",
                            document)
        self.record(f"target {self.name}: heartbeat {document['seq']} "
                    f"({document['state']}) arrives late: answered {status}")

    def holds(self, key):
        """Whether a flow is open: the end of the handshake has arrived here."""
        return key in self.flows and self.flows[key]["open"]

    def crash(self):
        """Ends at once and says nothing; every flow is forgotten."""
        self.beats.cancel()
        self.udp.close()
        self.tcp.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.state = "ended"
        self.record(f"target {self.name} crashes")

    def send(self, packet):
        if not self.udp.is_closing():
            self.udp.sendto(packet, (self.address, self.net.outbound))

    def receive(self, data, _sender):
        packet = Packet(data)
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            if flow is None:
                flow = self.flows[key] = {
                    "mine": random.getrandbits(32), "next": (packet.seq + 1) & 0xffffffff,
                    "first": packet.seq, "open": False}
            if not flow["open"] and packet.seq == flow["first"]:
                self.send(encode(SYN | ACK, key[1], key[0], flow["mine"], flow["next"]))
            return
        if flow is not None and not flow["open"] and \
                packet.ack == (flow["mine"] + 1) & 0xffffffff:
            flow["open"] = True
            flow["mine"] = packet.ack
            self.record(f"target {self.name}: flow {key[0][1]} opens")
        if flow is None or not flow["open"]:
            bounced = bytearray(packet.raw)
            bounced[0] |= BOUNCED
            bounced[1] = 0
            self.send(bytes(bounced))
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq == flow["next"]:
                flow["next"] = (packet.seq + len(packet.data)) & 0xffffffff
                asyncio.get_running_loop().call_later(
                    self.work, self.answer, key, flow, packet.data)
            elif flow.get("answer") and packet.seq + len(packet.data) == flow["next"]:
                self.send(flow["answer"])
        if packet.flags & FIN and packet.seq + len(packet.data) == flow["next"]:
            self.send(encode(FIN | ACK, key[1], key[0], flow["mine"], (flow["next"] + 1)
                             & 0xffffffff))
            del self.flows[key]

    def answer(self, key, flow, data):
        request = data.split(b"Woodladder-Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.ran.append(request)
        self.record(f"target {self.name}: ran {request}")
        body = request.encode()
        text = (f"HTTP/1.1 200 OK\r\nWoodladder-Server-Stamp: {self.id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        packet = encode(ACK, key[1], key[0], flow["mine"], flow["next"], text)
        flow["mine"] = (flow["mine"] + len(text)) & 0xffffffff
        flow["answer"] = packet
        self.send(packet)


# ---- clients

class Flow:
    """One flow of a client: it is opened, and carries one request after the other."""

    def __init__(self, client, port):
        self.client, self.port = client, port
        self.source = (client.address, port)
        self.seq, self.ack = random.getrandbits(32), 0
        self.state, self.arrived = "new", asyncio.Event()
        self.answer = None

    def send(self, flags, data=b"", seq=None, ack=None):
        packet = encode(flags, self.source, self.client.route,
                        self.seq if seq is None else seq, self.ack if ack is None else ack, data)
        self.client.send(self, packet)

    async def open(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, seq=self.seq, ack=copy)
            if await self.wait(wait):
                return self.state == "open"
        self.state = "failed"
        return False

    async def wait(self, seconds):
        self.arrived.clear()
        try:
            await asyncio.wait_for(self.arrived.wait(), seconds)
            return True
        except asyncio.TimeoutError:
            return False

    async def request(self, method="GET", deadline=2.5):
        request = f"r-{self.port}-{self.client.count}"
        self.client.count += 1
        data = (f"{method} / HTTP/1.1\r\nHost: x\r\nWoodladder-Request-Id: {request}\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        self.client.record(f"client: flow {self.port}: sends {request}")
        self.answer, end, pause = None, time.monotonic() + deadline, 0.2
        sent = self.seq
        self.seq = (self.seq + len(data)) & 0xffffffff
        while time.monotonic() < end and self.state == "open":
            self.send(ACK, data, seq=sent)
            until = min(end, time.monotonic() + pause)
            while time.monotonic() < until and self.state == "open" and self.answer is None:
                await self.wait(until - time.monotonic())
            if self.answer is not None:
                whole = self.answer.endswith(request.encode())
                self.client.record(f"client: flow {self.port}: {request} "
                                   f"{'answered' if whole else 'ANSWERED WRONGLY'}")
                return True
            pause = min(pause * 2, 1.6)
        self.client.record(f"client: flow {self.port}: {request} has no answer ({self.state})")
        return False

    def receive(self, packet, sender):
        if packet.flags & RST:
            own = packet.sum == 0
            is_near = (packet.seq - self.ack + 76800) & 0xffffffff <= 153600
            self.client.resets.append((self, self.state, own, is_near, sender, self.client.record.now()))
            self.client.record(
                f"client: flow {self.port} ({self.state}): reset from "
                f"{'the system, ' + sender[0] if own else 'a target'}, seq "
                f"{'near' if is_near else 'far from'} the last ack")
            if self.state != "open" or is_near:
                self.state = "reset"
                self.arrived.set()
            return
        if packet.flags & SYN:
            if self.state == "new":
                self.state = "open"
                self.seq = (self.seq + 1) & 0xffffffff
                self.ack = (packet.seq + 1) & 0xffffffff
                self.send(ACK)
                self.arrived.set()
            return
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xffffffff
            self.answer = packet.data
            self.send(ACK)
            self.arrived.set()


class Client:
    """Clients behind one address. The platform's routers hand their packets to an edge node
    that is in, in the clients' zone, by a hash of the flow; a zone with fewer than half of its
    nodes in uses all of them; one with none in uses the nodes of the nearest zone."""

    def __init__(self, net, route, edges, record, zone="zone-a"):
        self.net, self.route, self.edges, self.record = net, route, edges, record
        self.zone = zone
        self.address, self.flows, self.count = net.address(), {}, 0
        self.resets, self.next_port = [], 1024

    async def start(self):
        self.udp = await open_udp(self.address, self.net.datagram, self.receive)

    def receive(self, data, sender):
        packet = Packet(data)
        flow = self.flows.get(packet.destination[1])
        if flow:
            flow.receive(packet, sender)

    def send(self, flow, packet):
        own = [edge for edge in self.edges if edge.zone == self.zone]
        ready = [edge for edge in own if edge.is_in]
        if not ready:
            ready = [edge for edge in self.edges if edge.is_in] or own
        elif 2 * len(ready) < len(own):
            ready = own
        def rank(edge):
            return hashlib.sha256(f"{edge.address} {flow.source}".encode()).digest()
        self.udp.sendto(packet, (max(ready, key=rank).address, self.net.datagram))

    async def open_flow(self):
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port)
        await flow.open()
        return flow


# ---- the platform: processes, their settings, and the readiness of edge nodes

class Node:
    def __init__(self, platform, name, role, service=None, zone="zone-a"):
        self.platform, self.name, self.role, self.service = platform, name, role, service
        self.address, self.zone = platform.net.address(), zone
        self.process, self.is_in = None, False

    def settings(self):
        net, side = self.platform.net, self.role == "agent"
        seeds = ",".join(f'"{edge.address}:{net.control}"' for edge in self.platform.edges[:3])
        lines = [f'node_name = "{self.name}"', f'role = "{self.role}"',
                 f'machine_class = "{"side" if side else "edge"}"',
                 f'serves = [{chr(34) + "side" + chr(34) if side else chr(34) + "edge" + chr(34)}]',
                 f'ip = "{self.address}"', f'zone = "{self.zone}"', 'region = "region-a"',
                 f"port_range = [{net.peer},{net.peer + 1}]", f"seeds = [{seeds}]",
                 "bootstrap = true", "heartbeat_ms = 1100", 'ecmp_hash = "steady"',
                 'forwarding = "agent"',
                 'contracts = ["base","drain","config","cost","recover","flows","platform"]']
        if side:
            lines += [f'app = "{self.address}:{net.app}"', f'service = "{self.service}"']
        lines += ["[zones]", 'zone-a = "region-a"', 'zone-b = "region-a"', "[listen]",
                  f'datagram_addr = "{self.address}:{net.datagram}"',
                  f'ready = "{self.address}:{net.ready}"',
                  f'control = "{self.address}:{net.control}"']
        if side:
            lines += [f'outbound = "{self.address}:{net.outbound}"']
        lines += ["[limits]", f"cpu_share = {0.15 if side else 0.25}", "cpu_cores = 1",
                  f"memory_mb = {128 if side else 260}", "max_fds = 4096", "link_mbps = 1000.0",
                  "[bounds]", "contact_ms = 4000", "ack_ms = 5000", "drain_ms = 3000",
                  "grace_s = 6", "config_apply_ms = 3000", "rollback_slack_ms = 250",
                  "recovery_s = 12", "reorder_ms = 2000", "flow_ttl_s = 60", "[platform]",
                  f'address = "{self.platform.store_address}:{net.store}"',
                  'forwarding = "kv"', "writes_per_s = 400", "reads_per_s = 2000",
                  "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
        return "\n".join(lines) + "\n"

    async def start(self):
        path = os.path.join(self.platform.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.platform.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/woodladder-platform"), self.role, cwd=ROOT,
            env={"WOODLADDER_SETTINGS": path, "PATH": os.environ.get("PATH", "")},
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.platform.record(f"{self.name} starts")

    async def restart_as_planned(self, delay=0.5):
        """SIGTERM, SIGKILL after the grace period, and a start after a short delay."""
        self.platform.record(f"{self.name}: SIGTERM (planned)")
        self.process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.process.wait(), 6)
        except asyncio.TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        self.platform.record(f"{self.name} has ended with code {code}")
        await asyncio.sleep(delay)
        await self.start()

    async def watch_readiness(self):
        missed = 2
        while True:
            status = await call(self.address, self.platform.net.ready, "GET", "/ready", limit=0.4)
            missed = 0 if status == 200 else missed + 1
            if self.is_in != (missed < 2):
                self.is_in = missed < 2
                self.platform.record(f"{self.name} is {'in' if self.is_in else 'out'}")
            await asyncio.sleep(0.5)


class Platform:
    def __init__(self, record, edges=("zone-a", "zone-a")):
        self.record, self.net = record, Net()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.store_address = Store(record), self.net.address()
        self.edges = []
        for number, zone in enumerate(edges, 1):
            self.edges.append(Node(self, f"edge-{number}", "balancer", zone=zone))
        self.sides, self.tasks = [], []

    async def start(self):
        await self.store.start(self.store_address, self.net.store)
        for edge in self.edges:
            await edge.start()
            self.tasks.append(asyncio.create_task(edge.watch_readiness()))

    def side(self, name, service, zone="zone-a"):
        node = Node(self, name, "agent", service, zone)
        self.sides.append(node)
        return node

    async def wait_until_in(self, limit=10):
        end = time.monotonic() + limit
        while not all(edge.is_in for edge in self.edges):
            if time.monotonic() > end:
                raise RuntimeError("the edge nodes do not become ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for node in self.edges + self.sides:
            process = node.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)

    def events(self, node, names):
        """Log lines of a node with one of these event names."""
        path = os.path.join(self.folder, f"{node.name}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file
                    if any(f'"event":"{name}"' in line for name in names)]


def configuration(version, route, service):
    return {"version": version,
            "routes": [{"name": "r-1", "host": route[0], "path_prefix": f"/{route[1]}/",
                        "kind": "idempotent", "timeout_ms": 2500, "aim_ms": 250, "priority": 2,
                        "service": service, "max_attempts": 2}],
            "services": [{"name": service, "health_path": "/health", "max_conns": 2000,
                          "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
