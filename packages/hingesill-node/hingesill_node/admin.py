"""The address for the platform: whether the node is ready, and its metrics."""

__all__ = ["AdminApplication"]

PLAIN = [("Content-Type", "text/plain; charset=utf-8")]


class AdminApplication:
    """A WSGI application with the two pages.

    Parameters
    ----------
    blackboard : Blackboard
        Tells whether the node is ready.
    counters : Counters
        Shown as metrics.
    gauges : callable
        Returns the current value by gauge name.
    ready_path : str
        Where the platform's balancer asks.
    """

    def __init__(self, blackboard, counters, gauges, ready_path):
        self.blackboard = blackboard
        self.counters = counters
        self.gauges = gauges
        self.pages = {ready_path: self._show_ready, "/metrics": self._show_metrics}
        self._provider = None

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        page = self.pages.get(environ["PATH_INFO"])
        if page is None:
            start_response("404 Not Found", PLAIN)
            return [f"{', '.join(self.pages)} are here\n".encode()]
        return page(start_response)

    def _show_ready(self, start_response):
        ready = self.blackboard.is_ready
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, PLAIN)
        return [f"{self.blackboard.phase.value}\n".encode()]

    def _show_metrics(self, start_response):
        """Show all counters; the libraries are loaded by the first who asks."""
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        from hingesill_node.telemetry.metrics import start_metrics

        if self._provider is None:
            self._provider = start_metrics(self.counters, self.gauges)
        start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
        return [generate_latest()]
