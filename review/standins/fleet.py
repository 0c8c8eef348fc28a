"""Starts instances of apricotwell as processes, with settings like those of a small deployment."""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import tempfile
import time
import tomllib

from http1 import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = """bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.stretch-max-ms=5000
bounds.strict-revoke=true
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.retry-window-s=10
bounds.retry-slack=58
bounds.quota-window-s=8
bounds.quota-excess=0.1
bounds.quota-slack=11000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s=0
bounds.fence-checked=true
bounds.lease-ms=3000
bounds.thaw-ms=300
bounds.ceiling-window-s=5
bounds.ceiling-excess=1.1
bounds.ttl_max_s=5
"""
# The bounds of hadegis-prod, and what the sheet of the grown deployment changes in them.
GROWN_BOUNDS = (
    BOUNDS.replace("contact-ms=3000", "contact-ms=4000")
    .replace("ack-ms=4000", "ack-ms=6000")
    .replace("catch-up-s=4", "catch-up-s=6")
    .replace("drain-ms=2000", "drain-ms=3000")
    .replace("config-apply-ms=2000", "config-apply-ms=3000")
    .replace("stretch-max-ms=5000", "stretch-max-ms=6000")
    .replace("retry-slack=58", "retry-slack=200")
    .replace("recovery-s=12", "recovery-s=15")
    .replace("pass-ms=120", "pass-ms=200")
)


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Lines of record.txt, each with its time in seconds since the start."""

    def __init__(self, path):
        self.begun = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def note(self, what, **fields):
        at = time.time() - self.begun
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()


_reserved = []


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _reserved:
            _reserved.append(port)
            return port


class Instance:
    def __init__(self, note, folder, name, zone, store_address, keep_s=300, bounds=BOUNDS,
                 memory_mb=260, link_mbps=1000.0):
        self.keep_s, self.bounds = keep_s, bounds
        self.memory_mb, self.link_mbps = memory_mb, link_mbps
        self.note, self.name, self.zone = note, name, zone
        self.store_address = store_address
        self.folder = folder
        ports = [free_port() for _ in range(5)]
        self.front, self.ready, self.control, self.directory, self.peers = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.process = None
        self.starts = 0

    def settings(self, bootstrap):
        port = self.peers.rsplit(":", 1)[1]
        return (
            f"node={self.name}\nrole=instance\nmachine-class=edge\nserves=edge,registry\nip=127.0.0.1\n"
            f"zone={self.zone}\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\n"
            f"listen.front={self.front}\nlisten.ready={self.ready}\nlisten.control={self.control}\n"
            f"listen.directory={self.directory}\nport-range={port},{port}\nseeds=\n"
            f"bootstrap={'true' if bootstrap else 'false'}\ncounts-as-loss=false\nlimits.cpu-share=0.25\n"
            f"limits.cores=1\nlimits.memory-mb={self.memory_mb}\nlimits.max-fds=4100\nlimits.link-mbps={self.link_mbps}\n"
            f"limits.disk-mb=0\ndiscovery=platform\nentry=registry\nheartbeat-ms=1200\n"
            f"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform\n"
            f"{self.bounds}platform.address={self.store_address}\nplatform.form=log\n"
            f"platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.parts=12\n"
            f"platform.append-ms=2.0\nplatform.keep_s={self.keep_s}\nplatform.part-mb=200\nplatform.ttl-min-ms=1000\n"
        )

    async def start(self, bootstrap=False):
        path = os.path.join(self.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(bootstrap))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["instance"]["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["APRICOTWELL_BOOT"] = path
        self.starts += 1
        log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()
        self.note("instance starts", instance=self.name, peers=self.peers, pid=self.process.pid)

    def signal(self, number):
        self.note("signal", instance=self.name, number=int(number))
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout=12.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                status, _, _ = await call(self.ready, "GET", "/v1/ready", timeout=1.0)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"instance {self.name} does not get ready")

    async def wait_exit(self, timeout=15.0):
        await asyncio.wait_for(self.process.wait(), timeout)
        self.note("instance has exited", instance=self.name, status=self.process.returncode)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def new_attempt():
    return secrets.token_hex(8)


def manifest(version, routes, services, keys):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "tenant1", "api-keys": keys, "priority": 1, "unit": "token_count",
                     "plain-tokens": 20, "rate-per-s": 1000000, "burst": 1000000}],
    }).encode()


def run_case(main, folder):
    """Runs `main(record, temporary folder, trouble)`; returns the exit status of the script."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep = os.environ.get("KEEP_LOGS")
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, temporary, trouble), 115))
    except CannotRun as error:
        record.note("could not run", reason=str(error))
        print(f"could not run: {error}")
        return 2
    except Exception as error:  # a fault of the case itself
        record.note("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.note("result", broken=bool(broken))
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
