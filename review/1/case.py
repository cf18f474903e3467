"""Zones are emptied and taken back one after the other; the servers of the zone that comes back are cold and get too many requests."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, World, main, now  # noqa: E402

HOST = "shop.example"
# As in the site file: 19 machines, coldPerS, coldOver, coldSlack, cold time.
MACHINES = ["north"] * 6 + ["port"] * 8 + ["medina"] * 5
COLD_PER_SECOND = 7.8
ALLOWED = COLD_PER_SECOND * 1.5 + 5
COLD_SECONDS = 3.0
WORK_SECONDS = 0.29
REQUESTS_PER_SECOND = 60
EVACUATED_SECONDS = 8.0


def window_starts(server, sent):
    """The largest number of requests that were sent and arrived inside one second, and when that second began."""
    times = sorted((at, sent[attempt]) for at, attempt in server.arrived if attempt in sent)
    best = (0, 0.0)
    for begin in sorted(sent_at for _, sent_at in times):
        count = sum(1 for at, sent_at in times if begin <= sent_at and at < begin + 1)
        best = max(best, (count, begin))
    return best


async def case(folder, trouble):
    world = World(folder, MACHINES)
    record = world.record
    world.configure(7, {"orders": {"host": HOST, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutS": 2.5, "targetLatencyS": 0.8,
                                   "priority": 1, "service": "dispatch-hall", "maxAttempts": 2}}, {"dispatch-hall": {}})
    try:
        for number in range(8):
            await world.add_server(f"i-{number}", "dispatch-hall", "port" if number < 4 else "north", work=WORK_SECONDS)
        port = world.servers[:4]
        await world.start()
        await asyncio.sleep(4)
        sent, tasks = {}, []
        stop = asyncio.ensure_future(traffic(world, sent, tasks))
        await asyncio.sleep(1)
        if trouble:
            world.store.put("evacuations", "port", {})
            record.add("the operator empties the zone port")
        await asyncio.sleep(EVACUATED_SECONDS)
        if trouble:
            for server in port:
                server.cold_until = time.monotonic() + COLD_SECONDS
                server.on_request = crash_if_overloaded
                server.register()
            world.store.remove("evacuations", "port")
            world.store.put("evacuations", "north", {})
            record.add("the operator takes port back, whose servers are cold, and empties the zone north")
        taken_back = now()
        await asyncio.sleep(COLD_SECONDS - 0.2)
        stop.cancel()
        answers = await asyncio.gather(*tasks)
        broken = 0
        for server in port:
            count, begin = window_starts(server, {attempt: at for attempt, at in sent.items() if at >= taken_back})
            record.add(f"{server.name} got {count} requests in the second from {begin:.3f}; allowed {ALLOWED}")
            if trouble and count > ALLOWED:
                broken += 1
                ids = [attempt for at, attempt in server.arrived if attempt in sent and begin <= sent[attempt] and at < begin + 1]
                record.add(f"FAILBACK: cold server {server.name} got {count} requests in one second, sent and arrived in it: {' '.join(ids)}")
        lost = sum(1 for answer in answers if answer is None or answer.status == 502)
        record.add(f"orders: {len(sent)}; run and without an answer of the server: {lost}; breaks: {broken}")
        return broken
    finally:
        await world.end()


async def crash_if_overloaded(server, method, target, fields, body, base, writer):
    """A cold server crashes at a rate well above coldPerS; this one bears what the rule allows."""
    if server.cold_left() > 0 and sum(1 for at, _ in server.arrived if at > now() - 1) > ALLOWED:
        server.record.add(f"server {server.name} crashes: too many requests while it is cold")
        server.crash()
        return False
    return None


async def traffic(world, sent, tasks):
    number = 0
    begin = now()
    while True:
        tasks.append(asyncio.ensure_future(order(world.gateways[number % len(world.gateways)], sent)))
        number += 1
        await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_SECOND - now()))


async def order(gateway, sent):
    client = Client(gateway)
    await client.open()
    attempt = client.attempt_id()
    sent[attempt] = now()
    await client.send("POST", HOST, "/orders/1", 5000, attempt.encode(), attempt)
    result = await client.receive(attempt, 6)
    client.close()
    return result


main(case)
