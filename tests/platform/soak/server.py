#!/usr/bin/env python3
"""A stand-in for an upstream of the platform: sends heartbeats, holds keys under leases, and runs and records requests.

usage: server.py NAME SERVICE LISTEN ADVERTISED RECORD SHARDED ZONE CONTROL[=THROUGH]...
  RECORD   file of lines: time, "run", request id, key or -, fence or -, name, start of the process in ms, path. In place of "run",
           "damaged" stands for an upload whose body is not the one that its caller sends, "cold" for a run before the server is warm
  CONTROL  address of a member's control port, and the address of a proxy to it

A path names what the server does: /SERVICE/KIND/long/BYTES is a long response or upload, .../cut/BYTES a response that breaks off
in the middle, .../status/TEXT a status that may be invalid. The environment variable SOAK_WARM_UP_SECONDS states how long the server
is cold after its start. SOAK_MUTATION selects a guarantee that the server violates, to test that the soak detects it.
"""

import hashlib
import http.client
import http.server
import itertools
import json
import os
import random
import signal
import socketserver
import sys
import threading
import time

KEYS = 65536
HEARTBEAT_INTERVAL_SECONDS = 0.87
SERVICE_SECONDS = 0.015
DRAIN_SECONDS = 3.0
DOWNLOAD_PIECE_BYTES = 32_768
# "runs-twice", "crossed-answers", "refuses-after-run", "damages-uploads" or empty.
WARM_UP_SECONDS = float(os.environ.get("SOAK_WARM_UP_SECONDS", 0))
MUTATION = os.environ.get("SOAK_MUTATION", "")


def signature(request_id):
    return hashlib.sha256(f"{request_id} answered".encode()).hexdigest()


def body_of(request_id, method, path):
    """Returns the body of a response, and of an upload. A path like "/plain/safe/long/200000" names its bytes."""
    text = f"body of {request_id} {method} {path}"
    size = int(path.split("/")[4]) if "/long/" in path or "/cut/" in path else len(text)
    return (text * (size // len(text) + 1))[:size].encode()


def ranges_of(values):
    """Yields the ranges of equal values that are not zero, as (first, last, value)."""
    first = 0
    for value, group in itertools.groupby(values):
        size = sum(1 for _ in group)
        if value:
            yield first, first + size - 1, value
        first += size


class Server:
    def __init__(self, name, service, listen, advertised, record, sharded, zone, controls):
        self.name, self.service, self.advertised, self.is_sharded, self.zone = name, service, advertised, sharded, zone
        self.proxies = dict((control.split("=") + [control])[:2] for control in controls)
        self.controls = list(self.proxies)
        self.born = int(time.time() * 1000)
        self.warm_at = time.monotonic() + WARM_UP_SECONDS
        self.record = os.open(record, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.lock = threading.Lock()
        self.granted = [0] * KEYS
        self.held = [0] * KEYS
        self.highest_fence = [0] * KEYS
        self.busy = {}
        self.released = []
        self.lease_end = 0.0
        self.sequence = 0
        self.state = "ready"
        self.listen = listen

    def begin_request(self, request_id, key, path, is_damaged):
        """Returns the fence, 0 for a service without keys, or None if the key is not held."""
        now = time.monotonic()
        with self.lock:
            fence = 0
            if self.is_sharded:
                fence = self.granted[key] if now < self.lease_end else 0
                if not fence:
                    return None
                self.busy[key] = self.busy.get(key, 0) + 1
        verb = "damaged" if is_damaged else "cold" if now < self.warm_at else "run"
        for _ in range(2 if MUTATION == "runs-twice" else 1):
            os.write(self.record, f"{now:.6f} {verb} {request_id} {key if self.is_sharded else '-'} {fence or '-'} {self.name} {self.born} {path}\n".encode())
        return fence

    def end_request(self, key):
        if self.is_sharded:
            with self.lock:
                self.busy[key] -= 1
                if not self.busy[key]:
                    del self.busy[key]

    def apply_grants(self, reply, sent_at):
        """Applies the grants of a heartbeat reply. Returns True if changes of keys are to be reported soon."""
        if "holds" not in reply:
            return False
        granted_fences = [0] * KEYS
        for first, last, fence, _ in reply["holds"]:
            granted_fences[first:last + 1] = [fence] * (last - first + 1)
        with self.lock:
            self.lease_end = max(self.lease_end, sent_at + reply["hold_s"])
            dropped = [0] * KEYS
            for key in range(KEYS):
                fence = granted_fences[key]
                if fence and fence < self.highest_fence[key]:
                    fence = 0
                self.granted[key] = fence
                if fence:
                    self.held[key] = self.highest_fence[key] = fence
                elif self.held[key] and key not in self.busy:
                    dropped[key] = 1
                    self.held[key] = 0
            self.released += [[first, last, "handover"] for first, last, _ in ranges_of(dropped)]
            return bool(self.released) or self.held != self.granted

    def send_heartbeat(self):
        """Sends one heartbeat. Returns True if the next one should follow soon."""
        with self.lock:
            if time.monotonic() >= self.lease_end and not self.busy:
                self.granted = [0] * KEYS
                self.held = [0] * KEYS
                self.released = []
            self.sequence += 1
            body = {"service": self.service, "address": self.advertised, "zone": self.zone, "version": "v1", "slots": 4, "state": self.state,
                "warmup_left_s": max(0.0, self.warm_at - time.monotonic()), "sequence": self.sequence, "born": self.born}
            released = self.released[:]
            if self.is_sharded:
                body |= {"holds": [list(row) for row in ranges_of(self.held)], "released": released}
        for control in self.controls[:]:
            sent_at = time.monotonic()
            try:
                reply = self.send_control_request(control, "PUT", body)
            except (OSError, http.client.HTTPException, ValueError):
                self.controls.append(self.controls.pop(0))
                continue
            if reply is None:
                continue
            with self.lock:
                self.released = self.released[len(released):]
            return self.is_sharded and self.apply_grants(reply, sent_at)
        return False

    def send_control_request(self, control, method, body):
        for _ in range(3):
            host, port = self.proxies.get(control, control).split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            try:
                connection.request(method, f"/instances/{self.name}", json.dumps(body), {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read()
            finally:
                connection.close()
            if response.status == 307:
                control = response.getheader("Location").split("/")[2]
                continue
            if response.status // 100 != 2:
                return None
            reply = json.loads(text)
            preferred = reply.get("heartbeat_url", control)
            if preferred in self.controls:
                self.controls.remove(preferred)
                self.controls.insert(0, preferred)
            return reply
        return None

    def send_heartbeats(self):
        while True:
            started = time.monotonic()
            if not self.send_heartbeat():
                time.sleep(max(0.0, started + HEARTBEAT_INTERVAL_SECONDS - time.monotonic()))
            else:
                time.sleep(0.1)

    def handle_sigterm(self, *_):
        def finish():
            self.state = "draining"
            time.sleep(DRAIN_SECONDS)
            for control in self.controls[:]:
                try:
                    if self.send_control_request(control, "DELETE", {"born": self.born}) is not None:
                        break
                except (OSError, http.client.HTTPException, ValueError):
                    continue
            os._exit(0)

        threading.Thread(target=finish).start()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 15

    def do_GET(self):
        size = int(self.headers.get("Content-Length", 0))
        content = self.rfile.read(size)
        if len(content) < size:
            # The connection ended within the body, for instance when the entry VM gave up while a fault held the rest back.
            self.close_connection = True
            return None
        content = content[:-1] if MUTATION == "damages-uploads" else content
        server = self.server.stand_in
        request_id = self.headers.get("Request-Id", "")
        is_damaged = self.command == "POST" and content != body_of(request_id, "POST", self.path)
        key = int(self.headers.get("Shard-Key", 0))
        if self.path == "/healthz":
            return self.reply(200, {"Instance-Id": server.name}, b"")
        is_expected_instance = self.headers.get("Expect-Instance", server.name) == server.name
        if not is_expected_instance or server.begin_request(request_id, key, self.path, is_damaged) is None:
            return self.reply(421, {"Not-Executed": "1", "Request-Id": request_id}, b"")
        try:
            time.sleep(SERVICE_SECONDS)
        finally:
            server.end_request(key)
        if MUTATION == "refuses-after-run" and random.random() < 0.05:
            return self.reply(503, {"Not-Executed": "1", "Request-Id": request_id}, b"")
        echoed_id = request_id[::-1] if MUTATION == "crossed-answers" else request_id
        headers = {"Request-Id": request_id, "Upstream-Signature": signature(request_id)}
        body = body_of(echoed_id, self.command, self.path)
        if "/download/" in self.path:
            return self.reply_download(headers, body, int(request_id, 16) % 2 == 0)
        self.reply(self.path.split("/")[4] if "/status/" in self.path else 200, headers, body)

    do_POST = do_GET

    def reply(self, status, headers, body):
        self.send_head(status, headers | {"Content-Length": len(body)})
        self.wfile.write(body)

    def reply_download(self, headers, body, is_chunked):
        self.send_head(200, headers | ({"Transfer-Encoding": "chunked"} if is_chunked else {"Content-Length": len(body)}))
        end = len(body) // 2 if "/cut/" in self.path else len(body)
        for first in range(0, end, DOWNLOAD_PIECE_BYTES):
            piece = body[first:min(end, first + DOWNLOAD_PIECE_BYTES)]
            self.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece)
        if end < len(body):
            self.close_connection = True
        elif is_chunked:
            self.wfile.write(b"0\r\n\r\n")

    def send_head(self, status, headers):
        """Sends any text as the status, which send_response() does not."""
        lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
        self.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def log_message(self, *_):
        pass


class Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass


def main():
    name, service, listen, advertised, record, sharded, zone, *controls = sys.argv[1:]
    server = Server(name, service, listen, advertised, record, sharded == "1", zone, controls)
    host, port = listen.split(":")
    listener = Listener((host, int(port)), Handler)
    listener.stand_in = server
    signal.signal(signal.SIGTERM, server.handle_sigterm)
    threading.Thread(target=server.send_heartbeats, daemon=True).start()
    listener.serve_forever()


if __name__ == "__main__":
    main()
