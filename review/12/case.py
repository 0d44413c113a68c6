"""A tenant's quota is lowered below the size of some of its jobs; its small jobs behind them stand still."""

import json
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness_3 as harness

RUNNERS = 8  # of 64 cores
TASK_MS, SMALL_CPU, LARGE_CPU = 640, 3000, 9000
JOBS_PER_S = 10.0  # half of them small; all together use 38 of the 512 cores
TRAFFIC_S, CHANGE_AT_S = 30.0, 8.0
QUOTA_BEFORE, QUOTA_AFTER = 200000, 8000
FINISH_S, NOTHING_RUNS_S = 14.0, 3.0


def configuration(version, quota):
    # As avail-check on the site: priority 0, an aim of 250 ms.
    document = harness.configuration(version, priority=0, targetLatencyMs=250, slackFactor=1.5, maxAttempts=3)
    document["tenants"][0]["maxCount"]["cpu"] = quota
    return document


def play(deployment):
    for number in range(1, RUNNERS + 1):
        deployment.start_runner(number, f"i-{number}-0")
    deployment.configure(configuration(1, QUOTA_BEFORE))
    time.sleep(3)
    accepted, lock = {}, threading.Lock()
    begin = time.monotonic()

    def hand_in(cpu):
        job = harness.new_id()
        phase = {"count": 1, "cpu": cpu, "memoryRequestMb": 64, "estimatedMs": TASK_MS}
        status, _ = deployment.call("POST", f"/lohu930/{job}", json.dumps(
            {"spec": json.dumps({"ms": TASK_MS, "cpu": cpu}), "phases": [phase]}))
        if status == 200:
            with lock:
                accepted[job] = cpu

    threads = []
    has_changed = False
    for turn in range(int(TRAFFIC_S * JOBS_PER_S)):
        time.sleep(max(0.0, turn / JOBS_PER_S - (time.monotonic() - begin)))
        if deployment.has_trouble and not has_changed and time.monotonic() - begin >= CHANGE_AT_S:
            has_changed = True
            threads.append(threading.Thread(target=deployment.configure, args=(configuration(2, QUOTA_AFTER),)))
            threads[-1].start()
        threads.append(threading.Thread(target=hand_in, args=(random.choice((SMALL_CPU, LARGE_CPU)),)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    traffic_end = time.time()
    deployment.write("traffic ends")
    time.sleep(FINISH_S)
    looked_from = time.time()
    states = {}
    for job in accepted:
        status, text = deployment.call("GET", f"/lohu930/{job}", quiet=True)
        states[job] = json.loads(text).get("state") if status == 200 else status
    time.sleep(max(0.0, looked_from + NOTHING_RUNS_S + 1 - time.time()))
    events = deployment.events()
    begun = {event["task"].split(".")[0] for event in events if event["what"] == "start"}
    last_end = max((event["at"] for event in events if event["what"] == "end"), default=0)
    in_use = sum(accepted.get(event["task"].split(".")[0], 0) * (1 if event["what"] == "start" else -1)
                 for event in events if event["what"] in ("start", "end"))
    waiting = [job for job, cpu in accepted.items() if cpu == SMALL_CPU and states[job] == "queued" and job not in begun]
    large = [job for job, cpu in accepted.items() if cpu == LARGE_CPU and job not in begun]
    deployment.write("looked at", small_waiting=waiting, large_waiting=len(large), millicores_in_use=in_use)
    print(f"{len(accepted)} jobs accepted; {FINISH_S:.0f} s after the end of the traffic {len(waiting)} small and "
          f"{len(large)} large ones haven't begun; {in_use} millicores in use; the last run ended "
          f"{time.time() - last_end:.1f} s ago")
    if time.time() - max(last_end, traffic_end + FINISH_S) < NOTHING_RUNS_S or in_use >= QUOTA_AFTER / 2:
        return []
    return [f"LOST: job {job} of {SMALL_CPU} millicores has nothing running; its tenant uses {in_use} of "
            f"{QUOTA_AFTER}, the service {in_use} of {RUNNERS * 64000}" for job in waiting]


if __name__ == "__main__":
    sys.exit(harness.main(__file__, play))
