"""A loopback TCP proxy that can delay data, reset connections, or drop data in one or both directions."""

import random
import socket
import struct
import threading
import time


class Proxy:
    def __init__(self, listen, target):
        self.target = target
        self.delay = 0.0
        self.cut_forward = False  # drop data towards the target
        self.cut_back = False  # drop data from the target
        self.lock = threading.Lock()
        self.connections = set()
        self.blackholed = set()  # connections that stay open but drop all data from now on
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(listen)
        self.socket.listen(256)
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while True:
            client, _ = self.socket.accept()
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        try:
            server = socket.create_connection(self.target, 2)
        except OSError:
            client.close()
            return
        connection = (client, server)
        with self.lock:
            self.connections.add(connection)
        for source, destination, forward in ((client, server, True), (server, client, False)):
            threading.Thread(target=self.pump, args=(connection, source, destination, forward),
                             daemon=True).start()

    def pump(self, connection, source, destination, forward):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.delay:
                    time.sleep(self.delay * random.random())
                is_cut = self.cut_forward if forward else self.cut_back
                if is_cut or connection in self.blackholed:
                    with self.lock:
                        self.blackholed.add(connection)
                    continue
                destination.sendall(data)
        except OSError:
            pass
        self.close(connection)

    def close(self, connection):
        with self.lock:
            self.connections.discard(connection)
            self.blackholed.discard(connection)
        for end in connection:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def reset_all(self):
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            for end in connection:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            self.close(connection)

    def blackhole_all(self):
        with self.lock:
            self.blackholed.update(self.connections)

    def clear_faults(self):
        """Ends all faults. Resets the open connections, since data on them may be lost."""
        self.delay, self.cut_forward, self.cut_back = 0.0, False, False
        self.reset_all()
