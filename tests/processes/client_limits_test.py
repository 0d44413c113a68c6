#!/usr/bin/env python3
"""Callers, operators and workers outside the limits of the protocol, against the system's own processes.

Each test starts a core and an entry process on loopback addresses, lets a crowd send what the limits don't allow, and
checks that the process lives, that its memory and descriptors stay under the smallest limits that hosts of its
role have, and that an ordinary request is answered afterwards. Nothing is timed. Needs a build without sanitizers, and a
quiet machine. Usage: client_limits_test.py [TEST...]; LOVAGEBEAM_BIN names the program.
"""

import contextlib
import http.client
import json
import os
import random
import resource
import shutil
import socket
import subprocess
import tempfile
import threading
import time
import unittest

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.environ.get("LOVAGEBEAM_BIN", os.path.join(REPOSITORY, "target", "lovagebeam"))
CONTROL, CALLERS, READINESS, FIRST_INTERNAL, WORKER = 8180, 8183, 8184, 7420, 8080
MB = 1 << 20
ENTRY_MEMORY, CORE_MEMORY = 160 * MB, 260 * MB
DESCRIPTORS = 4100
CROWD, SENT_EACH, ANSWERED_EACH = 24, 16 * MB, 256 * MB
WAIT_S = 30

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-batch", "host": "desk.example", "pathPrefix": "/batch/", "kind": "non_idempotent",
                "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": "desk", "maxAttempts": 4,
                "slackFactor": 3.0, "public": False}],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": False,
                  "enforceCapacity": False, "standby": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "team-a", "apiKeys": ["key-of-team-a"], "priority": 1, "weight": 10,
                 "maxCount": {"cpu": 0, "memoryRequestMb": 0, "gpu": 0}}]}
JOB = {"spec": "x" * 4000, "phases": [{"count": 1, "cpu": 100, "memoryRequestMb": 64, "estimatedMs": 100}]}

TRAILER = b"x-trailer: " + b"t" * 187 + b"\r\n"


def chunked_head(method, path):
    return (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()


def endless_trailers(method, path):
    return chunked_head(method, path) + b"1\r\nx\r\n0\r\n", TRAILER


def endless_trailer_field(method, path):
    return chunked_head(method, path) + b"1\r\nx\r\n0\r\nx-trailer: ", b"t" * 200


def endless_chunk_extension(method, path):
    return chunked_head(method, path) + b"1;x=", b"e" * 200


def send_without_end(address, message, most=SENT_EACH):
    """Sends the head of `message` and repeats its rest until the peer closes the connection or `most` bytes are sent."""
    head, rest = message
    block = rest * (65536 // len(rest))
    sent = len(head)
    with contextlib.suppress(OSError), socket.create_connection(address, timeout=WAIT_S) as connection:
        connection.sendall(head)
        while sent < most:
            connection.sendall(block)
            sent += len(block)
        # The peer may still read what is in the socket's buffers.
        connection.settimeout(2)
        connection.recv(4096)


def run_together(count, work):
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def choose_network():
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{network}.1.1", CALLERS))
            return network
    raise RuntimeError("no free loopback addresses")


class Process:
    """A process of the system."""

    def __init__(self, role, settings, folder):
        path = os.path.join(folder, f"{role}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = os.path.join(folder, f"{role}.log")
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen([BINARY, role], stdout=log, stderr=log,
                                          env={"PATH": os.environ["PATH"], "LOVAGEBEAM_SETTINGS": path})

    def is_alive(self):
        return self.popen.poll() is None

    def peak_memory(self):
        with open(f"/proc/{self.popen.pid}/status", encoding="utf-8") as status:
            return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) * 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))

    def kill(self):
        self.popen.kill()
        self.popen.wait()


class Worker:
    """A worker that sends ordinary heartbeats and answers each call with `message`."""

    def __init__(self, test, message):
        self.test, self.message = test, message
        self.address = (f"{test.network}.2.1", WORKER)
        self.stopping = threading.Event()
        self.listener = socket.create_server(self.address, backlog=64)
        self.calls = 0
        for work in (self.accept, self.report):
            threading.Thread(target=work, daemon=True).start()

    def accept(self):
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                connection, _ = self.listener.accept()
                threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        head, rest = self.message
        block = rest * (65536 // len(rest))
        with contextlib.suppress(OSError), connection:
            connection.settimeout(WAIT_S)
            connection.recv(65536)
            self.calls += 1
            connection.sendall(head)
            sent = 0
            while sent < ANSWERED_EACH and not self.stopping.is_set():
                connection.sendall(block)
                sent += len(block)

    def report(self):
        born = int(time.time() * 1000)
        for sequence in range(1, 1000):
            if self.stopping.is_set():
                return
            body = {"service": "desk", "address": "%s:%d" % self.address, "zone": "z1", "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0,
                    "capacity": {"cpu": 64000, "memoryRequestMb": 262144, "gpu": 0}, "labels": ["a", "r1-1"],
                    "clockMs": int(time.time() * 1000) - born, "sequence": sequence, "born": born}
            self.test.call(CONTROL, "PUT", "/lovagebeam/instances/i-1", body)
            self.stopping.wait(0.5)

    def stop(self):
        self.stopping.set()
        self.listener.close()


class ClientLimitsTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(20000, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)

    def setUp(self):
        self.network = choose_network()
        self.address = f"{self.network}.1.1"
        self.folder = tempfile.mkdtemp(prefix="lovagebeam-limits-")
        os.mkdir(os.path.join(self.folder, "data"))
        self.core = Process("core", self.settings("core"), self.folder)
        self.entry = Process("entry", self.settings("entry"), self.folder)
        self.addCleanup(self.close)
        self.wait_until(lambda: self.call(READINESS, "GET", "/lovagebeam/readyz") == 200)
        self.wait_until(lambda: self.call(CONTROL, "PUT", "/lovagebeam/config", CONFIGURATION) == 200)
        self.assertEqual(200, self.submit())

    def close(self):
        for process in (self.entry, self.core):
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def settings(self, role):
        out = {"node_id": "host-1", "address": self.address, "failure_domain": "z1",
               "first_internal_port": FIRST_INTERNAL, "last_internal_port": FIRST_INTERNAL + 15,
               "seeds": [f"{self.address}:{CONTROL}"], "first_start": True, "tolerated_losses": 0,
               "max_lease_ms": 6000, "heartbeat_ms": 1500, "log_level": "info"}
        if role == "core":
            out["data_folder"] = os.path.join(self.folder, "data")
            out["control"] = f"{self.address}:{CONTROL}"
        else:
            out["callers"] = f"{self.address}:{CALLERS}"
            out["readiness"] = f"{self.address}:{READINESS}"
        return out

    def wait_until(self, condition):
        end = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "the processes didn't get ready")
            time.sleep(0.05)

    def call(self, port, method, path, body=None):
        """Returns the status of a call, or 0 without an answer."""
        connection = http.client.HTTPConnection(self.address, port, timeout=WAIT_S)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Host": "desk.example", "Content-Type": "application/json",
                                "Authorization": "Token key-of-team-a", "X-Deadline-Ms": "10000"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def submit(self):
        return self.call(CALLERS, "POST", f"/batch/{random.getrandbits(64):016x}", JOB)

    def check(self, process, memory):
        self.assertTrue(process.is_alive(), "the process ended")
        self.assertLessEqual(process.peak_memory(), memory)
        self.assertLessEqual(process.descriptors(), DESCRIPTORS)
        self.assertEqual(200, self.submit(), "an ordinary request isn't answered")
        self.assertTrue(self.core.is_alive() and self.entry.is_alive())

    def flood(self, port, message):
        run_together(CROWD, lambda: send_without_end((self.address, port), message))

    def send_unfinished_bodies(self, port, method, path, count, size):
        """Opens `count` connections, sends a body of `size` bytes without its last one on each, and waits until the
        process has ended each of them."""
        head = (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
                f"Content-Length: {size}\r\n\r\n").encode()
        self.send_unfinished(port, count, head + b" " * (size - 1))

    def send_unfinished(self, port, count, request):
        with contextlib.ExitStack() as held:
            opened = []
            for _ in range(count):
                with contextlib.suppress(OSError):
                    opened.append(held.enter_context(socket.create_connection((self.address, port), timeout=WAIT_S)))
                    opened[-1].sendall(request)
            for connection in opened:
                with contextlib.suppress(OSError):
                    connection.recv(4096)

    # Callers' port of an entry process.

    def test_entry_endless_trailers_memory_is_bounded(self):
        self.flood(CALLERS, endless_trailers("POST", "/batch/00000000000000a1"))
        self.check(self.entry, ENTRY_MEMORY)

    def test_entry_endless_trailer_field_memory_is_bounded(self):
        self.flood(CALLERS, endless_trailer_field("POST", "/batch/00000000000000a1"))
        self.check(self.entry, ENTRY_MEMORY)

    def test_entry_endless_chunk_extension_memory_is_bounded(self):
        self.flood(CALLERS, endless_chunk_extension("POST", "/batch/00000000000000a1"))
        self.check(self.entry, ENTRY_MEMORY)

    def test_entry_unfinished_bodies_memory_is_bounded(self):
        self.send_unfinished_bodies(CALLERS, "POST", "/batch/00000000000000a1", 1000, 262144)
        self.check(self.entry, ENTRY_MEMORY)

    # Headers of 16 KiB with as many fields as fit, each of which takes far more memory than its text.
    def test_entry_many_small_fields_memory_is_bounded(self):
        head = b"POST /batch/00000000000000a1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100\r\n"
        self.send_unfinished(CALLERS, 2400, head + b"a:\r\n" * ((16300 - len(head)) // 4) + b"\r\n")
        self.check(self.entry, ENTRY_MEMORY)

    # Bodies that are complete and wait for an answer from a core process that is stopped.
    def test_entry_waiting_bodies_memory_is_bounded(self):
        self.core.popen.send_signal(19)
        try:
            body = dict(JOB, spec="x" * 260000)
            run_together(400, lambda: self.call(CALLERS, "POST", f"/batch/{random.getrandbits(64):016x}", body))
        finally:
            self.core.popen.send_signal(18)
        self.wait_until(lambda: self.call(READINESS, "GET", "/lovagebeam/readyz") == 200)
        self.check(self.entry, ENTRY_MEMORY)

    def test_entry_many_connections_descriptors_are_bounded(self):
        with contextlib.ExitStack() as held:
            for _ in range(5000):
                with contextlib.suppress(OSError):
                    held.enter_context(socket.create_connection((self.address, CALLERS), timeout=WAIT_S))
            self.assertLessEqual(self.entry.descriptors(), DESCRIPTORS)
        self.check(self.entry, ENTRY_MEMORY)

    def test_readiness_endless_chunk_extension_memory_is_bounded(self):
        self.flood(READINESS, endless_chunk_extension("GET", "/lovagebeam/readyz"))
        self.check(self.entry, ENTRY_MEMORY)

    # Control port of a core process.

    def test_core_endless_trailers_memory_is_bounded(self):
        self.flood(CONTROL, endless_trailers("PUT", "/lovagebeam/instances/i-2"))
        self.check(self.core, CORE_MEMORY)

    def test_core_unfinished_bodies_memory_is_bounded(self):
        self.send_unfinished_bodies(CONTROL, "PUT", "/lovagebeam/instances/i-2", 100, 4 * MB)
        self.check(self.core, CORE_MEMORY)

    # Heartbeats are kept in the replicated state.
    def test_core_large_heartbeats_memory_is_bounded(self):
        for number in range(40):
            body = {"service": "desk", "address": f"{self.network}.2.2:{WORKER}", "zone": "z1", "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0,
                    "capacity": {"cpu": 64000, "memoryRequestMb": 262144, "gpu": 0}, "labels": ["x" * 4000000],
                    "clockMs": 1, "sequence": 1, "born": 1}
            self.call(CONTROL, "PUT", f"/lovagebeam/instances/i-large-{number}", body)
        self.check(self.core, CORE_MEMORY)

    # Answers of a worker to the calls of a core process.

    def answer_without_end(self, head, rest):
        worker = Worker(self, (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + head, rest))
        self.addCleanup(worker.stop)
        self.wait_until(lambda: worker.calls >= CROWD)
        worker.stop()
        self.check(self.core, CORE_MEMORY)

    def test_core_worker_with_endless_trailers_memory_is_bounded(self):
        self.answer_without_end(b"1\r\nx\r\n0\r\n", TRAILER)

    def test_core_worker_with_endless_chunk_extension_memory_is_bounded(self):
        self.answer_without_end(b"1;x=", b"e" * 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
