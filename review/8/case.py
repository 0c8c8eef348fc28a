"""LIMIT: workers that say how brittle they are fall over again and again in a burst."""

import asyncio
import collections
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import fleet  # noqa: E402
import http1  # noqa: E402
import store  # noqa: E402
import worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `contact-ms`.
CONTACT_S = 3.0
SLOTS = 6
# Requests that a worker lets wait, in usual times and when it is brittle.
QUEUE = 24
BRITTLE_QUEUE = 4
# Requests that a brittle worker turns away in a second before it falls over.
BRITTLE = 10
# Time after which a worker that fell over is back.
BACK_S = 3.0
RUN_S = 0.25
# Requests a second, in usual times and in the burst (1.7 times as many).
RATE = 55
BURST = 1.7
BURST_S = 20


class OrderDesk(worker.Worker):
    """Worker of the plain service with slots and a queue."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.waiting = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.brittle_since = None
        self.turned_away = collections.deque()
        self.is_down = False

    def turn_brittle(self):
        self.brittle_since = time.monotonic()
        self.extra["Server-Brittle"] = str(BRITTLE)

    def is_strict(self):
        return self.brittle_since is not None and time.monotonic() - self.brittle_since >= CONTACT_S

    def publish(self):
        if not self.is_down:
            super().publish()

    async def run(self, request, attempt, writer):
        limit = BRITTLE_QUEUE if self.is_strict() else QUEUE
        if self.free.locked() and self.waiting >= limit:
            return await self.turn_away(attempt, writer)
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            return await super().run(request, attempt, writer)
        finally:
            self.free.release()

    async def turn_away(self, attempt, writer):
        now = time.monotonic()
        self.turned_away.append(now)
        while self.turned_away[0] < now - 1.0:
            self.turned_away.popleft()
        self.log("turned_away", worker=self.name, attempt=attempt, within_1s=len(self.turned_away))
        headers = {"Attempt-Id": attempt, "Not-Executed": "1", **self.extra}
        await self._send(writer, "503 Service Unavailable", headers)
        if self.is_strict() and len(self.turned_away) > BRITTLE and not self.is_down:
            self.fall()
        return True

    def fall(self):
        self.is_down = True
        self.log("fell", worker=self.name, turned_away=len(self.turned_away), cut=sorted(self.running))
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.tasks.append(asyncio.create_task(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        self.turned_away.clear()
        self.born = int(time.time() * 1000)
        self.number = 0
        self.server = await asyncio.start_server(self._serve, *self.address, backlog=1024)
        self.is_down = False
        self.log("back", worker=self.name)
        self.publish()


async def send_requests(instances, rate, log, tasks, stop):
    number = 0
    due = time.monotonic()
    while not stop.is_set():
        number += 1
        instance = instances[number % len(instances)]
        attempt = f"{rate:.0f}-{number:08x}"
        tasks.append(asyncio.create_task(ask(instance, attempt, log)))
        due += 1 / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))


async def ask(instance, attempt, log):
    headers = {
        "Host": fleet.HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "4000",
        "Authorization": "Bearer key-1",
    }
    answer = await http1.exchange(instance.front, "POST", "/place/1", headers, b"order", limit_s=5.0)
    log("answered", attempt=attempt, status=answer.status, complete=answer.complete, error=answer.error)


async def run(log):
    platform = store.Store(20, 12, log)
    await platform.start()
    platform.put("keyed.op", "config", fleet.manifest(["m0"], plain_timeout_ms=4000))
    desks = []
    for index in range(3):
        desk = OrderDesk(f"i-desk{index}", "orders", platform, log, slots=SLOTS, run_s=RUN_S)
        await desk.start()
        desks.append(desk)
    instances = fleet.Fleet(3, platform, log)
    tasks, stop = [], asyncio.Event()
    try:
        instances.start()
        if not await fleet.await_ready(instances.instances):
            log("not_ready")
            return 2
        usual = asyncio.create_task(send_requests(instances.instances, RATE, log, tasks, stop))
        await asyncio.sleep(8)
        served = len([it for _, it in log.of("answered") if it["status"] == 200])
        if served < 200:
            log("not_served_before", served=served)
            return 2
        if TROUBLE:
            log("brittle", limit=BRITTLE)
            for desk in desks:
                desk.turn_brittle()
        # The burst begins once all instances have passed on answers that say so.
        await asyncio.sleep(CONTACT_S + 1)
        log("burst_begins")
        more = asyncio.create_task(
            send_requests(instances.instances, RATE * (BURST - 1), log, tasks, stop)
        )
        await asyncio.sleep(BURST_S)
        log("burst_ends")
        stop.set()
        await asyncio.gather(usual, more, *tasks)
    finally:
        instances.end()
        for desk in desks:
            desk.end()
    falls = log.of("fell")
    cut = {attempt for _, fall in falls for attempt in fall["cut"]}
    statuses = collections.Counter(
        str(it["status"]) for _, it in log.of("answered") if it["attempt"] in cut
    )
    allowed = 2 + 0.1 * len(desks)
    log("result", falls=len(falls), allowed=allowed, cut=len(cut), answers_to_cut=dict(statuses))
    if len(falls) > allowed:
        log("BROKEN", falls=len(falls))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, run))
