"""Small stand-ins for the platform: store, targets, clients and routers on loopback addresses.

They follow the users' pages (PROTOCOL.md, DEPLOY.md, SYSTEM.md) and use the real clock. The
project's own programs run beside them as separate processes, with the commands of
deploy/system.toml. Only the standard library of Python is used.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST, BOUNCED = 32, 2, 128, 4, 64
RESENDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
RESET_WINDOW = 76_800
DRAIN_MS, CONTACT_MS, FLOW_TTL_S, REORDER_MS = 3000, 4000, 60, 2000
HEARTBEAT_S = 1.1
ZONES = ("tw-north-a", "tw-north-b", "tw-north-c")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, what):
        self.file.write(f"{self.now():9.3f} {what}\n")
        self.file.flush()


# ---------------------------------------------------------------- packets

def own_sum(flags, src, dst, seq, ack, data):
    ends = socket.inet_aton(src[0]) + socket.inet_aton(dst[0]) + struct.pack("!HH", src[1], dst[1])
    return zlib.crc32(b"key" + bytes([flags & ~BOUNCED]) + ends + struct.pack("!II", seq, ack) + data)


class Packet:
    def __init__(self, flags, src, dst, seq, ack, data=b"", echo=b"\0\0\0\0", total=None):
        self.flags, self.src, self.dst = flags, src, dst
        self.seq, self.ack, self.data, self.echo = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data, echo
        self.sum = own_sum(flags, src, dst, self.seq, self.ack, data) if total is None else total

    def write(self):
        return (bytes([self.flags, 0]) + socket.inet_aton(self.dst[0])
                + struct.pack("!HH", self.src[1], self.dst[1]) + socket.inet_aton(self.src[0])
                + self.echo + struct.pack("!IIIH", self.sum, self.seq, self.ack, len(self.data)) + self.data)

    @staticmethod
    def read(raw):
        if len(raw) < 32:
            return None
        sport, dport = struct.unpack("!HH", raw[6:10])
        total, seq, ack, length = struct.unpack("!IIIH", raw[18:32])
        if len(raw) != 32 + length:
            return None
        return Packet(raw[0], (socket.inet_ntoa(raw[10:14]), sport), (socket.inet_ntoa(raw[2:6]), dport),
                      seq, ack, raw[32:], raw[14:18], total)

    def is_whole(self):
        return self.sum == own_sum(self.flags, self.src, self.dst, self.seq, self.ack, self.data)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)


async def open_datagrams(address, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(receive), local_addr=address)
    return transport


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(":", 1) for line in lines[1:] if ":" in line)
    length = next((int(v) for k, v in fields.items() if k.lower() == "content-length"), 0)
    return lines[0], await reader.readexactly(length) if length else b""


async def call(address, method, path, body=None, limit=1.0):
    """One HTTP call on its own connection: (status, body), or (None, b'') without an answer."""
    async def go():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
            line, answer = await read_head(reader)
            return int(line.split()[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None, b""


async def serve_http(address, answer):
    async def connection(reader, writer):
        try:
            while True:
                line, body = await read_head(reader)
                method, target = line.split()[:2]
                path, _, query = target.partition("?")
                fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, document = await answer(method, path, fields, body)
                data = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the other side has closed, or the case ends
        finally:
            writer.close()
    return await asyncio.start_server(connection, *address)


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store: linearizable, no rate is reached, nothing is lost."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision, self.entries, self.events, self.leases, self.next_lease = 1, {}, [], {}, 1000
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve_http(self.address, self.answer)
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [n for n, (_, ends) in self.leases.items() if ends < time.monotonic()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, e in self.entries.items() if e["lease"] == lease and lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        self.revision += 1
        made = self.entries.get(key, {}).get("made", self.revision)
        entry = {"tls_key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
        self.entries[key] = entry
        self.events.append(dict(entry))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"tls_key": key, "revision": self.revision, "gone": True})
            async with self.changed:
                self.changed.notify_all()

    async def configure(self, document):
        """The operator writes a configuration; the return of this call is its acknowledgement."""
        await self.put("op/config", base64.b64encode(json.dumps(document).encode()).decode())
        self.record.add(f"operator: configuration version {document['version']} acknowledged")

    async def answer(self, method, path, query, body):
        await asyncio.sleep(0.004)
        prefix = query.get("path_prefix", "")
        if (method, path) == ("GET", "/kv-key"):
            entry = self.entries.get(query.get("tls_key", ""))
            return (200, entry | {"at": self.revision}) if entry else (404, {"at": self.revision})
        if (method, path) == ("GET", "/kv-range"):
            keys = sorted(k for k in self.entries if k.startswith(prefix) and k > query.get("after", ""))
            return 200, {"items": [self.entries[k] for k in keys[:500]], "more": len(keys) > 500, "at": self.revision}
        if (method, path) == ("GET", "/kv-watch"):
            after, ends = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > after and e["tls_key"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if (method, path) == ("POST", "/kv-lease"):
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if (method, path) == ("POST", "/kv-txn"):
            return await self.transaction(json.loads(body))
        return 404, {}

    async def transaction(self, body):
        expected, puts, removes = body.get("expected_rev", []), body.get("put", []), body.get("remove", [])
        if any(k.startswith(("op/", "servers/")) for k in [p["tls_key"] for p in puts] + removes):
            return 403, {}
        if any(self.entries.get(row["tls_key"], {}).get("revision", 0) != row["revision"] for row in expected):
            items = [self.entries.get(row["tls_key"], {"tls_key": row["tls_key"], "revision": 0}) for row in expected]
            return 412, {"items": items}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for p in puts:
            await self.put(p["tls_key"], p["value"], p.get("lease", 0))
        for key in removes:
            await self.remove(key)
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- target

class TargetFlow:
    def __init__(self, seq):
        self.isn = random.getrandbits(32)
        self.state, self.awaited, self.sent = "half", (seq + 1) & 0xFFFFFFFF, (self.isn + 1) & 0xFFFFFFFF
        self.buffer, self.pending, self.opened_at, self.touched_at = b"", [], None, time.monotonic()
        self.fin_sent = False


class Target:
    """A target of one service beside its agent: flows, requests, heartbeats, health."""

    def __init__(self, site, machine, service, work_s=0.02):
        self.site, self.machine, self.service, self.work_s = site, machine, service, work_s
        self.name = f"i-{random.getrandbits(32):08x}"
        self.flows, self.tombs, self.state, self.seq, self.ended = {}, {}, "ready", 0, False
        self.beats, self.born, self.left_at = None, time.monotonic(), None
        self.opened = []

    async def start(self):
        site = self.site
        self.socket = await open_datagrams(site.at(self.machine, "app"), self.receive)
        self.health = await serve_http(site.at(self.machine, "app"), self.answer_health)
        site.record.add(f"target {self.name} ({self.service}) starts on machine {self.machine}")
        self.beats = asyncio.ensure_future(self.beat())

    async def answer_health(self, method, path, query, body):
        return (200 if self.state == "ready" else 503), {}

    def document(self):
        self.seq += 1
        warm = max(0, int(2000 - (time.monotonic() - self.born) * 1000))
        app = "%s:%d" % self.site.at(self.machine, "app")
        return {"service": self.service, "address": app, "zone": self.site.zone_of(self.machine), "version": "v1",
                "capacity": 7, "state": self.state, "warmup_left_ms": warm, "seq": self.seq}

    async def send_beat(self, document):
        status, _ = await call(self.site.at(self.machine, "control"), "PUT", f"/instances/{self.name}", document)
        self.site.record.add(f"target {self.name}: heartbeat {document['seq']} ({document['state']}) answered {status}")
        return status is not None and 200 <= status < 300

    async def beat(self):
        while not self.ended:
            await self.send_beat(self.document())
            await asyncio.sleep(HEARTBEAT_S)

    def end(self):
        self.ended = True
        if self.beats:
            self.beats.cancel()
        self.socket.close()
        self.health.close()
        self.site.record.add(f"target {self.name} ends")

    def send(self, packet):
        if not self.ended:
            self.socket.sendto(packet.write(), self.site.at(self.machine, "outbound"))

    def reply(self, key, flags, seq, ack, data=b""):
        self.send(Packet(flags, key[1], key[0], seq, ack, data))

    def receive(self, raw, _addr):
        packet = Packet.read(raw)
        if packet is None or self.ended:
            return
        if not packet.is_whole():
            self.site.break_rule("UNASKED", f"a changed packet reaches {self.name}")
            return
        key = (packet.src, packet.dst)
        if packet.flags & SYN:
            return self.accept(key, packet)
        flow = self.flows.get(key)
        if flow is None and key in self.tombs:
            if packet.flags & FIN:
                self.reply(key, ACK, self.tombs[key], packet.seq + 1)
            elif packet.data:
                self.reply(key, RST, self.tombs[key], packet.seq + len(packet.data))
            return
        if flow is None or (flow.state == "half" and packet.ack != flow.sent):
            packet.flags |= BOUNCED
            return self.send(packet)
        flow.touched_at = time.monotonic()
        if packet.flags & RST:
            return self.drop(key, flow)
        if flow.state == "half":
            flow.state, flow.opened_at = "open", time.monotonic()
            self.site.record.add(f"target {self.name}: flow {show(key)} is open")
        while flow.pending and (packet.ack - flow.pending[0].seq - len(flow.pending[0].data)
                                - (1 if flow.pending[0].flags & FIN else 0)) & 0xFFFFFFFF < 1 << 31:
            flow.pending.pop(0)
        if packet.data:
            if packet.seq == flow.awaited:
                flow.awaited = (flow.awaited + len(packet.data)) & 0xFFFFFFFF
                flow.buffer += packet.data
                self.take_requests(key, flow)
            self.reply(key, ACK, flow.sent, flow.awaited)
        if packet.flags & FIN and packet.seq == flow.awaited:
            flow.awaited = (flow.awaited + 1) & 0xFFFFFFFF
            self.reply(key, ACK, flow.sent, flow.awaited)
            if not flow.fin_sent:
                self.reply(key, FIN | ACK, flow.sent, flow.awaited)
            self.tombs[key] = flow.sent + 1
            self.drop(key, flow)

    def accept(self, key, packet):
        flow = self.flows.get(key)
        if flow is None or (flow.awaited != (packet.seq + 1) & 0xFFFFFFFF and flow.state == "half"):
            flow = self.flows[key] = TargetFlow(packet.seq)
            self.opened.append((time.monotonic(), key, packet.ack))
            self.site.record.add(f"target {self.name}: takes opening {show(key)} copy {packet.ack}")
            self.site.on_opening(self, key, packet)
        self.reply(key, SYN | ACK, flow.isn, flow.awaited)

    def drop(self, key, flow):
        flow.state = "closed"
        self.flows.pop(key, None)

    def take_requests(self, key, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
            length = int(fields.get("content-length", 0))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            request = fields.get("woodladder-request-id", "")
            self.site.record.add(f"target {self.name}: runs {request} on {show(key)}")
            self.site.on_run(self, request, lines[0])
            asyncio.ensure_future(self.work(key, flow, request))

    async def work(self, key, flow, request):
        await asyncio.sleep(self.work_s)
        if self.ended or flow.state != "open":
            return
        body = f"answer to {request}".encode()
        head = (f"HTTP/1.1 200 OK\r\nWoodladder-Server-Stamp: {self.name}\r\nWoodladder-Instance-Id: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        self.push(key, flow, ACK, head + body)
        if self.state == "draining":
            flow.fin_sent = True
            self.push(key, flow, FIN | ACK, b"")

    def push(self, key, flow, flags, data):
        packet = Packet(flags, key[1], key[0], flow.sent, flow.awaited, data)
        flow.sent = (flow.sent + len(data) + (1 if flags & FIN else 0)) & 0xFFFFFFFF
        flow.pending.append(packet)
        self.send(packet)
        asyncio.ensure_future(self.resend(flow, packet))

    async def resend(self, flow, packet):
        for pause in RESENDS:
            await asyncio.sleep(pause)
            if self.ended or packet not in flow.pending:
                return
            self.send(packet)

    async def deregister(self):
        """Says DELETE /instances/ID; returns whether it was acknowledged."""
        status, _ = await call(self.site.at(self.machine, "control"), "DELETE", f"/instances/{self.name}")
        self.site.record.add(f"target {self.name}: DELETE answered {status}")
        if status is not None and 200 <= status < 300 and self.left_at is None:
            self.left_at = time.monotonic()
        return self.left_at is not None


def show(key):
    return f"{key[0][0]}:{key[0][1]}>{key[1][0]}:{key[1][1]}"


# ---------------------------------------------------------------- client

class ClientFlow:
    def __init__(self, client, port, route):
        self.client, self.key = client, ((client.address[0], port), route)
        self.inbox, self.seq, self.awaited, self.is_open, self.is_reset = asyncio.Queue(), 0, 0, False, False
        self.was_reset = False

    def send(self, flags, seq, ack, data=b""):
        self.client.send(self.key, Packet(flags, self.key[0], self.key[1], seq, ack, data))

    def takes_reset(self, packet):
        distance = (packet.seq - self.awaited) & 0xFFFFFFFF
        return not self.is_open or min(distance, (1 << 32) - distance) <= RESET_WINDOW

    async def next(self, until):
        left = until - time.monotonic()
        if left <= 0:
            return None
        try:
            return await asyncio.wait_for(self.inbox.get(), left)
        except asyncio.TimeoutError:
            return None

    async def open(self):
        first, began = random.getrandbits(31), time.monotonic()
        for copy, ends in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, first, copy)
            self.client.site.record.add(f"client: SYN {show(self.key)} copy {copy}")
            while (packet := await self.next(began + ends)) is not None:
                if packet.flags & RST:
                    self.is_reset = True
                    return False
                if packet.flags & SYN and packet.flags & ACK:
                    self.seq, self.awaited, self.is_open = (first + 1) & 0xFFFFFFFF, (packet.seq + 1) & 0xFFFFFFFF, True
                    return True
        return False

    async def ask(self, request, deadline_s=2.5, method="GET", body=b""):
        """One request: its status, 'reset', or None at the deadline."""
        until = time.monotonic() + deadline_s
        data = (f"{method} / HTTP/1.1\r\nHost: x\r\nWoodladder-Request-Id: {request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.client.site.record.add(f"client: {request} sent on {show(self.key)}")
        start, self.seq = self.seq, (self.seq + len(data)) & 0xFFFFFFFF
        answer, resends, due = b"", list(RESENDS), time.monotonic()
        is_acked = False
        while time.monotonic() < until:
            if not is_acked and time.monotonic() >= due:
                self.send(ACK, start, self.awaited, data)
                due = time.monotonic() + (resends.pop(0) if resends else 1.6)
            packet = await self.next(min(until, due) if not is_acked else until)
            if packet is None:
                continue
            if packet.flags & RST:
                self.is_open, self.is_reset = False, True
                return "reset"
            is_acked |= packet.ack == self.seq
            if packet.data:
                if packet.seq == self.awaited:
                    self.awaited = (self.awaited + len(packet.data)) & 0xFFFFFFFF
                    answer += packet.data
                self.send(ACK, self.seq, self.awaited)
            head, found, rest = answer.partition(b"\r\n\r\n")
            if found:
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                if len(rest) >= length:
                    if rest != f"answer to {request}".encode() or b"Woodladder-Server-Stamp" not in head:
                        self.client.site.break_rule("MIXED", f"{request} got {rest[:60]!r}")
                    return int(head.split()[1])
        return None

    async def close(self):
        if not self.is_open:
            return
        self.is_open = False
        for pause in RESENDS[:4]:
            self.send(FIN | ACK, self.seq, self.awaited)
            until, closed = time.monotonic() + pause, False
            while (packet := await self.next(until)) is not None:
                if packet.flags & (FIN | RST):
                    self.send(ACK, self.seq + 1, packet.seq + 1)
                    closed = True
                    break
            if closed:
                break
        self.client.flows.pop(self.key[0][1], None)


class Client:
    """One client machine: opens flows from new ports, through the routers' choice."""

    def __init__(self, site, machine):
        self.site, self.address = site, site.at(machine, "datagram")
        self.flows, self.next_port, self.resets = {}, 1024, []

    async def start(self):
        self.socket = await open_datagrams(self.address, self.receive)

    def flow(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(self, self.next_port, route)
        return flow

    def send(self, key, packet):
        balancer = self.site.choose(key)
        if balancer is not None:
            self.socket.sendto(packet.write(), balancer)

    def receive(self, raw, addr):
        packet = Packet.read(raw)
        if packet is None:
            return
        flow = self.flows.get(packet.dst[1])
        key = (packet.dst, packet.src)
        if packet.flags & RST and packet.sum == 0:
            if flow is None or flow.was_reset or not flow.takes_reset(packet):
                return
            flow.was_reset = True  # a client that has taken a reset has no such flow any more
            self.site.record.add(f"client: RST of the system on {show(key)} from {addr[0]}")
            self.site.on_reset(key, addr[0])
        elif not packet.is_whole():
            return self.site.break_rule("MIXED", f"a changed packet reaches a client on {show(key)}")
        if flow is not None:
            flow.inbox.put_nowait(packet)


# ---------------------------------------------------------------- the site

class Site:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="woodladder-review-"))
        self.processes, self.targets, self.balancers, self.ready, self.broken = {}, {}, [], {}, []
        self.started = {}
        self.opening_hooks, self.run_hooks, self.reset_hooks, self.services = [], [], [], {}
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.take_addresses()

    def take_addresses(self):
        names = ("datagram", "ready", "control", "outbound", "app", "store", "peer")
        for _ in range(50):
            self.base = f"127.{random.randint(16, 239)}.{random.randint(1, 254)}"
            first = random.randint(10_000, 28_000)
            self.ports = {name: first + index for index, name in enumerate(names)}
            if all(self.is_free((f"{self.base}.1", port)) for port in self.ports.values()):
                return
        raise CannotRun("no free ports")

    @staticmethod
    def is_free(address):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(address)
                except OSError:
                    return False
        return True

    def at(self, machine, name):
        return f"{self.base}.{machine}", self.ports[name]

    @staticmethod
    def zone_of(machine):
        return ZONES[machine % len(ZONES)]

    def text(self, machine, name):
        return "%s:%d" % self.at(machine, name)

    def settings(self, machine, role):
        """The settings file of a process, with the fields and values of the users' pages."""
        kind = self.deploy["roles"][role]["on"]
        is_side = kind == "side"
        cores, memory, fds = (0.15, 128, 4096) if is_side else (0.25, 260, 4100)
        own = f'app = "{self.text(machine, "app")}"\nservice = "{self.services[machine]}"\n' if is_side else ""
        outbound = f'outbound = "{self.text(machine, "outbound")}"\n' if is_side else ""
        seeds = ", ".join(f'"{self.text(n, "control")}"' for n in self.balancers[:3])
        zones = "".join(f'{zone} = "tw-north"\n' for zone in ZONES)
        return (
            f'node_name = "{kind}-{machine}"\nrole = "{role}"\nmachine_class = "{kind}"\n'
            f'serves = {json.dumps(self.deploy["roles"][role]["serves"])}\nip = "{self.base}.{machine}"\n'
            f'zone = "{self.zone_of(machine)}"\nregion = "tw-north"\n'
            f'port_range = [{self.ports["peer"]},{self.ports["peer"] + 15}]\nseeds = [{seeds}]\n'
            f'bootstrap = true\nin_tolerance = false\ndiscovery = "local"\nentry_kind = "bgp"\nheartbeat_ms = 1100\n'
            f'contracts = ["base","drain","config","cost","recover","flows","platform"]\n'
            f'ecmp_hash = "steady"\nforwarding = "agent"\n{own}[zones]\n{zones}'
            f'[listen]\ndatagram_addr = "{self.text(machine, "datagram")}"\n{outbound}'
            f'ready = "{self.text(machine, "ready")}"\ncontrol = "{self.text(machine, "control")}"\n'
            f'[limits]\ncpu_share = {cores}\ncpu_cores = 1\nmemory_mb = {memory}\nmax_fds = {fds}\n'
            f'link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n'
            f'[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n'
            f'drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n'
            f'skew_max_ms = 12000\nrecovery_s = 12\nreorder_ms = 2000\nflow_ttl_s = 60\n'
            f'[platform]\naddress = "{self.text(1, "store")}"\nforwarding = "kv"\nwrites_per_s = 400\n'
            f'reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n')

    def start_process(self, machine, role):
        path = self.folder / f"settings-{machine}.toml"
        path.write_text(self.settings(machine, role))
        words = self.deploy["roles"][role]["run"].split(" ")
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        with open(self.folder / f"log-{machine}.txt", "ab") as log:
            self.processes[machine] = subprocess.Popen(
                [str(ROOT / words[0]), *words[1:]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "WOODLADDER_SETTINGS": str(path)})
        self.started[machine] = time.monotonic()
        self.record.add(f"{role} on machine {machine} starts")

    async def stop_process(self, machine, with_signal=signal.SIGTERM, grace_s=6.0):
        """Ends a process as the platform does; returns once it has ended."""
        process = self.processes.pop(machine)
        process.send_signal(with_signal)
        self.record.add(f"machine {machine}: {with_signal.name}")
        ends = time.monotonic() + grace_s
        while process.poll() is None:
            if time.monotonic() > ends:
                process.kill()
            await asyncio.sleep(0.01)
        self.record.add(f"machine {machine}: ended with {process.returncode}")

    async def start(self, balancers, targets, config):
        """Starts store, processes and targets, and waits until the routers have balancers."""
        self.balancers = balancers
        self.services.update(targets)
        self.store = Store(self.at(1, "store"), self.record)
        await self.store.start()
        await self.store.configure(config)
        for machine in balancers:
            self.start_process(machine, "balancer")
            self.ready[machine] = 0
        for machine in targets:
            self.start_process(machine, "agent")
        await asyncio.sleep(0.3)
        for machine, service in targets.items():
            await self.start_target(machine, service)
        self.prober = asyncio.ensure_future(self.probe())
        ends = time.monotonic() + 12
        while sum(misses < 2 and misses >= 0 for misses in self.ready.values()) < len(balancers) or not self.probed:
            if time.monotonic() > ends:
                raise CannotRun("the balancers were not ready within 12 s")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)

    probed = False

    async def start_target(self, machine, service):
        target = self.targets[machine] = Target(self, machine, service)
        await target.start()
        return target

    async def probe(self):
        """The routers ask each balancer twice a second; two misses take it out."""
        for machine in self.ready:
            self.ready[machine] = 2
        while True:
            for machine in self.ready:
                status, _ = await call(self.at(machine, "ready"), "GET", "/ready", limit=0.4)
                misses = 0 if status == 200 else self.ready[machine] + 1
                if (misses < 2) != (self.ready[machine] < 2):
                    self.record.add(f"routers: machine {machine} is {'in' if misses < 2 else 'out'}")
                self.ready[machine] = misses
            self.probed = True
            await asyncio.sleep(0.5)

    def choose(self, key):
        """The balancer that takes a flow's packets: a steady hash over those that are in."""
        members = [m for m, misses in self.ready.items() if misses < 2] or list(self.ready)
        chosen = max(members, key=lambda m: zlib.crc32(f"{show(key)}/{m}".encode()))
        return self.at(chosen, "datagram")

    def holder(self, key):
        """The living target that holds a flow open, and the flow."""
        for target in self.targets.values():
            flow = target.flows.get(key)
            if flow is not None and flow.state == "open" and not target.ended:
                return target, flow
        return None, None

    @staticmethod
    def is_excused(flow, idle_timeout_ms=15_000):
        """Whether FLOW leaves a flow out: idle for longer than idle_timeout_ms, or older than flow_ttl_s."""
        now = time.monotonic()
        return (now - flow.touched_at) * 1000 > idle_timeout_ms or now - flow.opened_at > FLOW_TTL_S

    def in_touch(self, machine):
        """Whether a machine's process has run for contact_ms; the cases do nothing else to machines."""
        process = self.processes.get(machine)
        runs = process is not None and process.poll() is None
        return runs and (time.monotonic() - self.started[machine]) * 1000 > CONTACT_MS

    def on_opening(self, target, key, packet):
        for hook in self.opening_hooks:
            hook(target, key, packet)

    def on_run(self, target, request, line):
        for hook in self.run_hooks:
            hook(target, request, line)

    def on_reset(self, key, sender):
        for hook in self.reset_hooks:
            hook(key, sender)

    def break_rule(self, rule, what):
        self.record.add(f"BROKEN {rule}: {what}")
        self.broken.append(f"{rule}: {what}")

    def check_processes(self):
        for machine, process in self.processes.items():
            if process.poll() is not None:
                self.break_rule("Fault", f"the process on machine {machine} ended by itself with {process.returncode}")

    def end(self):
        for target in self.targets.values():
            if not target.ended:
                target.end()
        for process in self.processes.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.add(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, idle_timeout_ms=15_000):
    """A configuration like that of the users' example: rows of (name, address, port, service, kind)."""
    return {
        "version": version,
        "routes": [{"name": n, "host": h, "path_prefix": f"/{p}/", "service": s, "kind": k, "timeout_ms": 2500,
                    "aim_ms": 250, "priority": 1, "max_attempts": 2} for n, h, p, s, k in routes],
        "services": [{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
                     for s in ("kitchen", "print")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms},
    }


def play(case_folder, case):
    """Plays `case(site, trouble)`; exits with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        site, code = None, 2
        try:
            site = Site(case_folder)
            # Whatever a task does, the script and its processes have ended by then.
            loop.call_later(116, leave, site, 2)
            site.record.add(f"TROUBLE={int(trouble)}")
            await asyncio.wait_for(case(site, trouble), 110)
            site.check_processes()
            code = 1 if site.broken else 0
        except (Exception, asyncio.CancelledError) as error:
            # Only a broken rule may exit with 1, as an uncaught error of Python would.
            print(f"could not run: {error!r}")
        leave(site, code)

    asyncio.run(run())


def leave(site, code):
    """Ends the processes and the script, without waiting for tasks that are still there."""
    if site is not None:
        site.end()
        for line in site.broken[:20]:
            print(f"broken: {line}")
        if code != 2:
            print(f"{len(site.broken)} breaks" if site.broken else "the rules held")
        site.record.add(f"{len(site.broken)} breaks, exit code {code}")
    sys.stdout.flush()
    os._exit(code)
