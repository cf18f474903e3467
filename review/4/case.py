"""The store's serializable answers are some seconds old; a change of the configuration is not in force in time."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, World, main, now  # noqa: E402

HOST = "shop.example"
CONFIG_APPLY_SECONDS = 2.0
LAG_SECONDS = 3.0
WATCHED_SECONDS = 6.0
INTERVAL_SECONDS = 0.1


def routes(service):
    return {"orders": {"host": HOST, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutS": 2.5, "targetLatencyS": 0.8, "priority": 1,
                       "service": service, "maxAttempts": 2}}


async def case(folder, trouble):
    world = World(folder, ["north", "north", "port", "port", "medina"])
    record = world.record
    services = {"old-hall": {}, "new-hall": {}}
    world.store.relaxed_lag = LAG_SECONDS if trouble else 0.0
    world.configure(7, routes("old-hall"), services)
    try:
        for number in range(12):
            await world.add_server(f"i-{number}", "old-hall" if number < 6 else "new-hall", ["north", "port", "medina"][number % 3])
        # What was there before the traffic is older than any answer of the store.
        await asyncio.sleep(LAG_SECONDS + 1)
        await world.start()
        await asyncio.sleep(4)
        world.configure(9, routes("new-hall"), services)
        acknowledged = now()
        record.add("the operator moves the route from old-hall to new-hall with version 9; the store has acknowledged it")
        sent, tasks = {}, []
        while now() < acknowledged + WATCHED_SECONDS:
            for gateway in world.gateways:
                tasks.append(asyncio.ensure_future(order(gateway, sent)))
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.gather(*tasks)
        broken = 0
        for server in world.servers[:6]:
            for at, attempt in server.started:
                since = sent[attempt] - acknowledged
                if since > CONFIG_APPLY_SECONDS:
                    broken += 1
                    record.add(f"CONFIG: {attempt}, sent {since:.3f} s after the acknowledgement, is run by {server.name} of old-hall", at)
        record.add(f"calls to the store: {world.store.calls}; requests: {len(sent)}; breaks: {broken}")
        return broken
    finally:
        await world.end()


async def order(gateway, sent):
    client = Client(gateway)
    await client.open()
    attempt = client.attempt_id()
    sent[attempt] = now()
    await client.send("POST", HOST, "/orders/1", 5000, b"lot 1", attempt)
    await client.receive(attempt, 6)
    client.close()


main(case)
