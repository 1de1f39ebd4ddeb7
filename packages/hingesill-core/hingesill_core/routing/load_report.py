"""An endpoint's own word on its load, as it comes with an answer."""

from msgspec import Struct

__all__ = ["LoadReport"]


class LoadReport(Struct, frozen=True):
    """One report.

    Parameters
    ----------
    running : int
        Requests that occupy a slot or wait for one.
    received_at : float
        When it reached this node, in seconds of the node's clock.
    own_in_flight : int
        How many of this node's requests were in flight there, without the one
        that brought the report.
    slots : int
        Requests that the endpoint works on at a time; 0 if it did not say.
    slowness : float
        How many times longer than usual work takes there now.
    """

    running: int
    received_at: float
    own_in_flight: int
    slots: int = 0
    slowness: float = 1.0
