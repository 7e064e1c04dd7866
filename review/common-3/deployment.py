"""A small deployment of real instances: the store and the runners are stand-ins, the instances run with the command of the deploy file."""
import asyncio
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

import web
from runners import Fleet
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["kochi", "thrissur", "kozhikode"]
KEYS = {"swaralaya": "0123456789abcdefghij", "agencies": "zyxwvutsrqponmlkjihg"}
# Bounds of the small deployment on the users' sheet.
BOUNDS = {"hold_max_ms": 6000, "stop_grace_ms": 200, "gang_wait_ms": 3000, "reclaim_ms": 2700, "lease_ms": 3000, "revoke_ms": 5000, "config_apply_ms": 2000,
          "evacuate_ms": 5000, "restore_ms": 600, "upkeep_s": 2, "status_s": 120, "grace_s": 6}
LIMITS = {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100}


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((web.HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def lookup(values, path):
    for part in path.split("."):
        if isinstance(values, list):
            values = values[int(part)]
        elif isinstance(values, dict) and part in values:
            values = values[part]
        else:
            return None
    return values


def render(text, values):
    """The part of the platform's template language that the settings template uses."""

    def section(match):
        value = lookup(values, match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def value(match):
        found = lookup(values, match[1])
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def catalog(version=1, keys=None, routes=()):
    def route(name, priority, attempts):
        return {"name": name, "host": "jobs.example", "path_prefix": f"/{name}/", "route_type": "non_idempotent", "timeout_ms": 3000,
                "target_latency_ms": 3000, "priority": priority, "service": "service", "max_attempts": attempts, "stretch": 3.0, "public": False}

    keys = KEYS if keys is None else keys
    return {"version": version, "routes": [route("urgent", 0, 3), route("patient", 2, 3), *routes],
            "services": [{"name": "service", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "cold_start_s": 0,
                          "cold_per_s": 0, "rejects_overload": True, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": [keys[name]] if keys.get(name) else [], "guaranteed": {"gpu": 32}} for name in KEYS]}


class Node:
    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        self.zone = zone
        ports = free_ports(4)
        self.callers, self.ready = f"{web.HOST}:{ports[0]}", f"{web.HOST}:{ports[1]}"
        self.inner = ports[2:]
        self.process = None
        self.link = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        values = {"node_name": self.name, "zone": self.zone, "region": "kerala", "ip": web.HOST, "port_range": self.inner,
                  "listen_addrs": {"front": self.callers, "ready_addr": self.ready}, "limits": self.site.limits, "bounds": self.site.bounds,
                  "platform": {"address": self.link.address, "keep_s": int(self.site.store.keep_s)}}
        settings = self.site.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), values))
        log = open(self.site.folder / f"{self.name}.log", "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | {"FOXTAILCROSS_SETTINGS": str(settings)}
        self.process = subprocess.Popen(deploy["run"].split(), cwd=ROOT, stdout=log, stderr=log, env=environment)
        log.close()
        self.site.note("node", self.name, "start")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.site.note("node", self.name, "killed")

    def signal(self, number):
        self.process.send_signal(number)
        self.site.note("node", self.name, signal.Signals(number).name)

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    async def metric(self, name):
        status, body = await web.call(f"{web.HOST}:{self.inner[1]}", "GET", "/metrics", {"Host": "x"}, timeout=1)
        for line in body.decode().splitlines() if status == 200 else []:
            if line.startswith(name + " "):
                return int(float(line.split()[1]))
        return None


class Site:
    def __init__(self, folder, record, keep_s=300.0, limits=None):
        self.folder = pathlib.Path(folder)
        self.record = record
        self.began = time.monotonic()
        self.store = Store(keep_s)
        self.fleet = Fleet(self.store, self.note, BOUNDS["hold_max_ms"])
        self.bounds = dict(BOUNDS)
        self.limits = dict(LIMITS, **(limits or {}))
        self.nodes = []
        self.tasks = []

    def note(self, *words):
        self.record.write(f"{time.monotonic() - self.began:9.3f} " + " ".join(str(word) for word in words) + "\n")

    async def start(self, per_zone=1, runners_per_zone=4, first_catalog=None):
        if not (ROOT / tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"].split()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self.store.put("keyed.op", "config", json.dumps(first_catalog or catalog()).encode())
        number = 0
        for zone in ZONES:
            for _ in range(runners_per_zone):
                await self.fleet.add(number, zone)
                number += 1
        self.tasks.append(asyncio.ensure_future(self.fleet.work()))
        for zone in ZONES:
            for index in range(per_zone):
                node = Node(self, f"{zone}-{index + 1}", zone)
                node.link = await self.store.link()
                self.nodes.append(node)
                node.start()
        await self.wait_for("readiness of all instances", self.all_ready, 20)

    async def all_ready(self):
        for node in self.nodes:
            if node.is_running() and (await web.call(node.ready, "GET", "/v1/ready", {"Host": "x"}, timeout=1))[0] != 200:
                return False
        return await self.holder() is not None

    async def holder(self):
        for node in self.nodes:
            if node.is_running() and await node.metric("foxtailcross_duty_held") == 1:
                return node
        return None

    async def wait_for(self, what, condition, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun(f"{what} did not happen within {limit} s")

    async def ask(self, node, method, path, body=None, key=KEYS["swaralaya"], timeout=3.2):
        headers = {"Host": "jobs.example", "Authorization": f"Token {key}", "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
        data = b"" if body is None else json.dumps(body).encode()
        status, text = await web.call(node.callers, method, path, headers, data, timeout)
        self.note("call", node.name, method, path, "bytes", len(data), "->", status, text[:80].decode("utf-8", "replace"))
        return status, text

    def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.is_running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        for runner in self.fleet.runners:
            runner.server.stop()
        for link in self.store.links:
            link.server.stop()


def main(play, **options):
    """Runs play(site, has_trouble), which returns the lines that say how the rule was broken. Exits as the review demands."""
    case = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = tempfile.mkdtemp()
    code = 2
    with open(case / "record.txt", "w", buffering=1) as record:
        record.write(f"TROUBLE={int(has_trouble)}\n")

        async def run():
            site = Site(folder, record, **options)
            try:
                return await asyncio.wait_for(play(site, has_trouble), 110)
            finally:
                site.end()

        try:
            broken = asyncio.run(run())
            for line in broken:
                record.write(f"BROKEN {line}\n")
                print(f"BROKEN {line}")
            code = 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record.write(f"CANNOT RUN {error!r}\n")
            print(f"cannot run: {error!r}")
        record.write(f"exit {code}\n")
    if os.environ.get("KEEP"):
        shutil.copytree(folder, os.environ["KEEP"], dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    print(f"exit {code}")
    sys.exit(code)
