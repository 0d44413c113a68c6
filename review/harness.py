"""A small deployment on loopback addresses, for the scripts of this review.

It starts the project's own programs with the commands of the deploy file, and plays the runners, the clients, the
operator and the platform as PROTOCOL.md describes them. Runners and proxies live in this process, on asyncio.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(REPOSITORY, "target", "lovagebeam")
CONTROL, CALLERS, READY, FIRST_INTERNAL = 8180, 8183, 8184, 7420

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds of the Kowhai booking desk (SYSTEM.md).
HOLD_MAX_MS = 6000
STOP_TIMEOUT_S = 0.4
GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5


def choose_network():
    """An octet for the loopback addresses 127.N.x.y on which the ports of the deployment are free."""
    import socket
    for _ in range(50):
        net = random.randint(20, 250)
        probe = socket.socket()
        try:
            for port in (CONTROL, CALLERS, READY, FIRST_INTERNAL):
                with socket.socket() as one:
                    one.bind((f"127.{net}.1.1", port))
            return net
        except OSError:
            continue
        finally:
            probe.close()
    raise RuntimeError("no free loopback addresses")


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()
        self.broken = []

    def time(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.time():8.3f} {text}\n")
        self.file.flush()

    def violation(self, text):
        self.broken.append(text)
        self.write(f"BROKEN {text}")


# HTTP over asyncio.


async def read_message(reader):
    """Reads one HTTP message. Returns the first line, the headers and the body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


def encode_response(status, body):
    data = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call on a connection of its own. Returns the status, the headers and the parsed body; status 0 if
    there was no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json",
                      "Content-Length": str(len(data)), "Connection": "close"}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            answer = await read_message(reader)
            if answer is None:
                return 0, {}, None
            text = answer[2]
            return int(answer[0].split()[1]), answer[1], json.loads(text) if text else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0, {}, None


# The programs of the project.


class Host:
    """A machine with a disk: a core and an entry process, with the settings of deploy/settings.json.template."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.address = f"127.{deployment.net}.1.{number}"
        self.folder = os.path.join(deployment.folder, f"host{number}")
        self.processes = {}
        os.makedirs(os.path.join(self.folder, "data"))

    def settings(self, role, first_start):
        out = {"node_id": f"client_facing-z{self.number}-1", "address": self.address,
               "failure_domain": f"z{self.number}", "first_internal_port": FIRST_INTERNAL,
               "last_internal_port": FIRST_INTERNAL + 15, "seeds": self.deployment.seeds,
               "first_start": first_start, "tolerated_losses": 1, "max_lease_ms": HOLD_MAX_MS,
               "heartbeat_ms": int(HEARTBEAT_S * 1000), "control_mode": "invocation", "log_level": "info"}
        if role == "core":
            out["data_folder"] = os.path.join(self.folder, "data")
            out["control"] = f"{self.address}:{CONTROL}"
            out["metrics"] = f"{self.address}:19464"
        else:
            out["callers"] = f"{self.address}:{CALLERS}"
            out["readiness"] = f"{self.address}:{READY}"
            if self.deployment.adviser:
                out["advice_service"] = "%s:%d" % self.deployment.adviser.address
            out["metrics"] = f"{self.address}:19465"
        return out

    def start(self, role, first_start=False):
        path = os.path.join(self.folder, f"{role}.json")
        with open(path, "w") as file:
            json.dump(self.settings(role, first_start), file)
        with open(os.path.join(self.folder, f"{role}.log"), "ab") as log:
            self.processes[role] = subprocess.Popen(
                [BINARY, role], stdout=log, stderr=log, cwd=REPOSITORY,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                     "LOVAGEBEAM_SETTINGS": path})

    def kill(self, role):
        self.processes[role].kill()
        self.processes[role].wait()

    def signal(self, role, number):
        self.processes[role].send_signal(number)


class Deployment:
    """Hosts, runners and the operator. `configuration` is the first configuration."""

    def __init__(self, record, hosts=4):
        self.record = record
        self.adviser = None  # set before the processes start, where queues have a placement adviser
        self.net = choose_network()
        self.folder = tempfile.mkdtemp(prefix="lovagebeam-review-")
        self.seeds = [f"127.{self.net}.1.{i + 1}:{CONTROL}" for i in range(min(hosts, 3))]
        self.hosts = [Host(self, i + 1) for i in range(hosts)]
        self.runners = []
        self.observer = None  # is told of every start, end and acknowledged end
        self.gangs = {}  # (step, attempt) -> {task: runner} of the members that are present

    def start_all(self):
        for host in self.hosts:
            host.start("entry", True)
            host.start("core", True)

    def close(self):
        for host in self.hosts:
            for process in host.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs are kept")
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def control(self, method, path, body, timeout=1.0):
        """A call of the operator or of a runner: any node, two redirects, then the next node."""
        status, answer = 0, None
        for host in random.sample(self.hosts, len(self.hosts)):
            address = (host.address, CONTROL)
            for _ in range(3):
                status, headers, answer = await call(address, method, path, body, timeout=timeout)
                if status != 307:
                    break
                name, port = headers["location"].split("//")[1].split("/")[0].split(":")
                address = (name, int(port))
            if 200 <= status < 300:
                return status, answer
        return status, answer

    async def put_configuration(self, document, seconds=15):
        """Sends the configuration again until it is acknowledged."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await self.control("PUT", "/lovagebeam/config", document)
            if status == 200:
                self.record.write(f"operator: configuration {document['version']} acknowledged")
                return True
            await asyncio.sleep(0.3)
        return False

    async def client(self, method, path, body=None, key="key-of-team-a", host="desk.example", deadline_ms=3000,
                     entry=None):
        """One call of a client at an entry process."""
        to = (entry or random.choice(self.hosts)).address
        headers = {"Host": host, "Authorization": f"Token {key}", "X-Deadline-Ms": str(deadline_ms)}
        status, _, answer = await call((to, CALLERS), method, path, body, headers, deadline_ms / 1000 + 0.5)
        return status, answer

    async def submit(self, path, body, attempts=8):
        """Hands a job in as a client does: again with the same id after no answer, 502, 503 and 504."""
        for _ in range(attempts):
            status, _ = await self.client("POST", path, body)
            self.record.write(f"client: POST {path} -> {status}")
            if status == 200:
                return True
            if status not in (0, 429, 502, 503, 504):
                return False
            await asyncio.sleep(0.4)
        return False

    async def state(self, path, attempts=8):
        """Asks for the state of a job until there is an answer."""
        for _ in range(attempts):
            status, answer = await self.client("GET", path)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.3)
        return "no answer"

    async def wait_until_ready(self, runners, seconds=20):
        """Waits until the nodes are ready and every runner has been called."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = [(await call((host.address, READY), "GET", "/lovagebeam/readyz"))[0] == 200
                     for host in self.hosts]
            if all(ready) and all(runner.holds > 1 for runner in runners):
                return True
            await asyncio.sleep(0.2)
        return False


def configuration(version, **route):
    queue = {"name": "r-batch", "host": "desk.example", "pathPrefix": "/batch/", "kind": "non_idempotent",
             "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": "desk", "maxAttempts": 4,
             "slackFactor": 3.0, "public": False}
    queue.update(route)
    return {"version": version, "routes": [queue],
            "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1",
                          "tls": False, "enforceCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "team-a", "apiKeys": ["key-of-team-a"], "priority": 1, "weight": 10,
                         "maxCount": {"cpu": 0, "memoryRequestMb": 0, "gpu": 0}}]}


class Observer:
    """Checks TWICE on what the runners carry out. An end `done` is taken note of when `ackCursor` reaches it, unless
    the lease of the runner lapsed between the two. An end that went with its runner's process can't be taken note of
    any more."""

    def __init__(self, record):
        self.record = record
        self.running = {}  # task -> {runner: attempt}
        self.done = {}  # task -> {end: time}, where an end is named by runner, birth and number
        self.noted = set()  # ends that have been taken note of
        self.started_after = {}  # end -> texts on starts after it
        self.starts = 0

    def on_start(self, runner, task, attempt):
        self.starts += 1
        others = self.running.setdefault(task, {})
        if others:
            self.record.violation(f"TWICE {task} attempt {attempt} starts on {runner.id} while it runs on {others}")
        for end, at in self.done.get(task, {}).items():
            text = (f"TWICE {task} attempt {attempt} starts on {runner.id}, {time.monotonic() - at:.2f} s after its "
                    f"run ended `done` on {end[0]} (end {end[2]})")
            if end in self.noted:
                self.record.violation(text + "; that end had been taken note of")
            else:
                self.started_after.setdefault(end, []).append(text)
        others[runner.id] = attempt

    def on_end(self, runner, task, how, number=0):
        self.running.get(task, {}).pop(runner.id, None)
        if how == "done":
            self.done.setdefault(task, {})[(runner.id, runner.born, number)] = time.monotonic()

    def on_noted(self, runner, number):
        end = (runner.id, runner.born, number)
        self.noted.add(end)
        for text in self.started_after.pop(end, []):
            self.record.violation(text + "; that end is taken note of now")


class Runner:
    """One machine with its runner, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). The first
    word of `spec` is the seconds that a task works, 0 for a task that lasts; "gang N" after it makes it one of N. `advertised` is the address that it names in its heartbeats."""

    def __init__(self, deployment, number, cores=64, labels=("a", "r1-1"), advertised=None):
        self.deployment, self.number = deployment, number
        self.record, self.observer = deployment.record, deployment.observer
        self.address = (f"127.{deployment.net}.2.{number}", 8080)
        self.advertised = advertised or self.address
        self.capacity, self.labels = cores * 1000, list(labels)
        self.incarnation = 0
        self.holds = 0
        self.server = None
        self.writers = set()
        self.tasks = []
        self.needs_ticket = False  # whether the queue of its tasks has a placement adviser
        self.hold_filter = None  # may delay or drop a call: async function(runner, path, body) -> answer or None
        self.is_up = False
        self.begin_instance(new_id=True)
        deployment.runners.append(self)

    def begin_instance(self, new_id):
        self.incarnation += 1
        if new_id:
            self.id = f"i-{self.number:02d}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic()
        self.sequence = self.fence = self.lease = self.last_end = 0
        self.runs, self.ends, self.barred, self.end_times = {}, [], {}, {}
        self.lapsed_at = -1.0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    async def start(self):
        self.is_up = True
        self.server = await asyncio.start_server(self.serve, *self.address, backlog=512)
        self.tasks = [asyncio.create_task(self.heartbeat_loop()), asyncio.create_task(self.advance_loop())]

    async def crash(self):
        """The process ends: connections close, the port has no listener, nothing is sent any more."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        for task, run in list(self.runs.items()):
            self.leave_gang(task, run, "crashed")
            self.observer.on_end(self, task, "crashed")
            self.record.write(f"{self.id}: {task} ends with the process")
        self.runs = {}
        self.record.write(f"{self.id}: crashes")
        self.changed.set()

    async def close(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.changed.set()
        await asyncio.sleep(0)

    async def restart(self, new_id=True):
        self.begin_instance(new_id)
        await self.start()
        self.record.write(f"{self.id}: starts, born {self.born}")

    async def heartbeat_loop(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        body = {"service": "desk", "address": "%s:%d" % self.advertised, "zone": "z1", "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": self.capacity, "memoryRequestMb": 262144, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}
        await self.deployment.control("PUT", f"/lovagebeam/instances/{self.id}", body)

    async def advance_loop(self):
        while True:
            await asyncio.sleep(0.005)
            self.advance()

    def advance(self):
        now = time.monotonic()
        if self.runs and self.clock() >= self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if run["stop_at"] and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["broken_at"] and now >= run["broken_at"]:
                self.end(task, "broken")
            elif run["begin"] is None and now >= run["alone_at"]:
                self.end(task, "alone")
            elif run["begin"] is not None and run["seconds"] and now >= run["begin"] + run["seconds"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.leave_gang(task, run, how)
        self.last_end += 1
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.end_times[self.last_end] = time.monotonic()
        self.record.write(f"{self.id}: end {self.last_end}: {task} attempt {run['attempt']} {how}")
        self.observer.on_end(self, task, how, self.last_end)
        self.changed.set()

    def leave_gang(self, task, run, how):
        """The other members end as `broken`, or as `done` if this one did."""
        members = self.deployment.gangs.get(run["gang"], {})
        members.pop(task, None)
        for member, runner in list(members.items()):
            other = runner.runs.get(member)
            if other and how == "done":
                other["seconds"] = 0.001
            elif other and run["begin"] is not None and not other["broken_at"]:
                other["broken_at"] = time.monotonic() + 0.1

    async def serve(self, reader, writer):
        self.writers.add(writer)
        born = self.born
        try:
            while True:
                message = await read_message(reader)
                if message is None or not self.is_up or born != self.born:
                    return
                path = message[0].split()[1]
                body = json.loads(message[2]) if message[2] else {}
                wanted = message[1].get("x-expect-instance", self.id)
                if self.hold_filter:
                    answer = await self.hold_filter(self, path, body, wanted)
                else:
                    answer = await self.handle(path, body, wanted)
                if answer is None or not self.is_up or born != self.born:
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, path, body, wanted):
        self.advance()
        if wanted != self.id:
            return 421, {"clockMs": self.clock()}
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/lovagebeam/run-start":
            return self.on_start(body)
        if path == "/lovagebeam/run-stop":
            return self.on_stop(body)
        if path == "/lovagebeam/hold":
            return await self.on_hold(body)
        return 404, {"clockMs": self.clock()}

    def on_start(self, body):
        task, attempt = body["task"], body["attempt"]
        answer = {"clockMs": self.clock()}
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, answer
        if body["deadlineMs"] <= self.clock():
            return 409, dict(answer, reason="late")
        self.extend(body["deadlineMs"])
        if self.needs_ticket and body.get("ticket") != ticket_for(task.rsplit(".", 1)[0], self.id):
            self.record.write(f"{self.id}: start {task} attempt {attempt} rejected: no valid ticket")
            return 409, dict(answer, reason="ticket")
        if self.barred.get(task, 0) >= attempt or task in self.runs:
            return 409, dict(answer, reason="old")
        words = body["spec"].split()
        run = {"attempt": attempt, "seconds": float(words[0]), "stop_at": None, "broken_at": None,
               "gang": (task.rsplit(".", 1)[0], attempt) if "gang" in words else None,
               "alone_at": time.monotonic() + GANG_TIMEOUT_S}
        self.runs[task] = run
        if run["gang"]:
            members = self.deployment.gangs.setdefault(run["gang"], {})
            members[task] = self
            run["begin"] = None
            if len(members) == int(words[words.index("gang") + 1]):
                for member, runner in members.items():
                    runner.runs[member]["begin"] = time.monotonic()
        else:
            run["begin"] = time.monotonic()
        self.record.write(f"{self.id}: start {task} attempt {attempt}")
        self.observer.on_start(self, task, attempt)
        return 200, answer

    def on_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.runs.get(task)
        if run and run["attempt"] == attempt and not run["stop_at"]:
            run["stop_at"] = time.monotonic() + STOP_TIMEOUT_S / 2
        self.record.write(f"{self.id}: stop {task} attempt {attempt}")
        return 200, {"clockMs": self.clock()}

    def extend(self, deadline):
        if self.clock() >= self.lease:
            self.lapsed_at = time.monotonic()
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def acknowledge(self, cursor):
        for row in self.ends:
            if row[0] <= cursor and row[3] == "done" and self.end_times[row[0]] > self.lapsed_at:
                self.observer.on_noted(self, row[0])
        self.ends = [row for row in self.ends if row[0] > cursor]

    async def on_hold(self, body):
        self.holds += 1
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        elif self.clock() >= self.lease:
            self.lapsed_at = time.monotonic()
        self.acknowledge(body.get("ackCursor", 0))
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        now = time.monotonic()
        running = [[task, run["attempt"], "", self.percent(run, now)] for task, run in self.runs.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]}

    @staticmethod
    def percent(run, now):
        if run["begin"] is None:
            return 0
        return min(100, int(100 * (now - run["begin"]) / run["seconds"])) if run["seconds"] else 100


def ticket_for(step, runner_id):
    return f"{step}-{runner_id}"


class Adviser:
    """The service that gives tickets. It allows every runner that a call names."""

    def __init__(self, deployment, decision_ms, period_ms):
        self.address = (f"127.{deployment.net}.200.1", 8182)
        self.decision_ms, self.period_ms = decision_ms, period_ms

    async def start(self):
        await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                body = json.loads(message[2])
                await asyncio.sleep((self.decision_ms + self.period_ms * len(body["workers"])) / 1000)
                # A step is named ID.K.STEP, as in the names of its tasks.
                rows = [[worker, ticket_for(body["step"], worker)] for worker in body["workers"]]
                writer.write(encode_response(200, {"allowed": rows}))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Proxy:
    """Forwards connections to a runner. `is_cut` holds all bytes back in both directions, silently."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.is_cut = False
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.listen, backlog=512)

    async def accept(self, reader, writer):
        while self.is_cut:
            await asyncio.sleep(0.05)
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer),
                             return_exceptions=True)

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                while self.is_cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        while self.is_cut:
            await asyncio.sleep(0.05)
        writer.close()


def run(play, folder, hosts=4, prepare=None):
    """Runs `play(deployment, trouble)`, which returns False if the case couldn't run. `prepare` is called before the
    processes start. Exits with 1 if a rule was
    broken, with 0 if not, and with 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(BINARY, os.X_OK):
        print("target/lovagebeam is missing: run the build of the deploy file first")
        sys.exit(CANNOT_RUN)
    deployment = Deployment(record, hosts)
    deployment.observer = Observer(record)

    async def main():
        if prepare:
            await prepare(deployment)
        deployment.start_all()
        try:
            return await asyncio.wait_for(play(deployment, trouble), 110)
        finally:
            for runner in deployment.runners:
                await runner.close()

    code = CANNOT_RUN
    try:
        # The loop isn't closed: the process ends with the case.
        if asyncio.new_event_loop().run_until_complete(main()) is not False:
            code = BROKEN if record.broken else HELD
    except Exception as error:  # the case couldn't run
        record.write(f"the case couldn't run: {error!r}")
    finally:
        deployment.close()
    for text in record.broken[:10]:
        print(text)
    verdict = {HELD: "the rule held", BROKEN: f"the rule was broken ({len(record.broken)} times)",
               CANNOT_RUN: "the case couldn't run"}[code]
    record.write(verdict)
    print(verdict, flush=True)
    os._exit(code)
