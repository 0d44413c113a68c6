#!/usr/bin/env python3
"""A stand-in for one runner, written from PROTOCOL.md. One process is one life of a runner.

The settings come as one JSON object in the first argument. The process appends one JSON line to the
record for each start, stop and end, and for each end that an order's ackCursor has passed. It ends
when it is killed. The spec of a job is a JSON object whose member `ms` says how long a task works.
"""

import http.client
import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LISTED_ENDS = 500


class Runner:
    def __init__(self, settings):
        self.id = settings["id"]
        self.address, self.port = settings["address"], settings["port"]
        self.service, self.zone = settings["service"], settings["zone"]
        self.cpu = settings["cpu"]
        self.labels = settings["labels"]
        self.control = settings["control"]
        self.heartbeat_seconds = settings["heartbeat_ms"] / 1000
        self.hold_max = settings["hold_max_ms"]
        self.stop_seconds = settings["stop_ms"] / 1000
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.record_file = os.open(settings["record"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.state = threading.Condition()
        self.fence, self.lease, self.cursor, self.last_end, self.sequence = 0, 0, 0, 0, 0
        self.running = {}  # task -> run
        self.ends = []  # rows [N, task, run, how, saved]
        self.barred = {}  # task -> highest run that was stopped or has ended here

    def write(self, what, **fields):
        line = json.dumps({"at": round(time.time(), 3), "runner": self.id, "born": self.born, "what": what, **fields})
        os.write(self.record_file, (line + "\n").encode())

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.write("end", task=task, attempt=run["attempt"], how=how, number=self.last_end)
        self.state.notify_all()

    def advance(self):
        """Ends what has to end by now. The caller holds the lock."""
        now = time.monotonic()
        if self.running and self.clock() >= self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif now >= run["end_at"]:
                self.end(task, run["how"])

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + self.hold_max))

    def answer(self, status, **fields):
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    def start(self, body):
        task, attempt, deadline = body["task"], body["attempt"], body["deadlineMs"]
        if task in self.running and self.running[task]["attempt"] == attempt:
            return self.answer(200)
        if deadline <= self.clock():
            return self.answer(409, reason="late")
        self.extend(deadline)
        if attempt <= self.barred.get(task, 0) or task in self.running:
            return self.answer(409, reason="old")
        work = json.loads(body["spec"])
        now = time.monotonic()
        self.running[task] = {"attempt": attempt, "began": now, "end_at": now + work["ms"] / 1000,
                              "ms": work["ms"], "cpu": work.get("cpu", 0), "stop_at": None,
                              "how": work.get("how", "done")}
        self.write("start", task=task, attempt=attempt, token=body.get("fencingToken", 0))
        self.state.notify_all()
        return self.answer(200)

    def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + self.stop_seconds
            self.write("stop", task=task, attempt=attempt)
        return self.answer(200)

    def hold(self, body):
        cursor = body.get("ackCursor", 0)
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        for row in self.ends:
            if self.cursor < row[0] <= cursor:
                self.write("noted", task=row[1], attempt=row[2], how=row[3], number=row[0])
        self.cursor = max(self.cursor, cursor)
        self.ends = [row for row in self.ends if row[0] > cursor]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.state.wait(until - time.monotonic())
        if body.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        now = time.monotonic()
        running = [[task, run["attempt"], "", min(99, int(100 * (now - run["began"]) * 1000 / run["ms"])), run["cpu"]]
                   for task, run in self.running.items()]
        return self.answer(200, running=running, finished=self.ends[:LISTED_ENDS])

    def order(self, path, expected, body):
        with self.state:
            self.advance()
            if expected and expected != self.id:
                return self.answer(421)
            if body.get("fencingToken", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = body.get("fencingToken", 0)
            handle = {"/lovagebeam/run-start": self.start, "/lovagebeam/run-stop": self.stop,
                      "/lovagebeam/hold": self.hold}.get(path)
            return handle(body) if handle else self.answer(404)

    def work(self):
        while True:
            time.sleep(0.01)
            with self.state:
                self.advance()

    def heartbeat(self):
        with self.state:
            self.sequence += 1
            return {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                    "capacity": {"cpu": self.cpu, "memoryRequestMb": 262144, "gpu": 0}, "labels": self.labels,
                    "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}

    def report(self):
        turn = 0
        while True:
            body = json.dumps(self.heartbeat())
            for _ in range(len(self.control)):
                if put(self.control[turn % len(self.control)], f"/lovagebeam/instances/{self.id}", body):
                    break
                turn += 1
            time.sleep(self.heartbeat_seconds)


def put(address, path, body):
    """Sends one order of a runner and follows two redirects."""
    for _ in range(3):
        connection = http.client.HTTPConnection(address, timeout=1)
        try:
            connection.request("PUT", path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        location = response.getheader("Location")
        if response.status != 307 or not location:
            return 200 <= response.status < 300
        address, _, rest = location.removeprefix("http://").partition("/")
        path = "/" + rest
    return False


class Server(ThreadingHTTPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """The system may close a connection while a response is written."""


def make_handler(runner):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
            status, answer = runner.order(self.path, self.headers.get("X-Expect-Instance"), body)
            data = json.dumps(answer).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    return Handler


def main():
    runner = Runner(json.loads(sys.argv[1]))
    server = Server((runner.address, runner.port), make_handler(runner))
    runner.write("born")
    threading.Thread(target=runner.work, daemon=True).start()
    threading.Thread(target=runner.report, daemon=True).start()
    server.serve_forever(0.5)


if __name__ == "__main__":
    main()
