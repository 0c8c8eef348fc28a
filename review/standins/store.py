"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Besides, it can hold the drill of NEWS.md: it is away for a moment and comes back from a copy that is
some seconds old. What the system wrote since the copy is gone, offsets are given out again, a read
from an offset that it doesn't have gets 410, the operator and the servers write again what they wrote,
and `Store-Era` has risen by one.
"""

import asyncio
import base64
import bisect
import copy
import json
import time

from http1 import Response, Server

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
SNAPSHOT_INTERVAL = 0.2
ANSWER_TIME = 0.004


class Log:
    def __init__(self):
        self.records = []
        self.times = []  # when each record was appended

    def first(self, keep_s):
        """Returns the offset of the oldest record that has not expired."""
        oldest = time.monotonic() - keep_s
        return bisect.bisect_left(self.times, oldest)


class Group:
    """Members and partitions. A partition that is dealt to another member moves once the member that has
    it joins with the generation in which it is no longer listed, leaves, or is silent for its time."""

    def __init__(self, parts, deals_anew):
        self.parts = parts
        self.deals_anew = deals_anew
        self.generation = 0
        self.members = {}  # name -> [time to live in s, last join, generation that it named]
        self.topics = []
        self.turn = 0  # how the partitions are dealt
        self.owners = {}  # (topic, partition) -> member

    def slots(self):
        return [(topic, part) for topic in self.topics for part in range(self.parts)]

    def change(self):
        self.generation += 1
        if self.deals_anew:
            self.turn += 1

    def dealt(self):
        """Deals the partitions evenly among the members."""
        members = sorted(self.members)
        return {
            slot: members[(index + self.turn) % len(members)] if members else None
            for index, slot in enumerate(self.slots())
        }

    def move(self, at_once=False):
        for slot, member in self.dealt().items():
            owner = self.owners.get(slot)
            is_told = owner not in self.members or self.members[owner][2] >= self.generation
            if owner != member and (is_told or at_once):
                self.owners[slot] = member

    def expire(self, now):
        gone = [name for name, (ttl, at, _) in self.members.items() if now - at > ttl]
        for name in gone:
            del self.members[name]
        if gone:
            self.change()
        self.move()

    def join(self, now, member, ttl, generation, topics):
        self.topics = topics
        if member not in self.members:
            self.members[member] = [ttl, now, 0]
            self.change()
        self.members[member] = [ttl, now, generation]
        self.expire(now)

    def leave(self, now, member):
        if self.members.pop(member, None):
            self.change()
        self.expire(now)

    def parts_of(self, member):
        """Returns what the answer to a join lists."""
        dealt = self.dealt()
        return [slot for slot, owner in self.owners.items() if owner == member == dealt.get(slot)]


class Store:
    def __init__(self, note, parts=12, keep_s=300.0, deals_anew=False):
        self.note = note
        self.parts = parts
        self.keep_s = keep_s
        # Whether each change of a group deals all partitions anew, instead of as few as needed.
        self.deals_anew = deals_anew
        self.logs = {}
        self.groups = {}
        self.era = 1
        self.copies = []  # (time, logs, groups)
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.is_away = False
        self.is_silent = False
        self.claims = []  # (time, offset, holder)
        self.written = {OPERATOR_TOPIC: {}, SERVERS_TOPIC: {}}  # newest values of operator and servers
        self.task = None

    async def start(self):
        await self.server.start()
        self.task = asyncio.ensure_future(self._keep_copies())
        return self

    async def _keep_copies(self):
        while True:
            if not self.is_away:
                now = time.monotonic()
                self.copies.append((now, copy.deepcopy(self.logs), copy.deepcopy(self.groups)))
                self.copies = [it for it in self.copies if now - it[0] < 12]
            await asyncio.sleep(SNAPSHOT_INTERVAL)

    def log(self, topic):
        return self.logs.setdefault(topic, Log())

    def append(self, topic, records):
        log = self.log(topic)
        first = len(log.records)
        log.records.extend(records)
        log.times.extend([time.monotonic()] * len(records))
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def put(self, topic, key, value):
        """Writes a record of the operator or of a server; an empty value deletes the key."""
        if value:
            self.written[topic][key] = value
        else:
            self.written[topic].pop(key, None)
        if self.is_away:
            return
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.log(topic).records):
            length = record[0]
            newest[record[1 : 1 + length].decode()] = (record[1 + length :], offset)
        return {key: it for key, it in newest.items() if it[0]}

    async def drill(self, age, away):
        """Is away for `away` seconds and comes back from the copy that is `age` seconds old by then."""
        self.is_away = True
        self.server.stop()
        self.note("the store is away", era=self.era)
        begun = time.monotonic()
        await asyncio.sleep(away)
        wanted = begun - age
        taken, logs, groups = max(
            (it for it in self.copies if it[0] <= wanted), key=lambda it: it[0], default=self.copies[0]
        )
        before = {topic: len(log.records) for topic, log in self.logs.items()}
        self.logs, self.groups = copy.deepcopy(logs), copy.deepcopy(groups)
        after = {topic: len(self.log(topic).records) for topic in before}
        now = time.monotonic()
        for group in self.groups.values():
            for member in group.members.values():
                member[1] += now - taken  # times pause while the store is away
        self.era += 1
        self.is_away = False
        self.copies = []
        for topic, values in self.written.items():
            known = self.newest(topic)
            for key in known:
                if key not in values:
                    self.put(topic, key, b"")
            for key, value in values.items():
                if known.get(key, (None,))[0] != value:
                    self.put(topic, key, value)
        lost = {topic: [before[topic], after[topic]] for topic in before if before[topic] != after[topic]}
        self.note("the store is back", era=self.era, copy_age_s=round(begun - taken, 2), ends=lost)
        await self.server.start()

    async def deal_anew(self, group="fleet"):
        """Reassigns all partitions at once without any request."""
        group = self.groups.get(group)
        if group:
            group.turn += 1
            group.generation += 1
            group.move(at_once=True)

    def reply(self, status=200, body=b"", **headers):
        headers = {"Store-Era": self.era, **headers}
        if not isinstance(body, bytes):
            headers["Content-Type"] = "application/json"
        return Response(status, body, headers)

    async def handle(self, request, _connection):
        if self.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(ANSWER_TIME)
        name = request.path.rsplit("/", 1)[-1].replace("-", "_")
        serve = getattr(self, "serve_" + name, None)
        return await serve(request) if serve else self.reply(404, {})

    async def serve_log_append(self, request):
        topic = request.query["topic"]
        if topic in self.written:
            return self.reply(403, {})
        end = len(self.log(topic).records)
        if "at" in request.query and int(request.query["at"]) != end:
            return self.reply(412, {"end-offset": end})
        records, rest = [], request.body
        while rest:
            length = int.from_bytes(rest[:4], "big")
            records.append(rest[4 : 4 + length])
            rest = rest[4 + length :]
        first = self.append(topic, records)
        if topic == "placement":
            holder = json.loads(records[0])["holder"]
            self.claims.append((time.monotonic(), first, holder))
            self.note("claim", offset=first, holder=holder, era=self.era)
        return self.reply(200, {"offset": first, "end-offset": first + len(records)})

    async def serve_log_read(self, request):
        topic, start = request.query["topic"], int(request.query["from"])
        end_of_wait = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        log = self.log(topic)
        if start > len(log.records):
            return self.reply(410, {"first-offset": log.first(self.keep_s)})
        if start < log.first(self.keep_s):
            return self.reply(410, {"first-offset": log.first(self.keep_s)})
        while len(log.records) <= start:
            left = end_of_wait - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        body = len(log.records).to_bytes(8, "big") + log.first(self.keep_s).to_bytes(8, "big")
        for record in log.records[start:]:
            body += len(record).to_bytes(4, "big") + record
        return self.reply(200, body)

    async def serve_log_newest(self, request):
        topic = request.query["topic"]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in self.newest(topic).items()
        ]
        end = len(self.log(topic).records)
        return self.reply(200, {"items": items, "has-more": False, "end-offset": end})

    def group(self, name):
        return self.groups.setdefault(name, Group(self.parts, self.deals_anew))

    async def serve_log_join(self, request):
        body = request.json()
        group, member = self.group(body["group"]), body["member"]
        group.join(time.monotonic(), member, body["ttl-ms"] / 1000, body["generation"], body["topics"])
        parts = [[topic, part, 0] for topic, part in group.parts_of(member)]
        return self.reply(200, {"generation": group.generation, "parts": parts})

    async def serve_log_leave(self, request):
        body = request.json()
        self.group(body["group"]).leave(time.monotonic(), body["member"])
        return self.reply(200, {})

    async def serve_log_owners(self, request):
        group = self.group(request.query["group"])
        group.expire(time.monotonic())
        parts = [[topic, part, member, 0] for (topic, part), member in group.owners.items() if member]
        return self.reply(200, {"parts": parts})
