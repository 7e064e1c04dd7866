"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins of the cases."""
import asyncio
import json
import urllib.parse

HOST = "127.0.0.1"


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class NoAnswer(Exception):
    """Raised by a handler: the connection stays open and the request is never answered."""


class Answer(Exception):
    """Raised by a handler: the request is answered with this status and body."""

    def __init__(self, status, body):
        super().__init__(status)
        self.status = status
        self.body = body


class Reset(Exception):
    """Raised by a handler: the connection is closed without an answer."""


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """Serves one address. handler(request) returns (status, body); a body that is not bytes is sent as JSON."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets every connection, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                try:
                    status, body = await self.handler(Request(method, target, message[1], message[2]))
                except Answer as answer:
                    status, body = answer.status, answer.body
                except NoAnswer:
                    await reader.read()
                    return
                except Reset:
                    writer.transport.abort()
                    return
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=3.5):
    """One call on a connection of its own. Returns (status, decoded body), with status 0 if there was no complete answer."""

    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, {}
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2])
            except ValueError:
                return status, message[2].decode("latin-1")
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}
