"""A loopback TCP proxy that delays, resets, cuts one way or silences what passes through it."""

import random
import socket
import struct
import threading
import time


class Proxy:
    def __init__(self, listen, target):
        self.target = target
        self.delay = 0.0
        self.cut_forward = False  # bytes towards the target are lost
        self.cut_back = False
        self.lock = threading.Lock()
        self.pairs = set()
        self.silenced = set()  # connections that stay open and carry nothing any more
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
        pair = (client, server)
        with self.lock:
            self.pairs.add(pair)
        for source, sink, forward in ((client, server, True), (server, client, False)):
            threading.Thread(target=self.pump, args=(pair, source, sink, forward),
                             daemon=True).start()

    def pump(self, pair, source, sink, forward):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.delay:
                    time.sleep(self.delay * random.random())
                is_cut = self.cut_forward if forward else self.cut_back
                if is_cut or pair in self.silenced:
                    with self.lock:
                        self.silenced.add(pair)
                    continue
                sink.sendall(data)
        except OSError:
            pass
        self.close(pair)

    def close(self, pair):
        with self.lock:
            self.pairs.discard(pair)
            self.silenced.discard(pair)
        for end in pair:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            self.close(pair)

    def silence_all(self):
        with self.lock:
            self.silenced.update(self.pairs)

    def calm(self):
        self.delay, self.cut_forward, self.cut_back = 0.0, False, False
        self.reset_all()
