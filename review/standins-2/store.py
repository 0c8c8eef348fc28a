"""Stand-in of the platform's store: logs that expire, keyed topics and a consumer group."""

import asyncio
import base64
import json
import random
import time

import http1


class Topic:
    """One partition: records with their offsets and times of appending."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}

    @property
    def end(self):
        return self.first + len(self.records)

    def expire(self, before):
        count = 0
        while count < len(self.records) and self.records[count][0] < before:
            count += 1
        if count:
            del self.records[:count]
            self.first += count


class Group:
    """Consumer group: partitions are distributed evenly over its members, in the order of their names or of joining.

    A partition goes over from one member to another when the former one joins in the new generation.
    """

    def __init__(self, parts):
        self.parts = parts
        self.by_name = True
        self.topics = []
        self.members = {}
        self.generation = 0
        # Owner of each partition, and the member that it is to go to.
        self.owner = {}
        self.target = {}

    def _spread(self):
        names = [(topic, part) for topic in self.topics for part in range(self.parts)]
        members = sorted(self.members) if self.by_name else list(self.members)
        if not members:
            self.target = {}
            self.owner = {}
            return
        least, more = divmod(len(names), len(members))
        self.target = {}
        for index, member in enumerate(members):
            count = least + (index < more)
            self.target.update((name, member) for name in names[:count])
            del names[:count]
        for name, member in self.target.items():
            if self.owner.get(name) not in self.members:
                self.owner[name] = member

    def change(self):
        self.generation += 1
        self._spread()

    def expire(self, now):
        gone = [member for member, state in self.members.items() if state["until"] <= now]
        for member in gone:
            del self.members[member]
        if gone:
            self.change()

    def join(self, now, member, topics, ttl, generation):
        self.expire(now)
        if topics and topics != self.topics:
            self.topics = topics
        if member not in self.members:
            self.members[member] = {"until": now + ttl}
            self.change()
        self.members[member]["until"] = now + ttl
        if generation >= self.generation:
            for name, owner in list(self.owner.items()):
                if owner == member and self.target[name] != member:
                    self.owner[name] = self.target[name]
        rows = [
            [topic, part, 0]
            for (topic, part), owner in self.owner.items()
            if owner == member and self.target[(topic, part)] == member
        ]
        return {"generation": self.generation, "parts": rows}

    def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.change()


class Store:
    """The store on a loopback port."""

    def __init__(self, keep_s, parts, log):
        self.keep_s = keep_s
        self.topics = {}
        self.group = Group(parts)
        self.log = log
        self.mode = "serving"
        self.era = None
        self.changed = asyncio.Event()
        self.address = None
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = server.sockets[0].getsockname()
        self.server = server

    def outage_begins(self):
        """Answers nothing from now on."""
        self.mode = "silent"
        self.silent_since = time.monotonic()

    def outage_ends(self):
        """Answers again. The times of the group's members have paused."""
        self.mode = "serving"
        paused = time.monotonic() - self.silent_since
        for state in self.group.members.values():
            state["until"] += paused

    def topic(self, name):
        topic = self.topics.setdefault(name, Topic())
        topic.expire(time.monotonic() - self.keep_s)
        return topic

    def append(self, name, record):
        topic = self.topic(name)
        offset = topic.end
        topic.records.append((time.monotonic(), record))
        if name.startswith("keyed."):
            length = record[0]
            key = record[1 : 1 + length].decode("latin-1")
            value = record[1 + length :]
            if value:
                topic.newest[key] = (offset, value)
            else:
                topic.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def put(self, name, key, value):
        raw = key.encode()
        return self.append(name, bytes([len(raw)]) + raw + value)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                if self.mode == "silent":
                    await asyncio.Event().wait()
                reply = await self._respond(request)
                if self.mode == "silent":
                    await asyncio.Event().wait()
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _headers(self):
        return {} if self.era is None else {"Store-Era": str(self.era)}

    def _json(self, value, status="200 OK"):
        headers = {"Content-Type": "application/json", **self._headers()}
        return http1.response(status, headers, json.dumps(value).encode())

    async def _respond(self, request):
        if self.mode == "busy":
            return self._json({}, "503 Service Unavailable")
        await asyncio.sleep(0.004)
        now = time.monotonic()
        query = request.query
        if request.path == "/v1/log-append":
            return self._append(query, request.body)
        if request.path == "/v1/log-read":
            return await self._read(query)
        if request.path == "/v1/log-newest":
            return self._newest(query)
        body = json.loads(request.body) if request.body else {}
        if request.path == "/v1/log-join":
            reply = self.group.join(
                now, body["member"], body["topics"], body["ttl-ms"] / 1000, body["generation"]
            )
            return self._json(reply)
        if request.path == "/v1/log-leave":
            self.group.leave(body["member"])
            return self._json({})
        if request.path == "/v1/log-owners":
            self.group.expire(now)
            rows = [[topic, part, owner, 0] for (topic, part), owner in self.group.owner.items()]
            return self._json({"parts": rows})
        return self._json({}, "404 Not Found")

    def _append(self, query, body):
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return self._json({"end-offset": topic.end}, "412 Precondition Failed")
        first = topic.end
        while body:
            length = int.from_bytes(body[:4], "big")
            self.append(query["topic"], body[4 : 4 + length])
            if query["topic"] == "placement":
                self.log("claim", offset=topic.end - 1, record=body[4 : 4 + length].decode("latin-1"))
            body = body[4 + length :]
        return self._json({"offset": first, "end-offset": topic.end})

    async def _read(self, query):
        name, start = query["topic"], int(query["from"])
        wait = int(query.get("wait-ms", 0)) / 1000
        until = time.monotonic() + wait
        while self.topic(name).end <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        topic = self.topic(name)
        if start < topic.first:
            return self._json({"first-offset": topic.first}, "410 Gone")
        body = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        size = 0
        for _, record in topic.records[start - topic.first :]:
            if size and size + len(record) > 1024 * 1024:
                break
            size += len(record)
            body += len(record).to_bytes(4, "big") + record
        return http1.response("200 OK", self._headers(), body)

    def _newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        more = len(keys) > 500
        return self._json({"items": items, "has-more": more, "end-offset": topic.end})
