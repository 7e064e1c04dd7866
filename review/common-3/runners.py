"""Runners by PROTOCOL.md, "Running tasks": starts, stops, leases, fence numbers, lists of runs. No gangs."""
import asyncio
import json
import time

from web import Drop, Server, answer

HEARTBEAT_S = 1.5
STOP_S = 0.1
ENDS_AT_ONCE = 500


class Run:
    def __init__(self, spec, seconds, saved):
        self.spec = spec
        self.begun = time.monotonic()
        self.seconds = seconds
        self.saved = saved
        self.stops_at = None


class Runner:
    """One machine whose runner may restart under the same id."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.id = f"i-{number}"
        self.zone = zone
        self.machine = f"m-{number}"
        self.kind = "a"
        self.capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        self.server = Server(self.handle)
        self.hangs = False
        # Start orders that get no answer and are carried out later.
        self.holds_back = lambda task: False
        self.held_back = []
        self.registers = True
        self.seq = 0
        # How far the time of day of the machine is ahead.
        self.clock_step_ms = 0
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000) + self.clock_step_ms
        self.since = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.running = {}  # (task, run) -> Run
        self.ended = []  # [number, task, run, how, saved]
        self.ends = 0
        self.closed = {}  # task -> highest run stopped or ended
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.since) * 1000) + 1000

    def register(self):
        self.seq += 1
        entry = {"id": self.id, "service": "service", "address": self.server.address, "zone": self.zone, "version": "1", "slots": 8, "state": "ready",
                 "cold_left_ms": 0, "seq": self.seq, "born": self.born, "machine": self.machine, "capacity": self.capacity,
                 "labels": [self.kind, f"{self.zone}-0"], "clock_ms": self.clock()}
        self.fleet.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def end(self, key, how, saved=None):
        run = self.running.pop(key)
        task, number = key
        self.ends += 1
        self.ended.append([self.ends, task, number, how, run.saved if saved is None else saved])
        self.closed[task] = max(self.closed.get(task, 0), number)
        self.fleet.note(self.id, self.born, how, task, number)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        if self.running and self.clock() >= self.lease_until:
            for key in list(self.running):
                self.end(key, "lapsed")
        for key, run in list(self.running.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(key, "stopped")
            elif now - run.begun >= run.seconds:
                self.end(key, "done")

    def crash(self):
        """The process ends with all that it runs; its connections are reset."""
        for task, number in self.running:
            self.fleet.note(self.id, self.born, "crashed", task, number)
        self.running = {}
        self.server.reset_connections()

    def restart(self):
        self.reset()
        self.fleet.note(self.id, self.born, "restarted", "", 0)
        if self.registers:
            self.register()

    async def handle(self, request):
        if self.hangs:
            await asyncio.sleep(3600)
            raise Drop
        if request.path == "/v1/run-start" and self.holds_back(request.json()["task"]):
            self.held_back.append(request)
            self.fleet.write("runner", self.id, "holds back the start of", request.json()["task"], request.json()["run_id"])
            await asyncio.sleep(3600)
            raise Drop
        return await self.carry_out(request)

    async def carry_out(self, request):
        await asyncio.sleep(0.0005)
        if request.headers.get("x-target-instance", self.id) != self.id:
            return answer(421, {"clock_ms": self.clock()})
        body = request.json()
        self.advance()
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return answer(409, {"clock_ms": self.clock(), "reason": "fence"})
        self.fence = token
        born = self.born
        if request.path == "/v1/run-start":
            return self.start(body)
        if request.path == "/v1/run-stop":
            return self.stop(body)
        if request.path == "/v1/hold":
            return await self.hold(body, born)
        return answer(404, {})

    def extend(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock() + self.fleet.hold_max_ms))

    def start(self, body):
        key = (body["task"], body["run_id"])
        if key in self.running:
            return answer(200, {"clock_ms": self.clock()})
        if body["deadline_ms"] <= self.clock():
            return answer(409, {"clock_ms": self.clock(), "reason": "late"})
        self.extend(body["deadline_ms"])
        if key[1] <= self.closed.get(key[0], 0):
            return answer(409, {"clock_ms": self.clock(), "reason": "old"})
        self.fleet.note(self.id, self.born, "start", *key)
        seconds = self.fleet.seconds_of(body["task"])
        self.running[key] = Run(body["task_spec"], seconds, body.get("checkpoint", ""))
        self.fleet.on_start(self, key)
        return answer(200, {"clock_ms": self.clock()})

    def stop(self, body):
        key = (body["task"], body["run_id"])
        self.fleet.note(self.id, self.born, "stop-order", *key)
        if key in self.running:
            run = self.running[key]
            run.stops_at = run.stops_at or time.monotonic() + STOP_S
        else:
            self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        return answer(200, {"clock_ms": self.clock()})

    async def hold(self, body, born):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        observed = body.get("observed", 0)
        for entry in self.ended:
            if entry[0] <= observed:
                self.fleet.note(self.id, self.born, "observed-" + entry[3], entry[1], entry[2])
        self.ended = [entry for entry in self.ended if entry[0] > observed]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
            if self.born != born:
                raise Drop
        running = [[task, number, run.saved, min(99, int(100 * (time.monotonic() - run.begun) / run.seconds))] for (task, number), run in self.running.items()]
        return answer(200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.ended[:ENDS_AT_ONCE]})


class Fleet:
    def __init__(self, store, note, hold_max_ms=6000):
        self.store = store
        self.write = note
        self.hold_max_ms = hold_max_ms
        self.runners = []
        self.history = []
        self.default_seconds = 0.3
        self.seconds = {}  # task or job id -> seconds
        self.on_start = lambda runner, key: None

    def note(self, runner, born, what, task, run):
        self.history.append((time.monotonic(), runner, born, what, task, run))
        self.write("runner", runner, what, task, run)

    def seconds_of(self, task):
        return self.seconds.get(task, self.seconds.get(task.split(".")[0], self.default_seconds))

    async def add(self, number, zone):
        runner = Runner(self, number, zone)
        await runner.server.start()
        self.runners.append(runner)
        runner.register()
        return runner

    async def work(self):
        """Lets time pass on the runners and writes their entries."""
        at = {}
        while True:
            now = time.monotonic()
            for number, runner in enumerate(self.runners):
                runner.advance()
                if runner.registers and now >= at.setdefault(runner, now + HEARTBEAT_S * (1 + number / len(self.runners))):
                    at[runner] = now + HEARTBEAT_S
                    runner.register()
            await asyncio.sleep(0.005)
