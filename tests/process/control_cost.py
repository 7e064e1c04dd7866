#!/usr/bin/env python3
"""Measures the cost of control for one foxtailcrossd: processor time, memory and bytes, by number of instances, workers and tasks.

Usage: control_cost.py --build BUILD_FOLDER [--instances N] [--workers N] [--tasks N] [--seconds N]

Workers are spread evenly over the three zones; all tasks run in the first one, as gangs of 8. Prints one line of JSON for
the instance that schedules that zone and one for the most expensive other instance. This is a measurement, not a test.
"""
import argparse
import http.client
import json
import os
import tempfile
import time

import cluster

GANG = 8
SETTLE_S = 6
START_LIMIT_S = 60

STANDIN_SETTINGS = """
zones = [{zones}]
list_lag = "500 ms"
relay_seed = {seed}
log_retention = "{retention}"
[workers]
count = WORKERS
per_rack = 8
milli_cores = 64000
memory_mb = 128000
accelerators = 2
task_run_time = "30 min"
[runners]
count = 6
request_run_time = "15 ms"
"""

DAEMON_SETTINGS = """
instance = "{id}"
zone = "{zone}"
region = "kerala"
[listen]
http = "{http}"
peers = "{peers}"
advertised_peers = "{advertised}"
[platform]
log = "{log}"
list = "{list}"
[security]
operator_token = "{token}"
request_id_key = "request-id-key-of-a-test"
peer_keys = ["peer-key-of-a-test-1"]
"""


def metrics_of(daemon):
    host, port = daemon.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return {name: int(value) for name, value in (line.split() for line in lines if not line.startswith("#"))}


def process_of(daemon):
    """Processor time in seconds and resident memory in MB of the whole process."""
    with open(f"/proc/{daemon.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK"), int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def operate(daemon, method, path, body):
    status, answer = cluster.call(daemon.address, method, path, body, cluster.OPERATOR_TOKEN)
    if status != 200:
        raise RuntimeError(f"{path}: {answer}")
    return answer


def start_tasks(bench, tasks):
    first = bench.daemons[0]
    version = operate(first, "GET", "/v1/configuration", None)["version"]
    quota = {"milliCores": 10**8, "memoryMb": 10**9, "accelerators": 10**5}
    version = operate(first, "PUT", "/v1/defaults",
                      {"quota": quota, "urgentPerHour": 100, "weight": 1.0, "operator": "meera", "madeFrom": version})["version"]
    operate(first, "PUT", "/v1/accounts/a", {"guarantees": [], "operator": "meera", "madeFrom": version})
    for _ in range(tasks // GANG):
        job = {"account": "a", "kind": "k", "declaredRunTimeMs": 1800000, "zone": cluster.ZONES[0],
               "shape": {"tasks": GANG, "perTask": {"milliCores": 1000, "memoryMb": 1000, "accelerators": 0}}}
        status, answer = cluster.call(first.address, "POST", "/v1/jobs", job)
        if status != 202:
            raise RuntimeError(answer)
    deadline = time.monotonic() + START_LIMIT_S
    while metrics_of(first)["foxtailcross_jobs_running"] < tasks // GANG:
        if time.monotonic() > deadline:
            raise RuntimeError("the jobs did not start")
        time.sleep(0.5)


def sample(daemon):
    processor, memory = process_of(daemon)
    return dict(metrics_of(daemon), processor=processor, memory=memory)


def cost(before, after, seconds):
    def rate(name):
        return (after[name] - before[name]) / seconds

    client = rate("foxtailcross_client_sent_bytes") + rate("foxtailcross_client_received_bytes")
    return {
        "control_thread_core_percent": round(rate("foxtailcross_control_cpu_milliseconds") / 10, 2),
        "process_core_percent": round(100 * rate("processor"), 2),
        "memory_mb": round(after["memory"], 1),
        "client_bytes_per_s": round(client),
        "heartbeat_bytes_per_s": round(rate("foxtailcross_heartbeat_bytes_total")),
        "worker_messages_per_s": round(rate("foxtailcross_worker_messages_total"), 1),
        "worker_commands_per_s": round(rate("foxtailcross_worker_commands_total"), 1),
        "log_reads_per_s": round(rate("foxtailcross_log_reads_total"), 1),
        "log_appends_per_s": round(rate("foxtailcross_log_appends_total"), 2),
        "events_per_s": round(rate("foxtailcross_control_events_total"), 1),
        "holder": after["foxtailcross_scheduler_holding"],
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--workers", type=int, default=12)
    parser.add_argument("--tasks", type=int, default=0)
    parser.add_argument("--seconds", type=int, default=15)
    options = parser.parse_args()
    cluster.STANDIN_SETTINGS = STANDIN_SETTINGS.replace("WORKERS", str(options.workers))
    cluster.DAEMON_SETTINGS = DAEMON_SETTINGS
    programs = {name: os.path.join(options.build, "apps", name, name) for name in ("foxtailcrossd", "foxtailcross-standin")}
    with tempfile.TemporaryDirectory(prefix="foxtailcross-") as folder:
        bench = cluster.Cluster(programs, folder, 1, options.instances)
        try:
            time.sleep(SETTLE_S)
            if options.tasks:
                start_tasks(bench, options.tasks)
            before = [sample(daemon) for daemon in bench.daemons]
            time.sleep(options.seconds)
            costs = [cost(old, sample(daemon), options.seconds) for old, daemon in zip(before, bench.daemons)]
            own = [one for one, daemon in zip(costs, bench.daemons) if daemon.zone == cluster.ZONES[0]]
            print(json.dumps({"workers": options.workers, "tasks": options.tasks, "instances": options.instances}))
            print("scheduler", json.dumps(max(own, key=lambda one: one["holder"])))
            print("other    ", json.dumps(max((one for one in costs if not one["holder"]), key=lambda one: one["process_core_percent"], default=None)))
        finally:
            bench.end()


if __name__ == "__main__":
    main()
