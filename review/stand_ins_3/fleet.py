"""Instances as processes, by the commands of the deploy file, with settings as DEPLOY.md has them."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from wire import call

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": "true", "revoke-ms": 5000,
    "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58, "quota-window-s": 8,
    "quota-excess": 0.1, "quota-slack": 11000, "recovery-s": 12, "pass-ms": 120,
    "retry-after-s": 0, "fence-checked": "true", "lease-ms": 3000, "thaw-ms": 300,
    "ceiling-window-s": 5, "ceiling-excess": 1.1, "ttl_max_s": 5,
}
CONTRACTS = "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform"


def free_ports(ips, count):
    """Returns ports, one after the other, that are free at all of these addresses.

    They lie below those that the system gives to connections.
    """
    chance = random.Random()
    while True:
        first = chance.randrange(20000, 30000)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as one:
                            one.bind((ip, port))
            return list(range(first, first + count))
        except OSError:
            continue


def command():
    """Returns the command of the role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return role["run"].split()


class Instance:
    """One instance; `start` may be called again after it has ended."""

    def __init__(self, fleet, name, zone, ip, ports):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.front, self.ready, self.control, self.directory, self.peer = (
            f"{ip}:{port}" for port in ports)
        self.process = None
        self.starts = 0

    def settings(self):
        fleet = self.fleet
        zones = sorted({instance.zone for instance in fleet.instances} | {self.zone})
        port = self.peer.rsplit(":", 1)[1]
        lines = [
            f"node={self.name}", "role=instance", "machine-class=edge", "serves=edge,registry",
            f"ip={self.ip}", f"zone={self.zone}", "region=region-a",
            *(f"zones.{zone}=region-a" for zone in zones),
            f"listen.front={self.front}", f"listen.ready={self.ready}",
            f"listen.control={self.control}", f"listen.directory={self.directory}",
            f"port-range={port},{port}",
            "seeds=" + ",".join(instance.control for instance in fleet.instances[:3]),
            f"bootstrap={'true' if self.starts == 0 and fleet.is_first_start else 'false'}",
            "counts-as-loss=false", "limits.cpu-share=0.25", "limits.cores=1",
            "limits.memory-mb=260", "limits.max-fds=4100", "limits.link-mbps=1000.0",
            "limits.disk-mb=0", "discovery=platform", "entry=registry", "heartbeat-ms=1200",
            f"contracts={fleet.contracts}", "tolerate.machines=2", "tolerate.zones=0",
            "tolerate.regions=0",
            *(f"bounds.{name}={value}" for name, value in fleet.bounds.items()),
            f"platform.address={fleet.store.address}", "platform.form=log",
            "platform.writes-per-s=400", "platform.reads-per-s=2000",
            f"platform.parts={fleet.store.parts}", "platform.append-ms=2.0",
            "platform.ingest-per-s=20.0", "platform.egress-per-s=80.0",
            "platform.record-bytes=262144", "platform.call-bytes=2097152",
            f"platform.keep_s={fleet.store.keep_s:g}", "platform.part-mb=200",
            "platform.ttl-min-ms=1000",
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        path = self.fleet.folder / f"{self.name}.conf"
        path.write_text(self.settings())
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        keep = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in keep if name in os.environ}
        environment["APRICOTWELL_BOOT"] = str(path)
        self.process = subprocess.Popen(
            self.fleet.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT)
        log.close()
        self.fleet.note("started", instance=self.name, pid=self.process.pid)

    def signal(self, number):
        self.fleet.note("signal", instance=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is None or self.process.poll() is not None

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/v1/ready", timeout=1.0)
        except (OSError, asyncio.TimeoutError, Exception):
            return False
        return status == 200


class Fleet:
    """The instances of a run, the record of it and the temporary folder."""

    def __init__(self, store, record, bounds=None, contracts=CONTRACTS):
        self.store, self.contracts = store, contracts
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.instances = []
        # Each machine has an address of its own, and the ports are the same on all.
        octet = random.Random().randrange(1, 250)
        self.ips = [f"127.0.{octet}.{number}" for number in range(1, 250)]
        self.ports = free_ports(self.ips[:12], 5)
        self.is_first_start = True
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.command = command()
        self.begun = time.monotonic()
        self.record = open(record, "w", encoding="utf-8")

    def add(self, name, zone="zone-a"):
        """Adds a machine; its instance is to be started."""
        instance = self.prepare(name, zone, self.ips[len(self.instances)])
        self.instances.append(instance)
        return instance

    def prepare(self, name, zone, ip):
        """Returns the instance of a machine that is to be added to `instances` as it starts."""
        return Instance(self, name, zone, ip, self.ports)

    def note(self, event, at=None, **fields):
        """Writes one line to the record, unless the run has ended."""
        if self.record.closed:
            return
        seconds = (time.monotonic() if at is None else at) - self.begun
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{seconds:9.3f} {event} {text}\n")
        self.record.flush()

    async def await_ready(self, instances=None, timeout=20.0):
        """Waits until instances are ready; returns whether that was in time."""
        end = time.monotonic() + timeout
        for instance in instances or self.instances:
            while not await instance.is_ready():
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.05)
        return True

    def end(self):
        """Ends all processes that were started."""
        for instance in self.instances:
            if not instance.has_ended():
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
