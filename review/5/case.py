"""The store is down for a few seconds while machines are emptied for their upkeep, so the entries of their runners expire and come back.

With TROUBLE=0 the store stays up.
"""
import asyncio
import sys
import time

from machines import Machines
from world import TROUBLE, ZONES, play

# Outages of the store last up to 6.5 s; entries expire after three intervals of 1.5 s.
OUTAGE_S = 4.6
MAY_MISS = 1
WATCH_S = 20
JOB = "00000000000000a1"


async def story(world):
    runners = [world.add_runner(f"i-{number}", ZONES[number % len(ZONES)], phase=0.0) for number in range(4)]
    await world.start()
    steps = [{"count": 2, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000, "long_running": True, "anti_affinity": 1, "may_miss": MAY_MISS}]
    await world.submit("urgent", JOB, steps, 0)
    await world.wait_for("the tasks at work", lambda: len(world.starts(JOB)) == 2)
    await asyncio.sleep(4)
    hosts = [entry[1] for entry in world.starts(JOB)]
    machines = Machines(world, 1, hosts, maximum=2)

    broken = []
    away_since = {f"{JOB}.0.0.{index}": None for index in range(2)}

    def at_work():
        return {task for runner in runners for task, run in runner.running.items() if runner.percent(run) == 100}

    # Looks at the tasks just before an upkeep ends what runs on its machine.
    carry_out = machines.carry_out
    ended_by_order = set()

    async def watched(machine, runner):
        for task in sorted(task for task in runner.running if runner.percent(runner.running[task]) == 100):
            others = [other for other in away_since if other != task and other not in at_work() and other in ended_by_order]
            if len(others) >= MAY_MISS:
                broken.append(f"AVAIL: the upkeep of {machine} ends {task}, which is at work, while {', '.join(others)} is away, "
                              f"ended by such an order, and {MAY_MISS} may be")
            ended_by_order.add(task)
        await carry_out(machine, runner)

    machines.carry_out = watched

    async def forget():
        while True:
            ended_by_order.difference_update(at_work())
            await asyncio.sleep(0.02)

    world.tasks.append(asyncio.ensure_future(forget()))
    # Just after a heartbeat, so that every entry is as fresh as it gets.
    await asyncio.sleep(max(0, runners[0].beat_at + 1.5 - 0.7 - time.monotonic()))
    machines.request_wave()
    await asyncio.sleep(0.9)
    if TROUBLE:
        world.set_store_down(True)
        await asyncio.sleep(OUTAGE_S)
        world.set_store_down(False)
    await asyncio.sleep(WATCH_S)
    return broken + machines.broken


if __name__ == "__main__":
    sys.exit(play(".", story))
