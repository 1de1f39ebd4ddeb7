"""The address for the platform: ``/ready`` for its balancer, ``/metrics``."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

__all__ = ["AdminApplication"]

PLAIN = [("Content-Type", "text/plain; charset=utf-8")]


class AdminApplication:
    """A WSGI application with the two pages.

    Parameters
    ----------
    blackboard : Blackboard
        Tells whether the node is ready.
    """

    def __init__(self, blackboard):
        self.blackboard = blackboard
        self.pages = {"/ready": self._show_ready, "/metrics": self._show_metrics}

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        page = self.pages.get(environ["PATH_INFO"])
        if page is None:
            start_response("404 Not Found", PLAIN)
            return [b"/ready and /metrics are here\n"]
        return page(start_response)

    def _show_ready(self, start_response):
        ready = self.blackboard.is_ready
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, PLAIN)
        return [f"{self.blackboard.phase.value}\n".encode()]

    def _show_metrics(self, start_response):
        start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
        return [generate_latest()]
