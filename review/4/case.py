"""A replica crashes between the head and the first event of a stream that may be resumed."""
import asyncio, os, signal, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "auction.example"
ROUTES = [{"name": "chat", "hostname": HOST, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000,
           "targetLatencyMs": 1500, "priority": 1, "service": "engine", "maxAttempts": 2, "targetGapMs": 250,
           "streamResume": True}]
SERVICES = [{"name": "engine", "healthPath": "/health", "maxConnections": 600}]
EVENTS, FIRST = 12, 0


async def case(w, trouble):
    store = await world.Store().start()
    store.put("keyed.op", "config", world.configuration(3, ROUTES, SERVICES))
    replicas = {}
    for number, zone in enumerate("abab"):
        name = f"engine-{number}"
        # The head comes at once, the first event once the prompt is read, 500 ms later.
        replicas[name], port = await w.start_replica(name, f"stream:{EVENTS}:100:{FIRST}:500")
        w.register(store, name, service="engine", zone=zone, address=f"{world.LOOPBACK}:{port}")
    beats = asyncio.create_task(w.heartbeats(store))
    hosts = []
    for number in range(2):
        hosts.append(w.start_host(number, "ab"[number], store.port, [hosts[0]["peer"]] if hosts else []))
    for host in hosts:
        await w.wait_ready(host)
    await asyncio.sleep(12)  # a process earns its share of the bound on repeats within 10 s

    answers, tasks = [], []

    async def one(number):
        attempt, host = f"chat{number:05}", hosts[number % len(hosts)]
        sent = w.now()
        answer = await world.request(host["front"], "POST", HOST, f"/chat/{number}", attempt, 15000, body=b"x")
        answers.append((attempt, answer))
        events = answer.body.count(b"\n\n")
        w.log(f"sent {attempt} at {sent:.3f} to {host['name']}: status {answer.status}, complete {answer.complete}, "
              f"{events} events, first {answer.body[:30]!r}")

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(0.03)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    if trouble:
        replicas["engine-0"].send_signal(signal.SIGKILL)  # one of four
        w.entries.pop("engine-0")
        w.log("engine-0 crashes")
    await asyncio.sleep(3.6)
    if trouble:
        store.put("keyed.servers", "engine-0", None)  # three heartbeats of silence
    await asyncio.sleep(0.4)
    sender.cancel()
    await asyncio.gather(*tasks)
    beats.cancel()
    with open(w.runs, encoding="utf-8") as lines:
        for line in lines.read().splitlines():
            w.log("replica: " + line.split(" ", 1)[1])

    served = [it for it in answers if it[1].status == 200 and it[1].complete]
    if len(served) < 50:
        raise world.CannotRun(f"only {len(served)} of {len(answers)} streams were served")
    broken = 0
    for attempt, answer in served:
        ids = [int(line[3:]) for line in answer.body.decode().splitlines() if line.startswith("id:")]
        if ids != list(range(FIRST, FIRST + EVENTS)):
            broken += 1
            w.log(f"ORDER: {attempt} ended as complete with the events {ids}")
    w.log(f"{len(answers)} streams, {len(served)} complete, {broken} of them not in order and whole")
    return broken == 0


world.play(os.path.join(HERE, "record.txt"), case)
