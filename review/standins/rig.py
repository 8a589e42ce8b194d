"""Stand-ins for the platform, servers and clients, and the entry hosts as real processes.

The store, the servers and the clients run in this process, on loopback addresses and the real clock. The
entry hosts are started with the command of deploy/system.toml, with settings made from the template that it
names. A scenario is a coroutine that gets a `Rig`; `main` runs it and turns its verdict into an exit status:
1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LIMIT_S = 110.0
HEARTBEAT_S = 1.2
WATCH_POLL_S = 0.02
# A page of the store's list ends at one of these.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
KEY = "key-of-tenant-a"

# The bounds of sites/astrebreizh.toml, with its limits of a `front` machine.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 106,
    "free_ms": 4000,
    "idle_max_ms": 9000,
    "stable_window_ms": 3000,
    "loss_slack_ms": 200,
}
LIMITS = {"memory_mb": 390, "max_fds": 6150}
ENGINE = {
    "slots": 16,
    "kv_capacity": 450000,
    "kv_bytes": 327680,
    "steps_per_pass": 46,
    "models": [{"name": "m"}],
    "step_ms": 0.925,
    "per_seq_ms": 0.00483,
    "context_per_k": 0.00254,
    "read_per_s": 256000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 13252, "answer": 1540},
    "hop_ms": 0.1,
}


def exit_unrun(kind, error, trace):
    """An error outside the scenario means that the case could not run, not that a rule was broken."""
    traceback.print_exception(kind, error, trace)
    os._exit(2)


sys.excepthook = exit_unrun


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def line(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


class Request:
    """A request as its receiver read it."""

    def __init__(self, method, path, fields, body):
        self.method, self.path, self.fields, self.body = method, path, fields, body

    def field(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, fields = head
    method, path, _ = first.split(" ", 2)
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    return Request(method, path, fields, body)


def plain_answer(status, reason, fields, body):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(fields):
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number):
    return f"id: {number}\ndata: piece {number} of the answer\n\n".encode()


LAST_CHUNK = b"0\r\n\r\n"


class Listener:
    """A TCP server whose open connections can be reset."""

    def __init__(self, address, handle):
        self.address, self.handle = address, handle
        self.server, self.open = None, set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(
            self.accept, host, port, reuse_address=True, limit=1 << 20, backlog=512
        )

    async def accept(self, reader, writer):
        self.open.add(writer)
        try:
            await self.handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.open.discard(writer)
            writer.close()

    def stop(self):
        """Stops listening and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            reset(writer)


def reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store: reads, lists and watches, as PROTOCOL.md has them."""

    def __init__(self, record, address):
        self.record = record
        self.revision = 100
        self.items, self.history = {}, []
        self.era = 1
        # The key after which each page began that was asked for; None for the first page of a list.
        self.list_calls = []
        self.listener = Listener(address, self.serve)

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            path, _, query = request.path.partition("?")
            query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, answer = await self.answer(path, query)
            fields = {"Content-Type": "application/json", "Store-Era": self.era}
            body = json.dumps(answer).encode()
            writer.write(plain_answer(status, "-", fields, body))
            await writer.drain()

    async def answer(self, path, query):
        if path == "/kv-key":
            item = self.items.get(query.get("key"))
            return (404, {}) if item is None else (200, {**item, "at": self.revision})
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            self.list_calls.append(query.get("after"))
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            page, size = [], 0
            for key in keys:
                if len(page) == PAGE_ITEMS or size >= PAGE_BYTES:
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "has_more": len(page) < len(keys), "at": self.revision}
        if path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
            while True:
                events = [
                    one
                    for one in self.history
                    if one["revision"] > after and one["key"].startswith(prefix)
                ]
                if events or time.monotonic() >= end:
                    return 200, {"events": events, "at": self.revision}
                await asyncio.sleep(WATCH_POLL_S)
        return 400, {}


class Server:
    """A server of a service. `handle(server, request, writer)` answers what it accepts."""

    def __init__(self, rig, service, number, address, zone, slots, handle):
        self.rig, self.service, self.number = rig, service, number
        self.name = f"i-{service}{number:02}"
        self.address, self.zone, self.slots, self.handle = address, zone, slots, handle
        self.listener = Listener(address, self.serve)
        self.state, self.sequence = "ready", 0
        self.born, self.is_up, self.crashes = int(time.time() * 1000), False, 0
        self.beats = None

    def entry(self):
        host, port = self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.service == "engines":
            entry |= {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def start(self):
        await self.listener.start()
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.rig.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, down_s):
        """Ends the process; it is back after `down_s`, under the id and the address that it had."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes += 1
        self.beats.cancel()
        self.rig.record.line("server crashed", server=self.name)
        self.listener.stop()
        asyncio.ensure_future(self.come_back(down_s))

    async def come_back(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()
        self.rig.record.line("server back", server=self.name, born=self.born)

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            expected = request.field("x-expect-instance")
            if expected is not None and expected != self.name:
                writer.write(plain_answer(421, "-", {"X-Instance-Id": self.name}, b""))
            elif request.path in ("/health", "/report"):
                writer.write(plain_answer(200, "OK", {"X-Instance-Id": self.name}, b"{}"))
            elif request.path == "/order":
                writer.write(plain_answer(409, "-", {}, b"{}"))
            else:
                await self.handle(self, request, writer)
            await writer.drain()

    def signed(self, request):
        return {
            "X-Request-Id": request.field("x-request-id", ""),
            "X-Response-Signature": f"{self.name}.{request.field('x-request-id', '')}",
        }


class Answer:
    """What a client got. `end` is how the answer ended: `whole`, `cut`, `none` or `late`."""

    def __init__(self):
        self.status, self.fields, self.body, self.end = None, {}, b"", "none"
        self.sent_at = self.ended_at = 0.0
        self.events = []
        self.host = None


class Host:
    """An entry host, as a process of its own."""

    def __init__(self, rig, number, ip, ports, zone):
        self.rig, self.number, self.ip, self.ports, self.zone = rig, number, ip, ports, zone
        self.name = f"edge-{number}"
        self.callers = (ip, ports["front"])
        self.process, self.log = None, None
        self.settings_path = os.path.join(rig.folder, f"{self.name}.json")
        self.log_path = os.path.join(rig.folder, f"{self.name}.log")

    def settings(self):
        return {
            "node": self.name,
            "zone": self.zone,
            "listen": {
                "front": f"{self.ip}:{self.ports['front']}",
                "ready_address": f"{self.ip}:{self.ports['ready']}",
                "control": f"{self.ip}:{self.ports['control']}",
            },
            "internal_ports": [self.ports["peer"], self.ports["peer"] + 15],
            "seed_nodes": [f"{host.ip}:{host.ports['control']}" for host in self.rig.hosts[:3]],
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % self.rig.store.listener.address},
        }

    def start(self):
        role = self.rig.role
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.settings())
        with open(self.settings_path, "w", encoding="utf-8") as settings:
            settings.write(text)
        self.log = open(self.log_path, "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WASABICRANK_SETTINGS"] = self.settings_path
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.rig.record.line("host started", host=self.name, pid=self.process.pid)

    def send_signal(self, number):
        self.rig.record.line("signal", host=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ports["ready"]), 0.5
            )
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


def render(template, values):
    """Fills in the placeholders that the project's template uses."""

    def replace(match):
        value = values
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", replace, template)


class Rig:
    """A small deployment."""

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            self.role = dict(re.findall(r'^(run|template) = "([^"]*)"$', deploy.read(), re.M))
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("the program of the deploy file is not built")
        self.net = self.free_net()
        self.ports = self.free_ports()
        self.store = Store(record, (self.ip(1), self.ports["store"]))
        self.hosts, self.servers, self.sent = [], [], 0

    @staticmethod
    def free_net():
        while True:
            net = (random.randrange(130, 220), random.randrange(0, 256))
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{net[0]}.{net[1]}.250", 9464))
                return net
            except OSError:
                continue

    def ip(self, last):
        return f"127.{self.net[0]}.{self.net[1]}.{last}"

    def free_ports(self):
        names = ["front", "ready", "control", "peer", "store", "server"]
        while True:
            first = random.randrange(20000, 30000, 50)
            try:
                for offset in range(len(names)):
                    with socket.socket() as probe:
                        probe.bind((self.ip(10), first + offset))
                return {name: first + offset for offset, name in enumerate(names)}
            except OSError:
                continue

    def add_server(self, service, zone, slots, handle):
        number = len(self.servers) + 1
        address = (self.ip(100 + number), self.ports["server"])
        self.servers.append(Server(self, service, number, address, zone, slots, handle))
        return self.servers[-1]

    async def start(self, hosts, config):
        await self.store.listener.start()
        self.store.put("op/config", config)
        for server in self.servers:
            await server.start()
        zones = ["zone-a", "zone-b", "zone-c"]
        for number in range(1, hosts + 1):
            self.hosts.append(Host(self, number, self.ip(10 + number), self.ports, zones[(number - 1) % 3]))
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        # The list of servers may arrive after the configuration.
        await asyncio.sleep(1.0)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for server in self.servers:
            server.listener.stop()
        self.store.listener.stop()

    def new_id(self):
        self.sent += 1
        return f"{random.getrandbits(40):010x}{self.sent:06x}"

    async def request(self, host, path, fields=None, body=b"", method="POST", timeout_s=20.0, key=KEY,
                      on_event=None):
        """Sends one request on a channel of its own that the client keeps, and reads its answer."""
        answer = Answer()
        answer.id, answer.host = self.new_id(), host.name
        lines = [f"{method} {path} HTTP/1.1", "Host: svc.example", f"X-Request-Id: {answer.id}"]
        if key is not None:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        answer.sent_at = self.record.now()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*host.callers, limit=1 << 20), 1.0
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer.sent_at = self.record.now()
            self.record.line("client sent", id=answer.id, host=host.name, path=path)
            await asyncio.wait_for(self.read_answer(reader, answer, on_event), timeout_s)
        except asyncio.TimeoutError:
            answer.end = "late"
        except OSError as error:
            answer.error = str(error)
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = self.record.now()
        self.record.line(
            "client got", id=answer.id, host=host.name, status=answer.status, end=answer.end,
            events=len(answer.events), waited=f"{answer.ended_at - answer.sent_at:.3f}",
            body=answer.body.decode("latin-1")[:60] if answer.status != 200 else "-",
        )
        return answer

    async def read_answer(self, reader, answer, on_event):
        head = await read_head(reader)
        if head is None:
            return
        first, answer.fields = head
        answer.status = int(first.split(" ")[1])
        answer.end = "cut"
        try:
            if answer.fields.get("transfer-encoding", "").lower() == "chunked":
                while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    self.split_events(answer, on_event)
                await reader.readexactly(2)
                answer.end = "whole"
            elif "content-length" in answer.fields:
                answer.body = await reader.readexactly(int(answer.fields["content-length"]))
                answer.end = "whole"
            else:
                answer.body = await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            answer.end = "cut"

    @staticmethod
    def split_events(answer, on_event):
        whole = answer.body.split(b"\n\n")[:-1]
        for data in whole[len(answer.events):]:
            match = re.search(rb"^id: ?(\d+)", data, re.M)
            answer.events.append(int(match.group(1)) if match else None)
            if on_event is not None:
                on_event(answer)


def config(routes, tenants=None, services=("engines", "app")):
    specs = {
        "engines": {"name": "engines", "health_path": "/health", "max_connections": 344, "protocol": "h1",
                    "tls": False, "engine": ENGINE},
        "app": {"name": "app", "health_path": "/health", "max_connections": 52, "protocol": "h1", "tls": False},
    }
    return {
        "version": 7,
        "routes": routes,
        "services": [specs[name] for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "tenant-a", "api_keys": [KEY], "priority": 1}],
    }


def route(name, kind, service, timeout_ms, target_ms, attempts, **more):
    return {
        "name": name, "host": "svc.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
        "public": False, **more,
    }


def stop_at_once(rig, folder):
    """Ends the hosts when the script is told to stop before its end."""
    rig.record.line("could not run", error="told to stop")
    rig.end()
    shutil.rmtree(folder, ignore_errors=True)
    os._exit(2)


def main(scenario, case_folder):
    """Runs `scenario(rig)`, which returns a list of violations, and exits with the verdict."""
    record = Record(os.path.join(case_folder, "record.txt"))
    record.line("case", trouble=int(TROUBLE), seed=os.environ.get("SEED", "-"))
    if "SEED" in os.environ:
        random.seed(int(os.environ["SEED"]))
    status = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        rig = None
        try:
            rig = Rig(record, folder)
            signal.signal(signal.SIGTERM, lambda *_: stop_at_once(rig, folder))

            async def run():
                return await asyncio.wait_for(scenario(rig), RUN_LIMIT_S)

            violations = asyncio.run(run())
            for violation in violations:
                record.line("VIOLATION", text=violation)
            verdict = "the rule was broken" if violations else "the rule held"
            record.line("verdict", text=verdict, violations=len(violations))
            print(f"{verdict}: {len(violations)} violations")
            status = 1 if violations else 0
        except (Exception, KeyboardInterrupt) as error:
            record.line("could not run", error=repr(error))
            print(f"the case could not run: {error!r}")
            if not isinstance(error, CannotRun):
                traceback.print_exc()
        finally:
            if rig is not None:
                rig.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep and rig is not None:
                for host in rig.hosts:
                    if os.path.exists(host.log_path):
                        with open(host.log_path, "rb") as log, open(
                            os.path.join(keep, os.path.basename(host.log_path)), "wb"
                        ) as copy:
                            copy.write(log.read())
    sys.stdout.flush()
    os._exit(status)
