"""Catalogue of log events, each with a unique number.

``docs/EVENTS.md`` is generated from it; CI checks that they agree.
"""

import logging
from enum import Enum

from pythonjsonlogger.json import JsonFormatter

from hingesill_node.telemetry.output import BoundedHandler

__all__ = ["Event", "log_event", "start_logging"]

LOGGER = logging.getLogger("hingesill")


class Event(Enum):
    """Number, level and text of each event."""

    NODE_STARTED = (1001, logging.INFO, "the node serves")
    NODE_READY = (1002, logging.INFO, "the node is ready for callers")
    NODE_NOT_READY = (1003, logging.WARNING, "the node is not ready for callers")
    STOP_BEGUN = (1004, logging.INFO, "a planned stop has started")
    STOP_ENDED = (1005, logging.INFO, "a planned stop has ended")
    STOP_BOUND_REACHED = (
        1006,
        logging.WARNING,
        "requests were in flight at the stop timeout",
    )
    CONNECTIONS_LEFT = (
        1012,
        logging.WARNING,
        "connections were open at the end of the process",
    )
    ACCEPT_FAILED = (1013, logging.ERROR, "connections cannot be accepted")
    RELOADED = (1009, logging.INFO, "the settings were reloaded")
    RELOAD_REFUSED = (1010, logging.ERROR, "changed settings are not valid")
    PORT_UNAVAILABLE = (1008, logging.ERROR, "the node cannot listen on an address")
    BUNDLE_LEFT_OUT = (1011, logging.WARNING, "the module bundle is not used")
    CONFIGURATION_IN_FORCE = (2001, logging.INFO, "a configuration is in force")
    EVACUATION_IN_FORCE = (2010, logging.INFO, "a data centre gets no new requests")
    EVACUATION_ENDED = (2011, logging.INFO, "a data centre gets requests again")
    HISTORY_GONE = (2008, logging.WARNING, "the store no longer has the change history")
    LEARNT_FROM_PEER = (2009, logging.INFO, "another node reported changes")
    OLDER_REFUSED = (2002, logging.WARNING, "an older configuration was rejected")
    FORK_REFUSED = (2003, logging.ERROR, "a configuration of another log was rejected")
    DOCUMENT_INVALID = (2004, logging.ERROR, "a stored declaration is not valid")
    STORE_BEHIND = (2005, logging.ERROR, "the store is behind this node")
    CHANGE_ACCEPTED = (2006, logging.INFO, "a change was accepted")
    CHANGE_REJECTED = (2007, logging.WARNING, "a change was rejected")
    STORE_LOST = (3001, logging.WARNING, "the store does not answer")
    STORE_BACK = (3002, logging.INFO, "the store answers again")
    PARENT_LOST = (3003, logging.WARNING, "the parent node does not answer")
    PARENT_FOUND = (3004, logging.INFO, "changes come from a parent node")
    BECAME_RELAY = (3005, logging.INFO, "the node watches the store")
    LIST_UNAVAILABLE = (3006, logging.WARNING, "the list of VMs cannot be read")
    ISOLATED = (3007, logging.ERROR, "neither the store nor any node answers")
    WATCH_CUT = (3008, logging.INFO, "a watch of the store ended early")
    WATCH_DEAF = (3013, logging.WARNING, "a watch did not report changes")
    RELAY_FOUND = (3014, logging.INFO, "a relay reports changes to this node")
    RELAY_LOST = (3015, logging.INFO, "the relay no longer reports changes")
    RELAY_CAUGHT_UP = (3018, logging.INFO, "a relay that was behind has caught up")
    STORE_RESTORED = (
        3019,
        logging.WARNING,
        "the store was restored from an older copy",
    )
    NODE_LEASE_DROPPED = (3020, logging.INFO, "the lease is of an earlier era")
    STORE_ERA_INVALID = (3021, logging.WARNING, "the era in the store is not a number")
    FEED_OPENED = (3016, logging.INFO, "the node reports changes to other nodes")
    FEED_CLOSED = (3017, logging.INFO, "the node no longer reports changes to others")
    PEER_SILENT = (3009, logging.INFO, "another node did not answer")
    FOLLOWER_FAULT = (
        3012,
        logging.ERROR,
        "an internal error while following the store",
    )
    INTRODUCTION_REFUSED = (
        3023,
        logging.WARNING,
        "a node that introduced itself does not list this one",
    )
    NODE_ENTERED = (3010, logging.INFO, "the node is registered in the store")
    NODE_ENTRY_LOST = (3011, logging.WARNING, "the node's registration has expired")
    ENDPOINT_DRAINING = (4001, logging.INFO, "an endpoint is leaving")
    ENDPOINT_EJECTED = (4002, logging.WARNING, "an endpoint was ejected")
    ENDPOINT_BACK = (4003, logging.INFO, "an endpoint is no longer ejected")
    ENDPOINT_GONE = (4004, logging.INFO, "an endpoint's entry is still missing")
    PROFILE_KEPT = (4005, logging.INFO, "the observations of services were stored")
    PROFILE_NOT_KEPT = (4006, logging.WARNING, "the observations could not be stored")
    REPORT_LOST = (4007, logging.INFO, "a relay did not accept observations")
    REPORT_INVALID = (4008, logging.WARNING, "a report from another node is not valid")
    ENDPOINT_LOOKED_AT = (4009, logging.INFO, "an endpoint did not answer")
    HOLD_BEGUN = (
        4010,
        logging.WARNING,
        "a request is quarantined because endpoints crashed during it",
    )
    HOLD_ENDED = (4011, logging.INFO, "a request is no longer quarantined")
    HOLD_NOT_KEPT = (4012, logging.WARNING, "a quarantine could not be stored")
    GOSSIP_INVALID = (4013, logging.WARNING, "a datagram from a node is not valid")
    LIMIT_BEGUN = (4014, logging.WARNING, "an endpoint reports a rate limit")
    LIMIT_CHANGED = (4015, logging.INFO, "an endpoint reports another rate limit")
    LIMIT_ENDED = (4016, logging.INFO, "an endpoint no longer reports a rate limit")
    LIMIT_INVALID = (4017, logging.WARNING, "an endpoint's rate limit is not valid")
    REST_BEGUN = (4018, logging.INFO, "an endpoint asks this node to back off")
    ENDPOINT_LEAVING = (4019, logging.INFO, "an endpoint reports that it is leaving")
    REST_ENDED = (4021, logging.INFO, "the back-off of an endpoint is over")
    REST_INVALID = (4020, logging.WARNING, "an endpoint's Retry-After is not valid")
    SERVICE_UNREACHABLE = (
        4022,
        logging.WARNING,
        "no endpoint of a service can be reached, requests go through other nodes",
    )
    SERVICE_REACHED = (4023, logging.INFO, "a service can be reached again")
    FORWARD_REFUSED = (
        4024,
        logging.WARNING,
        "a forwarded request does not come from a registered node",
    )
    PROBE_SHARE_HELD = (5001, logging.INFO, "a share of the probe budget is held")
    PROBE_SHARE_LOST = (5002, logging.INFO, "a share of the probe budget has expired")
    REQUEST_ANSWERED = (6002, logging.INFO, "a request was answered")
    REQUEST_IN_TROUBLE = (
        6003,
        logging.WARNING,
        "a request was refused, late, lost or sent more than once",
    )
    REQUEST_HELD_BACK = (
        6004,
        logging.WARNING,
        "a request was refused because endpoints crashed during it",
    )
    REQUEST_UNAUTHENTICATED = (
        6005,
        logging.WARNING,
        "a request was refused because it has no valid key",
    )
    REQUEST_OVER_QUOTA = (
        6006,
        logging.WARNING,
        "a request was refused because its organisation is over its quota",
    )
    REQUEST_FAULT = (
        6001,
        logging.ERROR,
        "a request failed because of an internal error",
    )
    REQUEST_NOT_WHOLE = (
        6007,
        logging.WARNING,
        "a request was refused because it is incomplete or malformed",
    )
    CONNECTION_UNREAD = (
        6008,
        logging.INFO,
        "a connection was closed with unread requests",
    )
    ANSWER_CUT = (
        6009,
        logging.WARNING,
        "a connection ended before the caller had received the answer",
    )
    CONNECTION_EVICTED = (
        6010,
        logging.WARNING,
        "a connection was closed to make room for others",
    )
    CONNECTION_REFUSED = (
        6011,
        logging.WARNING,
        "a connection was refused because too many are open",
    )
    REQUEST_BEYOND_LIMIT = (
        6012,
        logging.WARNING,
        "a request was refused because of a limit on clients",
    )
    OVER_QUOTA = (7001, logging.WARNING, "an organisation is over its quota")
    WITHIN_QUOTA = (7002, logging.INFO, "an organisation is within its quota again")
    COORDINATOR_LOST = (
        7003,
        logging.WARNING,
        "the coordinator of an organisation's quota does not answer",
    )
    COORDINATOR_FOUND = (
        7004,
        logging.INFO,
        "the coordinator of an organisation's quota answers again",
    )

    @property
    def number(self):
        """The event's number; its meaning never changes."""
        return self.value[0]

    @property
    def level(self):
        """The level, as defined by the standard logging module."""
        return self.value[1]

    @property
    def text(self):
        """The message, in plain text."""
        return self.value[2]


def start_logging(node, level):
    """Configure logging of events as JSON lines to the standard output.

    Parameters
    ----------
    node : str
        Name of the node, written in each line.
    level : str
        Name of the lowest level to write.
    """
    handler = BoundedHandler()
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s", static_fields={"node": node}
        )
    )
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(level)


def log_event(event, **fields):
    """Log one event with its fields."""
    LOGGER.log(event.level, event.text, extra={"event": event.number, **fields})
