"""The adapter for a key-value service with the HTTP interface of Consul.

It follows the public documentation of the KV store, sessions and blocking queries. CAS
is ``?cas=``, a watch is a blocking query with ``?index=``, and a lease is a session
with a TTL that acquires a key by ``?acquire=``.
"""

import base64
import json
from urllib.parse import quote

import urllib3

from hingesill_core.store import (
    KeyMissing,
    LeaseGranted,
    LeaseLost,
    StoreFailure,
    Unchanged,
    Value,
    VersionConflict,
    Written,
)
from hingesill_core.validation import parse_json
from hingesill_node.store.registry import STORES
from hingesill_node.store.wholeresponses import WholeResponsePoolManager

__all__ = ["ConsulStore"]

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
MAX_POOLED_CONNECTIONS = 8
STATUS_NOT_FOUND = 404


@STORES.register("http")
def open_http(url):
    """Return the store at an HTTP address."""
    return ConsulStore(url)


class ConsulStore:
    """The store over HTTP. Its calls block, so callers run them on separate threads.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    """

    def __init__(self, url):
        self._url = url.rstrip("/")
        self._http = WholeResponsePoolManager(
            maxsize=MAX_POOLED_CONNECTIONS, retries=False, block=False, num_pools=2
        )

    def _call(self, method, path, body=None, seconds=READ_TIMEOUT_SECONDS):
        """Return the response, or StoreFailure.

        A failed call may have been executed unless the connection was not established.
        """
        try:
            response = self._http.request(
                method,
                f"{self._url}/v1/{path}",
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=seconds),
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as error:
            return StoreFailure(f"connection failed: {type(error).__name__}")
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(f"no response: {type(error).__name__}", True)
        if response.status >= 500:
            return StoreFailure(f"status {response.status}", True)
        return response

    def get(self, key):
        """See `hingesill_core.store.Store`."""
        return self._read(f"kv/{quote(key)}", READ_TIMEOUT_SECONDS)

    def _read(self, path, seconds):
        response = self._call("GET", path, seconds=seconds)
        if isinstance(response, StoreFailure):
            return response
        if response.status == STATUS_NOT_FOUND:
            return KeyMissing()
        try:
            item = parse_json(response.data)[0]
            return Value(
                base64.b64decode(item["Value"] or ""), int(item["ModifyIndex"])
            )
        except (ValueError, LookupError, TypeError) as error:
            return StoreFailure(f"cannot decode the response: {error}")

    def put(self, key, data, expected):
        """See `hingesill_core.store.Store`."""
        path = f"kv/{quote(key)}?cas={expected}"
        return self._write("PUT", path, data, VersionConflict())

    def _write(self, method, path, body, on_refusal):
        response = self._call(method, path, body=body)
        if isinstance(response, StoreFailure):
            return response
        if response.status != 200:
            return StoreFailure(f"status {response.status}")
        outcome = {b"true": Written(), b"false": on_refusal}.get(response.data.strip())
        if outcome is None:
            return StoreFailure("the response is neither true nor false", True)
        return outcome

    def delete(self, key):
        """See `hingesill_core.store.Store`."""
        return self._write("DELETE", f"kv/{quote(key)}", None, Written())

    def watch(self, key, version, timeout):
        """See `hingesill_core.store.Store`."""
        # Index 0 would return at once; index 1 waits for a missing key.
        index = max(1, version)
        wait = f"{int(timeout * 1000)}ms"
        answer = self._read(
            f"kv/{quote(key)}?index={index}&wait={wait}",
            timeout + WATCH_TIMEOUT_MARGIN_SECONDS,
        )
        unchanged = (
            isinstance(answer, (Value, KeyMissing)) and answer.version == version
        )
        return Unchanged() if unchanged else answer

    def acquire(self, key, holder, ttl):
        """See `hingesill_core.store.Store`."""
        body = json.dumps({"TTL": f"{ttl:g}s", "LockDelay": "0s", "Name": holder})
        response = self._call("PUT", "session/create", body=body.encode())
        if isinstance(response, StoreFailure):
            return response
        try:
            lease = parse_json(response.data)["ID"]
        except (ValueError, LookupError, TypeError) as error:
            return StoreFailure(f"cannot decode the response: {error}")
        path = f"kv/{quote(key)}?acquire={lease}"
        outcome = self._write("PUT", path, holder.encode(), LeaseLost())
        if isinstance(outcome, Written):
            return LeaseGranted(lease, ttl)
        self.release(lease)
        return outcome

    def renew(self, lease, ttl):
        """See `hingesill_core.store.Store`."""
        response = self._call("PUT", f"session/renew/{quote(lease)}")
        if isinstance(response, StoreFailure):
            return response
        return LeaseGranted(lease, ttl) if response.status == 200 else LeaseLost()

    def release(self, lease):
        """See `hingesill_core.store.Store`."""
        return self._write("PUT", f"session/destroy/{quote(lease)}", None, Written())
