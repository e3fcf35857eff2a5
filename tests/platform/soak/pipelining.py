"""Callers that pipeline safe requests with long responses, read slowly, and send behind unfinished responses."""

import collections
import random
import socket
import time

from server import KEYS, body_of, signature

RESPONSE_BYTES = (30_000, 200_000, 500_000, 1_000_000)
MAX_READ_PAUSE_SECONDS = 0.008
# Longer than two pauses of a VM.
RECEIVE_TIMEOUT = 15.0
# How long a caller keeps a connection open, and sends, after the VM has ended its direction.
HOLD_SECONDS = 4.0
# The grace period of 6 s in the settings less the reserve of the program.
DRAIN_SECONDS = 5.5


class PipeliningCaller:
    """Connects to entry VMs without a proxy, so that responses wait in the kernel's buffers, and records responses that are cut.

    Every second caller does not pipeline: it sends the next request when the response to the last one is whole.
    """

    def __init__(self, soak, number, front_port):
        self.soak, self.number, self.front_port = soak, number, front_port
        self.random = random.Random(soak.options.seed * 1000 + 500 + number)
        self.pipelines = number % 2 == 0
        self.whole = 0
        self.whole_in_stops = 0
        self.unfinished = 0

    def run(self):
        # Each VM has a caller of either kind, so that every planned stop meets both.
        vm = self.soak.entries[self.number // 2 % len(self.soak.entries)]
        while not self.soak.is_over.is_set():
            with socket.socket() as connection:
                connection.settimeout(RECEIVE_TIMEOUT)
                # The default segment of loopback does not fit into a small receive buffer.
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.random.choice([8192, 16384, 65536]))
                self.connected_at = time.monotonic()
                try:
                    connection.connect((vm.address, self.front_port))
                except OSError:
                    time.sleep(0.05)
                    continue
                try:
                    self.use(connection, vm)
                except (ValueError, IndexError) as error:
                    self.soak.violations.append(f"{vm.name} sent a response that is not HTTP: {error}")

    def use(self, connection, vm):
        """Sends requests until the connection ends."""
        self.connection, self.can_send, self.is_last = connection, True, False
        self.pending = collections.deque()
        depth = self.random.randint(2, 4) if self.pipelines else 1
        received, response, cause = b"", None, ""
        while not self.soak.is_over.is_set():
            while len(self.pending) < depth and not self.is_last:
                if not self.send_request():
                    break
            try:
                chunk = connection.recv(16384)
            except socket.timeout:
                cause = "stall"
            except OSError:
                cause = "reset"
            else:
                # A send that fails takes the error of the reset, so that only an end is left to read.
                cause = "" if chunk else "end" if self.can_send else "reset"
            if cause:
                break
            received += chunk
            while received and self.pending:
                response = response or self.parse_head(received)
                if not response or len(received) < response[0]:
                    break
                self.check_response(vm, response, received[:response[0]])
                received, response = received[response[0]:], None
            if self.is_last and self.pipelines:
                # A caller that pipelines has sent more before it reads that the connection closes.
                self.send_request()
            time.sleep(self.random.random() * MAX_READ_PAUSE_SECONDS)
        if cause and received:
            self.record_cut(vm, received, response, cause)
        hold_until = time.monotonic() + (HOLD_SECONDS if self.number % 4 == 0 else 0)
        while cause == "end" and time.monotonic() < hold_until and not self.soak.is_over.is_set() and self.send_request():
            time.sleep(0.02)

    def send_request(self):
        request_id = f"{self.random.getrandbits(64):016x}"
        path = f"/{self.random.choice(['keyed', 'plain'])}/safe/long/{self.random.choice(RESPONSE_BYTES)}"
        head = f"GET {path} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 2000\r\nShard-Key: {self.random.randrange(KEYS)}\r\n\r\n"
        try:
            if self.can_send:
                self.connection.sendall(head.encode())
        except OSError:
            # What was received before is still read.
            self.can_send = False
        if self.can_send:
            self.pending.append((request_id, path))
        return self.can_send

    def parse_head(self, received):
        """Returns the bytes of the whole response, the bytes of its head, the status and the headers, or None if the head is not whole."""
        head, end, _ = received.partition(b"\r\n\r\n")
        if not end:
            return None
        status_line, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}
        self.is_last = self.is_last or headers.get("connection") == "close"
        head_bytes = len(head) + len(end)
        return head_bytes + int(headers.get("content-length", 0)), head_bytes, int(status_line.split()[1]), headers

    def check_response(self, vm, response, received):
        request_id, path = self.pending.popleft()
        _, head_bytes, status, headers = response
        self.soak.check_status(request_id, status)
        if status == 200 and (received[head_bytes:] != body_of(request_id, "GET", path) or headers.get("upstream-signature") != signature(request_id)):
            self.soak.violations.append(f"request {request_id} got the response of another request: {received[:80]!r}")
        self.whole += status == 200
        self.whole_in_stops += status == 200 and vm.planned_stop_since(self.connected_at) is not None
        with self.soak.lock:
            self.soak.results[request_id] = ("safe", status)

    def record_cut(self, vm, received, response, cause):
        """Records a cut, unless the VM was killed. An entry VM holds the whole response when it sends the head, so no state of an upstream excuses a cut."""
        now = time.monotonic()
        if vm.killed_at >= self.connected_at:
            return
        terminated_at = vm.planned_stop_since(self.connected_at)
        if terminated_at is not None and now - terminated_at >= DRAIN_SECONDS:
            self.unfinished += 1
            return
        when = "in calm" if terminated_at is None else f"{now - terminated_at:.3f} s after SIGTERM"
        expected = response[0] if response else "unknown"
        request_id = self.pending[0][0] if self.pending else "-"
        self.soak.violations.append(f"request {request_id}: {cause} of the connection to {vm.name} {when} with {len(received)} of {expected} bytes received (caller {self.number})")
