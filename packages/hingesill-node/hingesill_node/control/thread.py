"""The native thread that runs everything except requests."""

import asyncio
import threading
import time

import grpc

from hingesill_api.generated.hingesill_pb2_grpc import (
    add_OperatorsServicer_to_server,
    add_PeersServicer_to_server,
)
from hingesill_core.configuration.changelog import ChangeLog
from hingesill_core.membership.drainnotices import DrainNotice
from hingesill_core.membership.vms import Membership, Vm
from hingesill_node.control.acceptance import Acceptance
from hingesill_node.control.announcer import Announcer
from hingesill_node.control.authorisation import AUTHORISERS
from hingesill_node.control.channels import (
    OPTIONS,
    Channels,
    build_channel_credentials,
    build_server_credentials,
)
from hingesill_node.control.initialsync import InitialSync
from hingesill_node.control.operators import Operators
from hingesill_node.control.peers import Peers
from hingesill_node.control.probeshares import ProbeShares
from hingesill_node.control.replicator import Replicator
from hingesill_node.control.state import ControlState
from hingesill_node.control.storecalls import CountedStore, StoreCalls
from hingesill_node.control.vmlist import VmListReader
from hingesill_node.store.registry import open_store

__all__ = ["ControlThread"]

STOP_GRACE_SECONDS = 0.5
ENDPOINT_NOTICE_SECONDS = 30.0


class ControlThread:
    """Starts and stops the control side of a node.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    counters : Counters
        Shared with the data path.
    publisher : Publisher
        Posts changes to the hub.
    is_ready : callable
        Returns whether the node is ready.
    explain : callable
        Asks the hub to explain a route.

    Attributes
    ----------
    address : str
        Address of the control port, known once ``start`` has returned.
    """

    def __init__(self, settings, counters, publisher, is_ready, explain):
        self.settings = settings
        self.counters = counters
        self.publisher = publisher
        self.is_ready = is_ready
        self.explain = explain
        self.address = ""
        self.state = None
        self.error = None
        self._loop = None
        self._stop = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    def start(self):
        """Start the thread and wait until its port listens.

        Returns
        -------
        str or None
            Description of the error, if the start failed.
        """
        self._thread.start()
        self._started.wait()
        return self.error

    def stop(self):
        """Request the thread to stop, which takes less than a second."""
        if self._loop is not None and self._loop.is_running():
            self._loop.call_soon_threadsafe(self._stop.set)

    def is_alive(self):
        """Return whether the thread is running."""
        return self._thread.is_alive()

    def announce_drain(self, endpoint):
        """Announce that an endpoint is leaving; may be called from any thread."""
        self._loop.call_soon_threadsafe(self._apply_own_notice, endpoint)

    def _apply_own_notice(self, endpoint):
        now = self.state.clock()
        if self.state.drain_notices.holds(endpoint, now, ENDPOINT_NOTICE_SECONDS / 2):
            return
        sequence = int(time.time() * 1000)
        notice = DrainNotice(endpoint, sequence, now + ENDPOINT_NOTICE_SECONDS)
        self.state.apply_drain_notices([notice])
        self._loop.create_task(self.announcer.announce([notice]))

    def _run(self):
        try:
            asyncio.run(self._serve())
        except Exception as error:
            self.error = f"{type(error).__name__}: {error}"
        finally:
            self._started.set()

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        settings = self.settings
        server = grpc.aio.server(options=OPTIONS)
        self.address = self._bind(server)
        self.state = self._build_state()
        channels = Channels(build_channel_credentials(settings))
        store_calls = StoreCalls(self.state)
        store = CountedStore(open_store(settings.store), self.counters)
        changelog = ChangeLog(store, settings.team)
        self.announcer = Announcer(self.state, channels)
        self._add_servicers(server, changelog, store_calls, channels)
        await server.start()
        reader = VmListReader(self.state, settings.vm_list)
        await reader.refresh() if reader.read else None
        replicator = Replicator(self.state, changelog, store_calls, channels)
        shares = ProbeShares(
            self.state, store, store_calls, settings.team, self.publisher.publish_share
        )
        tasks = [
            asyncio.create_task(replicator.run()),
            asyncio.create_task(reader.run()),
            asyncio.create_task(self.announcer.run()),
            asyncio.create_task(InitialSync(self.state, replicator, channels).run()),
        ]
        if settings.probing:
            tasks.append(asyncio.create_task(shares.run()))
        self._started.set()
        await self._stop.wait()
        for task in tasks:
            task.cancel()
        await shares.release()
        await server.stop(STOP_GRACE_SECONDS)
        await channels.close()
        store_calls.close()

    def _bind(self, server):
        """Listen on the control address; return it with the actual port."""
        address = self.settings.control_address
        credentials = build_server_credentials(self.settings)
        if credentials is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, credentials)
        if port == 0:
            raise OSError(f"cannot listen on {address}")
        return f"{address.rpartition(':')[0]}:{port}"

    def _build_state(self):
        settings = self.settings
        names = (name.strip() for name in settings.services.split(","))
        interests = frozenset(name for name in names if name)
        own = Vm(
            settings.name,
            self.address,
            settings.data_centre,
            holds_all=not interests,
        )
        return ControlState(
            Membership(own),
            self.counters,
            interests,
            lambda: self.publisher.publish(self.state),
        )

    def _add_servicers(self, server, changelog, store_calls, channels):
        authoriser = AUTHORISERS.get(self.settings.authoriser)(
            self.settings.authors_file
        )
        acceptance = Acceptance(self.state, changelog, store_calls, authoriser)
        operators = Operators(
            self.state,
            acceptance,
            self.announcer,
            authoriser,
            channels,
            self.is_ready,
            self.explain,
        )
        add_OperatorsServicer_to_server(operators, server)
        add_PeersServicer_to_server(Peers(self.state, self.is_ready), server)
