"""One host freezes for a second. Replicas name a limit, and one of the hosts grants their requests for all."""
import asyncio, os, re, signal, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "auction.example"
ROUTES = [
    {"name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "kind": "idempotent", "timeoutMs": 3000,
     "targetLatencyMs": 500, "priority": 2, "service": "desk", "maxAttempts": 1},
    {"name": "report", "hostname": HOST, "pathPrefix": "/report/", "kind": "non_idempotent", "timeoutMs": 8000,
     "targetLatencyMs": 3000, "priority": 1, "service": "model", "maxAttempts": 1,
     "stages": [{"service": "sheets", "after": [], "bytes": 8000}]},
]
SERVICES = [
    {"name": "desk", "healthPath": "/health", "maxConnections": 600},
    {"name": "model", "healthPath": "/health", "maxConnections": 600},
    {"name": "sheets", "healthPath": "/health", "maxConnections": 600,
     "pieces": {"slots": 1, "queue": 2, "batch": 34, "callMs": 150.0, "itemMs": 1.0, "headroomMb": 45.0,
                "handleTtlS": 4.0}},
]
LIMIT, DESKS = 6, 15
FREEZE_S = float(os.environ.get("FREEZE_S", "1.0"))


async def stage_calls(host):
    """Number of stage calls that a host has made, by its metrics page."""
    with open(host["settings"], encoding="utf-8") as text:
        port = int(re.search(r'"metrics": "[^"]*:(\d+)"', text.read()).group(1))
    reader, writer = await asyncio.open_connection(world.LOOPBACK, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    page = (await reader.read()).decode()
    writer.close()
    return int(re.search(r"^sequoiacrank_stage_calls_total (\d+)", page, re.M).group(1))


async def case(w, trouble):
    store = await world.Store().start()
    store.put("keyed.op", "config", world.configuration(3, ROUTES, SERVICES))
    replicas = [(f"desk-{n}", "desk", "plain:20", str(LIMIT)) for n in range(DESKS)]
    replicas += [(f"model-{n}", "model", "model:20", "") for n in range(2)]
    replicas += [(f"sheets-{n}", "sheets", "stage:150", "") for n in range(4)]
    for name, service, kind, limit in replicas:
        _, port = await w.start_replica(name, kind, {"SERVER_LIMIT": limit})
        w.register(store, name, service=service, zone="a", address=f"{world.LOOPBACK}:{port}")
    beats = asyncio.create_task(w.heartbeats(store))
    hosts = []
    for number in range(3):
        hosts.append(w.start_host(number, "a", store.port, [hosts[0]["peer"]] if hosts else []))
    for host in hosts:
        await w.wait_ready(host)
    await asyncio.sleep(2)
    tasks, ends, sent_by = [], {}, {}

    async def one(kind, number, host):
        attempt = f"{kind}{number:06}"
        sent_by[attempt] = host["name"]
        headers = {"Sequoiacrank-Piece-Count": "2", "Sequoiacrank-Piece-Key": attempt} if kind == "report" else {}
        sent = w.now()
        answer = await world.request(host["front"], "POST", HOST, f"/{kind}/{number}", attempt, 3000, headers, b"x")
        ends[attempt] = answer.status
        w.log(f"sent {attempt} at {sent:.3f} to {host['name']}: status {answer.status}")

    async def traffic(kind, host, gap, base):
        number = base
        while True:
            number += 1
            tasks.append(asyncio.create_task(one(kind, number, host)))
            await asyncio.sleep(gap)

    # The host that forms the calls of stage work: the other two send it their jobs.
    for number in range(12):
        await one("report", number, hosts[number % 3])
    calls = [await stage_calls(host) for host in hosts]
    w.log(f"stage calls by host: {calls}")
    if sum(it > 0 for it in calls) != 1:
        raise world.CannotRun("the stage work has more than one host that forms calls")
    former = hosts[max(range(3), key=calls.__getitem__)]
    one_host, other = [host for host in hosts if host is not former]
    w.log(f"{former['name']} forms the calls; {one_host['name']} gets reports and lookups, {other['name']} lookups")

    senders = [asyncio.create_task(traffic("report", one_host, 0.03, 1000)),
               asyncio.create_task(traffic("lots", one_host, 0.008, 100000)),
               asyncio.create_task(traffic("lots", other, 0.008, 200000))]
    await asyncio.sleep(10)
    if trouble:
        former["child"].send_signal(signal.SIGSTOP)
        w.log(f"{former['name']} freezes")
    await asyncio.sleep(FREEZE_S)
    if trouble:
        former["child"].send_signal(signal.SIGCONT)
        w.log(f"{former['name']} wakes")
    await asyncio.sleep(16)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*tasks)
    beats.cancel()

    arrivals = {}
    with open(w.runs, encoding="utf-8") as lines:
        for line in lines.read().splitlines():
            at, name, what, attempt = line.split(" ")[:4]
            if what == "runs" and name.startswith("desk"):
                arrivals.setdefault(name, []).append((float(at) - w.began, attempt))
                w.log(f"replica: {name} runs {attempt} of {sent_by.get(attempt)} at {float(at) - w.began:.3f}")
    served = sum(status == 200 for attempt, status in ends.items() if attempt.startswith("lots"))
    if served < 300:
        raise world.CannotRun(f"only {served} lookups were served")
    bound, broken = 1.5 * LIMIT * 4 + 5, 0
    for name, all_of_it in sorted(arrivals.items()):
        # The machine that froze is excused; the others have passed on such answers from the start.
        times = sorted(at for at, attempt in all_of_it if sent_by.get(attempt) != former["name"])
        start = times[0] + 3.0
        times = [at for at in times if at >= start]
        most, begin = max((sum(1 for it in times[i:] if it < at + 4), at) for i, at in enumerate(times))
        w.log(f"{'LIMIT' if most > bound else 'limit'}: {name} names {LIMIT} a second and got {most} requests in the 4 s "
              f"from {begin:.3f} (bound {bound:.0f})")
        broken += most > bound
    w.log(f"{served} lookups served, {broken} of {len(arrivals)} replicas got more than their limit allows")
    return broken == 0


world.play(os.path.join(HERE, "record.txt"), case)
