#!/usr/bin/env python3
"""Checks that planned stops leave no request without an answer, with callers that use their connections until the process is gone.

Two rounds of two overlapping stops: with the store as usual, and with a store that answers the stopping instances late. A request is lost if
its connection ends without its answer later than the slack after it was sent.
"""
import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from platform_site import HOST, KEY, Site, task, wait_for
from store_proxy import StoreProxy

# Grace period of a planned stop and the slack of a request, from the settings of the deployment.
GRACE_S = 6
LOSS_SLACK_S = 0.2
# Delay of the late store in each direction.
LATE_S = 0.15
GAP_S = 1.3
# Pauses between the requests of a connection: some are used within the time that a stopping process leaves them, some are not.
STYLES = {"kept": (0.05, 0.4), "idle": (1, 2), "silent": (60, 60), "pipelined": (0.05, 0.1)}
CONNECTIONS_PER_STYLE = 2
ANSWER_LIMIT_S = 10


class Callers:
    def __init__(self, site):
        self.site = site
        self.number = 0
        self.answered = 0
        self.failures = []
        self.is_over = False
        # Longest time by which this process was late to notice the end of a connection.
        self.lag = 0.0
        self.random = random.Random(1)
        self.tasks = [asyncio.create_task(self.watch_lag())]
        for name in site.ports:
            for style in STYLES:
                self.tasks += [asyncio.create_task(self.use_connections(name, style)) for _ in range(CONNECTIONS_PER_STYLE)]

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag = max(self.lag, time.monotonic() - before - 0.01)

    def requests(self, style):
        """A submission, and on a pipelined connection the state and the cancellation of the same job with it."""
        self.number += 1
        path = f"/patient/{self.number:016x}"
        head = f"HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token {KEY}\r\nX-Deadline-Ms: 3000\r\n"
        body = json.dumps({"task_spec": "payload", "steps": [task(estimate=50)]})
        submission = f"POST {path} {head}Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        if style != "pipelined":
            return [submission if self.number % 4 == 0 else f"GET /patient/ {head}\r\n"]
        return [submission, f"GET {path} {head}\r\n", f"DELETE {path} {head}\r\n"]

    async def use_connections(self, name, style):
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.site.ports[name][0])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self.exchange(name, style, reader, writer):
                    if self.is_over or await ended_within(reader, self.random.uniform(*STYLES[style])):
                        break
            finally:
                writer.close()
            await asyncio.sleep(0.01)

    async def exchange(self, name, style, reader, writer):
        """Sends requests and reads their answers. Returns False if the connection is over."""
        requests = self.requests(style)
        sent_at = time.monotonic()
        writer.write("".join(requests).encode())
        for number in range(len(requests)):
            try:
                is_last = await asyncio.wait_for(read_answer(reader), ANSWER_LIMIT_S)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.failures.append((name, style, number, type(error).__name__, time.monotonic() - sent_at))
                return False
            self.answered += 1
            if is_last:
                if number + 1 < len(requests):
                    self.failures.append((name, style, number + 1, "closed before it", time.monotonic() - sent_at))
                return False
        return True

    async def end(self):
        # A cancellation is lost if it comes just as a wait with a time limit ends.
        self.is_over = True
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def lost(self):
        return [failure for failure in self.failures if failure[-1] > LOSS_SLACK_S + self.lag]


async def ended_within(reader, seconds):
    try:
        return await asyncio.wait_for(reader.read(1), seconds) == b""
    except asyncio.TimeoutError:
        return False
    except OSError:
        return True


async def read_answer(reader):
    """Reads an answer. Returns True if it announces the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    await reader.readexactly(int(fields["content-length"]))
    return fields.get("connection") == "close"


async def stop(site, name):
    """Stops an instance, starts it again, and returns what it logged last."""
    began = time.monotonic()
    process = site.instances[name]
    process.send_signal(signal.SIGTERM)
    while process.poll() is None and time.monotonic() - began < GRACE_S:
        await asyncio.sleep(0.02)
    assert process.poll() == 0, f"the stop of {name} was not over after {GRACE_S} s" if process.poll() is None else f"exit code {process.poll()}"
    lines = [line for line in (site.folder / f"{name}.log").read_text().splitlines() if "event=stopped" in line]
    site.start_instance(name)
    return lines[-1]


async def stop_two(site, names):
    first = asyncio.create_task(stop(site, names[0]))
    await asyncio.sleep(GAP_S)
    return await asyncio.gather(first, stop(site, names[1]))


async def play(site, proxies):
    callers = Callers(site)
    loop = asyncio.get_running_loop()
    try:
        await asyncio.sleep(2)
        names = list(site.ports)
        # A connection with half a request stays open until the process ends.
        _, half = await asyncio.open_connection(HOST, site.ports[names[1]][0])
        half.write(b"POST /patient/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 10\r\n\r\n12345")
        first, second = await stop_two(site, names[:2])
        half.close()
        lost = callers.lost()
        assert not lost, f"lost requests: {lost}"
        assert "drained=true connections=0 unanswered=0" in first, first
        assert "drained=false connections=1 unanswered=0" in second, second
        print(f"Two stops: {callers.answered} requests answered, none lost; {len(callers.failures)} within the slack.")

        holder = await loop.run_in_executor(None, lambda: wait_for("the scheduling duty to be held", site.holder))
        other = next(name for name in names if name != holder)
        for name in (holder, other):
            proxies[name].fault = LATE_S
        lines = await stop_two(site, [holder, other])
        lost = callers.lost()
        assert not lost, f"lost requests with a late store: {lost}"
        assert all("unanswered=0" in line for line in lines), lines
        print(f"Two stops with a late store: {callers.answered} requests answered, none lost; {len(callers.failures)} within the slack.")
    finally:
        await callers.end()
        print(f"lag of this process: {callers.lag:.3f} s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    proxies = {}

    def proxy_for(name, store):
        proxies[name] = StoreProxy(store)
        return proxies[name].address

    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder), store_for=proxy_for)
        try:
            wait_for("the scheduling duty to be held", site.holder)
            asyncio.run(play(site, proxies))
            return 0
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
