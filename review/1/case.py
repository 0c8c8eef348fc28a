"""The holder of the placement lease changes, then the store comes back from a copy of before."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import CannotRun, Instance, manifest, new_attempt, run_case  # noqa: E402
from http1 import call  # noqa: E402
from store import OPERATOR_TOPIC, Store  # noqa: E402
from worker import Worker  # noqa: E402

MODELS = [f"model{number}" for number in range(8)]
MODEL_MB = 65000
KEY = "i9n73hh2b9wu3fexd9dn"
COPY_AGE = 3.0  # s: "a copy some seconds old"
AWAY = 0.3  # s: "away for a moment"
AFTER = 14.0  # s of traffic after the drill


def first_manifest():
    route = {"name": "draft", "host": "ficu95.example", "path-prefix": "/draft/", "kind": "streaming",
             "timeout-ms": 15000, "target-latency-ms": 1000, "priority": 1, "service": "lm",
             "max-attempts": 1, "anonymous": False, "sticky": True, "gap-target-ms": 300}
    models = [{"name": name, "weights-mb": MODEL_MB, "load-time-s": 0.6, "warm-s": 0.6, "disk-s": 0.6,
               "adapters": 0, "adapter-size-mb": 0} for name in MODELS]
    engine = {"slots": 32, "kv-capacity-tokens": 100000, "weights-mb": 230000, "adapter-slots": 8,
              "loads-per-s": 4.0, "models": models}
    service = {"name": "lm", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": False,
               "engine": engine}
    return manifest(1, [route], [service], [KEY])


async def ask(record, instance, model):
    attempt = new_attempt()
    headers = {"Host": "ficu95.example", "Attempt-Id": attempt, "Model": model, "Deadline-Ms": "15000",
               "Token-Usage": "100,20", "Authorization": f"Bearer {KEY}", "Accept": "text/event-stream"}
    try:
        status, _, _ = await call(instance.front, "POST", "/draft/1", headers, b"{}", timeout=15)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
        status = repr(error)
    record.note("answer", instance=instance.name, attempt=attempt, model=model, status=status)


async def traffic(record, instances):
    """Asks each instance in use for all models in turn."""
    random.seed(1)
    while True:
        for instance in list(instances):
            asyncio.ensure_future(ask(record, instance, random.choice(MODELS)))
        await asyncio.sleep(0.25)


def judge(record, workers):
    """ONE: two holders with one generation number, in the orders to one worker."""
    broken = False
    for worker in workers:
        holders = {}
        for order in worker.orders:
            holders.setdefault(order["fence"], {}).setdefault(order["holder"], []).append(order["at"])
        for fence, by_holder in sorted(holders.items()):
            times = {holder: [round(at - record.begun, 2) for at in (min(its), max(its))] + [len(its)]
                     for holder, its in by_holder.items()}
            record.note("orders", worker=worker.name, fence=fence, first_last_count=times)
            broken |= len(by_holder) > 1
    return broken


async def main(record, temporary, trouble):
    store = await Store(record.note).start()
    store.put(OPERATOR_TOPIC, "config", first_manifest())
    workers = []
    for number in range(2):
        held = {name: True for name in MODELS[number : number + 2]}
        worker = Worker(store, record.note, f"i-lm{number}", "lm", slots=32, queue=96, events=4,
                        event_ms=30, models=held)
        workers.append(await worker.start())
    fleet = [Instance(record.note, temporary, name, zone, store.server.address)
             for name, zone in (("a", "z1"), ("b", "z2"), ("c", "z3"))]
    sender = None
    try:
        for instance in fleet:
            await instance.start(bootstrap=True)
        for instance in fleet:
            await instance.wait_ready()
        used = list(fleet)
        sender = asyncio.ensure_future(traffic(record, used))
        await asyncio.sleep(4)
        # Planned work: the machine that holds the lease is taken away with SIGTERM.
        holder = next(it for it in fleet if it.peers == store.claims[-1][2])
        claims = len(store.claims)
        used.remove(holder)
        holder.signal(signal.SIGTERM)
        await holder.wait_exit()
        end = time.monotonic() + 15
        while len(store.claims) == claims:
            if time.monotonic() > end:
                raise CannotRun("no other instance claims the lease")
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(0.0, COPY_AGE - 2.0))
        if trouble:
            await store.drill(COPY_AGE, AWAY)
        else:
            await asyncio.sleep(AWAY)
        # The page names this of the store at any time: all partitions are reassigned at once.
        await asyncio.sleep(2.5)
        await store.deal_anew()
        record.note("all partitions are reassigned")
        await asyncio.sleep(AFTER)
        if not any(worker.orders for worker in workers):
            raise CannotRun("no order was sent")
        return judge(record, workers)
    finally:
        if sender:
            sender.cancel()
        for instance in fleet:
            await instance.end()
        for worker in workers:
            worker.end(removes=False)
        store.server.stop()


sys.exit(run_case(main, FOLDER))
