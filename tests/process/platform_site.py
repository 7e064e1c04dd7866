"""A site of real processes: the stand-in of the platform and instances of foxtailcross-node, over TCP on loopback."""
import http.client
import json
import os
import pathlib
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["kochi", "thrissur", "kozhikode"]
LIMIT_S = 40
WORKERS_PER_ZONE = 4
# Callers, readiness, peers and metrics.
PORTS_PER_INSTANCE = 4
KEY = "0123456789abcdefghij"
OTHER_KEY = "zyxwvutsrqponmlkjihg"


def address_of(process):
    """A loopback address of this process only, so that no other site takes an instance's ports while it is down."""
    return f"127.{1 + process // 65536}.{process // 256 % 256}.{process % 256}"


HOST = address_of(os.getpid())


def free_ports(count):
    """Ports that were free when this function checked them. Those of one call differ; those of two calls need not."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def instance_ports(names):
    """Four ports for each name, all different."""
    ports = free_ports(PORTS_PER_INSTANCE * len(names))
    return {name: ports[i * PORTS_PER_INSTANCE : (i + 1) * PORTS_PER_INSTANCE] for i, name in enumerate(names)}


def instance_settings(name, ports, store):
    """The text of an instance's settings file. The name begins with the zone."""
    callers, readiness, peers, metrics = ports
    return (
        f'instance = "{name}"\nzone = "{name.split("-")[0]}"\nregion = "kerala"\n[listen]\ncallers = "{HOST}:{callers}"\n'
        f'readiness = "{HOST}:{readiness}"\npeers = "{HOST}:{peers}"\nmetrics = "{HOST}:{metrics}"\n'
        f'[platform]\nstore = "{store}"\n'
    )


def call(address, method, path, body=None, headers=None):
    """One HTTP call. Returns (status, body); status 0 if there was no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request(method, path, body=None if body is None else json.dumps(body), headers=headers or {})
        answer = connection.getresponse()
        text = answer.read().decode()
        return answer.status, text
    except OSError:
        return 0, ""
    finally:
        connection.close()


def wait_for(what, condition):
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise SystemExit(f"WRONG: {what} did not happen within {LIMIT_S} s")


class Site:
    """The stand-in and some instances in each zone; an instance is named by its zone and, beyond the first one, a number."""

    def __init__(self, build, folder, per_zone=1, store_for=None, log_for=None):
        self.build = build
        self.folder = folder
        self.instances = {}
        self.workers = len(ZONES) * WORKERS_PER_ZONE
        names = [zone if number == 0 else f"{zone}-{number + 1}" for zone in ZONES for number in range(per_zone)]
        self.ports = instance_ports(names)
        self.standin = self.start_standin()
        line = self.standin.stdout.readline()
        self.addresses = json.loads(line)
        # Functions that override the address of the store and the log output of an instance.
        self.store_for = store_for or (lambda name, store: store)
        self.log_for = log_for or (lambda name: open(self.folder / f"{name}.log", "a"))
        self.stores = {name: self.store_for(name, self.addresses["store"]) for name in names}
        for name in names:
            self.start_instance(name)

    def start_standin(self):
        fronts = "".join(f'[[front]]\ncallers = "{HOST}:{p[0]}"\nreadiness = "{HOST}:{p[1]}"\n' for p in self.ports.values())
        settings = self.folder / "standin.toml"
        catalog = ROOT / "files" / "platform-catalog.json"
        settings.write_text(f"zones = {json.dumps(ZONES)}\ncatalog = {json.dumps(str(catalog))}\n[workers]\nper_zone = {WORKERS_PER_ZONE}\n{fronts}")
        program = self.build / "apps" / "foxtailcross-platform-standin" / "foxtailcross-platform-standin"
        return subprocess.Popen([program, "--settings", settings], stdout=subprocess.PIPE, text=True)

    def start_instance(self, name):
        settings = self.folder / f"{name}.toml"
        settings.write_text(instance_settings(name, self.ports[name], self.stores[name]))
        program = self.build / "apps" / "foxtailcross-node" / "foxtailcross-node"
        self.instances[name] = subprocess.Popen([program, settings], stdout=self.log_for(name), stderr=subprocess.STDOUT)

    def end(self):
        for process in [*self.instances.values(), self.standin]:
            if process.poll() is None:
                process.kill()
            process.wait()

    def metric(self, zone, name):
        status, text = call(f"{HOST}:{self.ports[zone][3]}", "GET", "/metrics")
        lines = [line for line in text.splitlines() if line.startswith(name + " ")] if status == 200 else []
        return int(lines[0].split()[1]) if lines else None

    def holder(self):
        for zone, process in self.instances.items():
            if process.poll() is None and self.metric(zone, "foxtailcross_duty_held") == 1:
                return zone
        return None

    def ask(self, method, path, body=None, key=KEY):
        headers = {"Host": "jobs.example", "Content-Type": "application/json", "Authorization": f"Token {key}", "X-Deadline-Ms": "3000"}
        return call(self.addresses["ingress"], method, path, body, headers)

    def submit(self, queue, job, step):
        body = {"task_spec": "payload", "steps": [step]}
        return wait_for(f"the acceptance of {job}", lambda: self.ask("POST", f"/{queue}/{job}", body)[0] == 200)

    def state(self, queue, job):
        status, text = self.ask("GET", f"/{queue}/{job}")
        return json.loads(text).get("state", f"unreadable: {text}") if status == 200 else status

    def await_state(self, queue, job, state):
        wait_for(f"state {state} of {job}", lambda: self.state(queue, job) == state)

    def set_faults(self, faults):
        assert call(self.addresses["control"], "POST", "/v1/faults", faults)[0] == 200

    def set_operator_key(self, name, value):
        method = "DELETE" if value is None else "PUT"
        assert call(self.addresses["control"], method, f"/v1/operators/{name}", value)[0] == 200

    def runs(self):
        return json.loads(call(self.addresses["control"], "GET", "/v1/runs")[1])

    def zone_of(self, worker):
        """Zone of a worker; workers are numbered zone by zone."""
        return ZONES[int(worker.split("-")[1]) // WORKERS_PER_ZONE]

    def runs_of(self, job):
        return [run for run in self.runs()["runs"] if run["task"].startswith(job)]


def task(count=1, gpu=1, estimate=300, **more):
    return {"count": count, "cpu": 2000, "mem_mb": 4000, "gpu": gpu, "estimate_ms": estimate, **more}
