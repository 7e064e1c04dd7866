"""Stand-in of a runner, by the page on running tasks."""
import asyncio
import json
import time

import web

HOLD_MAX_MS = 6000
STOP_MS = 100
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
STARTUP_S = 0.3


class Run:
    def __init__(self, number, step, seconds, fails_after):
        self.number = number
        self.step = step
        self.began = time.monotonic()
        self.seconds = seconds
        # Time of work after which the run fails by its own fault; None if it does not.
        self.fails_after = fails_after
        self.stops_at = None


class Runner:
    """One machine's runner. `jobs` maps job ids to their steps, as the clients sent them."""

    def __init__(self, world, name, machine, zone, rack, capacity, kind="a", phase=0.0):
        self.world = world
        self.id = name
        self.machine = machine
        self.zone = zone
        self.rack = rack
        self.kind = kind
        self.capacity = capacity
        self.phase = phase
        self.is_up = False
        self.born = 0
        self.server = web.Server(self.handle)
        # Called with the request before it is handled; may raise web.NoAnswer.
        self.intercept = None
        self.heartbeats = True
        self.beat_at = 0

    async def start(self):
        """A new life of the runner: it knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.t0 = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.closed = {}
        self.finished = []
        self.last_end = 0
        self.seq = 0
        self.is_up = True
        await self.server.start()

    def crash(self, why="crash"):
        self.world.note("runner", self.id, why, "open", sorted(self.running))
        for task, run in self.running.items():
            self.world.ran(self, task, run.number, "gone")
        self.running = {}
        self.is_up = False
        self.server.stop()

    def clock(self):
        return int((time.monotonic() - self.t0) * 1000) + 1000

    def entry(self):
        self.seq += 1
        return json.dumps({"service": self.world.service, "address": self.server.address, "zone": self.zone, "version": "v1", "slots": 8,
                           "state": "ready", "cold_left_ms": 0, "machine": self.machine, "capacity": self.capacity,
                           "labels": [self.kind, self.rack], "clock_ms": self.clock(), "born": self.born, "seq": self.seq}).encode()

    def register(self):
        if self.is_up and not self.world.is_store_down:
            self.world.store.put("servers", self.id, self.entry())
            self.world.registered[self.id] = time.monotonic()

    async def keep_registered(self):
        next_beat = time.monotonic() + self.phase
        while True:
            await asyncio.sleep(max(0, next_beat - time.monotonic()))
            if self.heartbeats:
                self.register()
                self.beat_at = time.monotonic()
            next_beat += HEARTBEAT_S

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.finished.append([self.last_end, task, run.number, how, ""])
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self.world.ran(self, task, run.number, how)

    def advance(self):
        now = time.monotonic()
        if self.running and self.clock() >= self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(task, "stopped")
            elif run.fails_after is not None and now - run.began >= run.fails_after:
                self.end(task, "failed")
            elif not run.step.get("long_running") and now - run.began >= run.seconds:
                self.end(task, "done")

    def percent(self, run):
        done = time.monotonic() - run.began
        if run.step.get("long_running"):
            return 100 if done >= STARTUP_S else 0
        return min(99, int(100 * done / max(run.seconds, 0.001)))

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, request):
        if self.intercept is not None:
            await self.intercept(self, request)
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        self.advance()
        body = request.json()
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if request.path == "/v1/run-start":
            return self.start_run(body)
        if request.path == "/v1/run-stop":
            return self.stop_run(body)
        if request.path == "/v1/hold":
            return await self.hold(body)
        return 404, {}

    def start_run(self, body):
        task, number = body["task"], body["run_id"]
        clock = {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return 409, {**clock, "reason": "late"}
        if task in self.running and self.running[task].number == number:
            return 200, clock
        if not self.running:
            self.lease = 0
        self.extend(body["deadline_ms"])
        if number <= self.closed.get(task, 0) or task in self.running:
            return 409, {**clock, "reason": "old"}
        step = self.world.step_of(task)
        for unit in ("cpu", "mem_mb", "gpu"):
            used = sum(run.step.get(unit, 0) for run in self.running.values())
            if used + step.get(unit, 0) > self.capacity[unit]:
                return 409, {**clock, "reason": "room"}
        self.running[task] = Run(number, step, self.world.seconds_of(task), self.world.fails_after.get(task.split(".")[0]))
        self.world.ran(self, task, number, "start")
        return 200, clock

    def stop_run(self, body):
        task, number = body["task"], body["run_id"]
        run = self.running.get(task)
        if run is None or run.number != number:
            self.closed[task] = max(self.closed.get(task, 0), number)
        elif run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_MS / 1000
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        for end in self.finished:
            if end[0] <= body.get("observed", 0):
                self.world.note("end", self.id, end[1], end[2], end[3], "is taken note of")
                self.world.noted[end[1]] = end[3]
        self.finished = [end for end in self.finished if end[0] > body.get("observed", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        life = self.born
        while time.monotonic() < until and not self.finished:
            await asyncio.sleep(0.01)
            if self.born != life or not self.is_up:
                raise web.Reset()
            self.advance()
        rows = [[task, run.number, "", self.percent(run), 0] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.finished[:500]}
