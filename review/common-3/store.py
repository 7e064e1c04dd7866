"""The platform's store, as far as PROTOCOL.md describes the calls that an instance makes: append, read, newest."""
import asyncio
import base64
import struct
import time
import urllib.parse

from web import Drop, Server, answer

ANSWER_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
READ_BYTES_PER_S = 80e6
PART_BYTES_PER_S = 20e6
PART_BYTES = 200_000_000
TOTAL_BYTES = 400_000_000
LONGEST_QUEUE_S = 2.0
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000


class Partition:
    def __init__(self, keyed):
        self.keyed = keyed
        self.first = 0
        self.records = []  # (time, bytes)
        self.bytes = 0
        self.newest = {}  # key -> (offset, value)
        self.newest_bytes = 0
        self.producers = {}  # name -> [epoch, last sequence, {sequence: response}]
        self.free_at = 0.0
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, record, now):
        if self.keyed:
            length = record[0]
            key, value = record[1 : 1 + length], record[1 + length :]
            if key in self.newest:
                self.newest_bytes -= len(self.newest[key][1])
                del self.newest[key]
            if value:
                self.newest[key] = (self.end, value)
                self.newest_bytes += len(value)
        self.records.append((now, record))
        self.bytes += len(record)

    def expire(self, before):
        drop = 0
        while drop < len(self.records) and (self.records[drop][0] < before or self.bytes > PART_BYTES):
            self.bytes -= len(self.records[drop][1])
            drop += 1
        if drop:
            del self.records[:drop]
            self.first += drop


class Store:
    """One store; `link(name)` gives each instance an address of its own, whose fault can be set."""

    def __init__(self, keep_s=300.0):
        self.keep_s = keep_s
        self.parts = {}
        self.links = []
        self.calls = 0
        self.reads_free_at = 0.0
        self.refused_too_long = 0

    def part(self, topic, number=0):
        key = (topic, int(number))
        if key not in self.parts:
            self.parts[key] = Partition(topic.startswith("keyed."))
        return self.parts[key]

    def total_bytes(self):
        return sum(part.bytes + part.newest_bytes for part in self.parts.values())

    async def link(self):
        link = Link(self)
        await link.server.start()
        self.links.append(link)
        return link

    def put(self, topic, key, value):
        """What operators and runners write."""
        key = key.encode()
        part = self.part(topic)
        part.add(bytes([len(key)]) + key + value, time.monotonic())
        part.expire(time.monotonic() - self.keep_s)
        self.wake(part)

    @staticmethod
    def wake(part):
        part.changed.set()
        part.changed = asyncio.Event()

    async def append(self, query, body):
        records = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(bytes(body[at + 4 : at + 4 + length]))
            at += 4 + length
        if any(len(record) > RECORD_BYTES for record in records) or sum(map(len, records)) > CALL_BYTES:
            self.refused_too_long += 1
            return answer(400, {"error": "a record or the call is too long"})
        topic = urllib.parse.unquote(query["topic"])
        if topic in ("keyed.op", "keyed.servers"):
            return answer(403, {})
        part = self.part(topic, query.get("part", 0))
        now = time.monotonic()
        if part.free_at - now > LONGEST_QUEUE_S:
            return answer(503, {})
        if self.total_bytes() + len(body) > TOTAL_BYTES:
            return answer(507, {})
        part.free_at = max(part.free_at, now) + 0.001 + len(body) / PART_BYTES_PER_S
        await asyncio.sleep(part.free_at - now)
        if "at" in query and int(query["at"]) != part.end:
            return answer(412, {"end": part.end})
        response = {"offset": part.end, "end": part.end + len(records)}
        if "producer" in query:
            name, epoch, sequence = query["producer"], int(query["epoch"]), int(query.get("seq", 0))
            known = part.producers.get(name)
            if known and epoch < known[0]:
                return answer(409, {"reason": "fenced"})
            if not records:
                part.producers[name] = [epoch, -1, {}]
                return answer(200, response)
            if known and epoch == known[0]:
                if sequence in known[2]:
                    return answer(200, known[2][sequence])
                if sequence != known[1] + 1:
                    return answer(409, {"reason": "seq", "seq": known[1] + 1})
            else:
                known = part.producers[name] = [epoch, sequence, {}]
            known[1] = sequence
            known[2][sequence] = response
            known[2].pop(sequence - 5, None)
        for record in records:
            part.add(record, time.monotonic())
        part.expire(time.monotonic() - self.keep_s)
        self.wake(part)
        return answer(200, response)

    async def read(self, query):
        part = self.part(urllib.parse.unquote(query["topic"]), query.get("part", 0))
        start = int(query["from"])
        most = int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= part.end and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        part.expire(time.monotonic() - self.keep_s)
        if start < part.first:
            return answer(410, {"first": part.first})
        body = bytearray(struct.pack(">QQ", part.end, part.first))
        for _, record in part.records[start - part.first :]:
            if len(body) > 16 and len(body) + len(record) > most:
                break
            body += struct.pack(">I", len(record)) + record
        now = time.monotonic()
        self.reads_free_at = max(self.reads_free_at, now) + len(body) / READ_BYTES_PER_S
        await asyncio.sleep(self.reads_free_at - now)
        return answer(200, bytes(body), "application/octet-stream")

    async def newest(self, query):
        part = self.part(urllib.parse.unquote(query["topic"]), query.get("part", 0))
        after = urllib.parse.unquote(query.get("depends_on", "")).encode()
        items = []
        size = 0
        keys = sorted(key for key in part.newest if key > after)
        for key in keys[:PAGE_KEYS]:
            offset, value = part.newest[key]
            if items and size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        now = time.monotonic()
        self.reads_free_at = max(self.reads_free_at, now) + size / READ_BYTES_PER_S
        await asyncio.sleep(self.reads_free_at - now)
        return answer(200, {"items": items, "more": len(items) < len(keys), "end": part.end})


class Link:
    """The way of one instance to the store. `cut` leaves its calls without an answer, in both directions; `answers_lost` drops only the answers."""

    def __init__(self, store):
        self.store = store
        self.server = Server(self.handle)
        self.cut = False
        self.answers_lost = False
        self.delay_s = 0.0

    @property
    def address(self):
        return self.server.address

    async def handle(self, request):
        self.store.calls += 1
        if self.cut:
            await asyncio.sleep(3600)
        await asyncio.sleep(ANSWER_S + self.delay_s)
        if request.path == "/v1/log-append":
            result = await self.store.append(request.query, request.body)
        elif request.path == "/v1/log-read":
            result = await self.store.read(request.query)
        elif request.path == "/v1/log-newest":
            result = await self.store.newest(request.query)
        else:
            result = answer(404, {})
        if self.cut or self.answers_lost:
            await asyncio.sleep(3600)
            raise Drop
        return result
