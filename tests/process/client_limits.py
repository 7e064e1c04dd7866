#!/usr/bin/env python3
"""Checks that one kind of traffic from clients outside the limits neither ends nor blocks an instance, nor takes its memory or descriptors.

Guards against an instance that is ended for lack of memory, or that accepts no more connections, because of what unfinished requests hold.
Checked: the process lives, its peak memory and its open descriptors stay under the bounds, and one ordinary request is answered afterwards.

Bounds, from the smallest machine (120 MB of memory, 3,075 descriptors of which 200 are reserved for files):
- MEMORY_BOUND_MB = 120 / 2 = 60. The peak resident size of the process. The other half is left to the state of jobs at full load, to the
  buffers of the kernel for its sockets, and to the other programs of the machine. An instance of this site without load has about 9 MB.
- DESCRIPTOR_BOUND = 3,075 - 200 = 2,875.
The crowds are sized so that the bytes that they can make a process hold exceed the memory bound (24 clients x 8 MB = 192 MB,
400 clients x 250,000 bytes = 100 MB), or so that their connections exceed the descriptor bound (3,000).
"""
import argparse
import asyncio
import pathlib
import socket
import sys
import tempfile
import time

from platform_site import HOST, KEY, Site, call, task, wait_for

MEMORY_BOUND_MB = 60
DESCRIPTOR_BOUND = 2875

FLOOD_CLIENTS = 24
FLOOD_BYTES = 8 * 2**20
OPEN_CLIENTS = 400
# Within the 262,144 bytes that the catalog permits.
OPEN_BODY_BYTES = 250_000
IDLE_CLIENTS = 3000
SLOW_CLIENTS = 300
SLOW_STEPS = 60
SLOW_PAUSE_S = 0.1
MANAGEMENT_CLIENTS = 24
DATAGRAM_SENDERS = 4
DATAGRAM_BYTES = 60_000
DATAGRAM_S = 5
# A client whose peer reads nothing for this long stops sending and keeps its connection open.
SEND_LIMIT_S = 4
HOLD_S = 2
SAMPLE_S = 0.02
BLOCK = 65536

HEAD = f"POST /patient/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token {KEY}\r\nContent-Type: application/json\r\n"
CHUNKED = (HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode()
GET = f"GET /patient/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token {KEY}\r\n\r\n".encode()


def repeated(piece, size=BLOCK):
    return piece * (size // len(piece))


def chunk(size):
    return b"%x\r\n" % size + b" " * size + b"\r\n"


def flood(start, piece):
    """What a client sends that repeats a piece until FLOOD_BYTES are sent."""
    block = repeated(piece)
    return [start] + [block] * (FLOOD_BYTES // len(block))


def unfinished(piece_size):
    """A chunked body of OPEN_BODY_BYTES without its last chunk."""
    return [CHUNKED, repeated(chunk(piece_size), OPEN_BODY_BYTES // piece_size * len(chunk(piece_size)))]


# For each kind of a flood: what each of its clients sends.
FLOODS = {
    "trailers": lambda: flood(CHUNKED + chunk(2) + b"0\r\n", b"X-Trailer: 0123456789\r\n"),
    "header_lines": lambda: flood(HEAD.encode(), b"X-Line: 0123456789\r\n"),
    "declared_body": lambda: flood((HEAD + f"Content-Length: {FLOOD_BYTES}\r\n\r\n").encode(), b" "),
    "sent_body": lambda: flood(CHUNKED, chunk(16000)),
    "chunk_size_line": lambda: flood(CHUNKED, b"0"),
    "chunk_extensions": lambda: flood(CHUNKED + b"2", b";name=value"),
    "chunk_overflow": lambda: flood(CHUNKED + b"f" * 17 + b"\r\n", b" "),
    "pipelined": lambda: flood(GET, GET),
}
OPEN_BODIES = {"open_large_chunks": 25_000, "open_small_chunks": 10}


class Crowd:
    """Clients of one instance, each of which sends what it is told and keeps its connection until the end."""

    def __init__(self, ports):
        self.callers, self.readiness, self.metrics = ports
        self.sockets = []
        self.clients = []

    async def connect(self, port, receive_bytes=None):
        connection = socket.socket()
        connection.setblocking(False)
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sockets.append(connection)
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(connection, (HOST, port)), SEND_LIMIT_S)
        return connection

    async def send(self, port, pieces, reads=False, pause=0, receive_bytes=None):
        loop = asyncio.get_running_loop()
        reader = None
        try:
            connection = await self.connect(port, receive_bytes)
            reader = asyncio.create_task(self.read(connection)) if reads else None
            for piece in pieces:
                await asyncio.wait_for(loop.sock_sendall(connection, piece), SEND_LIMIT_S)
                if pause:
                    await asyncio.sleep(pause)
        except (OSError, asyncio.TimeoutError):
            # The instance closed the connection or has stopped reading; both are allowed.
            pass
        finally:
            if reader:
                reader.cancel()

    async def read(self, connection):
        while await asyncio.get_running_loop().sock_recv(connection, BLOCK):
            pass

    async def send_all(self, kind):
        callers = self.callers
        if kind in FLOODS:
            pieces = FLOODS[kind]()
            await asyncio.gather(*[self.send(callers, pieces, reads=kind == "pipelined") for _ in range(FLOOD_CLIENTS)])
        elif kind in OPEN_BODIES:
            pieces = unfinished(OPEN_BODIES[kind])
            await asyncio.gather(*[self.send(callers, pieces) for _ in range(OPEN_CLIENTS)])
        elif kind == "slow_header":
            pieces = [HEAD.encode()] + [b"x"] * SLOW_STEPS
            await asyncio.gather(*[self.send(callers, pieces, pause=SLOW_PAUSE_S) for _ in range(SLOW_CLIENTS)])
        elif kind == "idle":
            for _ in range(IDLE_CLIENTS // 100):
                await asyncio.gather(*[self.send(callers, []) for _ in range(100)])
        elif kind == "unread_answers":
            pieces = [repeated(GET)] * 16
            await asyncio.gather(*[self.send(callers, pieces, receive_bytes=4096) for _ in range(OPEN_CLIENTS)])
        elif kind in ("readiness", "metrics"):
            await self.send_to_management(self.readiness if kind == "readiness" else self.metrics)
        else:
            raise SystemExit(f"unknown kind of traffic: {kind}")

    async def send_to_management(self, port):
        """Every kind of traffic to one management port."""
        sends = [self.send(port, make(), reads=name == "pipelined") for name, make in FLOODS.items() for _ in range(MANAGEMENT_CLIENTS)]
        sends += [self.send(port, unfinished(size)) for size in OPEN_BODIES.values() for _ in range(OPEN_CLIENTS // 4)]
        sends += [self.send(port, [repeated(GET)] * 16, receive_bytes=4096) for _ in range(OPEN_CLIENTS // 4)]
        await asyncio.gather(*sends)
        for _ in range(IDLE_CLIENTS // 100):
            await asyncio.gather(*[self.send(port, []) for _ in range(100)])

    def close(self):
        for connection in self.sockets:
            connection.close()


async def send_datagrams(port):
    """Sends datagrams of the largest usual size as fast as the machine takes them, random ones and ones of zeros."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(DATAGRAM_SENDERS)]
    contents = [bytes(DATAGRAM_BYTES), bytes(range(256)) * (DATAGRAM_BYTES // 256)]
    end = time.monotonic() + DATAGRAM_S
    while time.monotonic() < end:
        for sender in sockets:
            for content in contents * 8:
                sender.sendto(content, (HOST, port))
        await asyncio.sleep(0)
    for sender in sockets:
        sender.close()


class Watch:
    """Peak memory and open descriptors of a process."""

    def __init__(self, process):
        self.process = process
        self.folder = pathlib.Path("/proc") / str(process.pid)
        self.descriptors = 0
        self.peak_mb = 0

    def sample(self):
        assert self.process.poll() is None, f"the process ended with {self.process.poll()}"
        self.descriptors = max(self.descriptors, len(list((self.folder / "fd").iterdir())))
        lines = (self.folder / "status").read_text().splitlines()
        self.peak_mb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)


async def play(watch, kind, ports):
    callers, readiness, peers, metrics = ports
    crowd = Crowd((callers, readiness, metrics))
    sampling = asyncio.create_task(watch.run())
    try:
        if kind == "datagrams":
            await send_datagrams(peers)
        else:
            await crowd.send_all(kind)
        await asyncio.sleep(HOLD_S)
    finally:
        crowd.close()
        sampling.cancel()


def is_answered(port):
    headers = {"Host": "jobs.example", "Content-Type": "application/json", "Authorization": f"Token {KEY}", "X-Deadline-Ms": "3000"}
    body = {"task_spec": "payload", "steps": [task(estimate=50)]}
    return call(f"{HOST}:{port}", "POST", "/patient/00000000000000aa", body, headers)[0] == 200


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--kind", required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder))
        try:
            wait_for("the scheduling duty to be held", site.holder)
            name = next(iter(site.instances))
            watch = Watch(site.instances[name])
            watch.sample()
            before = watch.peak_mb
            asyncio.run(play(watch, options.kind, site.ports[name]))
            watch.sample()
            print(f"{options.kind}: peak {watch.peak_mb:.0f} MB (before {before:.0f} MB), descriptors {watch.descriptors}", flush=True)
            wait_for("the answer to an ordinary request", lambda: is_answered(site.ports[name][0]))
            watch.sample()
            if watch.peak_mb > MEMORY_BOUND_MB or watch.descriptors > DESCRIPTOR_BOUND:
                raise SystemExit(f"WRONG: over the bound of {MEMORY_BOUND_MB} MB or of {DESCRIPTOR_BOUND} descriptors")
            print("The process lives, stayed under the bounds, and answered an ordinary request.")
            return 0
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
