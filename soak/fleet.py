"""Simulated workers and the configuration document of the soak test, written from the published protocol.

A worker implements fencing tokens, attempts, leases and numbered end records as the protocol specifies. It
reports every start and end of a task to the invariant checker.
"""

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STOP_DELAY_SECONDS = 0.1
GANG_SECONDS = 3.0
MAX_LEASE_MS = 6000
LATE_ORDER_SECONDS = (2.0, 12.0)


def now_ms():
    return int(time.monotonic() * 1000)


class InvariantChecker:
    """Records what every worker runs and collects violations of the scheduler's guarantees."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task -> {worker name: attempt}
        self.done = set()
        self.starts = 0
        self.cancelled = {}  # job -> time when the cancel was acknowledged
        self.known_jobs = set()
        self.evacuated = {}  # failure domain -> time from which on no task may start there
        self.violations = []

    def report_violation(self, text):
        self.violations.append(f"{time.strftime('%H:%M:%S')} {text}")

    def on_start(self, worker, task, attempt, zone):
        job = task.split(".")[0]
        with self.lock:
            self.starts += 1
            others = self.running.setdefault(task, {})
            if others:
                self.report_violation(f"TWICE {task}#{attempt} on {worker}, also {others}")
            if task in self.done:
                self.report_violation(f"TWICE {task}#{attempt} on {worker} after its end was acknowledged")
            if job not in self.known_jobs:
                self.report_violation(f"UNASKED {task}#{attempt} on {worker}")
            if time.monotonic() - self.cancelled.get(job, time.monotonic()) > 3:
                self.report_violation(f"UNASKED {task}#{attempt} on {worker}, its job is cancelled")
            if time.monotonic() > self.evacuated.get(zone, time.monotonic()):
                self.report_violation(f"EVACUATED {task}#{attempt} on {worker} in {zone}")
            others[worker] = attempt

    def on_end(self, worker, task):
        with self.lock:
            self.running.get(task, {}).pop(worker, None)

    def on_end_acknowledged(self, task):
        with self.lock:
            self.done.add(task)


class WorkerServer(ThreadingHTTPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignores broken connections: the injected faults close them while a response is written."""


class Worker:
    """A simulated worker. `advertised` is the address of the proxy in front of it."""

    def __init__(self, name, address, advertised, checker, capacity, zone="z1"):
        self.zone = zone
        self.name, self.address, self.advertised = name, address, advertised
        self.checker, self.capacity = checker, capacity
        self.lock = threading.Condition()
        self.is_up = False
        self.late_share = 0.0  # of the orders, which stay unanswered and are carried out seconds later
        self.server = None
        self.begin_instance()

    def begin_instance(self):
        """Resets all state, as a new process of this worker would have it."""
        with self.lock:
            self.started_at = int(time.time() * 1000)
            self.clock_base = now_ms()
            self.fence, self.lease, self.sequence, self.last_end = 0, 0, 0, 0
            # `refused_up_to` holds the highest attempt of each task that is no longer accepted.
            self.runs, self.ends, self.refused_up_to = {}, [], {}
            self.ended_at, self.lease_expired_at = {}, 0.0

    def clock(self):
        return now_ms() - self.clock_base

    def start_serving(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
                if random.random() < worker.late_share:
                    late = random.uniform(*LATE_ORDER_SECONDS)
                    threading.Timer(late, worker.carry_out_late, (self.path, body, worker.started_at)).start()
                    time.sleep(late)
                    self.close_connection = True
                    return
                status, answer = worker.handle_request(self.path, body)
                if not worker.is_up:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        self.server = WorkerServer(self.address, Handler)
        self.is_up = True
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.advance_loop, daemon=True).start()

    def crash(self):
        with self.lock:
            self.is_up = False
            for task in list(self.runs):
                self.checker.on_end(self.name, task)
            self.runs = {}
            self.lock.notify_all()

    def restart(self):
        # Another crash that overlapped this one may have started the worker again already.
        self.crash()
        self.begin_instance()
        self.is_up = True

    def advance_loop(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                if self.is_up:
                    self.advance()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if self.clock() >= self.lease:
                self.end(task, "lapsed")
            elif run["stop_at"] and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["end_at"] and now >= run["end_at"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), run["attempt"])
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.ended_at[self.last_end] = time.monotonic()
        self.checker.on_end(self.name, task)
        self.lock.notify_all()

    def handle_request(self, path, body):
        with self.lock:
            self.advance()
            if not self.is_up:
                return 503, {}
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = body.get("fencingToken", 0)
            if path.endswith("/run-start"):
                return self.start(body)
            if path.endswith("/run-stop"):
                return self.stop(body)
            if path.endswith("/hold"):
                return self.hold(body)
            return 404, {}

    def carry_out_late(self, path, body, started_at):
        """Carries out an order that was held up on its way, whatever process of the worker runs by now."""
        with self.lock:
            # Before the leader's first call, nothing tells a new process from the earlier one.
            is_reachable = started_at == self.started_at or self.fence > 0
        if self.is_up and is_reachable:
            self.handle_request(path, dict(body, waitMs=0))

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        answer = {"clockMs": self.clock()}
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, answer
        if body["deadlineMs"] <= self.clock():
            return 409, dict(answer, reason="late")
        if self.refused_up_to.get(task, 0) >= attempt:
            return 409, dict(answer, reason="old")
        self.lease = max(self.lease, body["deadlineMs"])
        seconds = float(body["spec"].split()[0])
        self.runs[task] = {"attempt": attempt, "end_at": time.monotonic() + seconds, "stop_at": None}
        used = sum(1 for _ in self.runs)
        if used > self.capacity:
            self.checker.report_violation(f"LIMIT {used} of {self.capacity} tasks on {self.name}")
        self.checker.on_start(self.name, task, attempt, self.zone)
        return 200, answer

    def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), attempt)
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            self.runs[task]["stop_at"] = self.runs[task]["stop_at"] or time.monotonic() + STOP_DELAY_SECONDS
        return 200, {"clockMs": self.clock()}

    def hold(self, body):
        cursor, token = body.get("ackCursor", 0), body.get("fencingToken", 0)
        if self.clock() >= self.lease:
            self.lease_expired_at = time.monotonic()
        if "deadlineMs" in body:
            self.lease = max(self.lease, min(body["deadlineMs"], self.clock() + MAX_LEASE_MS))
        for row in self.ends:
            # The scheduler may place a task again if it learns of the task's end only after the lease
            # has expired, so such an end isn't checked.
            if row[0] <= cursor and row[3] == "done" and self.ended_at[row[0]] > self.lease_expired_at:
                self.checker.on_end_acknowledged(row[1])
        self.ends = [row for row in self.ends if row[0] > cursor]
        until, started_at = time.monotonic() + body.get("waitMs", 0) / 1000, self.started_at
        while self.is_up and not self.ends and time.monotonic() < until and started_at == self.started_at:
            self.lock.wait(until - time.monotonic())
            if self.is_up:
                self.advance()
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        running = [[task, run["attempt"], "", int(time.monotonic() * 10) % 100]
                   for task, run in self.runs.items()]
        return 200, {"clockMs": self.clock(), "born": self.started_at, "running": running,
                     "finished": self.ends[:500]}

    def heartbeat(self):
        with self.lock:
            self.sequence += 1
            return {"service": "pool", "address": "%s:%d" % self.advertised, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                    "capacity": {"cpu": self.capacity * 1000, "memoryRequestMb": 65536, "gpu": 0},
                    "labels": ["a", "r1"], "clockMs": self.clock(), "sequence": self.sequence,
                    "born": self.started_at}


def configuration(version):
    return {"version": version,
            "routes": [{"name": "q", "host": "soak.example", "pathPrefix": "/q/", "timeoutMs": 3000,
                        "targetLatencyMs": 1000, "priority": 1, "service": "pool",
                        "maxAttempts": 4, "slackFactor": 3.0}],
            "services": [{"name": "pool", "enforceCapacity": False}],
            "tenants": [{"name": "team", "apiKeys": ["soak-key"], "weight": 1}]}
