"""Stand-in of the platform's store in its form as a log."""
import asyncio
import base64
import struct

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_BYTES = 1 << 20
PAGE_ITEMS = 500
ANSWER_S = 0.004
OPERATORS_TOPICS = ("keyed.op", "keyed.servers")


class Topic:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, records, is_keyed):
        first = len(self.records)
        for record in records:
            if is_keyed:
                length = record[0]
                key = record[1 : 1 + length].decode()
                value = record[1 + length :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


def split(body):
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


def keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Store:
    def __init__(self):
        self.topics = {}
        self.refused_records = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """A write of the operator or of a runner."""
        self.topic("keyed." + topic).append([keyed(key, value)], True)

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        query = request.query
        name = query.get("topic", "")
        if request.path == "/v1/log-append":
            return self.append(name, query, split(request.body))
        if request.path == "/v1/log-read":
            return await self.read(name, query)
        if request.path == "/v1/log-newest":
            return self.newest(name, query)
        return 404, {}

    def append(self, name, query, records):
        if name in OPERATORS_TOPICS:
            return 403, {}
        if any(len(record) > RECORD_BYTES for record in records) or sum(len(record) for record in records) > CALL_BYTES:
            # At most RECORD_BYTES a record and CALL_BYTES a call: nothing is appended.
            self.refused_records += 1
            return 413, {"reason": "size"}
        topic = self.topic(name)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query.get("seq", 0))
            producer = topic.producers.setdefault(query["producer"], {"epoch": -1, "next": None, "recent": []})
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > producer["epoch"]:
                producer.update(epoch=epoch, next=None, recent=[])
            for known, answer in producer["recent"]:
                if known == sequence:
                    return 200, answer
            if producer["next"] is not None and sequence != producer["next"]:
                return 409, {"reason": "seq", "seq": producer["next"]}
        if not records:
            return 200, {"offset": end, "end": end}
        first = topic.append(records, name.startswith("keyed."))
        answer = {"offset": first, "end": first + len(records)}
        if producer is not None:
            producer["next"] = sequence + 1
            producer["recent"] = (producer["recent"] + [(sequence, answer)])[-5:]
        return 200, answer

    async def read(self, name, query):
        topic = self.topic(name)
        begin = int(query["from"])
        if begin >= len(topic.records) and int(query.get("wait_ms", 0)) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[begin:]:
            if len(body) + len(record) > PAGE_BYTES and len(body) > 16:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def newest(self, name, query):
        topic = self.topic(name)
        items, size, more = [], 0, False
        for key in sorted(topic.newest):
            if "depends_on" in query and key <= query["depends_on"]:
                continue
            offset, value = topic.newest[key]
            if items and (len(items) >= PAGE_ITEMS or size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more": more, "end": len(topic.records)}
