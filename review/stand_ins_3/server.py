"""Stand-ins of the platform's workers: model workers and plain ones (PROTOCOL.md, "Workers")."""

import asyncio
import json
import time

from wire import encode, json_response, new_id, read_body, read_head, serve, status_line

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Server:
    """A worker. `models` are held at its start, `on_disk` can be loaded in `disk_s`."""

    def __init__(self, store, service, models=(), on_disk=(), spec=None, checks_fences=False,
                 disk_s=0.7, events=8, event_s=0.03, work_s=0.02, slots=16, zone="zone-a",
                 version="v1"):
        self.store, self.service, self.spec = store, service, spec
        self.id = new_id("i-")
        self.models = {model: set() for model in models}
        self.on_disk = list(on_disk)
        self.checks_fences, self.disk_s = checks_fences, disk_s
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.slots, self.zone, self.version = slots, zone, version
        self.fence = 0
        self.seq = 0
        self.number = 0
        self.busy_until = 0.0
        self.pending = None
        self.in_flight = 0
        self.cold_left_ms = 0
        self.content = None
        self.is_listed = True
        self.orders = []
        self.runs = []
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"
        await self.announce()
        self.heartbeat = asyncio.create_task(self.renew())

    async def renew(self):
        while True:
            await asyncio.sleep(1.2)
            await self.announce()

    async def announce(self):
        """Writes the entry; the list changes only if more than its number does."""
        self.number += 1
        entry = self.entry()
        content = {**entry, "seq": 0}
        if self.is_listed and content != self.content:
            self.content = content
            await self.store.put("keyed.servers", self.id, entry)

    async def unlist(self):
        """Takes the entry out of the list, as a worker does that leaves without draining."""
        self.is_listed = False
        await self.store.put("keyed.servers", self.id, None)

    def held(self):
        return [{"name": model, "version": 1, "adapters": sorted(adapters)}
                for model, adapters in self.models.items()]

    def at_hand(self):
        return {"in-memory": [], "on-disk": self.on_disk}

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": "ready", "cold-left-ms": self.cold_left_ms, "stage": "colocated",
                "models": self.held(), "at-hand": self.at_hand(), "seq": self.number, "born": self.born}

    def settle(self):
        """Completes the order under way once its time is over."""
        if self.pending and time.monotonic() >= self.busy_until:
            operation, model = self.pending
            self.pending = None
            if operation == "load":
                self.models[model] = set()
                if model not in self.on_disk:
                    self.on_disk.append(model)

    def report(self):
        self.settle()
        return {"stage": "colocated", "models": self.held(), "at-hand": self.at_hand(),
                "busy": self.pending is not None, "seq": self.seq, "queued": 0,
                "in-flight": self.in_flight, "kv-used": 0, "kv-total": 79584, "handles": 0,
                "incoming": [], "born": self.born}

    def used_mb(self):
        return sum(self.spec[model]["weights-mb"] for model in self.models)

    def take_order(self, order):
        self.settle()
        if self.checks_fences and order["fence"] < self.fence:
            return 412
        self.fence = max(self.fence, order["fence"])
        model, adapter = order["model"], order.get("adapter")
        if self.pending is not None or order.get("expect", self.seq) != self.seq:
            return 409
        if adapter is not None:
            return self.take_adapter_order(order["op"], model, adapter)
        if order["op"] == "load":
            if model in self.models:
                return 200
            self.pending = ("load", model)
            load_s = self.disk_s if model in self.on_disk else self.spec[model]["load-time-s"]
            self.busy_until = time.monotonic() + load_s
        elif model not in self.models:
            return 200
        else:
            del self.models[model]
            self.pending = ("unload", model)
            self.busy_until = time.monotonic() + 0.06
        self.seq += 1
        return 202

    def take_adapter_order(self, operation, model, adapter):
        if model not in self.models:
            return 400
        held = self.models[model]
        if operation == "load":
            if adapter in held:
                return 200
            held.add(adapter)
            self.seq += 1
            return 202
        if adapter not in held:
            return 200
        held.discard(adapter)
        self.seq += 1
        return 200

    async def handle(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            if headers.get("expect-instance", self.id) != self.id:
                writer.write(json_response(421, {}, [("Instance-Id", self.id)]))
            elif target == "/v1/report":
                writer.write(json_response(200, self.report()))
            elif target == "/v1/order":
                order = json.loads(body)
                at = time.monotonic()
                status = self.take_order(order)
                self.orders.append({"at": at, "server": self.id, "status": status, **order})
                writer.write(json_response(status, {}))
            elif target == "/health":
                writer.write(json_response(200, {}, [("Instance-Id", self.id)]))
            else:
                await self.serve_request(method, target, headers, body, writer)
            await writer.drain()

    def serves(self, headers):
        self.settle()
        model, _, adapter = headers.get("model", "").partition("/")
        if self.spec is None:
            return True
        return model in self.models and (not adapter or adapter in self.models[model])

    async def serve_request(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        if not self.serves(headers):
            writer.write(encode(status_line(421), [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return
        self.runs.append({"at": time.monotonic(), "server": self.id, "attempt": attempt})
        head = [("Attempt-Id", attempt), ("Server-Seal", SEAL), ("Weight-Versions", "1")]
        self.in_flight += 1
        try:
            if self.spec is None:
                await asyncio.sleep(self.work_s)
                writer.write(encode(status_line(200), head, attempt.encode() * 20))
                return
            await self.stream(head, int(headers.get("last-event-id", 0)), writer)
        finally:
            self.in_flight -= 1

    async def stream(self, head, last, writer):
        lines = [status_line(200)] + [f"{name}: {value}" for name, value in head]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: piece {number} {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
