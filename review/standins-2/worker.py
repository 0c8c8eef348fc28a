"""Stand-ins of workers: model engines that take orders, and a plain service."""

import asyncio
import json
import time

import http1


class Worker:
    """A sound worker. It writes its entry to the store, and runs requests, orders and reports."""

    def __init__(self, name, service, store, log, **options):
        self.name = name
        self.service = service
        self.store = store
        self.log = log
        self.zone = options.get("zone", "a")
        self.slots = options.get("slots", 32)
        self.models = list(options.get("models", []))
        self.on_disk = list(options.get("on_disk", []))
        self.capacity = options.get("capacity", 3)
        self.load_s = options.get("load_s", 0.4)
        self.checks_fences = options.get("checks_fences", True)
        self.run_s = options.get("run_s", 0.03)
        self.events = options.get("events", 8)
        self.event_s = options.get("event_s", 0.02)
        self.first_event_s = options.get("first_event_s", self.event_s)
        self.heartbeat_s = 1.2
        self.version = options.get("version", "v1")
        self.extra = {}
        self.state = "ready"
        self.remaining_ms = None
        self.listed = True
        self.born = int(time.time() * 1000)
        self.number = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.running = {}
        self.writers = set()
        self.tasks = []
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = self.server.sockets[0].getsockname()
        self.publish()
        self.tasks.append(asyncio.create_task(self._heartbeat()))

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            self.publish()

    def publish(self):
        """Writes the entry, unless the worker left or the store does not answer."""
        if not self.listed or self.store.mode != "serving":
            return
        self.number += 1
        self.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())

    def entry(self):
        """Returns the entry with the number of the last write."""
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "born": self.born,
            "stage": "colocated",
            "models": self._held(),
            "at-hand": {"in-memory": [], "on-disk": self.on_disk},
            "seq": self.number,
        }
        if self.remaining_ms is not None:
            entry["remaining-ms"] = self.remaining_ms
        return entry

    def remove_entry(self):
        """Removes the entry from the list; the worker serves on."""
        self.listed = False
        self.store.put("keyed.servers", self.name, b"")

    def end(self):
        """Ends the worker, whatever it is running."""
        self.listed = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.log("worker_ended", worker=self.name, cut=sorted(self.running))

    def _held(self):
        return [{"name": model, "version": 1, "adapters": []} for model in self.models]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.append(task)
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                if not await self._handle(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        expected = request.headers.get("expect-instance")
        attempt = request.headers.get("attempt-id", "")
        if expected is not None and expected != self.name:
            headers = {"Instance-Id": self.name, "Attempt-Id": attempt, **self.extra}
            return await self._send(writer, "421 Misdirected Request", headers)
        if request.path == "/health":
            return await self._send(writer, "200 OK", {"Instance-Id": self.name, **self.extra})
        if request.path == "/v1/report":
            return await self._send(writer, "200 OK", self.extra, json.dumps(self._report()).encode())
        if request.path == "/v1/order":
            status = self._order(json.loads(request.body))
            return await self._send(writer, status, self.extra)
        return await self.run(request, attempt, writer)

    async def _send(self, writer, status, headers, body=b""):
        writer.write(http1.response(status, headers, body))
        await writer.drain()
        return True

    def _report(self):
        return {
            "stage": "colocated",
            "models": self._held(),
            "busy": self.busy,
            "seq": self.orders,
            "queued": 0,
            "in-flight": len(self.running),
            "kv-used": 0,
            "kv-total": 100000,
            "handles": 0,
            "at-hand": {"in-memory": [], "on-disk": self.on_disk},
            "incoming": [],
        }

    def _order(self, order):
        status = self._decide(order)
        self.log(
            "order",
            worker=self.name,
            holder=order["holder"],
            fence=order["fence"],
            op=order["op"],
            model=order["model"],
            status=status.split(" ")[0],
        )
        return status

    def _decide(self, order):
        if self.checks_fences and order["fence"] < self.fence:
            return "412 Precondition Failed"
        self.fence = order["fence"]
        model = order["model"]
        if order["op"] == "load" and model in self.models:
            return "200 OK"
        if order["op"] == "unload" and model not in self.models:
            return "200 OK"
        if self.busy or order.get("expect", self.orders) != self.orders:
            return "409 Conflict"
        self.orders += 1
        if order["op"] == "unload":
            self.models.remove(model)
            return "202 Accepted"
        if len(self.models) >= self.capacity:
            self.log("overloaded", worker=self.name, models=self.models + [model])
            return "202 Accepted"
        self.busy = True
        self.tasks.append(asyncio.create_task(self._load(model)))
        return "202 Accepted"

    async def _load(self, model):
        await asyncio.sleep(self.load_s)
        self.models.append(model)
        if model not in self.on_disk:
            self.on_disk.append(model)
        self.busy = False
        self.publish()

    async def run(self, request, attempt, writer):
        """Runs a request; returns whether the connection goes on."""
        model = request.headers.get("model")
        if model is not None and model not in self.models:
            headers = {"Instance-Id": self.name, "Attempt-Id": attempt, **self.extra}
            return await self._send(writer, "421 Misdirected Request", headers)
        self.running[attempt] = time.monotonic()
        self.log("run", worker=self.name, attempt=attempt, path=request.path)
        headers = {"Attempt-Id": attempt, "Server-Seal": f"seal.{self.name}.{attempt}", **self.extra}
        try:
            if model is None:
                await asyncio.sleep(self.run_s)
                self.running.pop(attempt, None)
                self.log("ran", worker=self.name, attempt=attempt)
                body = f"result of {attempt}".encode()
                return await self._send(writer, "200 OK", headers, body)
            return await self._stream(request, attempt, headers, writer)
        finally:
            self.running.pop(attempt, None)

    def event(self, attempt, number):
        """Returns an event of a stream."""
        return f"id: {number}\ndata: {attempt} {number}\n\n".encode()

    async def _stream(self, request, attempt, headers, writer):
        headers = {
            **headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Weight-Versions": "1",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.first_event_s if number == first else self.event_s)
            event = self.event(attempt, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
