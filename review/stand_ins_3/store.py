"""Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qsl, urlsplit

from wire import encode, json_response, read_body, read_head, serve, status_line


class Log:
    """One partition: records with their times, and the offset of the first one that is retained."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        return self.first + len(self.records)

    def drop_until(self, count):
        """Deletes the oldest records."""
        del self.records[:count]
        self.first += count


class Group:
    """A consumer group. Partitions are dealt evenly, over the members in the order of their names."""

    def __init__(self):
        self.generation = 0
        self.members = {}
        self.partitions = []
        self.owner = {}
        self.target = {}

    def expire(self, now):
        gone = [name for name, (until, _) in self.members.items() if until <= now]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal()

    def deal(self):
        """Deals the partitions anew after a change; they move once their owners have heard of it."""
        self.generation += 1
        names = sorted(self.members)
        for index, partition in enumerate(self.partitions):
            target = names[index % len(names)] if names else None
            self.target[partition] = target
            if self.owner.get(partition) not in self.members:
                self.owner[partition] = target

    def join(self, now, member, topics, parts, ttl, generation):
        for topic in topics:
            for part in range(parts):
                if (topic, part) not in self.target:
                    self.partitions.append((topic, part))
                    self.target[(topic, part)] = None
        self.expire(now)
        is_new = member not in self.members
        self.members[member] = (now + ttl, generation)
        if is_new:
            self.deal()
        elif generation >= self.generation:
            for partition in self.partitions:
                if self.owner[partition] == member:
                    self.owner[partition] = self.target[partition]
        return [[topic, part, 0] for topic, part in self.partitions
                if self.owner[(topic, part)] == member and self.target[(topic, part)] == member]

    def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.deal()


class Store:
    """The store. `keep_s` is how long records are retained; `era` stands in all answers."""

    def __init__(self, keep_s=300.0, era=1, parts=12):
        self.keep_s = keep_s
        self.era = era
        self.parts = parts
        # Whether the store is away: connections end without an answer.
        self.is_away = False
        self.topics = {}
        self.groups = {}
        self.appended = asyncio.Condition()
        self.address = None
        self.appends = []

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"

    def log(self, topic, part=0):
        log = self.topics.setdefault((topic, part), Log())
        oldest = time.monotonic() - self.keep_s
        count = 0
        while count < len(log.records) and log.records[count][0] < oldest:
            count += 1
        if count:
            log.drop_until(count)
        return log

    def group(self, name):
        return self.groups.setdefault(name, Group())

    async def append(self, topic, record, part=0):
        """Appends a record; returns its offset."""
        log = self.log(topic, part)
        offset = log.end
        log.records.append((time.monotonic(), record))
        if topic.startswith("keyed."):
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            log.newest.pop(key, None)
            if value:
                log.newest[key] = (offset, value)
        async with self.appended:
            self.appended.notify_all()
        return offset

    async def put(self, topic, key, value):
        """Writes a keyed record; an empty value drops the key."""
        data = json.dumps(value).encode() if value is not None else b""
        return await self.append(topic, bytes([len(key)]) + key.encode() + data)

    async def handle(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            url = urlsplit(target)
            if self.is_away:
                return
            response = await self.answer(url.path, dict(parse_qsl(url.query)), body)
            if self.is_away:
                return
            await asyncio.sleep(0.004)
            writer.write(response)
            await writer.drain()

    def copy(self):
        """Returns a copy of the present state, for `come_back`."""
        return time.monotonic(), copy.deepcopy(self.topics), copy.deepcopy(self.groups)

    def come_back(self, state):
        """Comes back from a copy, in the next era; the times of members have paused."""
        taken_at, self.topics, self.groups = state
        age = time.monotonic() - taken_at
        for group in self.groups.values():
            group.members = {name: (until + age, generation)
                             for name, (until, generation) in group.members.items()}
        self.era += 1

    def reply(self, status, value):
        return json_response(status, value, [("Store-Era", self.era)])

    async def answer(self, path, query, body):
        if path == "/v1/log-read":
            return await self.read(query)
        if path == "/v1/log-newest":
            return self.reply(200, self.newest(query))
        if path == "/v1/log-append":
            return await self.append_records(query, body)
        value = json.loads(body) if body else {}
        if path == "/v1/log-join":
            group = self.group(value["group"])
            now = time.monotonic()
            parts = group.join(now, value["member"], value["topics"], self.parts,
                               value["ttl-ms"] / 1000.0, value["generation"])
            answer = {"generation": group.generation, "ttl-ms": value["ttl-ms"], "parts": parts}
            return self.reply(200, answer)
        if path == "/v1/log-leave":
            self.group(value["group"]).leave(value["member"])
            return self.reply(200, {})
        if path == "/v1/log-owners":
            group = self.group(query["group"])
            group.expire(time.monotonic())
            rows = [[topic, part, group.owner[(topic, part)], 0] for topic, part in group.partitions]
            return self.reply(200, {"parts": [row for row in rows if row[2] is not None]})
        return self.reply(400, {})

    async def read(self, query):
        topic, part, start = query["topic"], int(query["part"]), int(query["from"])
        until = time.monotonic() + float(query.get("wait-ms", 0)) / 1000.0
        while True:
            log = self.log(topic, part)
            if start < log.first or start > log.end:
                return self.reply(410, {"first-offset": log.first})
            left = until - time.monotonic()
            if start < log.end or left <= 0:
                break
            try:
                async with self.appended:
                    await asyncio.wait_for(self.appended.wait(), left)
            except asyncio.TimeoutError:
                pass
        body = log.end.to_bytes(8, "big") + log.first.to_bytes(8, "big")
        for _, record in log.records[start - log.first:]:
            body += len(record).to_bytes(4, "big") + record
            if len(body) > 1 << 20:
                break
        return encode(status_line(200), [("Store-Era", self.era)], body)

    def newest(self, query):
        log = self.log(query["topic"], int(query["part"]))
        keys = sorted(key for key in log.newest if key > query.get("after", ""))
        items = [{"key": key, "value": base64.b64encode(log.newest[key][1]).decode(),
                  "offset": log.newest[key][0]} for key in keys[:500]]
        return {"items": items, "has-more": len(keys) > 500, "end-offset": log.end}

    async def append_records(self, query, body):
        topic, part = query["topic"], int(query["part"])
        log = self.log(topic, part)
        if "at" in query and int(query["at"]) != log.end:
            return self.reply(412, {"end-offset": log.end})
        first = log.end
        while body:
            length = int.from_bytes(body[:4], "big")
            record, body = body[4:4 + length], body[4 + length:]
            await self.append(topic, record, part)
            self.appends.append((time.monotonic(), topic, record))
        return self.reply(200, {"offset": first, "end-offset": log.end})
