"""Instances as separate processes, their settings, and the record of a case."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import http1

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_command():
    """Returns the command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        deploy = tomllib.load(file)
    return deploy["roles"]["instance"]["run"].split(" ")


class Record:
    """Events of a case, written to `record.txt`."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.events = []
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, event, **fields):
        at = self.now()
        self.events.append((at, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.3f} {event} {text}\n")

    def of(self, event):
        return [(at, fields) for at, name, fields in self.events if name == event]

    def close(self):
        self.file.close()


def free_ip():
    """Returns a loopback address on which the ports of an instance are free."""
    start = os.getpid()
    for step in range(60000):
        number = (start * 7 + step) % 60000
        ip = f"127.{20 + number // 250 % 200}.{number % 250 + 1}.1"
        try:
            for port in (8220, 8221, 8224, 8229):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((ip, 7600))
            return ip
        except OSError:
            continue
    raise RuntimeError("no free loopback address")


class Instance:
    """An instance process."""

    def __init__(self, name, ip, folder, settings, log):
        self.name = name
        self.ip = ip
        self.log = log
        self.path = os.path.join(folder, f"{name}.conf")
        self.output = os.path.join(folder, f"{name}.log")
        self.process = None
        self.settings = settings

    @property
    def front(self):
        return (self.ip, 8221)

    @property
    def ready(self):
        return (self.ip, 8224)

    @property
    def identity(self):
        return f"{self.ip}:7600"

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("".join(f"{name}={value}\n" for name, value in self.settings.items()))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                run_command(),
                cwd=ROOT,
                env={**kept, "APRICOTWELL_BOOT": self.path},
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )
        self.log("started", instance=self.name, pid=self.process.pid, identity=self.identity)

    def send(self, name):
        if self.process is not None and self.process.poll() is None:
            self.log("signal", instance=self.name, signal=name)
            self.process.send_signal(getattr(signal, name))

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def events(self, *names):
        """Returns the log lines of some events."""
        found = []
        with open(self.output, "rb") as file:
            for line in file:
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if event.get("event") in names:
                    found.append(event)
        return found


class Fleet:
    """Instances with settings like those of a small deployment."""

    def __init__(self, count, store, log, keep_s=20, zone=None, **bounds):
        self.folder = tempfile.mkdtemp(prefix="apricotwell-review-")
        self.log = log
        self.instances = []
        base = free_ip()
        prefix = base.rsplit(".", 1)[0]
        for index in range(count):
            ip = f"{prefix}.{index + 1}"
            settings = {
                "node": f"edge-a-{index + 1}",
                "role": "instance",
                "machine-class": "edge",
                "serves": "edge,registry",
                "ip": ip,
                "zone": "a" if zone is None else zone(index),
                "region": "r",
                "listen.front": f"{ip}:8221",
                "listen.ready": f"{ip}:8224",
                "listen.control": f"{ip}:8229",
                "listen.directory": f"{ip}:8220",
                "port-range": "7600,7615",
                "bootstrap": "true",
                "limits.memory-mb": "260",
                "limits.max-fds": "4100",
                "discovery": "platform",
                "entry": "registry",
                "heartbeat-ms": "1200",
                "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
                "bounds.contact-ms": "3000",
                "bounds.drain-ms": "2000",
                "bounds.grace-s": "8",
                "bounds.config-apply-ms": "2000",
                "bounds.strict-revoke": "true",
                "bounds.revoke-ms": "5000",
                "bounds.retry-ratio": "0.2",
                "bounds.retry-window-s": "10",
                "bounds.retry-slack": "58",
                "bounds.quota-window-s": "8",
                "bounds.quota-excess": "0.1",
                "bounds.quota-slack": "11000",
                "bounds.fence-checked": "true",
                "bounds.lease-ms": "3000",
                "bounds.thaw-ms": "300",
                "platform.address": f"{store.address[0]}:{store.address[1]}",
                "platform.form": "log",
                "platform.parts": str(store.group.parts),
                "platform.keep_s": str(keep_s),
                "platform.ttl-min-ms": "1000",
                **bounds,
            }
            self.instances.append(Instance(f"edge-a-{index + 1}", ip, self.folder, settings, log))

    def start(self):
        for instance in self.instances:
            instance.start()

    def end(self):
        for instance in self.instances:
            instance.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def await_ready(instances, limit_s=20.0):
    """Waits until instances say that they are ready; returns whether they did."""
    for _ in range(int(limit_s / 0.2)):
        answers = [
            await http1.exchange(it.ready, "GET", "/v1/ready", {"Host": "x"}, limit_s=1.0)
            for it in instances
        ]
        if all(answer.status == 200 for answer in answers):
            return True
        await asyncio.sleep(0.2)
    return False


HOST = "school.example"


def stream_route(prefix, resumable, timeout_ms=15000, target_ms=1000):
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path-prefix": prefix,
        "kind": "streaming",
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 1,
        "service": "engines",
        "max-attempts": 2 if resumable else 1,
        "anonymous": False,
        "sticky": True,
        "resumable": resumable,
        "gap-target-ms": 300,
    }


def plain_route(prefix, kind, timeout_ms=2500, target_ms=150):
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 2,
        "service": "orders",
        "max-attempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    }


def manifest(models=(), model_mb=65000.0, memory_mb=230000.0, version=1, keys=("key-1",), **options):
    """Returns a manifest with a stream route, plain routes and one tenant."""
    timeout = options.get("plain_timeout_ms", 2500)
    value = {
        "version": version,
        "routes": [
            stream_route("/draft/", False),
            stream_route("/summary/", True, 35000, 4000),
            plain_route("/place/", "non_idempotent", timeout),
            plain_route("/view/", "idempotent", timeout),
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv-capacity-tokens": 133831,
                    "weights-mb": memory_mb,
                    "adapter-slots": 8,
                    "loads-per-s": 2.1,
                    "models": [
                        {
                            "name": model,
                            "weights-mb": model_mb,
                            "load-time-s": 8.5,
                            "adapters": 0,
                            "adapter-size-mb": 12.0,
                            "warm-s": 0.4,
                            "disk-s": 0.4,
                        }
                        for model in models
                    ],
                },
            },
            {"name": "orders", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1048576,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {
                "name": "school",
                "api-keys": list(keys),
                "unit": "token_count",
                "plain-tokens": 200,
                "rate-per-s": 0,
                "burst": 0,
            }
        ],
    }
    return json.dumps(value).encode()


async def run_until_stopped(run, log):
    """Runs a case; a SIGTERM ends it, so that it ends the processes that it started."""
    case = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, case.cancel)
    return await run(log)


def main(folder, run):
    """Runs a case and returns its exit code; 2 if it could not run."""
    log = Record(folder)
    try:
        code = asyncio.run(run_until_stopped(run, log))
    except (Exception, asyncio.CancelledError) as error:
        log("error", what=repr(error))
        code = 2
    log("exit", code=code)
    log.close()
    return code
