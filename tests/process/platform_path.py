#!/usr/bin/env python3
"""Runs the whole path on the stand-in of the platform: callers, instances, store and workers as separate processes over TCP.

A job of a gang, a cancelled one, an instance that is killed while it holds the scheduling duty, a worker that is gone, a key
that is taken away, a zone that is taken out, a store that is away, and a planned stop. Waits for each step as long as it takes
up to a limit, and ends with 0 only if every step gave the right answer and the workers saw nothing that no run may do.
"""
import argparse
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["kochi", "thrissur", "kozhikode"]
LIMIT_S = 40
KEY = "0123456789abcdefghij"
OTHER_KEY = "zyxwvutsrqponmlkjihg"


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def call(address, method, path, body=None, headers=None):
    """One HTTP call; status 0 where there was no answer."""
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
    """The stand-in and one instance in each zone."""

    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.instances = {}
        self.ports = {zone: free_ports(4) for zone in ZONES}
        self.standin = self.start_standin()
        line = self.standin.stdout.readline()
        self.addresses = json.loads(line)
        for zone in ZONES:
            self.start_instance(zone)

    def start_standin(self):
        fronts = "".join(f'[[front]]\ncallers = "127.0.0.1:{p[0]}"\nreadiness = "127.0.0.1:{p[1]}"\n' for p in self.ports.values())
        settings = self.folder / "standin.toml"
        catalog = ROOT / "files" / "platform-catalog.json"
        settings.write_text(f"zones = {json.dumps(ZONES)}\ncatalog = {json.dumps(str(catalog))}\n[workers]\nper_zone = 4\n{fronts}")
        program = self.build / "apps" / "foxtailcross-platform-standin" / "foxtailcross-platform-standin"
        return subprocess.Popen([program, "--settings", settings], stdout=subprocess.PIPE, text=True)

    def start_instance(self, zone):
        callers, readiness, peers, metrics = self.ports[zone]
        settings = self.folder / f"{zone}.toml"
        settings.write_text(
            f'instance = "{zone}-1"\nzone = "{zone}"\nregion = "kerala"\n[listen]\ncallers = "127.0.0.1:{callers}"\n'
            f'readiness = "127.0.0.1:{readiness}"\npeers = "127.0.0.1:{peers}"\nmetrics = "127.0.0.1:{metrics}"\n'
            f'[platform]\nstore = "{self.addresses["store"]}"\n'
        )
        program = self.build / "apps" / "foxtailcross-node" / "foxtailcross-node"
        log = open(self.folder / f"{zone}.log", "a")
        self.instances[zone] = subprocess.Popen([program, settings], stdout=log, stderr=subprocess.STDOUT)

    def end(self):
        for process in [*self.instances.values(), self.standin]:
            if process.poll() is None:
                process.kill()
            process.wait()

    def metric(self, zone, name):
        status, text = call(f"127.0.0.1:{self.ports[zone][3]}", "GET", "/metrics")
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
        return json.loads(text)["state"] if status == 200 else status

    def await_state(self, queue, job, state):
        wait_for(f"state {state} of {job}", lambda: self.state(queue, job) == state)

    def set_faults(self, faults):
        assert call(self.addresses["control"], "POST", "/v1/faults", faults)[0] == 200

    def set_operator_key(self, name, value):
        method = "DELETE" if value is None else "PUT"
        assert call(self.addresses["control"], method, f"/v1/operators/{name}", value)[0] == 200

    def runs(self):
        return json.loads(call(self.addresses["control"], "GET", "/v1/runs")[1])

    def runs_of(self, job):
        return [run for run in self.runs()["runs"] if run["task"].startswith(job)]


def task(count=1, gpu=1, estimate=300, **more):
    return {"count": count, "cpu": 2000, "mem_mb": 4000, "gpu": gpu, "estimate_ms": estimate, **more}


def play(site):
    wait_for("the scheduling duty to be held", site.holder)
    print("Three instances serve; one holds the scheduling duty.")

    site.submit("urgent", "00000000000000a1", task(4, 8, 400, gang=True))
    site.await_state("urgent", "00000000000000a1", "completed")
    assert [run["how"] for run in site.runs_of("00000000000000a1")] == ["done"] * 4
    print("A gang of four whole workers ran once and is completed.")

    site.submit("patient", "00000000000000a2", task(6, 1, 60000))
    wait_for("the start of the patient job", lambda: len(site.runs_of("00000000000000a2")) == 6)
    wait_for("the cancel", lambda: site.ask("DELETE", "/patient/00000000000000a2")[0] == 200)
    wait_for("the end of its runs", lambda: not any(run["open"] for run in site.runs_of("00000000000000a2")))
    assert site.state("patient", "00000000000000a2") == "cancelled"
    print("A cancelled job has nothing running.")

    site.submit("patient", "00000000000000a3", task(8, 1, 3000))
    wait_for("the start of the job", lambda: len(site.runs_of("00000000000000a3")) == 8)
    zone = site.holder()
    site.instances[zone].send_signal(signal.SIGKILL)
    site.instances[zone].wait()
    wait_for("another holder", lambda: site.holder() not in (None, zone))
    site.await_state("patient", "00000000000000a3", "completed")
    assert [run["how"] for run in site.runs_of("00000000000000a3")] == ["done"] * 8
    site.start_instance(zone)
    print(f"The holder in {zone} was killed; another one carried the job on, and no task ran twice.")

    site.submit("patient", "00000000000000a4", task(1, 1, 3000))
    worker = wait_for("the start of the job", lambda: site.runs_of("00000000000000a4"))[0]["worker"]
    site.set_faults({"crash": [worker]})
    site.await_state("patient", "00000000000000a4", "completed")
    print("A worker was lost; its task ran again elsewhere.")

    catalog = json.loads((ROOT / "files" / "platform-catalog.json").read_text())
    assert site.ask("GET", "/urgent/", key=OTHER_KEY)[0] == 200
    catalog["version"] = 9
    catalog["tenants"][1]["api_keys"] = []
    site.set_operator_key("config", catalog)
    wait_for("the refusal of the key", lambda: all(site.ask("GET", "/urgent/", key=OTHER_KEY)[0] == 401 for _ in range(6)))
    print("A key that was taken away is refused everywhere.")

    site.set_operator_key("evacuate/kochi", {})
    wait_for("the zone to be out", lambda: site.metric("thrissur", "foxtailcross_zones_out") == 1 and site.metric(site.holder() or "kochi", "foxtailcross_zones_out") == 1)
    site.submit("patient", "00000000000000a5", task(24, 1, 200))
    site.await_state("patient", "00000000000000a5", "completed")
    kochi = {f"i-{number}" for number in range(4)}
    assert not kochi & {run["worker"] for run in site.runs_of("00000000000000a5")}
    site.set_operator_key("evacuate/kochi", None)
    print("Nothing starts in a zone that is out.")

    site.set_faults({"store": "busy"})
    status = site.ask("POST", "/patient/00000000000000a6", {"task_spec": "payload", "steps": [task()]})[0]
    assert status in (503, 504), status
    site.set_faults({"store": "serves"})
    site.submit("patient", "00000000000000a6", task())
    site.await_state("patient", "00000000000000a6", "completed")
    print("A store that is away is waited for.")

    zone = wait_for("a holder", site.holder)
    site.instances[zone].send_signal(signal.SIGTERM)
    assert site.instances[zone].wait(timeout=LIMIT_S) == 0
    wait_for("the successor", lambda: site.holder() not in (None, zone))
    site.submit("urgent", "00000000000000a7", task(2, 1, 100))
    site.await_state("urgent", "00000000000000a7", "completed")
    print("A planned stop of the holder ends with 0, and its successor serves.")
    broken = site.runs()["broken"]
    if broken:
        raise SystemExit(f"WRONG: the workers saw {broken}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder))
        try:
            play(site)
            print("Every step gave the right answer.")
            return 0
        except BaseException:
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"== {log.name} ==")
                print("\n".join(log.read_text().splitlines()[-15:]))
            raise
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
