"""A request that crashes servers comes again every six seconds. All processes of the system are killed at the same moment, three times."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world3  # noqa: E402

SERVICE = "dispatch"
HOST = "dispatch.example"
ZONES = ["north", "port", "medina"]
INSTANCES_PER_ZONE = 2
SERVERS_PER_ZONE = 4
RATE = 40
WORK_S = 0.1
PERIOD_S = 6.0
COMES = 12
KILLS_S = [13.0, 31.0, 49.0]
RESTART_S = 0.5
BACK_S = 3.0
# Bounds of the small deployments.
STABLE_WINDOW_S = 3.0
RETRIES = 3


async def play(trouble):
    world = world3.World(ZONES, INSTANCES_PER_ZONE)
    random.seed(int.from_bytes(os.urandom(4), "big"))
    crashes = []
    waiting = set()
    incarnations = iter(range(1000))

    def work(server, run):
        if run["path"].endswith("/poison"):
            crashes.append(run)
            world.note(f"run {run['attempt']} crashes {server.name}")
            name = f"i-{server.zone}-{next(incarnations)}"
            task = asyncio.create_task(world3.replace_crashed(world, server, name, BACK_S))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            return "crash"
        return WORK_S * random.lognormvariate(0, 0.3)

    for zone in ZONES:
        for _ in range(SERVERS_PER_ZONE):
            world.servers.append(world3.Server(world.store, f"i-{zone}-{next(incarnations)}", SERVICE, zone, "v1", 6, work))
    world.configure(1, {"r": world3.route(HOST, "/d/", SERVICE, kind="non_idempotent", timeout=2.5, objective=0.8, priority=1)}, [SERVICE])
    sent = {}
    answered = {}

    async def send(path):
        alive = [instance for instance in world.instances if instance.alive]
        if not alive:
            return None, {"status": None, "failure": "no machine is there"}
        instance = random.choice(alive)
        attempt = world3.attempt_id()
        in_touch = time.monotonic() - instance.started > STABLE_WINDOW_S
        sent[attempt] = (time.monotonic(), instance.name, in_touch)
        result = await world3.request(world3.ADDRESS, instance.front, "POST", path,
                                      {"Host": HOST, "Attempt-Id": attempt, "Deadline-Remaining": "5000"}, b"lot", timeout=5.0)
        answered[attempt] = result
        return attempt, result

    try:
        await world.start()
        begin = time.monotonic()
        ends = begin + PERIOD_S * COMES
        tasks = set()

        async def load():
            while time.monotonic() < ends:
                task = asyncio.create_task(send("/d/innocent"))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(random.expovariate(RATE))

        async def poison():
            for number in range(COMES):
                await asyncio.sleep(max(0.0, begin + 4 + PERIOD_S * number - time.monotonic()))
                if time.monotonic() > ends:
                    return
                attempt, result = await send("/d/poison")
                if attempt is not None:
                    world.note(f"poison {attempt} at {sent[attempt][1]}, in touch {sent[attempt][2]}: {result['status']} {result['failure']}")

        async def kills():
            for at in KILLS_S:
                await asyncio.sleep(max(0.0, begin + 4 + at - time.monotonic()))
                for instance in world.instances:
                    instance.process.kill()
                for instance in world.instances:
                    instance.process.wait()
                world.note("all processes are killed")
                await asyncio.sleep(RESTART_S)
                for instance in world.instances:
                    instance.start()

        loading = [asyncio.create_task(load()), asyncio.create_task(poison())]
        if trouble:
            loading.append(asyncio.create_task(kills()))
        await asyncio.gather(*loading)
        await asyncio.gather(*tasks)
    finally:
        world.stop()
    for task in list(waiting):
        task.cancel()
    third = crashes[2]["begin"] if len(crashes) > 2 else None
    counted = []
    if third is not None:
        counted = sorted({run["attempt"] for run in crashes
                          if sent[run["attempt"]][0] > third + STABLE_WINDOW_S and sent[run["attempt"]][2]})
    for attempt in counted:
        run = next(run for run in crashes if run["attempt"] == attempt)
        world.note(f"COUNTED {attempt} sent {sent[attempt][0] - third:.3f} s after the third crash through {sent[attempt][1]}, which was in touch, "
                   f"run at {run['server']}")
    ok = sum(result["status"] == 200 for result in answered.values())
    world.note(f"{len(sent)} requests, {ok} answered with success; {len(crashes)} servers crashed; later than {STABLE_WINDOW_S} s after the "
               f"third crash {len(counted)} retries reached servers ({RETRIES} allowed)")
    for attempt, (at, instance, _) in sent.items():
        result = answered.get(attempt, {"status": None, "failure": "no result"})
        world.lines.append(f"{at - world.begin:9.3f} sent {attempt} to {instance}: {result['status']} {result['failure']}"
                           f" at {(result.get('end') or 0) - world.begin:.3f}")
    for server in world.servers:
        for run in server.runs:
            world.lines.append(f"{run['begin'] - world.begin:9.3f} run {run['attempt']} at {run['server']} {run['path']}")
    world.write_record(os.path.join(HERE, "record.txt"))
    print("\n".join(line for line in world.lines if "innocent" not in line and " sent " not in line and " run " not in line))
    if len(counted) > RETRIES:
        return f"BUDGET: {len(counted)} retries of a request that crashes servers reached servers after the third crash"
    return ""


world3.main(play, os.path.join(HERE, "record.txt"))
