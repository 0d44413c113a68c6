"""One of sixteen runners loses its power for good. Jobs that were to start there aren't counted as pending."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness

RUNNERS, JOBS, FILL_S = 16, 12, 40
VISIBLE_S = 3.0
FILL = "/batch/00000000000000d0"


async def play(deployment, trouble):
    record, observer = deployment.record, deployment.observer
    proxies = {}
    for number in range(1, RUNNERS + 1):
        outer = (f"127.{deployment.net}.3.{number}", 8080)
        runner = harness.Runner(deployment, number, labels=("a", f"r1-{number}"), advertised=outer)
        proxies[runner] = harness.Proxy(outer, runner.address)
        await proxies[runner].start()
        await runner.start()
    if not await deployment.put_configuration(harness.configuration(1, priority=0)):
        return False
    if not await deployment.wait_until_ready(deployment.runners):
        return False
    await asyncio.sleep(2)
    # Fills all runners but one.
    body = {"spec": f"{FILL_S}", "phases": [{"count": 4 * (RUNNERS - 1), "cpu": 16000, "memoryRequestMb": 1024,
                                           "estimatedMs": FILL_S * 1000}]}
    if not await deployment.submit(FILL, body):
        return False
    await asyncio.sleep(2)
    idle = [runner for runner in deployment.runners if not runner.runs]
    if len(idle) != 1:
        return False
    if trouble:
        proxies[idle[0]].is_cut = True
        await idle[0].crash()
        record.write(f"{idle[0].id} has lost its power")
    body = {"spec": "1.0", "phases": [{"count": 1, "cpu": 4000, "memoryRequestMb": 1024, "estimatedMs": 1000}]}
    jobs = [f"{0xd100 + number:016x}" for number in range(JOBS)]
    accepted = await asyncio.gather(*(deployment.submit(f"/batch/{job}", body) for job in jobs))
    if not all(accepted):
        return False
    accepted_at = time.monotonic()
    while time.monotonic() < accepted_at + 20:
        await asyncio.sleep(0.5)
        asked_at = time.monotonic()
        status, answer = await deployment.client("GET", "/batch/")
        waiting = sum(1 for job in jobs if f"{job}.0.0.0" not in observer.running)
        record.write(f"client: GET /batch/ -> {status} {answer}; {waiting} jobs haven't begun")
        is_due = asked_at - accepted_at > VISIBLE_S + 2
        if status == 200 and is_due and answer["pending"] < waiting / 2:
            record.violation(f"MIXED pending is {answer['pending']}, but {waiting} jobs haven't begun that were accepted "
                             f"{asked_at - accepted_at:.1f} s before")
    return True


harness.run(play, FOLDER)
