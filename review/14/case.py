"""A revoked key is accepted again by an instance that the store has not served, while it reads the manifests that it missed in parts.

The store serves all instances but one for 9 s. Meanwhile the operator changes the manifest a few times; the last change takes a key away.
A client goes on asking that instance for the state of its completed job with this key.
"""
import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import deployment  # noqa: E402
import web  # noqa: E402

# platform_down with how = "nodes": a share of 0.35 of the machines, for_s = 9.0. Here one of three.
CUT_S = 9.0
REVOKE_S = deployment.BOUNDS["revoke_ms"] / 1000
# Three times "the manifest grows by many routes", with the 350 of the site file.
ROUTES = 3 * 350
CHANGES = 8
CHANGE_EVERY_S = 0.4
CLIENTS = 3
WATCH_S = 4.0


async def play(site, has_trouble):
    idle = [{"name": f"idle-{number}", "host": f"idle{number}.example", "path_prefix": f"/idle{number}/", "route_type": "non_idempotent",
             "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2, "service": "service", "max_attempts": 3, "stretch": 3.0, "public": False}
            for number in range(ROUTES)]
    await site.start(per_zone=1, first_catalog=deployment.catalog(1, None, idle))
    key = deployment.KEYS["agencies"]
    job = f"{1:016x}"
    body = {"task_spec": "reel", "steps": [{"count": 1, "cpu": 2000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 300}]}
    holder = await site.holder()
    node = next(each for each in site.nodes if each is not holder)
    if (await site.ask(node, "POST", f"/urgent/{job}", body, key))[0] != 200:
        raise deployment.CannotRun("the job is not accepted")

    async def is_completed():
        status, text = await site.ask(node, "GET", f"/urgent/{job}", None, key)
        return status == 200 and json.loads(text)["state"] == "completed"

    await site.wait_for("completion", is_completed, 10)
    revoked_at = None
    answers = {}
    late = []
    stopping = False

    async def client(number):
        headers = {"Host": "jobs.example", "Authorization": f"Token {key}", "X-Deadline-Ms": "3000"}
        connection = web.Connection(node.callers)
        last = None
        while not stopping:
            sent = time.monotonic()
            try:
                status, text = await asyncio.wait_for(connection.call("GET", f"/urgent/{job}", headers), 3.2)
            except (OSError, asyncio.TimeoutError):
                connection.close()
                status, text = 0, b""
            answers[status] = answers.get(status, 0) + 1
            if status != last:
                site.note("client", number, "GET with the key", status, text[:90].decode(), "sent", f"{sent - site.began:.3f}")
                last = status
            if status == 200 and revoked_at is not None and sent - revoked_at > REVOKE_S:
                late.append(sent - revoked_at)
                site.note("client", number, "answered with success", f"{sent - revoked_at:.3f} s after the confirmation of the revocation")
            await asyncio.sleep(0.002 if status != 503 else 0.005)

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.5)
    if has_trouble:
        node.link.cut = True
        site.note("the store leaves the calls of", node.name, "without an answer")
    cut_at = time.monotonic()
    for version in range(2, 2 + CHANGES):
        manifest = deployment.catalog(version, dict(deployment.KEYS, agencies="" if version == 1 + CHANGES else key), idle)
        text = json.dumps(manifest).encode()
        site.store.put("keyed.op", "config", text)
        site.note("operator: manifest", version, len(text), "bytes", "without the key" if version == 1 + CHANGES else "")
        if version == 1 + CHANGES:
            revoked_at = time.monotonic()
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    node.link.cut = False
    site.note("the store serves it again")
    await asyncio.sleep(WATCH_S)
    stopping = True
    await asyncio.gather(*clients)
    site.note("answers", answers, "late successes", len(late))
    if late:
        return [f"{len(late)} requests with a key that was taken away were answered with success, sent {min(late):.3f} to {max(late):.3f} s after the "
                f"confirmation of the manifest without it; the bound is {REVOKE_S} s"]
    return []


deployment.main(play)
