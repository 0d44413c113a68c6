#!/usr/bin/env python3
"""Evacuations of failure domains by real processes: what was acknowledged survives the loss of processes and disks.

Each test starts three hosts with a core process on loopback addresses, with one simulated worker in each of two failure
domains. Usage: evacuation_test.py [TEST...]; LOVAGEBEAM_BIN names the program, with lovagebeamctl beside it. With KEEP_LOGS
set, the folders with the logs remain.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(REPOSITORY, "soak"))

from fleet import InvariantChecker, Worker, configuration  # noqa: E402

BINARY = os.environ.get("LOVAGEBEAM_BIN", os.path.join(REPOSITORY, "target", "lovagebeam"))
CTL = os.path.join(os.path.dirname(os.path.abspath(BINARY)), "lovagebeamctl")
CONTROL, CALLERS, READINESS, INTERNAL, WORKER = 8180, 8183, 8184, 7420, 8080
WAIT_S = 30
ACK_S, EVACUATE_S = 5, 5


def choose_network():
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{network}.1.1", CALLERS))
            return network
    raise RuntimeError("no free loopback addresses")


def call(address, method, path, body=None, timeout=1):
    """Returns status, Location and body of one request; status 0 without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body),
                           {"Host": "soak.example", "Authorization": "Token soak-key", "X-Deadline-Ms": "3000"})
        response = connection.getresponse()
        return response.status, response.getheader("Location"), response.read()
    except (OSError, http.client.HTTPException):
        return 0, None, b""
    finally:
        connection.close()


class Host:
    def __init__(self, test, number):
        self.test, self.number = test, number
        self.address = f"{test.network}.1.{number}"
        self.data = os.path.join(test.folder, f"data{number}")
        self.processes = {}

    def settings(self, role, first_start):
        out = {"node_id": f"host{self.number}-{role}", "address": self.address, "failure_domain": f"h{self.number}",
               "first_internal_port": INTERNAL, "last_internal_port": INTERNAL + 15, "seeds": self.test.seeds,
               "first_start": first_start, "tolerated_losses": 1, "max_lease_ms": 6000, "log_level": "info"}
        if role == "core":
            out["data_folder"] = self.data
            out["control"] = f"{self.address}:{CONTROL}"
        else:
            out["callers"] = f"{self.address}:{CALLERS}"
            out["readiness"] = f"{self.address}:{READINESS}"
        return out

    def start(self, role, first_start=False):
        path = os.path.join(self.test.folder, f"host{self.number}-{role}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(role, first_start), file)
        with open(path.replace(".json", ".log"), "ab") as log:
            self.processes[role] = subprocess.Popen([BINARY, role, "--settings", path], stdout=log, stderr=log)

    def kill(self, role="core"):
        process = self.processes[role]
        process.kill()
        process.wait()


class EvacuationTest(unittest.TestCase):

    def setUp(self):
        self.network = choose_network()
        self.folder = tempfile.mkdtemp(prefix="lovagebeam-evacuation-")
        self.seeds = [f"{self.network}.1.{number}:{CONTROL}" for number in (1, 2, 3)]
        self.hosts = [Host(self, number) for number in (1, 2, 3)]
        self.checker = InvariantChecker()
        self.over = threading.Event()
        self.addCleanup(self.close)
        self.workers = []
        for i in range(2):
            address = (f"{self.network}.2.{i + 1}", WORKER)
            self.workers.append(Worker(f"w{i}", address, address, self.checker, 16, f"z{i + 1}"))
        for host in self.hosts:
            host.start("core", True)
            host.start("entry", True)
        for worker in self.workers:
            worker.start_serving()
            threading.Thread(target=self.report, args=(worker,), daemon=True).start()
        self.wait_until(lambda: self.control("PUT", "/lovagebeam/config", configuration(1)))
        self.wait_until(lambda: self.runs_everywhere(("z1", "z2")))

    def close(self):
        self.over.set()
        for worker in self.workers:
            worker.is_up = False
            if worker.server:
                worker.server.shutdown()
                worker.server.server_close()
        for host in self.hosts:
            for process in host.processes.values():
                process.kill()
                process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def wait_until(self, condition, what="the expected state"):
        end = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, f"no sign of {what}")
            time.sleep(0.05)

    def report(self, worker):
        while not self.over.is_set():
            if worker.is_up:
                self.control("PUT", f"/lovagebeam/instances/i-{worker.name}", worker.heartbeat())
            self.over.wait(0.5)

    def control(self, method, path, body=None):
        """One call of an operator or worker, with up to two redirects. Returns the host that accepted it, or None."""
        for host in random.sample(self.hosts, len(self.hosts)):
            address = (host.address, CONTROL)
            for _ in range(3):
                status, location, _ = call(address, method, path, body)
                if status != 307 or not location:
                    break
                address = (location.split("//")[1].split(":")[0], CONTROL)
            if 200 <= status < 300:
                return next(h for h in self.hosts if h.address == address[0])
        return None

    def order(self, method, zone):
        """Sends an order as operators do. Returns the host that acknowledged it."""
        begin = time.monotonic()
        while not (leader := self.control(method, f"/lovagebeam/evacuate/{zone}")):
            self.assertLess(time.monotonic(), begin + ACK_S, "the order isn't acknowledged")
            time.sleep(0.05)
        return leader

    def submit(self, tasks=4):
        job = f"{random.getrandbits(64):016x}"
        self.checker.known_jobs.add(job)
        body = {"spec": "0.05 s", "phases": [{"count": tasks, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 50}]}
        return any(call((host.address, CALLERS), "POST", f"/q/{job}", body, 3)[0] == 200 for host in self.hosts)

    def count_starts(self, seconds):
        """Submits jobs for a while. Returns the number of starts in each failure domain meanwhile."""
        counts = {"z1": 0, "z2": 0}
        lock = threading.Lock()
        originally = self.checker.on_start

        def on_start(worker, task, attempt, zone):
            with lock:
                counts[zone] += 1
            originally(worker, task, attempt, zone)

        self.checker.on_start = on_start
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.submit(24)  # more than one worker takes
            time.sleep(0.1)
        self.checker.on_start = originally
        return counts

    def runs_everywhere(self, zones):
        counts = self.count_starts(0.5)
        return all(counts[zone] > 0 for zone in zones)

    def check_evacuated(self, zone, other, acknowledged):
        """No task starts in `zone` from 5 s after the acknowledgement on, while the other one is served."""
        self.checker.evacuated[zone] = acknowledged + EVACUATE_S
        self.wait_until(lambda: self.runs_everywhere((other,)), f"starts in {other}")
        time.sleep(max(0.0, acknowledged + EVACUATE_S - time.monotonic()))
        counts = self.count_starts(3)
        self.assertEqual(0, counts[zone])
        self.assertGreater(counts[other], 0)
        self.assertEqual([], self.checker.violations)

    def withdraw(self, zone):
        self.checker.evacuated.pop(zone, None)
        self.order("DELETE", zone)
        self.wait_until(lambda: self.runs_everywhere((zone,)), f"starts in {zone}")

    def test_order_is_in_force_until_withdrawn(self):
        self.order("POST", "z1")
        self.check_evacuated("z1", "z2", time.monotonic())
        self.order("POST", "z1")
        self.withdraw("z1")
        self.assertEqual([], self.checker.violations)

    # Guards against an acknowledgement before the order is on a majority's disks.
    def test_leader_killed_after_acknowledgement(self):
        leader = self.order("POST", "z1")
        acknowledged = time.monotonic()
        leader.kill()
        self.check_evacuated("z1", "z2", acknowledged)
        leader.start("core")
        self.withdraw("z1")

    # Guards against a refusal, or a wait beyond the operators' time, when an order that may have been committed comes
    # again at the next leader.
    def test_leader_killed_before_it_answers_order_sent_again_is_acknowledged(self):
        leader = self.order("DELETE", "z1")
        connection = http.client.HTTPConnection(leader.address, CONTROL, timeout=1)
        connection.request("POST", "/lovagebeam/evacuate/z1")
        leader.kill()
        connection.close()
        self.order("POST", "z1")
        self.check_evacuated("z1", "z2", time.monotonic())

    def test_leader_killed_and_its_disk_lost_after_acknowledgement(self):
        leader = self.order("POST", "z1")
        acknowledged = time.monotonic()
        leader.kill()
        shutil.rmtree(leader.data)
        leader.start("core")
        self.check_evacuated("z1", "z2", acknowledged)

    def test_all_core_processes_killed_after_acknowledgement(self):
        self.order("POST", "z1")
        acknowledged = time.monotonic()
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            host.start("core")
        self.check_evacuated("z1", "z2", acknowledged)

    # An order to any process gets there: 307 from followers, and the same refusal from each of them.
    def test_each_process_redirects_or_refuses(self):
        statuses = [call((host.address, CONTROL), "POST", "/lovagebeam/evacuate/z9")[0] for host in self.hosts]
        self.assertEqual([200, 307, 307], sorted(statuses))
        for host in self.hosts:
            address = (host.address, CONTROL)
            for path in ("", "a%20b", "a/b", "a" * 65):
                status, _, body = call(address, "POST", f"/lovagebeam/evacuate/{path}")
                self.assertEqual(400, status)
                self.assertIn("error", json.loads(body))
            self.assertEqual(405, call(address, "PUT", "/lovagebeam/evacuate/z1")[0])

    def ctl(self, *arguments):
        """Runs lovagebeamctl against a process that may not lead. Returns its exit code and output."""
        done = subprocess.run([CTL, "--host", f"{random.choice(self.hosts).address}:{INTERNAL + 1}", *arguments],
                              capture_output=True, text=True, timeout=WAIT_S, check=False)
        return done.returncode, done.stdout + done.stderr

    @unittest.skipUnless(os.path.exists(CTL), "needs lovagebeamctl beside the program")
    def test_command_evacuates_lists_and_withdraws(self):
        note = ["--who", "ops", "--why", "power work"]
        code, text = self.ctl("evacuate", "z1", *note)
        self.assertEqual(0, code, text)
        code, text = self.ctl("evacuations", "--json")
        self.assertEqual(0, code, text)
        record = json.loads(text)["evacuations"][0]
        self.assertEqual(["z1", True, 1, "ops", "power work"],
                         [record[name] for name in ("domain", "evacuated", "revision", "who", "why")])
        self.assertEqual(3, self.ctl("evacuate", "z1", "--withdraw", "--expected-revision", "7", *note)[0])
        self.assertEqual(2, self.ctl("evacuate", "z1")[0])
        self.assertEqual(0, self.ctl("evacuate", "z1", "--withdraw", "--expected-revision", "1", *note)[0])
        self.assertFalse(json.loads(self.ctl("evacuations", "--json")[1])["evacuations"][0]["evacuated"])


if __name__ == "__main__":
    unittest.main()
