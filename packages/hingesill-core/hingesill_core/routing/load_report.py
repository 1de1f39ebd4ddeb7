"""An endpoint's report of its load, as it comes with a response."""

from msgspec import Struct

__all__ = ["LoadReport"]


class LoadReport(Struct, frozen=True):
    """One load report.

    Parameters
    ----------
    running : int
        Requests that occupy a slot or wait for one.
    received_at : float
        Time at which it reached this node, in seconds of the node's clock.
    own_in_flight : int
        Number of this node's requests in flight there, without the one that brought
        the report.
    slots : int
        Requests that the endpoint processes concurrently; 0 if not reported.
    slowness : float
        Ratio of the current to the usual duration of its work.
    """

    running: int
    received_at: float
    own_in_flight: int
    slots: int = 0
    slowness: float = 1.0
