"""Stand-in of the platform's machines: upkeep by the page on machines."""
import asyncio
import json

UPKEEP_S = 2.0


class Machines:
    """Carries out upkeep orders. Fence numbers count for each machine separately."""

    def __init__(self, world, wave, runners, maximum, duration_s=30):
        self.world = world
        self.wave = wave
        self.maximum = maximum
        self.duration_s = duration_s
        self.runners = {runner.machine: runner for runner in runners}
        self.fences = {}
        self.down = set()
        self.begun = []
        self.lives = 1
        # What was seen against the rules.
        self.broken = []
        # Called with (machine, holder, token) before an order is carried out; may raise web.NoAnswer.
        self.intercept = None
        world.on_machine_call = self.handle

    def request_wave(self):
        value = {"wave": self.wave, "machines": sorted(self.runners), "duration_s": self.duration_s, "maximum": self.maximum}
        self.world.note("operator", f"op/wave/{self.wave}", json.dumps(value))
        self.world.store.put("op", f"wave/{self.wave}", json.dumps(value).encode())

    async def handle(self, request):
        if request.path != "/v1/machine-upkeep":
            return 404, {}
        body = request.json()
        holder, token = request.headers.get("x-duty-holder", ""), int(request.headers.get("x-fencing-token", "0"))
        self.world.note("order", "upkeep of", body["machine"], "by", holder, "with", token)
        if self.intercept is not None:
            await self.intercept(body["machine"], holder, token)
        return self.upkeep(body["machine"], body["wave"], holder, token)

    def upkeep(self, machine, wave, holder, token):
        status, answer = self.decide(machine, wave, token)
        self.world.note("machine", machine, "upkeep ordered by", holder, "with", token, "->", status, json.dumps(answer))
        return status, answer

    def decide(self, machine, wave, token):
        if machine not in self.runners:
            return 400, {}
        if token < self.fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self.fences[machine] = token
        if wave != self.wave:
            return 409, {"reason": "wave"}
        if machine in self.begun:
            return 200, {}
        runner = self.runners[machine]
        if not runner.is_up:
            return 409, {"reason": "busy"}
        if len(self.down) >= self.maximum:
            self.broken.append(f"LIMIT: the upkeep of {machine} begins while {', '.join(sorted(self.down))} is down for its own, "
                               f"and the wave allows {self.maximum} at once")
        self.begun.append(machine)
        self.down.add(machine)
        asyncio.ensure_future(self.carry_out(machine, runner))
        return 200, {}

    async def carry_out(self, machine, runner):
        ended = sorted(runner.running)
        self.world.note("machine", machine, "is down; it ended", ended)
        runner.crash("upkeep")
        await asyncio.sleep(UPKEEP_S)
        self.lives += 1
        runner.id = f"{runner.id.split('.')[0]}.{self.lives}"
        await runner.start()
        runner.register()
        self.down.discard(machine)
        self.world.note("machine", machine, "is up as", runner.id)
