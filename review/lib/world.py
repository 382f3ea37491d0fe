"""Stand-ins of the platform for the cases of the review: its store, its clients, and the start of hosts and
replicas as processes. Only the standard library is used, and only loopback addresses."""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


USED = set()


def free_ports(count):
    """Ports below the range from which the system takes ports of outgoing connections; each is given once."""
    found = []
    for _ in range(5000):
        port = random.randrange(11000, 32000)
        if port in USED:
            continue
        USED.add(port)
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
            found.append(port)
        except OSError:
            pass
        probe.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_sized(reader, headers):
    """The body of a request, which has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: keyed topics with one partition each. What it has acknowledged it keeps, and its
    answers are linearizable."""

    def __init__(self):
        self.topics, self.first, self.newest = {}, {}, {}
        self.changed = asyncio.Event()
        self.muted = False  # waiting reads hear nothing, as while its history is dropped
        self.writers = set()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def end(self, topic):
        return self.first.get(topic, 0) + len(self.topics.get(topic, []))

    def put(self, topic, key, value):
        """Appends a record; without a value the key is dropped. Returns its offset."""
        raw = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, key, raw)

    def append(self, topic, key, raw):
        offset = self.end(topic)
        self.topics.setdefault(topic, []).append((key, raw))
        known = self.newest.setdefault(topic, {})
        if raw:
            known[key] = (offset, raw)
        else:
            known.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def forget(self, topic):
        """Drops the history of a topic. The newest record of each key is retained."""
        self.first[topic] = self.end(topic)
        self.topics[topic] = []

    def cut_readers(self):
        """Ends all connections, as when the history is dropped."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_sized(reader, headers)
                status, answer = await self.answer(target, body)
                text = f"HTTP/1.1 {status} -\r\nContent-Length: {len(answer)}\r\n\r\n".encode()
                writer.write(text + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = args.get("topic", "")
        if path == "/sequoiacrank/log-newest":
            known = sorted(self.newest.get(topic, {}).items())
            after = args.get("after", "").replace("%2F", "/")
            known = [it for it in known if it[0] > after] if after else known
            items = [{"key": key, "value": base64.b64encode(raw).decode(), "offset": offset}
                     for key, (offset, raw) in known[:500]]
            page = {"items": items, "hasMore": len(known) > 500, "endOffset": self.end(topic)}
            return 200, json.dumps(page).encode()
        if path == "/sequoiacrank/log-read":
            start, wait = int(args.get("from", 0)), int(args.get("waitMs", 0)) / 1000
            until = time.monotonic() + wait
            while True:
                if self.muted:
                    await asyncio.sleep(0.02)
                    continue
                if start < self.first.get(topic, 0):
                    return 410, json.dumps({"firstOffset": self.first[topic]}).encode()
                left = until - time.monotonic()
                if self.end(topic) > start or left <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), min(left, 0.2))
                except asyncio.TimeoutError:
                    pass
            first = self.first.get(topic, 0)
            out = struct.pack(">QQ", self.end(topic), first)
            for key, raw in self.topics.get(topic, [])[max(0, start - first):]:
                name = key.encode()
                out += struct.pack(">IB", 1 + len(name) + len(raw), len(name)) + name + raw
            return 200, out
        if path == "/sequoiacrank/log-append":
            end = self.end(topic)
            if "at" in args and int(args["at"]) != end:
                return 412, json.dumps({"endOffset": end}).encode()
            size, length = struct.unpack(">IB", body[:5])
            key = body[5:5 + length].decode()
            offset = self.append(topic, key, body[5 + length:4 + size])
            return 200, json.dumps({"offset": offset, "endOffset": offset + 1}).encode()
        return 404, b"{}"


class Answer:
    """What a client saw of the answer to one request."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = None, {}, b"", False


async def request(port, method, host, path, attempt, budget_ms, headers=None, body=b"", key="first-key"):
    """Sends one request on a connection of its own and reads its answer to the end."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, port), 1)
    except (OSError, asyncio.TimeoutError):
        return answer
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Sequoiacrank-Attempt-Id: {attempt}",
             f"Sequoiacrank-Time-Budget-Ms: {budget_ms}", f"Authorization: Token {key}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer), budget_ms / 1000 + 2)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    writer.close()
    return answer


async def read_answer(reader, answer):
    while True:
        head = await read_head(reader)
        if head is None:
            return
        line, headers = head
        status = int(line.split(" ")[1])
        if status >= 200:
            break
    answer.status, answer.headers = status, headers
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            line = await reader.readline()
            if not line:
                return
            size = int(line.split(b";")[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                answer.complete = True
                return
    elif "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            piece = await reader.read(left)
            if not piece:
                return
            answer.body, left = answer.body + piece, left - len(piece)
        answer.complete = True
    else:
        answer.body = await reader.read()
        answer.complete = True


class World:
    """The processes of a case. All of them end with it."""

    def __init__(self, record):
        self.children, self.hosts = [], []
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.entries = {}
        self.runs = os.path.join(self.temp, "runs.txt")  # what replicas ran

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def now(self):
        return time.monotonic() - self.began

    def spawn(self, words, env=None, log=None):
        out = open(os.path.join(self.temp, log), "ab") if log else subprocess.DEVNULL
        child = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=out,
                                 env={**os.environ, **(env or {})})
        self.children.append(child)
        return child

    async def start_replica(self, name, kind, env=None, port=None):
        """Starts a replica and waits until it listens. Returns its process and its port."""
        port = port or free_ports(1)[0]
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "replica.py")
        child = self.spawn([sys.executable, program, name, str(port), kind, self.runs], env, name + ".log")
        until = time.monotonic() + 15
        while time.monotonic() < until and child.poll() is None:
            try:
                _, writer = await asyncio.open_connection(LOOPBACK, port)
                writer.close()
                return child, port
            except OSError:
                await asyncio.sleep(0.02)
        raise CannotRun(f"replica {name} does not listen")

    def start_host(self, number, zone, store_port, seeds, grace=8):
        """Starts a host with the command of the deploy file and settings as its template makes them."""
        ports = free_ports(4)
        name = f"edge-{number}"
        settings = {
            "host": name, "zone": zone, "listen": f"{LOOPBACK}:{ports[0]}",
            "readiness": f"{LOOPBACK}:{ports[1]}", "peer": f"{LOOPBACK}:{ports[2]}",
            "metrics": f"{LOOPBACK}:{ports[3]}", "seeds": seeds, "store": f"{LOOPBACK}:{store_port}",
            "cpu_share": 0.25, "grace": f"{grace}s",
            "retries": {"ratio": 0.2, "slack": 54, "span": "10s"},
            "cold": {"overshoot": 1.5, "slack": 5}, "moves": {"share": 0.1, "slack": 50},
        }
        path = os.path.join(self.temp, name + ".jsonc")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        program = os.path.join(ROOT, "target", "release", "sequoiacrank")
        if not os.path.exists(program):
            raise CannotRun("target/release/sequoiacrank is missing: build the deploy file first")
        child = self.spawn([program, "edge"], {"SEQUOIACRANK_CONFIG": path}, name + ".log")
        host = {"name": name, "child": child, "front": ports[0], "readiness": ports[1],
                "peer": settings["peer"], "settings": path}
        self.hosts.append(host)
        time.sleep(0.05)
        return host

    async def wait_ready(self, host, timeout=12):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, host["readiness"])
                writer.write(b"GET /sequoiacrank/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    self.log(f"{host['name']} is ready")
                    return
            except OSError:
                pass
            if host["child"].poll() is not None:
                raise CannotRun(f"{host['name']} ended")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{host['name']} is not ready")

    def register(self, store, name, **fields):
        """Writes the entry of a replica, as the replica does about once in 1.2 s."""
        entry = self.entries.setdefault(name, {"version": "v1", "slots": 32, "state": "ready", "coldLeftMs": 0,
                                               "sequence": 0, "born": int(time.time() * 1000)})
        entry.update(fields)
        entry["sequence"] += 1
        return store.put("keyed.servers", name, entry)

    async def heartbeats(self, store):
        while True:
            await asyncio.sleep(1.2)
            for name in list(self.entries):
                self.register(store, name)

    def close(self):
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                except OSError:
                    pass
            child.wait()
        if os.environ.get("KEEP"):
            self.log(f"logs of the processes in {self.temp}")
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def configuration(version, routes, services):
    return {"version": version, "routeTable": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "first", "apiKeys": ["first-key"], "priority": 1}]}


def play(record, case):
    """Writes `record`, runs `case(world, trouble)`, which returns whether the rule held, and ends with the exit status."""
    world, status = World(record), 2
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(case(world, trouble), 110))
        status = 0 if held else 1
        world.log("the rule held" if held else "the rule was broken")
    except CannotRun as reason:
        world.log(f"the case could not run: {reason}")
    except asyncio.TimeoutError:
        world.log("the case could not run in time")
    except Exception as error:  # a fault of the case itself
        world.log(f"the case could not run: {error!r}")
    finally:
        world.close()
    sys.exit(status)
