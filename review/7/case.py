"""The store refuses the machines that read it, up to the named share, and the configuration changes meanwhile."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "6"))
from world import Client, Server, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As many machines in as many zones as on benammar-gw.
MACHINES = 19
ZONES = ["sfax-north", "sfax-port", "sfax-medina"]
# platform_down, how = "nodes ...": share = 0.35 for 9 s at the most.
REFUSED_MACHINES = 6
REFUSAL_S = 9.0
CHANGE_AFTER_S = 5.0
CONFIG_APPLY_S = 2.0


async def scenario(world):
    store = world.store
    await store.start()
    for number in range(24):
        service = "desk" if number < 12 else "hall"
        server = Server(world, service, f"i-{service}{number:04d}", ZONES[number % 3], work_s=0.1)
        await server.start()
        server.register()
        world.servers.append(server)

    def write_configuration(version, service):
        world.record.line("operator", "writes version", version, "with route read to", service)
        store.put("config", "main", spec=world.configuration(version, [("read", "idempotent", service)], ["desk", "hall"]))

    write_configuration(7, "desk")
    await world.start_gateways(MACHINES, ZONES, own_store_ports=True)
    await world.wait_until_ready()
    await asyncio.sleep(5)

    began = time.monotonic()

    def refuse_reader(machine):
        if machine and machine not in store.refused and len(store.refused) < REFUSED_MACHINES:
            store.refuse(machine)

    if TROUBLE:
        store.on_call = refuse_reader
    await asyncio.sleep(CHANGE_AFTER_S)
    write_configuration(11, "hall")
    acknowledged = time.monotonic()
    world.record.line("store", "has acknowledged version 11; the rule binds all but", sorted(store.refused))

    stale = []

    async def load(gateway):
        client = Client(world, gateway)
        while time.monotonic() - began < REFUSAL_S:
            sent = time.monotonic()
            status, attempt, _ = await client.request("GET", "/read/1", 4000)
            ran = world.runs.get(attempt, [""])[-1]
            is_late = sent - acknowledged > CONFIG_APPLY_S
            if is_late and ran.startswith("i-desk") and gateway.name not in store.refused:
                stale.append((gateway.name, attempt))
                age = round(sent - acknowledged, 3)
                world.record.line("BROKEN", attempt, "sent", age, "s after the acknowledgement ran at the old service, via", gateway.name)
            await asyncio.sleep(0.2)

    await asyncio.gather(*[load(gateway) for gateway in world.gateways])
    store.on_call = None
    store.refused.clear()
    world.record.line("store", "serves all machines again")
    machines = sorted({name for name, _ in stale})
    print(f"requests handled by the old version more than {CONFIG_APPLY_S} s after the new one: {len(stale)}, via {len(machines)} machines")
    return not stale


main(scenario)
