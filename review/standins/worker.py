"""Stand-in of a worker: plain answers, event streams, and orders of a model engine."""

import asyncio
import json
import time

from http1 import Response, Server, encode_head
from store import SERVERS_TOPIC

HEARTBEAT = 1.2


class Worker:
    """One worker process. `run_ms` is its work on a plain request."""

    def __init__(self, store, note, name, service, version="1", zone="z1", slots=6, queue=24,
                 run_ms=30, events=0, event_ms=100, models=None, memory_mb=0, load_s=0.6):
        self.store, self.note = store, note
        self.name, self.service, self.version, self.zone = name, service, version, zone
        self.slots, self.queue, self.run_ms = slots, queue, run_ms
        self.events, self.event_ms = events, event_ms
        self.born = int(time.time() * 1000)
        self.models = models  # name -> True, None for a service without an engine
        self.memory_mb, self.load_s = memory_mb, load_s
        self.sizes = {}
        self.accepted = 0
        self.busy = False
        self.fence = 0
        self.state = "ready"
        self.beats = 0
        self.free = asyncio.Semaphore(slots)
        self.held = 0
        self.extra_headers = {}
        self.runs = []  # dicts: what was run
        self.orders = []  # dicts: orders that arrived
        self.arrivals = []
        self.server = Server(self.handle)
        self.beat_task = None
        self.alive = False

    async def start(self):
        await self.server.start()
        self.alive = True
        self.beat()
        self.beat_task = asyncio.ensure_future(self._beat())
        self.note("worker starts", worker=self.name, version=self.version, address=self.server.address)
        return self

    def beat(self):
        self.beats += 1
        entry = {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "cold-left-ms": 0,
            "seq": self.beats, "born": self.born,
        }
        if self.models is not None:
            entry["models"] = self.describe_models()
            entry["at-hand"] = {"in-memory": [], "on-disk": []}
        self.store.put(SERVERS_TOPIC, self.name, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.beat()

    def drain(self):
        """Reports that it is leaving; it goes on serving until `end`."""
        self.state = "draining"
        self.note("worker drains", worker=self.name)
        self.beat()

    def silence(self):
        """Sends no more status reports."""
        if self.beat_task:
            self.beat_task.cancel()
            self.beat_task = None

    def end(self, removes=True):
        """Ends the process; its entry is removed if it had said that it leaves."""
        self.alive = False
        self.silence()
        self.server.stop()
        if removes:
            self.store.put(SERVERS_TOPIC, self.name, b"")
        self.note("worker ends", worker=self.name)

    def describe_models(self):
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    def headers(self, request):
        return {
            "Attempt-Id": request.header("attempt-id", ""),
            "Server-Seal": f"seal.{self.name}.{request.header('attempt-id', '')}",
            **self.extra_headers,
        }

    async def handle(self, request, connection):
        if request.header("expect-instance", self.name) != self.name:
            return Response(421, b"", {"Not-Executed": "1", **self.headers(request)})
        if request.path == "/v1/report":
            return Response(200, {
                "stage": "colocated", "models": self.describe_models() if self.models else [],
                "busy": self.busy, "seq": self.accepted, "queued": 0, "in-flight": self.held,
                "kv-used": 0, "kv-total": 90000, "handles": 0, "born": self.born,
            })
        if request.path == "/v1/order":
            return self.order(request)
        if request.path == "/health":
            is_well = self.state == "ready"
            return Response(200 if is_well else 503, b"", {"Instance-Id": self.name})
        return await self.run(request, connection)

    def order(self, request):
        body = request.json()
        arrived = {"at": time.time(), "worker": self.name, **body}
        status = self.take_order(body)
        arrived["status"] = status
        self.orders.append(arrived)
        self.note("order", **{key: arrived[key] for key in arrived if key != "at"})
        return Response(status, {})

    def take_order(self, body):
        if body["fence"] < self.fence:
            return 412
        self.fence = body["fence"]
        if self.busy or body.get("expect", self.accepted) != self.accepted:
            return 409
        model = body["model"]
        if (body["op"] == "load") == (model in self.models):
            return 200
        self.accepted += 1
        self.busy = True
        if body["op"] == "unload":
            del self.models[model]
        asyncio.ensure_future(self._finish(body["op"], model))
        return 202

    async def _finish(self, operation, model):
        await asyncio.sleep(self.load_s if operation == "load" else 0.02)
        self.busy = False
        if operation == "load":
            self.models[model] = True
        self.beat()

    async def run(self, request, connection):
        attempt = request.header("attempt-id", "")
        arrival = {"at": time.time(), "worker": self.name, "attempt": attempt}
        self.arrivals.append(arrival)
        wanted = request.header("model")
        if self.models is not None and wanted and wanted not in self.models:
            return Response(421, b"", {"Not-Executed": "1", **self.headers(request)})
        if self.held >= self.slots + self.queue:
            return Response(503, b"", {"Not-Executed": "1", **self.headers(request)})
        self.held += 1
        try:
            async with self.free:
                run = {"at": time.time(), "attempt": attempt, "worker": self.name,
                       "version": self.version, "after": request.header("last-event-id")}
                self.runs.append(run)
                if "text/event-stream" in request.header("accept", ""):
                    await self.stream(request, connection)
                    return None
                await asyncio.sleep(self.run_ms / 1000)
                body = json.dumps({"worker": self.name, "attempt": attempt}).encode()
                return Response(200, body, {"Content-Type": "application/json", **self.headers(request)})
        finally:
            self.held -= 1

    async def stream(self, request, connection):
        reader, writer = connection
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                   **self.headers(request)}
        writer.write(encode_head("HTTP/1.1 200 X", headers))
        first = int(request.header("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_ms / 1000)
            if reader.at_eof():
                raise ConnectionError("the caller has left")
            event = f"id: {number}\ndata: piece {number} of version {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
