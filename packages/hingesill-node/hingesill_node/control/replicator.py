"""Replication of the change log: relays read the store, others read a parent."""

import asyncio

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub
from hingesill_core.configuration.snapshots import Snapshot
from hingesill_core.configuration.state import Applied, decode_difference
from hingesill_core.configuration.tail import Tail
from hingesill_core.membership.relaytree import (
    find_position,
    list_relays,
    rank_by_weight,
)
from hingesill_core.store import StoreFailure
from hingesill_node.control.backoff import Backoff
from hingesill_node.control.messages import decode_drain_notices
from hingesill_node.control.state import NEVER_CONFIRMED, copy_replica
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Replicator"]

WATCH_TIMEOUT_SECONDS = 5.0
# A watch that returned is taken to show the store at most this many seconds ago.
MAX_WATCH_AGE_SECONDS = 0.5
HEARTBEAT_SECONDS = 2.0
PARENT_TIMEOUT_SECONDS = 5.0
POSITION_CHECK_SECONDS = 1.0
SNAPSHOT_INTERVAL_ENTRIES = 512
# Updates of builds before format 1 lack the organisations if services were named.
UPDATE_FORMAT = 1


class Replicator:
    """Keeps the replica at the newest state that the store or a parent has.

    Parameters
    ----------
    state : ControlState
        Holds the replica, which is updated.
    changelog : ChangeLog
        Change log in the store.
    store_calls : StoreCalls
        Runs the blocking calls to the store.
    channels : Channels
        Channels to other nodes.
    """

    def __init__(self, state, changelog, store_calls, channels):
        self.state = state
        self.changelog = changelog
        self.store_calls = store_calls
        self.channels = channels
        self.tail_version = None
        self.snapshot_revision = 0
        # Nodes of builds without organisations, by name.
        self.earlier_builds = set()

    async def run(self):
        """Follow the store or a parent, as the position in the tree says."""
        watch = None
        follow = asyncio.create_task(self._follow_parents())
        try:
            while True:
                relay = self._find_position().relay
                if relay != self.state.is_relay:
                    self.state.is_relay = relay
                    if relay:
                        log_event(Event.BECAME_RELAY)
                if relay and watch is None:
                    watch = asyncio.create_task(self._watch_store())
                if not relay and watch is not None:
                    watch.cancel()
                    watch = None
                await asyncio.sleep(POSITION_CHECK_SECONDS)
        finally:
            follow.cancel()
            if watch is not None:
                watch.cancel()

    def _find_position(self):
        usable = self.state.membership.list_usable(self.state.clock())
        return find_position(self.state.own, usable)

    async def _watch_store(self):
        """Watch the tail of the change log in the store until cancelled."""
        backoff = Backoff()
        while True:
            before = self.state.clock()
            if self.tail_version is None:
                answer = await self.store_calls.run(self.changelog.read_tail)
                confirmed = before
            else:
                answer = await self.store_calls.run(
                    self.changelog.watch_tail, self.tail_version, WATCH_TIMEOUT_SECONDS
                )
                confirmed = max(before, self.state.clock() - MAX_WATCH_AGE_SECONDS)
            if isinstance(answer, StoreFailure):
                self.tail_version = None
                await asyncio.sleep(backoff.get_pause())
                continue
            backoff.reset()
            await self._apply_tail(answer, confirmed, backoff)

    async def _apply_tail(self, answer, confirmed, backoff):
        """Apply the result of a read or a watch of the tail."""
        if isinstance(answer, Tail):
            outcome = await self.catch_up(answer)
            if isinstance(outcome, StoreFailure):
                self.tail_version = None
                await asyncio.sleep(backoff.get_pause())
                return
            if outcome in (Applied.OLDER, Applied.FORKED):
                log_event(Event.STORE_BEHIND, store=answer.revision, why=outcome.value)
                await asyncio.sleep(backoff.get_pause())
                return
            self.tail_version = answer.version
        self.state.confirm(confirmed)
        await self._write_due_snapshot()

    async def catch_up(self, tail):
        """Apply the log up to a tail; return Applied or a StoreFailure."""
        copy = copy_replica(self.state.replica)
        outcome = await self.store_calls.run(self.changelog.catch_up, copy, tail)
        if outcome is Applied.APPLIED:
            since = self.state.replica.revision
            self.state.adopt(copy.build_difference(min(since, copy.revision)), "store")
        return outcome

    async def _write_due_snapshot(self):
        """Write a snapshot if the log has grown by enough entries since the last one.

        Rendezvous hashing selects one relay of the whole fleet. Relays whose lists of
        VMs differ may both write one, which costs a few writes and does no harm.
        """
        replica = self.state.replica
        if replica.revision - self.snapshot_revision < SNAPSHOT_INTERVAL_ENTRIES:
            return
        self.snapshot_revision = replica.revision
        relays = list_relays(self.state.membership.list_usable(self.state.clock()))
        ranked = rank_by_weight(relays, "snapshot")
        if ranked and ranked[0].name != self.state.own.name:
            return
        copy = copy_replica(replica)
        before = await self.store_calls.run(self.changelog.snapshots.save, copy)
        if isinstance(before, Snapshot):
            await self.store_calls.run(self.changelog.truncate_before, before)

    async def _follow_parents(self):
        """Subscribe to a parent until cancelled; try the next one after a failure."""
        backoff = Backoff(0.2, 2.0)
        attempt = 0
        while True:
            if self.state.is_relay and self.state.is_store_available:
                self.state.parent = ""
                await asyncio.sleep(POSITION_CHECK_SECONDS)
                continue
            parents = self._find_position().parents
            if not parents:
                await asyncio.sleep(POSITION_CHECK_SECONDS)
                continue
            parent = parents[attempt % len(parents)]
            received = await self._subscribe(parent)
            if received:
                backoff.reset()
                attempt = 0
            else:
                attempt += 1
            await asyncio.sleep(backoff.get_pause())

    def _open_subscription(self, vm):
        """Return the stream of changes of another node."""
        state = self.state
        names = () if vm.name in self.earlier_builds else state.interests
        stub = PeersStub(self.channels.get(vm.control))
        return stub.Subscribe(
            pb.SubscribeRequest(
                node=state.own.name,
                data_centre=state.own.data_centre,
                revision=state.replica.revision,
                chain=state.replica.chain,
                services=sorted(names),
            )
        )

    async def fetch(self, vm):
        """Apply the current state of another node, without staying subscribed."""
        call = self._open_subscription(vm)
        try:
            update = await asyncio.wait_for(call.read(), PARENT_TIMEOUT_SECONDS)
            if update is not grpc.aio.EOF:
                self._apply_update(update, vm.name)
        except (grpc.aio.AioRpcError, TimeoutError):
            self.state.membership.mark_unreachable(vm.name, self.state.clock())
        finally:
            call.cancel()

    async def _subscribe(self, parent):
        """Apply the changes of a parent until it stops sending.

        Returns
        -------
        bool
            Whether the parent sent anything.
        """
        state = self.state
        call = self._open_subscription(parent)
        received = False
        try:
            while not (state.is_relay and state.is_store_available):
                update = await asyncio.wait_for(call.read(), PARENT_TIMEOUT_SECONDS)
                if update is grpc.aio.EOF:
                    break
                if not received:
                    log_event(Event.PARENT_FOUND, parent=parent.name)
                    state.parent = parent.name
                    state.membership.mark_reachable(parent.name)
                received = True
                if not self._apply_update(update, parent.name):
                    break
        except (grpc.aio.AioRpcError, TimeoutError) as error:
            state.membership.mark_unreachable(parent.name, state.clock())
            log_event(Event.PARENT_LOST, parent=parent.name, error=describe(error))
        finally:
            call.cancel()
            state.parent = ""
        return received

    def _apply_update(self, update, source):
        """Apply a message of a parent; return whether to stay subscribed to it."""
        state = self.state
        now = state.clock()
        state.last_peer_at = now
        state.counters.add("peer_bytes", "received", amount=update.ByteSize())
        if self._found_other_build(update, source):
            return False
        if update.difference:
            try:
                difference = decode_difference(update.difference)
            except ValueError as error:
                log_event(Event.OLDER_REFUSED, source=source, error=str(error))
                return False
            applied = state.adopt(difference, source)
            if applied in (Applied.FORKED, Applied.GAP):
                return False
        if not self._has_same_log(update, source):
            return False
        if update.revision <= state.replica.revision:
            if update.confirmed_age_ms < NEVER_CONFIRMED:
                state.confirm(now - update.confirmed_age_ms / 1000)
        state.apply_drain_notices(decode_drain_notices(update.signs, now))
        return True

    def _found_other_build(self, update, source):
        """Return whether to subscribe again, as the parent is of another build.

        Notes
        -----
        A node of a build without organisations leaves them out, and this node would let
        everybody through. It is asked for everything instead.
        """
        is_earlier = update.format < UPDATE_FORMAT
        if not self.state.interests or is_earlier == (source in self.earlier_builds):
            return False
        if is_earlier:
            self.earlier_builds.add(source)
        else:
            self.earlier_builds.discard(source)
        return True

    def _has_same_log(self, update, source):
        """Return whether a parent follows the same change log as this node."""
        known = self.state.replica.find_chain(update.revision)
        if known is None or known == update.chain:
            return True
        log_event(Event.FORK_REFUSED, source=source, offered=update.revision)
        return False


def describe(error):
    """Return the status code or the type of the error of a failed call."""
    if isinstance(error, grpc.aio.AioRpcError):
        return error.code().name
    return type(error).__name__
