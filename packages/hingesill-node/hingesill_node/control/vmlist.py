"""Reading the platform's lagging list of VMs: a seam with a registry."""

import asyncio
import json
import random
import time
from pathlib import Path
from urllib.parse import urlsplit

import urllib3

from hingesill_core.membership.drainnotices import DrainNotice
from hingesill_core.membership.vms import Vm, VmState
from hingesill_core.registry import Registry
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LISTS", "ListReader", "parse_list"]

LISTS = Registry("list of VMs")
POLL_SECONDS = 2.0
READS_A_SECOND = 500
READ_SECONDS = 2.0
LEAVING_HOLDS = 30.0
NODE_ROLE = "node"
HOLDS_ALL = "all"


@LISTS.register("http")
def read_http(url):
    """Return the list that an address answers with."""
    response = urllib3.request("GET", url, timeout=READ_SECONDS, retries=False)
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return json.loads(response.data)


@LISTS.register("file")
def read_file(url):
    """Return the list that a file holds."""
    return json.loads(Path(urlsplit(url).path).read_text())


def parse_list(items):
    """Sort a list's items into nodes and leaving endpoints.

    Parameters
    ----------
    items : list of dict
        ``name``, ``role`` (``node`` or ``endpoint``), ``address``,
        ``data_centre`` and ``state`` (``live`` or ``leaving``); a node may have
        ``holds`` (``all`` or ``some`` services).

    Returns
    -------
    vms : list of Vm
        The nodes.
    leaving : list of str
        Addresses of endpoints that leave.

    Raises
    ------
    ValueError
        If the list is not of this form.
    """
    vms = []
    leaving = []
    try:
        for item in items:
            state = VmState(item["state"])
            if item["role"] == NODE_ROLE:
                holds_all = item.get("holds", HOLDS_ALL) == HOLDS_ALL
                where = (item["address"], item["data_centre"])
                vms.append(Vm(item["name"], *where, state, holds_all))
            elif state is VmState.LEAVING:
                leaving.append(item["address"])
    except (LookupError, TypeError) as error:
        raise ValueError(f"not a list of VMs: {error!r}") from error
    return vms, leaving


class ListReader:
    """Puts each newer list in force.

    Parameters
    ----------
    state : ControlState
        Its membership and signs are written.
    url : str
        Where the list is; empty for none.
    """

    def __init__(self, state, url):
        self.state = state
        self.url = url
        self.read = LISTS.get(urlsplit(url).scheme)
        self.available = True

    async def run(self):
        """Read the list again and again until cancelled.

        Notes
        -----
        The pause grows with the fleet, so that all nodes together read the list
        `READS_A_SECOND` times a second at most.
        """
        while self.read is not None:
            await self.refresh()
            nodes = len(self.state.membership.list_all())
            pause = max(POLL_SECONDS, nodes / READS_A_SECOND)
            await asyncio.sleep(pause * (0.75 + random.random() / 2))

    async def refresh(self):
        """Read the list once."""
        loop = asyncio.get_running_loop()
        try:
            items = await loop.run_in_executor(None, self.read, self.url)
            vms, leaving = parse_list(items)
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            if self.available:
                log_event(Event.LIST_UNAVAILABLE, error=str(error))
            self.available = False
            return
        self.available = True
        self.state.membership.replace_vms(vms)
        self._mark_leaving(leaving)
        self.state.publish()

    def _mark_leaving(self, leaving):
        """Take the platform's word that endpoints leave."""
        state = self.state
        now = state.clock()
        sequence = int(time.time() * 1000)
        signs = [
            DrainNotice(address, sequence, now + LEAVING_HOLDS)
            for address in leaving
            if not state.signs.holds(address, now, LEAVING_HOLDS / 2)
        ]
        state.apply_drain_notices(signs)
