#!/usr/bin/env python3
"""Workers that are cut off while they run tasks of jobs with dependent steps: no job stands still on a fleet with free capacity.

Nine instances run as processes; the stand-ins of the review play store, workers and machines in this process. Bursts of jobs whose
steps depend on each other are submitted, and then four cuts, which overlap, separate eight workers each from the instances and the store.
A cut behaves as one on a network does, and not like a worker that refuses calls:

- The kernel drops the opening packets of new connections. It sends them again after 1 and 3 s.
- What is sent on open connections is held. It is sent again after 0.2 s and then each time after twice the time before, so that it may
  arrive some time after the cut is over. A connection on which nothing is acknowledged within the instances' limit is closed.
- The worker's entry in the worker list expires, and is back only some time after the cut.

Exits with 0 only if every job is completed and none stood still. A job stands still if for 3 s no task of it runs that is not done yet,
although it is the turn of one, two such tasks would fit on workers that can be reached, and under half of the fleet's capacity is in use.
That is checked when the jobs are asked for after the last cut, and from then on for time spans without a disturbance.
"""
import argparse
import asyncio
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))

import web  # noqa: E402
import world as review  # noqa: E402

from platform_site import HOST  # noqa: E402

INSTANCES = 9
WORKERS = 48
CUT_WORKERS = 8
CUTS = 4
CUT_EVERY_S = 1.0
CUT_S = 5.5
BURSTS = 4
BURST_EVERY_S = 2.5
JOBS_IN_A_BURST = 6
# From the last burst to the first cut, and from the end of the last cut to the question for all jobs.
PAUSE_S = 2.0
ASK_AFTER_S = 4.5
STANDING_S = 3.0
# Time after a disturbance until its effects count no longer.
CALM_S = 4.0
LIMIT_S = 60
LOOK_EVERY_S = 0.05
# TCP's first retransmission, and the time after which the instances close a connection without acknowledgements.
FIRST_RETRANSMISSION_S = 0.2
UNACKNOWLEDGED_LIMIT_S = 1.5
BACKLOG = 128
# Time after the end of a cut until an expired entry is written again.
RELIST_S = (0.1, 2.0)


async def wait_for_retransmission(sent_at):
    """Waits for the next time at which what was sent at `sent_at`, and never acknowledged, is sent again."""
    interval = FIRST_RETRANSMISSION_S
    at = sent_at + interval
    while at < time.monotonic():
        interval *= 2
        at += interval
    await asyncio.sleep(at - time.monotonic())


class Link(web.Server):
    """The server of a worker behind a network that can be cut."""

    def __init__(self, handler):
        super().__init__(self.carry)
        self.handle_carried = handler
        self.listener = None
        self.accepting = None
        self.fillers = []
        self.is_whole = asyncio.Event()
        self.is_whole.set()

    async def start(self):
        self.listener = socket.create_server((web.HOST, self.port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accepting = asyncio.ensure_future(self.accept())

    def stop(self):
        self.accepting.cancel()
        self.listener.close()
        super().stop()

    async def accept(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection, limit=1 << 22)
            asyncio.ensure_future(self._serve(reader, writer))

    async def carry(self, request):
        sent_at = time.monotonic()
        if not self.is_whole.is_set():
            try:
                await asyncio.wait_for(self.is_whole.wait(), UNACKNOWLEDGED_LIMIT_S)
            except asyncio.TimeoutError:
                raise web.Reset() from None
            await wait_for_retransmission(sent_at)
        answer = await self.handle_carried(request)
        answered_at = time.monotonic()
        if not self.is_whole.is_set():
            await self.is_whole.wait()
            await wait_for_retransmission(answered_at)
        return answer

    def cut(self):
        """Fills the queue of new connections, so that the kernel drops further opening packets."""
        self.is_whole.clear()
        self.accepting.cancel()
        self.listener.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((web.HOST, self.port))
        self.fillers.append(filler)

    def heal(self):
        while self.fillers:
            self.fillers.pop().close()
        self.listener.listen(BACKLOG)
        self.accepting = asyncio.ensure_future(self.accept())
        self.is_whole.set()


class Site(review.World):
    """The fleet with links that can be cut, and what is known of each job from what its workers did."""

    def __init__(self, folder, seed):
        super().__init__(folder, folder)
        self.random = random.Random(seed)
        self.accepted = []
        self.done = set()
        self.read = 0
        # Number of cuts that separate a worker now.
        self.cuts = {}
        self.last_healed = None
        self.known_completed = set()
        # Since when a job stands still, and the longest such time.
        self.standing_since = {}
        self.longest = 0
        # The same while all workers that ran a task of the job can be reached, so that nothing is left to find out.
        self.reachable_since = {}
        self.longest_reachable = 0
        self.workers_of = {}

    def add_workers(self):
        for number in range(WORKERS):
            zone = review.ZONES[number * len(review.ZONES) // WORKERS]
            worker = self.add_runner(f"i-{number}", zone, phase=self.random.uniform(0, 1.5))
            worker.server = Link(worker.handle)

    def cut(self, worker):
        self.cuts[worker] = self.cuts.get(worker, 0) + 1
        if self.cuts[worker] == 1:
            self.note("cut", worker.id, "runs", sorted(worker.running))
            worker.heartbeats = False
            worker.server.cut()

    async def heal(self, worker):
        self.cuts[worker] -= 1
        if self.cuts[worker] == 0:
            self.note("healed", worker.id)
            worker.server.heal()
            self.last_healed = self.now()
            await asyncio.sleep(self.random.uniform(*RELIST_S))
            if self.cuts[worker] == 0:
                worker.register()
                worker.heartbeats = True

    async def cut_some(self):
        chosen = self.random.sample(self.runners, CUT_WORKERS)
        for worker in chosen:
            self.cut(worker)
        await asyncio.sleep(CUT_S)
        await asyncio.gather(*(self.heal(worker) for worker in chosen))

    async def submit_burst(self):
        async def submit():
            job = f"{self.random.getrandbits(64):016x}"
            steps = []
            for number in range(self.random.choice((2, 2, 3))):
                step = {"count": self.random.randint(2, 16), "cpu": 11000, "mem_mb": 28992, "gpu": 1, "estimate_ms": 6000}
                steps.append(step | ({"depends_on": [number - 1]} if number > 0 else {}))
            seconds = self.random.uniform(2.0, 7.0)
            if await self.submit("patient", job, steps, seconds, first=self.random.choice(self.nodes)):
                self.accepted.append(job)

        await asyncio.gather(*(submit() for _ in range(JOBS_IN_A_BURST)))

    def due_tasks(self, job):
        """Tasks of the job that are not done and whose turn has come."""
        left = []
        for number, step in enumerate(self.jobs[job]):
            left.append([task for task in (f"{job}.0.{number}.{index}" for index in range(step["count"])) if task not in self.done])
        return [(step, tasks) for step, tasks in zip(self.jobs[job], left) if tasks and not any(left[earlier] for earlier in step.get("depends_on", []))]

    def used(self, unit, worker):
        return sum(run.step[unit] for run in worker.running.values())

    def fits_twice(self, step):
        fitting = 0
        for worker in self.runners:
            if self.cuts.get(worker, 0) == 0:
                fitting += min((worker.capacity[unit] - self.used(unit, worker)) // step[unit] for unit in worker.capacity)
        return fitting >= 2

    def is_half_free(self):
        return all(2 * sum(self.used(unit, worker) for worker in self.runners) < sum(worker.capacity[unit] for worker in self.runners)
                   for unit in ("cpu", "mem_mb", "gpu"))

    def look(self):
        """Returns a line for each job that has stood still for too long in a time span without a disturbance."""
        for _, worker, _, task, _, what in self.history[self.read :]:
            self.workers_of.setdefault(task.split(".")[0], set()).add(worker)
            if what == "done":
                self.done.add(task)
        self.read = len(self.history)
        running = {task.split(".")[0] for worker in self.runners for task in worker.running if task not in self.done}
        is_half_free = self.is_half_free()
        broken = []
        for job in self.accepted:
            due = self.due_tasks(job)
            if job in running or not is_half_free or not any(self.fits_twice(step) for step, _ in due):
                since = self.standing_since.pop(job, None)
                self.reachable_since.pop(job, None)
                if since is not None and self.now() - since >= 1:
                    self.note("stood", job, "from", f"{since:.3f}", "for", f"{self.now() - since:.3f}")
                continue
            since = self.standing_since.setdefault(job, self.now())
            self.longest = max(self.longest, self.now() - since)
            if any(self.cuts.get(worker, 0) > 0 for worker in self.workers_of.get(job, ())):
                self.reachable_since.pop(job, None)
            else:
                self.longest_reachable = max(self.longest_reachable, self.now() - self.reachable_since.setdefault(job, self.now()))
            if self.last_healed is not None and not any(self.cuts.values()):
                calm_since = max(since, self.last_healed + CALM_S)
                if self.now() - calm_since >= STANDING_S:
                    broken.append(f"{job} stands still without a disturbance since {calm_since:.3f}: {due[0][1][:3]}")
        return broken

    def standing(self):
        """Returns a line for each job that stands still as the jobs are asked for."""
        return [f"{job} stands still since {since:.3f} as it is asked for: {self.due_tasks(job)[0][1][:3]}"
                for job, since in self.standing_since.items() if self.now() - since >= STANDING_S]

    async def all_completed(self):
        for job in self.accepted:
            if job not in self.known_completed:
                status, answer = await self.ask(self.nodes[0], "GET", f"/patient/{job}")
                if status != 200 or answer.get("state") != "completed":
                    return False
                self.known_completed.add(job)
        return True

    async def play(self):
        self.add_workers()
        await self.start(INSTANCES)
        if not all(node.is_running() for node in self.nodes):
            raise review.CannotRun("an instance has ended")
        broken = set()

        async def keep_looking():
            while True:
                broken.update(self.look())
                await asyncio.sleep(LOOK_EVERY_S)

        self.tasks.append(asyncio.ensure_future(keep_looking()))
        for _ in range(BURSTS):
            await self.submit_burst()
            await asyncio.sleep(BURST_EVERY_S)
        await asyncio.sleep(PAUSE_S)
        cuts = []
        for _ in range(CUTS):
            cuts.append(asyncio.ensure_future(self.cut_some()))
            await asyncio.sleep(CUT_EVERY_S)
        await asyncio.sleep(CUT_S - CUT_EVERY_S + ASK_AFTER_S)
        broken.update(self.look())
        broken.update(self.standing())
        self.note("asked", "for", len(self.accepted), "jobs")
        await asyncio.gather(*cuts)
        try:
            await self.wait_for("completion of all jobs", self.all_completed, LIMIT_S)
        except review.CannotRun:
            broken.update(f"{job} is not completed" for job in self.accepted if job not in self.known_completed)
        return sorted(broken)


def use_build(build):
    """Makes the stand-ins start the instance of this build, on addresses that no other process uses."""
    web.HOST = HOST
    ports = iter(review.PORTS)

    class BuiltNode(review.Node):
        def __init__(self, world, name, zone):
            super().__init__(world, name, zone)
            self.ports = [next(ports) for _ in self.ports]
            self.callers = f"{HOST}:{self.ports[0]}"

        def start(self):
            template = review.tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["template"]
            settings = pathlib.Path(self.world.folder) / f"{self.name}.toml"
            settings.write_text(review.render((ROOT / template).read_text(), self.settings()))
            with open(pathlib.Path(self.world.folder) / f"{self.name}.log", "a", encoding="utf-8") as log:
                self.process = subprocess.Popen([build / "apps/foxtailcross-node/foxtailcross-node", settings], stdout=log, stderr=log)
            self.world.note("node", self.name, "start")

    review.Node = BuiltNode


def play(seed, keep):
    async def run(site):
        try:
            return await site.play()
        finally:
            site.end()

    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, seed)
        begun = time.monotonic()
        broken = asyncio.run(run(site))
        site.record.close()
        if keep:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    runs = [entry for entry in site.history if entry[5] == "start"]
    print(f"seed {seed}: {len(site.accepted)} jobs, {len(runs)} runs of {len({entry[3] for entry in runs})} tasks; longest stand-still "
          f"{site.longest:.1f} s, {site.longest_reachable:.1f} s with its workers in reach; {len(broken)} broken; {time.monotonic() - begun:.0f} s", flush=True)
    for line in broken:
        print(f"  WRONG: {line}", flush=True)
    return broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the records and logs of each run")
    options = parser.parse_args()
    use_build(options.build.resolve())
    return 1 if any([play(seed, options.keep) for seed in range(options.seed, options.seed + options.seeds)]) else 0


if __name__ == "__main__":
    sys.exit(main())
