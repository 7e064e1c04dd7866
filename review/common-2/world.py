"""Stand-ins of the platform on loopback: its store, runners and clients; and the project's own instances as processes.

The store and the runners follow PROTOCOL.md. Everything runs in one asyncio loop beside the real processes, on free ports and the
real clock. Settings are those of a small deployment, filled into the template that the deploy file names.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY = "0123456789abcdefghij"
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "revoke_ms": 5000, "evacuate_ms": 5000,
    "hold_max_ms": 6000, "stop_grace_ms": 200, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "restore_ms": 600, "upkeep_s": 2, "lease_ms": 3000, "reclaim_ms": 2700,
}
ZONES = ["kochi", "thrissur", "kozhikode"]
PING_S = 1.5


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# --- HTTP

async def read_message(reader):
    """Returns (first line, headers, body) of one HTTP message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
        return None


def answer(status, body=b"", kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP server whose handler is `async handle(method, path, query, headers, body)` and returns the bytes of the answer, or None: no
    answer, and the channel stays open."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                reply = await self.handle(method, url.path, query, headers, body)
                if reply is None:
                    await asyncio.sleep(600)
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a channel of its own. Returns (status, text); status 0 if there was no answer in time."""
    host, port = address.split(":")
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in (headers or {}).items()), f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        message = await read_message(reader)
        return (0, "") if message is None else (int(message[0].split()[1]), message[2].decode())

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


# --- the platform's store

class Part:
    def __init__(self):
        self.first = 0
        self.records = []
        self.stored_at = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's log. `answer_s` is the time of an answer; `append_s` and `mb_per_s` are those of one partition's appends."""

    def __init__(self, keep_s=300.0):
        self.keep_s = keep_s
        self.answer_s = 0.004
        self.append_s = 0.001
        self.mb_per_s = 20.0
        self.parts = {}
        self.on_append = None
        self.server = Server(self.handle)

    def part(self, topic):
        return self.parts.setdefault(topic, Part())

    def expire(self, part):
        while part.records and time.monotonic() - part.stored_at[0] > self.keep_s:
            part.records.pop(0)
            part.stored_at.pop(0)
            part.first += 1

    def add(self, topic, records):
        part = self.part(topic)
        offset = part.end
        for record in records:
            if topic.startswith("keyed."):
                key, value = record[1:1 + record[0]], record[1 + record[0]:]
                if value:
                    part.newest[key] = (value, part.end)
                else:
                    part.newest.pop(key, None)
            part.records.append(record)
            part.stored_at.append(time.monotonic())
        part.changed.set()
        part.changed = asyncio.Event()
        return {"offset": offset, "end": part.end}

    def put(self, topic, key, value):
        """A write of the operator or of a runner; no value drops the key."""
        data = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        self.add(topic, [bytes([len(key)]) + key.encode() + data])

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.answer_s)
        topic = query.get("topic", "")
        part = self.part(topic)
        if path == "/v1/log-append":
            return await self.append(topic, part, query, body)
        if path == "/v1/log-read":
            return await self.read(part, query)
        if path == "/v1/log-newest":
            keys = sorted(key for key in part.newest if key > query.get("depends_on", "").encode())
            items, size = [], 0
            for key in keys:
                value, offset = part.newest[key]
                if len(items) == 500 or (items and size + len(value) > 1 << 20):
                    break
                size += len(value)
                items.append({"key": key.decode("utf-8", "replace"), "value": base64.b64encode(value).decode(), "offset": offset})
            return answer(200, {"items": items, "more": len(items) < len(keys), "end": part.end})
        return answer(404, {})

    async def append(self, topic, part, query, body):
        records = []
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + length])
            body = body[4 + length:]
        async with part.turn:
            await asyncio.sleep(self.append_s + sum(map(len, records)) / (self.mb_per_s * 1e6))
            self.expire(part)
            if "at" in query and int(query["at"]) != part.end:
                return answer(412, {"end": part.end})
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                known = part.producers.setdefault(query["producer"], {"epoch": -1, "seq": -1, "recent": {}})
                if epoch < known["epoch"]:
                    return answer(409, {"reason": "fenced"})
                if epoch == known["epoch"]:
                    if seq in known["recent"]:
                        return answer(200, known["recent"][seq])
                    if seq != known["seq"] + 1:
                        return answer(409, {"reason": "seq", "seq": known["seq"] + 1})
                else:
                    known.update(epoch=epoch, recent={})
                reply = self.add(topic, records)
                known["seq"] = seq
                known["recent"][seq] = reply
                known["recent"] = dict(list(known["recent"].items())[-5:])
            else:
                reply = self.add(topic, records)
            if self.on_append:
                self.on_append(topic, query, records)
        return answer(200, reply)

    async def read(self, part, query):
        start, most = int(query["from"]), int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            self.expire(part)
            if start < part.first:
                return answer(410, {"first": part.first})
            if start < part.end or time.monotonic() >= until:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        data = part.end.to_bytes(8, "big") + part.first.to_bytes(8, "big")
        for record in part.records[max(0, start - part.first):]:
            if len(data) > 16 and len(data) + len(record) > most:
                break
            data += len(record).to_bytes(4, "big") + record
        return answer(200, data, "application/octet-stream")


# --- runners

class Runner:
    """One runner that starts what it is told to, as long as it fits, and ends tasks as done when their time is over. While `is_cut`, calls
    reach it and get no answer, nor does anything happen; it works on and pings the store."""

    def __init__(self, world, name, zone, rack, gpu=8):
        self.world, self.name, self.zone, self.rack = world, name, zone, rack
        self.capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": gpu}
        self.is_cut = False
        self.is_down = False
        # Called for each start order; True holds the order back, without an answer.
        self.holds_back = lambda order: False
        self.server = Server(self.handle)
        self.begin()

    def begin(self):
        """Begins a life that knows nothing of an earlier one."""
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.began = time.monotonic() - 1
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.finished = []
        self.highest = {}
        self.next_end = 1
        self.changed = asyncio.Event()

    async def restart(self, down_s):
        """A crash, and another life under the same id and at the same address some time later."""
        self.world.note("runner", self.name, "crashes")
        self.is_down = True
        port = self.server.port
        self.server.server.close()
        self.server.reset()
        await asyncio.sleep(down_s)
        self.begin()
        await self.server.start(port)
        self.is_down = False
        self.world.note("runner", self.name, "has started again under its id")
        self.world.store.put("keyed.servers", self.name, self.entry())

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def entry(self):
        self.seq += 1
        return {"service": "booth-desk", "address": self.server.address, "zone": self.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": self.capacity, "labels": ["a", self.rack], "clock_ms": self.clock(), "seq": self.seq, "born": self.born,
                "machine": "m-" + self.name}

    async def live(self):
        while True:
            if not self.is_down:
                self.world.store.put("keyed.servers", self.name, self.entry())
            until = time.monotonic() + PING_S
            while time.monotonic() < until:
                self.advance()
                await asyncio.sleep(0.02)

    def end(self, task, how):
        run, _, _ = self.running.pop(task)
        self.finished.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.world.note_task(task, "runner", self.name, "end", task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        lapsed = self.clock() >= self.lease
        for task, (run, ends_at, _) in list(self.running.items()):
            if time.monotonic() >= ends_at:
                self.end(task, "done")
            elif lapsed:
                self.end(task, "lapsed")

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS["hold_max_ms"]))

    async def handle(self, method, path, query, headers, body):
        if self.is_cut:
            return None
        self.advance()
        if headers.get("x-target-instance", self.name) != self.name:
            return answer(421, {"clock_ms": self.clock()})
        order = json.loads(body)
        if path == "/v1/run-start" and self.holds_back(order):
            return None
        if order["fencing_token"] < self.fence:
            return answer(409, {"clock_ms": self.clock(), "reason": "fence", "born": self.born})
        self.fence = order["fencing_token"]
        if path == "/v1/run-start":
            return self.start(order)
        if path == "/v1/run-stop":
            task, run = order["task"], order["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] == run:
                self.end(task, "stopped")
            return answer(200, {"clock_ms": self.clock()})
        if path == "/v1/hold":
            return await self.hold(order)
        return answer(404, {})

    def start(self, order):
        task, run = order["task"], order["run_id"]
        reply = {"clock_ms": self.clock()}
        if order["deadline_ms"] <= self.clock():
            return answer(409, {**reply, "reason": "late"})
        self.extend(order["deadline_ms"])
        if task in self.running and self.running[task][0] == run:
            return answer(200, reply)
        if run <= self.highest.get(task, 0):
            return answer(409, {**reply, "reason": "old"})
        need = self.world.needs(task)
        used = {kind: sum(entry[2].get(kind, 0) for entry in self.running.values()) for kind in self.capacity}
        if any(used[kind] + need.get(kind, 0) > self.capacity[kind] for kind in self.capacity):
            return answer(409, {**reply, "reason": "room"})
        self.highest[task] = run
        self.running[task] = (run, time.monotonic() + self.world.seconds(task), need)
        self.world.note_task(task, "runner", self.name, "start", task, run, "spec", order["task_spec"][:40])
        self.world.on_start(self, task, run, order)
        return answer(200, reply)

    async def hold(self, order):
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        self.finished = [end for end in self.finished if end[0] > order["observed"]]
        if not self.finished and order.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), order["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.is_cut:
            return None
        self.advance()
        running = [[task, run, "", 50] for task, (run, _, _) in self.running.items()]
        return answer(200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]})


# --- the project's own instances

def render(template, values):
    """Fills in a template as DEPLOY.md tells it: values, and sections for present ones."""
    def find(name):
        value = values
        for step in name.split("."):
            value = value[int(step)] if isinstance(value, list) else value.get(step) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = find(match[1])
        return "" if value is None or value is False else match[2].replace("{{.}}", str(value))

    def plain(match):
        value = find(match[1])
        return "" if value is None else json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", plain, text)


class Node:
    """One instance, started with the command and the settings template of the deploy file."""

    def __init__(self, world, name, zone, cpu_share=0.25):
        self.world, self.name, self.zone, self.cpu_share = world, name, zone, cpu_share
        self.process = None
        ports = free_ports(4)
        self.callers, self.ready, self.metrics = (f"{HOST}:{port}" for port in (ports[0], ports[1], ports[3]))
        self.peer_port, self.metrics_port = ports[2], ports[3]
        self.store_address = None

    def settings(self):
        return {
            "node_name": self.name, "zone": self.zone, "region": "kerala", "ip": HOST,
            "listen_addrs": {"front": self.callers, "ready_addr": self.ready}, "port_range": [self.peer_port, self.metrics_port],
            "limits": {"cpu_share": self.cpu_share, "cores": 1, "memory_mb": 260, "max_fds": 4100}, "bounds": BOUNDS,
            "platform": {"address": self.store_address or self.world.store.server.address, "keep_s": int(self.world.store.keep_s)},
        }

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        log = open(self.world.folder / f"{self.name}.log", "a", encoding="utf-8")
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ["PATH"], "FOXTAILCROSS_SETTINGS": str(path)})
        log.close()
        self.world.note("node", self.name, "start")

    def send(self, number):
        self.world.note("node", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def log(self):
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self):
        return (await call(self.ready, "GET", "/v1/ready", timeout=1.0))[0] == 200


# --- the whole

class World:
    """A small deployment: the store, runners, instances, a manifest with three queues, and clients."""

    def __init__(self, case, keep_s=300.0):
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store = Store(keep_s)
        self.runners, self.nodes, self.tasks = [], [], []
        self.jobs = {}
        self.starts = []
        self.summed = set()
        self.sums = (0, {})
        self.note("trouble", int(self.trouble))

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        self.record.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.record.flush()

    def note_task(self, task, *words):
        """Notes what a runner did; of a job in `summed` only how often in each second."""
        if task.split(".")[0] not in self.summed:
            self.note(*words)
            return
        second, counts = self.sums
        if int(self.now()) != second:
            if counts:
                self.note("runners in second", second, "of the wide job:", counts)
            self.sums = (int(self.now()), {})
        kind = words[2] if words[2] == "start" else words[-1]
        self.sums[1][kind] = self.sums[1].get(kind, 0) + 1

    def needs(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs.get(job, [{}])[int(step)]

    def seconds(self, task):
        return self.needs(task).get("estimate_ms", 500) / 1000

    def on_start(self, runner, task, run, order):
        self.starts.append((self.now(), runner.name, task, run))

    def manifest(self, version=3):
        routes = [{"name": f"r-{name}", "host": "jobs.example", "path_prefix": f"/{name}/", "route_type": "non_idempotent", "timeout_ms": 3000,
                   "target_latency_ms": 1000, "priority": priority, "service": "booth-desk", "max_attempts": 3, "stretch": 3.0, "public": False}
                  for priority, name in enumerate(("urgent", "usual", "patient"))]
        return {"version": version, "routes": routes, "services": [{"name": "booth-desk", "rejects_overload": True}], "limits": {"body_bytes": 262144},
                "tenants": [{"name": "studio", "api_keys": [KEY], "guaranteed": {"gpu": 8}}]}

    async def start(self, instances=3, runners_per_zone=2):
        await self.store.server.start()
        self.store.put("keyed.op", "config", self.manifest())
        for number, zone in enumerate(ZONES * runners_per_zone):
            runner = Runner(self, f"i-{number:04x}", zone, f"{zone}-rack")
            await runner.server.start()
            self.runners.append(runner)
            self.tasks.append(asyncio.ensure_future(runner.live()))
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            self.nodes.append(Node(self, f"front-{zone}-{1 + number // len(ZONES)}", zone))
        for node in self.nodes:
            node.start()
        await self.wait_for("ready instances", self.all_ready, 20)

    async def all_ready(self):
        return all([await node.is_ready() for node in self.nodes if node.is_up()])

    async def wait_for(self, what, condition, limit_s):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(f"{what}: not within {limit_s} s")

    async def ask(self, node, method, path, body=None, timeout=3.0):
        headers = {"Host": "jobs.example", "Authorization": f"Token {KEY}", "X-Deadline-Ms": str(int(timeout * 1000)), "Content-Type": "application/json"}
        status, text = await call(node.callers, method, path, body, headers, timeout)
        self.note("client", method, path, "at", node.name, "->", status, text[:120])
        try:
            return status, json.loads(text or "{}")
        except ValueError:
            return status, {}

    async def submit(self, node, queue, job, steps, tries=5, **more):
        """Hands a job in as a client does: again with the same ID after no answer or a refusal. Returns the last status."""
        self.jobs[job] = steps
        nodes = [each for each in self.nodes if each.is_up()] or [node]
        status = 0
        for number in range(tries):
            to = node if number == 0 else nodes[number % len(nodes)]
            status, _ = await self.ask(to, "POST", f"/{queue}/{job}", {"task_spec": f"spec of {job}", "steps": steps, **more})
            if status in (200, 400, 401, 404):
                break
            await asyncio.sleep(0.3)
        return status

    async def holder(self):
        """The only instance that says that it holds the scheduling duty; None while there is none, or more than one."""
        holders = []
        for node in self.nodes:
            if node.is_up():
                status, text = await call(node.metrics, "GET", "/metrics", timeout=1.0)
                if status == 200 and "foxtailcross_duty_held 1" in text.splitlines():
                    holders.append(node)
        return holders[0] if len(holders) == 1 else None

    def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.is_up():
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, play, **options):
    """Plays a case. Ends with 1 if it names broken rules, with 0 if it names none, and with 2 if it could not run."""
    async def run():
        # Channels that are cut off at the end are no faults of the case.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(pathlib.Path(case).resolve().parent, **options)
        try:
            broken = await asyncio.wait_for(play(world), 112)
            for line in broken:
                world.note("BROKEN", line)
                print("BROKEN", line)
            print(f"{'trouble' if world.trouble else 'no trouble'}: {len(broken)} broken, {world.now():.0f} s")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            world.note("cannot run", error)
            print("cannot run:", error)
            return 2
        finally:
            world.end()
            world.record.close()

    sys.exit(asyncio.run(run()))
