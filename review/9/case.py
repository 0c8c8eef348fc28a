"""DRAIN: requests go on to a worker that says in its answers that it leaves, until it is gone with what it runs."""

import asyncio
import collections
import itertools
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
# `drain-ms`.
DRAIN_S = 2.0
# Time from a worker's short notice until it is gone, as the kinds of trouble have it (`reclaim`).
NOTICE_S = 2.5
# The sheets' troubles have 4.5 s.
OUTAGE_S = 4.5
# Work on an order and on a view.
PLACE_S = 0.3
VIEW_S = 0.03
ROUNDS = 3


class OrderDesk(worker.Worker):
    """Worker of the plain service, whose orders take longer than views."""

    async def run(self, request, attempt, writer):
        self.run_s = PLACE_S if request.path.startswith("/place/") else VIEW_S
        return await super().run(request, attempt, writer)


async def send_requests(instances, log, tasks, stop):
    for number, instance in enumerate(itertools.cycle(instances)):
        if stop.is_set():
            return
        path = "/place/1" if number % 2 else "/view/1"
        tasks.append(asyncio.create_task(ask(instance, f"{number:016x}", path, log)))
        await asyncio.sleep(0.02)


async def ask(instance, attempt, path, log):
    headers = {
        "Host": fleet.HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "2500",
        "Authorization": "Bearer key-1",
    }
    log("sent", attempt=attempt, instance=instance.name)
    method, body = ("POST", b"order") if path.startswith("/place/") else ("GET", b"")
    answer = await http1.exchange(instance.front, method, path, headers, body, limit_s=4.0)
    log(
        "answered",
        attempt=attempt,
        instance=instance.name,
        status=answer.status,
        complete=answer.complete,
        leaving=answer.headers.get("server-leaving"),
        seal=answer.headers.get("server-seal"),
    )


def check(log):
    """Returns requests sent later than `drain-ms` after their machine had passed on that the worker leaves."""
    sent = {it["attempt"]: (at, it["instance"]) for at, it in log.of("sent")}
    told = {}
    for at, answer in log.of("answered"):
        if answer["leaving"] and answer["seal"]:
            key = (answer["instance"], answer["seal"].split(".")[1])
            told.setdefault(key, at)
    late = []
    for at, execution in log.of("run"):
        sent_at, instance = sent[execution["attempt"]]
        passed_on = told.get((instance, execution["worker"]))
        if passed_on is not None and sent_at > passed_on + DRAIN_S:
            late.append((execution["worker"], execution["attempt"], instance, sent_at - passed_on))
    return late


async def run(log):
    platform = store.Store(20, 12, log)
    await platform.start()
    platform.put("keyed.op", "config", fleet.manifest(["m0"]))
    desks = []

    async def add(name):
        desk = OrderDesk(name, "orders", platform, log, slots=6)
        await desk.start()
        desks.append(desk)
        return desk

    for index in range(3):
        await add(f"i-desk{index}")
    instances = fleet.Fleet(3, platform, log)
    tasks, stop = [], asyncio.Event()
    try:
        instances.start()
        if not await fleet.await_ready(instances.instances):
            log("not_ready")
            return 2
        traffic = asyncio.create_task(send_requests(instances.instances, log, tasks, stop))
        await asyncio.sleep(5)
        for number in range(ROUNDS):
            leaving = desks[number]
            log("notice", worker=leaving.name, outage=TROUBLE)
            if TROUBLE:
                platform.outage_begins()
            leaving.state = "draining"
            leaving.remaining_ms = int(NOTICE_S * 1000)
            leaving.extra["Server-Leaving"] = "1"
            leaving.publish()
            await asyncio.sleep(NOTICE_S)
            leaving.end()
            await asyncio.sleep(OUTAGE_S - NOTICE_S)
            if TROUBLE:
                platform.outage_ends()
            platform.put("keyed.servers", leaving.name, b"")
            await add(f"i-desk{number + 3}")
            await asyncio.sleep(6)
        stop.set()
        await asyncio.gather(traffic, *tasks)
    finally:
        instances.end()
        for desk in desks:
            desk.end()
    late = check(log)
    for name, attempt, instance, delay in late:
        log("late", worker=name, attempt=attempt, instance=instance, after_s=f"{delay:.3f}")
    cut = {attempt for _, it in log.of("worker_ended") for attempt in it["cut"]}
    late_and_cut = sorted(cut & {attempt for _, attempt, _, _ in late})
    statuses = collections.Counter(
        str(it["status"]) for _, it in log.of("answered") if it["attempt"] in late_and_cut
    )
    log("result", late=len(late), late_and_cut=len(late_and_cut), answers_to_cut=dict(statuses))
    if late:
        log("BROKEN", late=len(late))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, run))
