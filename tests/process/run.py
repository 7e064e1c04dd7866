"""Runs real processes under seeded faults, records the calls and answers of clients, and checks the history.

Usage: run.py --build DIR [--seed N] [--seeds COUNT] [--seconds S] [--instances N] [--keep DIR]
"""

import argparse
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time

import checker
import clients
import cluster
from faults import Injector
from history import History

GRACE_MS = 6000
LEAVING_GRACE_MS = 6000
START_LIMIT_S = 120
SETTLE_LIMIT_S = 120
QUIET_S = 12


def wait_until(condition, limit, what):
    deadline = time.time() + limit
    while time.time() < deadline:
        try:
            if condition():
                return
        except (cluster.NotSent, cluster.NoAnswer):
            pass
        time.sleep(0.1)
    raise RuntimeError(f"{what} did not happen within {limit} s")


def all_serve(bench):
    return all(cluster.call(daemon.address, "GET", "/v1/health")[0] == 200 for daemon in bench.daemons)


def change(bench, history, path, made_from, body):
    body = dict(body, operator="meera", madeFrom=made_from)
    status, answer = cluster.call(bench.daemons[0].address, "PUT", path, body, cluster.OPERATOR_TOKEN)
    if status == 200:
        history.add("accepted", version=answer["version"])
    return status == 200


def versions(bench):
    answers = [cluster.call(daemon.address, "GET", "/v1/configuration", token=cluster.OPERATOR_TOKEN) for daemon in bench.daemons]
    return [answer.get("version", -1) for _, answer in answers]


def collect(bench, history):
    """Adds the records of the runners and workers to the history."""
    targets = bench.targets()
    for runner in targets["runners"]:
        for entry in cluster.call(runner["address"], "GET", "/v1/received")[1]:
            if entry["ran"]:
                history.add("ran", id=entry["request"], attempt=entry["attempt"], runner=runner["id"], started=entry["at"])
    for worker in targets["workers"]:
        for entry in cluster.call(worker["address"], "GET", "/v1/history")[1]:
            history.add("task", job=entry["job"], attempt=entry["attempt"], task=entry["task"], worker=worker["id"],
                        zone=worker["zone"], phase=entry["phase"], entered=entry["at"])


def drive(bench, history, seed, seconds):
    wait_until(lambda: all_serve(bench), START_LIMIT_S, "the start of every instance")
    wait_until(lambda: change(bench, history, "/v1/accounts/studios", 0, {"guarantees": []}), START_LIMIT_S, "the creation of the account")
    wait_until(lambda: change(bench, history, "/v1/defaults", 1, clients.DEFAULTS), START_LIMIT_S, "setting the defaults")
    threads = [clients.Requester(bench, history, f"{seed}.{i}") for i in range(4)]
    threads += [clients.Submitter(bench, history, seed)]
    threads += [clients.Operator(bench, history, f"{seed}.{i}") for i in range(2)]
    threads += [clients.Reader(bench, history, seed, daemon) for daemon in bench.daemons]
    for thread in threads:
        thread.start()
    injector = Injector(bench, random.Random(seed), history)
    end = time.time() + seconds
    while time.time() < end:
        injector.step()
        time.sleep(0.3)
    for thread in threads:
        thread.stopping.set()
    for thread in threads:
        thread.join()
    newest = max(event["version"] for event in history.events if event["kind"] == "accepted")
    wait_until(lambda: min(versions(bench)) >= newest, SETTLE_LIMIT_S, f"version {newest} on every instance")
    for version in versions(bench):
        history.add("settled", version=version)
    # Calls that are still queued get the time to run, so that the checks detect a run that must not happen.
    time.sleep(QUIET_S)
    collect(bench, history)


def summary(history):
    answers = checker.of_kind(history.events, "answered")
    counts = {state: sum(1 for answer in answers if answer["run_state"] == state) for state in ("done", "did-not-run", "unknown")}
    tasks = checker.of_kind(history.events, "task")
    counts["ran"] = len(checker.of_kind(history.events, "ran"))
    counts["faults"] = len(checker.of_kind(history.events, "fault"))
    counts["changes"] = len(checker.of_kind(history.events, "accepted"))
    counts["take-outs"] = len(checker.of_kind(history.events, "zone_out"))
    counts["task starts"] = sum(1 for task in tasks if task["phase"] == "running")
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def run_seed(options, seed):
    """Runs one seed. Returns the violations that were found."""
    folder = tempfile.mkdtemp(prefix="foxtailcross-")
    programs = {name: os.path.join(options.build, "apps", name, name) for name in ("foxtailcross-standin", "foxtailcrossd")}
    history = History()
    history.add("settings", lease_ms=cluster.LEASE_MS + 1000, grace_ms=GRACE_MS, leaving_grace_ms=LEAVING_GRACE_MS)
    bench = cluster.Cluster(programs, folder, seed, options.instances)
    try:
        drive(bench, history, seed, options.seconds)
        violations = checker.check(history.events)
    except (RuntimeError, subprocess.TimeoutExpired) as error:
        violations = [str(error)]
    finally:
        bench.end()
    history.write(os.path.join(folder, "history.jsonl"))
    print(f"seed {seed}: {summary(history)}: {'clean' if not violations else 'VIOLATED'}", flush=True)
    for violation in violations[:20]:
        print("  " + violation, flush=True)
    if violations and options.keep:
        shutil.copytree(folder, os.path.join(options.keep, f"seed-{seed}"), dirs_exist_ok=True)
    shutil.rmtree(folder)
    return violations


def main():
    parser = argparse.ArgumentParser(description="Checks histories of real processes under faults.")
    parser.add_argument("--build", required=True, help="build folder with the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to run, from --seed up")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected in one run")
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--keep", help="folder for histories and logs of runs with violations")
    options = parser.parse_args()
    failed = [seed for seed in range(options.seed, options.seed + options.seeds) if run_seed(options, seed)]
    print(f"{options.seeds - len(failed)} of {options.seeds} runs clean" + (f", violated: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
