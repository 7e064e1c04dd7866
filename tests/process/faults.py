"""Injects random faults one after another, chosen by a seed, and ends each of them."""

import signal
import time

DOWN = {"down": True}
# Prevents the test from hanging; the settings end a planned stop sooner.
PLANNED_STOP_LIMIT_S = 120


class Injector:
    """Faults on the platform, its targets, the links to it and the daemons."""

    def __init__(self, bench, random, history):
        self.bench = bench
        self.random = random
        self.history = history
        targets = bench.targets()
        self.workers = [worker["id"] for worker in targets["workers"]]
        self.runners = [runner["id"] for runner in targets["runners"]]

    def step(self):
        """Injects one temporary fault or makes one permanent change."""
        fault = self.random.choice([self.kill, self.pause, self.stop, self.log_outage, self.log_slow, self.log_answers_lost, self.platform_cut,
                                    self.list_stale, self.worker_fault, self.runner_fault, self.target_leaves,
                                    self.zone_cut, self.zone_alone, self.bad_network])
        self.history.add("fault", fault=fault.__name__)
        fault()

    def wait(self, least, most):
        time.sleep(self.random.uniform(least, most))

    def hold(self, path, key, name, faults, least, most):
        self.bench.order(path, {key: name, **faults})
        self.wait(least, most)
        self.bench.order(path, {key: name})

    def kill(self):
        daemon = self.random.choice(self.bench.daemons)
        daemon.kill()
        self.wait(0.1, 3)
        daemon.start()

    def pause(self):
        daemon = self.random.choice(self.bench.daemons)
        daemon.signal(signal.SIGSTOP)
        self.wait(0.5, 7)
        daemon.signal(signal.SIGCONT)

    def stop(self):
        daemon = self.random.choice(self.bench.daemons)
        daemon.signal(signal.SIGTERM)
        daemon.process.wait(PLANNED_STOP_LIMIT_S)
        self.history.add("stopped", instance=daemon.id, code=daemon.process.returncode)
        daemon.start()

    def log_outage(self):
        self.hold("/v1/faults", "target", "log", self.random.choice([DOWN, {"silent": True}]), 1, 6)

    def log_slow(self):
        self.hold("/v1/faults", "target", "log", {"slowMs": 700}, 1, 4)

    def log_answers_lost(self):
        self.hold("/v1/faults", "target", "log", {"loseEvery": 2}, 1, 4)

    def platform_cut(self):
        daemon = self.random.choice(self.bench.daemons)
        cut = self.random.choice([{"cutForward": True}, {"cutBackward": True}, {"cutForward": True, "cutBackward": True}, {"delayMs": 300}])
        self.hold("/v1/relay-faults", "name", "log@" + daemon.id, cut, 1, 6)

    def cut_zone(self, zone, inward, outward):
        """Cuts a zone's instances from the others, for messages into the zone, out of it, or both."""
        inside = [daemon.id for daemon in self.bench.daemons if daemon.zone == zone]
        outside = [daemon.id for daemon in self.bench.daemons if daemon.zone != zone]
        for ids, others, calls, answers in ((inside, outside, inward, outward), (outside, inside, outward, inward)):
            for id in ids:
                self.bench.order("/v1/relay-faults",
                                 {"name": "peers@" + id, "cutFrom": others if calls else [], "cutTo": others if answers else []})

    def zone_cut(self):
        zone = self.random.choice(sorted({daemon.zone for daemon in self.bench.daemons}))
        self.cut_zone(zone, *self.random.choice([(True, True), (True, False), (False, True)]))
        self.wait(1, 8)
        self.cut_zone(zone, False, False)

    def zone_alone(self):
        """Cuts a zone from the others and from the platform."""
        zone = self.random.choice(sorted({daemon.zone for daemon in self.bench.daemons}))
        inside = [daemon.id for daemon in self.bench.daemons if daemon.zone == zone]
        self.cut_zone(zone, True, True)
        for id in inside:
            self.bench.order("/v1/relay-faults", {"name": "log@" + id, "cutForward": True, "cutBackward": True})
        self.wait(2, 10)
        for id in inside:
            self.bench.order("/v1/relay-faults", {"name": "log@" + id})
        self.cut_zone(zone, False, False)

    def bad_network(self):
        for daemon in self.bench.daemons:
            faults = {"delayMs": 5, "jitterMs": 200, "dropPercent": 30, "duplicatePercent": 30}
            self.bench.order("/v1/relay-faults", {"name": "peers@" + daemon.id, **faults})
        self.wait(1, 5)
        for daemon in self.bench.daemons:
            self.bench.order("/v1/relay-faults", {"name": "peers@" + daemon.id})

    def list_stale(self):
        self.hold("/v1/faults", "target", "list", self.random.choice([{"stale": True}, {"lagMs": 5000}, DOWN]), 1, 4)

    def worker_fault(self):
        fault = self.random.choice([{"silent": True}, {"paused": True}, {"failTasks": True}, {"loseEvery": 2}, {"slowMs": 500}, DOWN])
        self.hold("/v1/faults", "target", self.random.choice(self.workers), fault, 1, 6)

    def runner_fault(self):
        fault = self.random.choice([{"silent": True}, {"paused": True}, {"loseEvery": 2}, {"crossed": True}, {"lateMs": 400}, DOWN])
        self.hold("/v1/faults", "target", self.random.choice(self.runners), fault, 1, 4)

    def target_leaves(self):
        target = self.random.choice(self.workers + self.runners)
        self.bench.order("/v1/leaving", {"id": target, "leaving": True})
        self.history.add("leaving", target=target)
        self.wait(1, 2)
