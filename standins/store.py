"""A test server with the HTTP interface of the platform's key-value service.

Faults are set by ``PUT /standin/faults`` with a JSON object: ``down`` refuses
every call, ``slow_s`` delays each, ``lose_answers`` lets that many writes take
effect and then closes the connection, ``drop_writes`` closes the connection of
that many writes without writing. ``GET /standin/calls`` returns the call counters.
"""

import base64
import json
import sys
import threading
import time
import uuid
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["StoreServer"]


class StoreServer(ThreadingHTTPServer):
    """Keys with modify indexes, blocking queries and sessions with a TTL."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, port=0):
        super().__init__(("127.0.0.1", port), StoreHandler)
        self.changed = threading.Condition()
        self.values = {}
        self.locks = {}
        self.sessions = {}
        self.index = 10
        self.faults = {}
        self.calls = Counter()

    def start(self):
        """Serve in a thread; return this object."""
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return self

    @property
    def url(self):
        """The base URL of the server."""
        return f"http://127.0.0.1:{self.server_address[1]}"

    def expire_sessions(self):
        """Release the locks of expired sessions; the caller holds the condition."""
        now = time.monotonic()
        for session, (until, _) in list(self.sessions.items()):
            if until < now:
                del self.sessions[session]
                self.locks = {k: s for k, s in self.locks.items() if s != session}

    def handle_error(self, request, client_address):
        """Ignore errors of connections that clients closed."""


class StoreHandler(BaseHTTPRequestHandler):
    """One connection to the store."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 1 << 16

    def log_message(self, *arguments):
        """Suppress the access log."""

    def answer(self, status, content, **headers):
        """Send a JSON response."""
        data = json.dumps(content).encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), str(value))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def read_body(self):
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def handle_call(self):
        """Route a call after applying the injected faults."""
        body = self.read_body()
        url = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = unquote(url.path).strip("/").split("/", 2)
        if parts[0] == "standin":
            return self.handle_standin(parts[1], body)
        faults = self.server.faults
        self.server.calls["watch" if "index" in query else self.command] += 1
        if faults.get("slow_s"):
            time.sleep(faults["slow_s"])
        if faults.get("down"):
            self.close_connection = True
            return None
        if self.command == "PUT" and self.consume_fault("drop_writes"):
            self.close_connection = True
            return None
        kind = f"{self.command} {parts[1]}"
        handler = {
            "GET kv": self.get_key,
            "PUT kv": self.put_key,
            "DELETE kv": self.delete_key,
            "PUT session": self.handle_session,
        }[kind]
        return handler(parts[2], query, body)

    do_GET = do_PUT = do_DELETE = handle_call

    def consume_fault(self, name):
        """Decrement a counted fault; return whether it was still active."""
        with self.server.changed:
            left = self.server.faults.get(name, 0)
            if left:
                self.server.faults[name] = left - 1
            return bool(left)

    def handle_standin(self, what, body):
        """Set the faults, if requested, and return the call counters."""
        if what == "faults":
            with self.server.changed:
                self.server.faults = json.loads(body)
                self.server.changed.notify_all()
        self.answer(200, dict(self.server.calls))

    def get_key(self, key, query, body):
        """Respond to a read, immediately or when the key has changed."""
        server = self.server
        wait = float(query.get("wait", "0ms").removesuffix("ms")) / 1000
        index = int(query.get("index", 0))

        def is_due():
            value = server.values.get(key)
            newer = (value[1] if value else 0) > index
            return newer or not index or server.faults.get("down")

        with server.changed:
            server.changed.wait_for(is_due, wait or None if index else 0)
            if server.faults.get("down"):
                self.close_connection = True
                return
            value = server.values.get(key)
        if value is None:
            self.answer(404, [], X_Consul_Index=server.index)
            return
        data, modified = value
        item = {"Key": key, "ModifyIndex": modified}
        item["Value"] = base64.b64encode(data).decode()
        self.answer(200, [item], X_Consul_Index=modified)

    def put_key(self, key, query, body):
        """Write by compare-and-set, or acquire a lock for a session."""
        server = self.server
        with server.changed:
            if "acquire" in query:
                done = self.acquire(key, query["acquire"])
            else:
                stored = server.values.get(key)
                done = int(query["cas"]) == (stored[1] if stored else 0)
            if done:
                server.index += 1
                server.values[key] = (body, server.index)
                server.changed.notify_all()
        if done and self.consume_fault("lose_answers"):
            self.close_connection = True
            return
        self.answer(200, done)

    def acquire(self, key, session):
        """Acquire a lock unless another session has it, with the condition held."""
        server = self.server
        server.expire_sessions()
        if session not in server.sessions:
            return False
        if server.locks.get(key, session) != session:
            return False
        server.locks[key] = session
        return True

    def delete_key(self, key, query, body):
        """Delete a key."""
        with self.server.changed:
            self.server.values.pop(key, None)
            self.server.changed.notify_all()
        self.answer(200, True)

    def handle_session(self, rest, query, body):
        """Create, renew or destroy a session."""
        server = self.server
        action, _, session = rest.partition("/")
        with server.changed:
            server.expire_sessions()
            if action == "create":
                session = str(uuid.uuid4())
                ttl = float(json.loads(body)["TTL"].removesuffix("s"))
                server.sessions[session] = (time.monotonic() + ttl, ttl)
            elif action == "renew":
                if session not in server.sessions:
                    self.answer(404, "no such session")
                    return
                ttl = server.sessions[session][1]
                server.sessions[session] = (time.monotonic() + ttl, ttl)
            else:
                server.sessions.pop(session, None)
                server.locks = {k: s for k, s in server.locks.items() if s != session}
        self.answer(200, True if action == "destroy" else {"ID": session})


def main():
    """Serve until terminated; the first line of the output is the URL."""
    server = StoreServer(int(sys.argv[1]) if len(sys.argv) > 1 else 0)
    print(server.url, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
