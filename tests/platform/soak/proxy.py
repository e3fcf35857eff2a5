"""TCP proxies on loopback that inject network faults."""

import random
import socket
import struct
import threading
import time

# "silence" holds back all data, "one-way" holds back responses, "delay" delays data, "reset" resets connections.
MODES = ("pass", "delay", "silence", "one-way", "reset")


class Proxy:
    """Forwards connections to one target. A change of mode also applies to open connections."""

    def __init__(self, target, address="127.0.0.1"):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((address, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def set_mode(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        if mode == "reset":
            with self.lock:
                pairs = list(self.connections)
            for pair in pairs:
                self.close(pair, reset=True)

    def accept_connections(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.handle_connection, args=(client,), daemon=True).start()

    def handle_connection(self, client):
        try:
            server = socket.create_connection(self.target, timeout=2)
            server.settimeout(None)
        except OSError:
            self.reset(client)
            return
        pair = (client, server)
        with self.lock:
            self.connections.add(pair)
        if self.mode == "reset":
            self.close(pair, reset=True)
            return
        threading.Thread(target=self.copy, args=(pair, client, server, False), daemon=True).start()
        self.copy(pair, server, client, True)

    def copy(self, pair, source, sink, is_response):
        try:
            while data := source.recv(65536):
                while self.mode == "silence" or (self.mode == "one-way" and is_response):
                    time.sleep(0.02)
                if self.mode == "delay":
                    time.sleep(self.delay * random.random())
                sink.sendall(data)
        except OSError:
            pass
        self.close(pair)

    @staticmethod
    def reset(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        connection.close()

    def close(self, pair, reset=False):
        with self.lock:
            self.connections.discard(pair)
        for connection in pair:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            if reset:
                self.reset(connection)
            else:
                connection.close()
