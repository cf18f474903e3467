"""Stand-ins of the platform's store, of servers and of clients, as the users' pages describe them, and a helper that starts gateways.

Everything runs in one asyncio loop on loopback addresses. The gateways are separate processes, started with the command of
deploy/system.toml and settings rendered from deploy/settings.template.toml.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.4f} {text}\n")


class Ended(Exception):
    """The other side closed its connection before a message was complete."""


async def read_head(reader):
    """The first line and the fields of a message, whose names are in lower case. None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Ended("in a head") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, ends_with_connection=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            length = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(length + 2))[:length]
            if length == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if ends_with_connection else b""


def message(first_line, fields, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    return head.encode("latin-1") + body


def close(writer):
    try:
        writer.close()
    except Exception:  # the connection has ended already
        pass


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}


def answer(status, fields, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS[status]}", {**fields, "Content-Length": str(len(body))}, body)


class Store:
    """The platform's metadata store. Each machine has an address of its own for it, so that faults can hit single machines."""

    HISTORY_SECONDS = 20

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.listeners = []
        self.connections = {}
        # Per machine: "", "busy" (503), "silent", "reset"
        self.fault = {}
        self.delay = 0.004
        # Age of what a call with `serializable` = 1 gets, in seconds.
        self.relaxed_lag = 0.0
        self.log = []
        self.calls = {"relaxed": 0, "linearizable": 0}
        self.on_write = None

    def touch(self, kind, name, removed):
        self.revision += 1
        entry = self.objects[kind][name]
        entry["metadata"]["revision"] = self.revision
        self.events.append((self.revision, time.monotonic(), kind, json.loads(json.dumps(entry)), removed))
        self.log.append(self.events[-1])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        """A write of the operator or of a server. Its return is the acknowledgement."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        if known is None:
            known = {"metadata": {"name": name, "revision": 0, "created": int(time.time()), "finalizers": [], "deleting": False},
                     "spec": None, "status": None}
            self.objects[kind][name] = known
        known["spec"] = json.loads(json.dumps(spec))
        self.touch(kind, name, False)

    def remove(self, kind, name):
        if name in self.objects.get(kind, {}):
            self.touch(kind, name, True)
            del self.objects[kind][name]

    async def listen(self, machine, address="127.0.0.1"):
        async def serve(reader, writer):
            self.connections.setdefault(machine, set()).add(writer)
            try:
                await self.serve(machine, reader, writer)
            except (Ended, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            finally:
                self.connections[machine].discard(writer)
                close(writer)

        server = await asyncio.start_server(serve, address, 0)
        self.listeners.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, machine, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            fault = self.fault.get(machine, "")
            if fault == "silent":
                await asyncio.sleep(3600)
            if fault == "reset":
                reset(writer)
                return
            await asyncio.sleep(self.delay)
            if fault == "busy":
                status, result = 503, {}
            else:
                status, result = await self.call(machine, method, target, body, writer)
            if self.fault.get(machine, "") in ("silent",):
                await asyncio.sleep(3600)
            writer.write(answer(status, {"Content-Type": "application/json"}, json.dumps(result).encode()))
            await writer.drain()

    async def call(self, machine, method, target, body, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        if not url.path.startswith("/v1/objects/") or not parts:
            return 404, {}
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        held = self.objects.setdefault(kind, {})
        is_relaxed = method == "GET" and query.get("serializable") == "1"
        self.calls["relaxed" if is_relaxed else "linearizable"] += 1
        lag = self.relaxed_lag if is_relaxed else 0.0
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000, lag, writer)
        if method == "GET" and name is None:
            shown, revision = self.view(kind, lag)
            names = sorted(n for n in shown if n > query.get("after", ""))
            return 200, {"items": [shown[n] for n in names[:500]], "more": len(names) > 500, "storeRevision": revision}
        if name not in held and method != "POST":
            return 404, {}
        if method == "GET":
            return 200, held[name]
        sent = json.loads(body) if body else {}
        if method == "PUT":
            revision = sent.get("metadata", {}).get("revision", query.get("revision"))
            if revision is not None and int(revision) != held[name]["metadata"]["revision"]:
                return 409, held[name]
            part = "status" if parts[2:] == ["status"] else "spec"
            changed = held[name][part] != sent.get(part)
            held[name][part] = sent.get(part)
            if changed:
                self.touch(kind, name, False)
            if self.on_write:
                self.on_write(machine, kind, name, part, sent.get(part))
            return 200, held[name]
        return 400, {}

    def view(self, kind, lag):
        """The objects of a kind and the store's revision, as they were `lag` seconds ago."""
        if lag == 0:
            return self.objects.get(kind, {}), self.revision
        shown, revision = {}, 1
        for event in self.log:
            if event[1] > time.monotonic() - lag:
                break
            revision = event[0]
            if event[2] == kind and event[4]:
                shown.pop(event[3]["metadata"]["name"], None)
            elif event[2] == kind:
                shown[event[3]["metadata"]["name"]] = event[3]
        return shown, revision

    async def watch(self, kind, after, wait, lag, writer):
        until = time.monotonic() + wait
        while True:
            seen = time.monotonic() - lag
            revision = max([1] + [event[0] for event in self.log if event[1] <= seen])
            self.events = [e for e in self.events if time.monotonic() - e[1] < self.HISTORY_SECONDS]
            oldest = self.events[0][0] if self.events else self.revision + 1
            if after < oldest - 1 and after < self.revision:
                return 410, {}
            events = [{"object": e[3], "removed": e[4]} for e in self.events if e[2] == kind and e[0] > after and e[1] <= seen]
            left = until - time.monotonic()
            if events or left <= 0 or writer.is_closing():
                return 200, {"events": events, "storeRevision": revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.01) if lag else left)
            except asyncio.TimeoutError:
                pass


class Server:
    """One server. `on_request(server, request)` may take over the answer; it returns None for the ordinary one."""

    def __init__(self, store, record, name, service, zone, version="v1", slots=6, work=0.05, cold_until=0.0):
        self.store, self.record, self.name, self.service, self.zone, self.version = store, record, name, service, zone, version
        self.slots, self.work = slots, work
        self.queue = 2 * slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        # In the time of time.monotonic().
        self.cold_until = cold_until
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.address = None
        self.on_request = None
        self.on_health = None
        self.leaving = False
        self.arrived = []
        self.started = []
        self.connections = set()
        self.listener = None

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    def cold_left(self):
        return max(0.0, self.cold_until - time.monotonic())

    def entry(self):
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": self.version, "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.sequence, "coldLeftS": round(self.cold_left(), 3)}}

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.name, self.entry())

    async def listen(self, address="127.0.0.1", port=0, register=True):
        self.listener = await asyncio.start_server(self.accept, address, port, backlog=1024)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        if register:
            self.register()

    def crash(self):
        """Ends the server: every connection is reset and its port has no listener."""
        self.listener.close()
        for writer in list(self.connections):
            reset(writer)

    async def accept(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (Ended, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            close(writer)

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            if "attempt-id" not in head[1]:
                await read_body(reader, head[1])
                writer.write(self.health())
                await writer.drain()
                continue
            if not await self.handle(method, target, head[1], reader, writer):
                return

    def health(self):
        if self.on_health:
            custom = self.on_health(self)
            if custom is not None:
                return custom
        fields = {"Instance-Id": self.name, "Server-Load": self.load()}
        if self.cold_left() > 0:
            fields["Cold-Remaining-Ms"] = str(int(self.cold_left() * 1000))
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return answer(503 if self.leaving else 200, fields)

    async def handle(self, method, target, fields, reader, writer):
        attempt = fields["attempt-id"]
        base = {"Attempt-Id": attempt, "Server-Load": self.load()}
        if self.leaving:
            base["Server-Leaving"] = "1"
        body = await read_body(reader, fields)
        self.arrived.append((now(), attempt))
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(answer(421, {**base, "Instance-Id": self.name, "Not-Executed": "1"}))
            await writer.drain()
            return True
        self.record.add(f"server {self.name} receives {method} {target} {attempt} with {len(body)} bytes, deadline {fields.get('deadline-remaining')}")
        if self.on_request:
            done = await self.on_request(self, method, target, fields, body, base, writer)
            if done is not None:
                return done
        if self.waiting >= self.queue and self.slot.locked():
            writer.write(answer(503, {**base, "Not-Executed": "1"}))
            await writer.drain()
            return True
        await self.run(attempt, self.work)
        whole = answer(200, {**base, "Server-Load": self.load(), "Response-Stamp": f"{self.name}.{attempt}"},
                       f"{self.name} {attempt}\n".encode())
        # An answer to HEAD states the length of the body and has none.
        writer.write(whole[:whole.index(b"\r\n\r\n") + 4] if method == "HEAD" else whole)
        await writer.drain()
        return True

    async def run(self, attempt, seconds):
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            self.started.append((now(), attempt))
            self.record.add(f"server {self.name} runs {attempt}")
            try:
                await asyncio.sleep(seconds)
            finally:
                self.running -= 1


def free_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def render(template, values):
    """Fills the placeholders that deploy/settings.template.toml uses."""
    def section(match):
        items = values[match.group(1)]
        return "".join(match.group(2).replace("{{.}}", str(item)).replace("{{,}}", "," if number + 1 < len(items) else "")
                       for number, item in enumerate(items))

    text = re.sub(r"\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([a-zA-Z.]+)\}\}", lambda match: str(values[match.group(1)]), text)


class Gateway:
    """One instance, as a process of its own."""

    command = None

    def __init__(self, world, number, zone, bounds=None):
        self.world, self.name, self.zone = world, f"front-{zone}-{number}", zone
        self.ip = f"127.0.{1 + number // 200}.{1 + number % 200}"
        self.process = None
        self.exits = []
        self.starts = 0
        self.settings = os.path.join(world.folder, self.name + ".toml")
        self.bounds = {"graceS": 6, "retryBudget": 0.2, "budgetExtra": 64, "budgetWindowS": 10, "exposeShare": 0.1, "exposeSlack": 50}
        self.bounds.update(bounds or {})
        self.store_address = None

    def front(self):
        return self.ip, self.world.ports["front"]

    def ready(self):
        return self.ip, self.world.ports["ready"]

    async def prepare(self):
        self.store_address = await self.world.store.listen(self.name)

    def write_settings(self, seeds):
        ports = self.world.ports
        values = {"node": self.name, "zone": self.zone, "ip": self.ip, "listen.front": f"{self.ip}:{ports['front']}",
                  "listen.ready": f"{self.ip}:{ports['ready']}", "listen.control": f"{self.ip}:{ports['control']}",
                  "limits.maxFds": 4100, "limits.linkMbps": 1000.0, "platform.address": self.store_address, "platform.historyS": 20,
                  "seeds": seeds, **{f"bounds.{name}": value for name, value in self.bounds.items()}}
        with open(os.path.join(REPOSITORY, "deploy", "settings.template.toml"), encoding="utf-8") as file:
            text = render(file.read(), values)
        # The template listens for metrics on a fixed port, which another process may use on this machine.
        text = text.replace(f'"{self.ip}:9100"', f'"{self.ip}:{ports["metrics"]}"')
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
            words = re.search(r'\[roles\.entry\]\s+run = "([^"]*)"', file.read()).group(1).split(" ")
        words[words.index("--settings") + 1] = self.settings
        words[0] = os.path.join(REPOSITORY, words[0])
        log = open(os.path.join(self.world.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "BRIARBEND_NODE_FILE": self.settings})
        log.close()
        self.world.record.add(f"gateway {self.name} starts as process {self.process.pid}")
        asyncio.ensure_future(self.note_exit(self.process))

    async def note_exit(self, process):
        code = await process.wait()
        self.exits.append((now(), code))
        self.world.record.add(f"gateway {self.name} process {process.pid} ends with {code}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.world.record.add(f"gateway {self.name} gets signal {signal.Signals(number).name}")
            self.process.send_signal(number)

    def log(self, needle=""):
        lines = []
        for start in range(self.starts):
            with open(os.path.join(self.world.folder, f"{self.name}.{start}.log"), encoding="utf-8", errors="replace") as file:
                lines += [line for line in file if needle in line]
        return lines


class World:
    """A store, servers and gateways of one small deployment."""

    def __init__(self, folder, machines):
        self.case = folder
        self.folder = tempfile.mkdtemp(prefix="briarbend-review-")
        self.record = Record(folder)
        self.store = Store()
        self.ports = {}
        taken = set()
        for use in ("front", "ready", "control", "metrics"):
            port = free_port("0.0.0.0")
            while port in taken:
                port = free_port("0.0.0.0")
            taken.add(port)
            self.ports[use] = port
        self.gateways = [Gateway(self, number, zone) for number, zone in enumerate(machines)]
        self.servers = []

    async def add_server(self, name, service, zone, **options):
        server = Server(self.store, self.record, name, service, zone, **options)
        await server.listen()
        self.servers.append(server)
        return server

    def configure(self, version, routes, services, limits=None):
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": {name: {"healthPath": "/healthz", "maxConns": 260, "protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": 7.8,
                                **options} for name, options in services.items()},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15, **(limits or {})}})

    async def start(self):
        seeds = [f"{gateway.ip}:{self.ports['control']}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.prepare()
            gateway.write_settings(seeds)
        for gateway in self.gateways:
            await gateway.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        for gateway in self.gateways:
            while now() < until:
                if await is_ready(gateway):
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{gateway.name} isn't ready")

    async def end(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()
        self.record.write()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


async def is_ready(gateway):
    try:
        reader, writer = await asyncio.open_connection(*gateway.ready())
        writer.write(message("GET /health/ready HTTP/1.1", {"Host": "ready", "Connection": "close"}))
        head = await asyncio.wait_for(read_head(reader), 1)
        close(writer)
        return head is not None and " 200 " in head[0]
    except (OSError, Ended, asyncio.TimeoutError):
        return False


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Client:
    """One connection of a client."""

    count = 0

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = self.writer = None

    @classmethod
    def attempt_id(cls):
        Client.count += 1
        return f"{Client.count:016x}"

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.gateway.front()), 1)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send(self, method, host, path, deadline_ms, body=b"", attempt=None, fields=None):
        attempt = attempt or self.attempt_id()
        head = {"Host": host, "Attempt-Id": attempt, "Deadline-Remaining": str(deadline_ms), **(fields or {})}
        if body or method in ("POST", "PUT"):
            head["Content-Length"] = str(len(body))
        self.gateway.world.record.add(f"client sends {method} {path} {attempt} to {self.gateway.name}")
        self.writer.write(message(f"{method} {path} HTTP/1.1", head, body))
        await self.writer.drain()
        return attempt

    async def receive(self, attempt, seconds):
        """The answer; None if the connection ended or was reset without a complete one, or nothing came in time."""
        record = self.gateway.world.record
        try:
            head = await asyncio.wait_for(read_head(self.reader), seconds)
            if head is None:
                record.add(f"client sees the connection end without an answer to {attempt}")
                return None
            body = await asyncio.wait_for(read_body(self.reader, head[1], True), seconds)
        except (Ended, OSError, asyncio.IncompleteReadError) as error:
            record.add(f"client sees the connection break without a complete answer to {attempt}: {type(error).__name__}")
            return None
        except asyncio.TimeoutError:
            record.add(f"client has no answer to {attempt} after {seconds} s")
            return None
        status = int(head[0].split(" ")[1])
        record.add(f"client gets {status} for {attempt}, named {head[1].get('attempt-id')}, stamp {head[1].get('response-stamp')}")
        return Answer(status, head[1], body)

    def close(self):
        if self.writer is not None:
            close(self.writer)


def main(case):
    """Runs a case: `case(world_folder, trouble)` returns the number of breaks. Exit code 1: broken, 0: held, 2: could not run."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        return await asyncio.wait_for(case(folder, trouble), 115)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # whatever kept the case from running
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
