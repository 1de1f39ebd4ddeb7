"""The project's nodes as processes, with the commands of the deploy file."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

__all__ = ["Node", "find_ports", "ROOT"]

ROOT = Path(__file__).resolve().parents[2]
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
PORTS = 16
REGION = "akhdar"
ZONES = ("saiq", "wadi-bani", "al-ain")
BOUNDS = dict(
    seed_lag_s=3, addr_reuse_s=2, contact_ms=3000, ack_ms=4000, catch_up_s=4,
    drain_ms=2000, grace_s=6, loss_slack_ms=200, config_apply_ms=2000,
    rollback_slack_ms=250, max_stretch_ms=5000, retry_budget_ratio=0.2,
    budget_window_s=10, budget_slack=56, recovery_s=15, probes_per_s=60,
    quota_window_s=5, quota_overshoot=0.1, quota_slack=20,
)  # fmt: skip


def is_free(port):
    """Return whether a port can be bound, by TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def find_ports():
    """Return free ports in a row, below the ephemeral ones."""
    while True:
        first = random.randrange(12000, 30000, PORTS)
        ports = list(range(first, first + PORTS))
        if all(map(is_free, ports)):
            return ports


class Node:
    """One node of a small deployment.

    Parameters
    ----------
    folder : Path
        Temporary folder of its settings file and its log.
    name, zone : str
        Its name and its zone.
    store : str
        Address at which it finds the store.
    """

    def __init__(self, folder, name, zone, store):
        self.name, self.zone = name, zone
        self.folder = Path(folder)
        self.ports = find_ports()
        self.front, self.ready = self.ports[0], self.ports[1]
        self.file = self.folder / f"{name}.json"
        self.log = self.folder / f"{name}.log"
        self.process = None
        self.is_first = True
        self.write_settings(store)

    def write_settings(self, store):
        """Write the settings file with all fields that the pages show."""
        settings = {
            "node_name": self.name, "role": "front", "machine_class": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": self.zone,
            "region": REGION, "zones": dict.fromkeys(ZONES, REGION),
            "listen": {"front": f"127.0.0.1:{self.front}",
                       "ready": f"127.0.0.1:{self.ready}"},
            "port_range": [self.ports[2], self.ports[-1]], "seeds": [],
            "bootstrap": self.is_first, "fault_counted": False,
            "discovery": "platform", "entry_mode": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "health", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.86, "cpu_cores": 1, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "platform": {"address": store, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000},
        }  # fmt: skip
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(settings))
        new.replace(self.file)

    def start(self):
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "front"
        ]
        environment = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        environment.update(role["env"])
        environment["PYTHONPATH"] = "target/deps"
        environment["HINGESILL_SETTINGS"] = str(self.file)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.is_first = False

    async def wait_ready(self, seconds=20.0):
        """Wait until it answers 200 to the question of the platform's balancer."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self):
        """Return whether it answers 200 to the question of the platform's balancer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait(5.0)
