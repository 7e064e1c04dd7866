"""A small HTTP/1.1 server and client on loopback, enough for the stand-ins of the review."""
import asyncio
import json
import os

# A loopback address of this process only, so that its ports do not meet those of other sites on the machine.
HOST = f"127.{1 + os.getpid() // 65536}.{os.getpid() // 256 % 256}.{os.getpid() % 256}"


class Drop(Exception):
    """Raised by a handler: the connection is closed without an answer."""


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def answer(status, body=b"", kind="application/json"):
    if not isinstance(body, (bytes, bytearray)):
        body = json.dumps(body).encode()
    return status, body, kind


async def read_message(reader):
    """Returns (first line, headers, body); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serves requests with a coroutine function that returns answer(...)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                try:
                    status, data, kind = await self.handler(Request(method, target, headers, body))
                except Drop:
                    return
                head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
        self.reset_connections()


class Connection:
    """A client's connection, used for one request after the other."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def call(self, method, path, headers, body=b""):
        """Returns (status, body)."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 24)
        head = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(head).encode() + body)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("the connection ended without an answer")
        return int(message[0].split(" ")[1]), message[2]

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def call(address, method, path, headers, body=b"", timeout=3.0):
    """One request on a connection of its own. Returns (status, body); status 0 if there was no answer."""
    connection = Connection(address)
    try:
        return await asyncio.wait_for(connection.call(method, path, headers, body), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, b""
    finally:
        connection.close()
