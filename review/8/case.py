"""One client hands in one job of many small tasks; ordinary clients hand in jobs before and after it, and ask for them."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import world

BEFORE, AFTER = 4, 6
FINISH_S = world.BOUNDS["finish_s"]
STEP = [{"count": 2, "cpu": 1000, "mem_mb": 500, "gpu": 1, "estimate_ms": 300}]
# Thousandths of a core; all tasks together need 100 of the 192 cores and 100 GB of the 393 GB of the six runners.
WIDE_STEPS = [{"count": 50_000, "cpu": 1, "mem_mb": 1, "estimate_ms": 1000}] * 2


async def ask_with_retries(w, path):
    """A client asks as often as the site's clients do, within its time budget of 3 s each time, at one instance after the other."""
    for number in range(5):
        status, body = await w.ask(w.nodes[number % len(w.nodes)], "GET", path)
        if status in (200, 410):
            break
        await asyncio.sleep(0.5)
    return status, body


async def play(w):
    w.summed.add("f" * 16)
    await w.start(instances=3, runners_per_zone=2)
    await w.wait_for("a holder", w.holder, 10)
    before = [f"{number:016x}" for number in range(1, 1 + BEFORE)]
    for number, job in enumerate(before):
        if await w.submit(w.nodes[number % 3], "usual", job, STEP) != 200:
            raise world.CannotRun(f"{job} was not accepted")
    await asyncio.sleep(2)
    if w.trouble and await w.submit(w.nodes[1], "patient", "f" * 16, WIDE_STEPS) != 200:
        raise world.CannotRun("the wide job was not accepted")
    after = [f"{number:016x}" for number in range(1 + BEFORE, 1 + BEFORE + AFTER)]
    sent = []
    for number, job in enumerate(after):
        await asyncio.sleep(1)
        sent.append(asyncio.ensure_future(w.submit(w.nodes[number % 3], "urgent", job, STEP)))
    statuses = await asyncio.gather(*sent)
    w.note("traffic ends;", statuses.count(200), "of", AFTER, "jobs after the wide one were accepted")
    await asyncio.sleep(FINISH_S)
    jobs = [("usual", job) for job in before] + [("urgent", job) for job, status in zip(after, statuses) if status == 200]
    answers = await asyncio.gather(*(ask_with_retries(w, f"/{queue}/{job}") for queue, job in jobs))
    broken = []
    for (_, job), (status, body) in zip(jobs, answers):
        if status != 200:
            broken.append(f"LOST: {job} was accepted, and asking for it five times gives {status or 'no answer'}")
        elif body["state"] != "completed":
            in_use = sum(entry[2].get("cpu", 0) for runner in w.runners for entry in runner.running.values())
            if not any(entry[2].startswith(job) for entry in w.starts) and in_use < 0.25 * 32000 * len(w.runners):
                broken.append(f"LOST: {job} was accepted over {FINISH_S} s ago and never started; of the runners {in_use / 1000:.0f} cores are in use")
    print(f"{statuses.count(200)} of {AFTER} jobs after the wide one were accepted; {sum(entry[2].startswith('f' * 16) for entry in w.starts)} of its "
          f"{sum(step['count'] for step in WIDE_STEPS)} tasks were started")
    return broken


world.main(__file__, play)
