"""One client hands in one timed job whose times all lie in the past; ordinary clients hand in small jobs before and after it."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import world

ORDINARY = 8
EVERY_S = 1.0
FINISH_S = world.BOUNDS["finish_s"]
STANDING_S = 3
# The settings of an instance name this limit; the platform kills a process over it and starts it again.
MEMORY_MB = 260
RESTART_S = 0.5
STEP = [{"count": 2, "cpu": 1000, "mem_mb": 500, "gpu": 1, "estimate_ms": 300}]
# The first time is given in seconds since 1970 instead of milliseconds, so that it lies in January 1970.
TIMED = {"max_runs": 1_000_000, "initial_delay_ms": int(time.time()), "interval_ms": 60_000}
# No runner has this label, so that the job takes up no capacity.
TIMED_STEP = [{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300, "requirements": "c"}]


async def ask_with_retries(w, path):
    for number in range(5):
        status, body = await w.ask(w.nodes[number % len(w.nodes)], "GET", path)
        if status in (200, 410):
            break
        await asyncio.sleep(0.5)
    return status, body


async def play(w):
    await w.start(instances=3, runners_per_zone=2)
    await w.wait_for("a holder", w.holder, 10)
    most = {node.name: 0.0 for node in w.nodes}

    kills = {node.name: 0 for node in w.nodes}

    async def limit_memory(node):
        """Kills a process over the limit and starts it again after a short delay, as the platform does."""
        while True:
            used = node.memory_mb()
            most[node.name] = max(most[node.name], used)
            if used > MEMORY_MB:
                w.note("node", node.name, f"uses {used:.0f} MB of {MEMORY_MB} and is killed")
                kills[node.name] += 1
                node.kill()
                await asyncio.sleep(RESTART_S)
                node.start()
            await asyncio.sleep(0.02)

    w.tasks.extend(asyncio.ensure_future(limit_memory(node)) for node in w.nodes)
    if await w.submit(w.nodes[0], "usual", f"{1:016x}", STEP) != 200:
        raise world.CannotRun("the first job was not accepted")
    await asyncio.sleep(2)
    if w.trouble and await w.submit(w.nodes[1], "patient", "f" * 16, TIMED_STEP, **TIMED) != 200:
        raise world.CannotRun("the timed job was not accepted")
    sent = []
    for number in range(2, 2 + ORDINARY):
        sent.append(asyncio.ensure_future(w.submit(w.nodes[number % 3], "urgent", f"{number:016x}", STEP)))
        await asyncio.sleep(EVERY_S)
    statuses = await asyncio.gather(*sent)
    accepted = [f"{number:016x}" for number, status in zip(range(2, 2 + ORDINARY), statuses) if status == 200]
    w.note("accepted", len(accepted), "of", ORDINARY, "after the timed job; traffic ends")
    await asyncio.sleep(FINISH_S)
    broken = []
    ended_often = [name for name, count in kills.items() if count >= 3]
    if len(ended_often) >= 2:
        broken.append(f"Fault: processes went over their memory three times or more on {len(ended_often)} of {len(w.nodes)} machines: {kills}")
    for job in accepted:
        started = [entry for entry in w.starts if entry[2].startswith(job)]
        in_use = sum(len(runner.running) for runner in w.runners)
        if not started and in_use == 0:
            broken.append(f"LOST: {job} was accepted over {FINISH_S} s ago, no task of it was ever started, and all runners are idle")
    answers = await asyncio.gather(*(ask_with_retries(w, f"/urgent/{job}") for job in accepted))
    for job, (status, body) in zip(accepted, answers):
        if status != 200:
            broken.append(f"LOST: {job} was accepted, and asking for it five times gives {status or 'no answer'}")
    for node in w.nodes:
        line = f"{node.name}: at most {most[node.name]:.0f} MB of {MEMORY_MB}, killed {kills[node.name]} times"
        w.note(line)
        print(line)
    return broken


world.main(__file__, play)
