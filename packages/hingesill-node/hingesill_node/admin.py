"""Admin HTTP endpoint: readiness of the node, its metrics and the organisations."""

from hingesill_node.organisations import encode_organisations

__all__ = ["AdminApplication"]

PLAIN = [("Content-Type", "text/plain; charset=utf-8")]
JSON = [("Content-Type", "application/json")]


class AdminApplication:
    """WSGI application of the admin address.

    Parameters
    ----------
    blackboard : Blackboard
        Holds whether the node is ready.
    counters : Counters
        Exported as metrics.
    gauges : callable
        Returns the current values by gauge name.
    ready_path : str
        Path that the platform's balancer polls for readiness.
    read_figures : callable
        Returns `OrganisationFigures` by organisation.
    """

    def __init__(self, blackboard, counters, gauges, ready_path, read_figures=dict):
        self.blackboard = blackboard
        self.counters = counters
        self.gauges = gauges
        self.read_figures = read_figures
        self.pages = {
            ready_path: self._show_ready,
            "/metrics": self._show_metrics,
            "/organisations": self._show_organisations,
        }
        self._provider = None

    def __call__(self, environ, start_response):
        """Handle one request; see PEP 3333."""
        page = self.pages.get(environ["PATH_INFO"])
        if page is None:
            start_response("404 Not Found", PLAIN)
            return [f"{', '.join(self.pages)} are available\n".encode()]
        return page(start_response)

    def _show_ready(self, start_response):
        ready = self.blackboard.is_ready
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, PLAIN)
        return [f"{self.blackboard.phase.value}\n".encode()]

    def _show_organisations(self, start_response):
        """Return the organisations in force as JSON, without their keys."""
        start_response("200 OK", JSON)
        configuration = self.blackboard.configuration
        return [encode_organisations(configuration, self.read_figures())]

    def _show_metrics(self, start_response):
        """Return all metrics; the first request loads the libraries."""
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        from hingesill_node.telemetry.metrics import start_metrics

        if self._provider is None:
            self._provider = start_metrics(self.counters, self.gauges)
        start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
        return [generate_latest()]
