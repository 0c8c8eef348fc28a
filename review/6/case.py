"""ORDER: a stream that its requester takes up again goes on at another software version."""

import asyncio
import os
import random
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import fleet  # noqa: E402
import http1  # noqa: E402
import store  # noqa: E402
import worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "m0"
# Requests of one round, each asked by two requesters, one after the other.
REQUESTS = 24
ROUNDS = 6
# Time from the first event of a round until its machine is killed, and until it is started again.
KILL_S = 0.06
DOWN_S = 0.7
# Events of a stream, as (id, worker, version).
EVENT = re.compile(rb"id: (\d+)\ndata: \S+ (\S+) (\S+)\n\n")


class Engine(worker.Worker):
    """Worker whose events name the version of its software."""

    def event(self, attempt, number):
        return f"id: {number}\ndata: {attempt} {self.name} {self.version}\n\n".encode()


def headers(number, attempt, **more):
    return {
        "Host": fleet.HOST,
        "Attempt-Id": attempt,
        "Model": MODEL,
        "Token-Usage": "300,60",
        "Prompt-Prefix": f"aa:100,{number + 4096:x}:200",
        "Deadline-Ms": "30000",
        "Authorization": "Bearer key-1",
        **more,
    }


class Stream:
    """A requester's stream with the events of all its tries."""

    def __init__(self, number, attempt, log):
        self.number = number
        self.attempt = attempt
        self.log = log
        self.text = b""
        self.begun = asyncio.Event()

    def events(self):
        return [(int(number), name, version) for number, name, version in EVENT.findall(self.text)]

    def take(self, chunk):
        self.text += chunk
        self.begun.set()

    async def ask(self, instance, attempt, **more):
        self.log("sent", attempt=attempt, request=self.number, instance=instance.name, **more)
        body = f"summary {self.number}".encode()
        fields = headers(self.number, attempt, **more)
        answer = await http1.exchange(
            instance.front, "POST", "/summary/1", fields, body, limit_s=30, on_data=self.take
        )
        self.log(
            "answered",
            attempt=attempt,
            status=answer.status,
            complete=answer.complete,
            events=len(self.events()),
            error=answer.error,
        )
        return answer

    async def run(self, first, others):
        """Asks one machine, and takes the stream up at another one if the channel breaks."""
        answer = await self.ask(first, self.attempt)
        for retry in range(6):
            if answer.complete and answer.status == 200:
                return
            events = self.events()
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
            more = {"Last-Event-Id": str(events[-1][0]), "Resumes": self.attempt} if events else {}
            # What came after the last whole event is lost with the channel.
            self.text = b"".join(match.group(0) for match in EVENT.finditer(self.text))
            other = others[retry % len(others)]
            answer = await self.ask(other, f"{self.attempt}-{retry + 1}", **more)


async def run(log):
    platform = store.Store(300, 12, log)
    await platform.start()
    platform.put("keyed.op", "config", fleet.manifest([MODEL]))
    engines = []
    for version in ("v1", "v2"):
        engine = Engine(
            f"i-{version}",
            "engines",
            platform,
            log,
            models=[MODEL],
            on_disk=[MODEL],
            slots=64,
            version=version,
            events=40,
            event_s=0.1,
            first_event_s=0.02,
        )
        await engine.start()
        engines.append(engine)
    instances = fleet.Fleet(3, platform, log, 300)
    killed, *others = instances.instances
    streams = []
    try:
        instances.start()
        if not await fleet.await_ready(instances.instances):
            log("not_ready")
            return 2
        # The record of versions is written, so that both may begin streams.
        await asyncio.sleep(3)
        for round_number in range(ROUNDS):
            numbers = range(round_number * REQUESTS, (round_number + 1) * REQUESTS)
            # One requester asks each question, at another machine, and gets its whole answer.
            earlier = [Stream(number, f"a{number:06x}", log) for number in numbers]
            await asyncio.gather(*(it.run(others[0], others) for it in earlier))
            await asyncio.sleep(1)
            # Another requester of the same tenant asks the same, in another order.
            order = random.Random(round_number).sample(numbers, REQUESTS)
            asked = [Stream(number, f"b{number:06x}", log) for number in order]
            streams += earlier + asked
            tasks = [asyncio.create_task(it.run(killed, others)) for it in asked]
            await asyncio.wait(
                [asyncio.create_task(it.begun.wait()) for it in asked],
                return_when=asyncio.FIRST_COMPLETED,
                timeout=5,
            )
            await asyncio.sleep(KILL_S)
            if TROUBLE:
                killed.send("SIGKILL")
                killed.process.wait()
                await asyncio.sleep(DOWN_S)
                killed.settings["bootstrap"] = "false"
                killed.start()
            await asyncio.gather(*tasks)
            await fleet.await_ready([killed])
            await asyncio.sleep(1)
    finally:
        instances.end()
        for engine in engines:
            engine.end()
    whole = mixed = 0
    for stream in streams:
        events = stream.events()
        versions = sorted({version for _, _, version in events})
        whole += [number for number, _, _ in events] == list(range(1, 41))
        if len(versions) > 1:
            mixed += 1
            parts = [f"{number}{version.decode()}" for number, _, version in events]
            log("mixed", attempt=stream.attempt, request=stream.number, events=",".join(parts))
    log("result", streams=len(streams), whole=whole, mixed=mixed, allowed=2)
    if whole < len(streams) // 3:
        return 2
    if mixed > 2:
        log("BROKEN", mixed=mixed)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, run))
