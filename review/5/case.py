"""Waiting watches of the store go silent; then the configuration changes."""

import asyncio

from kit2.case import HAS_TROUBLE, Case, build_configuration, build_route, play
from kit2.proxy import Proxy

CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
# Connections to the store that carried nothing for this long go silent: those on which
# a watch waits.
IDLE_SECONDS = 0.6
# Services of the versions that follow the first one.
FOLLOWING = ("crushpad", "plots", "crushpad")
ROUND_SECONDS = 8.0
PAUSE_SECONDS = 0.05
SERVICES = ("plots", "crushpad")


class SilentWatchCase(Case):
    """The case with all that takes part."""

    rule = "CONFIG"
    # "A read with serializable = 1 [...] may be seconds old."
    stale_seconds = 3.0

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = []

    async def find_store(self, number):
        """Start the node's proxy to the store and return its address."""
        proxy = Proxy(self.store.address)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    async def declare(self, version, service):
        """Write a configuration whose route leads to a service."""
        routes = {"lookup": build_route("/lookup/", "safe", service)}
        content = build_configuration(version, routes, SERVICES)
        acknowledged_at = await self.store.write("op/config", content)
        self.note(f"ack of r{version}: /lookup/ leads to {service}", acknowledged_at)
        return acknowledged_at

    async def send_all(self, node):
        """Send requests to a node until cancelled."""
        while True:
            await asyncio.gather(
                self.send(node, "GET", "/lookup/"), asyncio.sleep(PAUSE_SECONDS)
            )

    async def run(self):
        """Play the case; return the findings."""
        await self.store.start()
        for service in SERVICES:
            await self.add_backend(f"i-{service}-1", service, "saiq")
            await self.add_backend(f"i-{service}-2", service, "wadi-bani")
        await self.declare(1, "plots")
        await self.start_nodes()
        clients = [asyncio.ensure_future(self.send_all(x)) for x in self.nodes]
        await asyncio.sleep(6.0)
        findings, service = [], "plots"
        for version, following in enumerate(FOLLOWING, 2):
            if HAS_TROUBLE:
                count = sum(x.silence(IDLE_SECONDS) for x in self.proxies)
                self.note(f"{count} idle connections to the store go silent")
            await asyncio.sleep(CONTACT_SECONDS + 0.5)
            changed = await self.declare(version, following)
            await asyncio.sleep(ROUND_SECONDS)
            findings += self.judge(version, service, changed)
            service = following
        for client in clients:
            client.cancel()
        return findings

    def judge(self, version, service, changed):
        """Return a finding on requests that only the version before allows."""
        late = [
            (item.sent_at - changed, item.node)
            for item in self.attempts.values()
            if item.runs
            and item.sent_at > changed + CONFIG_APPLY_SECONDS
            and any(backend.startswith(f"i-{service}") for _, backend in item.runs)
        ]
        if not late:
            return []
        nodes = ", ".join(sorted({name for _, name in late}))
        return [
            f"CONFIG broken: {len(late)} requests sent 2.00 to {max(late)[0]:.2f} s"
            f" after the ack of r{version} were run by {service}, which only r"
            f"{version - 1} allows, through {nodes}"
        ]


if __name__ == "__main__":
    play(SilentWatchCase)
