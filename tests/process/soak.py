#!/usr/bin/env python3
"""A randomized soak test of real processes: overlapping series of external faults, and checks of what callers and workers see.

Each instance reaches the store through its own proxy. The seed determines the faults, but their interleaving depends on the machine.
The log of one instance goes to a pipe that is not read. Exits with 0 only if no guarantee was violated.
"""
import argparse
import http.client
import json
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

from platform_site import HOST, KEY, OTHER_KEY, ROOT, Site, call, task, wait_for
from store_proxy import StoreProxy

# Limits of the deployment, in seconds: key revocation, zone take-out, recovery after faults, and grace period of a planned stop.
REVOKE_S = 5
EVACUATE_S = 5
RECOVERY_S = 12
GRACE_S = 6
# A complete request sent more than this long before its connection ended counts as read and has to be answered.
LOSS_SLACK_S = 0.2
# Polling interval of the workers' list of runs. A run may have started this much earlier than it was first seen.
POLL_S = 0.25
# Time that jobs submitted during the faults have to end after them.
SETTLE_S = 40
# Pause of a caller between two jobs. Three callers use about 0.6 of the workers' capacity.
PACE_S = 0.5
QUEUES = ["urgent", "patient"]
# Jobs of one client that ask for far more than can run during a seed: many small tasks, and many times that have passed.
WIDE_JOBS = {
    "e" * 16: {"steps": [{"count": 50_000, "cpu": 1, "mem_mb": 1, "estimate_ms": 1000}] * 2},
    "d" * 16: {"steps": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1000}], "max_runs": 1_000_000, "initial_delay_ms": 1000, "interval_ms": 60_000},
}
# Memory of an instance, in MB: that of the smallest machine.
MEMORY_MB = 120


class Callers:
    """Threads that submit jobs, query them and cancel some, and record the answers."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.jobs = {}
        self.violations = []
        self.stopping = threading.Event()
        self.number = 0

    def run(self):
        threads = [threading.Thread(target=self.work) for _ in range(3)]
        for thread in threads:
            thread.start()
        return threads

    def next_job(self):
        with self.lock:
            self.number += 1
            gang = self.random.random() < 0.4
            step = task(self.random.randint(1, 4), self.random.choice([1, 1, 4, 8]), self.random.randint(100, 2500))
            if gang:
                step["gang"] = True
            job = {"queue": self.random.choice(QUEUES), "accepted": False, "maybe": False, "cancelled": False, "completed": False}
            name = f"{self.number:016x}"
            self.jobs[name] = job
            return name, job, step, self.random.random() < 0.15

    def work(self):
        while not self.stopping.is_set():
            name, job, step, cancels = self.next_job()
            for _ in range(4):
                status = self.site.ask("POST", f"/{job['queue']}/{name}", {"task_spec": "payload", "steps": [step]})[0]
                job["maybe"] = job["maybe"] or status not in (429, 503)
                if status == 200:
                    job["accepted"] = True
                    break
                self.stopping.wait(0.2)
            if job["accepted"] and cancels:
                job["cancelled"] = self.site.ask("DELETE", f"/{job['queue']}/{name}")[0] == 200
                job["maybe_cancelled"] = True
            self.check_random_job()
            self.stopping.wait(PACE_S)

    def submit_wide(self):
        for name, job in WIDE_JOBS.items():
            self.jobs[name] = {"queue": "patient", "accepted": False, "maybe": True, "cancelled": False, "completed": False}
            self.jobs[name]["accepted"] = self.site.ask("POST", f"/patient/{name}", {"task_spec": "payload", **job})[0] == 200

    def cancel_wide(self):
        for name in WIDE_JOBS:
            self.jobs[name]["maybe_cancelled"] = True
            wait_for(f"the cancelling of {name}", lambda job=name: self.site.ask("DELETE", f"/patient/{job}")[0] == 200)
            self.jobs[name]["cancelled"] = True

    def check_random_job(self):
        with self.lock:
            accepted = [name for name, job in self.jobs.items() if job["accepted"]]
        if not accepted:
            return
        name = self.random.choice(accepted)
        self.check_state(name, self.jobs[name])

    def check_state(self, name, job):
        was_completed = job["completed"]
        state = self.site.state(job["queue"], name)
        if state == 410:
            self.violations.append(f"{name} was accepted and is not known")
        elif state == "completed":
            job["completed"] = True
        elif isinstance(state, str) and state.startswith("unreadable"):
            self.violations.append(f"the state of {name} was answered with {state}")
        elif isinstance(state, str) and was_completed:
            self.violations.append(f"{name} was completed and is {state}")
        return state


class Watch:
    """Checks the runs on the workers, and guarantees with a time limit, while faults are injected."""

    def __init__(self, site):
        self.site = site
        self.violations = []
        self.zone_out_since = {}
        self.key_revoked_since = None
        self.seen = set()
        self.stopping = threading.Event()

    def run(self):
        threads = [threading.Thread(target=self.watch_runs), threading.Thread(target=self.watch_key)]
        for thread in threads:
            thread.start()
        return threads

    def watch_runs(self):
        while not self.stopping.wait(POLL_S):
            now = time.monotonic()
            for run in self.site.runs()["runs"]:
                key = (run["task"], run["run"])
                zone = self.site.zone_of(run["worker"])
                since = self.zone_out_since.get(zone)
                if key not in self.seen and since is not None and now - since > EVACUATE_S + 2 * POLL_S:
                    self.violations.append(f"{run['task']} began in {zone}, which was taken out {now - since:.1f} s ago")
                self.seen.add(key)

    def watch_key(self):
        while not self.stopping.wait(0.1):
            since = self.key_revoked_since
            began = time.monotonic()
            if since is None or began - since <= REVOKE_S:
                continue
            status = self.site.ask("GET", "/urgent/", key=OTHER_KEY)[0]
            if status == 200 and self.key_revoked_since == since:
                self.violations.append(f"a key was accepted {began - since:.1f} s after it was revoked")


class Faults:
    """Series of faults. Each fault undoes its own changes."""

    def __init__(self, site, proxies, watch, seed, log):
        self.site = site
        self.proxies = proxies
        self.watch = watch
        self.random = random.Random(seed)
        self.log = log
        self.lock = threading.Lock()
        self.busy = set()
        self.version = 10
        self.violations = []
        self.end_at = 0
        self.kinds = [self.kills, self.pauses, self.stops, self.reloads, self.store_links, self.store_links, self.store_away, self.worker_crash,
                      self.worker_cut, self.key_away, self.zone_out, self.versions]

    def run(self, seconds):
        self.end_at = time.monotonic() + seconds
        threads = [threading.Thread(target=self.work, args=(random.Random(self.random.random()),)) for _ in range(3)]
        for thread in threads:
            thread.start()
        return threads

    def work(self, rng):
        while time.monotonic() < self.end_at:
            kind = rng.choice(self.kinds)
            self.log(f"{kind.__name__}")
            kind(rng)
            time.sleep(rng.uniform(0, 1))

    def reserve(self, rng, most):
        """Reserves up to `most` instances that no other series uses at the moment."""
        with self.lock:
            free = [name for name in self.site.instances if name not in self.busy]
            names = rng.sample(free, min(len(free), rng.randint(1, most)))
            self.busy.update(names)
            return names

    def release(self, names):
        with self.lock:
            self.busy.difference_update(names)

    def with_instances(self, rng, most, action):
        names = self.reserve(rng, most)
        try:
            action(names)
        finally:
            self.release(names)

    def expect_running(self, name):
        instance = self.site.instances[name]
        if instance.poll() is not None:
            log = self.site.folder / f"{name}.log"
            last = (instance.stdout.read().decode() if instance.stdout else log.read_text()).splitlines()[-1:]
            self.violations.append(f"{name} ended by itself with {instance.returncode} {last}")
            self.site.start_instance(name)

    def kills(self, rng):
        def action(names):
            for name in names:
                self.expect_running(name)
                self.site.instances[name].kill()
                self.site.instances[name].wait()
                time.sleep(rng.uniform(0, 0.3))
            time.sleep(rng.uniform(0, 2))
            for name in names:
                self.site.start_instance(name)

        self.with_instances(rng, len(self.site.instances), action)

    def pauses(self, rng):
        def action(names):
            for name in names:
                self.site.instances[name].send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.3, 6))
            for name in names:
                self.site.instances[name].send_signal(signal.SIGCONT)
                time.sleep(rng.uniform(0, 0.5))

        self.with_instances(rng, 2, action)

    def stops(self, rng):
        def action(names):
            for name in names:
                self.expect_running(name)
                client = threading.Thread(target=self.use_until_gone, args=(name,))
                client.start()
                time.sleep(0.1)
                self.site.instances[name].send_signal(signal.SIGTERM)
                try:
                    code = self.site.instances[name].wait(timeout=GRACE_S)
                    if code != 0:
                        self.violations.append(f"{name} ended a planned stop with {code}")
                except subprocess.TimeoutExpired:
                    self.violations.append(f"{name} was still there {GRACE_S} s after SIGTERM")
                    self.site.instances[name].kill()
                    self.site.instances[name].wait()
                client.join()
                self.site.start_instance(name)

        self.with_instances(rng, 2, action)

    def use_until_gone(self, name):
        """Sends calls on one connection until it ends. A call that the instance read must be answered completely."""
        connection = http.client.HTTPConnection(HOST, self.site.ports[name][0], timeout=GRACE_S)
        headers = {"Host": "jobs.example", "Authorization": f"Token {KEY}", "X-Deadline-Ms": "3000"}
        try:
            connection.connect()
            while connection.sock is not None:
                sent = time.monotonic()
                try:
                    connection.request("GET", "/urgent/", headers=headers)
                    connection.getresponse().read()
                except (OSError, http.client.HTTPException) as error:
                    took = time.monotonic() - sent
                    if took > LOSS_SLACK_S:
                        self.violations.append(f"{name} left a call without its answer after {took:.1f} s, in a planned stop: {error!r}")
                    return
                time.sleep(0.02)
        except OSError:
            pass
        finally:
            connection.close()

    def reloads(self, rng):
        def action(names):
            for _ in range(rng.randint(1, 4)):
                for name in names:
                    self.expect_running(name)
                    self.site.instances[name].send_signal(signal.SIGHUP)
                time.sleep(rng.uniform(0, 0.3))

        self.with_instances(rng, 3, action)

    def store_links(self, rng):
        def action(names):
            for _ in range(rng.randint(1, 2)):
                fault = rng.choice(["silent", "answers-lost", "reset", rng.uniform(0.02, 0.4)])
                for name in names:
                    self.proxies[name].fault = fault
                time.sleep(rng.uniform(0.5, 5))
                for name in names:
                    self.proxies[name].fault = ""
                time.sleep(rng.uniform(0, 0.5))

        self.with_instances(rng, 4, action)

    def store_away(self, rng):
        self.site.set_faults({"store": rng.choice(["busy", "silent"])})
        time.sleep(rng.uniform(0.5, 4))
        self.site.set_faults({"store": "serves"})

    def worker_crash(self, rng):
        self.site.set_faults({"reborn": [f"i-{rng.randrange(self.site.workers)}"]})

    def worker_cut(self, rng):
        self.site.set_faults({"cut": [f"i-{number}" for number in rng.sample(range(self.site.workers), rng.randint(1, 4))]})
        time.sleep(rng.uniform(1, 8))
        self.site.set_faults({"cut": []})

    def write_catalog(self, keys):
        with self.lock:
            self.version += 1
            catalog = json.loads((ROOT / "files" / "platform-catalog.json").read_text())
            catalog["version"] = self.version
            catalog["tenants"][1]["api_keys"] = keys
            self.site.set_operator_key("config", catalog)

    def key_away(self, rng):
        with self.lock:
            if self.watch.key_revoked_since is not None:
                return
            self.watch.key_revoked_since = float("inf")
        self.write_catalog([])
        self.watch.key_revoked_since = time.monotonic()
        time.sleep(rng.uniform(1, 9))
        self.watch.key_revoked_since = None
        self.write_catalog([OTHER_KEY])

    def zone_out(self, rng):
        zone = rng.choice(sorted({self.site.zone_of(f"i-{number}") for number in range(self.site.workers)}))
        with self.lock:
            if zone in self.watch.zone_out_since:
                return
            self.watch.zone_out_since[zone] = float("inf")
        self.site.set_operator_key(f"evacuate/{zone}", {})
        self.watch.zone_out_since[zone] = time.monotonic()
        time.sleep(rng.uniform(1, 9))
        del self.watch.zone_out_since[zone]
        self.site.set_operator_key(f"evacuate/{zone}", None)

    def versions(self, rng):
        if self.watch.key_revoked_since is None:
            for _ in range(rng.randint(1, 5)):
                self.write_catalog([OTHER_KEY] if self.watch.key_revoked_since is None else [])
                time.sleep(rng.uniform(0, 0.4))


def settle(site, callers):
    """After all faults: checks that the system serves again and that all accepted jobs end. Returns the violations."""
    violations = []
    began = time.monotonic()
    site.submit("urgent", "f" * 16, task(1, 1, 100))
    site.await_state("urgent", "f" * 16, "completed")
    if time.monotonic() - began > RECOVERY_S:
        violations.append(f"a job after the faults took {time.monotonic() - began:.1f} s")
    end = time.monotonic() + SETTLE_S
    open_jobs = {name: job for name, job in callers.jobs.items() if job["accepted"]}
    while open_jobs and time.monotonic() < end:
        for name, job in list(open_jobs.items()):
            state = callers.check_state(name, job)
            if state in ("completed", "cancelled", "failed"):
                del open_jobs[name]
                if state == "failed" or (state == "cancelled" and "maybe_cancelled" not in job):
                    violations.append(f"{name} is {state} without cause")
        time.sleep(0.1)
    violations += [f"{name} was accepted and has not ended {SETTLE_S} s after the faults" for name in open_jobs]
    runs = site.runs()
    violations += [f"the workers reported {seen}" for seen in runs["broken"]]
    started = {run["task"].split("/")[0] for run in runs["runs"]}
    violations += [f"{name} was refused each time and ran" for name, job in callers.jobs.items() if not job["maybe"] and name in started]
    running = {run["task"].split("/")[0] for run in runs["runs"] if run["open"]}
    violations += [f"{name} was cancelled and runs" for name, job in callers.jobs.items() if job["cancelled"] and name in running]
    return violations


def peak_memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024


def run_seed(build, folder, seed, seconds, wide):
    proxies = {}

    def store_for(name, store):
        proxies[name] = StoreProxy(store)
        return proxies[name].address

    def log_for(name):
        # The log of this instance is not read.
        return subprocess.PIPE if name == "kochi" else open(folder / f"{name}.log", "a")

    site = Site(build, folder, per_zone=2, store_for=store_for, log_for=log_for)
    began = time.monotonic()
    events = open(folder / "faults.log", "a")
    try:
        wait_for("the scheduling duty to be held", site.holder)
        callers, watch = Callers(site, seed), Watch(site)
        faults = Faults(site, proxies, watch, seed + 1, lambda what: print(f"{time.monotonic() - began:7.2f} {what}", file=events, flush=True))
        if wide:
            callers.submit_wide()
        others = callers.run() + watch.run()
        for thread in faults.run(seconds):
            thread.join()
        callers.stopping.set()
        watch.stopping.set()
        for thread in others:
            thread.join()
        if wide:
            callers.cancel_wide()
        violations = settle(site, callers)
        for name in site.instances:
            faults.expect_running(name)
            if peak_memory_mb(site.instances[name]) > MEMORY_MB:
                violations.append(f"{name} used {peak_memory_mb(site.instances[name]):.0f} MB")
        violations += callers.violations + watch.violations + faults.violations
        accepted = sum(job["accepted"] for job in callers.jobs.values())
        print(f"seed {seed}: {len(callers.jobs)} jobs submitted, {accepted} accepted, {len(site.runs()['runs'])} runs, {len(violations)} guarantees violated")
        return violations
    finally:
        events.close()
        site.end()
        for proxy in proxies.values():
            proxy.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=20, help="length of the faults of each seed")
    parser.add_argument("--wide", action="store_true", help="a client also submits jobs that ask for far more than can run")
    parser.add_argument("--keep", type=pathlib.Path, help="folder that keeps the logs of each seed that failed")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            violations = run_seed(options.build.resolve(), pathlib.Path(folder), seed, options.seconds, options.wide)
            for line in violations:
                print(f"WRONG: {line}")
            failed += bool(violations)
            if violations and options.keep:
                kept = options.keep / f"seed-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(folder).iterdir():
                    (kept / log.name).write_bytes(log.read_bytes())
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
