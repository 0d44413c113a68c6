#!/usr/bin/env python3
"""Runs the programs as processes on loopback addresses, injects random faults and checks the guarantees.

Usage: soak/soak.py --bin build/lovagebeam [--seed N] [--seconds S] [--hosts H] [--workers W] [--net N]
Exits with 0 if no guarantee was violated. Ends only processes that it started, by process id.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

from fleet import InvariantChecker, Worker, configuration
from proxy import Proxy

CONTROL, CALLERS, READY, INTERNAL = 8180, 8183, 8184, 7420
CONVERGENCE_TIMEOUT_SECONDS = 60
MAX_PAUSE_SECONDS = 3.0
SERVICE_TASKS = 2
ZONES = 4  # failure domains of the workers
# More tasks on each worker in runs with evacuations, so that the callers' load fits beside an evacuated failure domain.
SPARE_TASKS = 3
# From this long after the acknowledgement of an evacuation on, no task may start in the failure domain.
EVACUATE_SECONDS = 5.0
# An operator sends an order that isn't acknowledged again for this long.
ACK_SECONDS = 5.0
# Until its handlers are installed, SIGHUP ends a process.
STARTUP_SECONDS = 0.5


class Host:
    """A host with a core and an entry process, their settings files and the data folder of the core."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.address = f"127.{soak.options.net}.1.{number}"
        self.folder = os.path.join(soak.folder, f"host{number}")
        self.processes, self.started_at = {}, {}
        self.reloaded_early = set()  # roles whose process got SIGHUP within STARTUP_SECONDS
        self.lock = threading.Lock()
        os.makedirs(self.folder)

    def settings(self, role, first_start):
        out = {"node_id": f"host{self.number}-{role}", "address": self.address,
               "failure_domain": f"z{self.number}", "first_internal_port": INTERNAL,
               "last_internal_port": INTERNAL + 15, "seeds": self.soak.seeds,
               "first_start": first_start, "tolerated_losses": 1, "max_lease_ms": 6000,
               "grace_ms": 6000, "log_level": "info"}
        if role == "core":
            out["data_folder"] = os.path.join(self.folder, "data")
            out["control"] = f"{self.address}:{CONTROL}"
        else:
            out["callers"] = f"{self.address}:{CALLERS}"
            out["readiness"] = f"{self.address}:{READY}"
        return out

    def start(self, role, first_start=False):
        path = os.path.join(self.folder, f"{role}.json")
        with open(path, "w") as file:
            json.dump(self.settings(role, first_start), file)
        with open(os.path.join(self.folder, f"{role}.log"), "ab") as log:
            self.processes[role] = subprocess.Popen(
                [self.soak.binary, role, "--settings", path], stdout=log, stderr=log)
        self.started_at[role] = time.monotonic()
        self.reloaded_early.discard(role)

    def kill(self, role):
        process = self.processes[role]
        process.kill()
        process.wait()

    def stop(self, role):
        process = self.processes[role]
        process.terminate()
        try:
            process.wait(8)
        except subprocess.TimeoutExpired:
            self.soak.checker.report_violation(f"STOP host{self.number} {role} did not stop within 8 s")
            process.kill()
            process.wait()

    def reload(self):
        for role, process in self.processes.items():
            if time.monotonic() - self.started_at[role] < STARTUP_SECONDS:
                self.reloaded_early.add(role)
            process.send_signal(signal.SIGHUP)

    def restart_ended(self):
        """Starts processes again that ended by themselves, as the platform does."""
        for role, process in list(self.processes.items()):
            code = process.poll()
            if code is None:
                continue
            if code != -signal.SIGHUP or role not in self.reloaded_early:
                self.soak.checker.report_violation(f"ENDED host{self.number} {role} ended with {code}")
            self.start(role)

    def wipe(self):
        shutil.rmtree(os.path.join(self.folder, "data"), ignore_errors=True)


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.binary = os.path.abspath(options.bin)
        self.folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
        self.checker = InvariantChecker()
        self.is_over = False
        self.are_faults_over = False
        # Runs with an even seed have no evacuations, so that the workers are as full as the callers' load makes them.
        self.has_evacuations = options.seed % 2 == 1
        self.evacuations = 0  # that were acknowledged
        self.core_fault_lock = threading.Lock()  # at most one core process is faulty at a time
        self.accepted, self.refused, self.open_jobs = {}, {}, set()
        self.job_states, self.pending = {}, {}
        self.cancel_sent = set()  # jobs that may be cancelled, with or without an answer
        self.service = f"{options.seed:016x}"
        self.lock = threading.Lock()
        self.hosts = [Host(self, i + 1) for i in range(options.hosts)]
        self.seeds = [f"{host.address}:{CONTROL}" for host in self.hosts[:3]]
        self.workers, self.proxies = [], []
        for i in range(options.workers):
            inner, outer = (f"127.{options.net}.2.{i + 1}", 8080), (f"127.{options.net}.4.{i + 1}", 8080)
            # The service takes as much as two workers have more, so that the callers' load stays what it was.
            capacity = (9 if i < SERVICE_TASKS else 8) + (SPARE_TASKS if self.has_evacuations else 0)
            self.workers.append(Worker(f"w{i}", inner, outer, self.checker, capacity, f"z{i % ZONES + 1}"))
            self.proxies.append(Proxy(outer, inner))

    # Requests of the platform: heartbeats of workers and configuration changes.

    def call_control(self, method, path, body):
        for host in self.random.sample(self.hosts, len(self.hosts)):
            address = (host.address, CONTROL)
            for _ in range(3):
                status, location = self.call_once(address, method, path, body)
                if status == 307 and location:
                    host_port = location.split("//")[1].split("/")[0].split(":")
                    address = (host_port[0], int(host_port[1]))
                    continue
                break
            if 200 <= status < 300:
                return True
        return False

    @staticmethod
    def call_once(address, method, path, body):
        connection = http.client.HTTPConnection(*address, timeout=1)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
            return response.status, response.getheader("Location")
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def heartbeat_loop(self, worker):
        while not self.is_over:
            if worker.is_up:
                self.call_control("PUT", f"/lovagebeam/instances/i-{worker.name}",
                                  worker.heartbeat())
            time.sleep(1.0)

    def operator_loop(self):
        version = 1
        while not self.is_over:
            if self.call_control("PUT", "/lovagebeam/config", configuration(version)):
                version += self.random.randint(1, 3)
                time.sleep(self.random.uniform(1, 4))
            else:
                time.sleep(0.3)

    def order_evacuation(self, method, zone):
        """Returns whether the order was acknowledged within the time that an operator repeats it."""
        end = time.monotonic() + ACK_SECONDS
        while time.monotonic() < end:
            if self.call_control(method, f"/lovagebeam/evacuate/{zone}", None):
                return True
            time.sleep(0.05)
        return False

    def evacuation_loop(self):
        """Evacuates one failure domain at a time and withdraws the order some seconds later, until the faults end."""
        while not self.is_over and not self.are_faults_over:
            time.sleep(self.random.uniform(1, 4))
            zone = f"z{self.random.randint(1, ZONES)}"
            if self.order_evacuation("POST", zone):
                self.evacuations += 1
                self.checker.evacuated[zone] = time.monotonic() + EVACUATE_SECONDS
                time.sleep(self.random.uniform(1, 15))
            # From the first attempt on the withdrawal may be in force.
            self.checker.evacuated.pop(zone, None)
            while not self.is_over and not self.order_evacuation("DELETE", zone):
                pass

    # Callers. Each reuses its connection until the connection fails or closes.

    def caller_loop(self, number):
        rng = random.Random(self.options.seed * 1000 + number)
        connection, entry = None, None
        while not self.is_over:
            job = f"{rng.getrandbits(64):016x}"
            tasks, seconds = rng.randint(1, 4), rng.uniform(0.05, 2.5)
            body = json.dumps({"spec": f"{seconds:.2f} s", "phases": [
                {"count": tasks, "cpu": 1000, "memoryRequestMb": 64,
                 "estimatedMs": int(seconds * 1000), "gang": False}]})
            self.checker.known_jobs.add(job)
            outcomes = []
            for _ in range(5):
                if connection is None:
                    entry = rng.choice(self.hosts)
                    connection = http.client.HTTPConnection(entry.address, CALLERS, timeout=3.5)
                status = self.send(connection, "POST", job, body)
                outcomes.append(status)
                if status in (0, 502, 503, 504):
                    connection.close()
                    connection = None
                    time.sleep(rng.uniform(0.1, 0.8))
                    continue
                break
            with self.lock:
                if outcomes[-1] == 200:
                    self.accepted[job] = time.monotonic()
                    self.open_jobs.add(job)
                elif all(status in (429, 503) for status in outcomes):
                    self.refused[job] = outcomes
            if outcomes[-1] == 200 and rng.random() < 0.1 and connection is not None:
                self.cancel_sent.add(job)
                if self.send(connection, "DELETE", job, None) == 200:
                    self.checker.cancelled[job] = time.monotonic()
            time.sleep(rng.uniform(0.05, 0.6))

    def send(self, connection, method, job, body):
        headers = {"Host": "soak.example", "Authorization": "Token soak-key",
                   "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
        try:
            connection.request(method, f"/q/{job}", body, headers)
            response = connection.getresponse()
            text = response.read()
            if method == "GET" and response.status == 200:
                answer = json.loads(text)
                self.job_states[job], self.pending[job] = answer.get("state"), answer.get("pending")
            return response.status
        except (OSError, http.client.HTTPException, ValueError):
            return 0

    def call_entry(self, host, method, job, body):
        """One request on a connection of its own."""
        connection = http.client.HTTPConnection(host.address, CALLERS, timeout=3.5)
        status = self.send(connection, method, job, body)
        connection.close()
        return status

    def submit_service(self):
        """Submits a job that runs until it is cancelled, with tasks on different workers."""
        self.checker.known_jobs.add(self.service)
        body = json.dumps({"spec": "86400 s", "phases": [
            {"count": SERVICE_TASKS, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 86_400_000,
             "longRunning": True, "antiAffinity": 1}]})
        while not self.is_over and self.call_entry(self.pick_host(), "POST", self.service, body) != 200:
            time.sleep(0.3)

    def query_state(self, job):
        for host in self.random.sample(self.hosts, len(self.hosts)):
            status = self.call_entry(host, "GET", job, None)
            if status == 200:
                return self.job_states[job]
            if status == 410:
                return "unknown"
        return "no answer"

    # Faults. Each runs on its own thread, so that faults overlap.

    def watch_loop(self):
        while not self.is_over:
            for host in self.hosts:
                # Locked while a fault keeps one of the host's processes down.
                if host.lock.acquire(blocking=False):
                    try:
                        host.restart_ended()
                    finally:
                        host.lock.release()
            time.sleep(0.1)

    def fault_loop(self):
        kinds = [self.kill_core, self.pause_core, self.stop_core, self.wipe_core, self.kill_entry,
                 self.stop_entry, self.reload, self.crash_worker, self.cut_worker,
                 self.disturb_connections, self.delay_orders]
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            print(f"{time.strftime('%H:%M:%S')} fault {kind.__name__}", flush=True)
            threading.Thread(target=kind, daemon=True).start()
            time.sleep(self.random.uniform(0.3, 2.0))

    def pick_host(self):
        return self.random.choice(self.hosts)

    def with_random_core(self, act):
        if not self.core_fault_lock.acquire(timeout=0.1):
            return
        try:
            host = self.pick_host()
            with host.lock:
                act(host)
            time.sleep(3)  # lets the host catch up before the next core fault
        finally:
            self.core_fault_lock.release()

    def kill_core(self):
        def act(host):
            host.kill("core")
            time.sleep(self.random.uniform(0.1, 3))
            host.start("core")
        self.with_random_core(act)

    def pause_core(self):
        def act(host):
            os.kill(host.processes["core"].pid, signal.SIGSTOP)
            time.sleep(self.random.uniform(0.2, MAX_PAUSE_SECONDS))
            os.kill(host.processes["core"].pid, signal.SIGCONT)
        self.with_random_core(act)

    def stop_core(self):
        def act(host):
            host.stop("core")
            host.start("core")
        self.with_random_core(act)

    def wipe_core(self):
        def act(host):
            host.kill("core")
            host.wipe()
            host.start("core")
            time.sleep(5)
        self.with_random_core(act)

    def kill_entry(self):
        host = self.pick_host()
        with host.lock:
            host.kill("entry")
            time.sleep(self.random.uniform(0.1, 1))
            host.start("entry")

    def stop_entry(self):
        host = self.pick_host()
        with host.lock:
            host.stop("entry")
            host.start("entry")

    def reload(self):
        host = self.pick_host()
        with host.lock:
            host.reload()

    def crash_worker(self):
        worker = self.random.choice(self.workers)
        worker.crash()
        time.sleep(self.random.uniform(0.1, 3))
        worker.restart()

    def cut_worker(self):
        proxy = self.random.choice(self.proxies)
        way = self.random.choice(["forward", "back", "both"])
        proxy.cut_forward, proxy.cut_back = way != "back", way != "forward"
        time.sleep(self.random.uniform(0.5, 8))
        proxy.clear_faults()

    def disturb_connections(self):
        proxy = self.random.choice(self.proxies)
        how = self.random.choice(["delay", "reset", "blackhole"])
        if how == "delay":
            proxy.delay = 0.3
            time.sleep(self.random.uniform(1, 4))
            proxy.delay = 0.0
        elif how == "reset":
            proxy.reset_all()
        else:
            proxy.blackhole_all()

    def delay_orders(self):
        worker = self.random.choice(self.workers)
        worker.late_share = self.random.uniform(0.05, 0.5)
        time.sleep(self.random.uniform(1, 6))
        if self.random.random() < 0.5:
            worker.crash()
            time.sleep(self.random.uniform(0.1, 3))
            worker.restart()
        worker.late_share = 0.0

    # Main sequence and final checks.

    def run(self):
        for host in self.hosts:
            host.start("entry", True)
            host.start("core", True)
        for worker in self.workers:
            worker.start_serving()
        loops = [threading.Thread(target=loop, daemon=True) for loop in (self.operator_loop, self.watch_loop)]
        loops += [threading.Thread(target=self.heartbeat_loop, args=(worker,), daemon=True)
                  for worker in self.workers]
        for loop in loops:
            loop.start()
        time.sleep(4)
        threading.Thread(target=self.submit_service, daemon=True).start()
        callers = [threading.Thread(target=self.caller_loop, args=(i,), daemon=True)
                   for i in range(self.options.callers)]
        for caller in callers:
            caller.start()
        if self.has_evacuations:
            threading.Thread(target=self.evacuation_loop, daemon=True).start()
        self.fault_loop()
        self.are_faults_over = True
        time.sleep(10)  # lets active faults end
        for proxy in self.proxies:
            proxy.clear_faults()
        self.check_final_states()

    def check_final_states(self):
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
        with self.lock:
            waiting = set(self.open_jobs)
        states = {}
        while waiting and time.monotonic() < deadline:
            for job in list(waiting):
                states[job] = self.query_state(job)
                if states[job] in ("completed", "failed", "cancelled"):
                    waiting.discard(job)
            time.sleep(0.2)
        self.check_service(deadline)
        self.check_pending()
        self.is_over = True
        for job in waiting:
            self.checker.report_violation(f"LOST {job} is {states.get(job)}")
        for job, state in states.items():
            # A cancel may have been carried out although its response was lost.
            if state == "cancelled" and job not in self.cancel_sent:
                self.checker.report_violation(f"LOST {job} is reported as cancelled, but nobody cancelled it")
            if state == "failed":
                self.checker.report_violation(f"LOST {job} is reported as failed, but no task fails here")
        started = {task.split(".")[0] for task in self.checker.running}
        for job in self.refused:
            if job in started:
                self.checker.report_violation(f"REFUSED {job} was refused on every attempt, but started")

    def check_service(self, deadline):
        """The service must be at work again, however often its workers crashed."""
        names = [f"{self.service}.0.0.{index}" for index in range(SERVICE_TASKS)]
        at_work, state = 0, None
        while time.monotonic() < deadline and (at_work < len(names) or state != "running"):
            time.sleep(0.2)
            at_work = sum(1 for name in names if self.checker.running.get(name))
            state = self.query_state(self.service)
        if at_work < len(names) or state != "running":
            self.checker.report_violation(f"LOST the service {self.service} is {state} with {at_work} of "
                                          f"{len(names)} tasks at work")

    def check_pending(self):
        """Half of the jobs that were accepted 5 s ago and haven't begun must be counted, as the rules have it."""
        for host in self.hosts:
            with self.lock:
                due = {job for job, when in self.accepted.items() if time.monotonic() - when > 5}
            status = self.call_entry(host, "GET", "", None)
            begun = {task.split(".")[0] for task in list(self.checker.running)}
            cancelled = {job for job in self.cancel_sent
                         if job in self.checker.cancelled or self.job_states.get(job) == "cancelled"}
            waiting = len(due - begun - cancelled)
            if status == 200 and self.pending[""] < waiting / 2:
                self.checker.report_violation(f"MIXED host{host.number} counts {self.pending['']} jobs as pending, but "
                                              f"{waiting} haven't begun")

    def close(self):
        self.is_over = True
        for host in self.hosts:
            for process in host.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/lovagebeam")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--net", type=int, default=9,
                        help="second octet of the loopback addresses; must differ between concurrent runs")
    options = parser.parse_args()
    soak = Soak(options)
    try:
        soak.run()
    finally:
        soak.close()
    checker = soak.checker
    print(f"seed={options.seed} accepted={len(soak.accepted)} refused={len(soak.refused)} "
          f"starts={checker.starts} evacuations={soak.evacuations} violations={len(checker.violations)}")
    for violation in checker.violations[:20]:
        print(violation)
    if checker.violations or not soak.accepted:
        print(f"logs: {soak.folder}")
        return 1
    shutil.rmtree(soak.folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
