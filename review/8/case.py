"""DRAIN: a late write brings a worker that has left back into use, until it ends with what it runs."""

import asyncio
import collections
import itertools
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import fleet  # noqa: E402
import http1  # noqa: E402
import store  # noqa: E402
import worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `drain-ms`.
DRAIN_S = 2.0
# Time from a write without an answer to the worker's removal (more than `contact-ms`), and to its execution (the kinds
# of trouble have 1 to 6 s).
REMOVED_S = 3.4
EXECUTED_S = 5.9
# Time from the removal until the worker ends: `drain-ms` and a little longer.
SERVES_S = 4.5
PLACE_S = 0.3
VIEW_S = 0.03
ROUNDS = 3


class OrderDesk(worker.Worker):
    """Worker whose entry in the list changes when more than its number does."""

    written = None

    def publish(self):
        self.number += 1
        if not self.listed:
            return
        entry = self.entry()
        content = {name: value for name, value in entry.items() if name != "seq"}
        if content != self.written:
            self.written = content
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def run(self, request, attempt, writer):
        self.run_s = PLACE_S if request.path.startswith("/place/") else VIEW_S
        return await super().run(request, attempt, writer)


async def send_requests(instances, log, tasks, stop):
    for number, instance in enumerate(itertools.cycle(instances)):
        if stop.is_set():
            return
        path = "/place/1" if number % 2 else "/view/1"
        tasks.append(asyncio.create_task(ask(instance, f"{number:016x}", path, log)))
        await asyncio.sleep(0.03)


async def ask(instance, attempt, path, log):
    headers = {
        "Host": fleet.HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "2500",
        "Authorization": "Bearer key-1",
    }
    method, body = ("POST", b"order") if path.startswith("/place/") else ("GET", b"")
    log("sent", attempt=attempt, instance=instance.name, path=path)
    answer = await http1.exchange(instance.front, method, path, headers, body, limit_s=4.0)
    log("answered", attempt=attempt, status=answer.status, complete=answer.complete)


async def leave(desk, platform, log):
    """Lets a worker leave that never reports that it does, a while after one of its writes got no answer."""
    desk.number += 1
    late = json.dumps(desk.entry()).encode()
    log("write_without_answer", worker=desk.name, number=desk.number, trouble=TROUBLE)
    await asyncio.sleep(REMOVED_S)
    desk.remove_entry()
    log("removed", worker=desk.name, last_number=desk.number)
    await asyncio.sleep(EXECUTED_S - REMOVED_S)
    if TROUBLE:
        platform.put("keyed.servers", desk.name, late)
        log("write_executed", worker=desk.name)
    await asyncio.sleep(SERVES_S - (EXECUTED_S - REMOVED_S))
    desk.end()
    # Three status report intervals of silence after its last write, the platform removes it.
    await asyncio.sleep(3 * 1.2 - (SERVES_S - (EXECUTED_S - REMOVED_S)))
    platform.put("keyed.servers", desk.name, b"")


def check(log):
    """Returns requests that reached a worker though they were sent later than `drain-ms` after its removal."""
    sent = {it["attempt"]: (at, it["instance"]) for at, it in log.of("sent")}
    removed = {it["worker"]: at for at, it in log.of("removed")}
    late = []
    for _, execution in log.of("run"):
        sent_at, instance = sent[execution["attempt"]]
        since = removed.get(execution["worker"])
        if since is not None and sent_at > since + DRAIN_S:
            late.append((execution["worker"], execution["attempt"], instance, sent_at - since))
    return late


async def run(log):
    platform = store.Store(300, 12, log)
    await platform.start()
    platform.put("keyed.op", "config", fleet.manifest(["m0"]))
    desks = []

    async def add(name):
        desk = OrderDesk(name, "orders", platform, log, slots=6)
        await desk.start()
        desks.append(desk)

    for index in range(3):
        await add(f"i-desk{index}")
    instances = fleet.Fleet(3, platform, log, 300)
    tasks, stop = [], asyncio.Event()
    try:
        instances.start()
        if not await fleet.await_ready(instances.instances):
            log("not_ready")
            return 2
        traffic = asyncio.create_task(send_requests(instances.instances, log, tasks, stop))
        await asyncio.sleep(6)
        for number in range(ROUNDS):
            await leave(desks[number], platform, log)
            await add(f"i-desk{number + 3}")
            await asyncio.sleep(4)
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
    if not log.of("ran"):
        return 2
    if late:
        log("BROKEN", late=len(late))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, run))
