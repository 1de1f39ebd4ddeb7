"""Reading of the list of VMs of the platform, with a registry of sources."""

import asyncio
import random
import time
from pathlib import Path
from urllib.parse import urlsplit

import urllib3

from hingesill_core.membership.drainnotices import DrainNotice
from hingesill_core.membership.vms import Vm, VmState
from hingesill_core.registry import Registry
from hingesill_core.validation import parse_json
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LISTS", "VmListReader", "parse_list"]

LISTS = Registry("list of VMs")
MIN_POLL_INTERVAL_SECONDS = 2.0
MAX_READS_PER_SECOND = 500
READ_TIMEOUT_SECONDS = 2.0
LEAVING_NOTICE_SECONDS = 30.0
MAX_PORT = 65535
NODE_ROLE = "node"
HOLDS_ALL = "all"


@LISTS.register("http")
def read_http(url):
    """Return the list that an HTTP server provides."""
    response = urllib3.request("GET", url, timeout=READ_TIMEOUT_SECONDS, retries=False)
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return parse_json(response.data)


@LISTS.register("file")
def read_file(url):
    """Return the list in a file."""
    return parse_json(Path(urlsplit(url).path).read_text())


def parse_list(items):
    """Return the nodes and the leaving endpoints of a list.

    Parameters
    ----------
    items : list of dict
        ``name``, ``role`` (``node`` or ``endpoint``), ``address``,
        ``data_centre`` and ``state`` (``live`` or ``leaving``); a node may have
        ``holds`` (``all`` or ``some`` services) and ``forward_port``.

    Returns
    -------
    vms : list of Vm
        The nodes.
    leaving : list of str
        Addresses of endpoints that are leaving.

    Raises
    ------
    ValueError
        If the list does not have this form.
    """
    vms = []
    leaving = []
    try:
        for item in items:
            state = VmState(item["state"])
            if item["role"] == NODE_ROLE:
                holds_all = item.get("holds", HOLDS_ALL) == HOLDS_ALL
                location = (item["address"], item["data_centre"])
                port = parse_port(item.get("forward_port", 0))
                vms.append(Vm(item["name"], *location, state, holds_all, port))
            elif state is VmState.LEAVING:
                leaving.append(item["address"])
    except (LookupError, TypeError) as error:
        raise ValueError(f"invalid list of VMs: {error!r}") from error
    return vms, leaving


def parse_port(value):
    """Return a port of the list; 0 stands for none.

    Raises
    ------
    ValueError
        If it is no port.
    """
    if type(value) is not int or not 0 <= value <= MAX_PORT:
        raise ValueError(f"invalid list of VMs: forward_port {value!r} is no port")
    return value


class VmListReader:
    """Reads the list periodically and applies it to the state.

    Parameters
    ----------
    state : ControlState
        Its membership and drain notices are updated.
    url : str
        Address of the list; empty if there is none.
    """

    def __init__(self, state, url):
        self.state = state
        self.url = url
        self.read = LISTS.get(urlsplit(url).scheme)
        self.available = True

    async def run(self):
        """Read the list periodically until cancelled.

        Notes
        -----
        The interval grows with the number of nodes, so that all nodes together read
        the list at most `MAX_READS_PER_SECOND` times per second.
        """
        while self.read is not None:
            await self.refresh()
            nodes = len(self.state.membership.list_all())
            pause = max(MIN_POLL_INTERVAL_SECONDS, nodes / MAX_READS_PER_SECOND)
            await asyncio.sleep(pause * (0.75 + random.random() / 2))

    async def refresh(self):
        """Read the list once and apply it."""
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
        """Apply drain notices for endpoints that the platform reports as leaving."""
        state = self.state
        now = state.clock()
        sequence = int(time.time() * 1000)
        notices = [
            DrainNotice(address, sequence, now + LEAVING_NOTICE_SECONDS)
            for address in leaving
            if not state.drain_notices.holds(address, now, LEAVING_NOTICE_SECONDS / 2)
        ]
        state.apply_drain_notices(notices)
