"""All machines lose power while a bad version is on trial; the restarted ones complete it without any evidence."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, World, main, now  # noqa: E402

HOST = "shop.example"
SERVICE = "sheet-store"
MACHINES = ["north"] * 6 + ["port"] * 8 + ["medina"] * 5
ZONES = ["north", "port", "medina"]
REQUESTS_PER_SECOND = 40
WORK_SECONDS = 0.18
# The bad version: a portion of 0.5 of its answers takes eight times as long.
SLOW_SHARE, SLOW_FACTOR = 0.5, 8
RAMP_SECONDS = 12.0
# From the order to the loss of power, and how long it lasts.
KILL_AFTER_SECONDS = 6.5
POWER_OFF_SECONDS = 1.85
# stableWindowS and the bounds exposeShare, exposeSlack and rollbackS.
STABLE_SECONDS = 3.0
EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_SECONDS = 0.1, 50, 5.0
WATCHED_SECONDS = 24.0
SERVERS = 6
# A server that starts during traffic is cold for so long; after `rolled_back` the new servers drain some seconds later and leave drainS after.
COLD_SECONDS, DRAIN_AFTER_SECONDS, DRAIN_SECONDS = 3.0, 3.0, 2.0


async def case(folder, trouble):
    world = World(folder, MACHINES)
    record, store = world.record, world.store
    luck = random.Random()
    world.configure(7, {"sheets": {"host": HOST, "pathPrefix": "/sheets/", "kind": "non_idempotent", "timeoutS": 2.5, "targetLatencyS": 0.5,
                                   "priority": 1, "service": SERVICE, "maxAttempts": 2}}, {SERVICE: {}})
    written, bad_answers = [], []

    def on_write(machine, kind, name, part, value):
        record.add(f"gateway {machine} writes {part} of {kind}/{name}: {value}")
        written.append(value.get("state"))
        if value.get("state") == "completed":
            for server in world.servers[:SERVERS]:
                record.add(f"server {server.name} of v1 is stopped, as the version is completed")
                server.crash()
                store.remove("servers", server.name)
        if value.get("state") == "rolled_back":
            asyncio.ensure_future(leave(world.servers[SERVERS:]))

    async def leave(servers):
        await asyncio.sleep(DRAIN_AFTER_SECONDS)
        for server in servers:
            record.add(f"server {server.name} of v2 drains, as the version is rolled back")
            server.state, server.leaving = "draining", True
            server.register()
        await asyncio.sleep(DRAIN_SECONDS + 0.5)
        for server in servers:
            server.crash()
            store.remove("servers", server.name)

    async def slow_portion(server, method, target, fields, body, base, writer):
        server.work = WORK_SECONDS
        if luck.random() < SLOW_SHARE:
            server.work = WORK_SECONDS * SLOW_FACTOR
            bad_answers.append(now() + server.work)
            record.add(f"server {server.name} of v2 takes {server.work:.2f} s for {fields['attempt-id']}")
        return None

    store.on_write = on_write
    try:
        for number in range(SERVERS):
            await world.add_server(f"i-v1-{number}", SERVICE, ZONES[number % 3], work=WORK_SECONDS)
        await world.start()
        await asyncio.sleep(4)
        sent, tasks = {}, []
        stop = asyncio.ensure_future(traffic(world, sent, tasks))
        await asyncio.sleep(4)
        store.put("rollouts", SERVICE, {"service": SERVICE, "targetVersion": "v2", "rampS": RAMP_SECONDS})
        ordered = now()
        record.add("the operator orders v2")
        new = []
        for number in range(SERVERS):
            server = await world.add_server(f"i-v2-{number}", SERVICE, ZONES[number % 3], version="v2", work=WORK_SECONDS,
                                            cold_until=time.monotonic() + COLD_SECONDS)
            server.on_request = slow_portion
            new.append(server)
        in_touch_from = 0.0
        if trouble:
            await asyncio.sleep(max(0.0, ordered + KILL_AFTER_SECONDS - now()))
            for gateway in world.gateways:
                gateway.signal(signal.SIGKILL)
            record.add(f"all machines lose power; written until now: {written}")
            await asyncio.sleep(POWER_OFF_SECONDS)
            for gateway in world.gateways:
                await gateway.start()
            in_touch_from = now() + STABLE_SECONDS
        await asyncio.sleep(max(0.0, ordered + WATCHED_SECONDS - now()))
        stop.cancel()
        await asyncio.gather(*tasks)
        arrivals = [(at, server) for server in world.servers for at, _ in server.arrived if ordered <= at <= ordered + RAMP_SECONDS]
        exposed = sum(1 for at, server in arrivals if server in new and (at >= in_touch_from or at < ordered + KILL_AFTER_SECONDS))
        allowed = EXPOSE_SHARE * len(arrivals) + EXPOSE_SLACK
        record.add(f"v2 got {exposed} of {len(arrivals)} requests between its order and its deadline from machines in touch; allowed {allowed:.0f}")
        late = 0
        given = sorted(at for at in bad_answers if at <= now())
        if len(given) >= 50:
            until = max(given[49] + ROLLBACK_SECONDS, in_touch_from)
            for server in new:
                for at, attempt in server.arrived:
                    if sent.get(attempt, 0) > until:
                        late += 1
                        record.add(f"EXPOSURE: {attempt}, sent {sent[attempt] - given[49]:.3f} s after the 50th bad answer, reaches {server.name}", at)
        record.add(f"v2 gave {len(given)} slow answers and got {late} requests sent later than {ROLLBACK_SECONDS} s after the 50th")
        broken = (exposed > allowed) + (late > 0)
        record.add(f"requests: {len(sent)}; written: {written}; EXPOSURE breaks: {broken}")
        return broken
    finally:
        await world.end()


async def traffic(world, sent, tasks):
    number = 0
    begin = now()
    while True:
        tasks.append(asyncio.ensure_future(request(world.gateways[number % len(world.gateways)], sent)))
        number += 1
        await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_SECOND - now()))


async def request(gateway, sent):
    client = Client(gateway)
    try:
        await client.open()
        attempt = client.attempt_id()
        sent[attempt] = now()
        await client.send("POST", HOST, "/sheets/1", 3000, attempt.encode(), attempt)
        await client.receive(attempt, 4)
    except (OSError, asyncio.TimeoutError):
        pass  # the machine has no power
    client.close()


main(case)
