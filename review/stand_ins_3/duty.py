"""What the cases about the orders to model workers share: a small fleet, demand, and the orders."""

import asyncio
import os
import random
import signal
import sys
import time

from client import send
from fleet import Fleet
from manifest import ENGINES, MODELS, STREAM, manifest
from server import Server
from store import Store

# "20 s of history": the sheet of the site.
KEEP_S = 20.0
# Bounds of cuenca-alerta-grown that differ from those of the small sites.
BOUNDS = {"contact-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000,
          "config-apply-ms": 3000, "stretch-max-ms": 6000, "retry-slack": 172, "recovery-s": 15,
          "pass-ms": 200, "fence-checked": "false"}
# Models that are asked for from the start; the others are asked for later.
FIRST_MODELS = list(MODELS)[:6]
LATE_MODELS = list(MODELS)[6:]


class Duty:
    """Instances with two model workers. The holder of the lease is not the first member by name."""

    def __init__(self, record, instances, bounds=None, keep_s=KEEP_S, parts=24, reserved=0):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record, self.count = record, instances
        self.bounds = BOUNDS if bounds is None else bounds
        self.keep_s, self.parts = keep_s, parts
        # Addresses before those of the instances, for machines that come later.
        self.reserved = reserved
        self.asked = {}
        self.served = set()

    async def start(self):
        """Starts all parts; returns whether the instances are ready."""
        self.store = Store(keep_s=self.keep_s, parts=self.parts)
        await self.store.start()
        self.fleet = Fleet(self.store, self.record, bounds=self.bounds)
        reserved, self.fleet.ips = self.fleet.ips[:self.reserved], self.fleet.ips[self.reserved:]
        self.later = [self.fleet.prepare(f"new-{ip}", "zone-0", ip) for ip in reserved]
        await self.store.put("keyed.op", "config", manifest())
        copies = list(MODELS)
        checks = self.bounds["fence-checked"] == "true"
        self.servers = [Server(self.store, ENGINES, FIRST_MODELS[2 * n:2 * n + 2], copies, MODELS,
                               checks_fences=checks)
                        for n in range(2)]
        for server in self.servers:
            await server.start()
        for number in range(self.count):
            self.fleet.add(f"edge-{number}", f"zone-{number % 4}")
        by_name = sorted(self.fleet.instances, key=lambda instance: instance.peer)
        # Partitions are dealt in the order of the names; who joins first becomes the holder.
        self.first, self.others, self.holder = by_name[0], by_name[1:-1], by_name[-1]
        self.holder.start()
        await asyncio.sleep(0.25)
        for instance in by_name[:-1]:
            instance.start()
        return await self.fleet.await_ready()

    async def ask(self, targets, models, pause, adapters=(1, 8)):
        """Asks for models and their adapters in turn, for as long as it is not cancelled."""
        chance = random.Random(1)
        tasks = set()

        async def one(target, subject):
            _, status = await send(self.fleet, target, STREAM + "2f", subject)
            if status == 200:
                self.served.add(subject)

        while True:
            model = chance.choice(models)
            numbers = [number for number in range(adapters[0], adapters[1] + 1)
                       if number <= MODELS[model]["adapters"]]
            subject = f"{model}/a{chance.choice(numbers)}" if numbers and chance.random() < 0.6 else model
            self.asked.setdefault(subject, []).append(time.monotonic())
            task = asyncio.create_task(one(chance.choice(targets), subject))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause)

    def orders(self):
        """Returns all orders that reached workers, in the order of their arrival, and records them."""
        orders = sorted((order for server in self.servers for order in server.orders),
                        key=lambda order: order["at"])
        for order in orders:
            fields = {name: value for name, value in order.items() if name != "at"}
            self.fleet.note("order", at=order["at"], **fields)
        for server in self.servers:
            for run in server.runs:
                self.fleet.note("run", at=run["at"], server=run["server"], attempt=run["attempt"])
        for at, topic, record in self.store.appends:
            self.fleet.note("append", at=at, topic=topic, bytes=len(record))
        return orders

    def end(self):
        self.fleet.end()


def by_server(orders):
    """Yields the orders of each worker."""
    for server in sorted({order["server"] for order in orders}):
        yield [order for order in orders if order["server"] == server]


def main(case):
    """Runs a case; its exit status is 2 if it couldn't run or was stopped."""

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(case())
    except Exception as error:
        print(f"{type(error).__name__}: {error}")
        code = 2
    sys.exit(code)
