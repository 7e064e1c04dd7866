"""A small deployment on loopback: the project's nodes as processes, and stand-ins of store, runners, machines and clients."""
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import web
from runner import LAPSE_S, Runner
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["chikugo-a", "chikugo-b", "chikugo-c", "chikugo-d"]
KEY = "0123456789abcdefghij"
QUEUES = {"urgent": 0, "patient": 2}
# The bounds of the small deployments, as their pages give them.
BOUNDS = {"hold_max_ms": 6000, "stop_grace_ms": 200, "gang_wait_ms": 3000, "reclaim_ms": 2700, "lease_ms": 3000, "revoke_ms": 5000,
          "config_apply_ms": 2000, "evacuate_ms": 5000, "restore_ms": 250, "upkeep_s": 2, "status_s": 120, "grace_s": 6}
KEEP_S = 300
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


# Below the usual range of ports that the kernel gives to outgoing connections and to servers that name none.
PORTS = range(12000, 32000)


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((web.HOST, port))
                udp.bind((web.HOST, port))
                return port
            except OSError:
                continue


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(text, fields):
    """Fills in the template of the settings, as far as this project's template uses its language."""

    def section(match):
        value = lookup(fields, match[1])
        return render(match[2], {**fields, "": value}) if value is not None and value is not False else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def place(match):
        name, is_json = match[1], match[2]
        value = fields.get("") if name == "." else lookup(fields, name)
        return json.dumps(value) if is_json else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Node:
    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = [free_port() for _ in range(4)]
        self.callers = f"{web.HOST}:{self.ports[0]}"
        self.store = web.Server(self.handle_store)
        # Set to a status to refuse this node's calls to the store, to 0 to leave them unanswered, or to -1 to reset the connections.
        self.store_refusal = None
        self.process = None

    async def handle_store(self, request):
        if self.store_refusal is not None:
            if self.store_refusal == 0:
                raise web.NoAnswer()
            if self.store_refusal == -1:
                raise web.Reset()
            return self.store_refusal, {}
        return await self.world.store.handle(request)

    def settings(self):
        return {"node_name": self.name, "zone": self.zone, "region": "chikugo", "ip": web.HOST, "port_range": self.ports[2:],
                "listen_addrs": {"front": self.callers, "ready_addr": f"{web.HOST}:{self.ports[1]}"},
                "limits": {"cpu_share": 0.25, "cores": 1}, "bounds": BOUNDS,
                "platform": {"address": self.store.address, "keep_s": KEEP_S}, "cloud": {"address": self.world.machines.address}}

    def start(self):
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        settings = pathlib.Path(self.world.folder) / f"{self.name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        program = role["run"].split(" ")
        if not (ROOT / program[0]).exists():
            raise CannotRun(f"{program[0]} is missing; run the build of the deploy file")
        log = open(pathlib.Path(self.world.folder) / f"{self.name}.log", "a", encoding="utf-8")
        self.process = subprocess.Popen(program, cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "FOXTAILCROSS_SETTINGS": str(settings)},
                                        stdout=log, stderr=log)
        self.world.note("node", self.name, "start")

    def signal(self, number):
        self.world.note("node", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def metric(self, name):
        status, text = await web.call(f"{web.HOST}:{self.ports[3]}", "GET", "/metrics", timeout=1)
        if status != 200:
            return None
        for line in str(text).splitlines():
            if line.startswith(name + " "):
                return int(line.split()[1])
        return None


class World:
    service = "service"

    def __init__(self, folder, case):
        self.folder = folder
        self.case = pathlib.Path(case)
        self.t0 = time.monotonic()
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.store = Store()
        self.runners = []
        self.nodes = []
        self.jobs = {}
        self.durations = {}
        self.fails_after = {}
        # (time, runner, birth, task, run, what) of every start and end of a run.
        self.history = []
        # How the last run of a task ended whose end was taken note of.
        self.noted = {}
        self.machines = web.Server(self.handle_machines)
        self.on_machine_call = None
        self.is_store_down = False
        # When the entry of each runner was last written.
        self.registered = {}
        self.tasks = []

    def now(self):
        return time.monotonic() - self.t0

    def note(self, *words):
        self.record.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.record.flush()

    def ran(self, runner, task, number, what):
        self.history.append((self.now(), runner, runner.born, task, number, what))
        self.note("run", runner.id, task, number, what)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def seconds_of(self, task):
        return self.durations[task.split(".")[0]]

    async def handle_machines(self, request):
        return await self.on_machine_call(request)

    def set_store_down(self, is_down):
        """While the store is down it resets every call, also those of the runners."""
        self.note("store", "is down" if is_down else "is back")
        self.is_store_down = is_down
        for node in self.nodes:
            node.store_refusal = -1 if is_down else None

    def add_runner(self, name, zone=ZONES[0], **more):
        capacity = more.pop("capacity", {"cpu": 128000, "mem_mb": 262144, "gpu": 8})
        number = len(self.runners)
        runner = Runner(self, name, "m-" + name, zone, f"r{number // 6}", capacity, **more)
        self.runners.append(runner)
        return runner

    async def start(self, nodes=4):
        catalog = {"version": 1, "routes": [], "services": [{"name": self.service, "rejects_overload": True, "spare": False}],
                   "limits": {"max_body_bytes": 262144}, "tenants": [{"name": "tenant", "api_keys": [KEY], "guaranteed": {"gpu": 8}}]}
        for queue, priority in QUEUES.items():
            catalog["routes"].append({"name": queue, "host": "jobs.example", "path_prefix": f"/{queue}/", "route_type": "non_idempotent",
                                      "timeout_ms": 3000, "target_latency_ms": 3000, "priority": priority, "service": self.service,
                                      "max_attempts": 3, "stretch": 3.0, "public": False})
        self.store.put("op", "config", json.dumps(catalog).encode())
        await self.machines.start()
        for runner in self.runners:
            await runner.start()
            runner.register()
            self.tasks.append(asyncio.ensure_future(runner.keep_registered()))
        self.tasks.append(asyncio.ensure_future(self.advance()))
        for number in range(nodes):
            node = Node(self, f"front-{ZONES[number % len(ZONES)]}-{number // len(ZONES) + 1}", ZONES[number % len(ZONES)])
            await node.store.start()
            self.nodes.append(node)
        for node in self.nodes:
            node.start()
        await self.wait_for("a holder of the duty", self.holder, 15)

    async def advance(self):
        while True:
            for runner in self.runners:
                if runner.is_up:
                    runner.advance()
            for name, at in list(self.registered.items()):
                # After three intervals of silence, also while the store is down.
                if time.monotonic() - at > LAPSE_S:
                    del self.registered[name]
                    self.store.put("servers", name, b"")
                    self.note("store", "the entry of", name, "expires")
            await asyncio.sleep(0.02)

    async def holder(self):
        for node in self.nodes:
            if node.is_running() and await node.metric("foxtailcross_duty_held") == 1:
                return node
        return None

    async def wait_for(self, what, condition, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun(f"no {what} within {limit} s")

    async def ask(self, node, method, path, body=None, timeout=3.5):
        headers = {"Host": "jobs.example", "Authorization": f"Token {KEY}", "X-Deadline-Ms": "3000"}
        status, answer = await web.call(node.callers, method, path, body, headers, timeout)
        text = json.dumps(answer)
        self.note("call", node.name, method, path, "->", status, text[:120])
        return status, answer

    async def submit(self, queue, job, steps, seconds, tries=8, first=None, schedule=None):
        """Hands a job in as a client does, at one node after the other until it is accepted."""
        self.jobs[job] = steps
        self.durations[job] = seconds
        body = {"task_spec": job, "steps": steps, **(schedule or {})}
        nodes = [node for node in self.nodes if node.is_running()]
        start = nodes.index(first) if first in nodes else 0
        for number in range(tries):
            status, _ = await self.ask(nodes[(start + number) % len(nodes)], "POST", f"/{queue}/{job}", body)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def starts(self, prefix):
        return [entry for entry in self.history if entry[5] == "start" and entry[3].startswith(prefix)]

    def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        for runner in self.runners:
            runner.server.stop()
        self.machines.stop()


def play(case, story, limit=110):
    """Runs a story: returns 1 if it found a broken rule, 0 if none, 2 if the case could not run."""

    async def run(world):
        try:
            return await asyncio.wait_for(story(world), limit)
        finally:
            world.end()

    keep = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as folder:
        folder = keep or folder
        world = World(folder, case)
        try:
            broken = asyncio.run(run(world))
        except CannotRun as error:
            world.note("cannot run:", error)
            print("cannot run:", error)
            return 2
        except asyncio.TimeoutError:
            world.note("cannot run: not over within the limit")
            print("cannot run: not over within", limit, "s")
            return 2
        for line in broken:
            world.note("BROKEN", line)
            print("BROKEN", line)
        world.note("result", "broken" if broken else "held")
        print("broken" if broken else "held")
        return 1 if broken else 0


if __name__ == "__main__":
    sys.exit("start a case by its run.sh")
