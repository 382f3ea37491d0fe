"""The store forgets its history while an evacuation is taken back; the zone is then evacuated again."""
import asyncio, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "auction.example"
ROUTES = [
    {"name": "bids", "hostname": HOST, "pathPrefix": "/bids/", "kind": "non_idempotent", "timeoutMs": 3000,
     "targetLatencyMs": 500, "priority": 2, "service": "desk", "maxAttempts": 1},
    {"name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "kind": "idempotent", "timeoutMs": 3000,
     "targetLatencyMs": 500, "priority": 2, "service": "desk", "maxAttempts": 2},
]
SERVICES = [{"name": "desk", "healthPath": "/health", "maxConnections": 100}]
EVACUATE_S = 5.0  # evacuateMs


async def case(w, trouble):
    store = await world.Store().start()
    store.put("keyed.op", "config", world.configuration(3, ROUTES, SERVICES))
    for number, zone in enumerate("aabb"):
        name = f"desk-{zone}{number}"
        _, port = await w.start_replica(name, "plain:20")
        w.register(store, name, service="desk", zone=zone, address=f"{world.LOOPBACK}:{port}")
    beats = asyncio.create_task(w.heartbeats(store))
    hosts = []
    for number in range(3):
        hosts.append(w.start_host(number, "abc"[number], store.port, [hosts[0]["peer"]] if hosts else []))
    for host in hosts:
        await w.wait_ready(host)
    tasks, served = [], []

    async def one(number):
        kind = "bids" if number % 2 else "lots"
        attempt, host = f"{kind}{number:05}", hosts[number % len(hosts)]
        sent = w.now()
        answer = await world.request(host["front"], "POST", HOST, f"/{kind}/{number}", attempt, 3000, body=b"x")
        if answer.status == 200:
            served.append(attempt)
        w.log(f"sent {attempt} at {sent:.3f} to {host['name']}: status {answer.status}, "
              f"seal {answer.headers.get('sequoiacrank-server-seal')}")

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(0.03)

    def operator(value, what):
        store.put("keyed.op", "evacuate/b", value)
        w.log(f"operator: {what}, acknowledged")
        return time.monotonic()

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    first = operator({"zone": "b"}, "zone b is evacuated")
    await asyncio.sleep(8)
    if trouble:
        store.muted = True
        w.log("store: waiting reads hear nothing for a second")
    await asyncio.sleep(0.5)
    first_end = operator(None, "zone b is taken back")
    await asyncio.sleep(0.5)
    if trouble:
        for topic in ("keyed.op", "keyed.servers"):
            store.forget(topic)
        store.muted = False
        store.cut_readers()
        w.log("store: its history is dropped, the newest record of each key is kept, connections are cut")
    await asyncio.sleep(10)  # longer than contactMs twice
    second = operator({"zone": "b"}, "zone b is evacuated again")
    await asyncio.sleep(13)
    second_end = operator(None, "zone b is taken back")
    sender.cancel()
    await asyncio.gather(*tasks)
    beats.cancel()

    arrivals = []
    with open(w.runs, encoding="utf-8") as lines:
        for line in lines.read().splitlines():
            at, name, what, attempt = line.split(" ")[:4]
            w.log(f"replica: {name} {what} {attempt} at {float(at) - w.began:.3f}")
            if what == "runs" and name.startswith("desk-b"):
                arrivals.append((float(at), name, attempt))
    if len(served) < 300:
        raise world.CannotRun(f"only {len(served)} of {len(tasks)} requests were served")
    late = {}
    for title, begin, end in (("first", first, first_end), ("second", second, second_end)):
        late[title] = [it for it in arrivals if begin + EVACUATE_S < it[0] < end]
        w.log(f"{title} evacuation: {len(late[title])} requests reached zone b later than 5 s after it was acknowledged")
    for at, name, attempt in late["second"][:20]:
        w.log(f"EVAC: {attempt} reached {name} {at - second:.3f} s after the evacuation was acknowledged")
    if not any(first_end < at < second for at, _, _ in arrivals):
        raise world.CannotRun("zone b got nothing after it was taken back")
    return not late["first"] and not late["second"]


world.play(os.path.join(HERE, "record.txt"), case)
