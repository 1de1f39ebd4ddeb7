"""A test server with the platform's list of VMs, which lags.

``PUT /standin/list`` sets the list; ``GET /vms`` returns it ``lag_s`` seconds later.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

__all__ = ["VmListServer"]


class VmListServer(ThreadingHTTPServer):
    """A list that is served with a delay."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, port=0, lag_s=0.5):
        super().__init__(("127.0.0.1", port), VmListHandler)
        self.lag_s = lag_s
        self.versions = [(0.0, [])]

    def start(self):
        """Serve in a thread; return this object."""
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return self

    @property
    def url(self):
        """The URL of the list."""
        return f"http://127.0.0.1:{self.server_address[1]}/vms"

    def put(self, items):
        """Set the list."""
        self.versions = [*self.versions[-50:], (time.monotonic(), items)]

    def get(self):
        """Return the list as it was ``lag_s`` seconds ago."""
        shown = time.monotonic() - self.lag_s
        return [items for at, items in self.versions if at <= shown][-1]


class VmListHandler(BaseHTTPRequestHandler):
    """One connection to the server of the list."""

    protocol_version = "HTTP/1.1"
    wbufsize = 1 << 16

    def log_message(self, *arguments):
        """Suppress the access log."""

    def do_GET(self):
        """Return the list."""
        self.answer(self.server.get())

    def do_PUT(self):
        """Set the list."""
        length = int(self.headers.get("Content-Length", 0))
        self.server.put(json.loads(self.rfile.read(length)))
        self.answer(True)

    def answer(self, content):
        """Send a JSON response."""
        data = json.dumps(content).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def main():
    """Serve until terminated; the first line of the output is the URL."""
    server = VmListServer()
    print(server.url, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
