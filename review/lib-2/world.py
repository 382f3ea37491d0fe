"""A small deployment on loopback: stand-ins of the platform's store and of the operator, hosts and
replicas as separate processes, and callers. Each case uses the parts that it needs."""

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
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = ["target/release/sequoiacrank", "edge"]  # as in deploy/system.toml
HEARTBEAT = 1.2
KEY = "9dnn2ctnfzs989anu6ws"
HOSTNAME = "pule25.example"


class CannotRun(Exception):
    """The case could not be set up."""


PORTS = set()


def free_port():
    """A port that is free, outside of the range from which the system takes ports itself, and that
    was not handed out before."""
    while True:
        port = random.randrange(20000, 32000)
        if port in PORTS:
            continue
        PORTS.add(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def line(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's store, as far as hosts call it: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.down = False

    async def open(self):
        """Listens, and returns the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def set_down(self, down):
        """While the store is down, it is silent: calls get no answer, also not later."""
        self.down = down
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if self.down:
                    await reader.read()
                    return
                status, kind, answer = await self.answer(method, target, body)
                if self.down:
                    await reader.read()
                    return
                head = f"HTTP/1.1 {status} x\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        js = "application/json"
        if url.path == "/sequoiacrank/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            keys = sorted(k for k, (_, value) in newest.items() if value)
            keys = [k for k in keys if k > query.get("after", "")]
            page = [
                {"key": k, "value": base64.b64encode(newest[k][1]).decode(), "offset": newest[k][0]}
                for k in keys[:500]
            ]
            answer = {"items": page, "hasMore": len(keys) > 500, "endOffset": len(records)}
            return 200, js, json.dumps(answer).encode()
        if url.path == "/sequoiacrank/log-read":
            start, wait = int(query["from"]), int(query.get("waitMs", "0")) / 1000
            until = time.monotonic() + wait
            while len(records) <= start and time.monotonic() < until and not self.down:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            answer = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                one = bytes([len(key)]) + key.encode() + value
                answer += struct.pack(">I", len(one)) + one
            return 200, "application/octet-stream", answer
        if url.path == "/sequoiacrank/log-append" and method == "POST":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, js, b"{}"
            if "at" in query and int(query["at"]) != len(records):
                return 412, js, json.dumps({"endOffset": len(records)}).encode()
            one = body[4 : 4 + struct.unpack(">I", body[:4])[0]]
            size = one[0]
            end = self.append(topic, one[1 : 1 + size].decode(), one[1 + size :])
            return 200, js, json.dumps({"offset": end - 1, "endOffset": end}).encode()
        return 404, js, b"{}"


class Process:
    def __init__(self, child):
        self.child = child

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


class World:
    def __init__(self, record):
        self.record = Record(record)
        self.temp = tempfile.mkdtemp(prefix="case-")
        self.store = Store()
        self.processes = []
        self.hosts = []
        self.replicas = {}
        self.version = 0
        self.tasks = []

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM[0])):
            raise CannotRun("the program of the deploy file is not built")

    # The operator.

    def order(self, key, value):
        """Writes a record as the operator; the return is the acknowledgement."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.store.append("keyed.op", key, raw)
        self.record.line(f"operator: op/{key} {'removed' if value is None else 'written'}")

    def configure(self, routes, services, tenants=None, limits=None):
        self.version += 1
        self.order(
            "config",
            {
                "version": self.version,
                "routeTable": routes,
                "services": services,
                "limits": limits
                or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": tenants or [{"name": "bozi300", "apiKeys": [KEY], "priority": 1}],
            },
        )

    # Processes.

    def spawn(self, command, **more):
        child = subprocess.Popen(command, cwd=ROOT, **more)
        process = Process(child)
        self.processes.append(process)
        return process

    async def start_hosts(self, zones, grace="8s"):
        plans = [(f"edge-{zone}-{index + 1}", zone, [free_port() for _ in range(4)]) for index, zone in enumerate(zones)]
        seeds = [f"127.0.0.1:{ports[2]}" for _, _, ports in plans][:3]
        for name, zone, ports in plans:
            settings = {
                "host": name,
                "zone": zone,
                "listen": f"127.0.0.1:{ports[0]}",
                "readiness": f"127.0.0.1:{ports[1]}",
                "peer": f"127.0.0.1:{ports[2]}",
                "metrics": f"127.0.0.1:{ports[3]}",
                "seeds": seeds,
                "store": await self.store.open(),
                "cpu_share": 0.25,
                "grace": grace,
                "retries": {"ratio": 0.2, "slack": 54, "span": "10s"},
                "cold": {"overshoot": 1.5, "slack": 5},
                "moves": {"share": 0.1, "slack": 50},
                "memory": 260,
                "descriptors": 4100,
            }
            path = os.path.join(self.temp, name + ".jsonc")
            with open(path, "w") as file:
                json.dump(settings, file)
            host = {"name": name, "zone": zone, "ports": ports, "settings": path}
            self.hosts.append(host)
            self.start_host(host)

    def start_host(self, host):
        log = open(os.path.join(self.temp, host["name"] + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SEQUOIACRANK_CONFIG"] = host["settings"]
        host["process"] = self.spawn(PROGRAM, env=env, stdout=log, stderr=log)
        self.record.line(f"{host['name']}: started")

    async def wait_ready(self, hosts=None, limit=20):
        until = time.monotonic() + limit
        for host in hosts or self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise CannotRun(f"{host['name']} did not become ready")
                await asyncio.sleep(0.1)
        self.record.line("hosts are ready")

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", host["ports"][1])
            writer.write(b"GET /sequoiacrank/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def start_replica(self, name, service, zone, *options, version="v1"):
        """Starts a replica process; it prints its port, then one line for each thing that it does."""
        command = [sys.executable, "-u", os.path.join(HERE, "replica.py"), name, *options]
        process = self.spawn(command, stdout=subprocess.PIPE, text=True)
        port = int(process.child.stdout.readline().split()[1])
        entry = {
            "service": service, "address": f"127.0.0.1:{port}", "zone": zone, "version": version,
            "slots": 128, "state": "ready", "coldLeftMs": 0, "sequence": 0,
            "born": int(time.time() * 1000),
        }
        replica = {"name": name, "process": process, "entry": entry, "alive": True, "lines": []}
        self.replicas[name] = replica
        loop = asyncio.get_running_loop()
        loop.run_in_executor(None, self.follow, replica, loop)
        self.tasks.append(asyncio.create_task(self.heartbeats(replica)))
        self.record.line(f"{name}: replica of {service} in {zone} at {entry['address']}")
        return replica

    def follow(self, replica, loop):
        for line in replica["process"].child.stdout:
            loop.call_soon_threadsafe(self.note, replica, line.strip())

    def note(self, replica, line):
        at, line = line.split(" ", 1)
        replica["lines"].append((float(at), line))
        self.record.line(f"{replica['name']}: {line}")

    async def heartbeats(self, replica):
        """The replica's own entry in the store. It changes when more than `sequence` changes, and is
        removed after three intervals without a write, also while the store is down."""
        name, shown, written = replica["name"], None, time.monotonic()
        while replica["alive"]:
            if not self.store.down:
                replica["entry"]["sequence"] += 1
                written = time.monotonic()
                now = {k: v for k, v in replica["entry"].items() if k != "sequence"}
                if now != shown:
                    shown = now
                    self.store.append("keyed.servers", name, json.dumps(replica["entry"]).encode())
                    self.record.line(f"store: entry of {name} written, {now['state']}")
            due = time.monotonic() + HEARTBEAT
            while replica["alive"] and time.monotonic() < due:
                await asyncio.sleep(0.02)
                if shown and time.monotonic() > written + 3 * HEARTBEAT:
                    shown = None
                    self.store.append("keyed.servers", name, b"")
                    self.record.line(f"store: entry of {name} lapsed")

    def remove_entry(self, replica):
        """Planned work: the replica leaves without a report; its entry is removed."""
        replica["alive"] = False
        self.store.append("keyed.servers", replica["name"], b"")
        self.record.line(f"{replica['name']}: leaves, its entry is removed")

    def stop_replica(self, replica):
        """Planned work: the replica has served for long enough and exits."""
        replica["process"].child.terminate()
        self.record.line(f"{replica['name']}: exits")

    # Callers.

    async def call(self, host, path, budget_ms, method="POST", body=b"{}", headers=(), attempt=None):
        """Sends one request on a new connection and reads the whole answer. Returns the id, the
        status, the headers, the body and whether the answer is complete in HTTP."""
        attempt = attempt or "%016x" % random.getrandbits(64)
        result = {"id": attempt, "status": None, "headers": {}, "body": b"", "complete": False}
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOSTNAME}", f"Sequoiacrank-Attempt-Id: {attempt}",
            f"Sequoiacrank-Time-Budget-Ms: {budget_ms}", f"Authorization: Token {KEY}",
            f"Content-Length: {len(body)}", *headers,
        ]
        self.record.line(f"client: {attempt} {method} {path} sent to {host['name']}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", host["ports"][0])
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await asyncio.wait_for(self.read_answer(reader, result), budget_ms / 1000 + 3)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            result["error"] = type(error).__name__
        finally:
            if writer:
                writer.close()
        end = "complete" if result["complete"] else f"not complete ({result.get('error')})"
        self.record.line(f"client: {attempt} gets status {result['status']}, {len(result['body'])} bytes, {end}")
        return result

    async def read_answer(self, reader, result):
        line, headers = await read_head(reader)
        result["status"], result["headers"] = int(line.split(" ")[1]), headers
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                result["body"] += chunk[:-2]
        elif "content-length" in headers:
            result["body"] = await reader.readexactly(int(headers["content-length"]))
        else:
            result["body"] = await reader.read()
        result["complete"] = True

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            process.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def run(case):
    """Runs `case(world, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2. The
    first argument of the program is the path of the record."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(sys.argv[1])
        try:
            await world.start()
            held = await asyncio.wait_for(case(world, trouble), 115)
            world.record.line("the rule held" if held else "THE RULE WAS BROKEN")
            return 0 if held else 1
        except Exception as error:  # an error of the test itself is no broken rule
            world.record.line(f"the case could not run: {error!r}")
            return 2
        finally:
            world.close()

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
