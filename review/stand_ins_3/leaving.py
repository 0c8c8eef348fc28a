"""Plain workers of which one leaves, the demand for them, and the check of what reaches it."""

import asyncio
import random

from client import send
from manifest import ORDERS, PLAIN
from server import Server
from wire import new_id

# `drain-ms`.
DRAIN_S = 2.0
RATE, WORK_S, SLOTS = 60.0, 0.15, 6


class LeavingServer(Server):
    """A plain worker that can exit, breaking off what it runs."""

    def __init__(self, store):
        super().__init__(store, PLAIN, work_s=WORK_S, slots=SLOTS)
        self.writers = set()
        self.running = {}
        self.broken_off = []

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().handle(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_request(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        self.running[attempt] = writer
        try:
            await super().serve_request(method, target, headers, body, writer)
        finally:
            self.running.pop(attempt, None)

    def exit(self):
        self.heartbeat.cancel()
        self.server.close()
        self.broken_off = list(self.running)
        for writer in list(self.writers):
            writer.transport.abort()


async def demand(fleet, results):
    chance = random.Random(3)
    tasks = set()

    async def one():
        target = chance.choice(fleet.instances)
        attempt, status = await send(fleet, target, ORDERS + new_id("r"), deadline_ms=2500,
                                     body=new_id().encode() * 36)
        results[attempt] = status

    while True:
        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(chance.expovariate(RATE))


def judge(fleet, servers, leaving, left_at, results):
    """Returns the exit status of a case in which `leaving` was removed from the list at `left_at`."""
    for server in servers:
        for one in server.runs:
            fleet.note("run", at=one["at"], server=one["server"], attempt=one["attempt"])
    late = [one for one in leaving.runs if one["at"] - left_at > DRAIN_S]
    early = [one for one in leaving.runs if one["at"] < left_at]
    if len(early) < 20:
        return 2
    lost = sum(results.get(attempt) not in (200, None) for attempt in leaving.broken_off)
    text = (f"{len(late)} requests run by the worker later than {DRAIN_S:g} s after its removal, "
            f"{lost} of {len(leaving.broken_off)} that it broke off were lost")
    fleet.note("result", text=text)
    print(text)
    return 1 if late else 0
