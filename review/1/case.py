"""One of six runners is cut off for 3.5 s while 600 small tasks of one job end on it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness

RUNNERS, TASKS, TASK_S, CUT_S = 6, 600, 3.0, 3.5
JOB = "/batch/00000000000000a1"


async def play(deployment, trouble):
    record, observer = deployment.record, deployment.observer
    proxies = {}
    for number in range(1, RUNNERS + 1):
        outer = (f"127.{deployment.net}.3.{number}", 8080)
        runner = harness.Runner(deployment, number, labels=("a", f"r1-{number}"), advertised=outer)
        proxies[runner] = harness.Proxy(outer, runner.address)
        await proxies[runner].start()
        await runner.start()
    if not await deployment.put_configuration(harness.configuration(1)):
        return False
    if not await deployment.wait_until_ready(deployment.runners):
        return False
    await asyncio.sleep(2)
    body = {"spec": f"{TASK_S} s", "phases": [{"count": TASKS, "cpu": 100, "memoryRequestMb": 64,
                                             "estimatedMs": int(TASK_S * 1000)}]}
    if not await deployment.submit(JOB, body):
        return False
    await asyncio.sleep(TASK_S - 0.6)
    busiest = max(deployment.runners, key=lambda runner: len(runner.runs))
    record.write(f"{observer.starts} starts, {len(busiest.runs)} tasks run on {busiest.id}")
    if trouble:
        proxies[busiest].is_cut = True
        record.write(f"{busiest.id} is cut off")
        await asyncio.sleep(CUT_S)
        record.write(f"{busiest.id} is connected again; {len(busiest.ends)} ends that it hasn't listed yet")
        proxies[busiest].is_cut = False
    await asyncio.sleep(2 * TASK_S + 4)
    record.write(f"job: {await deployment.state(JOB)}, starts: {observer.starts}")
    return observer.starts >= TASKS


harness.run(play, FOLDER)
