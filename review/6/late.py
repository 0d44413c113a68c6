"""The same fault in a small deployment: a start is held up on its way to a runner, which crashes and starts again under
its id before the start arrives. Run it with `VARIANT=late review/6/run.sh`."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness_2 as h

KEY = "key-of-desk-6"
WORK_MS = 12_000
LATE_S = 8.0  # applied_late: 2 to 12 s
CRASH_AFTER_S, DOWN_S = 1.5, 4.0  # srv_crash: up to 4.5 s


def body(fleet, trouble):
    fleet.configure(h.configuration(1, [h.route("roster", priority=1, slackFactor=2.2, targetLatencyMs=1000)],
                                    [h.tenant("desk", KEY)]))
    fleet.wait_ready("/roster/", KEY)
    time.sleep(4)  # so that the runners' clocks are seconds ahead of those of a new life
    late, orders, lock = [], [], threading.Lock()

    def watch_orders(runner):
        def delay(path, order):
            with lock:
                orders.append(time.monotonic())
                if not trouble or late or path != "/lovagebeam/run-start":
                    return 0
                late.append((runner, order))
            fleet.record.write(f"trouble applied_late: start {order['task']} #{order['attempt']} to runner "
                               f"{runner.number} is held up for {LATE_S} s")
            return LATE_S
        return delay

    for runner in fleet.runners:
        runner.delay_order = watch_orders(runner)
    begin = time.monotonic()
    job = fleet.submit("/roster/", KEY, {"spec": str(WORK_MS), "phases": [
        {"count": 1, "cpu": 4000, "memoryRequestMb": 1024, "estimatedMs": WORK_MS}]})
    time.sleep(CRASH_AFTER_S)
    if trouble:
        runner = late[0][0]
        fleet.record.write(f"trouble srv_crash of runner {runner.number} for {DOWN_S} s")
        runner.crash()
        time.sleep(DOWN_S)
        runner.start(keep_id=True)
        fleet.record.write(f"trouble runner {runner.number} is back under its id")
    until = time.monotonic() + 25
    while time.monotonic() < until and fleet.state("/roster/", KEY, job) != "completed":
        time.sleep(0.5)
    near = sum(1 for at in orders if at < begin + 5.5)
    fleet.record.write(f"{len(late)} of {near} orders in the first 5.5 s were late")
    return fleet.twice


h.run_case(os.path.dirname(os.path.abspath(__file__)), body)
