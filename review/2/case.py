"""Servers of a second software version come and go; the store comes back from a copy of before."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import CannotRun, Instance, manifest, new_attempt, run_case  # noqa: E402
from http1 import connect, decode_headers, encode_head, read_chunked, read_head  # noqa: E402
from store import OPERATOR_TOPIC, Store  # noqa: E402
from worker import Worker  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
COPY_AGE = 4.0  # s: "a copy some seconds old"
AWAY = 0.3  # s: "away for a moment"
DRAIN_S = 2.0  # s: drain-ms
TIME_LIMIT = 15.0  # s
TRIES = 4


def first_manifest():
    route = {"name": "draft", "host": "ficu95.example", "path-prefix": "/draft/", "kind": "streaming",
             "timeout-ms": 15000, "target-latency-ms": 1000, "priority": 1, "service": "lm",
             "max-attempts": 2, "anonymous": False, "sticky": True, "resumable": True,
             "gap-target-ms": 300}
    service = {"name": "lm", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": False}
    return manifest(1, [route], [service], [KEY])


class Requester:
    """One stream, over the tries of its requester."""

    def __init__(self, record, number):
        self.record = record
        self.path = f"/draft/{number}"
        self.last = 0
        self.first = None  # attempt that brought the first event
        self.versions = []
        self.is_complete = False

    async def run(self, instances, turn):
        end = time.monotonic() + TIME_LIMIT
        for number in range(TRIES):
            instance = instances[(turn + number) % len(instances)]
            attempt = new_attempt()
            try:
                outcome, pause = await self.attempt(instance, attempt, end - time.monotonic())
            except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
                outcome, pause = f"broken off: {type(error).__name__}", 0.05
            self.record.note("try ended", stream=self.path, attempt=attempt, instance=instance.name,
                             outcome=outcome, last_event=self.last, versions=self.versions)
            if self.is_complete or end - time.monotonic() < 1:
                return
            await asyncio.sleep(pause)

    async def attempt(self, instance, attempt, left):
        reader, writer = await connect(instance.front)
        try:
            headers = {"Host": "ficu95.example", "Attempt-Id": attempt, "Deadline-Ms": int(left * 1000),
                       "Token-Usage": "100,60", "Authorization": f"Bearer {KEY}",
                       "Accept": "text/event-stream", "Content-Length": 2}
            if self.first:
                headers["Last-Event-Id"] = self.last
                headers["Resumes"] = self.first
            writer.write(encode_head(f"POST {self.path} HTTP/1.1", headers) + b"{}")
            lines = await asyncio.wait_for(read_head(reader), left)
            if lines is None:
                raise ConnectionError("no answer")
            status = int(lines[0].split(" ")[1])
            received = decode_headers(lines[1:])
            if status != 200:
                return f"status {status}", float(received.get("retry-after", 0.3))
            text = b""
            async for chunk in read_chunked(reader):
                text += chunk
                *events, text = text.split(b"\n\n")
                for event in events:
                    self.take(event.decode(), attempt)
            self.is_complete = True
            return "complete", 0
        finally:
            writer.close()

    def take(self, event, attempt):
        number, data = (line.split(": ", 1)[1] for line in event.split("\n"))
        self.first = self.first or attempt
        self.last = int(number)
        version = data.rsplit(" ", 1)[1]
        if version not in self.versions:
            self.versions.append(version)


async def traffic(record, instances, requesters, tasks):
    number = 0
    while True:
        requester = Requester(record, number)
        requesters.append(requester)
        tasks.append(asyncio.ensure_future(requester.run(instances, number)))
        number += 1
        await asyncio.sleep(0.15)


async def main(record, temporary, trouble):
    store = await Store(record.note).start()
    store.put(OPERATOR_TOPIC, "config", first_manifest())

    async def add_worker(name, version):
        worker = Worker(store, record.note, name, "lm", version=version, slots=24, queue=24, events=70,
                        event_ms=100)
        return await worker.start()

    workers = [await add_worker("i-old0", "1.4.0"), await add_worker("i-old1", "1.4.0")]
    fleet = [Instance(record.note, temporary, name, zone, store.server.address)
             for name, zone in (("a", "z1"), ("b", "z2"), ("c", "z3"))]
    sender, requesters, tasks = None, [], []
    try:
        for instance in fleet:
            await instance.start(bootstrap=True)
        for instance in fleet:
            await instance.wait_ready()
        sender = asyncio.ensure_future(traffic(record, fleet, requesters, tasks))
        await asyncio.sleep(6)
        # Planned work: two servers of a new version are added, and taken away again.
        begun = time.monotonic()
        new = [await add_worker("i-new0", "1.5.0"), await add_worker("i-new1", "1.5.0")]
        workers += new

        async def until(seconds):
            await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))

        await until(2.0)
        for worker in new:
            worker.drain()
        await until(COPY_AGE - 0.4)
        if trouble:
            await store.drill(COPY_AGE, AWAY)
        await until(COPY_AGE + 0.1)
        sender.cancel()
        assert COPY_AGE + 0.1 >= 2.0 + DRAIN_S
        for worker in new:
            worker.end()
        await asyncio.gather(*tasks)
        joined = [it for it in requesters if len(it.versions) > 1]
        begun_new = sum("1.5.0" in it.versions for it in requesters)
        record.note("streams", all=len(requesters), with_events_of_new=begun_new,
                    complete=sum(it.is_complete for it in requesters), of_two_versions=len(joined))
        if begun_new < 5:
            raise CannotRun("hardly any stream began at the new version")
        return len(joined) > 2
    finally:
        if sender:
            sender.cancel()
        for task in tasks:
            task.cancel()
        for instance in fleet:
            await instance.end()
        for worker in workers:
            if worker.alive:
                worker.end(removes=False)
        store.server.stop()


sys.exit(run_case(main, FOLDER))
