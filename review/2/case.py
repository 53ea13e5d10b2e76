"""A request that crashes the backends that run it. See claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

import platform_standin as standin  # noqa: E402

STABILITY_S = 3.0
MARGIN_S = 0.2
MAX_RETRIES = 3
DOWN_S = 3.0
EXPIRY_S = 4.5
REPEAT_S = 2.0
LENGTH_S = 40.0
REQUESTS_PER_S = 100
BACKENDS = 25
HOST = "shop.example"
CRASHING_TARGET = "/lookups/crash"


class CrashingBackend(standin.Backend):
    """Ends when it begins to run the crashing request; it is back after
    DOWN_S as a new lifetime with a new id, at its address."""

    crashes = []
    lifetimes = 0

    async def answer(self, message, reader):
        target = message[0].split(" ")[1]
        is_for_me = message[1].get("target-instance") == self.identity
        if target == CRASHING_TARGET and is_for_me and \
                self.running < self.slots and standin.TROUBLE:
            self.crashes.append({"at": self.record.now(),
                                 "attempt": message[1]["attempt-id"],
                                 "backend": self.identity})
            self.record.write(f"{self.identity} begins to run attempt="
                              f"{message[1]['attempt-id']} and crashes; "
                              f"{self.running} others run there")
            asyncio.create_task(self.crash())
            return None
        return await super().answer(message, reader)

    async def crash(self):
        old_key = self.key
        await self.exit()
        await asyncio.sleep(DOWN_S)
        CrashingBackend.lifetimes += 1
        self.identity = f"i-new-{CrashingBackend.lifetimes}"
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        await self.start()
        self.record.write(f"{self.identity} is up at {self.address}")
        await asyncio.sleep(EXPIRY_S - DOWN_S)
        await self.store.remove(old_key)


async def case(record, fleet):
    zones = ["a", "b", "c"]
    places = [(f"127.0.{20 + i}.1", zones[i % 3]) for i in range(6)]
    await fleet.start_store([ip for ip, _ in places] + ["127.0.0.1"])
    routes = {
        "orders": standin.make_route(
            HOST, "/orders/", "non_idempotent", "desk", 4000),
        "lookups": standin.make_route(
            HOST, "/lookups/", "idempotent", "desk", 3000)}
    await fleet.store.put(
        "op/config", standin.make_configuration(1, routes, ["desk"]))
    for i in range(BACKENDS):
        address = "127.0.0.1:%d" % standin.find_free_ports(["127.0.0.1"], 1)[0]
        backend = CrashingBackend(record, fleet.store, f"i-{i}", "desk",
                                  address, zones[i % 3], slots=6, work_s=0.4)
        fleet.backends[backend.identity] = backend
        await backend.start()
    await fleet.start_gateways(places)
    clients = standin.Client(record, HOST, 4000)
    repeating = standin.Client(record, HOST, 3000)
    repeating.number = 1 << 24
    choice = random.Random(1)
    started = record.now()
    next_repeat = started + 6
    number = 0
    while record.now() < started + LENGTH_S:
        if record.now() > next_repeat:
            next_repeat += REPEAT_S
            repeating.spawn(choice.choice(fleet.gateways), "GET",
                            CRASHING_TARGET)
        gateway = fleet.gateways[number % len(fleet.gateways)]
        if number % 4 == 0:
            clients.spawn(gateway, "GET", f"/lookups/{number}")
        else:
            clients.spawn(gateway, "POST", f"/orders/{number}", b"x" * 500)
        number += 1
        await asyncio.sleep(
            max(0, started + number / REQUESTS_PER_S - record.now()))
    await clients.finish()
    served = sum(1 for request in clients.sent if request["status"] == 200)
    crashes = CrashingBackend.crashes
    record.summary(f"{len(clients.sent)} other requests, {served} served; the "
                   f"crashing request was sent {len(repeating.sent)} times and "
                   f"crashed {len(crashes)} backends")
    if served < len(clients.sent) / 2:
        raise standin.CaseError("too few requests were served")
    if len(crashes) < 3:
        return standin.EXIT_HELD
    bound = crashes[2]["at"] + STABILITY_S + MARGIN_S
    sent_at = {r["attempt"]: r["at"] for r in repeating.sent}
    late = sorted({c["attempt"] for c in crashes
                   if c["at"] > bound and sent_at[c["attempt"]] > bound})
    lost = [r for r in clients.sent
            if r["at"] > bound and r["target"].startswith("/orders/")
            and r["status"] != 200]
    late_crashes = [c for c in crashes if c["attempt"] in late]
    for attempt in late:
        record.write(f"LATE attempt={attempt} reached a backend")
    for request in lost:
        record.write(f"LOST order attempt={request['attempt']} "
                     f"status={request['status']}")
    record.summary(f"later than {STABILITY_S} s after the third crash it came "
                   f"back {len(late)} times to backends and crashed "
                   f"{len(late_crashes)}; {len(lost)} orders failed meanwhile")
    return standin.EXIT_BROKEN if len(late) > MAX_RETRIES else standin.EXIT_HELD


standin.run_case(case, FOLDER)
