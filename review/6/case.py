"""After an outage of the store, replicas that leave as planned still get work after their time to
drain, and it is cut when they exit."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import world as lib

ZONES = ["toowoomba-shed", "pittsworth-shed", "dalby-shed"]
HOSTS = ["toowoomba-shed"] * 3 + ["pittsworth-shed"] * 2 + ["dalby-shed"] * 2
PER_ZONE = 4
WORK_MS = 400
OUTAGE_S = 4.5  # platform_down of the site
DRAIN_S = 2.0  # drainMs of the site
LONGER_S = 1.5  # "a little longer (at times many seconds)"
CONTACT_S = 3.0  # contactMs of the site
GAP_S = 0.84  # between two replicas of a release
LEAVERS = 5  # of 12: a share of 0.42
CYCLES = 6
LAST_BEGIN_S = 94


async def case(world, trouble):
    route = {
        "name": "r-release", "hostname": lib.HOSTNAME, "pathPrefix": "/bobo563/", "kind": "non_idempotent",
        "timeoutMs": 1500, "targetLatencyMs": 600, "priority": 2, "service": "desk", "maxAttempts": 1,
        "authExempt": False, "sessionAffinity": False,
    }
    service = {"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0}
    world.configure([route], [service])
    replicas = []
    for number in range(PER_ZONE):
        for zone in ZONES:
            replicas.append(await world.start_replica(f"i-{zone}-{number}", "desk", zone, str(WORK_MS)))
            await asyncio.sleep(0.07)
    await world.start_hosts(HOSTS)
    await world.wait_ready()
    await asyncio.sleep(4)

    results, calls = [], []
    stop = asyncio.Event()

    async def caller(host):
        number = 0
        while not stop.is_set():
            number += 1
            calls.append(asyncio.create_task(one(host, number)))
            await asyncio.sleep(0.12)

    async def one(host, number):
        sent = time.monotonic()
        result = await world.call(host, f"/bobo563/{number}", 1500, body=b"release")
        results.append((host, sent, result))

    callers = [asyncio.create_task(caller(host)) for host in world.hosts]
    present, leavers, calm = list(replicas), [], []
    for cycle in range(CYCLES):
        if time.monotonic() - world.record.start > LAST_BEGIN_S:
            break  # a slow machine: one more would not end within 120 s
        if trouble:
            world.record.line("store: down")
            calm.append(time.monotonic())
            world.store.set_down(True)
            await asyncio.sleep(OUTAGE_S)
            world.store.set_down(False)
            world.record.line("store: back")
        calm.append(time.monotonic() + CONTACT_S)
        await asyncio.sleep(CONTACT_S + 0.5)  # entries that lapsed are back within two seconds
        # Planned work: some replicas are replaced, one after the other; the new one starts first.
        leaving, present = present[:LEAVERS], present[LEAVERS:]
        for number, leaver in enumerate(leaving):
            name = f"i-{leaver['entry']['zone']}-{cycle}-{number}"
            present.append(await world.start_replica(name, "desk", leaver["entry"]["zone"], str(WORK_MS)))
            await asyncio.sleep(GAP_S / 2)
            world.remove_entry(leaver)
            leaver["left"] = time.monotonic()
            asyncio.get_running_loop().call_later(DRAIN_S + LONGER_S, world.stop_replica, leaver)
            await asyncio.sleep(GAP_S / 2)
        leavers += leaving
        await asyncio.sleep(DRAIN_S + LONGER_S + 0.2)
    stop.set()
    await asyncio.gather(*callers, *calls)

    def in_touch(at):
        """Whether the store had been without disruption for `contactMs`."""
        return not trouble or any(end <= at and all(not end < begin <= at for begin in calm[::2]) for end in calm[1::2])

    held, lost = True, 0
    by_id = {result["id"]: (host, sent, result) for host, sent, result in results}
    for leaver in leavers:
        ends = {line.split()[1] for _, line in leaver["lines"] if line.startswith("ends")}
        for at, line in leaver["lines"]:
            if not line.startswith("runs") or at <= leaver["left"] + DRAIN_S:
                continue
            host, sent, result = by_id[line.split()[1]]
            if not in_touch(sent) or not in_touch(at):
                continue
            cut = result["id"] not in ends
            lost += cut
            held = False
            world.record.line(
                f"judged: {result['id']} reached {leaver['name']} {1000 * (at - leaver['left']):.0f} ms after it left, from "
                f"{host['name']}; the client got {result['status']}{', its run was cut' if cut else ''}"
            )
    served = sum(1 for _, _, result in results if result["status"] == 200)
    world.record.line(f"{len(results)} requests, {served} served, {lost} runs at replicas that had left were cut")
    return held


lib.run(case)
