"""Clients of one run: callers, operators and readers of the configuration. Each is a thread that records its calls and answers."""

import random
import threading
import time

import cluster

SHAPE_OF_TASK = {"milliCores": 2000, "memoryMb": 2000, "accelerators": 2}
DEFAULTS = {"quota": {"milliCores": 100000, "memoryMb": 200000, "accelerators": 40}, "urgentPerHour": 10, "weight": 1.0}
REQUEST_TIMEOUT_MS = 2000
CALLS_PER_REQUEST = 4


class Client(threading.Thread):
    """Repeats its step until it is asked to stop."""

    def __init__(self, bench, history, seed):
        super().__init__(daemon=True)
        self.bench = bench
        self.history = history
        self.random = random.Random(f"{type(self).__name__} {seed}")
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.is_set():
            try:
                self.step()
            except (cluster.NotSent, cluster.NoAnswer):
                time.sleep(0.05)

    def step(self):
        raise NotImplementedError

    def any_daemon(self):
        return self.random.choice(self.bench.daemons)

    def call(self, method, path, body=None, token=None, daemon=None):
        return cluster.call((daemon or self.any_daemon()).address, method, path, body, token)


class Requester(Client):
    """Sends slot matches. Repeats each with its id through any instance until it is done, at most CALLS_PER_REQUEST times."""

    calls = 0
    lock = threading.Lock()

    def step(self):
        status, answer = self.call("POST", "/v1/request-ids", {"count": 1})
        if status != 200:
            time.sleep(0.05)
            return
        body = f"booth {self.random.randrange(1000)} \"quoted\""
        for attempt in range(1, CALLS_PER_REQUEST + 1):
            if self.send(answer["ids"][0], attempt, body) == "done":
                break

    def send(self, id, attempt, body):
        with Requester.lock:
            Requester.calls += 1
            number = Requester.calls
        request = {"id": id, "attempt": attempt, "account": "studios", "kind": "slot-match", "idempotent": False,
                   "timeoutMs": REQUEST_TIMEOUT_MS, "body": body}
        self.history.add("sent", call=number, id=id, attempt=attempt, request_kind="slot-match", body=body)
        state, answer = "unknown", None
        try:
            _, reply = self.call("POST", "/v1/requests", request)
            state, answer = reply.get("runState", "unknown"), reply.get("body")
        except cluster.NotSent:
            state = "did-not-run"
        except cluster.NoAnswer:
            pass
        if state == "outcome-unknown":
            state = "unknown"
        self.history.add("answered", call=number, id=id, attempt=attempt, run_state=state, body=answer)
        return state


class Submitter(Client):
    """Submits gangs."""

    jobs = 0

    def step(self):
        self.jobs += 1
        tasks = self.random.choice([1, 2, 4, 8])
        job = {"id": f"{self.name}-{self.jobs}", "account": "studios", "kind": "render", "declaredRunTimeMs": 2000,
               "checkpointable": self.random.random() < 0.5,
               "shape": {"tasks": tasks, "perTask": SHAPE_OF_TASK, "adjacency": self.random.choice(["same-zone", "same-rack"])}}
        self.history.add("job", job=job["id"], tasks=tasks)
        self.call("POST", "/v1/jobs", job)
        time.sleep(0.3)


class Operator(Client):
    """Changes the defaults and takes zones out and back, concurrently with other operators."""

    def step(self):
        status, configuration = self.call("GET", "/v1/configuration", token=cluster.OPERATOR_TOKEN)
        if status == 200:
            zone = self.random.choice(cluster.ZONES)
            self.random.choice([self.change_defaults, self.take_out, self.bring_back])(configuration["version"], zone)
        time.sleep(0.4)

    def change(self, method, path, version, body):
        body = dict(body, operator="meera", madeFrom=version)
        status, answer = self.call(method, path, body, cluster.OPERATOR_TOKEN)
        if status == 200:
            self.history.add("accepted", version=answer["version"])
        return status, answer

    def change_defaults(self, version, _):
        self.change("PUT", "/v1/defaults", version, dict(DEFAULTS, urgentPerHour=self.random.randrange(100)))

    def take_out(self, version, zone):
        status, answer = self.change("POST", f"/v1/zones/{zone}/out", version, {"reason": "flood"})
        if status == 200 or answer.get("state") == "provisional-in-force":
            self.history.add("zone_out", zone=zone, accepted=int(time.time() * 1000))

    def bring_back(self, version, zone):
        # Recorded before it is sent, since it may take effect even if no answer comes.
        self.history.add("zone_back", zone=zone, sent=int(time.time() * 1000))
        self.change("POST", f"/v1/zones/{zone}/back", version, {})


class Reader(Client):
    """Reads the configuration of one instance periodically."""

    def __init__(self, bench, history, seed, daemon):
        super().__init__(bench, history, seed)
        self.daemon_read = daemon

    def step(self):
        status, configuration = self.call("GET", "/v1/configuration", token=cluster.OPERATOR_TOKEN, daemon=self.daemon_read)
        if status == 200:
            self.history.add("read", reader=self.daemon_read.id, version=configuration["version"])
        time.sleep(0.1)
