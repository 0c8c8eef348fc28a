"""Case 15: streams that are taken up after a kill of all processes are refused."""

import asyncio
import os
import random
import re
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_3"))
sys.dont_write_bytecode = True

from duty import main  # noqa: E402
from fleet import Fleet  # noqa: E402
from manifest import ENGINES, HOST, KEY, MODELS, RESUMABLE, manifest  # noqa: E402
from server import Server  # noqa: E402
from store import Store  # noqa: E402
from wire import Closed, encode, new_id, read_chunks, read_head  # noqa: E402

MODEL = "daka510000"
VERSIONS = ["v1", "v1", "v2", "v2"]
EVENTS, EVENT_S = 24, 0.28
# Streams that begin together, and the pause from their first events to the kill.
BURST, KILL_S = 18, 0.01
ROUNDS = 4
RESTART_S = 0.5
# "All machines start within 0.3 s of each other, in any order."
START_PAUSE_S = 0.07
# Machines are in touch `contact-ms` after their processes have started.
CONTACT_S = 3.0
TRIES, TRY_PAUSE_S = 3, 0.6


class Stream:
    """One stream as its client sees it, over all its attempts."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.body = new_id().encode() * 4
        self.parts = f"5c1e07a2:100,{new_id()[-8:]}:46"
        self.first = None
        self.last = 0
        self.versions = set()
        self.begun = asyncio.Event()

    async def attempt(self, instance):
        """Makes one attempt; returns its status and whether the stream came to its end."""
        attempt = new_id()
        headers = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", 30000), ("Model", MODEL),
                   ("Token-Usage", "146,72"), ("Prompt-Prefix", self.parts),
                   ("Authorization", f"Bearer {KEY}")]
        if self.last:
            headers += [("Last-Event-Id", self.last), ("Resumes", self.first)]
        self.fleet.note("sent", attempt=attempt, to=instance.name, after=self.last, resumes=self.first)
        host, port = instance.front.rsplit(":", 1)
        status = 0
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(encode(f"POST {RESUMABLE}2f HTTP/1.1", headers, self.body))
                line, answer = await asyncio.wait_for(read_head(reader), 5.0)
                status = int(line.split(" ")[1])
                if status == 200:
                    await self.read(attempt, reader)
            finally:
                writer.close()
        except (Closed, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.fleet.note("broken_off", attempt=attempt, status=status, last=self.last,
                            reason=type(error).__name__)
            return status, False
        self.fleet.note("answered", attempt=attempt, status=status, last=self.last)
        return status, status == 200

    async def read(self, attempt, reader):
        text = b""
        async for chunk in read_chunks(reader):
            text += chunk
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number, version = re.fullmatch(rb"id: (\d+)\ndata: piece \d+ (v\d)", event).groups()
                if int(number) != self.last + 1:
                    raise ValueError(f"event {number} after {self.last}")
                self.first = self.first or attempt
                self.last = int(number)
                self.versions.add(version)
                self.begun.set()

    async def take_up(self, instances, chance):
        """Takes the stream up again; returns whether it came to its end."""
        for _ in range(TRIES):
            _, is_whole = await self.attempt(chance.choice(instances))
            if is_whole:
                return True
            await asyncio.sleep(TRY_PAUSE_S)
        return False


async def run():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    chance = random.Random(5)
    store = Store(keep_s=300.0)
    await store.start()
    fleet = Fleet(store, HERE / "record.txt")
    try:
        await store.put("keyed.op", "config", manifest())
        servers = [Server(store, ENGINES, list(MODELS)[:2], list(MODELS), MODELS, checks_fences=True,
                          events=EVENTS, event_s=EVENT_S, slots=64, version=version)
                   for version in VERSIONS]
        for server in servers:
            await server.start()
        for number in range(3):
            fleet.add(f"edge-{number}", f"zone-{number}").start()
            await asyncio.sleep(START_PAUSE_S)
        if not await fleet.await_ready():
            return 2
        await asyncio.sleep(12.0)
        taken, gone_on, new, begun, mixed = 0, 0, 0, 0, 0
        for _ in range(ROUNDS):
            streams = [Stream(fleet) for _ in range(BURST)]
            tasks = [asyncio.create_task(one.attempt(chance.choice(fleet.instances))) for one in streams]
            waits = [asyncio.create_task(one.begun.wait()) for one in streams]
            await asyncio.wait(waits, timeout=3.0)
            await asyncio.sleep(KILL_S)
            if has_trouble:
                for instance in fleet.instances:
                    instance.signal(signal.SIGKILL)
                await asyncio.sleep(RESTART_S)
                fleet.is_first_start = False
                for instance in fleet.instances:
                    instance.start()
                    await asyncio.sleep(START_PAUSE_S)
                if not await fleet.await_ready():
                    return 2
                await asyncio.sleep(CONTACT_S + 0.3)
            else:
                # Their clients leave and come back.
                for task in tasks:
                    task.cancel()
                await asyncio.sleep(RESTART_S + CONTACT_S)
            await asyncio.gather(*tasks, return_exceptions=True)
            for wait in waits:
                wait.cancel()
            broken = [one for one in streams if 0 < one.last < EVENTS]
            fresh = [Stream(fleet) for _ in range(BURST)]
            results = await asyncio.gather(
                *(one.take_up(fleet.instances, chance) for one in broken),
                *(one.attempt(chance.choice(fleet.instances)) for one in fresh))
            taken += len(broken)
            gone_on += sum(results[:len(broken)])
            new += len(fresh)
            begun += sum(one.last > 0 for one in fresh)
            mixed += sum(len(one.versions) > 1 for one in broken)
        for server in servers:
            for one in server.runs:
                fleet.note("run", at=one["at"], server=one["server"], attempt=one["attempt"])
        text = (f"{gone_on} of {taken} streams that were taken up went on, {begun} of {new} new ones "
                f"began, {mixed} of two versions")
        fleet.note("result", text=text)
        print(text)
        if taken < 12 or begun == 0:
            return 2
        return 1 if gone_on / taken < 0.5 * begun / new else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    main(run)
