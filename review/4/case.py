"""Open connections to the store go silent while a backend leaves. See
claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

import platform_standin as standin  # noqa: E402

DRAIN_S = 2.0
STABILITY_S = 3.0
MARGIN_S = 0.15
WARM_UP_S = 8.0
AFTER_S = 9.0
LINGER_S = 3.9
REQUESTS_PER_S = 80
HOST = "shop.example"


async def case(record, fleet):
    zones = ["a", "b", "c"]
    places = [(f"127.0.{20 + i}.1", zones[i % 3]) for i in range(6)]
    await fleet.start_store([ip for ip, _ in places] + ["127.0.0.1"])
    routes = {"orders": standin.make_route(
        HOST, "/orders/", "non_idempotent", "desk", 4000)}
    await fleet.store.put(
        "op/config", standin.make_configuration(1, routes, ["desk"]))
    for i in range(8):
        await fleet.add_backend(f"i-{i}", "desk", zones[i % 3], slots=6,
                                work_s=0.25)
    await fleet.start_gateways(places)
    client = standin.Client(record, HOST, 4000)
    leaving = fleet.backends["i-3"]
    started = record.now()
    silent_at = None
    removed_at = None
    number = 0
    while True:
        now = record.now()
        if now - started > WARM_UP_S + AFTER_S:
            break
        if removed_at is None and now - started > WARM_UP_S:
            silent_at = record.now()
            if standin.TROUBLE:
                count = fleet.store.silence_open_connections()
                record.write(f"{count} open connections to the store go silent")
            await asyncio.sleep(0.05)
            await fleet.store.remove(leaving.key)
            removed_at = record.now()
            record.write(f"the store acknowledges that {leaving.identity} "
                         "has left: its entry is removed")
        if removed_at and leaving.is_up and now > removed_at + LINGER_S:
            record.write(f"{leaving.identity} exits")
            await leaving.exit()
        client.spawn(fleet.gateways[number % len(fleet.gateways)], "POST",
                     f"/orders/{number}", b"x" * 500)
        number += 1
        await asyncio.sleep(
            max(0, started + number / REQUESTS_PER_S - record.now()))
    await client.finish()
    sent = {request["attempt"]: request for request in client.sent}
    late = []
    in_touch_from = silent_at + STABILITY_S + MARGIN_S
    for run in leaving.runs:
        request = sent[run["attempt"]]
        if run["at"] > removed_at + DRAIN_S + MARGIN_S and \
                request["at"] > in_touch_from:
            late.append((run, request))
    served = sum(1 for r in client.sent if r["status"] == 200)
    record.summary(f"{len(client.sent)} requests, {served} served, "
                   f"{len(leaving.runs)} ran at {leaving.identity}")
    for run, request in late:
        record.write(f"LATE attempt={run['attempt']} sent "
                     f"{request['at'] - silent_at:.3f} s after the connections "
                     f"went silent, reached {leaving.identity} "
                     f"{run['at'] - removed_at:.3f} s after its removal was "
                     f"acknowledged, status {request['status']}")
    if served < 100:
        raise standin.CaseError("too few requests were served")
    record.summary(f"{len(late)} requests of machines in touch reached "
                   f"{leaving.identity} later than drain")
    if late:
        record.summary(f"the last one {late[-1][0]['at'] - removed_at:.2f} s "
                       "after the acknowledgement")
    lost = [r for r in client.sent
            if r["at"] > in_touch_from and r["status"] != 200]
    for request in lost:
        record.write(f"LOST order attempt={request['attempt']} "
                     f"status={request['status']}")
    record.summary(f"{len(lost)} orders of that time failed")
    return standin.EXIT_BROKEN if late else standin.EXIT_HELD


standin.run_case(case, FOLDER)
