"""A core machine freezes with starts that it has to pass on. Runners crash meanwhile and start again under their ids."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness_2 as h

KEY = "key-of-desk-6"
RUNNERS = 124  # from 120 on the core processes pass orders on for the leader
TASKS, WORK_MS = 90, 9_000
FREEZE_S = 4.0  # node_freeze on core: 4.0 s
CRASHED = 17  # srv_crash: a share of 0.14 of the runners
CRASH_AT_S, DOWN_S = 2.8, 0.6  # srv_crash: up to 4.5 s


def follower(fleet):
    """A host whose core process isn't the leader: it redirects the operator."""
    for host in fleet.hosts:
        if fleet.call_once((host.address, 8180), "GET", "/lovagebeam/config", None)[0] == 307:
            return host
    raise RuntimeError("no core process redirects to the leader")


def body(fleet, trouble):
    fleet.configure(h.configuration(1, [h.route("roster", priority=1, slackFactor=2.2, targetLatencyMs=1000)],
                                    [h.tenant("desk", KEY)]))
    fleet.wait_ready("/roster/", KEY)
    time.sleep(6)
    frozen = follower(fleet)
    begin = time.monotonic()

    def sleep_until(at):
        time.sleep(max(0.0, begin + at - time.monotonic()))

    if trouble:
        for process in frozen.processes.values():
            process.send_signal(signal.SIGSTOP)
        fleet.record.write(f"trouble node_freeze of host {frozen.number} for {FREEZE_S} s")
    job = fleet.submit("/roster/", KEY, {"spec": str(WORK_MS), "phases": [
        {"count": TASKS, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": WORK_MS, "antiAffinity": 1}]},
                       host=next(host for host in fleet.hosts if host is not frozen))
    sleep_until(0.8)
    # Tasks are placed on the runners in turn: those left out wait for a start that the frozen process has.
    busy = {runner.number for runner, _, _ in fleet.running(job)}
    waiting = [runner for runner in fleet.runners if runner.number < max(busy, default=0) and
               runner.number not in busy]
    sleep_until(CRASH_AT_S)
    if trouble:
        crashed = waiting[:CRASHED]
        fleet.record.write(f"trouble srv_crash of {len(crashed)} of {RUNNERS} runners for {DOWN_S} s: "
                           f"{[runner.number for runner in crashed]}")
        for runner in crashed:
            runner.crash()
        time.sleep(DOWN_S)
        for runner in crashed:
            runner.start(keep_id=True)
        fleet.record.write("trouble the runners are back under their ids")
        sleep_until(FREEZE_S)
        for process in frozen.processes.values():
            process.send_signal(signal.SIGCONT)
        fleet.record.write(f"trouble host {frozen.number} goes on")
    until = time.monotonic() + 30
    while time.monotonic() < until and fleet.state("/roster/", KEY, job) != "completed":
        time.sleep(0.5)
    return fleet.twice


h.run_case(os.path.dirname(os.path.abspath(__file__)), body, runners=RUNNERS, cpu=4000)
